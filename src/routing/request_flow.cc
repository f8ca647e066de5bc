#include "routing/request_flow.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "wire/attempt_id.h"

namespace savory {
namespace {

constexpr std::string_view kAnonymousAccount = "anonymous";
// Period of the slot updates and of the ticks of the limiter and the crash registry.
constexpr Duration kMaintenancePeriod = std::chrono::milliseconds(100);

bool IsNotRun(ErrorKind kind) {
  const RunOutcome outcome = AnswerFor(kind).outcome;
  return outcome == RunOutcome::kNotRun || outcome == RunOutcome::kRefusedByLimit;
}

// Returns the error kind that a gate gave as the reason for a refusal.
ErrorKind ParseRefusalKind(std::string_view name) {
  for (const ErrorAnswer& row : ErrorAnswers()) {
    if (row.name == name && IsNotRun(row.kind)) return row.kind;
  }
  return ErrorKind::kNotRun;
}

}  // namespace

RequestFlow::RequestFlow(RequestFlowOptions options, Random& random)
    : options(std::move(options)),
      random(random),
      balancer(this->options.balancer),
      budget(this->options.budget),
      limiter(this->options.limits),
      crash_registry(this->options.crash_registry, random) {}

std::vector<RequestAction> RequestFlow::Handle(const RequestEvent& event, Instant now) {
  this->now = now;
  this->actions.clear();
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  this->ApplyLimiterActions();
  if (this->stopping && !this->drained && this->requests.empty()) {
    this->drained = true;
    this->actions.push_back(FlowDrained{});
  }
  return std::exchange(this->actions, {});
}

// ---- arrival ----

void RequestFlow::On(const RequestArrived& event) {
  if (this->stopping) return this->Refuse(event, ErrorKind::kDraining, "this entry is stopping");
  const wire::Route* route = this->MatchRoute(event);
  if (route == nullptr) return this->Refuse(event, ErrorKind::kNoRoute, event.path);
  const CrashSuspect suspect{.fingerprint = event.fingerprint, .parts = event.prompt_parts};
  this->crash_registry.CountRequest(suspect.parts);
  if (this->crash_registry.IsRefused(suspect, this->now)) {
    return this->Refuse(event, ErrorKind::kRequestCrashesUpstream,
                        "the same request, or others with a part of its prompt, crashed upstreams");
  }
  const bool has_account = !event.account.empty();
  Request& request = this->requests[event.id];
  request.arrived = event;
  if (!has_account) request.arrived.account = kAnonymousAccount;
  request.route = *route;
  request.idempotent = route->idempotent() && !event.non_idempotent;
  request.arrived_at = this->now;
  Duration limit = this->options.default_deadline;
  if (route->deadline_ms() > 0) limit = std::chrono::milliseconds(route->deadline_ms());
  limit = std::min(limit, event.deadline.value_or(limit));
  request.deadline = this->now + limit;
  this->budget.OnRequest(request.arrived.account);
  if (limit <= Duration::zero()) {
    return this->Fail(request, {.kind = ErrorKind::kDeadlineUnmeetable, .detail = "no time left"});
  }
  this->UpdateLimiter(LimiterArrival{.id = event.id,
                                     .account = request.arrived.account,
                                     .request_class = route->request_class(),
                                     .priority = route->priority(),
                                     .deadline = request.deadline});
  this->Reschedule(request);
}

void RequestFlow::UpdateLimiter(const LimiterEvent& event) {
  for (LimiterAction& action : this->limiter.Handle(event, this->now)) {
    this->limiter_actions.push_back(std::move(action));
  }
}

void RequestFlow::ApplyLimiterActions() {
  while (!this->limiter_actions.empty()) {
    const LimiterAction action = std::move(this->limiter_actions.front());
    this->limiter_actions.pop_front();
    const RequestId id = std::visit([](const auto& typed) { return typed.id; }, action);
    const auto found = this->requests.find(id);
    if (found == this->requests.end() || found->second.phase != Phase::kAwaitingAdmission) continue;
    if (const auto* refusal = std::get_if<LimiterRefuse>(&action)) {
      this->Fail(found->second, refusal->error);
    } else {
      this->BeginAttempt(found->second);
    }
  }
}

void RequestFlow::UpdateSlots() {
  std::map<std::string, double> slots;
  for (const wire::Route& route : this->tables.routes()) {
    const double share = this->balancer.ShareOfCapacity(route.pool(), this->now);
    double& most = slots[route.request_class()];
    most = std::max(most, share * this->options.slots_factor);
  }
  for (const auto& [request_class, count] : slots) {
    // Without load reports no request can be sent, so the last value is kept.
    if (count <= 0) continue;
    const auto rounded = static_cast<std::uint32_t>(count + 0.999);
    this->UpdateLimiter(LimiterSlots{.request_class = request_class, .slots = rounded});
  }
}

const wire::Route* RequestFlow::MatchRoute(const RequestArrived& request) const {
  const wire::Route* best = nullptr;
  const auto rank = [](const wire::Route& route) {
    return std::pair(route.path_prefix().size(), !route.method().empty());
  };
  for (const wire::Route& route : this->tables.routes()) {
    if (!request.path.starts_with(route.path_prefix())) continue;
    if (!route.method().empty() && route.method() != request.method) continue;
    if (best == nullptr || rank(route) > rank(*best)) best = &route;
  }
  return best;
}

void RequestFlow::Refuse(const RequestArrived& request, ErrorKind kind, std::string detail) {
  this->actions.push_back(
      AnswerWithError{.request = request.id, .error = {.kind = kind, .detail = std::move(detail)}});
  this->actions.push_back(
      MeasureRequest{.request = request.id, .account = request.account, .error = kind});
}

void RequestFlow::BeginAttempt(Request& request) {
  const std::optional<ChosenAgent> agent = this->PickAgent(request);
  if (!agent.has_value()) {
    const std::string detail = "no ready upstream in pool " + request.route.pool();
    return this->Fail(request, {.kind = ErrorKind::kNoUpstream, .detail = detail});
  }
  const bool claims = !request.idempotent && !request.arrived.idempotency_key.empty();
  if (claims) return this->SendClaim(request, *agent, request.claim);
  this->SetAttempt(request, Attempt{.agent = *agent});
  this->Send(request);
}

std::optional<ChosenAgent> RequestFlow::PickAgent(const Request& request) {
  return this->balancer.Pick(PickQuery{.pool = request.route.pool(),
                                       .affinity = request.arrived.affinity,
                                       .excluded = &request.tried_vms,
                                       .manifest = request.answer_manifest},
                             this->now, this->random);
}

void RequestFlow::SetAttempt(Request& request, Attempt attempt) {
  assert(!request.attempt.has_value());
  if (!attempt.adopted) {
    attempt.key = AttemptKey{.entry_vm = this->options.vm,
                             .entry_incarnation = this->options.incarnation,
                             .sequence = this->next_sequence++};
  }
  attempt.last_heard = this->now;
  this->by_attempt.emplace(attempt.key, request.arrived.id);
  request.attempt = std::move(attempt);
}

void RequestFlow::Send(Request& request) {
  Attempt& attempt = *request.attempt;
  request.phase = Phase::kAttempting;
  ++request.attempts;
  attempt.last_heard = this->now;
  attempt.resumed = request.next_part > 0;
  if (!request.first_sent.has_value()) request.first_sent = this->now;
  this->balancer.AddInFlight(attempt.agent.vm, 1);
  this->actions.push_back(StartAttempt{.request = request.arrived.id,
                                       .attempt = attempt.key,
                                       .agent = attempt.agent,
                                       .pool = request.route.pool(),
                                       .method = request.arrived.method,
                                       .time_left = request.deadline - this->now,
                                       .priority = request.route.priority(),
                                       .idempotent = request.idempotent,
                                       .fingerprint = request.arrived.fingerprint,
                                       .prompt_parts = request.arrived.prompt_parts,
                                       .account = request.arrived.account,
                                       .resume_from = request.next_part});
  this->Reschedule(request);
}

// ---- claims ----

void RequestFlow::SendClaim(Request& request, const ChosenAgent& agent,
                            std::optional<wire::Claim> replaced) {
  this->SetAttempt(request, Attempt{.agent = agent});
  request.phase = Phase::kClaiming;
  wire::Claim claim;
  claim.set_key(std::string(request.arrived.claim_key.View()));
  claim.set_agent_vm(agent.vm);
  claim.set_agent_peer(agent.peer);
  claim.set_agent_incarnation(agent.incarnation);
  *claim.mutable_attempt() = ToWire(request.attempt->key);
  claim.set_request_digest(std::string(request.arrived.fingerprint.View()));
  request.claim = claim;
  this->actions.push_back(WriteClaim{
      .request = request.arrived.id, .claim = std::move(claim), .replaced = std::move(replaced)});
  this->Reschedule(request);
}

void RequestFlow::On(const ClaimSettled& event) {
  const auto found = this->requests.find(event.id);
  if (found == this->requests.end() || found->second.phase != Phase::kClaiming) return;
  Request& request = found->second;
  if (event.error.has_value()) {
    request.claim.reset();
    return this->Fail(request, *event.error);
  }
  if (event.found.has_value()) return this->OnClaimFound(request, *event.found);
  request.claim->set_nonce(event.nonce);
  if (request.caller_done || this->now >= request.deadline) {
    const Error late = {.kind = ErrorKind::kClaimUnavailable,
                        .detail = "the claim was confirmed too late"};
    return this->Fail(request, late);
  }
  this->Send(request);
}

void RequestFlow::OnClaimFound(Request& request, const wire::Claim& found) {
  request.claim.reset();
  this->EndAttempt(request);
  if (found.state() == wire::CLAIM_DONE) {
    if (!found.answer_recorded()) {
      const Error done = {.kind = ErrorKind::kAlreadyDone,
                          .detail = "the request of this key has run; its answer was not kept"};
      return this->Fail(request, done);
    }
    if (!request.caller_done) {
      this->actions.push_back(AnswerFromClaim{.request = request.arrived.id,
                                              .status = found.status(),
                                              .content_type = found.content_type(),
                                              .body = found.answer()});
    }
    return this->Finish(request, std::nullopt);
  }
  if (request.caller_done) return this->Finish(request, ErrorKind::kCancelled);
  request.claim = found;
  if (found.state() == wire::CLAIM_NOT_RUN) return this->BeginAttempt(request);
  this->Adopt(request, found);
}

// Takes over the attempt of another request with the same idempotency key by querying its agent for
// the result.
void RequestFlow::Adopt(Request& request, const wire::Claim& found) {
  request.may_have_run = true;
  request.phase = Phase::kAttempting;
  this->SetAttempt(request, Attempt{.key = FromWire(found.attempt()),
                                    .agent = {.vm = found.agent_vm(),
                                              .peer = found.agent_peer(),
                                              .incarnation = found.agent_incarnation()},
                                    .adopted = true});
  this->Query(request);
  this->Reschedule(request);
}

// ---- messages of agents ----

std::vector<RequestId> RequestFlow::FindByAttempt(const AttemptKey& attempt) const {
  std::vector<RequestId> ids;
  const auto [begin, end] = this->by_attempt.equal_range(attempt);
  for (auto row = begin; row != end; ++row) ids.push_back(row->second);
  return ids;
}

void RequestFlow::On(const PartArrived& event) {
  for (const RequestId id : this->FindByAttempt(event.attempt)) {
    this->OnPart(this->requests.at(id), event);
  }
}

void RequestFlow::OnPart(Request& request, const PartArrived& event) {
  Attempt& attempt = *request.attempt;
  attempt.last_heard = this->now;
  attempt.unanswered_queries = 0;
  if (attempt.resumed && event.number == 0) return this->OnResumedHead(request, event.status);
  if (event.number < request.next_part) return;
  const bool head_missing = attempt.resumed && !attempt.head_checked;
  if (event.number > request.next_part || head_missing) return this->QueryMissingParts(request);
  if (event.number == 0) {
    request.status = event.status;
    request.answer_manifest = attempt.agent.manifest;
  }
  ++request.next_part;
  if (!request.first_part.has_value()) request.first_part = this->now;
  if (!request.streams_soundly && this->now - *request.first_part >= kSoundStreamTime) {
    request.streams_soundly = true;
    this->UpdateCrashes(RequestServed{.parts = request.arrived.prompt_parts});
  }
  this->actions.push_back(DeliverPart{.request = request.arrived.id,
                                      .number = event.number,
                                      .request_class = request.route.request_class()});
}

// A stream is resumed only if the new attempt has the HTTP status that the caller has received.
void RequestFlow::OnResumedHead(Request& request, std::uint32_t status) {
  if (status == request.status) {
    request.attempt->head_checked = true;
    return;
  }
  this->Cancel(*request.attempt);
  this->OnAttemptFailed(
      request, false,
      {.kind = ErrorKind::kAnswerBroken, .detail = "the stream could not be resumed"});
}

void RequestFlow::QueryMissingParts(Request& request) {
  const Attempt& attempt = *request.attempt;
  const bool recent = attempt.queried_at.has_value() &&
                      this->now - *attempt.queried_at < this->options.query_period;
  if (!recent) this->Query(request);
}

void RequestFlow::On(const EndArrived& event) {
  for (const RequestId id : this->FindByAttempt(event.attempt)) {
    this->OnEnd(this->requests.at(id), event);
  }
}

void RequestFlow::OnEnd(Request& request, const EndArrived& event) {
  request.attempt->last_heard = this->now;
  request.attempt->unanswered_queries = 0;
  if (event.outcome != wire::ATTEMPT_COMPLETE) {
    return this->OnIncompleteOutcome(request, event.outcome, event.reason);
  }
  if (event.parts > request.next_part) return this->QueryMissingParts(request);
  this->OnComplete(request);
}

void RequestFlow::OnIncompleteOutcome(Request& request, wire::AttemptOutcome outcome,
                                      std::string_view reason) {
  if (outcome == wire::ATTEMPT_NOT_RUN) {
    return this->OnAttemptFailed(
        request, true,
        {.kind = ParseRefusalKind(reason), .detail = "refused by the upstream's agent"});
  }
  const bool crashed = outcome == wire::ATTEMPT_UPSTREAM_CRASHED;
  const Error error = {
      .kind = ErrorKind::kOutcomeUnknown,
      .detail = crashed ? "the upstream crashed" : "the upstream's answer broke off"};
  this->OnAttemptFailed(request, false, error);
}

void RequestFlow::On(const StatusArrived& event) {
  for (const RequestId id : this->FindByAttempt(event.attempt)) {
    this->OnStatus(this->requests.at(id), event);
  }
}

void RequestFlow::OnStatus(Request& request, const StatusArrived& event) {
  request.attempt->last_heard = this->now;
  request.attempt->unanswered_queries = 0;
  switch (event.knowledge) {
    case wire::KNOWLEDGE_RUNNING:
      return;
    case wire::KNOWLEDGE_BARRED:
      return this->OnAttemptFailed(
          request, true, {.kind = ErrorKind::kNotRun, .detail = "the request did not arrive"});
    case wire::KNOWLEDGE_RAN:
      return this->OnRanStatus(request, event);
    default:
      return this->OnAttemptFailed(
          request, false,
          {.kind = ErrorKind::kOutcomeUnknown, .detail = "the upstream's agent was restarted"});
  }
}

void RequestFlow::OnRanStatus(Request& request, const StatusArrived& event) {
  if (event.outcome != wire::ATTEMPT_COMPLETE) {
    return this->OnIncompleteOutcome(request, event.outcome, {});
  }
  if (event.parts <= request.next_part) return this->OnComplete(request);
  // The agent sends the parts before the status. If parts are still missing at the second status,
  // the agent no longer stores them.
  if (++request.attempt->incomplete_results < 2) return this->QueryMissingParts(request);
  this->OnAttemptFailed(
      request, false,
      {.kind = ErrorKind::kOutcomeUnknown, .detail = "the answer is no longer kept"});
}

void RequestFlow::On(const StartDropped& event) {
  for (const RequestId id : this->FindByAttempt(event.attempt)) {
    this->OnAttemptFailed(this->requests.at(id), true,
                          {.kind = ErrorKind::kNotRun, .detail = "the send queue is full"});
  }
}

void RequestFlow::On(const ReportArrived& event) {
  const AgentReport& report = event.report;
  this->balancer.AddReport(report, this->now);
  std::uint64_t& incarnation = this->agent_incarnations[report.vm];
  if (incarnation == report.incarnation) return;
  incarnation = report.incarnation;
  std::vector<RequestId> lost;
  for (const auto& [id, request] : this->requests) {
    if (request.phase != Phase::kAttempting || !request.attempt.has_value()) continue;
    const ChosenAgent& agent = request.attempt->agent;
    if (agent.vm == report.vm && agent.incarnation < report.incarnation) lost.push_back(id);
  }
  for (const RequestId id : lost) {
    this->OnAttemptFailed(
        this->requests.at(id), false,
        {.kind = ErrorKind::kOutcomeUnknown, .detail = "the upstream's agent was restarted"});
  }
}

void RequestFlow::On(const MembersChanged& event) {
  this->balancer.SetMembers(event.members);
  this->UpdateLimiter(LimiterEntryCount{.live = this->balancer.LiveEntries()});
  CrashPeersChanged peers;
  for (const Member& member : event.members) {
    const bool other_entry = member.role == MemberRole::kEntry && member.vm != this->options.vm;
    if (other_entry && member.state == MemberState::kAlive) peers.peers.push_back(member.peer);
  }
  this->crash_registry.Handle(peers, this->now);
}

void RequestFlow::On(const TablesChanged& event) {
  this->tables = event.tables;
  this->UpdateLimiter(LimiterLimitsChanged{.classes = LimitsByClass(event.tables)});
  this->balancer.SetPools({event.tables.pools().begin(), event.tables.pools().end()});
}

void RequestFlow::On(const CrashNoticed& event) {
  this->UpdateCrashes(CrashRecordReceived{.record = event.record});
}

void RequestFlow::On(const LiftRefusal& event) {
  this->UpdateCrashes(RefusalLifted{.all_of = event.all_of});
}

void RequestFlow::UpdateCrashes(const CrashEvent& event) {
  for (const CrashAction& action : this->crash_registry.Handle(event, this->now)) {
    this->actions.push_back(std::get<CrashForward>(action));
  }
}

void RequestFlow::On(const StopAccepting&) { this->stopping = true; }

// ---- the end of an attempt ----

void RequestFlow::EndAttempt(Request& request) {
  if (!request.attempt.has_value()) return;
  const auto [begin, end] = this->by_attempt.equal_range(request.attempt->key);
  const auto row = std::find_if(
      begin, end, [&request](const auto& mapping) { return mapping.second == request.arrived.id; });
  if (row != end) this->by_attempt.erase(row);
  const bool counted = request.phase == Phase::kAttempting && !request.attempt->adopted;
  if (counted) this->balancer.AddInFlight(request.attempt->agent.vm, -1);
  request.attempt.reset();
}

void RequestFlow::OnAttemptFailed(Request& request, bool certainly_not_run, const Error& error) {
  const bool adopted = request.attempt->adopted;
  if (!adopted) request.tried_vms.insert(request.attempt->agent.vm);
  this->EndAttempt(request);
  if (adopted && certainly_not_run && request.next_part == 0) {
    // The adopted attempt will never run, so its claim can be replaced.
    request.may_have_run = false;
    return this->BeginAttempt(request);
  }
  if (!certainly_not_run) request.may_have_run = true;
  if (adopted || request.caller_done || this->now >= request.deadline) {
    return this->Fail(request, error);
  }
  request.last_error = error;
  if (!this->MayRetry(request, certainly_not_run)) return this->Fail(request, error);
  this->BackOff(request);
}

bool RequestFlow::MayRetry(const Request& request, bool certainly_not_run) {
  const bool safe = request.idempotent || (certainly_not_run && !request.may_have_run);
  if (!safe || request.attempts >= this->options.max_attempts) return false;
  const CrashSuspect suspect{.fingerprint = request.arrived.fingerprint,
                             .parts = request.arrived.prompt_parts};
  if (this->crash_registry.IsRefused(suspect, this->now)) return false;
  if (request.next_part > 0 && !this->CanResume(request)) return false;
  if (!this->PickAgent(request).has_value()) return false;
  return this->budget.TakeRetry(request.arrived.account);
}

// Engines can continue a stream at a given part, plain services cannot.
bool RequestFlow::CanResume(const Request& request) {
  const wire::Pool* pool = this->balancer.FindPool(request.route.pool());
  return pool != nullptr && !pool->model().empty() && request.idempotent;
}

void RequestFlow::BackOff(Request& request) {
  const int doublings = std::max(request.attempts - 1, 0);
  const double jitter = 0.5 + UniformUnit(this->random);
  const double scale = jitter * static_cast<double>(1u << doublings);
  const Duration delay = FromSeconds(ToSeconds(this->options.retry_backoff) * scale);
  if (this->now + delay >= request.deadline) return this->Fail(request, request.last_error);
  request.phase = Phase::kBackingOff;
  request.backoff_until = this->now + delay;
  this->Reschedule(request);
}

void RequestFlow::StartRetry(Request& request) {
  const std::optional<ChosenAgent> agent = this->PickAgent(request);
  if (!agent.has_value()) return this->Fail(request, request.last_error);
  // A claim contains the agent and the attempt, so a new attempt needs a new claim.
  if (request.claim.has_value()) return this->SendClaim(request, *agent, request.claim);
  this->SetAttempt(request, Attempt{.agent = *agent});
  this->Send(request);
}

// ---- the end of a request ----

void RequestFlow::OnComplete(Request& request) {
  this->UpdateCrashes(RequestServed{.fingerprint = request.arrived.fingerprint,
                                    .parts = request.arrived.prompt_parts});
  if (request.claim.has_value()) {
    this->actions.push_back(FinishClaim{.request = request.arrived.id,
                                        .key = request.arrived.claim_key,
                                        .nonce = request.claim->nonce()});
  }
  if (!request.caller_done) this->actions.push_back(CompleteAnswer{.request = request.arrived.id});
  this->Finish(request, std::nullopt);
}

void RequestFlow::Fail(Request& request, const Error& error) {
  Error answer = error;
  if (request.may_have_run && IsNotRun(error.kind)) answer.kind = ErrorKind::kOutcomeUnknown;
  if (request.next_part > 0) answer.kind = ErrorKind::kAnswerBroken;
  const bool holds_claim = request.claim.has_value() && !request.claim->nonce().empty();
  if (holds_claim && IsNotRun(answer.kind)) {
    this->actions.push_back(
        ReleaseClaim{.key = request.arrived.claim_key, .nonce = request.claim->nonce()});
  }
  if (!request.caller_done && request.next_part > 0) {
    this->actions.push_back(AbortAnswer{.request = request.arrived.id});
  } else if (!request.caller_done) {
    this->actions.push_back(AnswerWithError{.request = request.arrived.id, .error = answer});
  }
  this->Finish(request, answer.kind);
}

void RequestFlow::Finish(Request& request, std::optional<ErrorKind> error) {
  this->EndAttempt(request);
  MeasureRequest measure = {.request = request.arrived.id,
                            .account = request.arrived.account,
                            .request_class = request.route.request_class(),
                            .queued = request.first_sent.value_or(this->now) - request.arrived_at,
                            .total = this->now - request.arrived_at,
                            .attempts = request.attempts,
                            .error = error};
  if (request.first_part.has_value()) measure.first_part = *request.first_part - request.arrived_at;
  this->actions.push_back(std::move(measure));
  const RequestId id = request.arrived.id;
  this->UpdateLimiter(LimiterRequestEnded{.id = id});
  this->timers.erase(std::pair(request.timer_at, id));
  this->requests.erase(id);
}

void RequestFlow::On(const CallerDisconnected& event) {
  const auto found = this->requests.find(event.id);
  if (found == this->requests.end()) return;
  Request& request = found->second;
  request.caller_done = true;
  if (request.phase == Phase::kBackingOff || request.phase == Phase::kAwaitingAdmission) {
    return this->Fail(request, {.kind = ErrorKind::kCancelled});
  }
  // A claimed attempt continues, so that a later request with the same key gets the answer.
  const bool own_claim = request.claim.has_value() && !request.attempt->adopted;
  if (request.phase == Phase::kClaiming || own_claim) return;
  if (!request.attempt->adopted) {
    this->Cancel(*request.attempt);
  }
  this->Fail(request, {.kind = ErrorKind::kCancelled});
}

// ---- cancels, queries and timers ----

void RequestFlow::Cancel(const Attempt& attempt) {
  this->actions.push_back(CancelAttempt{.attempt = attempt.key,
                                        .peer = attempt.agent.peer,
                                        .agent_incarnation = attempt.agent.incarnation});
}

void RequestFlow::Query(Request& request) {
  Attempt& attempt = *request.attempt;
  const bool repeated = attempt.unanswered_queries > 0;
  ++attempt.unanswered_queries;
  attempt.queried_at = this->now;
  const bool head_missing = attempt.resumed && !attempt.head_checked;
  // Repeated queries use the bulk lane, because the connection of the control lane may be dead.
  this->actions.push_back(QueryAttempt{.attempt = attempt.key,
                                       .peer = attempt.agent.peer,
                                       .agent_incarnation = attempt.agent.incarnation,
                                       .next_part = head_missing ? 0 : request.next_part,
                                       .bulk_lane = repeated});
}

void RequestFlow::On(const FlowTick&) {
  if (this->now >= this->next_maintenance) {
    this->next_maintenance = this->now + kMaintenancePeriod;
    this->UpdateSlots();
    this->UpdateLimiter(LimiterTick{});
    this->crash_registry.Handle(CrashTick{}, this->now);
  }
  while (!this->timers.empty() && this->timers.begin()->first <= this->now) {
    const RequestId id = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    Request& request = this->requests.at(id);
    request.timer_at = {};
    if (this->DueTime(request) <= this->now) this->OnDue(request);
    const auto still = this->requests.find(id);
    if (still != this->requests.end()) this->Reschedule(still->second);
  }
}

Instant RequestFlow::DueTime(const Request& request) const {
  if (request.phase == Phase::kAwaitingAdmission) return request.deadline;
  if (request.phase == Phase::kBackingOff) return std::min(request.backoff_until, request.deadline);
  if (request.phase == Phase::kClaiming) {
    return request.caller_done ? Instant::max() : request.deadline;
  }
  const Attempt& attempt = *request.attempt;
  if (attempt.cancelled) return request.deadline + this->options.cancel_confirm_timeout;
  Instant silence_due = attempt.last_heard + this->options.silence_timeout;
  if (attempt.unanswered_queries > 0) {
    silence_due = *attempt.queried_at + this->options.query_period;
  }
  if (attempt.adopted) silence_due = *attempt.queried_at + this->options.query_period;
  return request.caller_done ? silence_due : std::min(silence_due, request.deadline);
}

void RequestFlow::Reschedule(Request& request) {
  const Instant due = this->DueTime(request);
  const bool scheduled = request.timer_at != Instant{};
  if (scheduled && request.timer_at <= due) return;
  if (scheduled) this->timers.erase(std::pair(request.timer_at, request.arrived.id));
  request.timer_at = due;
  this->timers.emplace(due, request.arrived.id);
}

void RequestFlow::OnDue(Request& request) {
  if (!request.caller_done && this->now >= request.deadline) return this->OnDeadline(request);
  if (request.phase == Phase::kBackingOff) return this->StartRetry(request);
  if (request.phase == Phase::kAttempting) this->OnSilence(request);
}

void RequestFlow::OnDeadline(Request& request) {
  if (request.phase == Phase::kClaiming) {
    // The attempt has not been sent and will not be: a claim that is granted later is released.
    const ErrorKind kind =
        request.may_have_run ? ErrorKind::kOutcomeUnknown : ErrorKind::kClaimUnavailable;
    this->actions.push_back(AnswerWithError{
        .request = request.arrived.id,
        .error = {.kind = kind, .detail = "the claim was not confirmed before the deadline"}});
    request.caller_done = true;
    return;
  }
  if (request.phase == Phase::kAwaitingAdmission) {
    return this->Fail(request, {.kind = ErrorKind::kDeadlineUnmeetable,
                                .detail = "the deadline passed while the request waited"});
  }
  if (request.phase == Phase::kBackingOff) return this->Fail(request, request.last_error);
  Attempt& attempt = *request.attempt;
  const bool cancels = !attempt.adopted && !request.claim.has_value() && !attempt.cancelled;
  if (cancels) {
    attempt.cancelled = true;
    this->Cancel(*request.attempt);
    return;
  }
  request.may_have_run = true;
  this->Fail(request, {.kind = ErrorKind::kOutcomeUnknown, .detail = "deadline"});
}

void RequestFlow::OnSilence(Request& request) {
  Attempt& attempt = *request.attempt;
  const bool needs_certainty = !request.idempotent || request.next_part > 0;
  const int limit =
      needs_certainty ? this->options.max_queries_non_idempotent : this->options.max_queries;
  if (attempt.unanswered_queries < limit) return this->Query(request);
  if (!attempt.adopted) {
    this->Cancel(*request.attempt);
  }
  this->OnAttemptFailed(
      request, false,
      {.kind = ErrorKind::kOutcomeUnknown, .detail = "the upstream's agent does not answer"});
}

}  // namespace savory
