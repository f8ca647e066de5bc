#include "direct/copy_policy.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

constexpr CopyContext kBehind = {.wanted = 3, .engine_version = 1, .seeding_agents = 4};
constexpr CopyContext kDone = {.wanted = 3, .engine_version = 3, .seeding_agents = 4};

// Pattern: everything restarts in the middle of a rollout. Guards against copying a version again
// that an earlier start of the agent had staged whole.
TEST(CopyPolicy, FirstCopyOfAProcessLooksAtTheEngine) {
  CopyContext context = kBehind;
  EXPECT_FALSE(MayBeStagedAtEngine(context));
  context.first_copy = true;
  EXPECT_TRUE(NeedsCopy(context));
  EXPECT_TRUE(MayBeStagedAtEngine(context));
  EXPECT_GT(OriginDelay(context), Duration(0));
}

// Pattern: everything restarts in the middle of a rollout. Guards against agents whose engines are
// done, which hold the only copies, keeping them from the others.
TEST(CopyPolicy, DoneAgentReadsItsEngineBackWhenItIsAsked) {
  CopyContext context = kDone;
  EXPECT_FALSE(NeedsCopy(context));
  context.requested_by_peer = true;
  EXPECT_TRUE(NeedsCopy(context));
  EXPECT_TRUE(MayBeStagedAtEngine(context));
}

// Pattern: empty engines are added. Guards against every agent of the region reading its engine
// back for them, and against new engines that wait for pieces which cannot lie there.
TEST(CopyPolicy, FewAgentsSeedForEmptyEngines) {
  CopyContext context = kDone;
  context.engines_without_weights = true;
  context.rank = 3;
  EXPECT_TRUE(NeedsCopy(context));
  context.rank = 4;
  EXPECT_FALSE(NeedsCopy(context));
  CopyContext empty = kBehind;
  empty.engine_version = 0;
  EXPECT_TRUE(MayBeStagedAtEngine(empty));
  EXPECT_EQ(OriginDelay(empty), Duration(0));
}

// Guards against orders for an engine of which nothing is known.
TEST(CopyPolicy, UnreachableEngineNeedsNoCopy) {
  CopyContext context = kBehind;
  context.engine_version.reset();
  context.requested_by_peer = true;
  EXPECT_FALSE(NeedsCopy(context));
}

// Pattern: two versions named 3 s apart. Guards against a copy with 46 of 48 pieces that is left
// for a newer version: engines must hold the older one first.
TEST(CopyPolicyTest, NearlyWholeCopyIsFinishedFirst) {
  EXPECT_TRUE(ShouldFinishBeforeNewer({.held = 46, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 48, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 20, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer(
      {.held = 46, .chunks = 48, .newer_known_for = std::chrono::milliseconds(1500)}));
}

// Pattern: two versions named 2 s apart and an origin that fails just after, as on scale-1 of
// kcw-recell and alhadid-seals: agents held 29 to 32 of 48 pieces, all others lay with neighbours,
// and they left them for a version of which the origin sent 3 to 6. No engine held either for 4 s.
TEST(CopyPolicyTest, CopyWhosePiecesLieWithNeighboursIsFinishedFirst) {
  EXPECT_TRUE(ShouldFinishBeforeNewer({.held = 28, .reachable = 46, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 8, .reachable = 20, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 28,
                                        .reachable = 46,
                                        .chunks = 48,
                                        .newer_known_for = std::chrono::milliseconds(1500)}));
}

}  // namespace
}  // namespace savory
