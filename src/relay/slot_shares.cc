#include "relay/slot_shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace savory {
namespace {

// Every entry counts with at least this fraction of the mean demand, so that an entry that had no
// callers still gets slots.
constexpr double kMinDemandFraction = 0.05;

}  // namespace

std::vector<std::uint32_t> DivideSlots(std::span<const std::uint32_t> slots,
                                       std::span<const double> demands, std::size_t own) {
  std::vector<std::uint32_t> shares(slots.size(), 0);
  if (own >= demands.size()) return shares;
  const double sum = std::accumulate(demands.begin(), demands.end(), 0.0);
  const double least = sum > 0 ? sum / static_cast<double>(demands.size()) * kMinDemandFraction : 1;
  double before = 0;
  double total = 0;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double demand = std::max(demands[i], least);
    total += demand;
    if (i < own) before += demand;
  }
  const double own_demand = std::max(demands[own], least);
  const double total_slots = std::accumulate(slots.begin(), slots.end(), 0.0);
  const auto begin = std::lround(total_slots * before / total);
  const auto end = std::lround(total_slots * (before + own_demand) / total);
  std::int64_t at = 0;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const std::int64_t next = at + slots[i];
    shares[i] = static_cast<std::uint32_t>(std::max<std::int64_t>(
        0, std::min<std::int64_t>(next, end) - std::max<std::int64_t>(at, begin)));
    at = next;
  }
  return shares;
}

}  // namespace savory
