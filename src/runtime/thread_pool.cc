#include "runtime/thread_pool.h"

#include <oneapi/tbb/concurrent_queue.h>

#include <mutex>
#include <thread>
#include <vector>

namespace savory {

struct ThreadPool::Impl {
  std::size_t max_threads;
  // An empty function ends one thread.
  oneapi::tbb::concurrent_bounded_queue<std::function<void()>> queue = {};
  std::mutex mutex = {};  // guards `threads`
  std::vector<std::thread> threads = {};

  void Serve() {
    while (true) {
      std::function<void()> work;
      this->queue.pop(work);
      if (!work) return;
      work();
    }
  }

  void AddThread() {
    const std::scoped_lock lock(this->mutex);
    if (this->threads.size() >= this->max_threads) return;
    this->threads.emplace_back([this] { this->Serve(); });
  }
};

ThreadPool::ThreadPool(int max_threads)
    : impl(new Impl{.max_threads = static_cast<std::size_t>(max_threads)}) {}

ThreadPool::~ThreadPool() { this->Join(); }

void ThreadPool::Run(std::function<void()> work) {
  this->impl->queue.push(std::move(work));
  // The queue size is reduced by the number of waiting threads: above zero, all threads are busy.
  if (this->impl->queue.size() > 0) this->impl->AddThread();
}

void ThreadPool::Join() {
  for (std::size_t i = 0; i < this->impl->threads.size(); ++i) this->impl->queue.push({});
  for (std::thread& thread : this->impl->threads) thread.join();
  this->impl->threads.clear();
}

}  // namespace savory
