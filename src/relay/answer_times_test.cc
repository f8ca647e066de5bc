#include "relay/answer_times.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;

// Guards against one slow answer that counts for ever, and against routes without a bound.
TEST(AnswerTimesTest, RemembersTheLongestRecentAnswer) {
  AnswerTimes times({.decay = 0.01, .max_routes = 2});
  EXPECT_EQ(times.Longest("read"), std::nullopt);
  times.Add("read", milliseconds(3000));
  times.Add("read", milliseconds(100));
  EXPECT_NEAR(ToSeconds(*times.Longest("read")), 2.97, 1e-3);
  for (int i = 0; i < 500; ++i) times.Add("read", milliseconds(100));
  EXPECT_NEAR(ToSeconds(*times.Longest("read")), 0.1, 1e-3);
  times.Add("book", milliseconds(50));
  times.Add("chat", milliseconds(50));
  EXPECT_EQ(times.Longest("chat"), std::nullopt);
}

}  // namespace
}  // namespace savory
