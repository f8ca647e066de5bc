// Tells a shortage of slots that lasts from one that ends within moments.
#pragma once

#include <chrono>

#include "base/time.h"

namespace savory {

struct ShortageOptions {
  Duration averaging_time = std::chrono::seconds(2);
  // The shortage lasts if more than this fraction of the first requests is refused.
  double refused_fraction = 0.1;
};

// Requests that wait through a moment's shortage are served in time. In one that lasts, all that
// wait are served late, and no more are served than without the wait.
class Shortage {
 public:
  explicit Shortage(ShortageOptions options = {}) : options(options) {}

  void OnAsked(Instant now);
  void OnRefused(Instant now);
  bool Lasts() const { return this->refused > this->asked * this->options.refused_fraction; }

 private:
  void Decay(Instant now);

  ShortageOptions options;
  // Requests, each with a weight that decreases with its age.
  double asked = 0;
  double refused = 0;
  Instant counted_at = {};
};

}  // namespace savory
