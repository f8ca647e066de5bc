// Calls per second over a sliding window.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "base/time.h"

namespace savory::standins {

// Counts calls in slots of 100 ms; the rate is the sum of the last ten slots.
class CallRate {
 public:
  void Add(Instant now) {
    this->Advance(now);
    ++this->slots[this->slot % kSlots];
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
  static constexpr std::int64_t kSlots = 10;
  static constexpr Duration kSlotLength = std::chrono::milliseconds(100);

  void Advance(Instant now) {
    const std::int64_t wanted = now.time_since_epoch() / kSlotLength;
    const std::int64_t first = std::max(this->slot + 1, wanted - kSlots + 1);
    for (std::int64_t i = first; i <= wanted; ++i) this->slots[i % kSlots] = 0;
    this->slot = std::max(this->slot, wanted);
  }

  std::uint64_t Sum() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : this->slots) sum += count;
    return sum;
  }

  std::array<std::uint64_t, kSlots> slots = {};
  std::int64_t slot = 0;
  std::uint64_t peak = 0;
};

}  // namespace savory::standins
