#include "runtime/event_loop.h"

#include <gtest/gtest.h>

#include <csignal>
#include <memory>
#include <span>
#include <stdexcept>
#include <thread>
#include <vector>

#include "base/daemon_signals.h"
#include "runtime/tcp_connection.h"
#include "runtime/uncaught.h"

namespace savory {
namespace {

// Guards against timers that run out of order or after being cancelled.
TEST(EventLoopTest, TimersRunInOrderOfDueTime) {
  EventLoop loop;
  std::vector<int> order;
  loop.After(std::chrono::milliseconds(2), [&] { order.push_back(2); });
  const auto cancelled = loop.After(std::chrono::milliseconds(1), [&] { order.push_back(9); });
  loop.After(Duration(0), [&] { order.push_back(1); });
  loop.After(std::chrono::milliseconds(3), [&] { loop.Stop(); });
  loop.Cancel(cancelled);
  loop.Run();
  EXPECT_EQ(order, (std::vector{1, 2}));
}

// Guards against a closure that is posted from another thread being lost.
TEST(EventLoopTest, PostedClosuresAllRun) {
  EventLoop loop;
  int runs = 0;
  std::thread poster([&] {
    for (int i = 0; i < 1000; ++i) loop.Post([&runs] { ++runs; });
    loop.Stop();
  });
  loop.Run();
  poster.join();
  EXPECT_EQ(runs, 1000);
}

// Guards against an exception of one callback that ends the process with all its requests.
TEST(EventLoopTest, ExceptionsOfCallbacksDoNotEndTheLoop) {
  EventLoop loop;
  const std::uint64_t before = UncaughtExceptions();
  int runs = 0;
  loop.Post([] { throw std::runtime_error("posted"); });
  loop.After(Duration(0), [] { throw std::runtime_error("timer"); });
  loop.Every(std::chrono::milliseconds(1), [&] {
    if (++runs == 3) loop.Stop();
    throw std::runtime_error("periodic");
  });
  loop.Run();
  EXPECT_EQ(runs, 3);
  EXPECT_EQ(UncaughtExceptions(), before + 5);
}

// Guards against a signal during the start that ends the process instead of being handled.
TEST(EventLoopTest, SignalDuringTheStartIsHandledLater) {
  BlockDaemonSignals();
  std::raise(SIGTERM);
  EventLoop loop;
  int signals = 0;
  loop.OnSignal(SIGTERM, [&] {
    ++signals;
    loop.Stop();
  });
  loop.Run();
  EXPECT_EQ(signals, 1);
  UnblockSignal(SIGHUP);
}

// Guards against a process that aborts at its end, as a task that never ran owns a connection.
TEST(EventLoopTest, ConnectionsOfTasksThatNeverRanAreClosed) {
  class : public TcpHandler {
    void OnBytes(std::span<const std::byte>) override {}
    void OnEnd(TcpEnd) override {}
  } handler;
  auto loop = std::make_unique<EventLoop>();
  const auto connect = [&] {
    return std::make_shared<TcpConnection>(*loop, "127.0.0.1:1", handler, TcpOptions{});
  };
  loop->After(std::chrono::hours(1), [connection = connect()] {});
  loop->Post([connection = connect()] {});
  loop.reset();
}

}  // namespace
}  // namespace savory
