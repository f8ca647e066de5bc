// Which faults a soak run injects, and when.
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
  kStoreDropsAnswers,
  kStoreSlow,
  kHistoryCompacted,
  // One entry VM.
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
  kUpstreamDropsAnswers,
  kUpstreamTruncatesAnswers,
  kUpstreamSilent,
  kUpstreamDrained,
  kStagedChunkCorrupted,
  // Connections to one upstream.
  kLinkDelayed,
  kLinkReset,
  kLinkSilent,
  kLinkOneWay,
  // Configuration changes and load.
  kRouteChanged,
  kWeightsPublished,
  kBurst,
  // All entry VMs and agents at once.
  kAllKilled,
  // Since plan 2.
  kEntryStoreLinkReset,  // repeatedly
  kUpstreamLeft,         // its record is removed while it serves on
  kUpstreamLeftAtReset,  // as before, while the store connections of one entry VM are reset
  kUpstreamSlow,         // requests wait long before they begin
  // The origin has the published weights only after the rollout limit.
  kWeightsPublishedEntryPaused,  // an entry VM is paused meanwhile
  kWeightsPublishedEngineSlow,   // an engine is slow as the limit ends
  // Since plan 3.
  kUpstreamAsksToWait,  // refuses requests and says for how long
  // Since plan 4.
  kCrashingRequest,  // ends each upstream that runs it, and is sent again and again
  // Since plan 5.
  kCrashingPart,       // requests that share a part of their prompt, which ends upstreams
  kConnectionsSilent,  // open ones to the store and to upstreams, for good; new ones work
  // Since plan 6, which has more entry VMs than watch the store.
  kWatchersKilled,  // those that watch the store on behalf of all, and an upstream leaves
  kVersionsInARow,  // versions of the weights; an entry VM is killed after the last
  kOddRecord,       // another writer leaves a record among those of upstreams
  kPowerLost,       // all processes and upstreams at once; nothing staged remains
  // Since plan 7, whose answers take so long that they meet the end of a planned stop.
  kEntriesStoppedInTurn,
  kEntryReloaded,        // SIGHUP
  kEntrySqueezed,        // little processor time
  kUpstreamSlowsDown,    // the streams it has begun, too
  kUpstreamFallsSilent,  // in the middle of answers, and goes on later
  kUpstreamHangs,        // as before; doesn't answer its agent either
  kUpstreamBreaksOff,    // all its answers at once
  kEnginesFallSilent,    // half of them, or all
  // Since plan 8, whose weights have many chunks and whose engines carry out calls of agents that
  // were given up. Those with published weights act beside the loads of these.
  kChunksCorrupted,                 // a share of those staged at one engine
  kChunksCorruptedAtEngines,        // the same at half of the engines, or at all
  kWeightsPublishedChunkCorrupted,  // again and again, at all engines until they load
  kAgentCallsSlow,                  // an engine, or each, answers its agent slowly
  kEngineHangs,                     // answers nobody for a time
  kWeightsPublishedEngineHangs,     // as the load request arrives, or before
  kWeightsPublishedAgentPaused,     // the same
  kWeightsPublishedAgentKilled,     // the same; its engine may hang, too
  kVersionsQuickly,                 // versions of the weights, one soon after the other
  // Since plan 9.
  kStoreFromOlderCopy,  // seconds old; what it lost is written again soon after
  // Since plan 10. The origin has the published weights only after the rollout limit, and across
  // its end stand still:
  kWeightsPublishedMachinesStandStill,  // engines with their agents, whose records are removed
  kWeightsPublishedAgentsStandStill,    // agents alone
  // Since plan 11.
  kUpstreamStrayAnswers,  // in place of some answers, pages with a success status and no proof
  kEndlessAgentAnswers,   // an engine's answers to its agent have no end; or those of several
};

std::string_view FaultName(FaultKind kind);
std::span<const FaultKind> AllFaultKinds();

struct Fault {
  Duration at = {};  // after all processes were ready
  FaultKind kind = FaultKind::kBurst;
  std::size_t target = 0;  // index of an entry VM, agent or upstream, modulo their number
  Duration duration = {};
};

// How plans are drawn. Older ways are kept so that seeds that failed once can be repeated.
enum class PlanVersion {
  kFirst = 1,
  kSecond = 2,
  kThird = 3,
  kFourth = 4,
  kFifth = 5,
  kSixth = 6,
  kSeventh = 7,
  kEighth = 8,
  kNinth = 9,
  kTenth = 10,
  kEleventh = 11,
  kNewest = kEleventh
};

// The same seed and version give the same plan. Faults come in series of one kind, and series may
// overlap; none starts in the last tenth of `length`. In plan 7 most seeds inject planned work and
// impaired upstreams only, and all entry VMs are stopped in turn beside new weights. In plan 8 most
// seeds impair staged chunks, engines and agents only, and new weights are published regularly, as
// in plan 9, in most of whose seeds the store comes back from older copies beside changes of
// records. In most seeds of plan 10 machines stand still across the end of the rollout limit,
// beside impaired upstreams and agents. In most seeds of plan 11 upstreams give answers that are
// none, to callers or to their agents, beside planned work, impaired upstreams and new weights.
std::vector<Fault> MakeFaultPlan(std::uint64_t seed, Duration length,
                                 PlanVersion version = PlanVersion::kNewest);

}  // namespace savory
