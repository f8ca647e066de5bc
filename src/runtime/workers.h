// Worker threads for blocking calls and digests.
#pragma once

#include <functional>
#include <memory>

namespace savory {

class EventLoop;

// Runs blocking work on a ThreadPool and returns the results to the event loop.
class Workers {
 public:
  // `threads`: number of calls that may block at the same time.
  Workers(EventLoop& loop, int threads);
  // Waits for running work.
  ~Workers();

  // Runs `work` on one of the threads. Thread-safe.
  void Run(std::function<void()> work);

  // Runs `work` on one of the threads, then `done(result)` on the loop's
  // thread.
  template <typename Work, typename Done>
  void RunThen(Work work, Done done) {
    this->Run([this, work = std::move(work), done = std::move(done)]() mutable {
      auto result = std::make_shared<decltype(work())>(work());
      this->PostToLoop([done = std::move(done), result] { done(std::move(*result)); });
    });
  }

 private:
  void PostToLoop(std::function<void()> task);

  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
