// Divides the slots of all engines among the entries.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "admission/class_demand.h"

namespace savory {

// Request rate of one entry that sends to the same upstreams.
struct EntryDemand {
  std::string entry = {};  // identity, as known to all processes
  std::string data_centre = {};
  double requests_per_second = 0;  // that count for its share of the slots
  PoolDemands pools = {};          // what its callers ask for and lack

  bool operator==(const EntryDemand&) const = default;
};

// Positions `first` to `last` - 1 in a list.
struct IndexRange {
  std::size_t first = 0;
  std::size_t last = 0;

  bool operator==(const IndexRange&) const = default;
};

// Returns the number of slots of each engine that belong to the entry with index `own`. `slots`
// lists the slots of all usable engines and `demands` the request rates of all entries, both in an
// order that all entries use, by data centre. Each entry gets a contiguous range of slots in
// proportion to its demand. The ranges do not overlap, so entries with the same inputs never use
// the same slot and need not exchange a message for each request. A change of one engine moves the
// ends of the ranges by at most its number of slots.
std::vector<std::uint32_t> DivideSlots(std::span<const std::uint32_t> slots,
                                       std::span<const double> demands, std::size_t own);

// Returns the engines whose load the entry with index `own` follows: those of its share (see
// DivideSlots()) and as many on each side, at least `min_engines` in all. Slots that it gains move
// over these engines first, and it may borrow free ones there. So the number of engines that an
// entry follows does not grow with the fleet.
IndexRange EngineWindow(std::span<const std::uint32_t> slots, std::span<const double> demands,
                        std::size_t own, std::size_t min_engines);

}  // namespace savory
