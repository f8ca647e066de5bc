#include "relay/shortage.h"

#include <cmath>
#include <utility>

namespace savory {

void Shortage::Decay(Instant now) {
  const Duration passed = now - std::exchange(this->counted_at, now);
  const double kept = std::exp(-ToSeconds(passed) / ToSeconds(this->options.averaging_time));
  this->asked *= kept;
  this->refused *= kept;
}

void Shortage::OnAsked(Instant now) {
  this->Decay(now);
  ++this->asked;
}

void Shortage::OnRefused(Instant now) {
  this->Decay(now);
  ++this->refused;
}

}  // namespace savory
