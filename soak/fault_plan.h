// Which faults a run of the soak injects, and when.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace savory {

enum class FaultKind {
  // The store.
  kStoreRefusing,
  kStoreSilent,
  kStoreResetting,
  kStoreLosesAnswers,
  kStoreSlow,
  kHistoryCompacted,
  // One entry.
  kEntryCutFromStore,
  kEntryStopped,  // SIGTERM
  kEntryKilled,
  kEntryPaused,
  // One agent.
  kAgentKilled,
  kAgentPaused,
  // One upstream.
  kUpstreamCrashed,
  kUpstreamErrors,
  kUpstreamLosesAnswers,
  kUpstreamBreaksOff,
  kUpstreamSilent,
  kUpstreamDrained,
  kStagedChunkCorrupted,
  // Connections to one upstream.
  kLinkDelayed,
  kLinkReset,
  kLinkSilent,
  kLinkOneWay,
  // Changes, and load.
  kRouteChanged,
  kWeightsPublished,
  kBurst,
  // Everything of ours at once.
  kAllKilled,
};

std::string_view FaultName(FaultKind kind);
std::span<const FaultKind> AllFaultKinds();

struct Fault {
  Duration at = {};  // from the start of the requests
  FaultKind kind = FaultKind::kBurst;
  std::size_t target = 0;  // of the entries, agents or upstreams; taken modulo their number
  Duration duration = {};
};

// The same seed gives the same plan. Faults come in series and overlap; the last tenth of the plan
// is free of new ones.
std::vector<Fault> MakeFaultPlan(std::uint64_t seed, Duration length);

}  // namespace savory
