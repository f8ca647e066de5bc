#include "routing/entry_driver.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "base/sha256_hasher.h"
#include "claims/claim_driver.h"
#include "crashes/crash_notice.h"
#include "crashes/prompt_parts.h"
#include "crashes/refusal_report.h"
#include "membership/membership_driver.h"
#include "routing/answer_queue.h"
#include "routing/request_flow.h"
#include "routing/request_metrics.h"
#include "runtime/event_loop.h"
#include "runtime/http_server.h"
#include "runtime/peer_transport.h"
#include "runtime/workers.h"
#include "wire/attempt_id.h"

namespace savory {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
// With no request in progress a tick only expires reports and limiter state. Fewer wake-ups keep
// the process within its CPU budget for control work.
constexpr Duration kIdleTickPeriod = std::chrono::milliseconds(100);
constexpr Duration kSubscribePeriod = std::chrono::seconds(5);
// Changes of the member list within this time are applied together.
constexpr Duration kMemberChangeDelay = std::chrono::milliseconds(50);
// How often a waiting thread checks whether its caller has disconnected.
constexpr Duration kConnectionCheckPeriod = std::chrono::seconds(1);
// The HTTP server runs this much longer after the last answer of a drain, so that requests on
// keep-alive connections are answered "draining".
constexpr Duration kMinDrainTime = std::chrono::seconds(1);
// How often a drain checks whether the last answers have been written.
constexpr Duration kAnswersCheckPeriod = std::chrono::milliseconds(50);
// Threads beyond `max_requests`: they serve idle keep-alive connections and refuse excess requests
// with an answer.
constexpr int kSpareThreads = 400;
constexpr std::size_t kAffinityPrefixBytes = 256;
// An answer is recorded for its claim until the recorded body has reached this size.
constexpr std::size_t kMaxRecordedBytes = 64u << 10;
constexpr std::string_view kOutcomeHeader = "X-Savoryrouter-Outcome";

using SharedBytes = PeerTransport::SharedBytes;

LocalAnswer AnswerForError(const Error& error) {
  const ErrorAnswer& row = AnswerFor(error.kind);
  const std::string outcome(OutcomeName(row.outcome));
  const nlohmann::json body = {{"error", row.name}, {"outcome", outcome}, {"detail", error.detail}};
  return LocalAnswer{
      .status = row.http_status,
      .outcome = outcome,
      .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n",
      .retry_after = error.retry_after};
}

// State of a request that is shared by its caller's thread and the event loop. After it has posted
// the request, the caller's thread uses `queue` only.
struct Caller {
  AnswerQueue queue = {};
  std::string target = {};
  HttpHeaders headers = {};
  SharedBytes body = {};
  std::string account = {};
  // Used on the event loop only.
  std::uint32_t status = 0;
  std::string content_type = {};
  bool record_answer = false;
  std::string recorded_body = {};
  Instant last_part_at = {};
};

Digest FingerprintOf(const HttpRequest& request) {
  Sha256Hasher hasher;
  const std::string head = request.method + " " + request.target + "\n";
  hasher.Update(AsBytes(head));
  hasher.Update(AsBytes(request.body));
  return hasher.Finish();
}

std::optional<Duration> ParseDeadline(const HttpHeaders& headers) {
  const std::string text(HeaderValue(headers, "X-Deadline-Ms"));
  if (text.empty()) return std::nullopt;
  return std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
}

RequestArrived ParseRequest(RequestId id, const HttpRequest& request) {
  RequestArrived arrived = {
      .id = id,
      .account = std::string(HeaderValue(request.headers, "X-Account")),
      .method = request.method,
      .path = request.path,
      .idempotency_key = std::string(HeaderValue(request.headers, "Idempotency-Key")),
      .deadline = ParseDeadline(request.headers),
      .non_idempotent = HeaderValue(request.headers, "X-Non-Idempotent") == "true",
      .fingerprint = FingerprintOf(request),
      .prompt_parts =
          PromptPartDigests(SharedPromptParts(HeaderValue(request.headers, "X-Prompt-Parts"))),
      .affinity = request.body.substr(0, kAffinityPrefixBytes)};
  arrived.claim_key = ClaimDriver::KeyOf(arrived.account, arrived.idempotency_key);
  return arrived;
}

HttpReply ToHttpReply(const LocalAnswer& answer) {
  HttpReply reply = {
      .status = answer.status, .content_type = answer.content_type, .body = answer.body};
  reply.headers.emplace(kOutcomeHeader, answer.outcome);
  if (answer.retry_after.has_value()) {
    const auto seconds = (ToMillis(*answer.retry_after) + 999) / 1000;
    reply.headers.emplace("Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)));
  }
  return reply;
}

}  // namespace

EntryDriverOptions ReadEntryOptions(SettingsReader reader) {
  EntryDriverOptions options;
  const Range streams = {.low = 1, .high = 4096};
  options.max_requests =
      static_cast<int>(reader.Integer("max_streams", streams, options.max_requests));
  const Range millis = {.low = 1, .high = 60'000};
  const auto duration = [&reader, &millis](std::string_view key, Duration fallback) {
    return Duration(std::chrono::milliseconds(reader.Integer(key, millis, ToMillis(fallback))));
  };
  options.silence_timeout = duration("silence_ms", options.silence_timeout);
  options.retry_backoff = duration("retry_backoff_ms", options.retry_backoff);
  options.retry_budget = reader.Number("retry_budget", {.low = 0, .high = 1}, options.retry_budget);
  const Range picks = {.low = 1, .high = 1000};
  options.entries_per_agent =
      static_cast<std::uint32_t>(reader.Integer("agents_pick", picks, options.entries_per_agent));
  options.min_agents_per_pool =
      static_cast<std::uint32_t>(reader.Integer("own_pick", picks, options.min_agents_per_pool));
  return options;
}

struct EntryDriver::Impl {
  Node& node;
  MembershipDriver& members;
  ClaimDriver& claims;
  EntryDriverOptions options;
  RequestFlow flow;
  RequestMetrics request_metrics;
  std::unique_ptr<HttpServer> server = {};
  std::map<RequestId, std::shared_ptr<Caller>> callers = {};
  std::set<std::string> subscribed = {};  // peers
  std::function<void()> on_drained = {};
  bool members_pending = false;
  bool idle_tick = false;  // the next tick was scheduled with kIdleTickPeriod
  EventLoop::TimerId tick = 0;
  // The message and payload that OnPart() is handling.
  const wire::AttemptPart* current_part = nullptr;
  std::span<const std::byte> current_payload = {};
  // Used on the callers' threads.
  std::atomic<RequestId> next_request = 1;
  std::atomic<int> in_progress = 0;
  std::atomic<int> unwritten_answers = 0;  // that have begun and are not written to the end

  Impl(Node& node, MembershipDriver& members, ClaimDriver& claims, EntryDriverOptions given)
      : node(node),
        members(members),
        claims(claims),
        options(std::move(given)),
        flow(RequestFlowOptions{.vm = node.identity.vm,
                                .incarnation = node.identity.incarnation,
                                .balancer = {.vm = node.identity.vm,
                                             .entries_per_agent = this->options.entries_per_agent,
                                             .min_agents_per_pool =
                                                 this->options.min_agents_per_pool},
                                .budget = {.ratio = this->options.retry_budget},
                                .silence_timeout = this->options.silence_timeout,
                                .retry_backoff = this->options.retry_backoff},
             node.random),
        request_metrics(node.metrics) {}

  void Start();
  void RegisterMessageHandlers();
  void Feed(const RequestEvent& event);
  void ScheduleTick();

  // On the callers' threads.
  HttpReply Serve(const HttpRequest& request);
  HttpReply AwaitReply(RequestId id, const HttpRequest& request,
                       const std::shared_ptr<Caller>& caller);
  HttpReply StreamReply(RequestId id, const HttpRequest& request,
                        const std::shared_ptr<Caller>& caller, const AnswerHead& head);
  bool StreamBody(RequestId id, const HttpRequest& request, Caller& caller, const HttpSink& sink);
  std::optional<AnswerItem> NextItem(RequestId id, const HttpRequest& request, Caller& caller);
  void PostDisconnect(RequestId id);

  void OnMembersChanged();
  void SubscribeToAgents(bool all);
  void OnPart(const wire::Envelope& message, std::span<const std::byte> bytes);
  void OnEnd(const wire::Envelope& message);
  void OnStatus(const wire::Envelope& message);
  void OnReport(const wire::Envelope& message);
  void OnCrash(const wire::Envelope& message);

  void Do(const StartAttempt& action);
  void Do(const CancelAttempt& action);
  void Do(const QueryAttempt& action);
  void Do(const DeliverPart& action);
  void Do(const CompleteAnswer& action);
  void Do(const AbortAnswer& action);
  void Do(const AnswerWithError& action);
  void Do(const AnswerFromClaim& action);
  void Do(const WriteClaim& action);
  void Do(const FinishClaim& action);
  void Do(const ReleaseClaim& action);
  void Do(const MeasureRequest& action);
  void Do(const CrashForward& action);
  void Do(const FlowDrained& action);

  void DeliverHead(Caller& caller);
  void Push(RequestId id, AnswerItem item);
  void CountDroppedSend() {
    this->node.metrics.CounterFor("savory_request_sends_dropped_total").Add();
  }
};

void EntryDriver::Impl::Start() {
  this->RegisterMessageHandlers();
  this->members.OnChange([this] {
    if (std::exchange(this->members_pending, true)) return;
    this->node.loop.After(kMemberChangeDelay, [this] { this->OnMembersChanged(); });
  });
  this->OnMembersChanged();
  this->ScheduleTick();
  this->node.loop.Every(kSubscribePeriod, [this] { this->SubscribeToAgents(true); });
  this->server = std::make_unique<HttpServer>(HttpServerOptions{
      .listen = this->options.http, .max_connections = this->options.max_requests + kSpareThreads});
  this->server->Handle("*", ".*",
                       [this](const HttpRequest& request) { return this->Serve(request); });
  this->server->Start();
}

void EntryDriver::Impl::RegisterMessageHandlers() {
  PeerTransport& peers = this->node.peers;
  peers.Subscribe(wire::Envelope::kAttemptPart,
                  [this](const wire::Envelope& message, std::span<const std::byte> bytes) {
                    this->OnPart(message, bytes);
                  });
  const auto subscribe = [this, &peers](int body_case,
                                        void (Impl::*handler)(const wire::Envelope&)) {
    peers.Subscribe(body_case, [this, handler](const wire::Envelope& message, auto) {
      (this->*handler)(message);
    });
  };
  subscribe(wire::Envelope::kAttemptEnd, &Impl::OnEnd);
  subscribe(wire::Envelope::kAttemptStatus, &Impl::OnStatus);
  subscribe(wire::Envelope::kLoadReport, &Impl::OnReport);
  subscribe(wire::Envelope::kCrashNotice, &Impl::OnCrash);
}

void EntryDriver::Impl::Feed(const RequestEvent& event) {
  for (const RequestAction& action : this->flow.Handle(event, this->node.loop.Now())) {
    std::visit([this](const auto& typed) { this->Do(typed); }, action);
  }
  if (this->idle_tick && this->flow.InProgress() > 0) this->ScheduleTick();
}

void EntryDriver::Impl::ScheduleTick() {
  this->node.loop.Cancel(this->tick);
  this->idle_tick = this->flow.InProgress() == 0;
  this->tick = this->node.loop.After(this->idle_tick ? kIdleTickPeriod : kTickPeriod, [this] {
    this->idle_tick = false;
    this->Feed(FlowTick{});
    this->ScheduleTick();
  });
}

// ---- callers' threads ----

HttpReply EntryDriver::Impl::Serve(const HttpRequest& request) {
  const RequestId id = this->next_request.fetch_add(1);
  if (this->in_progress.fetch_add(1) >= this->options.max_requests) {
    this->in_progress.fetch_sub(1);
    return ToHttpReply(AnswerForError({.kind = ErrorKind::kOverloaded,
                                       .detail = "too many requests in progress at this entry",
                                       .retry_after = std::chrono::seconds(1)}));
  }
  auto caller = std::make_shared<Caller>();
  caller->target = request.target;
  caller->headers = request.headers;
  const auto body = AsBytes(request.body);
  caller->body = std::make_shared<const std::vector<std::byte>>(body.begin(), body.end());
  RequestArrived arrived = ParseRequest(id, request);
  caller->account = arrived.account;
  caller->record_answer = !arrived.idempotency_key.empty();
  this->node.loop.Post([this, caller, arrived = std::move(arrived)] {
    this->callers.emplace(arrived.id, caller);
    this->Feed(arrived);
  });
  return this->AwaitReply(id, request, caller);
}

std::optional<AnswerItem> EntryDriver::Impl::NextItem(RequestId id, const HttpRequest& request,
                                                      Caller& caller) {
  while (true) {
    std::optional<AnswerItem> item = caller.queue.Pop(kConnectionCheckPeriod);
    if (item.has_value()) return item;
    if (!request.is_connected || request.is_connected()) continue;
    this->PostDisconnect(id);
    return std::nullopt;
  }
}

void EntryDriver::Impl::PostDisconnect(RequestId id) {
  this->node.loop.Post([this, id] { this->Feed(CallerDisconnected{.id = id}); });
}

HttpReply EntryDriver::Impl::AwaitReply(RequestId id, const HttpRequest& request,
                                        const std::shared_ptr<Caller>& caller) {
  const std::optional<AnswerItem> item = this->NextItem(id, request, *caller);
  if (item.has_value()) {
    if (const auto* head = std::get_if<AnswerHead>(&*item)) {
      return this->StreamReply(id, request, caller, *head);
    }
  }
  this->in_progress.fetch_sub(1);
  if (item.has_value()) {
    if (const auto* local = std::get_if<LocalAnswer>(&*item)) return ToHttpReply(*local);
  }
  return ToHttpReply(
      AnswerForError({.kind = ErrorKind::kCancelled, .detail = "the caller hung up"}));
}

HttpReply EntryDriver::Impl::StreamReply(RequestId id, const HttpRequest& request,
                                         const std::shared_ptr<Caller>& caller,
                                         const AnswerHead& head) {
  HttpReply reply = {.status = static_cast<int>(head.status)};
  reply.content_type = std::string(HeaderValue(head.headers, "Content-Type"));
  for (const auto& [name, value] : head.headers) {
    if (!IsHopByHopHeader(name) && strcasecmp(name.c_str(), "Content-Type") != 0) {
      reply.headers.emplace(name, value);
    }
  }
  reply.headers.erase(std::string(kOutcomeHeader));
  reply.headers.emplace(kOutcomeHeader, OutcomeName(RunOutcome::kAnswered));
  const std::string length(HeaderValue(head.headers, "Content-Length"));
  reply.stream_length = std::strtoull(length.c_str(), nullptr, 10);
  this->unwritten_answers.fetch_add(1);
  const auto release = [this](void*) {
    this->in_progress.fetch_sub(1);
    this->unwritten_answers.fetch_sub(1);
  };
  const std::shared_ptr<void> guard(static_cast<void*>(this), release);
  const bool empty = (!length.empty() && reply.stream_length == 0) || head.status == 204 ||
                     head.status == 304 || request.method == "HEAD";
  if (empty) {
    // No body follows, but wait for the end of the answer. Whether it broke off is ignored.
    (void)this->StreamBody(id, request, *caller, [](auto) { return true; });
    reply.stream_length = 0;
    return reply;
  }
  reply.stream = [this, id, request, caller, guard](const HttpSink& sink) {
    return this->StreamBody(id, request, *caller, sink);
  };
  return reply;
}

bool EntryDriver::Impl::StreamBody(RequestId id, const HttpRequest& request, Caller& caller,
                                   const HttpSink& sink) {
  while (true) {
    const std::optional<AnswerItem> item = this->NextItem(id, request, caller);
    if (!item.has_value()) return false;
    if (std::holds_alternative<AnswerDone>(*item)) return true;
    const auto* part = std::get_if<AnswerBytes>(&*item);
    if (part == nullptr) return false;
    if (sink(part->bytes)) continue;
    this->PostDisconnect(id);
    return false;
  }
}

// ---- members and agents ----

void EntryDriver::Impl::OnMembersChanged() {
  this->members_pending = false;
  this->Feed(MembersChanged{.members = this->members.Members()});
  this->SubscribeToAgents(false);
}

void EntryDriver::Impl::SubscribeToAgents(bool all) {
  std::set<std::string> peers;
  for (const auto& [vm, peer] : this->flow.GetBalancer().Subset()) peers.insert(peer);
  for (const std::string& peer : peers) {
    if (!all && this->subscribed.contains(peer)) continue;
    wire::Envelope envelope;
    envelope.mutable_load_subscribe();
    this->node.peers.Send(peer, Lane::kControl, std::move(envelope));
  }
  this->subscribed = std::move(peers);
}

void EntryDriver::Impl::OnPart(const wire::Envelope& message, std::span<const std::byte> bytes) {
  this->current_part = &message.attempt_part();
  this->current_payload = bytes;
  this->Feed(PartArrived{.attempt = FromWire(this->current_part->id()),
                         .number = this->current_part->number(),
                         .status = this->current_part->status()});
  this->current_part = nullptr;
  this->current_payload = {};
}

void EntryDriver::Impl::OnEnd(const wire::Envelope& message) {
  const wire::AttemptEnd& end = message.attempt_end();
  this->Feed(EndArrived{.attempt = FromWire(end.id()),
                        .outcome = end.outcome(),
                        .parts = end.parts(),
                        .reason = end.reason()});
}

void EntryDriver::Impl::OnStatus(const wire::Envelope& message) {
  const wire::AttemptStatus& status = message.attempt_status();
  this->Feed(StatusArrived{.attempt = FromWire(status.id()),
                           .knowledge = status.knowledge(),
                           .outcome = status.outcome(),
                           .parts = status.parts()});
}

void EntryDriver::Impl::OnReport(const wire::Envelope& message) {
  const wire::LoadReport& report = message.load_report();
  this->Feed(ReportArrived{.report = {.vm = report.vm(),
                                      .incarnation = report.incarnation(),
                                      .running = report.running(),
                                      .queued = report.queued(),
                                      .capacity = report.capacity(),
                                      .ready = report.ready(),
                                      .leaving = report.leaving(),
                                      .loaded_manifest = DigestFromRaw(report.loaded_manifest())}});
}

void EntryDriver::Impl::OnCrash(const wire::Envelope& message) {
  this->Feed(CrashNoticed{.record = DecodeCrashNotice(message.crash_notice())});
}

// ---- actions ----

void EntryDriver::Impl::Do(const StartAttempt& action) {
  const auto found = this->callers.find(action.request);
  if (found == this->callers.end()) return;
  const Caller& caller = *found->second;
  wire::Envelope envelope;
  wire::AttemptStart& start = *envelope.mutable_attempt_start();
  *start.mutable_id() = ToWire(action.attempt);
  start.set_agent_incarnation(action.agent.incarnation);
  start.set_pool(action.pool);
  if (!action.agent.manifest.IsZero()) {
    start.set_manifest(std::string(action.agent.manifest.View()));
  }
  start.set_method(action.method);
  start.set_target(caller.target);
  for (const auto& [name, value] : caller.headers) {
    if (IsHopByHopHeader(name)) continue;
    wire::Header& header = *start.add_headers();
    header.set_name(name);
    header.set_value(value);
  }
  start.set_deadline_ms(
      static_cast<std::uint32_t>(std::max<std::int64_t>(ToMillis(action.time_left), 0)));
  start.set_priority(action.priority);
  start.set_idempotent(action.idempotent);
  start.set_fingerprint(std::string(action.fingerprint.View()));
  for (const Digest& part : action.prompt_parts) start.add_prompt_parts(std::string(part.View()));
  start.set_account(action.account);
  start.set_resume_from(action.resume_from);
  const bool sent = this->node.peers.SendShared(action.agent.peer, Lane::kControl,
                                                std::move(envelope), caller.body, *caller.body);
  if (sent) return;
  this->CountDroppedSend();
  this->Feed(StartDropped{.attempt = action.attempt});
}

void EntryDriver::Impl::Do(const CancelAttempt& action) {
  wire::Envelope envelope;
  wire::AttemptCancel& cancel = *envelope.mutable_attempt_cancel();
  *cancel.mutable_id() = ToWire(action.attempt);
  cancel.set_agent_incarnation(action.agent_incarnation);
  this->node.peers.Send(action.peer, Lane::kControl, std::move(envelope));
}

void EntryDriver::Impl::Do(const QueryAttempt& action) {
  wire::Envelope envelope;
  wire::AttemptQuery& query = *envelope.mutable_attempt_query();
  *query.mutable_id() = ToWire(action.attempt);
  query.set_agent_incarnation(action.agent_incarnation);
  query.set_next_part(action.next_part);
  query.set_bulk_lane(action.bulk_lane);
  this->node.metrics.CounterFor("savory_request_queries_total").Add();
  this->node.peers.Send(action.peer, action.bulk_lane ? Lane::kBulk : Lane::kControl,
                        std::move(envelope));
}

void EntryDriver::Impl::Push(RequestId id, AnswerItem item) {
  const auto found = this->callers.find(id);
  if (found == this->callers.end()) return;
  if (found->second->queue.Push(std::move(item))) return;
  // The caller reads too slowly. Its answer is aborted after the bytes that are already queued.
  found->second->queue.Push(AnswerAborted{});
  this->node.metrics.CounterFor("savory_request_slow_callers_total").Add();
  this->node.loop.Post([this, id] { this->Feed(CallerDisconnected{.id = id}); });
}

void EntryDriver::Impl::DeliverHead(Caller& caller) {
  caller.status = this->current_part->status();
  AnswerHead head = {.status = caller.status};
  for (const wire::Header& header : this->current_part->headers()) {
    head.headers.emplace(header.name(), header.value());
  }
  caller.content_type = std::string(HeaderValue(head.headers, "Content-Type"));
  caller.last_part_at = this->node.loop.Now();
  caller.queue.Push(std::move(head));
}

void EntryDriver::Impl::Do(const DeliverPart& action) {
  const auto found = this->callers.find(action.request);
  if (found == this->callers.end()) return;
  Caller& caller = *found->second;
  if (action.number == 0) this->DeliverHead(caller);
  if (this->current_payload.empty()) return;
  const Instant now = this->node.loop.Now();
  if (action.number > 1) {
    this->request_metrics.AddPartGap(caller.account, action.request_class,
                                     now - caller.last_part_at);
  }
  caller.last_part_at = now;
  if (caller.record_answer && caller.recorded_body.size() < kMaxRecordedBytes) {
    caller.recorded_body += AsText(this->current_payload);
  }
  this->Push(action.request,
             AnswerBytes{.bytes = {this->current_payload.begin(), this->current_payload.end()}});
}

void EntryDriver::Impl::Do(const CompleteAnswer& action) {
  this->Push(action.request, AnswerDone{});
}

void EntryDriver::Impl::Do(const AbortAnswer& action) {
  this->Push(action.request, AnswerAborted{});
}

void EntryDriver::Impl::Do(const AnswerWithError& action) {
  this->Push(action.request, AnswerForError(action.error));
}

void EntryDriver::Impl::Do(const AnswerFromClaim& action) {
  this->Push(action.request, LocalAnswer{.status = static_cast<int>(action.status),
                                         .content_type = action.content_type,
                                         .outcome = std::string(OutcomeName(RunOutcome::kAnswered)),
                                         .body = action.body});
}

void EntryDriver::Impl::Do(const WriteClaim& action) {
  const auto done = [this, id = action.request](Result<ClaimAnswer> answer) {
    ClaimSettled settled = {.id = id};
    if (!answer.has_value()) {
      settled.error = answer.error();
    } else if (const auto* granted = std::get_if<ClaimGranted>(&answer.value())) {
      settled.nonce = granted->nonce;
    } else {
      settled.found = std::get<ClaimFound>(answer.value()).claim;
    }
    this->Feed(settled);
  };
  if (action.replaced.has_value()) {
    this->claims.Replace(action.claim, *action.replaced, done);
    return;
  }
  this->claims.Claim(action.claim, done);
}

void EntryDriver::Impl::Do(const FinishClaim& action) {
  const auto found = this->callers.find(action.request);
  if (found == this->callers.end()) return;
  const Caller& caller = *found->second;
  this->claims.Finish(action.key, action.nonce,
                      RecordedAnswer{.status = caller.status,
                                     .content_type = caller.content_type,
                                     .body = caller.recorded_body});
}

void EntryDriver::Impl::Do(const ReleaseClaim& action) {
  this->claims.Release(action.key, action.nonce);
}

void EntryDriver::Impl::Do(const MeasureRequest& action) {
  this->request_metrics.Add(action);
  this->callers.erase(action.request);
}

void EntryDriver::Impl::Do(const CrashForward& action) {
  wire::Envelope envelope;
  EncodeCrashNotice(action.record, *envelope.mutable_crash_notice());
  this->node.peers.Send(action.peer, Lane::kControl, std::move(envelope));
}

// A stopped server closes a connection after its answer. If the caller's next request waits there
// unread, the system resets the connection and throws away the end of the answer.
void EntryDriver::Impl::Do(const FlowDrained& action) {
  if (this->unwritten_answers.load() > 0) {
    this->node.loop.After(kAnswersCheckPeriod, [this, action] { this->Do(action); });
    return;
  }
  Log(LogLevel::kInfo, "answers_written");
  this->node.loop.After(kMinDrainTime, [this] {
    this->node.workers.RunThen(
        [this] {
          this->server->Stop();
          return true;
        },
        [this](bool) { this->on_drained(); });
  });
}

EntryDriver::EntryDriver(Node& node, MembershipDriver& members, ClaimDriver& claims,
                         EntryDriverOptions options)
    : impl(std::make_unique<Impl>(node, members, claims, std::move(options))) {}

EntryDriver::~EntryDriver() = default;

void EntryDriver::Start() { this->impl->Start(); }

void EntryDriver::ApplyTables(const wire::Tables& tables) {
  std::set<std::string> accounts;
  for (const wire::Route& route : tables.routes()) {
    for (const wire::AccountLimit& limit : route.limits()) accounts.insert(limit.account());
  }
  this->impl->request_metrics.SetAccounts(std::move(accounts));
  this->impl->Feed(TablesChanged{.tables = tables});
  this->impl->SubscribeToAgents(false);
}

std::string EntryDriver::RenderRefusals() const {
  const auto no_ids = [](const CrashCause&) { return std::string(); };
  return savory::RenderRefusals(this->impl->flow.Crashes(), no_ids, this->impl->node.loop.Now());
}

bool EntryDriver::LiftRefusal(std::string_view cause_name) {
  const auto refusal =
      FindRefusal(this->impl->flow.Crashes(), cause_name, this->impl->node.loop.Now());
  if (!refusal) return false;
  Log(LogLevel::kWarn, "refusal_lifted", {{"cause", cause_name}});
  this->impl->Feed(savory::LiftRefusal{.all_of = refusal->cause.all_of});
  return true;
}

void EntryDriver::Drain(std::function<void()> done) {
  this->impl->on_drained = std::move(done);
  Log(LogLevel::kInfo, "entry_draining", {{"requests", this->impl->flow.InProgress()}});
  this->impl->Feed(StopAccepting{});
}

}  // namespace savory
