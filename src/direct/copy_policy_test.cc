#include "direct/copy_policy.h"

#include <gtest/gtest.h>

#include "distribution/congestion_detector.h"

namespace savory {
namespace {

constexpr CopyContext kOutdatedEngine = {.wanted = 3, .engine_version = 1, .seeding_agents = 4};
constexpr CopyContext kLoadedEngine = {.wanted = 3, .engine_version = 3, .seeding_agents = 4};

// When all processes restart during a rollout, an agent must read back the chunks that its earlier
// run staged, instead of copying the version again.
TEST(CopyPolicy, FirstCopyAfterStartChecksStagedChunks) {
  CopyContext context = kOutdatedEngine;
  EXPECT_FALSE(MayBeStagedAtEngine(context));
  context.first_copy = true;
  EXPECT_TRUE(NeedsCopy(context));
  EXPECT_TRUE(MayBeStagedAtEngine(context));
  EXPECT_GT(OriginDelay(context), Duration(0));
}

// When all processes restart during a rollout, only the engines that already loaded the version
// have its chunks. Their agents must read them back when another agent requests them.
TEST(CopyPolicy, AgentOfLoadedEngineReadsBackOnRequest) {
  CopyContext context = kLoadedEngine;
  EXPECT_FALSE(NeedsCopy(context));
  context.requested_by_peer = true;
  EXPECT_TRUE(NeedsCopy(context));
  EXPECT_TRUE(MayBeStagedAtEngine(context));
}

// When engines without weights join, only some agents of the region may read chunks back from their
// engines to supply them. The agents of the new engines must not wait for staged chunks, which
// these engines cannot have.
TEST(CopyPolicy, OnlyTopRankedAgentsSeedEmptyEngines) {
  CopyContext context = kLoadedEngine;
  context.engines_without_weights = true;
  context.rank = 3;
  EXPECT_TRUE(NeedsCopy(context));
  context.rank = 4;
  EXPECT_FALSE(NeedsCopy(context));
  CopyContext empty = kOutdatedEngine;
  empty.engine_version = 0;
  EXPECT_TRUE(MayBeStagedAtEngine(empty));
  EXPECT_EQ(OriginDelay(empty), Duration(0));
}

// An agent must not copy weights for an engine whose state is unknown.
TEST(CopyPolicy, UnreachableEngineNeedsNoCopy) {
  CopyContext context = kOutdatedEngine;
  context.engine_version.reset();
  context.requested_by_peer = true;
  EXPECT_FALSE(NeedsCopy(context));
}

// When two versions are announced 3 s apart, a copy with 46 of 48 chunks must not be abandoned for
// the newer version, because the deadline of the older one comes first.
TEST(CopyPolicyTest, NearlyCompleteCopyFinishesBeforeNewerVersion) {
  EXPECT_TRUE(ShouldFinishBeforeNewer({.held = 46, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 48, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 20, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer(
      {.held = 46, .chunks = 48, .newer_known_for = std::chrono::milliseconds(1500)}));
}

// Two versions are announced 2 s apart and the origin fails right after, as seen on scale-1 of
// kcw-recell and alhadid-seals. Agents held 29 to 32 of 48 chunks and neighbours held the others,
// but the agents abandoned the copy for a version of which the origin sent only 3 to 6 chunks. No
// engine held either version for 4 s.
TEST(CopyPolicyTest, CopyReachableAtNeighboursFinishesBeforeNewerVersion) {
  EXPECT_TRUE(ShouldFinishBeforeNewer({.held = 28, .reachable = 46, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 8, .reachable = 20, .chunks = 48}));
  EXPECT_FALSE(ShouldFinishBeforeNewer({.held = 28,
                                        .reachable = 46,
                                        .chunks = 48,
                                        .newer_known_for = std::chrono::milliseconds(1500)}));
}

// The origin goes away with 59 of 64 chunks sent and returns 1.7 s before the version's time ends,
// as on scale-1 of etna-gomme-grown. Guards against a newer version that waits for a copy which
// comes too late.
TEST(CopyPolicyTest, CopyThatComesTooLateDoesNotHoldUpTheNewerVersion) {
  EXPECT_TRUE(ShouldFinishBeforeNewer(
      {.held = 59, .chunks = 64, .time_left = std::chrono::milliseconds(4000)}));
  EXPECT_FALSE(ShouldFinishBeforeNewer(
      {.held = 59, .chunks = 64, .time_left = std::chrono::milliseconds(1700)}));
}

constexpr InterruptedCopy kInterrupted{.held = 22,
                                       .chunks = 48,
                                       .engine_lacks_it = true,
                                       .newer_chunks = 48,
                                       .newer_silent_for = std::chrono::milliseconds(900),
                                       .time_left = std::chrono::seconds(6)};

// Two versions are announced 2 s apart and the origin fails 0.5 s after the second, as on scale-1
// of berthslot-ph-grown: agents with 22 of 48 chunks waited 6 s for a version that the origin could
// not send, while all chunks of the older one were in the fleet.
TEST(CopyPolicyTest, OlderVersionIsResumedWhileTheOriginSendsNothingOfTheNewerOne) {
  EXPECT_TRUE(ShouldResumeOlder(kInterrupted));
  InterruptedCopy some_sent = kInterrupted;
  some_sent.newer_reachable = 6;
  EXPECT_TRUE(ShouldResumeOlder(some_sent));
}

// Guards against going back to an older version that delays the newer one for nothing.
TEST(CopyPolicyTest, OlderVersionIsNotResumedInVain) {
  InterruptedCopy copy = kInterrupted;
  copy.newer_silent_for = std::chrono::milliseconds(300);
  EXPECT_FALSE(ShouldResumeOlder(copy));
  copy = kInterrupted;
  copy.newer_reachable = 48;
  EXPECT_FALSE(ShouldResumeOlder(copy));
  copy = kInterrupted;
  copy.time_left = std::chrono::seconds(2);
  EXPECT_FALSE(ShouldResumeOlder(copy));
  copy = kInterrupted;
  copy.engine_lacks_it = false;
  EXPECT_FALSE(ShouldResumeOlder(copy));
  copy = kInterrupted;
  copy.held = 5;
  EXPECT_FALSE(ShouldResumeOlder(copy));
}

// Guards against an agent that stays with an older version whose chunks nobody sends.
TEST(CopyPolicyTest, ResumedCopyEndsWhenItIsCompleteOrStalls) {
  ResumedCopy copy{.held = 30, .chunks = 48, .resumed_for = std::chrono::seconds(1)};
  EXPECT_TRUE(ShouldGoOnWithResumed(copy));
  copy.silent_for = std::chrono::seconds(1);
  EXPECT_FALSE(ShouldGoOnWithResumed(copy));
  EXPECT_FALSE(ShouldGoOnWithResumed({.held = 48, .chunks = 48}));
  EXPECT_FALSE(ShouldGoOnWithResumed(
      {.held = 30, .chunks = 48, .resumed_for = std::chrono::milliseconds(3500)}));
}

// A narrow link is full of chunks, so that no request gets through. Guards against an agent that
// takes its engine for unused then, and copies all the faster.
TEST(CopyPolicyTest, EngineThatAcceptsMayGetRequestsThoughNoneArrive) {
  EXPECT_TRUE(MayGetRequests({.accepting = true}));
  EXPECT_TRUE(MayGetRequests({.requests = 1}));
  EXPECT_FALSE(MayGetRequests({.accepting = true, .time_left = Duration(0)})) << "outdated";
  EXPECT_FALSE(MayGetRequests({.accepting = false}));
}

// Requests wait for seconds behind chunks on a narrow link. Guards against an engine that accepts
// them until they would begin on outdated weights.
TEST(CopyPolicyTest, NarrowLinkDelaysRequestsPastTheEndOfAVersion) {
  EXPECT_TRUE(MayArriveTooLate(LinkState::kNarrow, std::chrono::seconds(3)));
  EXPECT_TRUE(MayArriveTooLate(LinkState::kNarrow, std::chrono::seconds(-1)));
  EXPECT_FALSE(MayArriveTooLate(LinkState::kNarrow, std::chrono::seconds(5)));
  EXPECT_FALSE(MayArriveTooLate(LinkState::kNarrow, Duration::max())) << "its weights stay";
  EXPECT_FALSE(MayArriveTooLate(LinkState::kBusy, std::chrono::seconds(3)));
}

// Guards against weights that count as valid for as long as the time of one newer version is
// unknown, or until the time of a later one.
TEST(CopyPolicyTest, EarliestNewerVersionOutdatesTheWeights) {
  const Instant start = Instant(std::chrono::hours(1));
  const std::vector<VersionTime> history = {
      {.version = 2, .since = start},
      {.version = 3, .since = std::nullopt},
      {.version = 4, .since = start + std::chrono::seconds(9)},
      {.version = 5, .since = start + std::chrono::seconds(7)}};
  EXPECT_EQ(OutdatedSince(history, 1, Instant::max()), start);
  EXPECT_EQ(OutdatedSince(history, 2, Instant::max()), start + std::chrono::seconds(7));
  EXPECT_EQ(OutdatedSince(history, 2, start + std::chrono::seconds(3)),
            start + std::chrono::seconds(3));
  EXPECT_EQ(OutdatedSince(history, 5, Instant::max()), Instant::max());
}

}  // namespace
}  // namespace savory
