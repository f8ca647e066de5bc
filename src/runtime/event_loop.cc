#include "runtime/event_loop.h"

#include <oneapi/tbb/concurrent_queue.h>
#include <uv.h>
#include <zmq.h>

#include <algorithm>
#include <cassert>
#include <csignal>
#include <map>
#include <vector>

#include "base/daemon_signals.h"
#include "runtime/uncaught.h"

namespace savory {
namespace {

// Bound on one wait, so that a lost wake-up cannot stall the loop indefinitely.
constexpr Duration kMaxWait = std::chrono::seconds(1);

struct Watched {
  uv_poll_t poll = {};
  void* socket = nullptr;
  EventLoop::Task on_readable;
};

struct SignalHandler {
  uv_signal_t signal = {};
  EventLoop::Task task;
};

bool HasInput(void* socket) {
  int events = 0;
  std::size_t size = sizeof(events);
  return zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) == 0 && (events & ZMQ_POLLIN) != 0;
}

// The descriptor of a ZeroMQ socket is edge-triggered: it signals a change of state, not pending
// input. The socket is therefore read until it has no input left.
void ReadAll(const Watched& watched) {
  while (HasInput(watched.socket)) RunGuarded("socket", watched.on_readable);
}

}  // namespace

struct EventLoop::Impl {
  uv_loop_t loop = {};
  uv_async_t wake = {};
  uv_timer_t timer = {};
  oneapi::tbb::concurrent_queue<Task> posted = {};
  std::multimap<Instant, std::pair<TimerId, Task>> timers = {};
  std::map<TimerId, Instant> timer_due = {};
  std::vector<std::unique_ptr<Watched>> watched = {};
  std::vector<std::unique_ptr<SignalHandler>> signals = {};
  bool stopping = false;
  TimerId next_timer = 1;
  Instant watched_checked_at = {};
  std::uint64_t wakeups = 0;

  Impl() {
    // Writing to a connection that the peer has closed returns an error instead of a signal.
    std::signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&this->loop);
    uv_async_init(&this->loop, &this->wake,
                  [](uv_async_t* handle) { static_cast<Impl*>(handle->data)->RunPosted(); });
    uv_timer_init(&this->loop, &this->timer);
    this->wake.data = this;
    this->timer.data = this;
  }

  ~Impl() {
    uv_walk(
        &this->loop,
        [](uv_handle_t* handle, void*) {
          if (uv_is_closing(handle) == 0) uv_close(handle, nullptr);
        },
        nullptr);
    uv_run(&this->loop, UV_RUN_DEFAULT);
    uv_loop_close(&this->loop);
  }

  // Tasks may own connections, whose handles must be closed before the loop ends.
  void DropTasks() {
    while (!this->timers.empty()) {
      const auto dropped = this->timers.extract(this->timers.begin());
      this->timer_due.erase(dropped.mapped().first);
    }
    Task task;
    while (this->posted.try_pop(task)) task = nullptr;
  }

  TimerId Add(Instant due, Task task) {
    const TimerId id = this->next_timer++;
    const bool earliest = this->timers.empty() || due < this->timers.begin()->first;
    this->timers.emplace(due, std::pair(id, std::move(task)));
    this->timer_due.emplace(id, due);
    if (earliest) this->Arm();
    return id;
  }

  void Arm() {
    Duration wait = kMaxWait;
    if (!this->timers.empty()) {
      wait = std::clamp(this->timers.begin()->first - MonotonicClock::now(), Duration(0), kMaxWait);
    }
    uv_update_time(&this->loop);
    // Rounded up: waking early would spin until the timer is due.
    const auto wait_ms = static_cast<std::uint64_t>((wait.count() + 999) / 1000);
    uv_timer_start(
        &this->timer, [](uv_timer_t* handle) { static_cast<Impl*>(handle->data)->RunTimers(); },
        wait_ms, 0);
  }

  void RunPosted() {
    Task task;
    while (this->posted.try_pop(task)) RunGuarded("posted", task);
  }

  void RunTimers() {
    const Instant now = MonotonicClock::now();
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
      auto node = this->timers.extract(this->timers.begin());
      this->timer_due.erase(node.mapped().first);
      RunGuarded("timer", node.mapped().second);
    }
    this->CheckWatched(now);
    this->Arm();
  }

  // The system's timer does not count a suspension of the machine, which makes timers overdue.
  void RunOverdueTimers() {
    if (this->timers.empty() || this->timers.begin()->first > MonotonicClock::now()) return;
    this->RunTimers();
  }

  // Reads sockets whose wake-up was lost. Asking a socket costs two system calls, so this is not
  // done with every timer.
  void CheckWatched(Instant now) {
    if (now - this->watched_checked_at < kMaxWait) return;
    this->watched_checked_at = now;
    for (const auto& entry : this->watched) ReadAll(*entry);
  }
};

EventLoop::EventLoop() : impl(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() { this->impl->DropTasks(); }

void EventLoop::Post(Task task) {
  this->impl->posted.push(std::move(task));
  uv_async_send(&this->impl->wake);
}

EventLoop::TimerId EventLoop::After(Duration delay, Task task) {
  return this->impl->Add(MonotonicClock::now() + delay, std::move(task));
}

void EventLoop::Every(Duration period, Task task) {
  this->After(period, [this, period, task = std::move(task)]() mutable {
    RunGuarded("timer", task);
    this->Every(period, std::move(task));
  });
}

void EventLoop::Cancel(TimerId timer) {
  const auto due = this->impl->timer_due.find(timer);
  if (due == this->impl->timer_due.end()) return;
  const auto [begin, end] = this->impl->timers.equal_range(due->second);
  const auto entry =
      std::find_if(begin, end, [timer](const auto& row) { return row.second.first == timer; });
  if (entry != end) this->impl->timers.erase(entry);
  this->impl->timer_due.erase(due);
}

void EventLoop::Watch(void* socket, Task on_readable) {
  int descriptor = -1;
  std::size_t size = sizeof(descriptor);
  [[maybe_unused]] const int found = zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size);
  assert(found == 0);
  auto& entry = *this->impl->watched.emplace_back(std::make_unique<Watched>());
  entry.socket = socket;
  entry.on_readable = std::move(on_readable);
  entry.poll.data = &entry;
  uv_poll_init(&this->impl->loop, &entry.poll, descriptor);
  uv_poll_start(&entry.poll, UV_READABLE,
                [](uv_poll_t* handle, int, int) { ReadAll(*static_cast<Watched*>(handle->data)); });
  this->After(Duration(0), [&entry] { ReadAll(entry); });
}

void EventLoop::OnSignal(int signal_number, Task task) {
  auto& entry = *this->impl->signals.emplace_back(std::make_unique<SignalHandler>());
  entry.task = std::move(task);
  entry.signal.data = &entry;
  uv_signal_init(&this->impl->loop, &entry.signal);
  uv_signal_start(
      &entry.signal,
      [](uv_signal_t* handle, int) {
        RunGuarded("signal", static_cast<SignalHandler*>(handle->data)->task);
      },
      signal_number);
  UnblockSignal(signal_number);
}

void EventLoop::Run() {
  this->impl->Arm();
  while (!this->impl->stopping) {
    uv_run(&this->impl->loop, UV_RUN_ONCE);
    ++this->impl->wakeups;
    this->impl->RunOverdueTimers();
  }
  this->impl->stopping = false;
}

void EventLoop::Stop() {
  this->Post([this] { this->impl->stopping = true; });
}

std::uint64_t EventLoop::Wakeups() const { return this->impl->wakeups; }

uv_loop_s* EventLoop::Native() { return &this->impl->loop; }

}  // namespace savory
