#include "relay/entry_demand_tracker.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::seconds;

class EntryDemandTrackerTest : public ::testing::Test {
 protected:
  void ReceiveReports(int first, int last, double rate = 10) {
    for (int i = first; i <= last; ++i) {
      this->tracker.OnDemandReport(
          {.entry = "b" + std::to_string(i), .data_centre = "dc", .requests_per_second = rate},
          seconds(1), this->now);
    }
  }

  std::size_t ActiveCount() { return this->tracker.ActiveDemands(this->now).size(); }

  Instant now = Instant(seconds(100));
  EntryDemandTracker tracker{{.entry = "a", .data_centre = "dc"}};
};

// Guards against a rate that follows a burst too late or exceeds the true rate.
TEST_F(EntryDemandTrackerTest, RateFollowsABurstWithinTwoPeriods) {
  std::uint64_t requests = 0;
  double rate = 0;
  const auto period = [&](std::uint64_t arrived) {
    requests += arrived;
    this->now += seconds(1);
    rate = this->tracker.UpdateOwnRate(requests, this->now);
  };
  for (int i = 0; i < 10; ++i) period(50);
  EXPECT_NEAR(rate, 50, 1);
  period(100);
  period(100);
  EXPECT_GT(rate, 85);
  EXPECT_LE(rate, 100);
}

// Guards against reports that come later than a burst or a move of callers, and against reports of
// every random change.
TEST_F(EntryDemandTrackerTest, ChangedRateIsReportedBeforeThePeriodEnds) {
  std::uint64_t requests = 0;
  const auto reports_in = [&](int quarters, std::uint64_t per_quarter) {
    int reports = 0;
    for (int i = 0; i < quarters; ++i) {
      requests += per_quarter + static_cast<std::uint64_t>(i % 2);
      this->now += std::chrono::milliseconds(250);
      this->tracker.UpdateOwnRate(requests, this->now);
      reports += this->tracker.TakeReportDue(seconds(1), this->now) ? 1 : 0;
    }
    return reports;
  };
  reports_in(20, 10);
  EXPECT_EQ(reports_in(8, 10), 2);  // one each second
  EXPECT_EQ(reports_in(1, 20), 1);
  EXPECT_GE(reports_in(3, 20), 1);
  EXPECT_GT(this->tracker.ActiveDemands(this->now).front().requests_per_second, 65);
}

// Guards against reporting the requests of several periods as the rate of one after the process was
// paused.
TEST_F(EntryDemandTrackerTest, ProcessPauseIsNotReportedAsABurst) {
  this->tracker.UpdateOwnRate(0, this->now);
  this->now += seconds(2);
  EXPECT_LE(this->tracker.UpdateOwnRate(100, this->now), 50);
}

// Guards against slots that stay unused because the entry that owns them is down.
TEST_F(EntryDemandTrackerTest, SilentEntryLosesItsShare) {
  this->ReceiveReports(1, 4);
  EXPECT_EQ(this->ActiveCount(), 5u);
  this->now += seconds(4);
  this->ReceiveReports(1, 3);
  EXPECT_EQ(this->ActiveCount(), 4u);
}

// An entry loses contact with the other entries, but not with its callers and engines. Guards
// against it using all slots.
TEST_F(EntryDemandTrackerTest, IsolatedEntryKeepsItsShare) {
  this->ReceiveReports(1, 4);
  this->now += seconds(5);
  EXPECT_EQ(this->ActiveCount(), 5u);
  // They are dropped in the end, because the other entries may have been removed for good.
  this->now += seconds(8);
  EXPECT_EQ(this->ActiveCount(), 1u);
}

// Guards against counting the entry's own report as that of another entry.
TEST_F(EntryDemandTrackerTest, OwnReportIsIgnored) {
  this->tracker.OnDemandReport({.entry = "a", .requests_per_second = 5}, seconds(1), this->now);
  EXPECT_EQ(this->ActiveCount(), 1u);
}

// All entries start at once after a power loss. Guards against each of them using every slot of the
// first engines that are up: 427 requests of alhadid-seals-grown trouble-1 were refused by full
// engines within 1.5 s.
TEST_F(EntryDemandTrackerTest, LiveEntriesWithoutAReportHaveAShare) {
  this->tracker.SetLiveEntries({"a", "b1", "b2", "b3"});
  EXPECT_EQ(this->ActiveCount(), 4u);
  this->ReceiveReports(1, 2, 30);
  const auto active = this->tracker.ActiveDemands(this->now);
  ASSERT_EQ(active.size(), 4u);
  EXPECT_EQ(active.back().entry, "b3");
  EXPECT_NEAR(active.back().requests_per_second, 20, 0.1);
  this->tracker.SetLiveEntries({"b1", "b2"});
  EXPECT_EQ(this->ActiveCount(), 3u);
}

// The entry is cut off from most others: they keep their shares, but what their callers lacked
// before says nothing of now.
TEST_F(EntryDemandTrackerTest, ReportsThatStopNoLongerTellWhatCallersLack) {
  EntryDemand demand{.entry = "b", .data_centre = "dc", .requests_per_second = 10};
  demand.pools = {{.pool = "engines"}};
  demand.pools.front().classes[0] = {.asked = 10, .lacked = 5};
  this->tracker.OnDemandReport(demand, seconds(1), this->now);
  EXPECT_EQ(this->tracker.ActiveDemands(this->now).back().pools, demand.pools);
  this->now += seconds(5);
  ASSERT_EQ(this->ActiveCount(), 2u);
  EXPECT_TRUE(this->tracker.ActiveDemands(this->now).back().pools.empty());
}

// A burst of urgent requests that are refused: the other entries learn of it at once.
TEST_F(EntryDemandTrackerTest, LackIsReportedAtOnce) {
  EXPECT_TRUE(this->tracker.TakeReportDue(seconds(1), this->now));
  EXPECT_FALSE(this->tracker.TakeReportDue(seconds(1), this->now));
  PoolDemands pools = {{.pool = "engines"}};
  pools.front().classes[0] = {.asked = 40, .lacked = 10};
  this->tracker.SetOwnPools(pools, 1);
  EXPECT_TRUE(this->tracker.TakeReportDue(seconds(1), this->now));
}

}  // namespace
}  // namespace savory
