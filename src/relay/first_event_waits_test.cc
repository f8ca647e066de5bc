#include "relay/first_event_waits.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr Duration kLifetime = milliseconds(1500);

TEST(FirstEventWaitsTest, OldestWaitingRequestCounts) {
  FirstEventWaits waits;
  EXPECT_EQ(waits.Longest(kStart, kLifetime), Duration(0));
  waits.OnSent(7, kStart);
  waits.OnSent(8, kStart + seconds(1));
  EXPECT_EQ(waits.Longest(kStart + seconds(3), kLifetime), seconds(3));
  waits.OnEnded(7, kStart);
  EXPECT_EQ(waits.Longest(kStart + seconds(3), kLifetime), seconds(2)) << "7 says nothing";
}

// Guards against an upstream that looks quick again as soon as its requests are given up.
TEST(FirstEventWaitsTest, LastWaitCountsForItsLifetime) {
  FirstEventWaits waits;
  waits.OnSent(7, kStart);
  waits.OnWaited(7, kStart, kStart + seconds(2));
  EXPECT_EQ(waits.Longest(kStart + seconds(3), kLifetime), seconds(2));
  EXPECT_EQ(waits.Longest(kStart + seconds(2) + kLifetime, kLifetime), Duration(0));
  waits.OnWaited(7, kStart, kStart + seconds(9));
  EXPECT_EQ(waits.Longest(kStart + seconds(9), kLifetime), Duration(0)) << "it had begun before";
}

// A caller leaves at once, or a request is not sent after all. Guards against an attempt that says
// nothing and hides a wait of seconds.
TEST(FirstEventWaitsTest, AttemptThatIsGivenUpOnlyRaisesTheWait) {
  FirstEventWaits waits;
  const Instant end = kStart + seconds(2);
  waits.OnSent(7, kStart);
  waits.OnSent(8, end);
  waits.OnGivenUp(7, kStart, end, kLifetime);
  EXPECT_EQ(waits.Longest(end, kLifetime), seconds(2));
  waits.OnGivenUp(8, end, end + milliseconds(10), kLifetime);
  EXPECT_EQ(waits.Longest(end + milliseconds(10), kLifetime), seconds(2));
}

}  // namespace
}  // namespace savory
