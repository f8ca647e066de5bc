#include "relay/upstream_health.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamHealthTest : public ::testing::Test {
 protected:
  void End(AttemptResult result, int times = 1) {
    for (int i = 0; i < times; ++i) {
      this->health.OnStarted();
      this->health.OnEnded(result, this->now, this->random);
    }
  }
  // Fails until it is ejected; returns for how long.
  Duration Eject() {
    while (!this->health.IsEjected(this->now)) this->End(AttemptResult::kErrored);
    return this->health.EjectedUntil() - this->now;
  }

  Random random{20261204};
  Instant now = Instant(std::chrono::hours(1));
  UpstreamHealth health;
};

// Guards against an upstream that is given up for one error among successes.
TEST_F(UpstreamHealthTest, OneErrorAmongSuccessesDoesNotEject) {
  for (int i = 0; i < 20; ++i) {
    this->End(AttemptResult::kServed, 9);
    this->End(AttemptResult::kErrored);
    EXPECT_FALSE(this->health.IsEjected(this->now));
  }
}

// Guards against a full upstream, or one whose callers leave, that counts as failing.
TEST_F(UpstreamHealthTest, RefusalsAndLeavingCallersSayNothing) {
  this->End(AttemptResult::kRefused, 50);
  this->End(AttemptResult::kCancelled, 50);
  EXPECT_FALSE(this->health.IsEjected(this->now));
  EXPECT_EQ(this->health.FailureRate(), 0);
}

// Pattern: loss of power everywhere. Guards against sending on to a start that is over until its
// entry lapses: one answer tells it.
TEST_F(UpstreamHealthTest, MisdirectedRequestEjectsAtOnce) {
  this->End(AttemptResult::kServed, 9);
  this->End(AttemptResult::kMisdirected);
  EXPECT_TRUE(this->health.IsEjected(this->now + milliseconds(1000)));
}

// Pattern: an engine that goes down and up by turns. Guards against full load on it in each turn.
TEST_F(UpstreamHealthTest, EjectionsOfAFlappingUpstreamGrow) {
  Duration last = {};
  for (int round = 0; round < 3; ++round) {
    const Duration ejection = this->Eject();
    EXPECT_GT(ejection, last);
    last = ejection;
    this->now += ejection + milliseconds(1);
    EXPECT_TRUE(this->health.IsHalfOpen());
  }
}

// Guards against an upstream that was ejected and gets everything back at once, or requests that
// may not be repeated.
TEST_F(UpstreamHealthTest, TrialIsOneRequestThatMayBeRepeated) {
  this->now += this->Eject() + milliseconds(1);
  EXPECT_FALSE(this->health.MayUse(this->now, false));
  EXPECT_TRUE(this->health.MayUse(this->now, true));
  this->health.OnStarted();
  EXPECT_FALSE(this->health.MayUse(this->now, true));
  this->health.OnEnded(AttemptResult::kServed, this->now, this->random);
  EXPECT_TRUE(this->health.MayUse(this->now, false));
}

// Guards against an ejection without an end.
TEST_F(UpstreamHealthTest, EjectionsAreBounded) {
  for (int round = 0; round < 30; ++round) {
    const Duration ejection = this->Eject();
    EXPECT_LE(ejection, seconds(10));
    this->now += ejection + milliseconds(1);
  }
}

}  // namespace
}  // namespace savory
