// The machine is suspended: the boot-time clock, by which timers are due, counts that time, and the
// clock by which the system wakes a process does not.
#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <thread>

#include "runtime/event_loop.h"
#include "runtime/tcp_connection.h"
#include "runtime/tcp_listener.h"

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

struct Recorder : TcpHandler {
  EventLoop* loop = nullptr;
  bool connected = false;
  std::optional<TcpEnd> end = {};

  void OnConnected() override {
    this->connected = true;
    this->loop->Stop();
  }
  void OnBytes(std::span<const std::byte>) override {}
  void OnEnd(TcpEnd how) override {
    this->end = how;
    this->loop->Stop();
  }
};

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

// Guards against a connection that is established long after its time, whose caller then sends what
// nobody waits for any more.
TEST(SuspensionTest, ConnectionThatIsEstablishedTooLateIsUnreachable) {
  const std::string address = "127.0.0.1:26937";
  EventLoop loop;
  TcpListener listener(loop);
  ASSERT_TRUE(listener.Listen(address, [](uv_stream_s*) {}));
  Recorder recorder;
  recorder.loop = &loop;
  std::unique_ptr<TcpConnection> connection;
  // Both the posted task and the new connection are ready in the same turn of the loop.
  loop.After(Duration(0), [&] {
    connection = std::make_unique<TcpConnection>(loop, address, recorder, TcpOptions{});
    loop.Post([] { suspended_seconds += kSuspensionSeconds; });
  });
  loop.Run();
  EXPECT_FALSE(recorder.connected);
  EXPECT_EQ(recorder.end, TcpEnd::kUnreachable);
}

}  // namespace
}  // namespace savory
