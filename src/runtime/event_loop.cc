#include "runtime/event_loop.h"

#include <oneapi/tbb/concurrent_queue.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <vector>

namespace savory {
namespace {

// Longest wait of one round, so that a lost wake-up cannot stall the loop for
// good.
constexpr std::int64_t kMaxWaitMs = 1000;

struct Watched {
  void* socket;
  EventLoop::Task on_readable;
};

}  // namespace

struct EventLoop::Impl {
  int wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  oneapi::tbb::concurrent_queue<Task> posted;
  std::multimap<Instant, std::pair<TimerId, Task>> timers;
  std::map<TimerId, Instant> timer_due;
  std::vector<Watched> watched;
  std::atomic<bool> stopping = false;
  Instant now = MonotonicClock::now();
  TimerId next_timer = 1;

  TimerId Add(Instant due, Task task) {
    const TimerId id = this->next_timer++;
    this->timers.emplace(due, std::pair(id, std::move(task)));
    this->timer_due.emplace(id, due);
    return id;
  }

  std::int64_t WaitMs() const {
    if (this->timers.empty()) return kMaxWaitMs;
    const Duration wait = this->timers.begin()->first - MonotonicClock::now();
    // Rounded up: waking early would spin until the timer is due.
    return std::clamp<std::int64_t>((wait.count() + 999) / 1000, 0, kMaxWaitMs);
  }

  void RunPosted() {
    std::uint64_t wakeups = 0;
    [[maybe_unused]] const auto read_bytes = read(this->wake_fd, &wakeups, sizeof(wakeups));
    Task task;
    while (this->posted.try_pop(task)) task();
  }

  void RunTimers() {
    while (!this->timers.empty() && this->timers.begin()->first <= this->now) {
      auto node = this->timers.extract(this->timers.begin());
      this->timer_due.erase(node.mapped().first);
      node.mapped().second();
    }
  }

  void RunRound() {
    std::vector<zmq_pollitem_t> items = {{nullptr, this->wake_fd, ZMQ_POLLIN, 0}};
    for (const Watched& entry : this->watched) items.push_back({entry.socket, 0, ZMQ_POLLIN, 0});
    zmq_poll(items.data(), static_cast<int>(items.size()), this->WaitMs());
    this->now = MonotonicClock::now();
    this->RunPosted();
    for (std::size_t i = 1; i < items.size(); ++i) {
      if ((items[i].revents & ZMQ_POLLIN) != 0) this->watched[i - 1].on_readable();
    }
    this->now = MonotonicClock::now();
    this->RunTimers();
  }
};

EventLoop::EventLoop() : impl(std::make_unique<Impl>()) {}

EventLoop::~EventLoop() { close(this->impl->wake_fd); }

Instant EventLoop::Now() const { return this->impl->now; }

void EventLoop::Post(Task task) {
  this->impl->posted.push(std::move(task));
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = write(this->impl->wake_fd, &one, sizeof(one));
}

EventLoop::TimerId EventLoop::After(Duration delay, Task task) {
  return this->impl->Add(MonotonicClock::now() + delay, std::move(task));
}

void EventLoop::Every(Duration period, Task task) {
  this->After(period, [this, period, task = std::move(task)]() mutable {
    task();
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
  this->impl->watched.push_back({socket, std::move(on_readable)});
}

void EventLoop::Run() {
  while (!this->impl->stopping.load()) this->impl->RunRound();
}

void EventLoop::Stop() {
  this->Post([this] { this->impl->stopping.store(true); });
}

}  // namespace savory
