#include "base/time.h"

#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>

namespace {

// How long the machine appears to have been suspended, in seconds.
std::atomic<std::int64_t> suspended_seconds = 0;

}  // namespace

// Replaces the C library's function in this test program. Only the boot-time clock counts suspended
// time.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  if (clock == CLOCK_BOOTTIME) time->tv_sec += suspended_seconds;
  return result;
}

namespace savory {
namespace {

// Guards against a lease or a deadline that seems to be valid after the machine was suspended for
// longer than it lasts.
TEST(MonotonicClockTest, CountsTheTimeOfASuspension) {
  const Instant lease_end = MonotonicClock::now() + std::chrono::seconds(5);
  suspended_seconds = 10;
  EXPECT_GT(MonotonicClock::now(), lease_end);
  suspended_seconds = 0;
}

}  // namespace
}  // namespace savory
