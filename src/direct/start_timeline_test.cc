#include "direct/start_timeline.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));

// Guards against a start that is reported as over while most requests fail, and against reports
// that repeat or never come.
TEST(StartTimelineTest, ReportsOnceWhenAQuarterIsServed) {
  StartTimeline timeline(kStart);
  timeline.Mark(StartStep::kRules, kStart + milliseconds(40));
  timeline.Mark(StartStep::kRules, kStart + milliseconds(90));
  for (int i = 0; i < 10; ++i) timeline.OnRequestEnd(false, kStart + milliseconds(100 + i));
  for (int i = 0; i < 3; ++i) timeline.OnRequestEnd(true, kStart + milliseconds(200));
  EXPECT_FALSE(timeline.TakeReport(kStart + milliseconds(300)));
  timeline.OnRequestEnd(true, kStart + milliseconds(400));
  EXPECT_TRUE(timeline.TakeReport(kStart + milliseconds(500)));
  EXPECT_FALSE(timeline.TakeReport(kStart + seconds(60)));
  EXPECT_EQ(timeline.At(StartStep::kRules), milliseconds(40));
  EXPECT_EQ(timeline.At(StartStep::kFirstServed), milliseconds(200));
  EXPECT_EQ(timeline.At(StartStep::kUpstreams), std::nullopt);
  EXPECT_EQ(timeline.ServingAgain(), milliseconds(400));
}

TEST(StartTimelineTest, FailuresBeforeTheWindowDoNotCount) {
  StartTimeline timeline(kStart);
  for (int i = 0; i < 100; ++i) timeline.OnRequestEnd(false, kStart);
  timeline.OnRequestEnd(true, kStart + milliseconds(1001));
  EXPECT_EQ(timeline.ServingAgain(), milliseconds(1001));
  StartTimeline failing(kStart);
  failing.OnRequestEnd(false, kStart);
  EXPECT_FALSE(failing.TakeReport(kStart + milliseconds(14'999)));
  EXPECT_TRUE(failing.TakeReport(kStart + seconds(15)));
  EXPECT_EQ(failing.ServingAgain(), std::nullopt);
}

}  // namespace
}  // namespace savory
