#include "relay/caller_returns.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

class CallerReturnsTest : public testing::Test {
 protected:
  bool IsReturn(Duration time_left) {
    return this->returns.IsReturn("chat", this->timeout, time_left, this->now);
  }
  void Refuse() { this->returns.OnUnserved("chat", this->timeout, this->now); }

  Duration timeout = seconds(6);
  Instant now = Instant(hours(1));
  CallerReturns returns;
};

TEST_F(CallerReturnsTest, RequestWithLessTimeLeftAfterARefusalIsAReturn) {
  EXPECT_FALSE(this->IsReturn(seconds(6)));
  this->Refuse();
  EXPECT_FALSE(this->IsReturn(milliseconds(5100)));  // callers differ
  EXPECT_TRUE(this->IsReturn(milliseconds(4500)));
}

// Guards against first requests that are refused as returns because another caller waits longer.
TEST_F(CallerReturnsTest, CallerThatWaitsPastTheTimeoutMakesNoOtherAReturn) {
  this->Refuse();
  EXPECT_FALSE(this->IsReturn(hours(1)));
  EXPECT_FALSE(this->IsReturn(seconds(7)));
  EXPECT_FALSE(this->IsReturn(seconds(6)));
}

// Guards against callers with little time that are taken for returns for good.
TEST_F(CallerReturnsTest, NothingIsAReturnWhileAllAreServed) {
  EXPECT_FALSE(this->IsReturn(seconds(6)));
  EXPECT_FALSE(this->IsReturn(seconds(3)));
  this->Refuse();
  EXPECT_TRUE(this->IsReturn(seconds(3)));
  EXPECT_FALSE(this->IsReturn(seconds(3)));
}

// Guards against one caller that waits as long as the route allows, once, and makes returns of all
// first requests that come after a refusal.
TEST_F(CallerReturnsTest, CallerThatWaitedLongerOnceIsForgotten) {
  EXPECT_FALSE(this->IsReturn(seconds(6)));
  for (int i = 0; i < 1000; ++i) {
    this->now += milliseconds(100);
    EXPECT_FALSE(this->IsReturn(seconds(4)));
  }
  this->Refuse();
  EXPECT_FALSE(this->IsReturn(seconds(4)));
  EXPECT_TRUE(this->IsReturn(seconds(3)));
}

TEST_F(CallerReturnsTest, RefusalsAreForgotten) {
  EXPECT_FALSE(this->IsReturn(seconds(6)));
  this->Refuse();
  this->now += seconds(7);
  EXPECT_FALSE(this->IsReturn(seconds(3)));
}

TEST_F(CallerReturnsTest, RoutesAreApartAndForgotten) {
  EXPECT_FALSE(this->IsReturn(seconds(6)));
  this->Refuse();
  EXPECT_FALSE(this->returns.IsReturn("feed", this->timeout, seconds(3), this->now));
  this->returns.KeepRoutes({});
  EXPECT_FALSE(this->IsReturn(seconds(3)));
}

}  // namespace
}  // namespace savory
