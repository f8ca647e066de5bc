#include "relay/upstream_list.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));

// Guards against losing every upstream for two seconds at the end of a store outage during which
// their records expired.
TEST(UpstreamListTest, ExpiredEntriesStayDuringTheGracePeriod) {
  UpstreamList list;
  list.Set({.id = "a"});
  list.Set({.id = "b"});
  EXPECT_FALSE(list.Remove("a", kStart + milliseconds(100), kStart));
  EXPECT_FALSE(list.Remove("b", kStart + milliseconds(100), kStart));
  list.Set({.id = "b"});
  EXPECT_TRUE(list.TakeExpired(kStart + seconds(2), kStart).empty());
  EXPECT_EQ(list.TakeExpired(kStart + milliseconds(2300), kStart), std::vector<std::string>{"a"});
  EXPECT_EQ(list.All().size(), 1u);
}

// Guards against sending to an upstream that was removed for good some time after a store outage:
// kcw-recell trouble-1 violated the rule DRAIN when the grace period started at the removal.
TEST(UpstreamListTest, GracePeriodStartsAtTheEndOfTheOutage) {
  UpstreamList list;
  list.Set({.id = "a"});
  EXPECT_FALSE(list.Remove("a", kStart + milliseconds(2100), kStart));
  EXPECT_EQ(list.TakeExpired(kStart + milliseconds(2200), kStart), std::vector<std::string>{"a"});
  list.Set({.id = "b"});
  EXPECT_TRUE(list.Remove("b", kStart + milliseconds(2300), kStart));
}

// Guards against sending on to a removed upstream after an outage that turned out to be none.
TEST(UpstreamListTest, GracePeriodEndsWhenTheOutageIsWithdrawn) {
  UpstreamList list;
  list.Set({.id = "a"});
  EXPECT_FALSE(list.Remove("a", kStart + milliseconds(100), kStart));
  EXPECT_TRUE(list.IsRemovalDeferred("a"));
  EXPECT_EQ(list.TakeExpired(kStart + milliseconds(200), Instant()), std::vector<std::string>{"a"});
}

// Guards against a removed upstream that is used for longer than it serves on, because an outage
// was noticed late or another one follows.
TEST(UpstreamListTest, RemovalIsDeferredForALimitedTime) {
  UpstreamList list({.max_deferral = milliseconds(1500)});
  list.Set({.id = "a"});
  EXPECT_FALSE(list.Remove("a", kStart, kStart));
  EXPECT_FALSE(list.Remove("a", kStart + milliseconds(1000), kStart));
  EXPECT_TRUE(list.TakeExpired(kStart + milliseconds(1400), kStart + milliseconds(1300)).empty());
  EXPECT_EQ(list.TakeExpired(kStart + milliseconds(1500), kStart + milliseconds(1300)),
            std::vector<std::string>{"a"});
}

// Guards against a grace period without a store outage.
TEST(UpstreamListTest, RemovalIsImmediateWithoutAnOutage) {
  UpstreamList list;
  list.Set({.id = "a"});
  EXPECT_TRUE(list.Remove("a", kStart, Instant()));
}

// After a power loss, engines start again under new ids. Guards against requests to the earlier
// starts, whose records remain for 3.6 s: 705 requests of kcw-recell inc-ad7a were refused.
TEST(UpstreamListTest, LaterStartAtAnAddressReplacesTheEarlierOne) {
  const Upstream before{.id = "before", .address = "10.0.0.1:80", .started_unix_ms = 1000};
  const Upstream after{.id = "after", .address = "10.0.0.1:80", .started_unix_ms = 2000};
  UpstreamList list;
  EXPECT_EQ(list.Set(before).replaced, "");
  EXPECT_EQ(list.Set(after).replaced, "before");
  EXPECT_TRUE(list.Set(before).superseded);
  EXPECT_FALSE(list.Remove("before", kStart, Instant()));
  EXPECT_EQ(list.All().size(), 1u);

  // The order in which the records are read does not matter.
  UpstreamList other;
  other.Set(after);
  EXPECT_TRUE(other.Set(before).superseded);
  EXPECT_TRUE(other.All().contains("after"));
}

// Guards against dropping an upstream whose start time is unknown, or whose former address another
// one has taken over.
TEST(UpstreamListTest, OnlyAKnownEarlierStartAtTheSameAddressIsReplaced) {
  UpstreamList list;
  list.Set({.id = "a", .address = "10.0.0.1:80"});
  EXPECT_EQ(list.Set({.id = "b", .address = "10.0.0.1:80", .started_unix_ms = 2000}).replaced, "");
  list.Set({.id = "b", .address = "10.0.0.2:80", .started_unix_ms = 2000});
  EXPECT_EQ(list.Set({.id = "c", .address = "10.0.0.1:80", .started_unix_ms = 3000}).replaced, "");
  EXPECT_EQ(list.All().size(), 3u);
}

}  // namespace
}  // namespace savory
