#include "relay/former_health.h"

#include <gtest/gtest.h>

#include "relay/upstream.h"

namespace savory {
namespace {

const Instant kNow = Instant(std::chrono::hours(1));

UpstreamHealth Ejected(Instant now) {
  Random random{7};
  UpstreamHealth health;
  health.OnStarted();
  health.OnEnded(AttemptResult::kUnreachable, now, random);
  return health;
}

TEST(FormerHealthTest, AppliesToTheSameStartAtTheSameAddressOnly) {
  const Upstream upstream{.id = "a", .address = "10.0.0.1:80", .started_unix_ms = 5};
  Upstream later = upstream;
  later.started_unix_ms = 6;
  Upstream moved = upstream;
  moved.address = "10.0.0.2:80";
  FormerHealth former;
  former.Keep(upstream, Ejected(kNow));
  EXPECT_TRUE(former.Take(upstream).IsEjected(kNow));
  EXPECT_EQ(former.Size(), 0u);
  for (const Upstream& other : {later, moved}) {
    former.Keep(upstream, Ejected(kNow));
    EXPECT_FALSE(former.Take(other).IsEjected(kNow));
    EXPECT_EQ(former.Size(), 0u);
  }
}

// Guards against an upstream that is never probed: attempts that ended meanwhile were not counted.
TEST(FormerHealthTest, ForgetsAttemptsInFlight) {
  const Upstream upstream{.id = "a", .address = "10.0.0.1:80"};
  UpstreamHealth health = Ejected(kNow);
  health.OnStarted();
  FormerHealth former;
  former.Keep(upstream, health);
  EXPECT_TRUE(former.Take(upstream).MayUse(kNow + std::chrono::seconds(1), true));
}

TEST(FormerHealthTest, RemembersABoundedNumberAndOnlyEjectedOnes) {
  FormerHealth former(2);
  former.Keep({.id = "sound"}, UpstreamHealth());
  EXPECT_EQ(former.Size(), 0u);
  former.Keep({.id = "a"}, Ejected(kNow + std::chrono::seconds(2)));
  former.Keep({.id = "b"}, Ejected(kNow));
  former.Keep({.id = "c"}, Ejected(kNow + std::chrono::seconds(1)));
  EXPECT_EQ(former.Size(), 2u);
  EXPECT_FALSE(former.Take({.id = "b"}).IsHalfOpen());
  EXPECT_TRUE(former.Take({.id = "a"}).IsHalfOpen());
}

}  // namespace
}  // namespace savory
