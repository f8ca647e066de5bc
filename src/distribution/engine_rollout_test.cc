#include "distribution/engine_rollout.h"

#include <gtest/gtest.h>

#include <deque>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Executes the actions of an EngineRollout against a simulated engine.
class EngineRolloutTest : public ::testing::Test {
 protected:
  static constexpr std::uint32_t kChunks = 4;

  void Want(std::uint64_t version, RolloutPosition position = {}, std::uint32_t chunks = kChunks) {
    this->rollout.SetTarget("m", version, chunks, this->now, position);
    this->version = version;
    for (std::uint32_t i = 0; i < chunks; ++i) this->rollout.OnChunkAvailable(i);
  }

  void ReportState(std::uint64_t loaded_version, bool busy = false, std::uint32_t waiting = 0) {
    this->rollout.OnEngineState({.waiting = waiting,
                                 .weights_version = loaded_version,
                                 .busy = busy,
                                 .accepted_loads = this->load_count,
                                 .started_unix_ms = this->born},
                                this->AnsweredAtOnce());
  }

  // Advances the time by `duration`. Staging and verification complete at once; load requests end
  // with `answer`.
  void Run(Duration duration, LoadRequestResult result = LoadRequestResult::kAccepted) {
    for (const Instant end = this->now + duration; this->now < end; this->now += milliseconds(10)) {
      for (const RolloutAction& action : this->rollout.Advance(this->now)) {
        this->Execute(action, result);
      }
    }
  }

  void Execute(const RolloutAction& action, LoadRequestResult result) {
    if (const auto* staged_chunk = std::get_if<StageChunk>(&action)) {
      ++this->stage_count;
      this->rollout.OnChunkStaged(this->version, staged_chunk->chunk, StageResult::kStored,
                                  this->AnsweredAtOnce());
    } else if (const auto* verified_chunk = std::get_if<VerifyStagedChunk>(&action)) {
      ++this->verify_count;
      const bool intact = verified_chunk->chunk != this->corrupt_chunk;
      if (!intact) this->corrupt_chunk = UINT32_MAX;
      this->rollout.OnStagedChunkVerified(
          this->version, verified_chunk->chunk,
          intact ? ReadBackResult::kIntact : ReadBackResult::kCorrupt, this->AnsweredAtOnce());
    } else if (const auto* load = std::get_if<SendLoadRequest>(&action)) {
      this->load_requests.push_back(load->request);
      this->requested_at = this->now;
      if (result == LoadRequestResult::kAccepted) ++this->load_count;
      this->rollout.OnLoadRequestResult(result, this->now);
    } else {
      this->unload_requests.push_back(std::get<SendUnloadRequest>(action).request);
      ++this->load_count;
      this->rollout.OnUnloadRequestResult(LoadRequestResult::kAccepted, this->now);
    }
  }

  // As Run(), while the engine reports its state each 40 ms.
  void RunWithStates(Duration duration, std::uint64_t loaded_version,
                     LoadRequestResult result = LoadRequestResult::kAccepted) {
    for (const Instant end = this->now + duration; this->now < end;) {
      this->ReportState(loaded_version);
      this->Run(milliseconds(40), result);
    }
  }

  // Runs until a load request is in progress.
  void RunUntilRequest() {
    while (this->load_requests.empty()) {
      this->ReportState(1);
      for (const RolloutAction& action : this->rollout.Advance(this->now)) {
        if (const auto* load = std::get_if<SendLoadRequest>(&action)) {
          this->load_requests.push_back(load->request);
        } else {
          this->Execute(action, LoadRequestResult::kAccepted);
        }
      }
      this->now += milliseconds(10);
    }
  }

  // The engine answers each call about a chunk, and accepts the load, `delay` after it was sent,
  // until it has accepted one. Returns how long that took, or nullopt after 20 s.
  std::optional<Duration> RunWithSlowCalls(Duration delay) {
    struct Call {
      Instant sent;
      RolloutAction action;
    };
    std::deque<Call> calls;
    const Instant begin = this->now;
    for (; this->now < begin + seconds(20); this->now += milliseconds(10)) {
      this->ReportState(1);
      for (const RolloutAction& action : this->rollout.Advance(this->now)) {
        calls.push_back({.sent = this->now, .action = action});
      }
      for (; !calls.empty() && calls.front().sent + delay <= this->now; calls.pop_front()) {
        const CallTimes times{.sent = calls.front().sent, .answered = this->now};
        const RolloutAction& action = calls.front().action;
        if (const auto* staged = std::get_if<StageChunk>(&action)) {
          this->rollout.OnChunkStaged(this->version, staged->chunk, StageResult::kStored, times);
        } else if (const auto* read = std::get_if<VerifyStagedChunk>(&action)) {
          this->rollout.OnStagedChunkVerified(this->version, read->chunk, ReadBackResult::kIntact,
                                              times);
        } else {
          ++this->load_count;
          this->rollout.OnLoadRequestResult(LoadRequestResult::kAccepted, this->now);
          return this->now - begin;
        }
      }
    }
    return {};
  }

  CallTimes AnsweredAtOnce() const { return {.sent = this->now, .answered = this->now}; }

  Instant now = Instant(std::chrono::hours(1));
  std::uint64_t version = 0;
  std::uint64_t load_count = 0;
  std::int64_t born = 1;
  std::uint32_t corrupt_chunk = UINT32_MAX;
  int stage_count = 0;
  int verify_count = 0;
  std::vector<EngineLoadRequest> load_requests = {};
  std::vector<EngineLoadRequest> unload_requests = {};
  Instant requested_at = {};
  EngineRollout rollout{{}};
};

// The agent is paused after it verified the staged chunks, which may turn bad meanwhile. Guards
// against a load of chunks that were verified too long ago.
TEST_F(EngineRolloutTest, ChunksAreVerifiedAgainAfterAPause) {
  this->ReportState(1);
  this->Want(2, {.engines = 1});
  for (int step = 0; step < 200 && this->rollout.Accepting(); ++step) this->Run(milliseconds(10));
  ASSERT_FALSE(this->rollout.Accepting());
  ASSERT_TRUE(this->load_requests.empty());
  this->verify_count = 0;
  this->now += seconds(5);
  this->corrupt_chunk = 2;
  this->ReportState(1);
  const int staged_before = this->stage_count;
  this->Run(seconds(1));
  EXPECT_GE(this->verify_count, static_cast<int>(kChunks));
  EXPECT_EQ(this->stage_count, staged_before + 1);
  ASSERT_EQ(this->load_requests.size(), 1u);
}

// The engine sends the answer to one upload twice, late, so that the next upload seems to have
// succeeded. Guards against a load while a chunk is missing.
TEST_F(EngineRolloutTest, UnmatchedAnswerMakesStagedChunksDoubtful) {
  this->ReportState(0);
  this->Want(2);
  for (int step = 0; step < 2; ++step) {
    for (const RolloutAction& action : this->rollout.Advance(this->now)) {
      this->Execute(action, LoadRequestResult::kAccepted);
    }
  }
  ASSERT_TRUE(this->load_requests.empty());
  this->rollout.OnUnmatchedAnswer(this->now);
  this->corrupt_chunk = 1;
  this->Run(milliseconds(500));
  EXPECT_GE(this->verify_count, static_cast<int>(kChunks));
  EXPECT_EQ(this->stage_count, static_cast<int>(kChunks) + 1);
  EXPECT_EQ(this->load_requests.size(), 1u);
}

// Guards against an engine that joined without weights waiting for its scheduled time, although it
// could add capacity at once.
TEST_F(EngineRolloutTest, EngineWithoutWeightsLoadsAtOnce) {
  this->ReportState(0);
  this->Want(3, {.rank = 9, .engines = 10});
  this->Run(milliseconds(100));
  ASSERT_EQ(this->load_requests.size(), 1u);
  EXPECT_EQ(this->load_requests[0].version, 3u);
}

// Guards against staging chunks without a delay at an engine that went down.
TEST_F(EngineRolloutTest, FailedStagingIsRetriedAfterADelay) {
  this->ReportState(0);
  this->Want(3);
  int stage_calls = 0;
  for (int step = 0; step < 100; ++step, this->now += milliseconds(10)) {
    for (const RolloutAction& action : this->rollout.Advance(this->now)) {
      ++stage_calls;
      this->rollout.OnChunkStaged(3, std::get<StageChunk>(action).chunk, StageResult::kNotStored,
                                  this->AnsweredAtOnce());
    }
  }
  EXPECT_GE(stage_calls, 4);
  EXPECT_LE(stage_calls, 8);  // two calls at a time, four times per second
}

// Rollout under full load. Guards against all engines loading the version at the same time, and
// against one that loads it after the deadline.
TEST_F(EngineRolloutTest, LoadsAreStaggeredUntilTheDeadline) {
  const Instant published = this->now;
  std::vector<Duration> load_times;
  for (std::size_t rank = 0; rank < 10; ++rank) {
    EngineRollout other{{}};
    other.OnEngineState({.weights_version = 1}, {.sent = published, .answered = published});
    other.SetTarget("m", 2, 1, published, {.rank = rank, .engines = 10});
    other.OnChunkAvailable(0);
    other.Advance(published + seconds(3));
    const Instant staged = published + seconds(3);
    other.OnChunkStaged(2, 0, StageResult::kStored, {.sent = staged, .answered = staged});
    other.Advance(published + seconds(3));
    ASSERT_TRUE(other.ScheduledAt().has_value());
    load_times.push_back(*other.ScheduledAt() - published);
  }
  EXPECT_EQ(load_times.front(), seconds(3));
  for (std::size_t i = 1; i < load_times.size(); ++i) {
    EXPECT_GE(load_times[i] - load_times[i - 1], milliseconds(300));
  }
  EXPECT_LE(load_times.back(), seconds(8) - milliseconds(900));
}

// A version was announced 3 s before the agent heard of it, and the agent learns that after the
// load was scheduled. Guards against a load scheduled too close to the deadline.
TEST_F(EngineRolloutTest, ScheduledLoadMovesWithACorrectedDeadline) {
  this->ReportState(1);
  this->Want(2, {.rank = 1, .engines = 2});
  const Instant heard = this->now;
  this->Run(milliseconds(100));
  const Instant scheduled = this->rollout.ScheduledAt().value();
  this->rollout.SetKnownSince(heard - seconds(3));
  EXPECT_EQ(this->rollout.ScheduledAt(), scheduled - milliseconds(1500));
  this->rollout.SetKnownSince(heard);
  EXPECT_EQ(this->rollout.ScheduledAt(), scheduled - milliseconds(1500));
}

// Rollout under full load. Guards against requesting the load while requests are queued at the
// engine: they then wait until the load is done, which took 1.9 s in kcw-recell-grown.
TEST_F(EngineRolloutTest, QueueDrainsBeforeTheLoadRequest) {
  this->ReportState(1, false, 3);
  this->Want(2);
  this->Run(milliseconds(200));
  EXPECT_TRUE(this->load_requests.empty());
  EXPECT_FALSE(this->rollout.Accepting());
  this->ReportState(1, false, 0);
  this->Run(milliseconds(20));
  EXPECT_EQ(this->load_requests.size(), 1u);
}

// Guards against an engine staying out of service because its queue never drains.
TEST_F(EngineRolloutTest, LoadIsRequestedWhenTheQueueDoesNotDrain) {
  this->ReportState(1, false, 3);
  this->Want(2);
  for (int i = 0; i < 10 && this->load_requests.empty(); ++i) {
    this->Run(milliseconds(100));
    this->ReportState(1, false, 3);
  }
  EXPECT_EQ(this->load_requests.size(), 1u);
}

// Guards against loading chunks that became corrupt after they were staged.
TEST_F(EngineRolloutTest, OldStagedChunksAreVerifiedAndReplaced) {
  this->ReportState(1);
  this->Want(2, {.rank = 5, .engines = 10});
  this->Run(milliseconds(500));
  this->corrupt_chunk = 2;
  this->Run(seconds(5));
  EXPECT_EQ(this->verify_count, static_cast<int>(kChunks));
  EXPECT_EQ(this->stage_count, static_cast<int>(kChunks) + 1);
  EXPECT_EQ(this->load_requests.size(), 1u);
}

// The copy of the version was dropped for a newer one, and a staged chunk is found corrupt. Guards
// against an agent that tries to stage that chunk for good and adopts no newer version.
TEST_F(EngineRolloutTest, VersionWithoutACopyCanBeReplaced) {
  this->ReportState(1);
  this->Want(2, {.rank = 1, .engines = 2});
  this->Run(milliseconds(100));
  this->now += seconds(6);
  this->ReportState(1);
  this->corrupt_chunk = 2;
  std::optional<std::uint32_t> staged;
  for (int step = 0; step < 10 && !staged; ++step, this->now += milliseconds(10)) {
    for (const RolloutAction& action : this->rollout.Advance(this->now)) {
      if (const auto* stage = std::get_if<StageChunk>(&action)) {
        staged = stage->chunk;
      } else {
        this->Execute(action, LoadRequestResult::kAccepted);
      }
    }
  }
  ASSERT_TRUE(staged.has_value());
  EXPECT_FALSE(this->rollout.MayReplace());
  this->rollout.OnChunkStaged(2, *staged, StageResult::kNoCopy, this->AnsweredAtOnce());
  EXPECT_TRUE(this->rollout.MayReplace());
}

// Guards against a second load after a load request whose response was lost: the engine's number of
// accepted loads shows whether it was accepted.
TEST_F(EngineRolloutTest, LostLoadResponseIsResolvedFromEngineState) {
  this->ReportState(0);
  this->Want(2);
  this->Run(milliseconds(50), LoadRequestResult::kUnknown);
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->Run(milliseconds(100));
  EXPECT_EQ(this->load_requests.size(), 1u);
  this->load_count = 1;
  this->ReportState(0, true);
  this->Run(milliseconds(300));
  EXPECT_EQ(this->load_requests.size(), 1u);
  this->ReportState(2);
  EXPECT_TRUE(this->rollout.IsDone());
  EXPECT_TRUE(this->rollout.Accepting());
}

// Guards against treating a state that was requested before the load request as the end of the
// load.
TEST_F(EngineRolloutTest, EngineStateFromBeforeTheLoadRequestIsIgnored) {
  this->ReportState(1);
  this->Want(2);
  const Instant before = this->now;
  this->Run(milliseconds(200));
  this->ReportState(1);
  this->Run(milliseconds(50));
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->rollout.OnEngineState({.weights_version = 1, .started_unix_ms = this->born},
                              {.sent = before, .answered = this->now});
  EXPECT_FALSE(this->rollout.Accepting());
}

// Guards against treating an engine that lost its weights in a restart as loaded or loading.
TEST_F(EngineRolloutTest, RestartedEngineIsLoadedAgain) {
  this->ReportState(0);
  this->Want(2);
  this->Run(milliseconds(50));
  this->ReportState(2);
  ASSERT_TRUE(this->rollout.IsDone());
  this->rollout.OnEngineUnreachable();
  this->born = 2;
  this->load_count = 0;
  this->ReportState(0);
  this->Run(milliseconds(50));
  EXPECT_EQ(this->load_requests.size(), 2u);
  EXPECT_EQ(this->load_requests.back().accepted_loads, 0u);
}

// Rollout under full load. Guards against engines that serve almost nothing while their last long
// streams end, and against interrupting more than a few streams.
TEST_F(EngineRolloutTest, LastStreamsAreInterruptedWhenTheyCanResumeElsewhere) {
  std::uint32_t running = 12;
  const auto run = [&](int steps) {
    for (int i = 0; i < steps; ++i) {
      this->rollout.OnEngineState({.running = running, .weights_version = 1},
                                  this->AnsweredAtOnce());
      this->Run(milliseconds(10));
    }
  };
  run(1);
  this->Want(2, {.may_interrupt = true});
  run(40);
  EXPECT_TRUE(this->load_requests.empty());
  running = 3;
  run(4);
  ASSERT_EQ(this->load_requests.size(), 1u);
  EXPECT_TRUE(this->load_requests[0].interrupt);
}

// Guards against one long stream delaying the load for seconds.
TEST_F(EngineRolloutTest, DrainBeforeAnInterruptionIsBounded) {
  const Instant begin = this->now;
  this->Want(2, {.may_interrupt = true});
  while (this->load_requests.empty() && this->now < begin + seconds(5)) {
    this->rollout.OnEngineState({.running = 9, .weights_version = 1}, this->AnsweredAtOnce());
    this->Run(milliseconds(10));
  }
  EXPECT_LE(this->requested_at - begin, milliseconds(1400));
}

// Guards against interrupting requests that must not run twice.
TEST_F(EngineRolloutTest, NonResumableRequestsAreNotInterrupted) {
  this->rollout.OnEngineState({.running = 9, .weights_version = 1}, this->AnsweredAtOnce());
  this->Want(2);
  this->Run(milliseconds(10));
  this->rollout.OnEngineState(
      {.running = 9, .weights_version = 1},
      {.sent = this->now + milliseconds(50), .answered = this->now + milliseconds(50)});
  this->Run(milliseconds(200));
  ASSERT_EQ(this->load_requests.size(), 1u);
  EXPECT_FALSE(this->load_requests[0].interrupt);
}

// Every call takes half a second, as at an overloaded engine. Guards against counting the age of a
// chunk from the answer instead of from the call, and only up to the load request: chunks that had
// been corrupt for 3.6 s were then loaded and used.
TEST_F(EngineRolloutTest, SlowCallsCountTowardsTheAgeOfAChunk) {
  this->ReportState(1);
  this->Want(2, {}, 12);
  ASSERT_TRUE(this->RunWithSlowCalls(milliseconds(500)).has_value());
  this->now += milliseconds(10);
  this->ReportState(2);
  EXPECT_FALSE(this->rollout.Accepting());
  const int verified_before = this->verify_count;
  this->Run(milliseconds(100));
  EXPECT_GT(this->verify_count, verified_before);
  EXPECT_TRUE(this->rollout.Accepting());
}

// As many chunks as a model has, read back slowly. Guards against reading them again and again
// because the first ones are old by the time the last one has been read.
TEST_F(EngineRolloutTest, SlowReadingOfManyChunksEnds) {
  this->ReportState(1);
  this->Want(2, {}, 48);
  EXPECT_TRUE(this->RunWithSlowCalls(milliseconds(120)).has_value());
}

// The agent gives the load request up, and the engine carries it out later. Guards against requests
// at an engine that may load corrupt chunks any moment.
TEST_F(EngineRolloutTest, UnansweredLoadRequestKeepsTheEngineOutOfService) {
  this->ReportState(1);
  this->Want(2);
  this->Run(milliseconds(200));
  this->ReportState(1);
  this->Run(milliseconds(50), LoadRequestResult::kUnknown);
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->ReportState(1);
  EXPECT_FALSE(this->rollout.Accepting());
  this->Run(milliseconds(500), LoadRequestResult::kUnknown);
  EXPECT_FALSE(this->rollout.Accepting());
  this->ReportState(1);
  this->Run(milliseconds(500));
  ASSERT_GE(this->load_requests.size(), 2u);
  this->ReportState(2);
  EXPECT_TRUE(this->rollout.Accepting());
}

// The engine carries the load request out 4 s after it was sent, and chunks became corrupt
// meanwhile. Guards against using the weights that it loaded.
TEST_F(EngineRolloutTest, LateLoadOfCorruptChunksIsReplaced) {
  this->ReportState(1);
  this->Want(2);
  this->Run(milliseconds(200));
  this->ReportState(1);
  this->Run(milliseconds(50), LoadRequestResult::kUnknown);
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->now += seconds(4);
  this->corrupt_chunk = 1;
  this->load_count = 1;
  this->ReportState(2);
  EXPECT_FALSE(this->rollout.Accepting());
  this->Run(milliseconds(100));
  ASSERT_EQ(this->unload_requests.size(), 1u);
  EXPECT_EQ(this->unload_requests[0].version, 2u);
  this->ReportState(1);
  EXPECT_FALSE(this->rollout.Accepting());
  this->Run(milliseconds(200));
  ASSERT_EQ(this->load_requests.size(), 2u);
  this->ReportState(2);
  EXPECT_TRUE(this->rollout.IsDone());
  EXPECT_TRUE(this->rollout.Accepting());
}

// As above, and no chunk became corrupt. Guards against loading whole weights a second time.
TEST_F(EngineRolloutTest, LateLoadOfIntactChunksIsUsed) {
  this->ReportState(1);
  this->Want(2);
  this->Run(milliseconds(200));
  this->ReportState(1);
  this->Run(milliseconds(50), LoadRequestResult::kUnknown);
  this->now += seconds(4);
  this->load_count = 1;
  this->ReportState(2);
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->unload_requests.empty());
  EXPECT_TRUE(this->rollout.Accepting());
  EXPECT_EQ(this->load_requests.size(), 1u);
}

// The load request is carried out after a newer version has begun to replace the staged chunks.
// Guards against using a load of chunks of two versions.
TEST_F(EngineRolloutTest, LateLoadOfAnOlderVersionIsNotUsed) {
  this->ReportState(1);
  this->Want(2);
  this->Run(milliseconds(200));
  this->ReportState(1);
  this->Run(milliseconds(50), LoadRequestResult::kUnknown);
  this->ReportState(1);
  this->Want(3);
  this->Run(milliseconds(20), LoadRequestResult::kUnknown);
  this->load_count = 1;
  this->ReportState(2);
  EXPECT_FALSE(this->rollout.Accepting());
}

// The agent stops hearing from the engine while its load request is in progress, and gives the
// request up. Guards against forgetting that it may still be carried out.
TEST_F(EngineRolloutTest, RequestGivenUpWhileTheEngineIsUnreachableIsRemembered) {
  this->ReportState(1);
  this->Want(2);
  bool requested = false;
  for (int step = 0; step < 100 && !requested; ++step, this->now += milliseconds(10)) {
    this->ReportState(1);
    for (const RolloutAction& action : this->rollout.Advance(this->now)) {
      requested = std::holds_alternative<SendLoadRequest>(action);
      if (!requested) this->Execute(action, LoadRequestResult::kAccepted);
    }
  }
  ASSERT_TRUE(requested);
  this->rollout.OnEngineUnreachable();
  this->rollout.OnLoadRequestResult(LoadRequestResult::kUnknown, this->now);
  this->now += milliseconds(10);
  this->ReportState(1);
  EXPECT_FALSE(this->rollout.Accepting());
}

// An upload of the version before was given up and may still be carried out. Guards against
// trusting a chunk that it may have replaced after the last reading.
TEST_F(EngineRolloutTest, ChunkIsReadBackAfterTheLoadIfAnOlderUploadMayReplaceIt) {
  this->ReportState(1);
  this->Want(2);
  for (const RolloutAction& action : this->rollout.Advance(this->now)) {
    this->rollout.OnChunkStaged(2, std::get<StageChunk>(action).chunk, StageResult::kUnknown,
                                this->AnsweredAtOnce());
  }
  this->Want(3);
  this->Run(milliseconds(400));
  this->ReportState(1);
  this->corrupt_chunk = 0;
  this->Run(milliseconds(50));
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->ReportState(3);
  EXPECT_FALSE(this->rollout.Accepting());
  this->Run(milliseconds(50));
  EXPECT_EQ(this->unload_requests.size(), 1u);
}

// The engine begins the load, its answer is lost, and a state shows the load before the agent gives
// the request up. Guards against waiting for that request for good.
TEST_F(EngineRolloutTest, LoadSeenBeforeItsRequestIsGivenUpIsNotAwaited) {
  this->ReportState(1);
  this->Want(2);
  this->RunUntilRequest();
  this->load_count = 1;
  this->now += milliseconds(40);
  this->ReportState(1, true);
  this->now += milliseconds(560);
  this->rollout.OnLoadRequestResult(LoadRequestResult::kUnknown, this->now);
  this->RunWithStates(seconds(5), 2, LoadRequestResult::kAlreadyLoaded);
  EXPECT_TRUE(this->rollout.Accepting());
  EXPECT_EQ(this->load_requests.size(), 1u);
}

// The engine hangs while a chunk is read back, and carries the load out that was given up when it
// wakes. Guards against an engine that stays out of service because that chunk is never read again.
TEST_F(EngineRolloutTest, ChunkThatWasNotReadBeforeALateLoadIsReadAgain) {
  this->ReportState(1);
  this->Want(2);
  this->Run(milliseconds(200));
  this->ReportState(1);
  this->Run(milliseconds(50), LoadRequestResult::kUnknown);
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->now += seconds(1);
  this->ReportState(1);
  std::vector<RolloutAction> actions = this->rollout.Advance(this->now);
  ASSERT_FALSE(actions.empty());
  this->now += milliseconds(600);
  for (const RolloutAction& action : actions) {
    this->rollout.OnStagedChunkVerified(
        2, std::get<VerifyStagedChunk>(action).chunk, ReadBackResult::kUnread,
        {.sent = this->now - milliseconds(600), .answered = this->now});
  }
  this->rollout.OnEngineUnreachable();
  this->now += seconds(2);
  this->load_count = 1;
  this->RunWithStates(seconds(5), 2);
  EXPECT_TRUE(this->rollout.Accepting());
  EXPECT_TRUE(this->rollout.MayReplace());
}

// The engine gives its weights up, and the answer is lost. Guards against an engine that stays out
// of service because the load that the agent sees is not one of a whole version.
TEST_F(EngineRolloutTest, UnansweredUnloadIsFollowedByALoad) {
  this->ReportState(1);
  this->Want(2);
  this->Run(milliseconds(200));
  this->ReportState(1);
  this->Run(milliseconds(50), LoadRequestResult::kUnknown);
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->now += seconds(4);
  this->corrupt_chunk = 1;
  this->load_count = 1;
  this->ReportState(2);
  bool unloaded = false;
  for (int step = 0; step < 100 && !unloaded; ++step, this->now += milliseconds(10)) {
    for (const RolloutAction& action : this->rollout.Advance(this->now)) {
      unloaded = std::holds_alternative<SendUnloadRequest>(action);
      if (!unloaded) this->Execute(action, LoadRequestResult::kAccepted);
    }
    this->ReportState(2);
  }
  ASSERT_TRUE(unloaded);
  this->now += milliseconds(600);
  this->rollout.OnUnloadRequestResult(LoadRequestResult::kUnknown, this->now);
  this->now += milliseconds(10);
  this->load_count = 2;
  for (int step = 0; step < 75 && this->load_requests.size() < 2; ++step) {
    this->RunWithStates(milliseconds(40), 0);
  }
  ASSERT_EQ(this->load_requests.size(), 2u);
  this->RunWithStates(milliseconds(400), 2);
  EXPECT_EQ(this->load_requests.size(), 2u);
  EXPECT_TRUE(this->rollout.Accepting());
}

// The agent's earlier run requested the load and ended before it was proven. Guards against using
// a load of which this run knows nothing.
TEST_F(EngineRolloutTest, LoadOfAnEarlierRunIsProvenBeforeItIsUsed) {
  this->load_count = 1;
  this->ReportState(2);
  EXPECT_TRUE(this->rollout.MayReplace());
  this->Want(2);
  EXPECT_FALSE(this->rollout.Accepting());
}

// As above, and an entry heard that the load was proven. Guards against taking engines out of
// service whenever their agents restart.
TEST_F(EngineRolloutTest, VouchedLoadOfAnEarlierRunIsUsed) {
  this->load_count = 1;
  this->ReportState(2);
  this->rollout.OnVouched(1);
  EXPECT_FALSE(this->rollout.Accepting());
  this->rollout.OnVouched(2);
  EXPECT_TRUE(this->rollout.Accepting());
}

// As above, and nobody heard that the load was proven. Guards against loading weights again that
// the engine's staged chunks show to be whole.
TEST_F(EngineRolloutTest, LoadOfAnEarlierRunIsProvenByItsChunks) {
  this->load_count = 1;
  this->ReportState(2);
  this->Want(2);
  this->now += milliseconds(10);
  this->rollout.OnChunkFound(0, this->AnsweredAtOnce());
  EXPECT_FALSE(this->rollout.Accepting());
  this->Run(milliseconds(100));
  EXPECT_TRUE(this->rollout.Accepting());
  EXPECT_TRUE(this->load_requests.empty());
}

// As above, and a newer version is wanted. Guards against an engine that waits for good for a proof
// that its chunks cannot give any more.
TEST_F(EngineRolloutTest, UnknownLoadOfAnOlderVersionIsReplaced) {
  this->load_count = 1;
  this->ReportState(0, true);
  this->Want(3);
  this->ReportState(2);
  this->Run(milliseconds(100));
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->ReportState(3);
  EXPECT_TRUE(this->rollout.Accepting());
}

// As above, and a chunk has become corrupt. Guards against using weights that may be corrupt.
TEST_F(EngineRolloutTest, LoadOfAnEarlierRunIsReplacedIfAChunkIsCorrupt) {
  this->load_count = 1;
  this->ReportState(2);
  this->Want(2);
  this->now += milliseconds(10);
  this->corrupt_chunk = 3;
  this->Run(milliseconds(100));
  EXPECT_FALSE(this->rollout.Accepting());
  EXPECT_TRUE(this->unload_requests.empty());
  this->Run(milliseconds(2200));
  EXPECT_FALSE(this->rollout.Accepting());
  EXPECT_EQ(this->unload_requests.size(), 1u);
}

// The agent's earlier run requested the load, and the engine carries it out before this run knows
// the wanted version. Guards against using a load of which this run knows nothing.
TEST_F(EngineRolloutTest, LateLoadOfAnEarlierRunIsNotUsedUnproven) {
  this->ReportState(1);
  this->now += seconds(3);
  this->load_count = 1;
  this->ReportState(2);
  EXPECT_FALSE(this->rollout.Accepting());
  this->Want(2);
  EXPECT_FALSE(this->rollout.Accepting());
}

// As above, and this run learns the wanted version between two states. Guards against taking a load
// for proven because no chunk was known when the last state before it was read.
TEST_F(EngineRolloutTest, LoadWithoutKnownChunksIsNotProven) {
  this->ReportState(1);
  this->Want(2);
  this->now += seconds(3);
  this->load_count = 1;
  this->ReportState(2);
  EXPECT_FALSE(this->rollout.Accepting());
}

// An upload of the version before is in progress when the version changes, and is carried out after
// the chunk was staged again. Guards against taking a load for proven while it may still come.
TEST_F(EngineRolloutTest, ChunkIsReadBackAfterTheLoadIfAnOlderUploadIsInProgress) {
  this->ReportState(0);
  this->Want(2);
  const Instant sent = this->now;
  const std::vector<RolloutAction> uploads = this->rollout.Advance(this->now);
  ASSERT_EQ(uploads.size(), 2u);
  this->rollout.OnChunkStaged(2, std::get<StageChunk>(uploads[1]).chunk, StageResult::kStored,
                              this->AnsweredAtOnce());
  this->Want(3);
  this->verify_count = 0;
  this->corrupt_chunk = std::get<StageChunk>(uploads[0]).chunk;
  this->Run(milliseconds(100));
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->ReportState(3);
  EXPECT_FALSE(this->rollout.Accepting());
  this->Run(milliseconds(50));
  EXPECT_GT(this->verify_count, 0);
  EXPECT_EQ(this->unload_requests.size(), 1u);
  this->rollout.OnChunkStaged(2, std::get<StageChunk>(uploads[0]).chunk, StageResult::kUnknown,
                              {.sent = sent, .answered = sent + milliseconds(600)});
}

// An upload of the version before was given up as the engine began to hang for 10 s. Guards against
// counting the time in which it may be carried out from when it was given up, not from when the
// engine answers again.
TEST_F(EngineRolloutTest, UploadGivenUpBeforeALongHangMayStillBeCarriedOut) {
  this->ReportState(0);
  this->Want(2);
  for (const RolloutAction& action : this->rollout.Advance(this->now)) {
    this->rollout.OnChunkStaged(2, std::get<StageChunk>(action).chunk, StageResult::kUnknown,
                                this->AnsweredAtOnce());
  }
  this->rollout.OnEngineUnreachable();
  this->Want(3);
  this->now += seconds(10);
  this->ReportState(0);
  this->corrupt_chunk = 0;
  this->Run(milliseconds(100));
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->ReportState(3);
  EXPECT_FALSE(this->rollout.Accepting());
  this->Run(milliseconds(50));
  EXPECT_EQ(this->unload_requests.size(), 1u);
}

// The engine answers an upload twice, so that the next upload seems to have ended, and the agent
// learns it only after the load. Guards against trusting a load of a chunk that was missing.
TEST_F(EngineRolloutTest, UnmatchedAnswerAfterALoadMakesTheLoadDoubtful) {
  this->ReportState(0);
  this->Want(2);
  this->Run(milliseconds(50));
  ASSERT_EQ(this->load_requests.size(), 1u);
  this->ReportState(2);
  this->now += milliseconds(400);
  this->rollout.OnUnmatchedAnswer(this->now);
  EXPECT_FALSE(this->rollout.Accepting());
}

// Requests are queued at a slow engine, which starts them as soon as the load is done. Guards
// against tokens from weights that can be proven only after the load.
TEST_F(EngineRolloutTest, QueueIsEmptyBeforeALoadThatNeedsProofAfterwards) {
  struct Call {
    Instant sent;
    RolloutAction action;
  };
  std::deque<Call> calls;
  std::uint32_t waiting = 3;
  const Instant begin = this->now;
  this->ReportState(1, false, waiting);
  this->Want(2, {}, 12);
  for (; this->load_requests.empty() && this->now < begin + seconds(30);
       this->now += milliseconds(10)) {
    waiting = this->now < begin + seconds(15) ? 3 : 0;
    this->ReportState(1, false, waiting);
    for (const RolloutAction& action : this->rollout.Advance(this->now)) {
      calls.push_back({.sent = this->now, .action = action});
    }
    for (; !calls.empty() && calls.front().sent + milliseconds(500) <= this->now;
         calls.pop_front()) {
      const CallTimes times{.sent = calls.front().sent, .answered = this->now};
      const RolloutAction& action = calls.front().action;
      if (const auto* staged = std::get_if<StageChunk>(&action)) {
        this->rollout.OnChunkStaged(2, staged->chunk, StageResult::kStored, times);
      } else if (const auto* read = std::get_if<VerifyStagedChunk>(&action)) {
        this->rollout.OnStagedChunkVerified(2, read->chunk, ReadBackResult::kIntact, times);
      } else {
        this->load_requests.push_back(std::get<SendLoadRequest>(action).request);
        EXPECT_TRUE(waiting == 0 || this->rollout.OldestStagedAge(this->now) <= milliseconds(2900));
      }
    }
  }
  EXPECT_EQ(this->load_requests.size(), 1u);
}

// The chunks cannot be read back any more once the engine has been drained for its load. Guards
// against an engine that stays out of service although it still holds usable weights.
TEST_F(EngineRolloutTest, EngineWhoseChunksCannotBeReadKeepsServing) {
  this->ReportState(1, false, 0);
  this->Want(2, {.may_interrupt = true});
  const auto report = [this] {
    this->rollout.OnEngineState({.running = 9, .weights_version = 1, .started_unix_ms = this->born},
                                this->AnsweredAtOnce());
  };
  for (int step = 0; step < 100 && this->rollout.Accepting(); ++step) {
    report();
    this->Run(milliseconds(10));
  }
  ASSERT_FALSE(this->rollout.Accepting());
  this->now += milliseconds(2300);
  report();
  const auto refuse = [this](const RolloutAction& action) {
    if (const auto* staged = std::get_if<StageChunk>(&action)) {
      this->rollout.OnChunkStaged(2, staged->chunk, StageResult::kUnknown, this->AnsweredAtOnce());
    } else if (const auto* read = std::get_if<VerifyStagedChunk>(&action)) {
      this->rollout.OnStagedChunkVerified(2, read->chunk, ReadBackResult::kUnread,
                                          this->AnsweredAtOnce());
    } else {
      ADD_FAILURE() << "a load was requested";
    }
  };
  for (int step = 0; step < 300; ++step, this->now += milliseconds(10)) {
    report();
    for (const RolloutAction& action : this->rollout.Advance(this->now)) refuse(action);
  }
  EXPECT_TRUE(this->rollout.Accepting());
}

}  // namespace
}  // namespace savory
