#include "standins/engine_batch.h"

namespace savory::standins {
namespace {

constexpr Duration kAskAgain = std::chrono::milliseconds(100);

}  // namespace

EngineBatch::EngineBatch(BatchOptions options) : options(options) {}

EngineBatch::Entry EngineBatch::Enter(int priority, const std::function<bool()>& given_up) {
  std::unique_lock lock(this->mutex);
  const bool must_wait = this->running >= this->options.max_running || !this->waiting.empty();
  if (must_wait && static_cast<int>(this->waiting.size()) >= this->options.max_queued) {
    return Entry::kFull;
  }
  const auto place = this->waiting.emplace(-priority, ++this->arrivals).first;
  this->NoteLocked();
  bool stopped = false;
  while (this->running >= this->options.max_running || this->waiting.begin() != place) {
    this->changed.wait_for(lock, kAskAgain);
    stopped = given_up();
    if (stopped) break;
  }
  this->waiting.erase(place);
  if (!stopped) ++this->running;
  this->NoteLocked();
  this->changed.notify_all();
  return stopped ? Entry::kGivenUp : Entry::kRunning;
}

void EngineBatch::Leave() {
  const std::lock_guard lock(this->mutex);
  --this->running;
  this->NoteLocked();
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

void EngineBatch::NoteLocked() {
  const Instant now = MonotonicClock::now();
  this->history.push_back({.at = now, .load = this->CurrentLocked()});
  const Instant limit = now - this->options.load_lag;
  while (this->history.size() > 1 && this->history[1].at <= limit) this->history.pop_front();
}

}  // namespace savory::standins
