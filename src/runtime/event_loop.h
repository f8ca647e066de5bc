// The one thread of a daemon that owns all decision logic.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "base/time.h"

namespace savory {

// Runs timers, posted closures and socket handlers on the thread that calls
// Run(). Only Post() and Stop() may be called from other threads.
class EventLoop {
 public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;

  EventLoop();
  ~EventLoop();

  // Current time, read once per round of the loop.
  Instant Now() const;

  // Runs `task` on the loop's thread. Thread-safe.
  void Post(Task task);
  // Runs `task` once after `delay`.
  TimerId After(Duration delay, Task task);
  // Runs `task` every `period`, first after `period`, until the loop ends.
  void Every(Duration period, Task task);
  void Cancel(TimerId timer);

  // Calls `on_readable` when the ZeroMQ socket `socket` (a void* handle) has
  // input.
  void Watch(void* socket, Task on_readable);

  // Runs until Stop().
  void Run();
  // Thread-safe.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
