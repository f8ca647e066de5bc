// Patterns of load in front of the real dispatchers, in virtual time and without network.
#include "loadmodel/fleet_model.h"

#include <gtest/gtest.h>

#include <iostream>

#include "loadmodel/load_patterns.h"

namespace savory {
namespace {

// The users' target for the days with trouble of kcw-recell-grown.
constexpr double kMinValueRatio = 0.78;
constexpr std::uint64_t kSeeds = 3;

double MeanValueRatio(std::string_view pattern) {
  double sum = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const FleetOutcome outcome = RunFleetModel(*FindLoadPattern(pattern, seed));
    sum += outcome.ValueRatio();
    std::cout << pattern << ", seed " << seed << ": worth " << outcome.ValueRatio() << '\n';
  }
  return sum / kSeeds;
}

// Pattern: steady load of a busy day. Guards against entries that meet at the same engines.
TEST(FleetModelTest, SteadyLoadIsServedInTime) { EXPECT_GE(MeanValueRatio("steady"), 0.95); }

// Pattern: many users come at once, for a while more than the engines can serve. Guards against
// requests that wait for each other instead of being refused.
TEST(FleetModelTest, BurstLeavesTheOthersInTime) {
  EXPECT_GE(MeanValueRatio("burst"), kMinValueRatio);
}

// Pattern: new weights under the load of a busy day. Guards against entries that fill engines that
// just returned, and against places that nobody uses.
TEST(FleetModelTest, RolloutUnderLoad) { EXPECT_GE(MeanValueRatio("rollout"), kMinValueRatio); }

// Pattern: engines crash. Guards against requests that pile up on the engines that are left.
TEST(FleetModelTest, LossOfSomeEngines) { EXPECT_GE(MeanValueRatio("loss"), kMinValueRatio); }

// Pattern: power returns everywhere. Callers are there at once, engines follow one by one, and no
// entry knows what the others send. Guards against entries that refuse beside empty engines or all
// take the first ones that are back.
TEST(FleetModelTest, EnginesReturnOneByOneAfterALossOfPower) {
  EXPECT_GE(MeanValueRatio("return"), kMinValueRatio);
}

// Guards against a pattern of the list that cannot be run, and a run under a misspelt name.
TEST(LoadPatternsTest, EveryListedPatternIsFound) {
  for (const LoadPattern& pattern : LoadPatterns()) {
    EXPECT_TRUE(FindLoadPattern(pattern.name, 1).has_value()) << pattern.name;
  }
  EXPECT_FALSE(FindLoadPattern("unknown", 1).has_value());
}

}  // namespace
}  // namespace savory
