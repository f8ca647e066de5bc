// Estimates how long work takes at an upstream now, compared to its published speed.
#pragma once

#include <optional>

#include "base/time.h"

namespace savory {

struct EnginePaceOptions {
  // Time constant of the mean over the figures in answers. The figure follows the other users of
  // the engine's machine and changes faster than requests run.
  Duration mean_time = std::chrono::milliseconds(300);
  // Without answers the mean approaches the reported pace with this time constant.
  Duration decay_time = std::chrono::milliseconds(500);
  // Figures that all exceed the mean for this long are no fluctuation: the engine is slow.
  Duration slow_after = std::chrono::milliseconds(150);
  // Two figures further apart than this say nothing about the time between them.
  Duration max_gap = std::chrono::milliseconds(400);
  // A higher pace in a report is a figure in another unit.
  double max_reported = 100;
};

// Slowdown factors; above 1: slower than published. A slow engine is noticed as soon as its figures
// stay high, but it counts as recovered only when the mean has come down. Performs no I/O.
class EnginePace {
 public:
  explicit EnginePace(EnginePaceOptions options = {}) : options(options) {}

  // Pace in a report of the engine's agent. An implausible one is ignored.
  void OnReported(double pace);
  // Pace in an answer of the upstream.
  void OnAnswered(double pace, Instant now);
  double At(Instant now) const;

 private:
  EnginePaceOptions options;
  double reported = 1;
  double mean = 1;
  std::optional<Instant> answered_at = {};
  double last = 1;                         // figure of the last answer
  std::optional<Instant> high_since = {};  // the figures exceed the mean since
  double lowest_high = 1;                  // of the figures since then
};

}  // namespace savory
