// Divides the places of all engines among the entries.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace savory {

// One entry that places requests on the same upstreams.
struct EntryDemand {
  std::string entry = {};  // identity; the same in every process
  std::string data_centre = {};
  double requests_per_second = 0;

  bool operator==(const EntryDemand&) const = default;
};

// Places of each engine that belong to the entry `own`. `slots` are those of all usable engines and
// `demands` those of all entries, both in an order that every entry uses, by data centre: each
// entry takes a range of places in proportion to its demand. Ranges of different entries do not
// overlap, so entries that agree on the inputs never put two requests on one place, without a
// message for each request. A change of one engine moves the ends of the ranges by at most its
// slots.
std::vector<std::uint32_t> DivideSlots(std::span<const std::uint32_t> slots,
                                       std::span<const double> demands, std::size_t own);

}  // namespace savory
