#include "relay/upstream_notices.h"

#include <gtest/gtest.h>

#include <chrono>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UpstreamStart kStart = {.id = "a", .started_unix_ms = 7};

// Guards against memory that grows with each upstream that leaves.
TEST(UpstreamNoticesTest, OldestNoticeIsForgottenBeyondTheLimit) {
  UpstreamNotices notices({.max_upstreams = 2});
  Instant now = Instant(seconds(1));
  for (const char* id : {"a", "b", "a", "c"}) {
    now += seconds(1);
    notices.AddLeaving({.id = id}, now);
  }
  EXPECT_EQ(notices.Size(), 2u);
  EXPECT_TRUE(notices.IsLeaving({.id = "a"}, now));
  EXPECT_FALSE(notices.IsLeaving({.id = "b"}, now));
  EXPECT_TRUE(notices.IsLeaving({.id = "c"}, now));
}

// Guards against a log line for each of many answers that say the same.
TEST(UpstreamNoticesTest, RepeatedNoticesAreNoChange) {
  UpstreamNotices notices;
  const Instant now = Instant(seconds(1));
  EXPECT_TRUE(notices.AddWait(kStart, seconds(2), now));
  EXPECT_FALSE(notices.AddWait(kStart, seconds(2), now + milliseconds(20)));
  EXPECT_EQ(notices.WaitEnd(kStart), now + milliseconds(2020));
  EXPECT_TRUE(notices.AddWait(kStart, seconds(3), now + milliseconds(20)));
  EXPECT_TRUE(notices.AddWait(kStart, seconds(1), now + seconds(10)));
  EXPECT_TRUE(notices.AddLeaving(kStart, now));
  EXPECT_FALSE(notices.AddLeaving(kStart, now + seconds(1)));
}

// The clock of a machine went ahead and was set back. Guards against one start time that makes all
// later notices of its upstream look like late ones, for good.
TEST(UpstreamNoticesTest, StartInTheFutureIsForgotten) {
  UpstreamNotices notices;
  Instant now = Instant(seconds(1));
  EXPECT_TRUE(notices.AddWait({.id = "a", .started_unix_ms = 9000}, seconds(2), now));
  now += seconds(1);
  EXPECT_FALSE(notices.AddLeaving(kStart, now));
  now += std::chrono::hours(2);
  EXPECT_TRUE(notices.AddWait(kStart, seconds(2), now));
  EXPECT_FALSE(notices.MayUse(kStart, now));
  EXPECT_TRUE(notices.AddLeaving(kStart, now));
  EXPECT_TRUE(notices.IsLeaving(kStart, now));
}

}  // namespace
}  // namespace savory
