#include "relay/slot_shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace savory {
namespace {

// Every entry counts with at least this fraction of the mean demand, so that an entry that had no
// callers still gets slots.
constexpr double kMinDemandFraction = 0.05;

// Slots `begin` to `end` - 1, counted over all engines.
struct SlotRange {
  std::int64_t begin = 0;
  std::int64_t end = 0;
};

// The slots of the entry with index `own`.
SlotRange RangeOf(std::span<const std::uint32_t> slots, std::span<const double> demands,
                  std::size_t own) {
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
  return {.begin = std::lround(total_slots * before / total),
          .end = std::lround(total_slots * (before + own_demand) / total)};
}

}  // namespace

std::vector<std::uint32_t> DivideSlots(std::span<const std::uint32_t> slots,
                                       std::span<const double> demands, std::size_t own) {
  std::vector<std::uint32_t> shares(slots.size(), 0);
  if (own >= demands.size()) return shares;
  const SlotRange range = RangeOf(slots, demands, own);
  std::int64_t at = 0;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const std::int64_t next = at + slots[i];
    shares[i] = static_cast<std::uint32_t>(std::max<std::int64_t>(
        0, std::min<std::int64_t>(next, range.end) - std::max<std::int64_t>(at, range.begin)));
    at = next;
  }
  return shares;
}

IndexRange EngineWindow(std::span<const std::uint32_t> slots, std::span<const double> demands,
                        std::size_t own, std::size_t min_engines) {
  if (own >= demands.size() || slots.empty()) return {};
  const SlotRange range = RangeOf(slots, demands, own);
  // An empty range lies within the engine that holds its begin.
  const std::int64_t end = std::max(range.end, range.begin + 1);
  IndexRange window{.first = slots.size(), .last = 0};
  std::int64_t at = 0;
  for (std::size_t i = 0; i < slots.size() && at < end; ++i) {
    at += slots[i];
    if (at > range.begin) window.first = std::min(window.first, i);
    window.last = i + 1;
  }
  window.first = std::min(window.first, window.last - 1);
  const std::size_t own_engines = window.last - window.first;
  const std::size_t wanted = std::min(slots.size(), std::max(3 * own_engines, min_engines));
  const std::size_t added_before = (wanted - own_engines) / 2;
  window.first =
      std::min(window.first - std::min(window.first, added_before), slots.size() - wanted);
  window.last = window.first + wanted;
  return window;
}

}  // namespace savory
