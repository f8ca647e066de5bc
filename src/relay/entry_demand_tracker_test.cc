#include "relay/entry_demand_tracker.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::seconds;

class EntryDemandTrackerTest : public ::testing::Test {
 protected:
  void Hear(int first, int last, double rate = 10) {
    for (int i = first; i <= last; ++i) {
      this->demands.OnDemandReport(
          {.entry = "b" + std::to_string(i), .data_centre = "dc", .requests_per_second = rate},
          this->now);
    }
  }

  std::size_t ActiveDemands() { return this->demands.ActiveDemands(this->now).size(); }

  Instant now = Instant(seconds(100));
  EntryDemandTracker demands{{.entry = "a", .data_centre = "dc"}};
};

// Pattern: a burst at one entry. Guards against a share that follows too late or runs away from the
// true rate.
TEST_F(EntryDemandTrackerTest, RateFollowsABurstWithinTwoPeriods) {
  std::uint64_t requests = 0;
  double rate = 0;
  const auto period = [&](std::uint64_t arrived) {
    requests += arrived;
    this->now += seconds(1);
    rate = this->demands.UpdateOwnRate(requests, this->now);
  };
  for (int i = 0; i < 10; ++i) period(50);
  EXPECT_NEAR(rate, 50, 1);
  period(100);
  period(100);
  EXPECT_GT(rate, 85);
  EXPECT_LE(rate, 100);
}

// Guards against a rate of many periods' requests told as one, after a pause of the process.
TEST_F(EntryDemandTrackerTest, PauseOfTheProcessIsNoBurst) {
  this->demands.UpdateOwnRate(0, this->now);
  this->now += seconds(2);
  EXPECT_LE(this->demands.UpdateOwnRate(100, this->now), 50);
}

// Guards against places that stand empty because their entry is dead.
TEST_F(EntryDemandTrackerTest, SilentEntryLosesItsShare) {
  this->Hear(1, 4);
  EXPECT_EQ(this->ActiveDemands(), 5u);
  this->now += seconds(4);
  this->Hear(1, 3);
  EXPECT_EQ(this->ActiveDemands(), 4u);
}

// Pattern: an entry that is cut off from the others while its callers and engines are not. Guards
// against it taking all places for its own.
TEST_F(EntryDemandTrackerTest, EntryThatHearsNobodyKeepsItsShare) {
  this->Hear(1, 4);
  this->now += seconds(5);
  EXPECT_EQ(this->ActiveDemands(), 5u);
  // For good they are not kept: the others may have been taken away.
  this->now += seconds(8);
  EXPECT_EQ(this->ActiveDemands(), 1u);
}

// Guards against own messages that come back counted as another entry.
TEST_F(EntryDemandTrackerTest, OwnMessageIsNoOtherEntry) {
  this->demands.OnDemandReport({.entry = "a", .requests_per_second = 5}, this->now);
  EXPECT_EQ(this->ActiveDemands(), 1u);
}

// Pattern: all entries start at once after a loss of power. Guards against each of them taking
// every place of the first engines that are back: 427 requests of alhadid-seals-grown trouble-1
// were refused by full engines within 1.5 s.
TEST_F(EntryDemandTrackerTest, EntriesThatHaveNotToldYetHaveAShare) {
  this->demands.SetLiveEntries({"a", "b1", "b2", "b3"});
  EXPECT_EQ(this->ActiveDemands(), 4u);
  this->Hear(1, 2, 30);
  const auto sharing = this->demands.ActiveDemands(this->now);
  ASSERT_EQ(sharing.size(), 4u);
  EXPECT_EQ(sharing.back().entry, "b3");
  EXPECT_NEAR(sharing.back().requests_per_second, 20, 0.1);
  this->demands.SetLiveEntries({"b1", "b2"});
  EXPECT_EQ(this->ActiveDemands(), 3u);
}

}  // namespace
}  // namespace savory
