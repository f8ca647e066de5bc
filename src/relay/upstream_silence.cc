#include "relay/upstream_silence.h"

#include <algorithm>

namespace savory {

void UpstreamSilence::OnReport(Instant now) { this->reported_at = now; }

Duration UpstreamSilence::Age(Instant now) const {
  if (!this->reported_at || now - *this->reported_at >= this->options.agent_end) {
    return Duration(0);
  }
  return now - std::max(*this->reported_at, this->answered_at);
}

}  // namespace savory
