#include "gate/gate_driver.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "crashes/crash_notice.h"
#include "gate/upstream_call.h"
#include "gate/upstream_gate.h"
#include "runtime/event_loop.h"
#include "runtime/http_client.h"
#include "runtime/peer_transport.h"
#include "runtime/tcp_probe.h"
#include "runtime/workers.h"
#include "wire/attempt_id.h"

namespace savory {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
// Without attempts a tick only expires records and probes the upstream. Fewer wake-ups keep the
// process within its CPU budget for control work.
constexpr Duration kIdleTickPeriod = std::chrono::milliseconds(100);
// The gate handles an event at least once per kIdleTickPeriod; after a longer gap, the process was
// paused.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);
constexpr Duration kReportPeriod = std::chrono::milliseconds(500);
constexpr Duration kSubscriptionLifetime = std::chrono::seconds(15);
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
// A call that receives no data for this long is aborted. Usually the deadline ends it earlier.
constexpr Duration kUpstreamReadTimeout = std::chrono::seconds(300);
// The transport discards unsent messages when the process exits. A drain waits this long, so that
// the last parts are sent.
constexpr Duration kFlushTime = std::chrono::seconds(1);
constexpr std::size_t kMaxIdleClients = 64;
// Servers close idle connections after about 5 s. A call on a connection that is being closed would
// break off with an unknown outcome.
constexpr Duration kMaxClientIdle = std::chrono::seconds(2);

using SharedBytes = PeerTransport::SharedBytes;

// The request and the stored answer of one attempt.
struct AttemptData {
  wire::AttemptStart start = {};
  std::string body = {};
  std::uint32_t status = 0;
  HttpHeaders headers = {};
  std::map<std::uint32_t, SharedBytes> parts = {};
  std::shared_ptr<UpstreamCall> call = {};
};

struct IdleClient {
  std::unique_ptr<HttpClient> client;
  Instant since;
};

std::vector<Digest> DigestsOf(const google::protobuf::RepeatedPtrField<std::string>& rows) {
  std::vector<Digest> digests;
  for (const std::string& row : rows) digests.push_back(DigestFromRaw(row));
  return digests;
}

Lane LaneOf(bool bulk) { return bulk ? Lane::kBulk : Lane::kControl; }

}  // namespace

GateDriverOptions ReadGateOptions(SettingsReader reader) {
  GateDriverOptions options;
  options.upstream = reader.Address("upstream");
  options.kind = reader.Choice("kind", {"engine", "plain"}, 0) == 0 ? UpstreamKind::kEngine
                                                                    : UpstreamKind::kPlainService;
  const Range bounds = {.low = 1, .high = 4096};
  options.max_running =
      static_cast<int>(reader.Integer("max_running", bounds, options.max_running));
  options.max_queued = static_cast<int>(reader.Integer("max_queued", bounds, options.max_queued));
  return options;
}

struct GateDriver::Impl {
  Node& node;
  GateDriverOptions options;
  UpstreamGate gate;
  std::map<AttemptKey, AttemptData> attempts = {};
  std::map<std::string, Instant> subscribers = {};  // peer -> expiry of the subscription
  std::vector<IdleClient> idle_clients = {};        // most recently used last
  std::vector<std::byte> incoming_part = {};        // payload that OnPart() is handling
  std::function<void()> on_drained = {};
  std::function<void(std::uint64_t)> on_bytes = {};
  bool engine_probing = false;
  bool idle_tick = false;  // the next tick was scheduled with kIdleTickPeriod
  EventLoop::TimerId tick = 0;
  Instant last_fed = this->node.loop.Now();

  Impl(Node& node, GateDriverOptions given)
      : node(node),
        options(std::move(given)),
        gate(UpstreamGateOptions{
            .incarnation = node.identity.incarnation,
            .engine = this->IsEngine(),
            .max_running = static_cast<std::size_t>(this->options.max_running),
            .max_queued = static_cast<std::size_t>(this->options.max_queued)}) {}

  bool IsEngine() const { return this->options.kind == UpstreamKind::kEngine; }

  void Start();
  void Feed(const GateEvent& event);
  void FeedPause(Duration length, Instant now);
  void ScheduleTick();
  void CountBytes(std::size_t bytes) const {
    if (this->on_bytes) this->on_bytes(bytes);
  }

  void OnStart(const wire::Envelope& message, std::span<const std::byte> payload);
  void OnCancel(const wire::Envelope& message);
  void OnQuery(const wire::Envelope& message);
  void OnSubscribe(const wire::Envelope& message);
  void OnHead(const AttemptKey& key, HttpAnswer head);
  void OnPart(const AttemptKey& key, std::vector<std::byte> part);
  void OnEnd(const AttemptKey& key, CallResult result);

  void Do(const CallUpstream& action);
  void Do(const CancelCall& action);
  void Do(const SendPart& action);
  void Do(const SendEnd& action);
  void Do(const SendStatus& action);
  void Do(const DropRequest& action);
  void Do(const DropParts& action);
  void Do(const ProbeUpstream& action);
  void Do(const NotifyCrash& action);
  void Do(const ReportLoad& action);
  void Do(const GateDrained& action);

  BlockingHttpCall BuildCall(const CallUpstream& action, AttemptData& data) const;
  std::unique_ptr<HttpClient> TakeClient();
  void CancelAtEngine(const AttemptKey& key);
  UpstreamProbed Probe() const;
  void SendReport(const std::string& peer);
  wire::LoadReport BuildReport() const;
};

void GateDriver::Impl::Start() {
  PeerTransport& peers = this->node.peers;
  peers.Subscribe(wire::Envelope::kAttemptStart,
                  [this](const wire::Envelope& message, std::span<const std::byte> payload) {
                    this->OnStart(message, payload);
                  });
  peers.Subscribe(wire::Envelope::kAttemptCancel,
                  [this](const wire::Envelope& message, std::span<const std::byte>) {
                    this->OnCancel(message);
                  });
  peers.Subscribe(wire::Envelope::kAttemptQuery,
                  [this](const wire::Envelope& message, std::span<const std::byte>) {
                    this->OnQuery(message);
                  });
  peers.Subscribe(wire::Envelope::kLoadSubscribe,
                  [this](const wire::Envelope& message, std::span<const std::byte>) {
                    this->OnSubscribe(message);
                  });
  this->last_fed = this->node.loop.Now();
  this->ScheduleTick();
  this->node.loop.Every(kReportPeriod, [this] { this->Do(ReportLoad{}); });
}

void GateDriver::Impl::Feed(const GateEvent& event) {
  const Instant now = this->node.loop.Now();
  const Duration gap = now - std::exchange(this->last_fed, now);
  if (gap > kPauseThreshold) this->FeedPause(gap, now);
  for (const GateAction& action : this->gate.Handle(event, now)) {
    std::visit([this](const auto& typed) { this->Do(typed); }, action);
  }
  if (this->idle_tick && !this->gate.IsIdle()) this->ScheduleTick();
}

void GateDriver::Impl::FeedPause(Duration length, Instant now) {
  Log(LogLevel::kWarn, "gate_paused", {{"for_ms", ToMillis(length)}});
  for (const GateAction& action : this->gate.Handle(GatePaused{.length = length}, now)) {
    std::visit([this](const auto& typed) { this->Do(typed); }, action);
  }
}

void GateDriver::Impl::ScheduleTick() {
  this->node.loop.Cancel(this->tick);
  this->idle_tick = this->gate.IsIdle();
  this->tick = this->node.loop.After(this->idle_tick ? kIdleTickPeriod : kTickPeriod, [this] {
    this->idle_tick = false;
    this->Feed(GateTick{});
    this->ScheduleTick();
  });
}

void GateDriver::Impl::OnStart(const wire::Envelope& message, std::span<const std::byte> payload) {
  const wire::AttemptStart& start = message.attempt_start();
  const AttemptKey key = FromWire(start.id());
  this->CountBytes(payload.size());
  AttemptData& data = this->attempts[key];
  // A duplicate start must not overwrite the data of the first one.
  if (data.start.method().empty()) {
    data.start = start;
    data.body = std::string(AsText(payload));
  }
  this->Feed(StartReceived{.id = key,
                           .reply_to = message.from_peer(),
                           .agent_incarnation = start.agent_incarnation(),
                           .manifest = DigestFromRaw(start.manifest()),
                           .time_left = std::chrono::milliseconds(start.deadline_ms()),
                           .priority = start.priority(),
                           .idempotent = start.idempotent(),
                           .fingerprint = DigestFromRaw(start.fingerprint()),
                           .prompt_parts = DigestsOf(start.prompt_parts()),
                           .resume_from = start.resume_from()});
}

void GateDriver::Impl::OnCancel(const wire::Envelope& message) {
  const wire::AttemptCancel& cancel = message.attempt_cancel();
  this->Feed(CancelReceived{.id = FromWire(cancel.id()),
                            .reply_to = message.from_peer(),
                            .agent_incarnation = cancel.agent_incarnation()});
}

void GateDriver::Impl::OnQuery(const wire::Envelope& message) {
  const wire::AttemptQuery& query = message.attempt_query();
  this->Feed(QueryReceived{.id = FromWire(query.id()),
                           .reply_to = message.from_peer(),
                           .agent_incarnation = query.agent_incarnation(),
                           .next_part = query.next_part(),
                           .bulk_lane = query.bulk_lane()});
}

void GateDriver::Impl::OnSubscribe(const wire::Envelope& message) {
  this->subscribers[message.from_peer()] = this->node.loop.Now() + kSubscriptionLifetime;
  this->SendReport(message.from_peer());
}

void GateDriver::Impl::OnHead(const AttemptKey& key, HttpAnswer head) {
  const auto found = this->attempts.find(key);
  if (found == this->attempts.end()) return;
  const Result<Digest> weights = ParseDigest(HeaderValue(head.headers, "X-Weights"));
  found->second.status = static_cast<std::uint32_t>(head.status);
  found->second.headers = std::move(head.headers);
  this->incoming_part.clear();
  this->Feed(HeadReceived{.id = key, .weights = weights.has_value() ? weights.value() : Digest{}});
}

void GateDriver::Impl::OnPart(const AttemptKey& key, std::vector<std::byte> part) {
  const std::size_t bytes = part.size();
  this->CountBytes(bytes);
  this->incoming_part = std::move(part);
  this->Feed(BodyReceived{.id = key, .bytes = bytes});
}

void GateDriver::Impl::OnEnd(const AttemptKey& key, CallResult result) {
  const auto found = this->attempts.find(key);
  if (found != this->attempts.end() && found->second.call) {
    std::unique_ptr<HttpClient> client = found->second.call->TakeClient();
    found->second.call.reset();
    const bool reusable =
        result == CallResult::kComplete && this->idle_clients.size() < kMaxIdleClients;
    if (reusable) this->idle_clients.push_back({std::move(client), this->node.loop.Now()});
  }
  this->Feed(CallEnded{.id = key, .result = result});
}

std::unique_ptr<HttpClient> GateDriver::Impl::TakeClient() {
  const Instant oldest = this->node.loop.Now() - kMaxClientIdle;
  std::erase_if(this->idle_clients,
                [oldest](const IdleClient& idle) { return idle.since < oldest; });
  if (this->idle_clients.empty()) return std::make_unique<HttpClient>(this->options.upstream);
  std::unique_ptr<HttpClient> client = std::move(this->idle_clients.back().client);
  this->idle_clients.pop_back();
  return client;
}

BlockingHttpCall GateDriver::Impl::BuildCall(const CallUpstream& action, AttemptData& data) const {
  BlockingHttpCall call = {.method = data.start.method(),
                           .target = data.start.target(),
                           .body = data.body,
                           .read_timeout = kUpstreamReadTimeout};
  for (const wire::Header& header : data.start.headers()) {
    if (!IsHopByHopHeader(header.name())) call.headers.emplace(header.name(), header.value());
  }
  if (!this->IsEngine()) return call;
  call.method = "POST";
  call.target = "/v1/generate";
  call.headers.emplace("X-Request-Id", action.id.Text());
  call.headers.emplace("X-Priority", std::to_string(action.priority));
  if (action.resume_from > 0) {
    // Part 0 of an attempt is the head. The engine counts body parts only.
    call.headers.emplace("X-Resume-From", std::to_string(action.resume_from - 1));
  }
  return call;
}

void GateDriver::Impl::Do(const CallUpstream& action) {
  AttemptData& data = this->attempts[action.id];
  EventLoop& loop = this->node.loop;
  const AttemptKey key = action.id;
  UpstreamCallListener listener = {
      .on_head =
          [this, &loop, key](HttpAnswer head) {
            loop.Post([this, key, head = std::move(head)]() mutable {
              this->OnHead(key, std::move(head));
            });
          },
      .on_part =
          [this, &loop, key](std::vector<std::byte> part) {
            loop.Post([this, key, part = std::move(part)]() mutable {
              this->OnPart(key, std::move(part));
            });
          },
      .on_end =
          [this, &loop, key](CallResult result) {
            loop.Post([this, key, result] { this->OnEnd(key, result); });
          }};
  data.call = std::make_shared<UpstreamCall>(this->TakeClient(), this->BuildCall(action, data),
                                             std::move(listener));
  this->node.workers.Run([call = data.call] { call->Run(); });
}

void GateDriver::Impl::Do(const CancelCall& action) {
  const auto found = this->attempts.find(action.id);
  if (found == this->attempts.end() || !found->second.call) return;
  found->second.call->Cancel();
  if (this->IsEngine()) this->CancelAtEngine(action.id);
}

void GateDriver::Impl::CancelAtEngine(const AttemptKey& key) {
  this->node.workers.Run([upstream = this->options.upstream, id = key.Text()] {
    HttpClient client(upstream);
    (void)client.Call(BlockingHttpCall{.method = "POST",
                                       .target = "/v1/cancel",
                                       .body = nlohmann::json{{"id", id}}.dump(),
                                       .content_type = "application/json",
                                       .read_timeout = kProbeTimeout});
  });
}

void GateDriver::Impl::Do(const SendPart& action) {
  const auto found = this->attempts.find(action.id);
  if (found == this->attempts.end()) return;
  AttemptData& data = found->second;
  auto part = data.parts.find(action.number);
  if (part == data.parts.end()) {
    auto bytes = std::make_shared<const std::vector<std::byte>>(std::move(this->incoming_part));
    this->incoming_part = {};
    part = data.parts.emplace(action.number, std::move(bytes)).first;
  }
  wire::Envelope envelope;
  wire::AttemptPart& message = *envelope.mutable_attempt_part();
  *message.mutable_id() = ToWire(action.id);
  message.set_number(action.number);
  if (action.number == 0) {
    message.set_status(data.status);
    for (const auto& [name, value] : data.headers) {
      if (IsHopByHopHeader(name) && name != "Content-Length") continue;
      wire::Header& header = *message.add_headers();
      header.set_name(name);
      header.set_value(value);
    }
  }
  const SharedBytes& bytes = part->second;
  this->node.peers.SendShared(action.reply_to, LaneOf(action.bulk_lane), std::move(envelope), bytes,
                              *bytes);
}

void GateDriver::Impl::Do(const SendEnd& action) {
  wire::Envelope envelope;
  wire::AttemptEnd& message = *envelope.mutable_attempt_end();
  *message.mutable_id() = ToWire(action.id);
  message.set_outcome(action.outcome);
  message.set_parts(action.parts);
  message.set_reason(std::string(AnswerFor(action.reason).name));
  this->node.peers.Send(action.reply_to, LaneOf(action.bulk_lane), std::move(envelope));
  this->node.metrics
      .CounterFor("savory_gate_attempts_total",
                  "outcome=\"" + wire::AttemptOutcome_Name(action.outcome) + "\"")
      .Add();
}

void GateDriver::Impl::Do(const SendStatus& action) {
  wire::Envelope envelope;
  wire::AttemptStatus& message = *envelope.mutable_attempt_status();
  *message.mutable_id() = ToWire(action.id);
  message.set_knowledge(action.knowledge);
  message.set_outcome(action.outcome);
  message.set_parts(action.parts);
  this->node.peers.Send(action.reply_to, LaneOf(action.bulk_lane), std::move(envelope));
}

void GateDriver::Impl::Do(const DropRequest& action) {
  const auto found = this->attempts.find(action.id);
  if (found == this->attempts.end()) return;
  if (found->second.parts.empty()) {
    this->attempts.erase(found);
    return;
  }
  found->second.body = {};
}

void GateDriver::Impl::Do(const DropParts& action) {
  const auto found = this->attempts.find(action.id);
  if (found == this->attempts.end()) return;
  std::map<std::uint32_t, SharedBytes>& parts = found->second.parts;
  parts.erase(parts.begin(), parts.lower_bound(action.before));
  if (parts.empty() && !found->second.call) this->attempts.erase(found);
}

UpstreamProbed GateDriver::Impl::Probe() const {
  if (!this->IsEngine()) {
    return UpstreamProbed{.reachable = AcceptsConnections(this->options.upstream, kProbeTimeout)};
  }
  HttpClient client(this->options.upstream);
  const Result<HttpAnswer> answer = client.Call(BlockingHttpCall{
      .target = "/v1/state", .connect_timeout = kProbeTimeout, .read_timeout = kProbeTimeout});
  if (!answer.has_value()) {
    return UpstreamProbed{.reachable = answer.error().kind != ErrorKind::kUnavailable};
  }
  const auto state = nlohmann::json::parse(answer.value().body, nullptr, false);
  if (!state.is_object()) return UpstreamProbed{.reachable = true};
  return UpstreamProbed{.reachable = true, .incarnation = state.value("incarnation", 0UL)};
}

void GateDriver::Impl::Do(const ProbeUpstream&) {
  this->node.workers.RunThen([this] { return this->Probe(); },
                             [this](UpstreamProbed probed) { this->Feed(probed); });
}

void GateDriver::Impl::Do(const NotifyCrash& action) {
  this->node.metrics.CounterFor("savory_gate_upstream_crashes_total").Add();
  wire::Envelope envelope;
  EncodeCrashNotice({.fingerprint = action.fingerprint,
                     .parts = action.prompt_parts,
                     .upstream = this->node.identity.vm,
                     .upstream_incarnation = action.upstream_incarnation},
                    *envelope.mutable_crash_notice());
  for (const auto& [peer, until] : this->subscribers) {
    this->node.peers.Send(peer, Lane::kControl, envelope);
  }
}

wire::LoadReport GateDriver::Impl::BuildReport() const {
  wire::LoadReport report;
  report.set_vm(this->node.identity.vm);
  report.set_incarnation(this->node.identity.incarnation);
  report.set_running(static_cast<std::uint32_t>(this->gate.Running()));
  report.set_queued(static_cast<std::uint32_t>(this->gate.Queued()));
  report.set_ready(this->gate.IsReady());
  report.set_leaving(this->gate.IsLeaving());
  report.set_capacity(static_cast<std::uint32_t>(this->options.max_running));
  const Digest& serving = this->gate.Serving();
  if (!serving.IsZero()) report.set_loaded_manifest(std::string(serving.View()));
  return report;
}

void GateDriver::Impl::SendReport(const std::string& peer) {
  wire::Envelope envelope;
  *envelope.mutable_load_report() = this->BuildReport();
  this->node.peers.Send(peer, Lane::kControl, std::move(envelope));
}

void GateDriver::Impl::Do(const ReportLoad&) {
  const Instant now = this->node.loop.Now();
  std::erase_if(this->subscribers, [now](const auto& row) { return row.second <= now; });
  for (const auto& [peer, until] : this->subscribers) this->SendReport(peer);
}

void GateDriver::Impl::Do(const GateDrained&) {
  Log(LogLevel::kInfo, "gate_drained");
  this->node.loop.After(kFlushTime, [this] {
    if (this->on_drained) this->on_drained();
  });
}

GateDriver::GateDriver(Node& node, GateDriverOptions options)
    : impl(std::make_unique<Impl>(node, std::move(options))) {}

GateDriver::~GateDriver() = default;

void GateDriver::Start() { this->impl->Start(); }

void GateDriver::SetReady(const Digest& serving, bool ready) {
  this->impl->Feed(ReadinessSet{.serving = serving, .ready = ready});
}

bool GateDriver::IsIdle() const { return this->impl->gate.IsIdle(); }

void GateDriver::Drain(std::function<void()> done) {
  this->impl->on_drained = std::move(done);
  Log(LogLevel::kInfo, "gate_draining", {{"running", this->impl->gate.Running()}});
  this->impl->Feed(DrainRequested{});
}

void GateDriver::OnRequestBytes(std::function<void(std::uint64_t bytes)> listener) {
  this->impl->on_bytes = std::move(listener);
}

}  // namespace savory
