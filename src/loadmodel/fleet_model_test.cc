// Runs load patterns against the real dispatchers, in virtual time and without a network.
#include "loadmodel/fleet_model.h"

#include <gtest/gtest.h>

#include <iostream>

#include "loadmodel/load_patterns.h"

namespace savory {
namespace {

// The users' target for days with faults, in the workload kcw-recell-grown.
constexpr double kMinValueRatio = 0.78;
constexpr std::uint64_t kSeeds = 3;

double MeanValueRatio(std::string_view pattern) {
  double sum = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetOutcome outcome = RunFleetModel(*FindLoadPattern(pattern, seed));
    sum += outcome.ValueRatio();
    std::cout << pattern << ", seed " << seed << ": value ratio " << outcome.ValueRatio() << '\n';
  }
  return sum / kSeeds;
}

// Steady load of a busy day. Guards against entries that overload the same engines.
TEST(FleetModelTest, SteadyLoadIsServedInTime) { EXPECT_GE(MeanValueRatio("steady"), 0.95); }

// A burst that exceeds the engines' capacity for a while. Guards against requests that queue until
// all are late, where the excess ones should be refused.
TEST(FleetModelTest, BurstKeepsTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("burst"), kMinValueRatio);
}

// New weights are loaded under the load of a busy day. Guards against entries that overload engines
// that have just rejoined, and against slots that no entry uses.
TEST(FleetModelTest, RolloutUnderLoadKeepsTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("rollout"), kMinValueRatio);
}

// Some engines crash. Guards against requests that pile up on the remaining engines.
TEST(FleetModelTest, EngineCrashesKeepTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("loss"), kMinValueRatio);
}

// Recovery from a power outage of the whole fleet: callers send at once, engines rejoin one by one,
// and no entry knows what the others send. Guards against entries that refuse requests while
// engines are idle, and against entries that all choose the engines that rejoined first.
TEST(FleetModelTest, RecoveryFromAPowerOutageKeepsTheTargetValueRatio) {
  EXPECT_GE(MeanValueRatio("return"), kMinValueRatio);
}

// Guards against a listed pattern that cannot be run, and against a run of an unknown name.
TEST(LoadPatternsTest, EveryListedPatternIsFound) {
  for (const LoadPattern& pattern : LoadPatterns()) {
    EXPECT_TRUE(FindLoadPattern(pattern.name, 1).has_value()) << pattern.name;
  }
  EXPECT_FALSE(FindLoadPattern("unknown", 1).has_value());
}

}  // namespace
}  // namespace savory
