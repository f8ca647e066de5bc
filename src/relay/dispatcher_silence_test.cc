#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "relay/dispatcher.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A pool "chat" of engines, seen by one entry in data centre "dc-a".
class DispatcherSilenceTest : public ::testing::Test {
 protected:
  DispatcherSilenceTest() {
    RoutingRules rules{.version = 1};
    rules.pools.push_back({.name = "chat",
                           .engine = EngineRates{.slots = 16,
                                                 .step = Duration(7400),
                                                 .step_per_request = Duration(39),
                                                 .step_per_1000_context = Duration(20),
                                                 .steps_per_event = 6,
                                                 .prefill_tokens_per_second = 31'900,
                                                 .attention_seconds_per_million_pairs = 0.000733,
                                                 .mean_prompt_tokens = 970,
                                                 .mean_answer_tokens = 106},
                           .models = {"m"}});
    this->dispatcher.SetRules(std::make_shared<const RoutingIndex>(std::move(rules)));
  }

  void AddEngine(int number, std::int64_t started_unix_ms = 1000) {
    this->dispatcher.SetUpstream({.id = "engine-" + std::to_string(number),
                                  .pool = "chat",
                                  .address = "10.0.0." + std::to_string(number) + ":80",
                                  .data_centre = "dc-a",
                                  .slots = 16,
                                  .started_unix_ms = started_unix_ms,
                                  .weights_version = 1,
                                  .is_engine = true});
  }

  void Report(int number, std::uint32_t running = 0) {
    this->dispatcher.AddReport({.address = "10.0.0." + std::to_string(number) + ":80",
                                .load = {.running = running},
                                .weights_version = 1},
                               this->now);
  }

  DispatchRequest Chat(bool may_probe = true) {
    return {.attempt = this->next_attempt++,
            .pool = "chat",
            .arrived = this->now,
            .target = milliseconds(400),
            .deadline = this->now + seconds(6),
            .priority = 1,
            .prompt_tokens = 970,
            .answer_tokens = 106,
            .max_pause = milliseconds(300),
            .may_probe = may_probe};
  }

  // Returns the id of the upstream that the request was sent to, "wait" or "refuse".
  std::string Submit(const DispatchRequest& request) {
    const DispatchVerdict verdict = this->dispatcher.Submit(request, this->now);
    if (const auto* sent = std::get_if<SendTo>(&verdict.decision)) return sent->upstream;
    return std::holds_alternative<KeepWaiting>(verdict.decision) ? "wait" : "refuse";
  }

  Random random{20261206};
  Instant now = Instant(std::chrono::hours(1));
  AttemptNumber next_attempt = 1;
  Dispatcher dispatcher{{.data_centre = "dc-a", .entry = "entry-0"}, random};
};

// A machine stands still: its agent is heard no more, while the platform's record stays for some
// seconds. Guards against requests that reach it as it wakes, after their callers have left.
TEST_F(DispatcherSilenceTest, SilentEngineGetsNothingWhileAnotherOneFits) {
  this->AddEngine(1);
  this->AddEngine(2);
  this->Report(1);
  this->now += milliseconds(1600);
  this->Report(2, 8);
  EXPECT_EQ(this->dispatcher.Silent(this->now), 1u);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(this->Submit(this->Chat()), "engine-2");
}

// All agents have ended, or this entry is cut off from them. Guards against losing engines that
// answer, and against many requests at once for machines that stand still.
TEST_F(DispatcherSilenceTest, SilentEngineGetsOneRepeatableRequestUntilItAnswers) {
  this->AddEngine(1);
  this->Report(1);
  this->now += milliseconds(1600);
  EXPECT_EQ(this->Submit(this->Chat(false)), "wait");
  const DispatchRequest first = this->Chat();
  EXPECT_EQ(this->Submit(first), "engine-1");
  EXPECT_EQ(this->Submit(this->Chat()), "wait");
  this->now += milliseconds(200);
  this->dispatcher.OnAnswerBytes(first.attempt, this->now);
  EXPECT_EQ(this->dispatcher.Silent(this->now), 0u);
  EXPECT_EQ(this->Submit(this->Chat()), "engine-1");
  EXPECT_EQ(this->Submit(this->Chat(false)), "engine-1");
}

TEST_F(DispatcherSilenceTest, ReportEndsTheSilence) {
  this->AddEngine(1);
  this->Report(1);
  this->now += milliseconds(1600);
  EXPECT_EQ(this->Submit(this->Chat()), "engine-1");
  EXPECT_EQ(this->Submit(this->Chat()), "wait");
  this->Report(1, 1);
  EXPECT_EQ(this->Submit(this->Chat(false)), "engine-1");
}

// An agent is killed while its engine goes on with an answer. Guards against taking the engine for
// silent.
TEST_F(DispatcherSilenceTest, EngineThatAnswersIsNotSilent) {
  this->AddEngine(1);
  this->Report(1);
  const DispatchRequest first = this->Chat();
  ASSERT_EQ(this->Submit(first), "engine-1");
  for (int i = 0; i < 20; ++i) {
    this->now += milliseconds(300);
    this->dispatcher.OnAnswerBytes(first.attempt, this->now);
    EXPECT_EQ(this->dispatcher.Silent(this->now), 0u);
  }
  EXPECT_EQ(this->Submit(this->Chat(false)), "engine-1");
}

// Guards against an answer of an earlier start that vouches for a later one.
TEST_F(DispatcherSilenceTest, AnswerOfAnEarlierStartIsNoSign) {
  this->AddEngine(1);
  this->Report(1);
  const DispatchRequest first = this->Chat();
  ASSERT_EQ(this->Submit(first), "engine-1");
  this->AddEngine(1, 2000);
  this->Report(1);
  this->now += milliseconds(1600);
  this->dispatcher.OnAnswerBytes(first.attempt, this->now);
  EXPECT_EQ(this->dispatcher.Silent(this->now), 1u);
}

// All power is lost and agents come back after their engines, or an agent is gone for good. Guards
// against engines that wait for agents.
TEST_F(DispatcherSilenceTest, EngineWithoutAnAgentIsNotSilent) {
  this->AddEngine(1);
  this->Report(1);
  this->AddEngine(1, 2000);
  this->now += seconds(3);
  EXPECT_EQ(this->dispatcher.Silent(this->now), 0u);
  EXPECT_EQ(this->Submit(this->Chat(false)), "engine-1");
  this->Report(1);
  this->now += seconds(11);
  EXPECT_EQ(this->dispatcher.Silent(this->now), 0u);
  EXPECT_EQ(this->Submit(this->Chat(false)), "engine-1");
}

// Guards against a request that begins on outdated weights as its machine wakes.
TEST_F(DispatcherSilenceTest, SilentEngineGetsNothingThatMayLastBeyondAVersionsDeadline) {
  this->AddEngine(1);
  this->Report(1);
  this->now += milliseconds(1600);
  this->dispatcher.SetWeightsRules(
      "chat",
      {{.version = 2, .enforced_at = this->now + seconds(4), .deadline = this->now + seconds(5)}});
  EXPECT_EQ(this->Submit(this->Chat()), "wait");
  DispatchRequest brief = this->Chat();
  brief.deadline = this->now + seconds(4);
  EXPECT_EQ(this->Submit(brief), "engine-1");
}

// Several machines stop at once, and the first of them is found silent by an attempt there. Guards
// against a repeat at the next one of them, whose last report does not count as old yet.
TEST_F(DispatcherSilenceTest, RerunPrefersTheEngineHeardLast) {
  this->AddEngine(1);
  this->AddEngine(2);
  this->Report(1);
  this->now += milliseconds(700);
  this->Report(2, 8);
  const DispatchRequest first = this->Chat();
  EXPECT_EQ(this->Submit(first), "engine-1");
  this->dispatcher.OnEnded(first.attempt, AttemptResult::kServed, this->now);
  DispatchRequest rerun = this->Chat();
  rerun.rerun = true;
  EXPECT_EQ(this->Submit(rerun), "engine-2");
}

// An entry is cut off from all engines that it follows. Guards against keeping to them while others
// can be followed, and against taking engines for silent that report to other entries.
TEST_F(DispatcherSilenceTest, EntryWhoseEnginesAreSilentFollowsOthers) {
  for (int i = 1; i <= 40; ++i) this->AddEngine(i);
  std::vector<EntryDemand> entries;
  entries.reserve(10);
  for (int i = 0; i < 10; ++i) {
    entries.push_back(
        {.entry = "entry-" + std::to_string(i), .data_centre = "dc-a", .requests_per_second = 50});
  }
  this->dispatcher.SetEntries(entries);
  const std::vector<std::string> before = this->dispatcher.EnginesToFollow(this->now);
  ASSERT_EQ(before.size(), 16u);
  for (int i = 1; i <= 40; ++i) this->Report(i);
  this->now += milliseconds(100);
  EXPECT_EQ(this->dispatcher.EnginesToFollow(this->now), before);
  this->now += milliseconds(1500);
  EXPECT_EQ(this->dispatcher.Silent(this->now), 16u);
  EXPECT_GE(this->dispatcher.EnginesToFollow(this->now).size(), 24u);
}

// Guards against a request that leaves one machine that stands still for another.
TEST_F(DispatcherSilenceTest, NoRequestLeavesItsUpstreamForASilentOne) {
  this->AddEngine(1);
  this->Report(1);
  EXPECT_TRUE(this->dispatcher.CouldSend(this->Chat(), this->now));
  this->now += milliseconds(1600);
  EXPECT_FALSE(this->dispatcher.CouldSend(this->Chat(), this->now));
}

// One engine asked for a wait, and the other one stands still. Guards against requests that are
// held for an engine that will not take them, and against callers that are told to return to it.
TEST_F(DispatcherSilenceTest, NoRequestWaitsForASilentEngineBesideOneWithAKnownTime) {
  this->AddEngine(1);
  this->AddEngine(2);
  this->Report(1);
  this->now += milliseconds(1600);
  this->Report(2);
  this->dispatcher.AddWait({.id = "engine-2", .started_unix_ms = 1000}, seconds(2), this->now);
  ASSERT_EQ(this->Submit(this->Chat()), "engine-1");  // the one probe
  for (const bool may_probe : {true, false}) {
    const DispatchVerdict verdict = this->dispatcher.Submit(this->Chat(may_probe), this->now);
    const auto* refusal = std::get_if<RefuseRequest>(&verdict.decision);
    ASSERT_NE(refusal, nullptr) << may_probe;
    EXPECT_EQ(refusal->kind, ErrorKind::kOverloaded);
    EXPECT_GE(refusal->retry_after, seconds(2));
  }
  this->now += milliseconds(1980);
  this->Report(2);
  EXPECT_EQ(this->Submit(this->Chat(false)), "wait");
  this->now += milliseconds(20);
  ASSERT_EQ(this->dispatcher.Poll(this->now).size(), 1u);
}

// Guards against waits for an engine that asked for a longer one before it fell silent.
TEST_F(DispatcherSilenceTest, SilentEnginesWaitIsALowerBound) {
  this->AddEngine(1);
  this->Report(1);
  this->now += milliseconds(1600);
  this->dispatcher.AddWait({.id = "engine-1", .started_unix_ms = 1000}, seconds(1), this->now);
  const DispatchVerdict verdict = this->dispatcher.Submit(this->Chat(), this->now);
  const auto* refusal = std::get_if<RefuseRequest>(&verdict.decision);
  ASSERT_NE(refusal, nullptr);
  EXPECT_GE(refusal->retry_after, seconds(1));
}

}  // namespace
}  // namespace savory
