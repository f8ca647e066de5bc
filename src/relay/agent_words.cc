#include "relay/agent_words.h"

#include <algorithm>

namespace savory {

Instant AgentWords::Refusal::LastAt() const {
  return std::max(this->reported_at.value_or(Instant()), this->passed_on_at.value_or(Instant()));
}

AgentWords::Refusal* AgentWords::Find(const UpstreamStart& start) {
  const auto known = this->refusals.find(start.id);
  if (known == this->refusals.end()) return nullptr;
  return start.started_unix_ms == known->second.started_unix_ms ? &known->second : nullptr;
}

AgentWords::Refusal* AgentWords::FindOrAdd(const UpstreamStart& start, std::uint64_t held) {
  const auto known = this->refusals.find(start.id);
  if (known != this->refusals.end()) {
    // An older reading of the list names a start that has ended.
    if (start.started_unix_ms < known->second.started_unix_ms) return nullptr;
    if (start.started_unix_ms == known->second.started_unix_ms) {
      known->second.held = std::max(known->second.held, held);
      return &known->second;
    }
    this->refusals.erase(known);
  }
  if (this->refusals.size() >= this->options.max_engines) this->ForgetOldest();
  const Refusal added{.started_unix_ms = start.started_unix_ms, .held = held};
  return &this->refusals.emplace(std::string(start.id), added).first->second;
}

void AgentWords::ForgetOldest() {
  const auto oldest = std::min_element(
      this->refusals.begin(), this->refusals.end(),
      [](const auto& a, const auto& b) { return a.second.LastAt() < b.second.LastAt(); });
  if (oldest != this->refusals.end()) this->refusals.erase(oldest);
}

void AgentWords::AddReport(const UpstreamStart& start, const EngineReport& report,
                           std::uint64_t held, Instant now) {
  if (!report.accepting) {
    if (Refusal* refusal = this->FindOrAdd(start, held)) refusal->reported_at = now;
    return;
  }
  // An agent vouches for nothing at an engine that does not answer it.
  if (!report.reachable || this->Find(start) == nullptr) return;
  this->refusals.erase(this->refusals.find(start.id));
}

void AgentWords::AddPassedOn(const UpstreamStart& start, const EngineAvailability& passed_on,
                             std::uint64_t held, Instant now) {
  if (!passed_on.accepting) {
    if (Refusal* refusal = this->FindOrAdd(start, held)) refusal->passed_on_at = now;
    return;
  }
  Refusal* refusal = this->Find(start);
  if (!passed_on.reachable || refusal == nullptr) return;
  const bool is_later = !refusal->reported_at || passed_on.weights_version > refusal->held ||
                        now - *refusal->reported_at > this->options.passed_on_lag;
  refusal->passed_on_at.reset();
  if (is_later) this->refusals.erase(this->refusals.find(start.id));
}

bool AgentWords::IsRefusing(const UpstreamStart& start, Instant now) const {
  const auto known = this->refusals.find(start.id);
  if (known == this->refusals.end()) return false;
  // An earlier start is an older reading of the list: its id now names the start that is known.
  if (start.started_unix_ms > known->second.started_unix_ms) return false;
  return now - known->second.LastAt() < this->options.refusal_lifetime;
}

}  // namespace savory
