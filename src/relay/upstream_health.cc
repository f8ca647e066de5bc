#include "relay/upstream_health.h"

#include <algorithm>

namespace savory {
namespace {

constexpr int kMaxDoublings = 6;
// Random part of an ejection, so that entries do not all resume sending at the same time.
constexpr double kEjectionJitter = 0.3;

}  // namespace

bool IsFailure(AttemptResult result) {
  return result == AttemptResult::kErrored || result == AttemptResult::kSilent ||
         result == AttemptResult::kUnreachable || result == AttemptResult::kMisdirected;
}

void UpstreamHealth::TakeBack(const UpstreamHealth& before) {
  const int running = this->in_flight;
  *this = before;
  this->in_flight = running;
}

void UpstreamHealth::OnEnded(AttemptResult result, Instant now, Random& random) {
  this->in_flight = std::max(0, this->in_flight - 1);
  const bool failed = IsFailure(result);
  // An upstream that refuses requests works; it only has no capacity.
  if (result == AttemptResult::kRefused || result == AttemptResult::kCancelled) return;
  const double weight = this->options.newest_weight;
  this->failure_rate = this->failure_rate * (1 - weight) + (failed ? weight : 0);
  if (!failed) {
    if (this->half_open) this->failure_rate = 0;
    this->half_open = false;
    if (this->failure_rate < this->options.ejection_threshold / 2) this->consecutive_ejections = 0;
    return;
  }
  if (this->IsEjected(now)) return;
  const bool unreachable = result == AttemptResult::kUnreachable;
  const bool eject_now = unreachable || result == AttemptResult::kMisdirected || this->half_open;
  if (!eject_now && this->failure_rate <= this->options.ejection_threshold) return;
  const Duration first =
      unreachable ? this->options.unreachable_ejection : this->options.first_ejection;
  this->Eject(first * (1 << std::min(this->consecutive_ejections, kMaxDoublings)), now, random);
}

void UpstreamHealth::Eject(Duration duration, Instant now, Random& random) {
  const Duration bounded = std::min(duration, this->options.max_ejection);
  const double factor = 1 - kEjectionJitter / 2 + kEjectionJitter * UniformUnit(random);
  this->ejected_until = now + FromSeconds(ToSeconds(bounded) * factor);
  this->half_open = true;
  ++this->consecutive_ejections;
}

bool UpstreamHealth::MayUse(Instant now, bool may_probe) const {
  if (this->IsEjected(now)) return false;
  if (!this->half_open) return true;
  const bool untried = now >= this->ejected_until + this->options.unsafe_probe_delay;
  return (may_probe || untried) && this->in_flight == 0;
}

}  // namespace savory
