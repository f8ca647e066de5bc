#include "runtime/restartable_timer.h"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

#include "runtime/event_loop.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

class RestartableTimerTest : public ::testing::Test {
 protected:
  void RunFor(Duration length) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  EventLoop loop;
  int fired = 0;
};

// Guards against a timer that fires at an earlier due time, or again for each move.
TEST_F(RestartableTimerTest, FiresOnceAtTheLastDueTime) {
  RestartableTimer timer(this->loop, [this] { ++this->fired; });
  timer.Set(milliseconds(30));
  for (int i = 1; i <= 5; ++i) {
    this->loop.After(milliseconds(20) * i, [&timer] { timer.Set(milliseconds(30)); });
  }
  this->RunFor(milliseconds(105));
  EXPECT_EQ(this->fired, 0);
  this->RunFor(milliseconds(100));
  EXPECT_EQ(this->fired, 1);
}

// The process stands still until long after the due time; what restarts the timer has arrived by
// then and waits to be read. Guards against taking this process's own silence for that of another.
TEST_F(RestartableTimerTest, InputOfAStandStillIsReadBeforeItFires) {
  const auto stand_still = [] { std::this_thread::sleep_for(milliseconds(600)); };
  RestartableTimer restarted(this->loop, [this] { ++this->fired; });
  restarted.Set(milliseconds(30));
  this->loop.After(Duration(0), [&] {
    this->loop.Post([&restarted] { restarted.Set(std::chrono::seconds(10)); });
    stand_still();
  });
  this->RunFor(milliseconds(700));
  EXPECT_EQ(this->fired, 0);
  restarted.Set(milliseconds(30));
  this->loop.After(Duration(0), stand_still);
  this->RunFor(milliseconds(700));
  EXPECT_EQ(this->fired, 1);
}

// Guards against a due time that can only be moved later.
TEST_F(RestartableTimerTest, DueTimeMovesEarlier) {
  RestartableTimer timer(this->loop, [this] { ++this->fired; });
  timer.Set(std::chrono::seconds(10));
  timer.Set(milliseconds(10));
  this->RunFor(milliseconds(80));
  EXPECT_EQ(this->fired, 1);
}

// Guards against a call after the timer was cleared or destroyed.
TEST_F(RestartableTimerTest, ClearedAndDestroyedTimersDoNotFire) {
  std::optional<RestartableTimer> destroyed;
  destroyed.emplace(this->loop, [this] { ++this->fired; });
  RestartableTimer cleared(this->loop, [this] { ++this->fired; });
  destroyed->Set(milliseconds(10));
  cleared.Set(milliseconds(10));
  destroyed.reset();
  cleared.Clear();
  this->RunFor(milliseconds(60));
  EXPECT_EQ(this->fired, 0);
}

// The owner destroys the timer in its callback, as a request that ends does.
TEST_F(RestartableTimerTest, MayBeDestroyedInItsCallback) {
  std::optional<RestartableTimer> timer;
  timer.emplace(this->loop, [&] {
    ++this->fired;
    timer.reset();
  });
  timer->Set(milliseconds(10));
  this->RunFor(milliseconds(60));
  EXPECT_EQ(this->fired, 1);
}

}  // namespace
}  // namespace savory
