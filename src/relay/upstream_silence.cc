#include "relay/upstream_silence.h"

#include <algorithm>

namespace savory {

bool UpstreamSilence::IsSilent(Instant now) const {
  return this->reported_at && now - *this->reported_at < this->options.agent_end &&
         this->Age(now) >= this->options.limit;
}

Duration UpstreamSilence::Age(Instant now) const {
  const Instant last = std::max(this->reported_at.value_or(Instant()), this->answered_at);
  return std::min(now - last, this->options.limit);
}

}  // namespace savory
