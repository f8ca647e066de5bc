#include "runtime/restartable_timer.h"

#include <optional>
#include <utility>

#include "runtime/event_loop.h"
#include "runtime/guarded.h"

namespace savory {

struct RestartableTimer::Impl : GuardedCallbacks<RestartableTimer::Impl> {
  EventLoop& loop;
  std::function<void()> callback;
  std::optional<Instant> due = {};
  EventLoop::TimerId timer = 0;
  Instant timer_due = {};

  Impl(EventLoop& loop, std::function<void()> callback)
      : loop(loop), callback(std::move(callback)) {}

  void Schedule() {
    if (this->timer != 0 && this->timer_due <= *this->due) return;
    if (this->timer != 0) this->loop.Cancel(this->timer);
    this->timer_due = *this->due;
    this->timer =
        this->loop.After(*this->due - this->loop.Now(), this->Guarded([this] { this->OnTimer(); }));
  }

  void OnTimer() {
    this->timer = 0;
    if (!this->due) return;
    if (this->loop.Now() < *this->due) return this->Schedule();
    this->due.reset();
    this->callback();
  }
};

RestartableTimer::RestartableTimer(EventLoop& loop, std::function<void()> callback)
    : impl(std::make_shared<Impl>(loop, std::move(callback))) {}

RestartableTimer::~RestartableTimer() {
  if (this->impl->timer != 0) this->impl->loop.Cancel(this->impl->timer);
}

void RestartableTimer::Set(Duration delay) {
  this->impl->due = this->impl->loop.Now() + delay;
  this->impl->Schedule();
}

void RestartableTimer::Clear() { this->impl->due.reset(); }

}  // namespace savory
