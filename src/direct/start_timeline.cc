#include "direct/start_timeline.h"

namespace savory {

std::string_view StartStepName(StartStep step) {
  switch (step) {
    case StartStep::kRules:
      return "rules_ms";
    case StartStep::kUpstreams:
      return "upstreams_ms";
    case StartStep::kEngineReport:
      return "engine_report_ms";
    case StartStep::kReady:
      return "ready_ms";
    case StartStep::kFirstRequest:
      return "first_request_ms";
    case StartStep::kFirstServed:
      return "first_served_ms";
  }
  return "unknown_ms";
}

void StartTimeline::Mark(StartStep step, Instant now) {
  auto& at = this->steps[static_cast<std::size_t>(step)];
  if (!at) at = now - this->started;
}

void StartTimeline::OnRequestEnd(bool served, Instant now) {
  this->Mark(StartStep::kFirstRequest, now);
  if (served) this->Mark(StartStep::kFirstServed, now);
  if (this->reported || this->serving_again) return;
  this->recent.push_back({.at = now, .served = served});
  if (served) ++this->recent_served;
  while (now - this->recent.front().at > this->options.window) {
    if (this->recent.front().served) --this->recent_served;
    this->recent.pop_front();
  }
  const double needed = this->options.served_fraction * static_cast<double>(this->recent.size());
  if (static_cast<double>(this->recent_served) >= needed) this->serving_again = now - this->started;
}

std::optional<Duration> StartTimeline::At(StartStep step) const {
  return this->steps[static_cast<std::size_t>(step)];
}

bool StartTimeline::TakeReport(Instant now) {
  const bool due = this->serving_again || now - this->started >= this->options.give_up;
  if (!due || this->reported) return false;
  this->reported = true;
  this->recent.clear();
  return true;
}

}  // namespace savory
