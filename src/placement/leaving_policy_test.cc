#include "placement/leaving_policy.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LeavingPolicyTest : public ::testing::Test {
 protected:
  LeavingPolicyTest() { this->Prepare(this->policy); }

  static void Prepare(LeavingPolicy& policy) {
    policy.SetRegions({{"dc-a", "north"}, {"dc-b", "north"}, {"dc-c", "south"}});
    policy.SetWays({{.from = "dc-a", .to = "dc-b", .delay = milliseconds(3)},
                    {.from = "dc-c", .to = "dc-a", .delay = milliseconds(5)}});
  }

  static SideOffer Near(double strain, bool has_room = true) {
    return {.usable = true,
            .has_room = has_room,
            .strain = strain,
            .owned = true,
            .load = strain,
            .data_centre = "dc-a"};
  }
  static SideOffer Far(double strain, std::string_view data_centre = "dc-b") {
    return {.usable = true,
            .has_room = true,
            .strain = strain,
            .owned = true,
            .data_centre = data_centre};
  }

  // Returns the part of the requests of one second that leave.
  double Second(const SideOffer& near, const SideOffer& far) {
    int left = 0;
    for (int i = 0; i < 100; ++i) {
      this->now += milliseconds(10);
      if (this->policy.Stays("chat", near, this->now)) continue;
      const double draw = i % 10 / 10.0;
      const auto reason = this->policy.Decide("chat", near, far, 0, draw, this->now);
      if (reason != LeavingReason::kStays) ++left;
    }
    return left / 100.0;
  }

  Instant now = Instant(seconds(100));
  LeavingPolicy policy{{.data_centre = "dc-a", .entry = "e", .entry_spread = 0}};
};

TEST_F(LeavingPolicyTest, WithoutKnownWaysItDoesNotAct) {
  LeavingPolicy unknown({.data_centre = "dc-a"});
  EXPECT_FALSE(unknown.IsActive());
  EXPECT_FALSE(unknown.RoundTrip("dc-b").has_value());
  EXPECT_TRUE(this->policy.IsActive());
  EXPECT_EQ(this->policy.RoundTrip("dc-c"), milliseconds(10));
}

// A calm day. Guards against traffic that leaves although callers are served well near.
TEST_F(LeavingPolicyTest, NothingLeavesWhileTargetsAreMetNear) {
  EXPECT_EQ(this->Second(Near(0.45), Far(0.05)), 0);
  EXPECT_EQ(this->policy.PartOf("chat"), 0);
}

// A data centre without room. Guards against refusals while others have room.
TEST_F(LeavingPolicyTest, WhatWouldBeRefusedNearLeavesAtOnce) {
  EXPECT_EQ(this->Second(Near(0.5, false), Far(0.7)), 1);
  const auto reason = [this](const SideOffer& near) {
    return this->policy.Decide("chat", near, Far(0.7), 0, 0.99, this->now);
  };
  EXPECT_EQ(reason(Near(0.5, false)), LeavingReason::kNearFull);
  EXPECT_EQ(reason(Near(1.2, false)), LeavingReason::kNearLate);
  EXPECT_EQ(reason({}), LeavingReason::kNoneNear);
}

// Double demand near. Guards against entries that move at once, and back again.
TEST_F(LeavingPolicyTest, PreferenceGrowsAndShrinksInSteps) {
  const double first = this->Second(Near(0.7), Far(0.2));
  EXPECT_GT(first, 0.1);
  EXPECT_LT(first, 0.7);
  EXPECT_EQ(this->Second(Near(0.7), Far(0.2)), 1);
  // Between the two bounds the part stays as it is.
  const double part = this->policy.PartOf("chat");
  this->Second(Near(0.45), Far(0.2));
  EXPECT_EQ(this->policy.PartOf("chat"), part);
  this->Second(Near(0.2), Far(0.2));
  this->Second(Near(0.2), Far(0.2));
  EXPECT_EQ(this->policy.PartOf("chat"), 0);
}

// Both sides are loaded. Guards against traffic that is paid for and gains nothing.
TEST_F(LeavingPolicyTest, LeavingMustSaveMoreThanItsPrice) {
  this->Second(Near(0.7), Far(0.65));
  EXPECT_EQ(this->Second(Near(0.7), Far(0.65)), 0);
  EXPECT_EQ(this->Second(Near(0.7), Far(0.58)), 1);          // another data centre
  EXPECT_EQ(this->Second(Near(0.7), Far(0.58, "dc-c")), 0);  // another region
}

// Guards against own slots elsewhere that stay unused while those of others near are taken.
TEST_F(LeavingPolicyTest, OwnShareElsewhereGoesBeforeBorrowingBusyEngines) {
  SideOffer borrowed = Near(0.3);
  borrowed.owned = false;
  borrowed.load = 0.3;
  EXPECT_TRUE(this->policy.Stays("chat", borrowed, this->now));
  borrowed.load = 0.8;
  EXPECT_FALSE(this->policy.Stays("chat", borrowed, this->now));
  EXPECT_EQ(this->policy.Decide("chat", borrowed, Far(0.2), 0, 0.99, this->now),
            LeavingReason::kOwnShare);
}

// A narrow link between regions. Guards against requests that fill it for the sake of preference.
TEST_F(LeavingPolicyTest, NarrowLinkBoundsWhatLeavesButNotAnEvacuation) {
  LeavingPolicy narrow({.data_centre = "dc-a", .entry = "e", .region_bytes_per_second = 100'000});
  Prepare(narrow);
  narrow.SetEntriesOfRegion(2);
  const auto left_in_a_second = [&](const SideOffer& near) {
    int left = 0;
    for (int i = 0; i < 100; ++i) {
      this->now += milliseconds(10);
      const auto reason = narrow.Decide("chat", near, Far(0.1, "dc-c"), 5000, 0, this->now);
      if (reason == LeavingReason::kStays) continue;
      ++left;
      narrow.OnLeft("chat", "dc-c", reason, 5000, this->now);
    }
    return left;
  };
  const int needed = left_in_a_second(Near(1, false));
  EXPECT_GE(needed, 8);
  EXPECT_LE(needed, 13);  // 50,000 bytes a second, and a burst
  EXPECT_EQ(left_in_a_second({}), 100);
}

// Guards against a log line for each request that leaves.
TEST_F(LeavingPolicyTest, EpisodesAreToldTwice) {
  for (int i = 0; i < 50; ++i) {
    this->now += milliseconds(10);
    this->policy.OnLeft("chat", "dc-b", LeavingReason::kNearFull, 0, this->now);
    const auto changes = this->policy.TakeChanges(this->now);
    ASSERT_EQ(changes.size(), i == 0 ? 1u : 0u);
    if (i == 0) {
      EXPECT_TRUE(changes.front().began);
    }
  }
  const auto changes = this->policy.TakeChanges(this->now + seconds(2));
  ASSERT_EQ(changes.size(), 1u);
  EXPECT_FALSE(changes.front().began);
  EXPECT_EQ(changes.front().left, 50u);
  EXPECT_EQ(changes.front().reason, LeavingReason::kNearFull);
  EXPECT_TRUE(this->policy.TakeChanges(this->now + seconds(3)).empty());
}

}  // namespace
}  // namespace savory
