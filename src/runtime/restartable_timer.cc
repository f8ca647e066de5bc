#include "runtime/restartable_timer.h"

#include <optional>
#include <utility>

#include "runtime/event_loop.h"
#include "runtime/guarded.h"

namespace savory {
namespace {

// A timer that fires this late shows that the process or its machine stood still.
constexpr Duration kStandStill = std::chrono::milliseconds(500);
// What arrived meanwhile is read within this time.
constexpr Duration kReadFirst = std::chrono::milliseconds(20);

}  // namespace

struct RestartableTimer::Impl : GuardedCallbacks<RestartableTimer::Impl> {
  EventLoop& loop;
  std::function<void()> callback;
  std::optional<Instant> due = {};
  EventLoop::TimerId timer = 0;
  Instant timer_due = {};
  bool has_read_first = false;  // since it was set

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
    const Instant now = this->loop.Now();
    if (now - *this->due > kStandStill && !std::exchange(this->has_read_first, true)) {
      this->due = now + kReadFirst;
    }
    if (now < *this->due) return this->Schedule();
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
  this->impl->has_read_first = false;
  this->impl->Schedule();
}

void RestartableTimer::Clear() { this->impl->due.reset(); }

}  // namespace savory
