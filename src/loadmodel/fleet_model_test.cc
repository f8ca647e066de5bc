// Runs load patterns against the real dispatchers, in virtual time and without a network.
#include "loadmodel/fleet_model.h"

#include <gtest/gtest.h>

#include <iostream>
#include <vector>

#include "loadmodel/load_patterns.h"

namespace savory {
namespace {

// The users' targets for days with faults, in workloads of these sizes.
constexpr double kMinValueRatio = 0.78;
constexpr double kMinValueRatioOfLargeFleet = 0.70;
constexpr std::uint64_t kSeeds = 3;
// Enough that the mean difference between two policies varies by less than the bound on it.
constexpr std::uint64_t kComparedSeeds = 24;

double MeanValueRatio(std::string_view pattern, std::string_view fleet = "medium",
                      std::uint64_t seeds = kSeeds) {
  double sum = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const FleetOutcome outcome = RunFleetModel(*FindLoadPattern(pattern, fleet, seed));
    sum += outcome.ValueRatio();
    std::cout << fleet << ' ' << pattern << ", seed " << seed << ": value ratio "
              << outcome.ValueRatio() << '\n';
  }
  return sum / static_cast<double>(seeds);
}

// Sums over several runs.
struct WaitOutcome {
  double value_ratio = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  std::uint64_t rejected = 0;  // by engines

  void Add(const FleetOutcome& outcome) {
    this->value_ratio += outcome.ValueRatio();
    this->rejected += outcome.rejected_by_engines;
    for (const ClassOutcome& row : outcome.classes) {
      this->late += row.late;
      this->refused += row.refused;
    }
  }
};

// Steady load of a busy day. Guards against entries that overload the same engines.
TEST(FleetModelTest, SteadyLoadIsServedInTime) {
  EXPECT_GE(MeanValueRatio("steady"), 0.95);
  EXPECT_GE(MeanValueRatio("steady", "small"), 0.95);
  EXPECT_GE(MeanValueRatio("steady", "large", 1), 0.95);
}

// A burst that exceeds the engines' capacity for a while. Guards against requests that queue until
// all are late, where the excess ones should be refused.
TEST(FleetModelTest, BurstKeepsTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("burst"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("burst", "small"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("burst", "large", 1), kMinValueRatioOfLargeFleet);
}

// New weights are loaded under the load of a busy day. Guards against entries that overload engines
// that have just rejoined, and against slots that no entry uses.
TEST(FleetModelTest, RolloutUnderLoadKeepsTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("rollout"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("rollout", "small"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("rollout", "large", 1), kMinValueRatioOfLargeFleet);
}

// Some engines crash. Guards against requests that pile up on the remaining engines.
TEST(FleetModelTest, EngineCrashesKeepTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("loss"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("loss", "small"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("loss", "large", 1), kMinValueRatioOfLargeFleet);
}

// Recovery from a power outage of the whole fleet: callers send at once, engines rejoin one by one,
// and no entry knows what the others send. Guards against entries that refuse requests while
// engines are idle, and against entries that all choose the engines that rejoined first.
TEST(FleetModelTest, RecoveryFromAPowerOutageKeepsTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("return"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("return", "small"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("return", "large", 1), kMinValueRatioOfLargeFleet);
}

// Half of the engines ask for a wait in a burst. Guards against requests that go to these engines
// nevertheless, and against callers that return while no engine accepts them.
TEST(FleetModelTest, WaitsThatEnginesAskForAreRespected) {
  const auto run = [](std::string_view fleet, bool announced) {
    WaitOutcome sum;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FleetModelOptions options = *FindLoadPattern("waits", fleet, seed);
      options.waits.front().announced = announced;
      sum.Add(RunFleetModel(options));
    }
    std::cout << fleet << " waits, announced " << announced << ": value ratio "
              << sum.value_ratio / kSeeds << ", late " << sum.late << ", refused " << sum.refused
              << ", rejected by engines " << sum.rejected << '\n';
    return sum;
  };
  for (const char* fleet : {"small", "medium"}) {
    const WaitOutcome unknown = run(fleet, false);
    const WaitOutcome respected = run(fleet, true);
    EXPECT_LT(respected.rejected, unknown.rejected / 4) << fleet;
    EXPECT_LT(respected.late, unknown.late) << fleet;
    EXPECT_GE(respected.value_ratio / kSeeds, kMinValueRatio) << fleet;
  }
}

// Callers move from one region to another, as when a region's entries are unreachable. Guards
// against shares of the engines that follow the demand too slowly.
TEST(FleetModelTest, CallersThatMoveKeepTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("shift"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("shift", "small"), kMinValueRatio);
  EXPECT_GE(MeanValueRatio("shift", "large", 1), kMinValueRatioOfLargeFleet);
}

// Sums over several runs, with the ways between the regions and the pace of the moment known or
// not.
struct SideOutcome {
  double value_ratio = 0;
  double far = 0;  // part of the attempts that went to another region
};

SideOutcome RunSides(std::string_view pattern, std::string_view fleet, bool ways, bool pace,
                     std::uint64_t seeds = kSeeds) {
  SideOutcome sum;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FleetModelOptions options = *FindLoadPattern(pattern, fleet, seed);
    options.ways_known = ways;
    options.answers_tell_pace = pace;
    const FleetOutcome outcome = RunFleetModel(options);
    sum.value_ratio += outcome.ValueRatio() / static_cast<double>(seeds);
    sum.far += static_cast<double>(outcome.sent_far) / static_cast<double>(outcome.sent) /
               static_cast<double>(seeds);
  }
  std::cout << fleet << ' ' << pattern << ", ways " << ways << ", pace " << pace << ": value ratio "
            << sum.value_ratio << ", far " << sum.far << '\n';
  return sum;
}

// A busy day whose regions have room. Guards against traffic that leaves and gains nothing.
TEST(FleetModelTest, KnownWaysKeepTrafficInItsRegion) {
  for (const char* fleet : {"small", "medium"}) {
    const SideOutcome before = RunSides("steady", fleet, false, false);
    const SideOutcome after = RunSides("steady", fleet, true, false);
    EXPECT_LT(after.far, before.far) << fleet;
    EXPECT_GE(after.value_ratio, 0.95) << fleet;
  }
}

// One region has twice its load. Guards against callers there that are refused while others have
// room.
TEST(FleetModelTest, RegionWithDoubleDemandIsServedElsewhere) {
  for (const char* fleet : {"small", "medium"}) {
    RunSides("uneven", fleet, false, false);
    EXPECT_GE(RunSides("uneven", fleet, true, false).value_ratio, kMinValueRatio) << fleet;
  }
}

// The engines of one region work at a third of their speed. Guards against callers that wait for
// them until they miss their targets.
TEST(FleetModelTest, SlowRegionIsLeft) {
  for (const char* fleet : {"small", "medium"}) {
    const SideOutcome before = RunSides("slow-region", fleet, false, false, kComparedSeeds);
    const SideOutcome after = RunSides("slow-region", fleet, true, true, kComparedSeeds);
    EXPECT_GE(after.value_ratio, before.value_ratio - 0.01) << fleet;
  }
}

// A noisy neighbour flips the pace ten times a second, and some machines are slow for seconds.
// Guards against decisions that chase the figure.
TEST(FleetModelTest, PaceOfTheMomentServesCallersNoWorse) {
  for (const char* pattern : {"neighbours", "slow-machines"}) {
    for (const char* fleet : {"small", "medium"}) {
      const SideOutcome before = RunSides(pattern, fleet, false, false);
      const SideOutcome after = RunSides(pattern, fleet, false, true);
      EXPECT_GE(after.value_ratio, before.value_ratio - 0.01) << pattern << ' ' << fleet;
    }
  }
}

struct UrgencyOutcome {
  double value_ratio = 0;
  std::vector<double> classes = {};  // served part of each, most urgent first
};

// With `compete` unset all callers have one priority, so nothing is taken from any of them.
UrgencyOutcome RunUrgency(std::string_view pattern, bool compete) {
  UrgencyOutcome mean{.classes = {0, 0, 0}};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetModelOptions options = *FindLoadPattern(pattern, "medium", seed);
    for (RequestClass& row : options.classes) row.priority = compete ? row.priority : 1;
    const FleetOutcome outcome = RunFleetModel(options);
    mean.value_ratio += outcome.ValueRatio() / kSeeds;
    for (std::size_t i = 0; i < mean.classes.size(); ++i) {
      const ClassOutcome& row = outcome.classes[i];
      const double refused = static_cast<double>(row.refused) / static_cast<double>(row.requests);
      mean.classes[i] += (1 - refused) / kSeeds;
    }
  }
  std::cout << pattern << ", priorities compete " << compete << ": value ratio " << mean.value_ratio
            << ", served " << mean.classes[0] << ' ' << mean.classes[1] << ' ' << mean.classes[2]
            << '\n';
  return mean;
}

// A burst of the least urgent kind, bursts of each kind in turn, one region with double demand, and
// callers that repeat at once. Guards against less urgent requests, which fit first, in the places
// of more urgent ones, and against a kind that is starved.
TEST(FleetModelTest, UrgentRequestsGoBeforeLessUrgentOnes) {
  for (const char* pattern : {"low-burst", "turns", "double", "repeats"}) {
    const UrgencyOutcome before = RunUrgency(pattern, false);
    const UrgencyOutcome after = RunUrgency(pattern, true);
    EXPECT_GT(after.value_ratio, before.value_ratio + 0.01) << pattern;
    EXPECT_GT(after.classes[0], before.classes[0] + 0.05) << pattern;
    EXPECT_GT(after.classes[0], after.classes[2]) << pattern;
    EXPECT_GT(after.classes[2], 0.45) << pattern;
  }
}

// Guards against a listed pattern that cannot be run, and against a run of an unknown name.
TEST(LoadPatternsTest, EveryListedPatternIsFound) {
  for (const LoadPattern& pattern : LoadPatterns()) {
    for (const std::string_view fleet : kFleetSizes) {
      EXPECT_TRUE(FindLoadPattern(pattern.name, fleet, 1).has_value()) << pattern.name;
    }
  }
  EXPECT_FALSE(FindLoadPattern("unknown", "small", 1).has_value());
  EXPECT_FALSE(FindLoadPattern("steady", "unknown", 1).has_value());
}

}  // namespace
}  // namespace savory
