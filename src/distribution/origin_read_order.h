// Order and times in which the agents of a region read chunks from the origin.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"

namespace savory {

// If all agents read at once, the reads share the origin's link and all finish late. Read in order,
// a few at a time, the first chunks spread in the meantime. Agents agree on the order without
// messages, as each derives it from the chunks that its region lacks.
class OriginReadOrder {
 public:
  // `bytes_per_second`: rate at which the origin sends to all agents; 0: unknown.
  explicit OriginReadOrder(double bytes_per_second) : bytes_per_second(bytes_per_second) {}

  bool KnowsRate() const { return this->bytes_per_second > 0; }
  // Orders the chunks for which `is_missing` returns true; their reads start at `begin`. Call it
  // again after an outage of the origin: the times of the earlier order have passed then, and all
  // agents would read, and take over, all chunks at once.
  void Start(Instant begin, std::uint32_t chunk_count, std::uint32_t chunk_bytes,
             const std::function<bool(std::uint32_t chunk)>& is_missing);

  // Both require Start() and a known rate.
  // Earliest time to read `chunk`.
  Instant EarliestRead(std::uint32_t chunk) const;
  // Time by which the origin should have sent `chunk`.
  Instant ExpectedEnd(std::uint32_t chunk) const;

 private:
  // Time that the origin needs to send this many chunks.
  Duration SendTime(std::uint32_t chunks) const;

  double bytes_per_second;
  Instant begin = {};
  std::uint32_t chunk_bytes = 0;
  std::vector<std::uint32_t> positions = {};  // by chunk, among those that were missing
};

}  // namespace savory
