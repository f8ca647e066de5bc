// Event loop of a daemon. All decision logic runs on its thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"

struct uv_loop_s;

namespace savory {

// Runs timers, posted closures and socket handlers on the thread that calls Run(). Built on libuv.
// Only Post() and Stop() may be called from other threads.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  EventLoop();
  ~EventLoop();

  Instant Now() const { return MonotonicClock::now(); }

  // Runs `task` on the loop's thread. Thread-safe.
  void Post(Task task);
  // Runs `task` once after `delay`.
  TimerId After(Duration delay, Task task);
  // Runs `task` every `period`, first after `period`, until the loop is destroyed.
  void Every(Duration period, Task task);
  void Cancel(TimerId timer);

  // Calls `on_readable`, which must read from the ZeroMQ socket `socket` (a void* handle), for as
  // long as the socket has input. The socket may be used on the loop's thread only.
  void Watch(void* socket, Task on_readable);
  // Calls `task` when the process receives `signal_number`.
  void OnSignal(int signal_number, Task task);

  // Runs until Stop(). May be called again afterwards.
  void Run();
  // Thread-safe.
  void Stop();

  // How often the loop has waited for events since it started.
  std::uint64_t Wakeups() const;

  // The libuv loop, for the sockets of this folder.
  uv_loop_s* Native();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
