// Calls per second over a sliding window.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "base/time.h"

namespace savory::standins {

// Counts calls in buckets of 100 ms; the rate is the sum of the last ten buckets.
class CallRate {
 public:
  void Add(Instant now) {
    this->Advance(now);
    ++this->buckets[this->last_bucket % kBuckets];
    this->peak = std::max(this->peak, this->Sum());
  }

  // Calls in the last second.
  std::uint64_t LastSecond(Instant now) {
    this->Advance(now);
    return this->Sum();
  }

  // Highest number of calls in one second so far.
  std::uint64_t Peak() const { return this->peak; }

 private:
  static constexpr std::int64_t kBuckets = 10;
  static constexpr Duration kBucketLength = std::chrono::milliseconds(100);

  void Advance(Instant now) {
    const std::int64_t current = now.time_since_epoch() / kBucketLength;
    const std::int64_t first = std::max(this->last_bucket + 1, current - kBuckets + 1);
    for (std::int64_t i = first; i <= current; ++i) this->buckets[i % kBuckets] = 0;
    this->last_bucket = std::max(this->last_bucket, current);
  }

  std::uint64_t Sum() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : this->buckets) sum += count;
    return sum;
  }

  std::array<std::uint64_t, kBuckets> buckets = {};
  std::int64_t last_bucket = 0;
  std::uint64_t peak = 0;
};

}  // namespace savory::standins
