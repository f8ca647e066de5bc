#include "runtime/workers.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

#include "runtime/event_loop.h"

namespace savory {

struct Workers::Impl {
  EventLoop& loop;
  std::size_t max_threads;
  std::mutex mutex = {};  // guards the fields below
  std::condition_variable work_added = {};
  std::condition_variable idle = {};
  std::deque<std::function<void()>> queue = {};
  std::vector<std::thread> threads = {};
  std::size_t waiting = 0;  // threads without work
  std::size_t running = 0;  // threads with work
  bool stopping = false;

  void Work() {
    std::unique_lock lock(this->mutex);
    while (true) {
      ++this->waiting;
      this->work_added.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
      --this->waiting;
      if (this->queue.empty()) return;
      const std::function<void()> work = std::move(this->queue.front());
      this->queue.pop_front();
      ++this->running;
      lock.unlock();
      work();
      lock.lock();
      --this->running;
      if (this->running == 0 && this->queue.empty()) this->idle.notify_all();
    }
  }
};

Workers::Workers(EventLoop& loop, int threads)
    : impl(new Impl{.loop = loop, .max_threads = static_cast<std::size_t>(threads)}) {}

Workers::~Workers() {
  {
    std::unique_lock lock(this->impl->mutex);
    this->impl->idle.wait(lock,
                          [this] { return this->impl->running == 0 && this->impl->queue.empty(); });
    this->impl->stopping = true;
  }
  this->impl->work_added.notify_all();
  for (std::thread& thread : this->impl->threads) thread.join();
}

void Workers::Run(std::function<void()> work) {
  Impl& self = *this->impl;
  const std::scoped_lock lock(self.mutex);
  self.queue.push_back(std::move(work));
  if (self.queue.size() > self.waiting && self.threads.size() < self.max_threads) {
    self.threads.emplace_back([&self] { self.Work(); });
  }
  self.work_added.notify_one();
}

void Workers::PostToLoop(std::function<void()> task) { this->impl->loop.Post(std::move(task)); }

}  // namespace savory
