// A timer whose due time is moved often.
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"

namespace savory {

class EventLoop;

// Moving the due time later costs no timer of the event loop: when the one that is set fires too
// early, it is set again for the rest. One that fires long after its due time, as the process or
// its machine stood still, waits until what has arrived meanwhile is read: that may set or clear
// it.
class RestartableTimer {
 public:
  // `loop` must outlive the timer. `callback` is not called after the timer was destroyed.
  RestartableTimer(EventLoop& loop, std::function<void()> callback);
  ~RestartableTimer();

  // Calls the callback once after `delay`, unless the timer is set or cleared before.
  void Set(Duration delay);
  void Clear();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
