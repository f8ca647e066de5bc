#include "runtime/workers.h"

#include "runtime/event_loop.h"
#include "runtime/thread_pool.h"

namespace savory {

struct Workers::Impl {
  EventLoop& loop;
  ThreadPool threads;
};

Workers::Workers(EventLoop& loop, int threads)
    : impl(new Impl{.loop = loop, .threads = ThreadPool(threads)}) {}

Workers::~Workers() = default;

void Workers::Run(std::function<void()> work) { this->impl->threads.Run(std::move(work)); }

void Workers::PostToLoop(std::function<void()> task) { this->impl->loop.Post(std::move(task)); }

}  // namespace savory
