// Threads that start on demand.
#pragma once

#include <functional>
#include <memory>

namespace savory {

// Runs work on up to `max_threads` threads that wait on a oneTBB queue. A thread is started when
// work arrives while all others are busy, and runs until Join(): hundreds of calls may block at the
// same time, but an idle process has only a few threads. A oneTBB task arena is unsuitable for
// blocking calls: each enqueued call woke every thread of the arena, which cost an agent with 160
// threads a quarter of a core at 10 calls per second.
class ThreadPool {
 public:
  explicit ThreadPool(int max_threads);
  // As Join().
  ~ThreadPool();

  // Runs `work` on one of the threads. Thread-safe; not after Join().
  void Run(std::function<void()> work);
  // Waits until all work is done and ends the threads.
  void Join();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
