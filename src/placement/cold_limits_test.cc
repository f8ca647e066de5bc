#include "placement/cold_limits.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "placement/steady_share.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kPerSecond = 26;
constexpr double kOverrun = 1.5;
constexpr double kSlack = 5;
constexpr double kBound = kPerSecond * kOverrun + kSlack;

ColdLimits MakeLimits(Instant started = {}) {
  ColdLimits limits({.overrun = kOverrun, .slack = kSlack, .started = started});
  limits.SetRules({{"chat", {.after_start = seconds(3), .requests_per_second = kPerSecond}},
                   {"ledger", {.after_start = seconds(3)}}});
  return limits;
}

constexpr ColdUpstream kEngine{.id = "e", .pool = "chat", .data_centre = "dc-a"};
constexpr ColdUpstream kService{.id = "e", .pool = "ledger", .data_centre = "dc-a"};

class ColdLimitsTest : public ::testing::Test {
 protected:
  // Sends as many requests as are allowed now.
  int SendAll(ColdLimits& limits, const ColdShare& share, const ColdUpstream& to = kEngine) {
    int sent = 0;
    while (sent < 1000 && limits.MaySend(to, share, this->now)) {
      limits.OnSent(to, this->now);
      ++sent;
    }
    return sent;
  }
  Instant now = Instant(std::chrono::hours(1));
};

TEST_F(ColdLimitsTest, WarmUpstreamsAndPoolsWithoutALimitAreFree) {
  ColdLimits limits = MakeLimits();
  EXPECT_EQ(this->SendAll(limits, {}), 1000);
  limits.SetCold("e", seconds(3), this->now);
  EXPECT_EQ(this->SendAll(limits, {}, kService), 1000);
}

TEST_F(ColdLimitsTest, WithoutSettingsNothingIsLimited) {
  ColdLimits limits;
  limits.SetRules({{"chat", {.after_start = seconds(3), .requests_per_second = kPerSecond}}});
  limits.SetCold("e", seconds(3), this->now);
  EXPECT_EQ(this->SendAll(limits, {}), 1000);
}

// What the bound allows is used: a sole owner gets the tolerated rate, second after second.
TEST_F(ColdLimitsTest, SoleOwnerUsesTheToleratedRate) {
  ColdLimits limits = MakeLimits();
  limits.SetCold("e", seconds(30), this->now);
  const Instant begin = this->now;
  int sent = 0;
  for (; this->now < begin + seconds(12); this->now += milliseconds(10)) {
    sent += this->SendAll(limits, {.fraction = 1});
  }
  EXPECT_GE(sent, static_cast<int>(kPerSecond * 10));
}

TEST_F(ColdLimitsTest, EndsWithItsTimeOrTheUpstreamsWord) {
  ColdLimits limits = MakeLimits();
  limits.SetCold("e", seconds(3), this->now);
  EXPECT_TRUE(limits.IsCold(kEngine, this->now + milliseconds(2900)));
  EXPECT_FALSE(limits.IsCold(kEngine, this->now + milliseconds(3100)));
  limits.SetCold("e", Duration(0), this->now);
  EXPECT_FALSE(limits.IsCold(kEngine, this->now));
  limits.OnDataCentreReturned("dc-a", this->now);
  EXPECT_TRUE(limits.IsCold(kEngine, this->now + milliseconds(2900)));
  limits.Expire(this->now + seconds(4));
  EXPECT_EQ(limits.Size(), 0u);
}

// A record may have been written before the upstream became cold. Guards against ending its time
// early, and against losing what a longer time in a record says.
TEST_F(ColdLimitsTest, RecordsShortenNothing) {
  ColdLimits limits = MakeLimits();
  limits.SetCold("e", seconds(3), this->now);
  limits.OnRecord("e", Duration(0), this->now);
  limits.OnRecord("e", seconds(1), this->now);
  EXPECT_TRUE(limits.IsCold(kEngine, this->now + milliseconds(2900)));
  limits.OnRecord("e", seconds(4), this->now);
  EXPECT_TRUE(limits.IsCold(kEngine, this->now + milliseconds(3900)));
  EXPECT_FALSE(limits.IsCold(kEngine, this->now + milliseconds(4100)));
}

// An entry learns that an upstream is cold after it has sent requests there. Guards against its
// whole part on top of them.
TEST_F(ColdLimitsTest, RequestsSentBeforeItWasKnownCount) {
  ColdLimits limits = MakeLimits();
  for (int i = 0; i < 20; ++i) limits.OnSent(kEngine, this->now);
  limits.Expire(this->now + milliseconds(300));
  this->now += milliseconds(300);
  limits.SetCold("e", seconds(3), this->now);
  EXPECT_EQ(this->SendAll(limits, {.fraction = 1}), static_cast<int>(kPerSecond) - 20);
  limits.Expire(this->now + seconds(4));
  EXPECT_EQ(limits.Size(), 0u);
}

TEST_F(ColdLimitsTest, RemembersABoundedNumberOfUpstreams) {
  ColdLimits limits({.overrun = kOverrun, .slack = kSlack, .max_upstreams = 2});
  limits.SetCold("a", seconds(1), this->now);
  limits.SetCold("e", seconds(3), this->now);
  limits.SetCold("b", seconds(2), this->now);
  EXPECT_EQ(limits.Size(), 2u);
  EXPECT_TRUE(limits.IsCold(kEngine, this->now));
}

// Guards against a mistake in the rules that lifts the limit.
TEST_F(ColdLimitsTest, NegativeRateKeepsTheRuleThatStood) {
  ColdLimits limits = MakeLimits();
  limits.SetCold("e", seconds(30), this->now);
  const auto mistaken =
      limits.SetRules({{"chat", {.after_start = seconds(3), .requests_per_second = -1}}});
  EXPECT_EQ(mistaken, std::vector<std::string>{"chat"});
  EXPECT_EQ(this->SendAll(limits, {.fraction = 1}), static_cast<int>(kPerSecond));
}

// The list of upstreams may be read before the rules.
TEST_F(ColdLimitsTest, RulesMayComeAfterTheUpstream) {
  ColdLimits limits({.overrun = kOverrun, .slack = kSlack});
  limits.SetCold("e", seconds(30), this->now);
  limits.SetRules({{"chat", {.after_start = seconds(3), .requests_per_second = kPerSecond}}});
  EXPECT_EQ(this->SendAll(limits, {.fraction = 1}), static_cast<int>(kPerSecond));
}

// Guards against an entry that restarts and gives its part a second time.
TEST_F(ColdLimitsTest, RestartedEntryWaitsForTheWindow) {
  ColdLimits limits = MakeLimits(this->now);
  limits.SetCold("e", seconds(3), this->now);
  EXPECT_EQ(this->SendAll(limits, {.fraction = 1}), 0);
  this->now += milliseconds(650);
  EXPECT_EQ(this->SendAll(limits, {.fraction = 1}), static_cast<int>(kPerSecond / 2));
  this->now += milliseconds(1200);
  EXPECT_EQ(this->SendAll(limits, {.fraction = 1}), static_cast<int>(kPerSecond));
}

// Pattern: an upstream comes back cold while all entries look for free slots, and some entries have
// just started, think that they are alone or divide the slots by other demands than the rest.
// Guards against more requests in any second, over all entries, than the bound allows.
RC_GTEST_PROP(ColdLimitsProperty, SumOverAllEntriesStaysUnderTheBound, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 40);
  const double skew = 1 + *rc::gen::inRange(0, 30) / 100.0;  // shares of other views overlap
  const bool one_restarts = *rc::gen::arbitrary<bool>();
  const Instant begin = Instant(std::chrono::hours(1));
  std::vector<ColdLimits> entries(count, MakeLimits());
  std::vector<Instant> arrivals;
  const auto owners = std::min<std::size_t>(count, *rc::gen::inRange<std::size_t>(1, 4));
  for (ColdLimits& limits : entries) limits.SetCold("e", seconds(3), begin);
  for (Instant now = begin; now < begin + milliseconds(2900); now += milliseconds(7)) {
    // A process is restarted after half a second.
    const bool is_down =
        one_restarts && now - begin > seconds(1) && now - begin <= milliseconds(1500);
    if (is_down) {
      entries.back() = MakeLimits(now);
      entries.back().SetCold("e", seconds(3), now);
    }
    for (std::size_t i = 0; i < count - (is_down ? 1 : 0); ++i) {
      ColdShare share{.entries = count};
      if (i < owners) share.fraction = std::min(1.0, skew / static_cast<double>(owners));
      for (int tries = 0; tries < 5 && entries[i].MaySend(kEngine, share, now); ++tries) {
        entries[i].OnSent(kEngine, now);
        arrivals.push_back(now + Duration(*rc::gen::inRange(0, 100'000)));
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= seconds(1)) ++first;
    RC_ASSERT(static_cast<double>(last - first + 1) <= kBound);
  }
}

// Pattern: engines return one after another, so that the slots of one change hands twice within a
// second, and each entry learns of it at another time. Guards against more requests in any second,
// over all entries, than the bound allows.
RC_GTEST_PROP(ColdLimitsProperty, SumStaysUnderTheBoundWhileSlotsChangeHands, ()) {
  const Instant begin = Instant(std::chrono::hours(1));
  const auto first = milliseconds(*rc::gen::inRange(0, 2000));
  const std::vector<Duration> moves{first, first + milliseconds(*rc::gen::inRange(0, 900))};
  struct Entry {
    ColdLimits limits = MakeLimits();
    SteadyShare share = SteadyShare();
    std::vector<Duration> late = {};  // by move
  };
  std::vector<Entry> entries(5);
  for (Entry& entry : entries) {
    entry.limits.SetCold("e", seconds(4), begin);
    for (int i = 0; i < 2; ++i) entry.late.emplace_back(milliseconds(*rc::gen::inRange(0, 300)));
  }
  entries[0].share.Set(12, begin - seconds(2));
  std::vector<Instant> sent;
  for (Instant now = begin; now < begin + milliseconds(3900); now += milliseconds(7)) {
    for (std::size_t i = 0; i < entries.size(); ++i) {
      Entry& entry = entries[i];
      std::size_t owner = 0;
      for (std::size_t k = 0; k < 2; ++k) {
        if (now >= begin + moves[k] + entry.late[k]) owner = k + 1;
      }
      const std::uint32_t slots = owner == i ? 12 : 0;
      entry.share.Set(slots, now);
      const double held = entry.share.Least(now) / 12.0;
      const ColdShare share{.fraction = held, .gained = slots / 12.0 - held, .entries = 5};
      while (entry.limits.MaySend(kEngine, share, now)) {
        entry.limits.OnSent(kEngine, now);
        sent.push_back(now);
      }
    }
  }
  for (std::size_t from = 0, last = 0; last < sent.size(); ++last) {
    while (sent[last] - sent[from] >= seconds(1)) ++from;
    RC_ASSERT(static_cast<double>(last - from + 1) <= kBound);
  }
}

}  // namespace
}  // namespace savory
