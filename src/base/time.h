// Time types. Decision logic receives the current Instant and never reads a clock.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace savory {

// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

// Monotonic clock of one process; instants of two processes are not comparable. It also counts time
// in which the machine was suspended: leases and deadlines expire then too.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)

  static time_point now() noexcept {  // NOLINT(readability-identifier-naming)
    timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
  }
};

using Instant = MonotonicClock::time_point;

// Whole milliseconds in `duration`, rounded towards zero.
constexpr std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Longer times are cut to this, so that they can be added to an Instant. It is about 30 years.
constexpr double kMaxSeconds = 1e9;

constexpr Duration FromSeconds(double seconds) {
  if (seconds != seconds) return Duration(0);  // not a number
  const double bounded = seconds < -kMaxSeconds  ? -kMaxSeconds
                         : seconds > kMaxSeconds ? kMaxSeconds
                                                 : seconds;
  return Duration(static_cast<Duration::rep>(bounded * 1e6));
}

}  // namespace savory
