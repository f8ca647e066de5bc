// Message form of what callers ask for and lack.
#pragma once

#include "admission/class_demand.h"

namespace savory {
namespace wire {
class EntryStatus;
}  // namespace wire

void WritePools(const PoolDemands& pools, wire::EntryStatus& status);
// Rates that are no numbers of requests are taken as 0; pools beyond the limit are left out.
PoolDemands ReadPools(const wire::EntryStatus& status);

}  // namespace savory
