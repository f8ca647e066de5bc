// The machine is suspended: the boot-time clock, by which timers are due, counts that time, and the
// clock by which the system wakes a process does not.
#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "runtime/event_loop.h"

namespace {

// How long the machine appears to have been suspended, in seconds.
std::atomic<std::int64_t> suspended_seconds = 0;

}  // namespace

// Replaces the C library's function in this test program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  if (clock == CLOCK_BOOTTIME) time->tv_sec += suspended_seconds;
  return result;
}

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kSuspensionSeconds = 4;

// Guards against timers that run long after the machine was suspended, while what arrives is
// handled as if they were not due.
TEST(SuspensionTest, OverdueTimersRunWithTheFirstInputAfterIt) {
  EventLoop loop;
  bool timer_ran = false;
  loop.After(milliseconds(900), [&] { timer_ran = true; });
  bool ran_in_time = false;
  std::thread machine([&] {
    std::this_thread::sleep_for(milliseconds(50));
    suspended_seconds += kSuspensionSeconds;
    loop.Post([] {});
    std::this_thread::sleep_for(milliseconds(300));
    loop.Post([&] {
      ran_in_time = timer_ran;
      loop.Stop();
    });
  });
  loop.Run();
  machine.join();
  EXPECT_TRUE(ran_in_time);
}

}  // namespace
}  // namespace savory
