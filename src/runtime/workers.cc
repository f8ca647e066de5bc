#include "runtime/workers.h"

#include <oneapi/tbb/concurrent_queue.h>

#include <thread>
#include <vector>

#include "runtime/event_loop.h"

namespace savory {

struct Workers::Impl {
  EventLoop& loop;
  // An empty function ends one thread.
  oneapi::tbb::concurrent_bounded_queue<std::function<void()>> queue = {};
  std::vector<std::thread> threads = {};

  void Serve() {
    while (true) {
      std::function<void()> work;
      this->queue.pop(work);
      if (!work) return;
      work();
    }
  }
};

Workers::Workers(EventLoop& loop, int threads) : impl(std::make_unique<Impl>(Impl{.loop = loop})) {
  for (int i = 0; i < threads; ++i) {
    this->impl->threads.emplace_back([this] { this->impl->Serve(); });
  }
}

Workers::~Workers() {
  for (std::size_t i = 0; i < this->impl->threads.size(); ++i) this->impl->queue.push({});
  for (std::thread& thread : this->impl->threads) thread.join();
}

void Workers::Run(std::function<void()> work) { this->impl->queue.push(std::move(work)); }

void Workers::PostToLoop(std::function<void()> task) { this->impl->loop.Post(std::move(task)); }

}  // namespace savory
