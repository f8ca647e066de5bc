#include "relay/shortage.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ShortageTest : public testing::Test {
 protected:
  // Of 20 requests, the first `refused` are refused.
  void Ask(int refused) {
    for (int i = 0; i < 20; ++i) {
      this->now += milliseconds(10);
      this->shortage.OnAsked(this->now);
      if (i < refused) this->shortage.OnRefused(this->now);
    }
  }

  Instant now = Instant(std::chrono::hours(1));
  Shortage shortage;
};

TEST_F(ShortageTest, LastsWhileMoreThanATenthIsRefused) {
  EXPECT_FALSE(this->shortage.Lasts());
  this->Ask(1);
  EXPECT_FALSE(this->shortage.Lasts());
  this->Ask(10);
  EXPECT_TRUE(this->shortage.Lasts());
  this->now += seconds(5);
  this->Ask(0);
  EXPECT_FALSE(this->shortage.Lasts());
}

}  // namespace
}  // namespace savory
