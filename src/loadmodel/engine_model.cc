#include "loadmodel/engine_model.h"

#include <algorithm>
#include <utility>

#include "relay/engine_forecast.h"

namespace savory {

bool EngineModel::Enqueue(const EngineJob& job, Instant now) {
  if (this->offline || this->queue.size() >= this->queue_limit) return false;
  this->queue.push_back(job);
  if (!this->pass_end) this->BeginPass(now);
  return true;
}

void EngineModel::BeginPass(Instant now) {
  const bool was_decoding = !this->running.empty();
  Duration length = {};
  while (!this->loading && !this->queue.empty() && this->running.size() < this->rates.slots) {
    const EngineJob job = this->queue.front();
    this->queue.pop_front();
    this->running.push_back({.job = job, .remaining_events = job.events});
    length += PrefillTime(this->rates, job.prompt_tokens);
  }
  if (this->running.empty()) {
    this->pass_end.reset();
    return;
  }
  const Duration event = EventTime(this->rates, static_cast<double>(this->running.size()));
  // If no request was decoding, the first token is produced after one decode step.
  length += was_decoding ? event : event / this->rates.steps_per_event;
  this->pass_end = now + FromSeconds(ToSeconds(length) * this->pace);
}

std::vector<JobProgress> EngineModel::EndPass() {
  std::vector<JobProgress> progress;
  const Instant now = *this->pass_end;
  for (Running& row : this->running) {
    const bool first = !std::exchange(row.prefilled, true);
    if (row.remaining_events > 0) --row.remaining_events;
    progress.push_back(
        {.id = row.job.id, .is_first_event = first, .is_done = row.remaining_events == 0});
  }
  std::erase_if(this->running, [](const Running& row) { return row.remaining_events == 0; });
  this->BeginPass(now);
  return progress;
}

void EngineModel::EndLoad(Instant now) {
  this->loading = false;
  if (!this->pass_end && !this->offline) this->BeginPass(now);
}

void EngineModel::SetOffline(bool value) {
  this->offline = value;
  if (!value) return;
  this->queue.clear();
  this->running.clear();
  this->pass_end.reset();
}

UpstreamLoad EngineModel::Load() const {
  return {.running = static_cast<std::uint32_t>(this->running.size()),
          .waiting = static_cast<std::uint32_t>(this->queue.size()),
          .slots = this->rates.slots};
}

}  // namespace savory
