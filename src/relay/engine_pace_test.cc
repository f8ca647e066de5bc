#include "relay/engine_pace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(100));

TEST(EnginePaceTest, WithoutAnswersTheReportCounts) {
  EnginePace pace;
  EXPECT_DOUBLE_EQ(pace.At(kStart), 1);
  pace.OnReported(1.8);
  EXPECT_DOUBLE_EQ(pace.At(kStart + seconds(9)), 1.8);
}

// A noisy neighbour flips the pace ten times a second. Guards against an estimate that follows it,
// so that all entries leave and return to the engine together.
TEST(EnginePaceTest, NoisyNeighbourIsAveraged) {
  EnginePace pace;
  double least = 9;
  double most = 0;
  for (int ms = 0; ms < 4000; ms += 10) {
    pace.OnAnswered(ms / 100 % 2 == 0 ? 2.5 : 1, kStart + milliseconds(ms));
    if (ms < 1500) continue;
    least = std::min(least, pace.At(kStart + milliseconds(ms)));
    most = std::max(most, pace.At(kStart + milliseconds(ms)));
  }
  EXPECT_GT(least, 1.4);
  EXPECT_LT(most, 2.1);
}

// Many answers in the same moment carry the same figure. Guards against a mean by count, not time.
TEST(EnginePaceTest, AnswersOfOneMomentCountOnce) {
  EnginePace pace;
  for (int ms = 0; ms <= 1000; ms += 20) pace.OnAnswered(1, kStart + milliseconds(ms));
  for (int i = 0; i < 100; ++i) pace.OnAnswered(4, kStart + milliseconds(1001));
  EXPECT_LT(pace.At(kStart + milliseconds(1001)), 1.1);
}

// One machine is slow for seconds. Guards against requests that go there until its agent's report,
// and against a return at the first good figure.
TEST(EnginePaceTest, SlowMachineIsNoticedAtOnceAndRecoversSlowly) {
  EnginePace pace;
  for (int ms = 0; ms <= 1000; ms += 20) pace.OnAnswered(1, kStart + milliseconds(ms));
  const Instant slow = kStart + seconds(1);
  for (int ms = 20; ms <= 200; ms += 20) pace.OnAnswered(4, slow + milliseconds(ms));
  EXPECT_GE(pace.At(slow + milliseconds(200)), 4);
  for (int ms = 220; ms <= 3000; ms += 20) pace.OnAnswered(4, slow + milliseconds(ms));
  const Instant fast = slow + seconds(3);
  for (int ms = 20; ms <= 200; ms += 20) pace.OnAnswered(1, fast + milliseconds(ms));
  EXPECT_GT(pace.At(fast + milliseconds(200)), 2);
  for (int ms = 220; ms <= 1500; ms += 20) pace.OnAnswered(1, fast + milliseconds(ms));
  EXPECT_LT(pace.At(fast + milliseconds(1500)), 1.1);
}

// An engine that is avoided sends no answers. Guards against an old figure that bars it for good.
TEST(EnginePaceTest, OldFiguresGiveWayToTheReport) {
  EnginePace pace;
  for (int ms = 0; ms <= 1000; ms += 20) pace.OnAnswered(4, kStart + milliseconds(ms));
  pace.OnReported(1);
  EXPECT_GT(pace.At(kStart + milliseconds(1000)), 3.5);
  EXPECT_LT(pace.At(kStart + milliseconds(3500)), 1.1);
}

// An agent passes on what its engine says. Guards against one implausible figure that bars the
// engine long after it was taken back.
TEST(EnginePaceTest, ImplausibleReportIsForgotten) {
  for (const double implausible :
       {1e30, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
    EnginePace pace;
    pace.OnReported(implausible);
    pace.OnAnswered(1, kStart);
    pace.OnReported(2);
    EXPECT_LT(pace.At(kStart + seconds(5)), 2.1) << implausible;
    EXPECT_GT(pace.At(kStart + seconds(5)), 1.9) << implausible;
    for (int ms = 0; ms <= 2000; ms += 20) pace.OnAnswered(4, kStart + milliseconds(5000 + ms));
    EXPECT_GT(pace.At(kStart + seconds(7)), 3.5) << implausible;
  }
}

}  // namespace
}  // namespace savory
