#include "soak/fault_plan.h"

#include <algorithm>
#include <array>

#include "base/random.h"

namespace savory {
namespace {

struct KindRow {
  FaultKind kind;
  std::string_view name;
  std::uint32_t weight;  // share among the drawn faults
};

// Changes come more often than failures, as on the users' platform.
constexpr std::array<KindRow, 27> kKinds = {{
    {FaultKind::kStoreRefusing, "store-refusing", 2},
    {FaultKind::kStoreSilent, "store-silent", 2},
    {FaultKind::kStoreResetting, "store-resetting", 2},
    {FaultKind::kStoreLosesAnswers, "store-loses-answers", 2},
    {FaultKind::kStoreSlow, "store-slow", 2},
    {FaultKind::kHistoryForgotten, "history-forgotten", 2},
    {FaultKind::kEntryCutFromStore, "entry-cut-from-store", 4},
    {FaultKind::kEntryStopped, "entry-stopped", 6},
    {FaultKind::kEntryKilled, "entry-killed", 4},
    {FaultKind::kEntryPaused, "entry-paused", 4},
    {FaultKind::kAgentKilled, "agent-killed", 4},
    {FaultKind::kAgentPaused, "agent-paused", 4},
    {FaultKind::kUpstreamCrashed, "upstream-crashed", 6},
    {FaultKind::kUpstreamErrors, "upstream-errors", 4},
    {FaultKind::kUpstreamLosesAnswers, "upstream-loses-answers", 4},
    {FaultKind::kUpstreamBreaksOff, "upstream-breaks-off", 4},
    {FaultKind::kUpstreamSilent, "upstream-silent", 4},
    {FaultKind::kUpstreamDrained, "upstream-drained", 6},
    {FaultKind::kStagedPieceSpoilt, "staged-piece-spoilt", 4},
    {FaultKind::kLinkDelayed, "link-delayed", 4},
    {FaultKind::kLinkReset, "link-reset", 4},
    {FaultKind::kLinkSilent, "link-silent", 4},
    {FaultKind::kLinkOneWay, "link-one-way", 4},
    {FaultKind::kRouteMoved, "route-moved", 10},
    {FaultKind::kWeightsNamed, "weights-named", 5},
    {FaultKind::kBurst, "burst", 4},
    {FaultKind::kAllKilled, "all-killed", 1},
}};

// Mean time between the starts of two series.
constexpr double kSeriesEveryS = 2.5;
// A fault is followed by another one of the same kind with this probability.
constexpr double kRepeats = 0.35;
constexpr double kShortestS = 0.3;
constexpr double kLongestS = 4;

FaultKind DrawKind(Random& random) {
  std::uint32_t total = 0;
  for (const KindRow& row : kKinds) total += row.weight;
  std::uint64_t place = UniformBelow(random, total);
  for (const KindRow& row : kKinds) {
    if (place < row.weight) return row.kind;
    place -= row.weight;
  }
  return FaultKind::kBurst;
}

}  // namespace

std::string_view FaultName(FaultKind kind) {
  const auto row = std::find_if(kKinds.begin(), kKinds.end(),
                                [kind](const KindRow& other) { return other.kind == kind; });
  return row == kKinds.end() ? "unknown" : row->name;
}

std::span<const FaultKind> AllFaultKinds() {
  static const auto kAll = [] {
    std::array<FaultKind, kKinds.size()> kinds = {};
    std::transform(kKinds.begin(), kKinds.end(), kinds.begin(),
                   [](const KindRow& row) { return row.kind; });
    return kinds;
  }();
  return kAll;
}

std::vector<Fault> MakeFaultPlan(std::uint64_t seed, Duration length) {
  Random random(seed);
  std::vector<Fault> plan;
  const double end = ToSeconds(length) * 0.9;
  for (double at = UniformUnit(random); at < end; at += 2 * kSeriesEveryS * UniformUnit(random)) {
    const FaultKind kind = DrawKind(random);
    double in_series = at;
    do {
      plan.push_back(
          {.at = FromSeconds(in_series),
           .kind = kind,
           .target = UniformBelow(random, 1000),
           .lasts = FromSeconds(kShortestS + (kLongestS - kShortestS) * UniformUnit(random))});
      in_series += 0.05 + UniformUnit(random);
    } while (UniformUnit(random) < kRepeats && in_series < end);
  }
  std::sort(plan.begin(), plan.end(),
            [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return plan;
}

}  // namespace savory
