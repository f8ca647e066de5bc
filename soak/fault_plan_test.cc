#include "soak/fault_plan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace savory {
namespace {

using std::chrono::seconds;

// Guards against a failed run that its seed does not reproduce.
TEST(FaultPlan, SameSeedGivesTheSamePlan) {
  const auto first = MakeFaultPlan(7, seconds(60));
  const auto again = MakeFaultPlan(7, seconds(60));
  ASSERT_EQ(first.size(), again.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].at, again[i].at);
    EXPECT_EQ(first[i].kind, again[i].kind);
    EXPECT_EQ(first[i].target, again[i].target);
  }
}

// Guards against seeds of soak/regression_seeds.txt that no longer inject what they injected when
// they failed.
TEST(FaultPlan, OlderPlansAreUnchanged) {
  const auto first = MakeFaultPlan(15, seconds(20), PlanVersion::kFirst);
  ASSERT_EQ(first.size(), 13u);
  EXPECT_EQ(first.front().kind, FaultKind::kHistoryCompacted);
  EXPECT_EQ(first.front().at, std::chrono::microseconds(782714));
  EXPECT_EQ(first.back().kind, FaultKind::kWeightsPublished);
  EXPECT_EQ(first.back().target, 516u);
  EXPECT_EQ(first.back().duration, std::chrono::microseconds(2805535));
  const auto second = MakeFaultPlan(114, seconds(20), PlanVersion::kSecond);
  ASSERT_EQ(second.size(), 14u);
  EXPECT_EQ(second[1].kind, FaultKind::kUpstreamLeftAtReset);
  EXPECT_EQ(second[1].target, 520u);
  EXPECT_EQ(ToMillis(second[1].at), 1694);
  EXPECT_EQ(second.back().kind, FaultKind::kEntryPaused);
  EXPECT_EQ(ToMillis(second.back().duration), 3396);
  const auto sixth = MakeFaultPlan(803, seconds(20), PlanVersion::kSixth);
  ASSERT_EQ(sixth.size(), 11u);
  EXPECT_EQ(sixth[2].kind, FaultKind::kWeightsPublishedEntryPaused);
  EXPECT_EQ(sixth[2].duration, std::chrono::microseconds(3011486));
  EXPECT_EQ(sixth.back().target, 598u);
  const auto seventh = MakeFaultPlan(913, seconds(20), PlanVersion::kSeventh);
  ASSERT_EQ(seventh.size(), 18u);
  EXPECT_EQ(seventh[1].kind, FaultKind::kUpstreamCrashed);
  EXPECT_EQ(seventh[1].at, std::chrono::microseconds(49469));
  EXPECT_EQ(seventh.back().kind, FaultKind::kBurst);
  EXPECT_EQ(seventh.back().duration, std::chrono::microseconds(2484903));
  const auto all_kinds = MakeFaultPlan(936, seconds(20), PlanVersion::kSeventh);
  ASSERT_EQ(all_kinds.size(), 15u);
  EXPECT_EQ(all_kinds[2].kind, FaultKind::kCrashingRequest);
  EXPECT_EQ(all_kinds[2].target, 399u);
  EXPECT_EQ(all_kinds.back().kind, FaultKind::kVersionsInARow);
  EXPECT_EQ(all_kinds.back().at, std::chrono::microseconds(15836089));
  const auto eighth = MakeFaultPlan(1001, seconds(20), PlanVersion::kEighth);
  ASSERT_EQ(eighth.size(), 13u);
  EXPECT_EQ(eighth.back().kind, FaultKind::kUpstreamSlowsDown);
  EXPECT_EQ(eighth.back().target, 455u);
  EXPECT_EQ(eighth.back().at, std::chrono::microseconds(17813191));
  const auto eighth_of_all = MakeFaultPlan(1004, seconds(20), PlanVersion::kEighth);
  ASSERT_EQ(eighth_of_all.size(), 13u);
  EXPECT_EQ(eighth_of_all.back().kind, FaultKind::kLinkSilent);
  EXPECT_EQ(eighth_of_all.back().target, 398u);
  const auto ninth = MakeFaultPlan(2003, seconds(20), PlanVersion::kNinth);
  ASSERT_EQ(ninth.size(), 19u);
  EXPECT_EQ(ninth.front().at, std::chrono::microseconds(340009));
  EXPECT_EQ(ninth.back().kind, FaultKind::kUpstreamDrained);
  EXPECT_EQ(ninth.back().at, std::chrono::microseconds(16019556));
  const auto ninth_of_all = MakeFaultPlan(2004, seconds(20), PlanVersion::kNinth);
  ASSERT_EQ(ninth_of_all.size(), 21u);
  EXPECT_EQ(ninth_of_all.back().kind, FaultKind::kWeightsPublished);
  EXPECT_EQ(ninth_of_all.back().at, std::chrono::microseconds(17391303));
  const auto tenth = MakeFaultPlan(2105, seconds(20), PlanVersion::kTenth);
  ASSERT_EQ(tenth.size(), 16u);
  EXPECT_EQ(tenth.back().at, std::chrono::microseconds(17730640));
  EXPECT_EQ(tenth.back().target, 648u);
  const auto tenth_of_all = MakeFaultPlan(2104, seconds(20), PlanVersion::kTenth);
  ASSERT_EQ(tenth_of_all.size(), 23u);
  EXPECT_EQ(tenth_of_all.back().kind, FaultKind::kWeightsPublishedEngineSlow);
  EXPECT_EQ(tenth_of_all.back().duration, std::chrono::microseconds(1576436));
}

// Guards against runs without loads, which show nothing about the chunks that engines load.
TEST(FaultPlan, EverySeedPublishesWeightsAgainAndAgain) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const PlanVersion version : {PlanVersion::kEighth, PlanVersion::kNinth}) {
      const auto plan = MakeFaultPlan(seed, seconds(20), version);
      EXPECT_GE(std::ranges::count(plan, FaultKind::kWeightsPublished, &Fault::kind), 3) << seed;
    }
  }
}

// Guards against runs of plan 10 in which no machine stands still at the end of a rollout limit, or
// all from about the same time before it.
TEST(FaultPlan, EverySeedStopsMachinesBeforeTheEndOfARolloutLimit) {
  int just_before = 0;
  int seconds_before = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    int faults = 0;
    for (const Fault& fault : MakeFaultPlan(seed, seconds(20), PlanVersion::kTenth)) {
      if (fault.kind != FaultKind::kWeightsPublishedMachinesStandStill) continue;
      ++faults;
      just_before += fault.duration < seconds(1) ? 1 : 0;
      seconds_before += fault.duration > seconds(2) ? 1 : 0;
    }
    EXPECT_GE(faults, 1) << seed;
  }
  EXPECT_GE(just_before, 10);
  EXPECT_GE(seconds_before, 10);
}

// Guards against runs of plan 11 in which no answer is a stray one, or none to an agent lacks an
// end.
TEST(FaultPlan, MostSeedsOfPlan11GiveAnswersThatAreNone) {
  int strays = 0;
  int endless = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const auto plan = MakeFaultPlan(seed, seconds(20), PlanVersion::kEleventh);
    if (std::ranges::count(plan, FaultKind::kUpstreamStrayAnswers, &Fault::kind) > 0) ++strays;
    if (std::ranges::count(plan, FaultKind::kEndlessAgentAnswers, &Fault::kind) > 0) ++endless;
  }
  EXPECT_GE(strays, 30);
  EXPECT_GE(endless, 30);
}

// Guards against fault kinds that are never injected, and against plans without overlapping faults.
TEST(FaultPlan, SeedsCoverEveryKindWithOverlaps) {
  std::set<FaultKind> drawn;
  bool overlaps = false;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const auto plan = MakeFaultPlan(seed, seconds(30));
    for (std::size_t i = 0; i < plan.size(); ++i) {
      drawn.insert(plan[i].kind);
      overlaps = overlaps || (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].duration);
    }
  }
  EXPECT_EQ(drawn.size(), AllFaultKinds().size());
  EXPECT_TRUE(overlaps);
}

// Guards against a run that ends during a fault and so does not test recovery.
TEST(FaultPlan, LastTenthIsFreeOfNewFaults) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    for (const Fault& fault : MakeFaultPlan(seed, seconds(30))) EXPECT_LT(fault.at, seconds(27));
  }
}

}  // namespace
}  // namespace savory
