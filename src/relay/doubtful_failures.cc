#include "relay/doubtful_failures.h"

#include <utility>

namespace savory {

bool DoubtfulFailures::IsOpen(Instant now) const {
  return this->doubt && now - this->doubt->last_at < this->options.report_time;
}

void DoubtfulFailures::OnFailure(const UpstreamHealth& before, std::uint64_t weights, Instant now) {
  if (!this->IsOpen(now) || this->doubt->weights != weights) {
    this->doubt = Doubt{.before = before, .weights = weights};
  }
  this->doubt->last_at = now;
}

std::optional<UpstreamHealth> DoubtfulFailures::OnWeights(std::uint64_t weights, Instant now) {
  if (!this->doubt || this->doubt->weights == weights) return std::nullopt;
  const bool is_open = this->IsOpen(now);
  const Doubt ended = *std::exchange(this->doubt, std::nullopt);
  return is_open ? std::optional(ended.before) : std::nullopt;
}

}  // namespace savory
