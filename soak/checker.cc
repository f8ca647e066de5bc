#include "soak/checker.h"

#include <algorithm>

namespace savory {
namespace {

using platform::AnswerState;
using platform::ArrivedRequest;
using platform::CallerAnswer;

// These answers promise that the request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

bool MayRunAgain(const RouteRule& route) {
  return route.kind == RequestKind::kIdempotent ||
         (route.kind == RequestKind::kStream && route.resumable);
}

bool AreConsecutive(const std::vector<std::uint64_t>& numbers) {
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (numbers[i] != i + 1) return false;
  }
  return true;
}

// The part of a stream up to its last whole event.
std::string_view WholeEvents(std::string_view body) {
  const std::size_t end = body.rfind("\n\n");
  return end == std::string_view::npos ? std::string_view() : body.substr(0, end + 2);
}

}  // namespace

void Checker::Report(std::string_view rule, const std::string& detail) {
  this->violations.push_back({.rule = std::string(rule), .detail = detail});
}

Checker::Request* Checker::Find(std::string_view attempt_id) {
  const auto found = this->requests.find(attempt_id);
  return found == this->requests.end() ? nullptr : &found->second;
}

void Checker::Disturb(std::string_view part, Instant now, Duration lasts) {
  Instant& until = this->disturbed_until[std::string(part)];
  until = std::max(until, now + lasts + this->options.contact_time);
}

bool Checker::IsCalm(std::string_view part, Instant now) const {
  const auto found = this->disturbed_until.find(part);
  return found == this->disturbed_until.end() || now >= found->second;
}

bool Checker::IsCalmAround(const Request& request, Instant now) const {
  return this->IsCalm(request.sent.entry_vm, now) && this->IsCalm("store", now) &&
         std::all_of(request.ran_at.begin(), request.ran_at.end(),
                     [&](const std::string& upstream) { return this->IsCalm(upstream, now); });
}

void Checker::EntryStops(std::string_view vm, Instant now) {
  this->stopping[std::string(vm)] = now;
}

void Checker::EntryStarted(std::string_view vm) {
  this->stopping.erase(std::string(vm));
  std::erase_if(this->shown, [vm](const auto& row) { return row.first.first == vm; });
}

void Checker::PieceSpoilt(std::string_view upstream, Instant now) {
  this->spoilt[std::string(upstream)] = now;
}

void Checker::RouteMoved(std::string_view route, std::uint64_t version, std::string_view pool,
                         Instant now) {
  this->moves[std::string(route)].push_back(
      {.version = version, .pool = std::string(pool), .at = now});
}

void Checker::Drained(std::string_view upstream, Instant now) {
  this->drained.emplace(upstream, now);
}

void Checker::WeightsNamed(std::uint64_t version, Instant now) { this->weights[version] = now; }

void Checker::Sent(const SentRequest& sent) {
  ++this->counts.sent;
  this->requests[sent.request.attempt_id] = Request{.sent = sent};
}

// ---- callers ----

void Checker::Count(const CallerAnswer& answer) {
  if (answer.state == AnswerState::kAbandoned) {
    ++this->counts.left;
  } else if (answer.state != AnswerState::kComplete) {
    ++this->counts.broken_off;
  } else if (answer.status == 200) {
    ++this->counts.served;
  } else if (PromisesNotRun(answer.status)) {
    ++this->counts.refused;
  } else {
    ++this->counts.unknown;
  }
}

void Checker::Answered(std::string_view attempt_id, const CallerAnswer& answer, Instant now) {
  Request* request = this->Find(attempt_id);
  if (request == nullptr || request->answer) return;
  request->answer = answer;
  request->answered = now;
  this->Count(answer);
  if (answer.state == AnswerState::kAbandoned) {
    request->left = now;
    const Duration limit = request->sent.route.timeout + this->options.answer_slack;
    if (!request->sent.request.cancel_after && answer.status == 0 && answer.took > limit &&
        this->IsCalmAround(*request, now)) {
      this->Report("answer-in-time", std::string(attempt_id) + " got no final answer");
    }
    return;
  }
  if (answer.status == 200) this->CheckSuccess(*request);
  if (answer.state == AnswerState::kComplete && PromisesNotRun(answer.status)) {
    this->CheckRefusal(*request);
  }
  if (answer.status == 404 || answer.status == 401) {
    this->Report("proper-request",
                 std::string(attempt_id) + " was answered " + std::to_string(answer.status));
  }
  if (answer.state != AnswerState::kComplete) this->CheckCut(*request, now);
}

void Checker::CheckSuccess(const Request& request) {
  const std::string& id = request.sent.request.attempt_id;
  const CallerAnswer& answer = *request.answer;
  if (!answer.sealed || answer.attempt_id != id) {
    return this->Report("whole-answer", id + " got a success that is not its upstream's");
  }
  if (request.sent.route.kind != RequestKind::kStream) {
    const bool whole = answer.body == platform::ExpectedBody(id, request.sent.request.body);
    if (answer.state == AnswerState::kComplete && !whole) {
      this->Report("whole-answer", id + " got another body");
    }
    return;
  }
  const bool ended = answer.state == AnswerState::kComplete;
  const std::string_view received = answer.body;
  const std::string_view body = ended ? received : WholeEvents(received);
  const auto numbers = platform::EventNumbers(body, id);
  if (!numbers || !AreConsecutive(*numbers)) {
    return this->Report("stream-order", id + " got events that are no gapless row");
  }
  if (ended && numbers->size() != this->options.events) {
    this->Report("whole-answer",
                 id + " got a stream that ends after event " + std::to_string(numbers->size()));
  }
}

void Checker::CheckRefusal(const Request& request) {
  if (request.runs == 0 || MayRunAgain(request.sent.route)) return;
  this->Report("true-not-run", request.sent.request.attempt_id + " was told " +
                                   std::to_string(request.answer->status) + " and ran");
}

void Checker::CheckCut(const Request& request, Instant now) {
  // What never reached an upstream may have crossed the close of its connection.
  if (request.runs == 0 || !this->stopping.contains(request.sent.entry_vm)) return;
  if (!this->IsCalmAround(request, now)) return;
  this->Report("planned-stop", request.sent.request.attempt_id + " was cut off by the stop of " +
                                   request.sent.entry_vm);
}

// ---- upstreams ----

void Checker::Arrived(const ArrivedRequest& arrived, Instant now) {
  const Request* request = this->Find(arrived.attempt_id);
  if (request == nullptr) {
    return this->Report("asked-for", "nobody sent " + arrived.attempt_id);
  }
  const auto drained = this->drained.find(arrived.upstream);
  const Instant limit =
      drained == this->drained.end() ? Instant::max() : drained->second + this->options.drain_time;
  if (now > limit && request->sent.sent > drained->second + this->options.apply_time &&
      this->IsCalm("store", now) && this->IsCalm(request->sent.entry_vm, now)) {
    this->Report("drained-upstream", arrived.attempt_id + " reached " + arrived.upstream + " " +
                                         std::to_string(ToMillis(now - drained->second)) +
                                         " ms after it was drained");
  }
}

void Checker::Ran(const ArrivedRequest& arrived, Instant now) {
  ++this->counts.runs;
  Request* request = this->Find(arrived.attempt_id);
  if (request == nullptr) return;
  const SentRequest& sent = request->sent;
  ++request->runs;
  ++request->running;
  request->ran_at.insert(arrived.upstream);
  const bool same = arrived.target == sent.request.target && arrived.body == sent.request.body &&
                    arrived.account == sent.account && !arrived.has_api_key;
  if (!same) this->Report("asked-for", arrived.attempt_id + " ran as another request");
  if (request->runs > 1 && !MayRunAgain(sent.route)) {
    this->Report("at-most-once", arrived.attempt_id + " ran again at " + arrived.upstream);
  }
  if (request->ran_at.size() > sent.route.max_attempts) {
    this->Report("attempts", arrived.attempt_id + " ran at too many upstreams");
  }
  const bool refused = request->answer && request->answer->state == AnswerState::kComplete &&
                       PromisesNotRun(request->answer->status);
  if (refused) this->Report("true-not-run", arrived.attempt_id + " ran after its refusal");
  this->CheckRoute(*request, arrived, now);
  this->CheckWeights(*request, arrived, now);
}

void Checker::CheckWeights(const Request& request, const ArrivedRequest& arrived, Instant now) {
  if (arrived.weights_version == 0) return;  // a plain service
  const auto disturbed = this->disturbed_until.find("store");
  const Instant stable_since =
      disturbed == this->disturbed_until.end() ? Instant() : disturbed->second;
  for (const auto& [version, named] : this->weights) {
    const Instant limit = std::max(named, stable_since) + this->options.weights_time;
    if (version <= arrived.weights_version || now <= limit) continue;
    if (!this->IsCalm(request.sent.entry_vm, now)) continue;
    return this->Report("weights-in-time", arrived.attempt_id + " ran on version " +
                                               std::to_string(arrived.weights_version) + " of " +
                                               arrived.upstream);
  }
}

void Checker::CheckRoute(const Request& request, const ArrivedRequest& arrived, Instant now) {
  const auto found = this->moves.find(request.sent.route.name);
  if (found == this->moves.end()) return;
  const std::vector<Move>& moves = found->second;
  // Newest change that sends requests of the route to this pool.
  const auto newest = std::find_if(moves.rbegin(), moves.rend(),
                                   [&](const Move& move) { return move.pool == arrived.pool; });
  if (newest == moves.rend()) {
    return this->Report("route", arrived.attempt_id + " ran in pool " + arrived.pool);
  }
  const std::string& entry = request.sent.entry_vm;
  for (const Move& move : moves) {
    const bool in_force = request.sent.sent > move.at + this->options.apply_time;
    if (in_force && newest->version < move.version && this->IsCalm(entry, now) &&
        this->IsCalm("store", now)) {
      return this->Report("change-in-force", arrived.attempt_id + " ran in pool " + arrived.pool +
                                                 " after version " + std::to_string(move.version));
    }
  }
  auto& [version, at] = this->shown[{entry, request.sent.route.name}];
  if (newest->version < version && request.sent.sent > at + this->options.revert_slack &&
      this->IsCalm(entry, now)) {
    this->Report("no-revert", arrived.attempt_id + " ran at " + entry + " as before version " +
                                  std::to_string(version));
  }
  // The oldest version that explains the pool is taken; a later one with the same pool may be
  // meant.
  const auto known =
      std::find_if(moves.begin(), moves.end(),
                   [version = version](const Move& move) { return move.version == version; });
  if (known != moves.end() && known->pool == arrived.pool) return;
  for (const Move& move : moves) {
    if (move.pool != arrived.pool || move.version <= version) continue;
    version = move.version;
    at = now;
    return;
  }
}

void Checker::RunEnded(std::string_view attempt_id, Instant now) {
  Request* request = this->Find(attempt_id);
  if (request == nullptr || request->running == 0) return;
  --request->running;
  const bool left = request->answer && request->answer->state == AnswerState::kAbandoned;
  if (left && now > request->left + this->options.cancel_slack &&
      this->IsCalmAround(*request, now)) {
    this->Report("cancelled", std::string(attempt_id) + " went on " +
                                  std::to_string(ToMillis(now - request->left)) +
                                  " ms after its caller had left");
  }
}

void Checker::Loaded(std::string_view upstream, std::uint64_t version, bool whole, Instant now) {
  ++this->counts.loads;
  const auto spoilt = this->spoilt.find(upstream);
  const bool excused =
      spoilt != this->spoilt.end() && now < spoilt->second + this->options.spoilt_slack;
  if (whole || excused) return;
  this->Report("whole-weights", std::string(upstream) + " loads version " +
                                    std::to_string(version) + " from pieces that are not whole");
}

std::pair<std::uint64_t, std::uint64_t> Checker::ServedSince(Instant since) const {
  std::uint64_t served = 0;
  std::uint64_t all = 0;
  for (const auto& [id, request] : this->requests) {
    if (request.sent.sent < since || !request.answer) continue;
    if (request.sent.request.cancel_after) continue;
    ++all;
    if (request.answer->state == AnswerState::kComplete && request.answer->status == 200) ++served;
  }
  return {served, all};
}

}  // namespace savory
