// The dispatcher with callers of several priorities.
#include <gtest/gtest.h>

#include "relay/dispatcher.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 16;

// One entry, one engine, and reports of another entry.
class DispatcherAdmissionTest : public ::testing::Test {
 protected:
  DispatcherAdmissionTest() {
    RoutingRules rules{.version = 1};
    rules.pools.push_back({.name = "chat",
                           .engine = EngineRates{.slots = kSlots,
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
    this->dispatcher.SetUpstream({.id = "engine",
                                  .pool = "chat",
                                  .address = "10.0.0.1:80",
                                  .data_centre = "dc-a",
                                  .slots = kSlots,
                                  .weights_version = 1,
                                  .is_engine = true});
  }

  void Report(std::uint32_t running) {
    this->dispatcher.AddReport({.address = "10.0.0.1:80",
                                .load = {.running = running},
                                .accepting = true,
                                .weights_version = 1},
                               this->now);
  }

  DispatchVerdict Submit(int priority) {
    return this->dispatcher.Submit({.attempt = this->next_attempt++,
                                    .pool = "chat",
                                    .arrived = this->now,
                                    .target = milliseconds(400),
                                    .deadline = this->now + seconds(6),
                                    .priority = priority,
                                    .prompt_tokens = 300,
                                    .may_probe = true},
                                   this->now);
  }
  static bool IsSent(const DispatchVerdict& verdict) {
    return std::holds_alternative<SendTo>(verdict.decision);
  }

  // Two seconds in which the callers of another entry lack room for urgent requests.
  void LackElsewhere() {
    EntryDemand other{.entry = "entry-1", .data_centre = "dc-b"};
    other.pools = {{.pool = "chat"}};
    other.pools.front().classes[0] = {.asked = 100, .lacked = 40};
    for (int i = 0; i < 20; ++i) {
      this->now += milliseconds(100);
      this->Report(0);
      this->dispatcher.SetEntries(
          {{.entry = "entry-0", .data_centre = "dc-a", .requests_per_second = 1000}, other});
      const DispatchVerdict verdict = this->Submit(2);
      if (IsSent(verdict)) {
        this->dispatcher.OnEnded(verdict.attempt, AttemptResult::kServed, this->now);
      }
      this->dispatcher.Withdraw(verdict.attempt);
    }
  }

  Random random{20261206};
  Instant now = Instant(std::chrono::hours(1));
  AttemptNumber next_attempt = 1;
  Dispatcher dispatcher{{.data_centre = "dc-a", .entry = "entry-0"}, random};
};

// Urgent callers of another entry lack room, while this one has mostly less urgent ones. Guards
// against less urgent requests in the queue, and against a refusal while places are free.
TEST_F(DispatcherAdmissionTest, LessUrgentRequestsLeaveTheQueueToUrgentOnes) {
  this->LackElsewhere();
  ASSERT_TRUE(this->dispatcher.Room().IsLimited("chat", 2));
  const auto sent_of = [&](int priority, std::uint32_t running) {
    this->Report(running);
    int sent = 0;
    for (int i = 0; i < 10; ++i) {
      const DispatchVerdict verdict = this->Submit(priority);
      if (IsSent(verdict)) {
        ++sent;
        this->dispatcher.OnEnded(verdict.attempt, AttemptResult::kServed, this->now);
      }
      this->dispatcher.Withdraw(verdict.attempt);
    }
    return sent;
  };
  EXPECT_EQ(sent_of(2, kSlots / 2), 10);
  EXPECT_EQ(sent_of(2, kSlots - 1), 10);
  EXPECT_EQ(sent_of(2, kSlots), 4);  // its floor
  EXPECT_EQ(sent_of(0, kSlots), 10);
}

// An urgent request waits for a place when a less urgent one comes. Guards against the later and
// less urgent one that takes the place.
TEST_F(DispatcherAdmissionTest, WaitingUrgentRequestGoesBeforeANewLessUrgentOne) {
  this->LackElsewhere();
  this->Report(3 * kSlots);
  const DispatchVerdict urgent = this->Submit(0);
  ASSERT_TRUE(std::holds_alternative<KeepWaiting>(urgent.decision));
  this->Report(0);
  const DispatchVerdict less_urgent = this->Submit(2);
  EXPECT_TRUE(std::holds_alternative<KeepWaiting>(less_urgent.decision));
  const std::vector<DispatchVerdict> placed = this->dispatcher.Poll(this->now);
  ASSERT_FALSE(placed.empty());
  EXPECT_EQ(placed.front().attempt, urgent.attempt);
}

}  // namespace
}  // namespace savory
