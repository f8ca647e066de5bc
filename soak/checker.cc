#include "soak/checker.h"

#include <algorithm>

namespace savory {
namespace {

using platform::AnswerState;
using platform::ArrivedRequest;
using platform::CallerAnswer;

// Answers with these statuses guarantee that the request has not run and will not run.
bool GuaranteesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

bool AllowsRepeatedRuns(const RouteRule& route) {
  return route.kind == RequestKind::kIdempotent ||
         (route.kind == RequestKind::kStream && route.resumable);
}

bool AreConsecutive(const std::vector<std::uint64_t>& numbers) {
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (numbers[i] != i + 1) return false;
  }
  return true;
}

// The stream up to the end of its last complete event.
std::string_view CompleteEvents(std::string_view body) {
  const std::size_t end = body.rfind("\n\n");
  return end == std::string_view::npos ? std::string_view() : body.substr(0, end + 2);
}

std::string LinkTo(std::string_view upstream) { return "link to " + std::string(upstream); }

constexpr std::string_view kCrashingPrefix = "crash-";
constexpr std::string_view kCrashingPartPrefix = "deadly";
// Route of the requests with crashing parts.
constexpr std::string_view kCrashingRoute = "chat";
// Reason in the body of a refusal.
constexpr std::string_view kRefusedAsCrashing = "request-crashes-upstream";

}  // namespace

std::string CrashingBody(int number) {
  return std::string(kCrashingPrefix) + std::to_string(number);
}
bool IsCrashingBody(std::string_view body) { return body.starts_with(kCrashingPrefix); }

std::string CrashingPart(int number) {
  return std::string(kCrashingPartPrefix) + std::to_string(number);
}
std::string_view FindCrashingPart(std::string_view prompt) {
  const std::size_t begin = prompt.find(kCrashingPartPrefix);
  if (begin == std::string_view::npos) return {};
  return prompt.substr(begin, prompt.find(':', begin) - begin);
}
bool EndsUpstreams(std::string_view body, std::string_view prompt) {
  return IsCrashingBody(body) || !FindCrashingPart(prompt).empty();
}

void Checker::AddViolation(std::string_view rule, const std::string& detail) {
  this->violations.push_back({.rule = std::string(rule), .detail = detail});
}

Checker::Request* Checker::Find(std::string_view attempt_id) {
  const auto found = this->requests.find(attempt_id);
  return found == this->requests.end() ? nullptr : &found->second;
}

void Checker::MarkDisturbed(std::string_view component, Instant now, Duration duration) {
  const Instant end = now + duration + this->options.settle_time;
  for (auto* ends : {&this->disturbed_until, &this->disrupted_until}) {
    Instant& until = (*ends)[std::string(component)];
    until = std::max(until, end);
  }
}

void Checker::MarkStarting(std::string_view component, Instant now) {
  Instant& until = this->disturbed_until[std::string(component)];
  until = std::max(until, now + this->options.settle_time);
}

void Checker::MarkLinkDisturbed(std::string_view upstream, Instant now, Duration duration) {
  this->MarkDisturbed(upstream, now, duration);
  this->MarkDisturbed(LinkTo(upstream), now, duration);
}

Instant Checker::UndisturbedSince(std::string_view component) const {
  const auto found = this->disturbed_until.find(component);
  return found == this->disturbed_until.end() ? Instant() : found->second;
}

bool Checker::IsUndisturbed(std::string_view component, Instant now) const {
  return now >= this->UndisturbedSince(component);
}

bool Checker::IsPathUndisturbed(const Request& request, Instant now) const {
  return this->IsUndisturbed(request.sent.entry_vm, now) && this->IsUndisturbed("store", now) &&
         std::all_of(
             request.upstreams.begin(), request.upstreams.end(),
             [&](const std::string& upstream) { return this->IsUndisturbed(upstream, now); });
}

void Checker::OnEntryStopping(std::string_view vm, Instant now) {
  this->stopping_entries[std::string(vm)] = now;
  this->planned_work.OnStopping(vm, now);
}

void Checker::OnEntryReloading(std::string_view vm, Instant now) {
  this->planned_work.OnReloading(vm, now);
}

void Checker::OnEntrySqueezed(std::string_view vm, Instant now, Duration duration) {
  this->planned_work.OnSqueezed(vm, now, duration);
}

void Checker::OnEntryStarted(std::string_view vm) {
  this->stopping_entries.erase(std::string(vm));
  std::erase_if(this->observed_changes, [vm](const auto& row) { return row.first.first == vm; });
  this->OnEntryPaused(vm);
}

void Checker::OnEntryPaused(std::string_view vm) {
  std::erase_if(this->passed_on_leaving, [vm](const auto& row) { return row.first.first == vm; });
  this->OnEntryCut(vm);
}

void Checker::OnEntryCut(std::string_view vm) {
  std::erase_if(this->requested_waits, [vm](const auto& row) { return row.first.first == vm; });
}

void Checker::OnStagedChunkCorrupted(std::string_view upstream, std::uint32_t chunk, Instant now) {
  this->staged_chunks.OnCorrupted(upstream, chunk, now);
}

void Checker::OnStagedChunksLost(std::string_view upstream) {
  this->staged_chunks.OnAllLost(upstream);
}

void Checker::OnStagedChunksKept(std::string_view upstream, std::string_view next) {
  this->staged_chunks.OnReplaced(upstream, next);
}

void Checker::OnChunkStaged(std::string_view upstream, std::uint32_t chunk, std::uint64_t version) {
  this->staged_chunks.OnStaged(upstream, chunk, version);
}

void Checker::OnRouteChanged(std::string_view route, std::uint64_t version, std::string_view pool,
                             Instant now) {
  this->route_changes[std::string(route)].push_back(
      {.version = version, .pool = std::string(pool), .at = now});
}

void Checker::OnUpstreamLeaving(std::string_view upstream, Instant now) {
  this->leaving_since.emplace(upstream, now);
}

void Checker::OnWeightsPublished(std::uint64_t version, Instant now) {
  this->weights_published_at[version] = now;
}

void Checker::OnSent(const SentRequest& sent) {
  ++this->counts.sent;
  const std::string_view part = FindCrashingPart(sent.request.prompt);
  if (!part.empty()) this->part_last_sent[std::string(part)] = sent.sent;
  if (IsCrashingBody(sent.request.body)) this->CheckSameCrashingRequest(sent);
  const bool undisturbed = this->IsUndisturbed(sent.entry_vm, sent.sent) &&
                           this->IsUndisturbed("store", sent.sent) &&
                           this->IsUndisturbed("origin", sent.sent);
  Request& request = this->requests[sent.request.attempt_id];
  request = {.sent = sent, .sent_undisturbed = undisturbed};
  if (!sent.in_pieces) request.trace.last_byte_sent = sent.sent;
}

void Checker::CheckSameCrashingRequest(const SentRequest& sent) {
  const platform::CallerRequest& request = sent.request;
  const auto [first, is_new] = this->crashing_targets.try_emplace(
      request.body, CrashingTarget{.account = sent.account, .target = request.target});
  if (first->second.account == sent.account && first->second.target == request.target) return;
  this->AddViolation("same-crashing-request",
                     request.attempt_id + " of " + sent.account + " asks for " + request.target +
                         " with the body " + request.body + ", which " + first->second.account +
                         " sent to " + first->second.target);
}

void Checker::OnLastByteSent(std::string_view attempt_id, Instant now) {
  if (Request* request = this->Find(attempt_id)) request->trace.last_byte_sent = now;
}

// ---- callers ----

void Checker::Count(const CallerAnswer& answer) {
  if (answer.state == AnswerState::kAbandoned) {
    ++this->counts.abandoned;
  } else if (answer.state != AnswerState::kComplete) {
    ++this->counts.incomplete;
  } else if (answer.status == 200) {
    ++this->counts.served;
  } else if (GuaranteesNotRun(answer.status)) {
    ++this->counts.refused;
  } else {
    ++this->counts.unknown;
  }
}

void Checker::OnAnswered(std::string_view attempt_id, const CallerAnswer& answer, Instant now) {
  Request* request = this->Find(attempt_id);
  if (request == nullptr || request->answer) return;
  request->answer = answer;
  request->answered_at = now;
  this->Count(answer);
  if (answer.state == AnswerState::kAbandoned) {
    request->abandoned_at = now;
    const Duration limit = request->sent.route.timeout + this->options.answer_tolerance;
    if (!request->sent.request.cancel_after && answer.status == 0 && answer.took > limit &&
        this->IsPathUndisturbed(*request, now)) {
      this->AddViolation(
          "answer-in-time",
          std::string(attempt_id) + " got no final answer within the route's timeout: " +
              request->trace.Describe(request->sent, answer, now, request->sent.sent));
    }
    return;
  }
  // With several runs it is unknown whose answer was passed on.
  if (answer.sealed && request->answer_says_leaving && request->runs == 1) {
    this->passed_on_leaving.emplace(
        EntryAndUpstream(request->sent.entry_vm, *request->upstreams.begin()), now);
  }
  if (answer.status == 200) this->CheckSuccess(*request);
  if (answer.state == AnswerState::kComplete && GuaranteesNotRun(answer.status)) {
    this->CheckNotRunAnswer(*request);
  }
  if (answer.status == 404 || answer.status == 401) {
    this->AddViolation("proper-request",
                       std::string(attempt_id) + " was answered " + std::to_string(answer.status));
  }
  if (answer.state != AnswerState::kComplete) {
    this->CheckTruncation(*request, now);
    this->NoteBegunAnswer(*request, now);
  }
  const bool is_refused = answer.body.find(kRefusedAsCrashing) != std::string::npos;
  const platform::CallerRequest& sent = request->sent.request;
  // Until the cause is known, a sound request that shares parts with guilty ones may be taken for
  // it.
  const bool may_be_suspect = !sent.prompt.empty() && this->IsDisturbedByCrashing(*request);
  if (is_refused && !EndsUpstreams(sent.body, sent.prompt) && !may_be_suspect) {
    this->AddViolation("innocent-request",
                       std::string(attempt_id) + " was refused although it ends no upstream");
  }
}

void Checker::CheckSuccess(const Request& request) {
  const std::string& id = request.sent.request.attempt_id;
  const CallerAnswer& answer = *request.answer;
  if (!answer.sealed || answer.attempt_id != id) {
    return this->AddViolation("whole-answer",
                              id + " got status 200 without a seal or with another request's id");
  }
  if (request.sent.route.kind != RequestKind::kStream) {
    const bool matches = answer.body == platform::ExpectedBody(id, request.sent.request.body);
    if (answer.state == AnswerState::kComplete && !matches) {
      this->AddViolation("whole-answer",
                         id + " got a body that differs from its upstream's answer");
    }
    return;
  }
  const bool ended = answer.state == AnswerState::kComplete;
  const std::string_view received = answer.body;
  const std::string_view body = ended ? received : CompleteEvents(received);
  const auto numbers = platform::ParseEventIds(body, id);
  if (!numbers || !AreConsecutive(*numbers)) {
    return this->AddViolation("stream-order",
                              id + " got events that are not numbered consecutively from 1");
  }
  if (ended && numbers->size() != this->options.stream_events) {
    this->AddViolation("whole-answer", id + " got a stream that ends as complete after event " +
                                           std::to_string(numbers->size()));
  }
}

void Checker::CheckNotRunAnswer(const Request& request) {
  if (request.runs == 0 || AllowsRepeatedRuns(request.sent.route)) return;
  this->AddViolation("true-not-run", request.sent.request.attempt_id + " was answered " +
                                         std::to_string(request.answer->status) +
                                         " (not run) but ran");
}

bool Checker::IsUndisruptedSinceSent(const Request& request) const {
  const auto undisrupted = [&](const std::string& component) {
    const auto found = this->disrupted_until.find(component);
    return found == this->disrupted_until.end() || found->second <= request.sent.sent;
  };
  return undisrupted(request.sent.entry_vm) && undisrupted("store") &&
         std::ranges::all_of(request.trace.arrived_at, [&](const std::string& upstream) {
           return undisrupted(LinkTo(upstream));
         });
}

void Checker::NoteBegunAnswer(const Request& request, Instant now) {
  const CallerAnswer& answer = *request.answer;
  const SentRequest& sent = request.sent;
  const Duration budget = std::min(sent.route.timeout, sent.request.time_left);
  const bool may_go_on = !request.trace.broke_off || AllowsRepeatedRuns(sent.route);
  if (answer.state != AnswerState::kTruncated || request.trace.runs.empty() || !may_go_on ||
      answer.took + this->options.noted_time_left >= budget ||
      !this->IsUndisruptedSinceSent(request)) {
    return;
  }
  const std::string& last = request.trace.runs.back().upstream;
  const bool others_healthy = std::ranges::any_of(this->last_begun, [&](const auto& pool) {
    return pool.second.contains(last) && std::ranges::any_of(pool.second, [&](const auto& row) {
             return row.first != last && row.second + this->options.sign_of_health > now;
           });
  });
  if (!others_healthy) return;
  this->notes.push_back(
      {.rule = "begun-answer",
       .detail = request.trace.Describe(sent, answer, now, sent.sent) + "; in ms since sent"});
}

void Checker::CheckTruncation(const Request& request, Instant now) {
  const bool undisrupted = this->IsUndisruptedSinceSent(request);
  if (const auto loss = this->planned_work.FindLoss(request.sent, request.trace, *request.answer,
                                                    now, undisrupted)) {
    // The answer before it said that the connection is closed, so that no more is read.
    if (request.answer->behind_another && request.trace.arrived_at.empty()) {
      ++this->counts.pipelined_lost;
      return;
    }
    return this->AddViolation("planned-stop", *loss);
  }
  if (this->options.long_answers) return;
  // A request that never ran may have been sent while the entry VM closed its connection.
  if (request.runs == 0 || !this->stopping_entries.contains(request.sent.entry_vm)) return;
  if (!this->IsPathUndisturbed(request, now)) return;
  this->AddViolation("planned-stop", request.sent.request.attempt_id +
                                         " was truncated by the planned stop of " +
                                         request.sent.entry_vm);
}

// ---- upstreams ----

void Checker::OnArrived(const ArrivedRequest& arrived, Instant now) {
  Request* request = this->Find(arrived.attempt_id);
  if (request == nullptr) {
    return this->AddViolation("asked-for",
                              "an upstream received unknown request " + arrived.attempt_id);
  }
  request->arrived_at = now;
  request->trace.arrived_at.push_back(arrived.upstream);
  request->answer_says_leaving = false;
  this->CheckLeaving(*request, arrived, now);
  this->CheckNotices(*request, arrived, now);
  this->CheckCrashing(*request, arrived, now);
}

void Checker::CheckCrashing(const Request& request, const ArrivedRequest& arrived, Instant now) {
  const std::string_view part = FindCrashingPart(arrived.prompt);
  std::string_view key = arrived.body;
  if (!part.empty()) key = part;
  const auto found = this->crashing.find(key);
  if (found == this->crashing.end()) return;
  CrashingRequest& crashing = found->second;
  const std::size_t until_known =
      part.empty() ? this->options.crashes_until_known : this->options.part_crashes_until_known;
  if (crashing.ends.size() < until_known) return;
  const Instant known_at = crashing.ends[until_known - 1];
  if (request.sent.sent <= known_at + this->options.settle_time ||
      !this->IsUndisturbed(request.sent.entry_vm, now)) {
    return;
  }
  if (++crashing.arrivals_when_known != this->options.max_arrivals_when_known + 1) return;
  this->AddViolation("crashing-request",
                     arrived.attempt_id + " of " + request.sent.entry_vm + " reached " +
                         arrived.upstream + ", the same request or part ended " +
                         std::to_string(crashing.ends.size()) + " upstreams before, the one that " +
                         "makes it known " + std::to_string(ToMillis(now - known_at)) + " ms ago");
}

bool Checker::CrashingRequest::IsKnownAt(Instant time, Duration served_after) const {
  const std::size_t last = std::min(this->ends.size(), this->allowed_ends) - 1;
  return time >= this->ends[last] + served_after;
}

bool Checker::IsDisturbedByCrashing(const Request& request) const {
  return std::ranges::any_of(this->crashing, [&](const auto& row) {
    const CrashingRequest& crashing = row.second;
    return request.sent.sent >= crashing.ends.front() - request.sent.route.timeout &&
           !crashing.IsKnownAt(request.sent.sent, this->options.sound_served_after);
  });
}

bool Checker::IsBesideCrashing(const Request& request) const {
  return std::ranges::any_of(this->part_last_sent, [&](const auto& row) {
    const auto found = this->crashing.find(row.first);
    return found != this->crashing.end() && request.sent.sent <= row.second &&
           found->second.IsKnownAt(request.sent.sent, this->options.sound_served_after);
  });
}

void Checker::CheckWholeRun() {
  SoundRequests beside;
  SoundRequests elsewhere;
  for (const auto& [id, request] : this->requests) {
    const platform::CallerRequest& sent = request.sent.request;
    const bool counts = request.sent.route.name == kCrashingRoute && request.answer &&
                        !sent.cancel_after && !EndsUpstreams(sent.body, sent.prompt) &&
                        request.sent_undisturbed && !this->IsDisturbedByCrashing(request);
    if (!counts) continue;
    SoundRequests& group = this->IsBesideCrashing(request) ? beside : elsewhere;
    ++group.sent;
    group.ran += request.runs > 0 ? 1 : 0;
  }
  const std::uint64_t fewest = std::min(beside.sent, elsewhere.sent);
  if (fewest < this->options.min_sound_requests) return;
  if (beside.Share() >= this->options.min_sound_share * elsewhere.Share()) return;
  this->AddViolation("sound-beside-crashing",
                     std::to_string(beside.ran) + " of " + std::to_string(beside.sent) +
                         " sound requests ran beside a part that ends upstreams, " +
                         std::to_string(elsewhere.ran) + " of " + std::to_string(elsewhere.sent) +
                         " elsewhere");
}

void Checker::OnNotice(const ArrivedRequest& arrived, const platform::UpstreamNotice& notice,
                       Instant now) {
  Request* request = this->Find(arrived.attempt_id);
  if (request == nullptr) return;
  request->answer_says_leaving = notice.leaving;
  // The answer may be lost on a disturbed link.
  if (!notice.retry_after || !this->IsUndisturbed(LinkTo(arrived.upstream), now)) return;
  auto& waits = this->requested_waits[{request->sent.entry_vm, arrived.upstream}];
  const RequestedWait wait{.from = now + this->options.wait_notice_tolerance,
                           .until = now + *notice.retry_after};
  // Repeated answers give the rest of the same wait.
  if (waits.empty() || wait.until > waits.back().until + std::chrono::milliseconds(1)) {
    waits.push_back(wait);
  }
}

void Checker::CheckNotices(const Request& request, const ArrivedRequest& arrived, Instant now) {
  const EntryAndUpstream key(request.sent.entry_vm, arrived.upstream);
  const auto leaving = this->passed_on_leaving.find(key);
  if (leaving != this->passed_on_leaving.end() &&
      request.sent.sent > leaving->second + this->options.drain_time) {
    this->AddViolation("leaving-answer",
                       arrived.attempt_id + " reached " + arrived.upstream + ", sent " +
                           std::to_string(ToMillis(request.sent.sent - leaving->second)) +
                           " ms after " + key.first + " passed on that it leaves");
  }
  if (!this->IsUndisturbed(LinkTo(arrived.upstream), now)) return;
  for (RequestedWait& wait : this->requested_waits[key]) {
    if (now < wait.from || now > wait.until) continue;
    if (++wait.arrivals != this->options.max_requests_during_wait + 1) continue;
    this->AddViolation("asked-to-wait",
                       arrived.attempt_id + " is request " + std::to_string(wait.arrivals) +
                           " of " + key.first + " at " + arrived.upstream + " during a wait with " +
                           std::to_string(ToMillis(wait.until - now)) + " ms left");
  }
}

void Checker::CheckLeaving(const Request& request, const ArrivedRequest& arrived, Instant now) {
  const auto leaving = this->leaving_since.find(arrived.upstream);
  if (leaving == this->leaving_since.end()) return;
  const Instant known_since = std::max(leaving->second, this->UndisturbedSince("store"));
  if (now <= known_since + this->options.drain_time) return;
  if (!this->IsUndisturbed(request.sent.entry_vm, now) ||
      !this->IsUndisturbed(LinkTo(arrived.upstream), now)) {
    return;
  }
  this->AddViolation("leaving-upstream", arrived.attempt_id + " of " + request.sent.entry_vm +
                                             " reached " + arrived.upstream + " " +
                                             std::to_string(ToMillis(now - leaving->second)) +
                                             " ms after its record said that it leaves");
}

void Checker::OnRun(const ArrivedRequest& arrived, Instant now) {
  ++this->counts.runs;
  this->CheckWholeWeights(arrived);
  Request* request = this->Find(arrived.attempt_id);
  if (request == nullptr) return;
  const SentRequest& sent = request->sent;
  ++request->runs;
  ++request->running;
  request->trace.runs.push_back({.upstream = arrived.upstream, .begun = now});
  request->trace.broke_off = false;
  this->last_begun[arrived.pool][arrived.upstream] = now;
  if (IsCrashingBody(arrived.body)) {
    CrashingRequest& crashing = this->crashing[arrived.body];
    crashing.ends.push_back(now);
    crashing.allowed_ends = this->options.crashes_until_known;
  }
  if (const std::string_view part = FindCrashingPart(arrived.prompt); !part.empty()) {
    CrashingRequest& crashing = this->crashing[std::string(part)];
    crashing.ends.push_back(now);
    crashing.allowed_ends = this->options.part_crashes_until_known;
  }
  request->upstreams.insert(arrived.upstream);
  const bool same = arrived.target == sent.request.target && arrived.body == sent.request.body &&
                    arrived.account == sent.account && !arrived.has_api_key;
  if (!same) this->AddViolation("asked-for", arrived.attempt_id + " ran altered or with API key");
  if (request->runs > 1 && !AllowsRepeatedRuns(sent.route)) {
    this->AddViolation("at-most-once", arrived.attempt_id + " ran again at " + arrived.upstream);
  }
  if (request->upstreams.size() > sent.route.max_attempts) {
    this->AddViolation("attempts",
                       arrived.attempt_id + " ran at more upstreams than the route's max_attempts");
  }
  const bool refused = request->answer && request->answer->state == AnswerState::kComplete &&
                       GuaranteesNotRun(request->answer->status);
  if (refused) this->AddViolation("true-not-run", arrived.attempt_id + " ran after its refusal");
  this->CheckRoute(*request, arrived, now);
  this->CheckWeights(*request, arrived, now);
}

void Checker::CheckWeights(const Request& request, const ArrivedRequest& arrived, Instant now) {
  if (arrived.weights_version == 0) return;  // a plain service
  // The entry must have been undisturbed when it sent the request on and when it could still
  // cancel it.
  if (!this->IsUndisturbed(request.sent.entry_vm, request.arrived_at) ||
      !this->IsUndisturbed(LinkTo(arrived.upstream), now)) {
    return;
  }
  const Instant stable_since = this->UndisturbedSince("store");
  for (const auto& [version, published_at] : this->weights_published_at) {
    const Instant limit =
        std::max(published_at, stable_since) + this->options.weights_rollout_limit;
    if (version <= arrived.weights_version || now <= limit) continue;
    return this->AddViolation(
        "weights-in-time",
        arrived.attempt_id + " of " + request.sent.entry_vm + " began on version " +
            std::to_string(arrived.weights_version) + " at " + arrived.upstream + " " +
            std::to_string(ToMillis(now - published_at)) + " ms after version " +
            std::to_string(version) + " was published, " +
            std::to_string(ToMillis(now - request.arrived_at)) + " ms after it arrived");
  }
}

void Checker::CheckRoute(const Request& request, const ArrivedRequest& arrived, Instant now) {
  const auto found = this->route_changes.find(request.sent.route.name);
  if (found == this->route_changes.end()) return;
  const std::vector<RouteChange>& route_changes = found->second;
  // Newest change that sends requests of the route to this pool.
  const auto newest =
      std::find_if(route_changes.rbegin(), route_changes.rend(),
                   [&](const RouteChange& change) { return change.pool == arrived.pool; });
  if (newest == route_changes.rend()) {
    return this->AddViolation("route", arrived.attempt_id + " ran in pool " + arrived.pool);
  }
  const std::string& entry = request.sent.entry_vm;
  for (const RouteChange& change : route_changes) {
    const bool in_force = request.sent.sent > change.at + this->options.propagation_limit;
    if (in_force && newest->version < change.version && this->IsUndisturbed(entry, now) &&
        this->IsUndisturbed("store", now)) {
      return this->AddViolation("change-in-force", arrived.attempt_id + " ran in pool " +
                                                       arrived.pool + " after version " +
                                                       std::to_string(change.version));
    }
  }
  auto& [version, at] = this->observed_changes[{entry, request.sent.route.name}];
  if (newest->version < version && request.sent.sent > at + this->options.revert_tolerance &&
      this->IsUndisturbed(entry, now)) {
    this->AddViolation("no-revert", arrived.attempt_id + " was routed by " + entry +
                                        " with rules older than version " +
                                        std::to_string(version));
  }
  // Several newer versions may name this pool, and the entry VM may have applied any of them.
  // Recording the oldest one avoids false reports of a revert.
  const auto known = std::find_if(
      route_changes.begin(), route_changes.end(),
      [version = version](const RouteChange& change) { return change.version == version; });
  if (known != route_changes.end() && known->pool == arrived.pool) return;
  for (const RouteChange& change : route_changes) {
    if (change.pool != arrived.pool || change.version <= version) continue;
    version = change.version;
    at = now;
    return;
  }
}

void Checker::OnBrokeOff(std::string_view attempt_id) {
  Request* request = this->Find(attempt_id);
  if (request == nullptr) return;
  request->trace.broke_off = true;
  for (TracedRun& run : request->trace.runs) run.broke_off = run.broke_off || !run.ended;
}

void Checker::OnInterrupted(std::string_view attempt_id) {
  Request* request = this->Find(attempt_id);
  if (request == nullptr) return;
  for (TracedRun& run : request->trace.runs) run.interrupted = run.interrupted || !run.ended;
}

void Checker::OnRunEnded(std::string_view attempt_id, Instant now) {
  Request* request = this->Find(attempt_id);
  if (request == nullptr || request->running == 0) return;
  --request->running;
  const auto run = std::ranges::find_if(request->trace.runs,
                                        [](const TracedRun& other) { return !other.ended; });
  if (run != request->trace.runs.end()) run->ended = now;
  const bool abandoned = request->answer && request->answer->state == AnswerState::kAbandoned;
  if (abandoned && now > request->abandoned_at + this->options.cancel_tolerance &&
      this->IsPathUndisturbed(*request, now)) {
    this->AddViolation("cancelled", std::string(attempt_id) + " kept running " +
                                        std::to_string(ToMillis(now - request->abandoned_at)) +
                                        " ms after its caller disconnected");
  }
}

void Checker::OnLoad(std::string_view upstream, std::uint64_t version, std::uint32_t chunks,
                     bool complete, Instant now) {
  ++this->counts.loads;
  if (!this->staged_chunks.OnLoad(upstream, version, chunks, complete, now)) {
    ++this->counts.bad_loads;
  }
}

void Checker::CheckWholeWeights(const ArrivedRequest& arrived) {
  const auto fault = this->staged_chunks.FindBadLoad(arrived.upstream, arrived.weights_version);
  if (!fault) return;
  this->AddViolation("whole", arrived.attempt_id + " began at " + arrived.upstream +
                                  " on version " + std::to_string(arrived.weights_version) +
                                  ", loaded with " + *fault);
}

bool Checker::IsServed(const Request& request) {
  return request.answer->state == AnswerState::kComplete && request.answer->status == 200;
}

bool Checker::CountsSince(const Request& request, Instant since) {
  return request.sent.sent >= since && request.answer && !request.sent.request.cancel_after;
}

std::pair<std::uint64_t, std::uint64_t> Checker::ServedSince(Instant since) const {
  std::uint64_t served = 0;
  std::uint64_t all = 0;
  for (const auto& [id, request] : this->requests) {
    if (!CountsSince(request, since)) continue;
    ++all;
    if (IsServed(request)) ++served;
  }
  return {served, all};
}

std::vector<UnservedRequest> Checker::UnservedSince(Instant since) const {
  std::vector<const Request*> requests_unserved;
  for (const auto& [id, request] : this->requests) {
    if (CountsSince(request, since) && !IsServed(request)) requests_unserved.push_back(&request);
  }
  std::ranges::sort(requests_unserved, {},
                    [](const Request* request) { return request->sent.sent; });
  std::vector<UnservedRequest> unserved;
  for (const Request* request : requests_unserved) {
    const SentRequest& sent = request->sent;
    unserved.push_back({.attempt_id = sent.request.attempt_id,
                        .entry_vm = sent.entry_vm,
                        .description = request->trace.Describe(sent, *request->answer,
                                                               request->answered_at, since)});
  }
  return unserved;
}

}  // namespace savory
