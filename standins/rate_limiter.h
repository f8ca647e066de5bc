// Rate limit that the transfers of the origin stand-in share. The caller passes the current time.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/time.h"

namespace savory::standins {

// Spaces sends so that all connections together stay at `bytes_per_second`.
class RateLimiter {
 public:
  // 0: no limit.
  explicit RateLimiter(double bytes_per_second) : rate(bytes_per_second) {}

  // Returns the time at which the next `bytes` may be sent. A sender that was idle may catch up on
  // at most 10 ms.
  Instant Reserve(std::uint64_t bytes, Instant now) {
    if (this->rate <= 0) return now;
    const Instant at = std::max(this->next, now - kMaxUnusedTime);
    this->next = at + FromSeconds(static_cast<double>(bytes) / this->rate);
    return at;
  }

 private:
  static constexpr Duration kMaxUnusedTime = std::chrono::milliseconds(10);

  double rate;
  Instant next = {};
};

}  // namespace savory::standins
