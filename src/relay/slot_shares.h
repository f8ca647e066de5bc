// Divides the slots of all engines among the entries.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace savory {

// Request rate of one entry that sends to the same upstreams.
struct EntryDemand {
  std::string entry = {};  // identity, as known to all processes
  std::string data_centre = {};
  double requests_per_second = 0;

  bool operator==(const EntryDemand&) const = default;
};

// Returns the number of slots of each engine that belong to the entry with index `own`. `slots`
// lists the slots of all usable engines and `demands` the request rates of all entries, both in an
// order that all entries use, by data centre. Each entry gets a contiguous range of slots in
// proportion to its demand. The ranges do not overlap, so entries with the same inputs never use
// the same slot and need not exchange a message for each request. A change of one engine moves the
// ends of the ranges by at most its number of slots.
std::vector<std::uint32_t> DivideSlots(std::span<const std::uint32_t> slots,
                                       std::span<const double> demands, std::size_t own);

}  // namespace savory
