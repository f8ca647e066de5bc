#include "relay/engine_pace.h"

#include <algorithm>
#include <cmath>

namespace savory {
namespace {

double Remaining(Duration passed, Duration time_constant) {
  return std::exp(-ToSeconds(passed) / ToSeconds(time_constant));
}

}  // namespace

void EnginePace::OnReported(double pace) {
  const bool is_plausible = pace >= 0 && pace <= this->options.max_reported;  // and a number
  if (is_plausible) this->reported = pace;
}

void EnginePace::OnAnswered(double pace, Instant now) {
  const bool continues = this->answered_at && now - *this->answered_at <= this->options.max_gap;
  double before = this->At(now);
  if (continues) {
    // Each of the two figures held for half of the time between them.
    const double rest = Remaining(now - *this->answered_at, this->options.mean_time);
    before = this->mean * rest + (this->last + pace) / 2 * (1 - rest);
  }
  this->mean = before;
  this->last = pace;
  this->answered_at = now;
  if (pace <= this->mean) {
    this->high_since.reset();
    return;
  }
  if (!continues || !this->high_since) {
    this->high_since = now;
    this->lowest_high = pace;
  }
  this->lowest_high = std::min(this->lowest_high, pace);
  if (now - *this->high_since >= this->options.slow_after) {
    this->mean = std::max(this->mean, this->lowest_high);
  }
}

double EnginePace::At(Instant now) const {
  if (!this->answered_at) return this->reported;
  const double rest = Remaining(now - *this->answered_at, this->options.decay_time);
  return this->reported + (this->mean - this->reported) * rest;
}

}  // namespace savory
