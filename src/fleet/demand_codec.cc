#include "fleet/demand_codec.h"

#include <algorithm>
#include <cmath>

#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

double RateOf(double value) { return std::isfinite(value) && value > 0 ? value : 0; }

}  // namespace

void WritePools(const PoolDemands& pools, wire::EntryStatus& status) {
  for (const PoolDemand& pool : pools) {
    wire::PoolDemand& row = *status.add_pools();
    row.set_pool(pool.pool);
    for (const ClassDemand& demand : pool.classes) {
      row.add_asked(static_cast<float>(demand.asked));
      row.add_lacked(static_cast<float>(demand.lacked));
    }
  }
}

PoolDemands ReadPools(const wire::EntryStatus& status) {
  PoolDemands pools;
  for (const wire::PoolDemand& row : status.pools()) {
    if (pools.size() == kMaxReportedPools) break;
    PoolDemand& pool = pools.emplace_back(PoolDemand{.pool = row.pool()});
    const int classes =
        std::min({row.asked_size(), row.lacked_size(), static_cast<int>(kPriorityClasses)});
    for (int i = 0; i < classes; ++i) {
      pool.classes[static_cast<std::size_t>(i)] = {.asked = RateOf(row.asked(i)),
                                                   .lacked = RateOf(row.lacked(i))};
    }
  }
  return pools;
}

}  // namespace savory
