#include "standins/engine_batch.h"

namespace savory::standins {
namespace {

constexpr Duration kCancelPollInterval = std::chrono::milliseconds(100);

}  // namespace

EngineBatch::EngineBatch(BatchOptions options) : options(options) {}

EngineBatch::Admission EngineBatch::Acquire(int priority,
                                            const std::function<bool()>& is_cancelled) {
  std::unique_lock lock(this->mutex);
  const bool must_wait = this->running >= this->options.max_running || !this->waiting.empty();
  if (must_wait && static_cast<int>(this->waiting.size()) >= this->options.max_queued) {
    return Admission::kQueueFull;
  }
  const auto position = this->waiting.emplace(-priority, ++this->arrivals).first;
  this->RecordLocked();
  bool cancelled = false;
  while (this->running >= this->options.max_running || this->waiting.begin() != position) {
    this->changed.wait_for(lock, kCancelPollInterval);
    cancelled = is_cancelled();
    if (cancelled) break;
  }
  this->waiting.erase(position);
  if (!cancelled) ++this->running;
  this->RecordLocked();
  this->changed.notify_all();
  return cancelled ? Admission::kCancelled : Admission::kRunning;
}

void EngineBatch::Release() {
  const std::lock_guard lock(this->mutex);
  --this->running;
  this->RecordLocked();
  this->changed.notify_all();
}

void EngineBatch::Wake() { this->changed.notify_all(); }

BatchLoad EngineBatch::Current() const {
  const std::lock_guard lock(this->mutex);
  return this->CurrentLocked();
}

BatchLoad EngineBatch::Reported() {
  const std::lock_guard lock(this->mutex);
  const Instant limit = MonotonicClock::now() - this->options.load_lag;
  while (this->history.size() > 1 && this->history[1].at <= limit) this->history.pop_front();
  if (this->history.empty() || this->history.front().at > limit) return {};
  return this->history.front().load;
}

BatchLoad EngineBatch::CurrentLocked() const {
  return {.running = this->running, .queued = static_cast<int>(this->waiting.size())};
}

void EngineBatch::RecordLocked() {
  const Instant now = MonotonicClock::now();
  this->history.push_back({.at = now, .load = this->CurrentLocked()});
  const Instant limit = now - this->options.load_lag;
  while (this->history.size() > 1 && this->history[1].at <= limit) this->history.pop_front();
}

}  // namespace savory::standins
