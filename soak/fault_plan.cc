#include "soak/fault_plan.h"

#include <algorithm>
#include <array>

#include "base/random.h"

namespace savory {
namespace {

struct FaultSpec {
  FaultKind kind;
  std::string_view name;
  std::uint32_t weight;  // relative frequency
};

// Planned changes are more frequent than failures, as on the users' platform.
constexpr std::array<FaultSpec, 63> kFaultSpecs = {{
    {FaultKind::kStoreRefusing, "store-refusing", 2},
    {FaultKind::kStoreSilent, "store-silent", 2},
    {FaultKind::kStoreResetting, "store-resetting", 2},
    {FaultKind::kStoreDropsAnswers, "store-loses-answers", 2},
    {FaultKind::kStoreSlow, "store-slow", 2},
    {FaultKind::kHistoryCompacted, "history-forgotten", 2},
    {FaultKind::kEntryCutFromStore, "entry-cut-from-store", 4},
    {FaultKind::kEntryStopped, "entry-stopped", 6},
    {FaultKind::kEntryKilled, "entry-killed", 4},
    {FaultKind::kEntryPaused, "entry-paused", 4},
    {FaultKind::kAgentKilled, "agent-killed", 4},
    {FaultKind::kAgentPaused, "agent-paused", 4},
    {FaultKind::kUpstreamCrashed, "upstream-crashed", 6},
    {FaultKind::kUpstreamErrors, "upstream-errors", 4},
    {FaultKind::kUpstreamDropsAnswers, "upstream-loses-answers", 4},
    {FaultKind::kUpstreamTruncatesAnswers, "upstream-breaks-off", 4},
    {FaultKind::kUpstreamSilent, "upstream-silent", 4},
    {FaultKind::kUpstreamDrained, "upstream-drained", 6},
    {FaultKind::kStagedChunkCorrupted, "staged-piece-spoilt", 4},
    {FaultKind::kLinkDelayed, "link-delayed", 4},
    {FaultKind::kLinkReset, "link-reset", 4},
    {FaultKind::kLinkSilent, "link-silent", 4},
    {FaultKind::kLinkOneWay, "link-one-way", 4},
    {FaultKind::kRouteChanged, "route-moved", 10},
    {FaultKind::kWeightsPublished, "weights-named", 5},
    {FaultKind::kBurst, "burst", 4},
    {FaultKind::kAllKilled, "all-killed", 1},
    {FaultKind::kEntryStoreLinkReset, "entry-store-link-reset", 6},
    {FaultKind::kUpstreamLeft, "upstream-left", 8},
    {FaultKind::kUpstreamLeftAtReset, "upstream-left-at-reset", 6},
    {FaultKind::kUpstreamSlow, "upstream-slow", 6},
    {FaultKind::kWeightsPublishedEntryPaused, "weights-named-entry-paused", 6},
    {FaultKind::kWeightsPublishedEngineSlow, "weights-named-engine-slow", 6},
    {FaultKind::kUpstreamAsksToWait, "upstream-asks-to-wait", 6},
    {FaultKind::kCrashingRequest, "crashing-request", 12},
    {FaultKind::kCrashingPart, "crashing-part", 16},
    {FaultKind::kConnectionsSilent, "connections-silent", 8},
    {FaultKind::kWatchersKilled, "watchers-killed", 12},
    {FaultKind::kVersionsInARow, "versions-in-a-row", 8},
    {FaultKind::kOddRecord, "odd-record", 8},
    {FaultKind::kPowerLost, "power-lost", 6},
    {FaultKind::kEntriesStoppedInTurn, "entries-stopped-in-turn", 16},
    {FaultKind::kEntryReloaded, "entry-reloaded", 10},
    {FaultKind::kEntrySqueezed, "entry-squeezed", 14},
    {FaultKind::kUpstreamSlowsDown, "upstream-slows-down", 14},
    {FaultKind::kUpstreamFallsSilent, "upstream-falls-silent", 14},
    {FaultKind::kUpstreamHangs, "upstream-hangs", 8},
    {FaultKind::kUpstreamBreaksOff, "upstream-breaks-off-all", 12},
    {FaultKind::kEnginesFallSilent, "engines-fall-silent", 12},
    {FaultKind::kChunksCorrupted, "staged-pieces-spoilt", 12},
    {FaultKind::kChunksCorruptedAtEngines, "staged-pieces-spoilt-at-engines", 10},
    {FaultKind::kWeightsPublishedChunkCorrupted, "weights-named-pieces-spoilt", 14},
    {FaultKind::kAgentCallsSlow, "agent-calls-slow", 16},
    {FaultKind::kEngineHangs, "engine-hangs", 12},
    {FaultKind::kWeightsPublishedEngineHangs, "weights-named-engine-hangs", 14},
    {FaultKind::kWeightsPublishedAgentPaused, "weights-named-agent-paused", 12},
    {FaultKind::kWeightsPublishedAgentKilled, "weights-named-agent-killed", 10},
    {FaultKind::kVersionsQuickly, "versions-quickly", 8},
    {FaultKind::kStoreFromOlderCopy, "store-from-older-copy", 30},
    {FaultKind::kWeightsPublishedMachinesStandStill, "weights-named-machines-stand-still", 30},
    {FaultKind::kWeightsPublishedAgentsStandStill, "weights-named-agents-stand-still", 10},
    {FaultKind::kUpstreamStrayAnswers, "upstream-stray-answers", 30},
    {FaultKind::kEndlessAgentAnswers, "endless-agent-answers", 30},
}};

// Of plan 7 without unplanned disruption of entry VMs, the store and links.
constexpr std::array<FaultKind, 16> kPlannedWorkKinds = {FaultKind::kEntriesStoppedInTurn,
                                                         FaultKind::kEntryStopped,
                                                         FaultKind::kEntryReloaded,
                                                         FaultKind::kEntrySqueezed,
                                                         FaultKind::kUpstreamSlowsDown,
                                                         FaultKind::kUpstreamFallsSilent,
                                                         FaultKind::kUpstreamHangs,
                                                         FaultKind::kUpstreamBreaksOff,
                                                         FaultKind::kUpstreamSlow,
                                                         FaultKind::kUpstreamCrashed,
                                                         FaultKind::kUpstreamDrained,
                                                         FaultKind::kUpstreamAsksToWait,
                                                         FaultKind::kRouteChanged,
                                                         FaultKind::kWeightsPublished,
                                                         FaultKind::kBurst,
                                                         FaultKind::kEnginesFallSilent};
// Of plan 8 without disruption of entry VMs, the store and links.
constexpr std::array<FaultKind, 17> kLoadKinds = {FaultKind::kChunksCorrupted,
                                                  FaultKind::kChunksCorruptedAtEngines,
                                                  FaultKind::kWeightsPublishedChunkCorrupted,
                                                  FaultKind::kAgentCallsSlow,
                                                  FaultKind::kEngineHangs,
                                                  FaultKind::kWeightsPublishedEngineHangs,
                                                  FaultKind::kWeightsPublishedAgentPaused,
                                                  FaultKind::kWeightsPublishedAgentKilled,
                                                  FaultKind::kVersionsQuickly,
                                                  FaultKind::kStagedChunkCorrupted,
                                                  FaultKind::kAgentKilled,
                                                  FaultKind::kAgentPaused,
                                                  FaultKind::kUpstreamCrashed,
                                                  FaultKind::kUpstreamSlowsDown,
                                                  FaultKind::kUpstreamSlow,
                                                  FaultKind::kWeightsPublished,
                                                  FaultKind::kBurst};
// Of plan 9: what changes records and their readers.
constexpr std::array<FaultKind, 14> kOlderCopyKinds = {
    FaultKind::kStoreFromOlderCopy, FaultKind::kStoreResetting,      FaultKind::kHistoryCompacted,
    FaultKind::kEntryCutFromStore,  FaultKind::kEntryStoreLinkReset, FaultKind::kEntryKilled,
    FaultKind::kEntryPaused,        FaultKind::kWatchersKilled,      FaultKind::kUpstreamLeft,
    FaultKind::kUpstreamDrained,    FaultKind::kUpstreamCrashed,     FaultKind::kRouteChanged,
    FaultKind::kWeightsPublished,   FaultKind::kCrashingRequest};
// Of plan 10: what keeps requests waiting at engines until the rollout limit ends.
constexpr std::array<FaultKind, 12> kStandStillKinds = {
    FaultKind::kWeightsPublishedMachinesStandStill,
    FaultKind::kWeightsPublishedAgentsStandStill,
    FaultKind::kAgentKilled,
    FaultKind::kAgentPaused,
    FaultKind::kUpstreamCrashed,
    FaultKind::kUpstreamBreaksOff,
    FaultKind::kUpstreamFallsSilent,
    FaultKind::kUpstreamSlow,
    FaultKind::kUpstreamSlowsDown,
    FaultKind::kEngineHangs,
    FaultKind::kRouteChanged,
    FaultKind::kBurst};
// Of plan 11: what else happens to the upstreams and processes that get answers that are none.
constexpr std::array<FaultKind, 15> kNoAnswerKinds = {FaultKind::kUpstreamStrayAnswers,
                                                      FaultKind::kEndlessAgentAnswers,
                                                      FaultKind::kEntryStopped,
                                                      FaultKind::kEntryKilled,
                                                      FaultKind::kEntryPaused,
                                                      FaultKind::kAgentKilled,
                                                      FaultKind::kAgentPaused,
                                                      FaultKind::kUpstreamCrashed,
                                                      FaultKind::kUpstreamErrors,
                                                      FaultKind::kUpstreamTruncatesAnswers,
                                                      FaultKind::kUpstreamDrained,
                                                      FaultKind::kLinkReset,
                                                      FaultKind::kStagedChunkCorrupted,
                                                      FaultKind::kRouteChanged,
                                                      FaultKind::kBurst};
// One seed in so many draws from all kinds instead.
constexpr std::uint64_t kAllKindsEverySeeds = 4;

// Number of kinds in the plans of older versions.
constexpr std::size_t kFirstPlanKinds = 27;
constexpr std::size_t kSecondPlanKinds = 33;
constexpr std::size_t kThirdPlanKinds = 34;
constexpr std::size_t kFourthPlanKinds = 35;
constexpr std::size_t kFifthPlanKinds = 37;
constexpr std::size_t kSixthPlanKinds = 41;
constexpr std::size_t kSeventhPlanKinds = 49;
constexpr std::size_t kEighthPlanKinds = 58;
constexpr std::size_t kNinthPlanKinds = 59;
constexpr std::size_t kTenthPlanKinds = 61;

std::vector<FaultSpec> SpecsOfKinds(std::span<const FaultKind> kinds) {
  std::vector<FaultSpec> specs;
  for (const FaultSpec& spec : kFaultSpecs) {
    if (std::ranges::find(kinds, spec.kind) != kinds.end()) specs.push_back(spec);
  }
  return specs;
}

std::span<const FaultSpec> SpecsOf(PlanVersion version, std::uint64_t seed) {
  const std::span<const FaultSpec> all = kFaultSpecs;
  static const std::vector<FaultSpec> kPlannedWork = SpecsOfKinds(kPlannedWorkKinds);
  static const std::vector<FaultSpec> kLoads = SpecsOfKinds(kLoadKinds);
  static const std::vector<FaultSpec> kOlderCopies = SpecsOfKinds(kOlderCopyKinds);
  static const std::vector<FaultSpec> kStandStill = SpecsOfKinds(kStandStillKinds);
  static const std::vector<FaultSpec> kNoAnswers = SpecsOfKinds(kNoAnswerKinds);
  const bool all_kinds = seed % kAllKindsEverySeeds == 0;
  switch (version) {
    case PlanVersion::kFirst:
      return all.first(kFirstPlanKinds);
    case PlanVersion::kSecond:
      return all.first(kSecondPlanKinds);
    case PlanVersion::kThird:
      return all.first(kThirdPlanKinds);
    case PlanVersion::kFourth:
      return all.first(kFourthPlanKinds);
    case PlanVersion::kFifth:
      return all.first(kFifthPlanKinds);
    case PlanVersion::kSixth:
      return all.first(kSixthPlanKinds);
    case PlanVersion::kSeventh:
      return all_kinds ? all.first(kSeventhPlanKinds) : kPlannedWork;
    case PlanVersion::kEighth:
      return all_kinds ? all.first(kEighthPlanKinds) : kLoads;
    case PlanVersion::kNinth:
      return all_kinds ? all.first(kNinthPlanKinds) : kOlderCopies;
    case PlanVersion::kTenth:
      return all_kinds ? all.first(kTenthPlanKinds) : kStandStill;
    case PlanVersion::kEleventh:
      break;
  }
  return all_kinds ? all : kNoAnswers;
}

// Mean time between the starts of two series.
constexpr double kMeanSeriesIntervalS = 2.5;
// Since plan 2 the mean is drawn for each plan; the other end of its range.
constexpr double kShortSeriesIntervalS = 1;
// Since plan 2 the faults of a series hit the same target with this probability.
constexpr double kSameTargetProbability = 0.5;
// A fault is followed by another one of the same series with this probability.
constexpr double kRepeatProbability = 0.35;
constexpr double kMinDurationS = 0.3;
constexpr double kMaxDurationS = 4;
// Time from the publication of weights to planned stops.
constexpr double kMaxPublishedBeforeS = 8;
// Time between two publications of weights in plan 8.
constexpr double kMinPublicationGapS = 3;
constexpr double kMaxPublicationGapS = 6;

FaultKind DrawKind(Random& random, std::span<const FaultSpec> specs) {
  std::uint32_t total = 0;
  for (const FaultSpec& spec : specs) total += spec.weight;
  std::uint64_t draw = UniformBelow(random, total);
  for (const FaultSpec& spec : specs) {
    if (draw < spec.weight) return spec.kind;
    draw -= spec.weight;
  }
  return FaultKind::kBurst;
}

void AddStopsInTurn(Random& random, double end, std::vector<Fault>& plan) {
  const double stop_at = end * UniformUnit(random);
  plan.push_back({.at = FromSeconds(stop_at),
                  .kind = FaultKind::kEntriesStoppedInTurn,
                  .target = UniformBelow(random, 1000),
                  .duration = FromSeconds(kMaxDurationS * UniformUnit(random))});
  // New weights become due while the entry VMs stop.
  const double published_at = std::max(0.0, stop_at - kMaxPublishedBeforeS * UniformUnit(random));
  plan.push_back({.at = FromSeconds(published_at), .kind = FaultKind::kWeightsPublished});
}

void AddPublications(Random& random, double end, std::vector<Fault>& plan) {
  const double spread = kMaxPublicationGapS - kMinPublicationGapS;
  for (double at = spread * UniformUnit(random); at < end;
       at += kMinPublicationGapS + spread * UniformUnit(random)) {
    plan.push_back({.at = FromSeconds(at), .kind = FaultKind::kWeightsPublished});
  }
}

// At any time of the plan's first half, so that other faults may follow.
void AddStandStill(Random& random, double end, std::vector<Fault>& plan) {
  plan.push_back({.at = FromSeconds(end / 2 * UniformUnit(random)),
                  .kind = FaultKind::kWeightsPublishedMachinesStandStill,
                  .target = UniformBelow(random, 1000),
                  .duration = FromSeconds(kMinDurationS +
                                          (kMaxDurationS - kMinDurationS) * UniformUnit(random))});
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  const auto spec = std::find_if(kFaultSpecs.begin(), kFaultSpecs.end(),
                                 [kind](const FaultSpec& other) { return other.kind == kind; });
  return spec == kFaultSpecs.end() ? "unknown" : spec->name;
}

std::span<const FaultKind> AllFaultKinds() {
  static const auto kAll = [] {
    std::array<FaultKind, kFaultSpecs.size()> kinds = {};
    std::transform(kFaultSpecs.begin(), kFaultSpecs.end(), kinds.begin(),
                   [](const FaultSpec& spec) { return spec.kind; });
    return kinds;
  }();
  return kAll;
}

std::vector<Fault> MakeFaultPlan(std::uint64_t seed, Duration length, PlanVersion version) {
  Random random(seed);
  std::vector<Fault> plan;
  const bool first = version == PlanVersion::kFirst;
  const std::span<const FaultSpec> specs = SpecsOf(version, seed);
  const double interval =
      first ? kMeanSeriesIntervalS
            : kShortSeriesIntervalS +
                  (kMeanSeriesIntervalS - kShortSeriesIntervalS) * UniformUnit(random);
  const double end = ToSeconds(length) * 0.9;
  for (double at = UniformUnit(random); at < end; at += 2 * interval * UniformUnit(random)) {
    const FaultKind kind = DrawKind(random, specs);
    const bool same_target = !first && UniformUnit(random) < kSameTargetProbability;
    const std::size_t series_begin = plan.size();
    double series_at = at;
    do {
      plan.push_back({.at = FromSeconds(series_at),
                      .kind = kind,
                      .target = UniformBelow(random, 1000),
                      .duration = FromSeconds(kMinDurationS + (kMaxDurationS - kMinDurationS) *
                                                                  UniformUnit(random))});
      if (same_target) plan.back().target = plan[series_begin].target;
      series_at += 0.05 + UniformUnit(random);
    } while (UniformUnit(random) < kRepeatProbability && series_at < end);
  }
  if (version == PlanVersion::kSeventh && seed % kAllKindsEverySeeds != 0) {
    AddStopsInTurn(random, end, plan);
  }
  if (version == PlanVersion::kEighth || version == PlanVersion::kNinth ||
      version == PlanVersion::kEleventh) {
    AddPublications(random, end, plan);
  }
  if (version == PlanVersion::kTenth) AddStandStill(random, end, plan);
  std::sort(plan.begin(), plan.end(),
            [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return plan;
}

}  // namespace savory
