#include "gate/upstream_gate.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace savory {
namespace {

// Weight of the newest call in the moving average of the service time.
constexpr double kServiceTimeSmoothing = 0.1;

}  // namespace

UpstreamGate::UpstreamGate(UpstreamGateOptions options)
    : options(options), ready(!options.engine) {}

std::vector<GateAction> UpstreamGate::Handle(const GateEvent& event, Instant now) {
  this->now = now;
  this->actions.clear();
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  this->Dispatch();
  this->FinishDrain();
  return std::exchange(this->actions, {});
}

void UpstreamGate::On(const StartReceived& event) {
  const auto found = this->records.find(event.id);
  if (found != this->records.end()) {
    const Record& record = found->second;
    if (record.state == State::kBarred) {
      this->actions.push_back(SendEnd{.id = event.id,
                                      .reply_to = event.reply_to,
                                      .outcome = wire::ATTEMPT_NOT_RUN,
                                      .reason = ErrorKind::kNotRun});
    }
    const bool over = record.state == State::kBarred || record.state == State::kEnded;
    if (over) this->actions.push_back(DropRequest{.id = event.id});
    return;
  }
  // If a start is delivered both before and after a restart of the agent, the earlier incarnation
  // may have run it, so it must not be answered "not run".
  const bool other_incarnation = event.agent_incarnation != this->options.incarnation;
  if (other_incarnation || this->MayHaveExpired(event.id)) {
    this->actions.push_back(DropRequest{.id = event.id});
    this->actions.push_back(SendStatus{.id = event.id, .reply_to = event.reply_to});
    return;
  }
  Record& record = this->records[event.id];
  record.start = event;
  if (this->now < this->waiting_until) record.start.time_left -= this->pause;
  record.deadline = this->now + record.start.time_left;
  const std::optional<ErrorKind> refusal = this->RefusalFor(record.start);
  if (refusal.has_value() || !this->MakeRoomFor(event)) {
    this->End(event.id, record, wire::ATTEMPT_NOT_RUN, refusal.value_or(ErrorKind::kOverloaded));
    return;
  }
  this->queue.emplace(std::pair(-event.priority, this->arrivals++), event.id);
}

std::optional<ErrorKind> UpstreamGate::RefusalFor(const StartReceived& start) const {
  if (this->draining) return ErrorKind::kDraining;
  if (!this->IsReady()) return ErrorKind::kNoUpstream;
  if (!start.manifest.IsZero() && start.manifest != this->serving) return ErrorKind::kNoUpstream;
  if (start.time_left <= Duration::zero()) return ErrorKind::kDeadlineUnmeetable;
  if (this->ExpectedWait() > start.time_left) return ErrorKind::kDeadlineUnmeetable;
  return std::nullopt;
}

Duration UpstreamGate::ExpectedWait() const {
  if (this->running < this->options.max_running) return Duration::zero();
  const double rounds =
      static_cast<double>(this->queue.size() + 1) / static_cast<double>(this->options.max_running);
  return FromSeconds(rounds * this->mean_service_seconds);
}

bool UpstreamGate::MakeRoomFor(const StartReceived& start) {
  if (this->running < this->options.max_running) return true;
  if (this->queue.size() < this->options.max_queued) return true;
  if (this->queue.empty()) return false;
  const auto last = std::prev(this->queue.end());
  if (-last->first.first >= start.priority) return false;
  this->RefuseQueued(AttemptKey(last->second), ErrorKind::kOverloaded);
  return true;
}

void UpstreamGate::On(const CancelReceived& event) {
  const auto found = this->records.find(event.id);
  if (found == this->records.end()) {
    const bool other_incarnation = event.agent_incarnation != this->options.incarnation;
    if (other_incarnation || this->MayHaveExpired(event.id)) {
      this->actions.push_back(SendStatus{.id = event.id, .reply_to = event.reply_to});
      return;
    }
    this->Bar(event.id);
    this->actions.push_back(SendEnd{.id = event.id,
                                    .reply_to = event.reply_to,
                                    .outcome = wire::ATTEMPT_NOT_RUN,
                                    .reason = ErrorKind::kNotRun});
    return;
  }
  Record& record = found->second;
  if (record.state == State::kQueued) this->RefuseQueued(event.id, ErrorKind::kNotRun);
  if (record.state != State::kRunning || record.cancelled) return;
  record.cancelled = true;
  this->actions.push_back(CancelCall{.id = event.id});
}

void UpstreamGate::On(const QueryReceived& event) {
  SendStatus status{.id = event.id, .reply_to = event.reply_to, .bulk_lane = event.bulk_lane};
  const auto found = this->records.find(event.id);
  const bool other_incarnation = event.agent_incarnation != this->options.incarnation;
  if (other_incarnation || (found == this->records.end() && this->MayHaveExpired(event.id))) {
    this->actions.push_back(status);
    return;
  }
  if (found == this->records.end()) {
    this->Bar(event.id);
    status.knowledge = wire::KNOWLEDGE_BARRED;
    this->actions.push_back(status);
    return;
  }
  const Record& record = found->second;
  status.parts = record.parts;
  status.outcome = record.outcome;
  const bool never_ran = record.state == State::kBarred ||
                         (record.state == State::kEnded && record.outcome == wire::ATTEMPT_NOT_RUN);
  if (never_ran) {
    status.knowledge = wire::KNOWLEDGE_BARRED;
  } else if (record.state == State::kEnded) {
    status.knowledge = wire::KNOWLEDGE_RAN;
    this->ResendStored(event.id, record, event);
  } else {
    status.knowledge = wire::KNOWLEDGE_RUNNING;
    this->ResendStored(event.id, record, event);
  }
  this->actions.push_back(status);
}

void UpstreamGate::ResendStored(const AttemptKey& id, const Record& record,
                                const QueryReceived& query) {
  if (query.next_part < record.first_stored) return;
  for (std::uint32_t number = query.next_part; number < record.parts; ++number) {
    // Of the parts below resume_from, a resumed attempt produces only part 0.
    if (number > 0 && number < record.start.resume_from) continue;
    this->actions.push_back(SendPart{
        .id = id, .reply_to = query.reply_to, .number = number, .bulk_lane = query.bulk_lane});
  }
  if (record.state != State::kEnded) return;
  this->actions.push_back(SendEnd{.id = id,
                                  .reply_to = query.reply_to,
                                  .outcome = record.outcome,
                                  .parts = record.parts,
                                  .reason = record.reason,
                                  .bulk_lane = query.bulk_lane});
}

void UpstreamGate::On(const GatePaused& event) {
  this->pause = event.length;
  this->waiting_until = this->now + this->options.pause_settle_time;
}

void UpstreamGate::On(const HeadReceived& event) {
  const auto found = this->records.find(event.id);
  if (found == this->records.end() || found->second.state != State::kRunning) return;
  Record& record = found->second;
  const bool pinned = !record.start.manifest.IsZero();
  if (pinned && !event.weights.IsZero() && event.weights != record.start.manifest) {
    // The engine changed its weights after the attempt had been checked against them.
    record.wrong_weights = true;
    this->actions.push_back(CancelCall{.id = event.id});
    return;
  }
  this->AddPart(event.id, record, 0);
}

void UpstreamGate::On(const BodyReceived& event) {
  const auto found = this->records.find(event.id);
  if (found == this->records.end() || found->second.state != State::kRunning) return;
  if (found->second.wrong_weights || found->second.cancelled) return;
  this->AddPart(event.id, found->second, event.bytes);
}

void UpstreamGate::AddPart(const AttemptKey& id, Record& record, std::size_t bytes) {
  const std::uint32_t number = record.parts;
  record.parts = std::max(number + 1, record.start.resume_from);
  record.stored_part_sizes.push_back(bytes);
  record.stored_bytes += bytes;
  this->stored_bytes += bytes;
  this->actions.push_back(SendPart{.id = id, .reply_to = record.start.reply_to, .number = number});
  this->TrimParts(id, record);
}

void UpstreamGate::TrimParts(const AttemptKey& id, Record& record) {
  const std::uint32_t before = record.first_stored;
  while (record.stored_bytes > this->options.max_result_bytes &&
         record.stored_part_sizes.size() > 1) {
    record.stored_bytes -= record.stored_part_sizes.front();
    this->stored_bytes -= record.stored_part_sizes.front();
    record.stored_part_sizes.pop_front();
    // In a resumed attempt, part 0 is followed by part `resume_from`.
    record.first_stored = std::max(record.first_stored + 1, record.start.resume_from);
  }
  if (record.first_stored != before) {
    this->actions.push_back(DropParts{.id = id, .before = record.first_stored});
  }
  while (this->stored_bytes > this->options.max_stored_bytes && !this->results.empty()) {
    const auto oldest = this->records.find(this->results.front());
    this->results.pop_front();
    if (oldest == this->records.end()) continue;
    Record& result = oldest->second;
    this->stored_bytes -= result.stored_bytes;
    result.stored_bytes = 0;
    result.stored_part_sizes.clear();
    result.first_stored = result.parts;
    this->actions.push_back(DropParts{.id = oldest->first, .before = result.parts});
  }
}

void UpstreamGate::On(const CallEnded& event) {
  const auto found = this->records.find(event.id);
  if (found == this->records.end() || found->second.state != State::kRunning) return;
  Record& record = found->second;
  this->RemoveFromRunning(event.id, record);
  switch (event.result) {
    case CallResult::kComplete:
      if (record.wrong_weights) {
        this->End(event.id, record, wire::ATTEMPT_BROKEN, ErrorKind::kAnswerBroken);
        return;
      }
      this->End(event.id, record, wire::ATTEMPT_COMPLETE, ErrorKind::kNotRun);
      return;
    case CallResult::kNotSent:
      this->MarkDown();
      this->End(event.id, record, wire::ATTEMPT_NOT_RUN, ErrorKind::kNoUpstream);
      return;
    case CallResult::kCancelled:
      this->End(event.id, record,
                record.wrong_weights ? wire::ATTEMPT_BROKEN : wire::ATTEMPT_CANCELLED,
                ErrorKind::kCancelled);
      return;
    case CallResult::kBroken:
      break;
  }
  if (record.cancelled || record.wrong_weights) {
    this->End(event.id, record, wire::ATTEMPT_CANCELLED, ErrorKind::kCancelled);
    return;
  }
  // A probe decides whether the upstream crashed or only the connection failed.
  record.state = State::kAwaitingProbe;
  this->active.insert(event.id);
  this->Probe();
}

void UpstreamGate::RemoveFromRunning(const AttemptKey& id, Record& record) {
  --this->running;
  this->active.erase(id);
  const double seconds = ToSeconds(this->now - record.started);
  const bool first = this->mean_service_seconds == 0;
  const double weight = first ? 1.0 : kServiceTimeSmoothing;
  this->mean_service_seconds += weight * (seconds - this->mean_service_seconds);
}

void UpstreamGate::On(const UpstreamProbed& event) {
  this->probing = false;
  if (this->probe_again) {
    // A call broke off after this probe had begun, so only a later probe can tell whether the
    // upstream crashed.
    this->probe_again = false;
    this->Probe();
    return;
  }
  const bool was_down = this->upstream_down;
  const bool restarted = event.reachable && this->upstream_incarnation != 0 &&
                         event.incarnation != 0 && event.incarnation != this->upstream_incarnation;
  const bool crashed = !event.reachable || restarted;
  if (!event.reachable) this->MarkDown();
  const std::uint64_t crashed_incarnation =
      this->options.engine ? this->upstream_incarnation : this->outages;
  for (const AttemptKey& id : std::set<AttemptKey>(this->active)) {
    Record& record = this->records.at(id);
    if (record.state != State::kAwaitingProbe) continue;
    this->active.erase(id);
    if (crashed) {
      this->actions.push_back(NotifyCrash{.fingerprint = record.start.fingerprint,
                                          .prompt_parts = record.start.prompt_parts,
                                          .upstream_incarnation = crashed_incarnation});
    }
    this->End(id, record, crashed ? wire::ATTEMPT_UPSTREAM_CRASHED : wire::ATTEMPT_BROKEN,
              ErrorKind::kAnswerBroken);
  }
  if (!event.reachable) return;
  if (event.incarnation != 0) this->upstream_incarnation = event.incarnation;
  this->upstream_down = false;
  if (was_down) this->actions.push_back(ReportLoad{});
}

void UpstreamGate::MarkDown() {
  if (this->upstream_down) return;
  this->upstream_down = true;
  ++this->outages;
  this->next_probe = this->now + this->options.down_probe_period;
  this->actions.push_back(ReportLoad{});
  this->RefuseAllQueued(ErrorKind::kNoUpstream);
}

void UpstreamGate::Probe() {
  if (this->probing) {
    this->probe_again = true;
    return;
  }
  this->probing = true;
  const bool down = this->upstream_down;
  this->next_probe =
      this->now + (down ? this->options.down_probe_period : this->options.healthy_probe_period);
  this->actions.push_back(ProbeUpstream{});
}

void UpstreamGate::On(const ReadinessSet& event) {
  const bool changed = event.ready != this->ready || event.serving != this->serving;
  this->ready = event.ready;
  this->serving = event.serving;
  if (!changed) return;
  this->actions.push_back(ReportLoad{});
  std::vector<AttemptKey> mismatched;
  for (const auto& [order, id] : this->queue) {
    const Digest& manifest = this->records.at(id).start.manifest;
    const bool servable = event.ready && (manifest.IsZero() || manifest == event.serving);
    if (!servable) mismatched.push_back(id);
  }
  for (const AttemptKey& id : mismatched) this->RefuseQueued(id, ErrorKind::kNoUpstream);
}

void UpstreamGate::On(const DrainRequested&) {
  if (this->draining) return;
  this->draining = true;
  this->actions.push_back(ReportLoad{});
}

void UpstreamGate::On(const GateTick&) {
  this->CancelOverdue();
  this->ExpireRecords();
  const bool probes_regularly = this->upstream_down || this->options.engine;
  if (probes_regularly && !this->probing && this->now >= this->next_probe) this->Probe();
}

void UpstreamGate::CancelOverdue() {
  std::vector<AttemptKey> overdue;
  for (const auto& [order, id] : this->queue) {
    if (this->records.at(id).deadline <= this->now) overdue.push_back(id);
  }
  for (const AttemptKey& id : overdue) this->RefuseQueued(id, ErrorKind::kDeadlineUnmeetable);
  for (const AttemptKey& id : this->active) {
    Record& record = this->records.at(id);
    const Duration grace = record.start.idempotent ? Duration::zero() : this->options.max_overrun;
    const bool running = record.state == State::kRunning && !record.cancelled;
    if (!running || record.deadline + grace > this->now) continue;
    record.cancelled = true;
    this->actions.push_back(CancelCall{.id = id});
  }
}

void UpstreamGate::ExpireRecords() {
  while (!this->results.empty()) {
    const auto found = this->records.find(this->results.front());
    const bool unexpired =
        found != this->records.end() &&
        found->second.expires_at - this->options.record_lifetime + this->options.result_lifetime >
            this->now;
    if (unexpired) break;
    if (found != this->records.end()) {
      Record& record = found->second;
      this->stored_bytes -= record.stored_bytes;
      record.stored_bytes = 0;
      record.stored_part_sizes.clear();
      record.first_stored = record.parts;
      this->actions.push_back(DropParts{.id = found->first, .before = record.parts});
    }
    this->results.pop_front();
  }
  while (!this->expiry.empty() && this->expiry.begin()->first <= this->now) {
    const AttemptKey id = this->expiry.begin()->second;
    this->expiry.erase(this->expiry.begin());
    this->records.erase(id);
    std::uint64_t& highest = this->expired_sequences[std::pair(id.entry_vm, id.entry_incarnation)];
    highest = std::max(highest, id.sequence);
  }
}

bool UpstreamGate::MayHaveExpired(const AttemptKey& id) const {
  const auto found = this->expired_sequences.find(std::pair(id.entry_vm, id.entry_incarnation));
  return found != this->expired_sequences.end() && id.sequence <= found->second;
}

void UpstreamGate::Bar(const AttemptKey& id) {
  Record& record = this->records[id];
  record.state = State::kBarred;
  record.outcome = wire::ATTEMPT_NOT_RUN;
  record.expires_at = this->now + this->options.record_lifetime;
  this->expiry.emplace(record.expires_at, id);
}

void UpstreamGate::Dispatch() {
  // While a broken call awaits its probe, the upstream may be down. Attempts that stay queued
  // certainly have not run.
  if (!this->IsReady() || this->active.size() > this->running) return;
  while (this->running < this->options.max_running && !this->queue.empty()) {
    const AttemptKey id = this->queue.begin()->second;
    this->queue.erase(this->queue.begin());
    this->Run(id, this->records.at(id));
  }
}

void UpstreamGate::Run(const AttemptKey& id, Record& record) {
  record.state = State::kRunning;
  record.started = this->now;
  ++this->running;
  this->active.insert(id);
  this->actions.push_back(CallUpstream{
      .id = id, .resume_from = record.start.resume_from, .priority = record.start.priority});
}

void UpstreamGate::End(const AttemptKey& id, Record& record, wire::AttemptOutcome outcome,
                       ErrorKind reason) {
  record.state = State::kEnded;
  record.outcome = outcome;
  record.reason = reason;
  record.expires_at = this->now + this->options.record_lifetime;
  this->expiry.emplace(record.expires_at, id);
  if (record.parts > 0) this->results.push_back(id);
  this->actions.push_back(SendEnd{.id = id,
                                  .reply_to = record.start.reply_to,
                                  .outcome = outcome,
                                  .parts = record.parts,
                                  .reason = reason});
  this->actions.push_back(DropRequest{.id = id});
}

void UpstreamGate::RefuseQueued(const AttemptKey& id, ErrorKind reason) {
  std::erase_if(this->queue, [&id](const auto& row) { return row.second == id; });
  this->End(id, this->records.at(id), wire::ATTEMPT_NOT_RUN, reason);
}

void UpstreamGate::RefuseAllQueued(ErrorKind reason) {
  while (!this->queue.empty()) {
    this->RefuseQueued(AttemptKey(this->queue.begin()->second), reason);
  }
}

void UpstreamGate::FinishDrain() {
  if (!this->draining || this->drained || !this->IsIdle() || !this->active.empty()) return;
  this->drained = true;
  this->actions.push_back(GateDrained{});
}

}  // namespace savory
