#include "distribution/congestion_detector.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CongestionDetectorTest : public ::testing::Test {
 protected:
  // Sends `count` probes one after the other, each answered after `delay`.
  void RunProbes(int count, Duration delay) {
    for (int i = 0; i < count; ++i) {
      const std::uint64_t number = this->detector.StartProbe(this->now);
      this->now += delay;
      this->detector.OnProbeReply(number, this->now);
    }
  }

  bool IsPaused() const { return this->now < this->detector.PausedUntil(); }

  Instant now = Instant(seconds(100));
  CongestionDetector detector;
};

// Guards against slowing down weights on a link with spare capacity: rollouts must end in time.
TEST_F(CongestionDetectorTest, UncongestedLinkIsFree) {
  this->RunProbes(20, milliseconds(90));
  EXPECT_EQ(this->detector.State(this->now), LinkState::kFree);
}

// All agents copy at full rate. Guards against a pause caused by a short queue of the agent's own
// chunks: in the harness, half of the agents then had a complete copy after 5 to 11 s instead of
// 3.5 s.
TEST_F(CongestionDetectorTest, QueueOfOwnChunksMakesLinkBusyWithoutPause) {
  this->RunProbes(5, milliseconds(250));
  EXPECT_EQ(this->detector.State(this->now), LinkState::kBusy);
  EXPECT_FALSE(this->IsPaused());
  this->RunProbes(12, milliseconds(100));
  EXPECT_EQ(this->detector.State(this->now), LinkState::kFree);
}

// Links become narrow while a version is copied. Guards against chunks that fill the queue of the
// link: in kcw-recell-grown scale-2, requests to engines behind such links had no event for 0.8 s,
// and runs continued for over 0.5 s after their callers had left.
TEST_F(CongestionDetectorTest, PersistentQueueMakesLinkNarrowAndPauses) {
  this->RunProbes(12, milliseconds(400));
  EXPECT_EQ(this->detector.State(this->now), LinkState::kNarrow);
  EXPECT_GE(this->detector.PausedUntil() - this->now, milliseconds(1200));
  EXPECT_LE(this->detector.PausedUntil() - this->now, seconds(2));
}

// Guards against an agent that serves no chunks long after its link has recovered.
TEST_F(CongestionDetectorTest, RecoveredLinkIsFree) {
  this->RunProbes(12, milliseconds(400));
  this->RunProbes(60, milliseconds(100));
  EXPECT_FALSE(this->IsPaused());
  EXPECT_EQ(this->detector.State(this->now), LinkState::kFree);
}

// Guards against attributing the delay of one peer's link to this agent's link.
TEST_F(CongestionDetectorTest, SlowPeerDoesNotCountAsOwnCongestion) {
  for (int i = 0; i < 10; ++i) {
    this->RunProbes(2, milliseconds(10));
    this->RunProbes(1, milliseconds(600));
  }
  EXPECT_EQ(this->detector.State(this->now), LinkState::kFree);
}

// Guards against detecting a queue of several seconds only when the probe replies have passed it.
TEST_F(CongestionDetectorTest, OverdueProbesCountAsDelay) {
  this->RunProbes(3, milliseconds(20));
  for (int i = 0; i < 20; ++i) {
    this->detector.StartProbe(this->now);
    this->now += milliseconds(100);
    this->detector.Advance(this->now);
  }
  EXPECT_EQ(this->detector.State(this->now), LinkState::kNarrow);
}

// Guards against a permanent pause because of lost probes.
TEST_F(CongestionDetectorTest, LostProbesExpire) {
  for (int i = 0; i < 3; ++i) this->detector.StartProbe(this->now);
  this->RunProbes(3, milliseconds(20));
  this->now += seconds(4);
  this->detector.Advance(this->now);
  EXPECT_EQ(this->detector.State(this->now), LinkState::kFree);
}

// One peer in eight is behind a narrow link. Guards against counting its overdue probes as
// congestion of this agent's link at each evaluation: all agents of the harness paused.
TEST_F(CongestionDetectorTest, FewOverdueProbesAreNoCongestion) {
  for (int i = 0; i < 100; ++i) {
    const std::uint64_t number = this->detector.StartProbe(this->now);
    for (int check = 0; check < 10; ++check) {
      this->now += milliseconds(10);
      if (check == 2 && i % 8 != 0) this->detector.OnProbeReply(number, this->now);
      this->detector.Advance(this->now);
      ASSERT_EQ(this->detector.State(this->now), LinkState::kFree);
    }
  }
}

}  // namespace
}  // namespace savory
