// When requests leave the data centre, and the pace of the moment, as the dispatcher applies them.
#include <gtest/gtest.h>

#include <map>

#include "relay/dispatcher.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 8;  // in each data centre
constexpr std::uint32_t kSlots = 12;

// The second of three entries; each is in a data centre of its own and owns a third of the slots.
class DispatcherLeavingTest : public ::testing::Test {
 protected:
  DispatcherLeavingTest() {
    this->SetRules(milliseconds(3));
    for (const std::string letter : {"a", "b", "c"}) {
      for (int i = 0; i < kEngines; ++i) {
        this->dispatcher.SetUpstream({.id = letter + std::to_string(i),
                                      .pool = "chat",
                                      .address = AddressOf(letter[0], i),
                                      .data_centre = "dc-" + letter,
                                      .slots = kSlots,
                                      .weights_version = 1,
                                      .is_engine = true});
      }
      this->dispatcher.SetUpstream({.id = "ledger-" + letter,
                                    .pool = "ledger",
                                    .address = AddressOf(letter[0], 100),
                                    .data_centre = "dc-" + letter,
                                    .slots = 8});
    }
    this->SetDemands(50, 50, 50);
    this->ReportAll(0, 0, 0);
  }

  void SetRules(Duration delay) {
    RoutingRules rules{.version = ++this->version};
    rules.pools.push_back(
        {.name = "chat", .engine = EngineRates{.slots = kSlots}, .models = {"m"}});
    rules.pools.push_back({.name = "ledger"});
    rules.ways = {{.from = "dc-a", .to = "dc-b", .delay = delay},
                  {.from = "dc-b", .to = "dc-c", .delay = delay}};
    this->dispatcher.SetRules(std::make_shared<const RoutingIndex>(std::move(rules)));
  }

  static std::string AddressOf(char letter, int number) {
    return "10." + std::to_string(letter) + ".0." + std::to_string(number) + ":80";
  }

  // Without reports, an entry waits for a while before it uses slots that it gained.
  void SetDemands(double a, double b, double c) {
    this->dispatcher.SetEntries(
        {{.entry = "entry-a", .data_centre = "dc-a", .requests_per_second = a},
         {.entry = "entry-b", .data_centre = "dc-b", .requests_per_second = b},
         {.entry = "entry-c", .data_centre = "dc-c", .requests_per_second = c}});
    this->dispatcher.EnginesToFollow(this->now);
    this->now += seconds(2);
    this->dispatcher.EnginesToFollow(this->now);
  }

  // Sets the load of each engine of the three data centres.
  void ReportAll(std::uint32_t a, std::uint32_t b, std::uint32_t c) {
    const std::map<char, std::uint32_t> loads = {{'a', a}, {'b', b}, {'c', c}};
    for (const auto& [letter, load] : loads) {
      for (int i = 0; i < kEngines; ++i) {
        this->dispatcher.AddReport({.address = AddressOf(letter, i),
                                    .load = {.running = load},
                                    .weights_version = 1,
                                    .followers = 3},
                                   this->now);
      }
    }
  }

  std::string Submit(const std::string& pool) {
    const AttemptNumber attempt = this->next_attempt++;
    const DispatchVerdict verdict = this->dispatcher.Submit({.attempt = attempt,
                                                             .pool = pool,
                                                             .arrived = this->now,
                                                             .target = milliseconds(400),
                                                             .deadline = this->now + seconds(6),
                                                             .prompt_tokens = 500,
                                                             .max_pause = milliseconds(400),
                                                             .may_probe = true},
                                                            this->now);
    const auto* sent = std::get_if<SendTo>(&verdict.decision);
    if (sent == nullptr) return "none";
    this->dispatcher.OnFirstEvent(attempt, this->now);  // no prompts pile up
    if (sent->left != LeavingReason::kStays) ++this->left[sent->left];
    return sent->upstream;
  }

  // Returns how many requests went to each data centre.
  std::map<char, int> Send(int count, const std::string& pool = "chat") {
    std::map<char, int> sent;
    for (int i = 0; i < count; ++i) {
      const std::string id = this->Submit(pool);
      ++sent[pool == "ledger" && id != "none" ? id.back() : id.front()];
    }
    return sent;
  }

  Random random{20261206};
  Instant now = Instant(std::chrono::hours(1));
  AttemptNumber next_attempt = 1;
  std::uint64_t version = 0;
  std::map<LeavingReason, int> left = {};
  Dispatcher dispatcher{
      {.data_centre = "dc-b",
       .placement = {.regions = {{"dc-a", "north"}, {"dc-b", "middle"}, {"dc-c", "south"}}},
       .entry = "entry-b",
       .leaving = {.data_centre = "dc-b", .entry = "entry-b"}},
      random};
};

// A calm moment: a part of the entry's share lies elsewhere, as the other demands are small. Guards
// against traffic that leaves while there is room near.
TEST_F(DispatcherLeavingTest, NothingLeavesWhileThereIsRoomNear) {
  this->SetDemands(10, 80, 10);
  this->ReportAll(0, 0, 0);
  auto sent = this->Send(kEngines * 5);
  EXPECT_EQ(sent['b'], kEngines * 5);
  EXPECT_TRUE(this->left.empty());
}

// Double demand near. Guards against own slots elsewhere that stay unused, and against refusals.
TEST_F(DispatcherLeavingTest, ShareElsewhereIsUsedOnceNearIsFull) {
  this->SetDemands(25, 100, 25);
  this->ReportAll(0, 0, 0);
  const int near_slots = kEngines * static_cast<int>(kSlots);
  auto sent = this->Send(near_slots * 3 / 2);
  EXPECT_EQ(sent.count('n'), 0u);
  EXPECT_GE(sent['b'], near_slots * 8 / 10);
  EXPECT_GE(sent['a'] + sent['c'], near_slots / 4);
}

// Engines near turn slow. Guards against callers that wait for them while others are free.
TEST_F(DispatcherLeavingTest, SlowDataCentreIsLeft) {
  this->SetDemands(25, 100, 25);
  this->ReportAll(0, 0, 0);
  for (int ms = 0; ms <= 400; ms += 20) {
    this->now += milliseconds(20);
    for (int i = 0; i < kEngines; ++i) {
      this->dispatcher.AddLoad("b" + std::to_string(i), {.running = 1, .slots = kSlots, .pace = 6},
                               this->now);
    }
  }
  const auto sent = this->Send(20);
  EXPECT_EQ(sent.count('b'), 0u);
  EXPECT_EQ(sent.count('n'), 0u);
}

// Guards against an evacuated data centre whose entry leaves it in steps.
TEST_F(DispatcherLeavingTest, EvacuationIsLeftAtOnceAndInFull) {
  this->dispatcher.SetEvacuated("dc-b", true, this->now);
  this->dispatcher.EnginesToFollow(this->now);
  this->now += seconds(2);
  this->ReportAll(0, 0, 0);
  const auto sent = this->Send(30);
  EXPECT_EQ(sent.count('b'), 0u);
  EXPECT_EQ(this->left[LeavingReason::kNoneNear], 30);
}

// The single plain upstream near is busy. Guards against a policy that covers only engines.
TEST_F(DispatcherLeavingTest, PlainServiceIsLeftWhenItIsFull) {
  EXPECT_EQ(this->Send(1, "ledger").count('b'), 1u);
  this->dispatcher.AddLoad("ledger-b", {.running = 8, .waiting = 8, .slots = 8}, this->now);
  this->dispatcher.AddLoad("ledger-a", {.slots = 8}, this->now);
  this->dispatcher.AddLoad("ledger-c", {.slots = 8}, this->now);
  const auto sent = this->Send(2, "ledger");
  EXPECT_EQ(sent.count('b'), 0u);
  EXPECT_EQ(this->left[LeavingReason::kNearFull] + this->left[LeavingReason::kNearLate], 2);
}

// One of two equal engines is slow now; its agent's report is older. Guards against a forecast that
// waits for the report.
TEST_F(DispatcherLeavingTest, PaceInAnswersCountsAtOnce) {
  for (int ms = 0; ms <= 200; ms += 20) {
    this->now += milliseconds(20);
    this->dispatcher.AddLoad("b0", {.running = 0, .slots = kSlots, .pace = 4}, this->now);
  }
  EXPECT_EQ(this->dispatcher.Slow(this->now), 1u);
  for (int i = 0; i < 30; ++i) EXPECT_NE(this->Submit("chat"), "b0");
}

// All agents fall silent. Guards against probes that leave the data centre unseen, and against
// those that leave it for engines whose scores are better by little while a silent one near is
// untried.
TEST_F(DispatcherLeavingTest, ProbesOfSilentEnginesLeaveByThePolicy) {
  for (int i = 0; i < kEngines; ++i) {
    ASSERT_EQ(this->Submit("chat").front(), 'b');
    this->dispatcher.OnEnded(this->next_attempt - 1, AttemptResult::kErrored, this->now);
  }
  this->now += milliseconds(1600);
  auto sent = this->Send(kEngines);
  EXPECT_EQ(sent['b'], kEngines);
  EXPECT_TRUE(this->left.empty());
  sent = this->Send(3);
  EXPECT_EQ(sent['a'] + sent['c'], 3);
  EXPECT_EQ(this->left[LeavingReason::kNoneNear], 3);
  const auto changes = this->dispatcher.Leaving().TakeChanges(this->now);
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_EQ(changes.front().left, 3u);
}

// Guards against probes that are lost where the ways between data centres are unknown.
TEST_F(DispatcherLeavingTest, SilentEnginesElsewhereAreProbedWithoutWays) {
  DispatcherOptions plain{.data_centre = "dc-b", .entry = "entry-b"};
  Dispatcher alone(std::move(plain), this->random);
  alone.SetUpstream({.id = "a0",
                     .pool = "chat",
                     .address = AddressOf('a', 0),
                     .data_centre = "dc-a",
                     .slots = kSlots,
                     .weights_version = 1,
                     .is_engine = true});
  alone.AddReport({.address = AddressOf('a', 0), .weights_version = 1}, this->now);
  this->now += milliseconds(1600);
  EXPECT_EQ(alone.Silent(this->now), 1u);
  const DispatchVerdict verdict = alone.Submit({.attempt = 1,
                                                .pool = "chat",
                                                .arrived = this->now,
                                                .target = milliseconds(400),
                                                .deadline = this->now + seconds(6),
                                                .may_probe = true},
                                               this->now);
  EXPECT_TRUE(std::holds_alternative<SendTo>(verdict.decision));
}

}  // namespace
}  // namespace savory
