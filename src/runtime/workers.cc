#include "runtime/workers.h"

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "runtime/event_loop.h"

namespace savory {

namespace tbb = oneapi::tbb;

struct Workers::Impl {
  EventLoop& loop;
  // Raises the limit of oneTBB, which is otherwise the number of cores: this
  // work mostly blocks.
  tbb::global_control parallelism;
  tbb::task_arena arena;
  std::mutex mutex = {};
  std::condition_variable idle = {};
  int running = 0;

  Impl(EventLoop& loop, int threads)
      : loop(loop),
        parallelism(tbb::global_control::max_allowed_parallelism,
                    static_cast<std::size_t>(threads) + 1),
        arena(threads, 0) {}
};

Workers::Workers(EventLoop& loop, int threads) : impl(std::make_unique<Impl>(loop, threads)) {}

Workers::~Workers() {
  std::unique_lock lock(this->impl->mutex);
  this->impl->idle.wait(lock, [this] { return this->impl->running == 0; });
}

void Workers::Run(std::function<void()> work) {
  {
    const std::scoped_lock lock(this->impl->mutex);
    ++this->impl->running;
  }
  this->impl->arena.enqueue([this, work = std::move(work)] {
    work();
    const std::scoped_lock lock(this->impl->mutex);
    if (--this->impl->running == 0) this->impl->idle.notify_all();
  });
}

void Workers::PostToLoop(std::function<void()> task) { this->impl->loop.Post(std::move(task)); }

}  // namespace savory
