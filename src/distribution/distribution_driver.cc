#include "distribution/distribution_driver.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "base/metrics.h"
#include "distribution/chunk_store.h"
#include "distribution/engine_client.h"
#include "distribution/load_controller.h"
#include "distribution/manifest_fetch.h"
#include "distribution/origin_client.h"
#include "distribution/spread_transport.h"
#include "distribution/weights_server.h"
#include "membership/membership_driver.h"
#include "runtime/event_loop.h"
#include "runtime/kv_client.h"
#include "runtime/peer_transport.h"
#include "runtime/workers.h"
#include "tables/pool_members.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kActiveTick = milliseconds(5);
constexpr Duration kIdleTick = milliseconds(250);
constexpr Duration kEnginePollActive = milliseconds(100);
constexpr Duration kEnginePollIdle = seconds(1);
// Time within which a newly started process learns the members.
constexpr Duration kMemberGrace = seconds(3);
constexpr std::size_t kMaxManifestWaiters = 32;

struct Counters {
  explicit Counters(Metrics& metrics)
      : bytes(metrics.GaugeFor("savory_weights_bytes")),
        total_bytes(metrics.GaugeFor("savory_weights_total_bytes")),
        phase(metrics.GaugeFor("savory_rollout_phase")),
        origin_bytes(metrics.CounterFor("savory_origin_bytes_total")),
        origin_errors(metrics.CounterFor("savory_origin_read_errors_total")),
        corrupt(metrics.CounterFor("savory_chunks_corrupt_total")),
        loads(metrics.CounterFor("savory_load_orders_total")) {}

  Gauge& bytes;
  Gauge& total_bytes;
  Gauge& phase;
  Counter& origin_bytes;
  Counter& origin_errors;
  Counter& corrupt;
  Counter& loads;
};

// A suspected agent counts as live.
bool IsLiveAgentOf(const Member& member, const wire::Pool& pool) {
  if (member.role != MemberRole::kAgent) return false;
  if (member.state != MemberState::kAlive && member.state != MemberState::kSuspect) return false;
  return IsPoolMember(pool, member.vm, member.service);
}

SpreadOptions SpreadOptionsOf(const NodeIdentity& identity,
                              const DistributionDriverOptions& options) {
  return SpreadOptions{.vm = identity.vm,
                       .region = identity.region,
                       .origin_region = options.origin_region,
                       .strategy = options.strategy,
                       .link_bytes_per_second = options.link_bytes_per_second,
                       .weights_share = options.weights_share,
                       .inter_region_bytes_per_second = options.inter_region_bytes_per_second,
                       .takeover_time = options.takeover_time,
                       .takeover_origin_bytes = options.takeover_origin_bytes};
}

std::string_view LoadResponseName(LoadResponse response) {
  switch (response) {
    case LoadResponse::kAccepted:
      return "accepted";
    case LoadResponse::kStaleFence:
      return "stale-fence";
    case LoadResponse::kRefused:
      return "refused";
    case LoadResponse::kNotSent:
      return "not-sent";
    case LoadResponse::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// Verifies chunks on worker threads.
ChunkVerifier VerifyOn(Workers& workers) {
  return [&workers](std::shared_ptr<const Manifest> manifest, std::uint32_t chunk,
                    SharedChunk bytes, std::function<void(std::optional<VerifiedChunk>)> done) {
    workers.RunThen(
        [manifest = std::move(manifest), chunk, bytes = std::move(bytes)] {
          return VerifiedChunk::Verify(*manifest, chunk, bytes);
        },
        std::move(done));
  };
}

}  // namespace

struct DistributionDriver::Impl {
  Node& node;
  MembershipDriver& members;
  DistributionDriverOptions options;
  Counters counters;
  ChunkStore store;
  ChunkSpreader spreader;
  SpreadTransport transport;
  ManifestFetch fetch;
  LoadController load_controller;
  OriginClient origin;
  EngineClient engine;
  WeightsServer server = {};
  std::size_t published = 0;  // number of versions last passed to `server`
  wire::Pool pool = {};
  Digest wanted = {};
  std::vector<SpreadPeer> pool_members = {};
  std::set<std::string> manifest_waiters = {};    // peers that requested the wanted manifest
  std::shared_ptr<const Manifest> manifest = {};  // of `wanted`, once it has arrived
  std::set<Digest> accepted = {};                 // versions that the engine may serve
  bool engine_seen = false;                       // the engine has reported its state once
  std::optional<EngineReported> engine_state = {};
  Digest serving = {};
  bool ready = false;
  bool stopped = false;
  std::string origin_error = {};
  std::string mismatch_etag = {};
  std::uint64_t request_bytes = 0;
  Instant next_engine_poll = {};
  Instant started = {};
  EventLoop::TimerId timer = 0;
  bool timer_is_active = false;
  RolloutPhase logged_phase = RolloutPhase::kIdle;
  std::function<void(const Digest&, bool)> ready_listener = {};
  std::function<bool()> idle_check = [] { return true; };
  // Expires with the driver; replies that arrive later are dropped.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  Impl(Node& node, MembershipDriver& members, DistributionDriverOptions given)
      : node(node),
        members(members),
        options(std::move(given)),
        counters(node.metrics),
        store(this->options.memory_bytes),
        spreader(SpreadOptionsOf(node.identity, this->options), this->store, node.random),
        transport(node.peers, node.metrics, this->store, VerifyOn(node.workers)),
        fetch(ManifestFetchOptions{.vm = node.identity.vm,
                                   .region = node.identity.region,
                                   .origin_region = this->options.origin_region,
                                   .always_from_origin =
                                       this->options.strategy == SpreadStrategy::kOriginOnly},
              node.random),
        load_controller(LoadControllerOptions{.vm = node.identity.vm,
                                              .lease_ttl = this->options.lease_ttl,
                                              .renew_every = this->options.lease_ttl * 3 / 10,
                                              .lease_margin = this->options.lease_ttl / 10},
                        node.random),
        origin(node.workers, this->options.origin),
        engine(node.workers, this->options.engine, this->options.weights_address) {}

  Instant Now() const { return MonotonicClock::now(); }

  // Wraps a callback so that it does nothing once the driver is gone.
  template <typename Callback>
  auto Guarded(Callback callback) {
    return [guard = std::weak_ptr(this->alive), callback = std::move(callback)](auto&&... args) {
      if (!guard.expired()) callback(std::forward<decltype(args)>(args)...);
    };
  }

  // ---- spreader ----

  void HandleSpreadEvent(const SpreadEvent& event) {
    for (SpreadAction& action : this->spreader.Handle(this->Now(), event)) {
      std::visit([this](auto& item) { this->Do(item); }, action);
    }
    if (this->spreader.IsActive() && !this->timer_is_active) this->ScheduleTick();
  }

  template <typename Message>
  void Do(const Message& action) {
    this->transport.Send(action);
  }

  void Do(const ReadOrigin& action) {
    const auto done = [this, manifest = this->manifest, chunk = action.chunk](OriginRead read) {
      this->OnOriginRead(*manifest, chunk, std::move(read));
    };
    this->origin.ReadChunk(this->manifest, action.chunk, this->Guarded(done));
  }

  void OnOriginRead(const Manifest& read_manifest, std::uint32_t chunk, OriginRead read) {
    this->counters.origin_bytes.Add(read.bytes);
    if (read.chunk) {
      this->HandleSpreadEvent(OriginChunkRead{.chunk = std::move(*read.chunk)});
      return;
    }
    this->counters.origin_errors.Add();
    const Digest& id = read_manifest.Id();
    if (read.error->kind == ErrorKind::kRateLimitedByStore) {
      this->HandleSpreadEvent(
          OriginThrottled{.manifest = id, .chunk = chunk, .retry_after = *read.error->retry_after});
    } else if (read.error->kind == ErrorKind::kDigestMismatch) {
      this->mismatch_etag = read.etag;
      this->origin_error = "the origin does not hold the pinned weights: " + read.error->detail;
      this->HandleSpreadEvent(OriginMismatch{.manifest = id, .chunk = chunk});
    } else {
      this->HandleSpreadEvent(OriginFailed{.manifest = id, .chunk = chunk});
    }
  }

  void Do(const ProbeOrigin&) {
    const auto done = [this](const Result<std::string>& etag) {
      // Without an ETag only another read shows whether the content changed.
      const bool changed = etag && (etag.value().empty() || etag.value() != this->mismatch_etag);
      this->HandleSpreadEvent(OriginProbed{.changed = changed});
    };
    this->origin.ReadETag(this->manifest->WeightsName(), this->Guarded(done));
  }

  void Do(const CopyStopped&) { this->stopped = true; }
  void Do(const CopyResumed&) { this->stopped = false; }

  // This driver does not probe its link, so it ignores transfer times.
  void Do(const ChunkTransferTimed&) {}
  void Do(const CopyComplete&) {
    this->stopped = false;
    this->Publish();
    this->HandleLoadEvent(WeightsComplete{.manifest = this->wanted});
  }

  // ---- messages of peers ----

  void Subscribe() {
    this->transport.SetOrigin(this->options.origin);
    this->On(wire::Envelope::kManifestPull,
             [this](const auto& message, auto) { this->OnManifestPull(message); });
    this->On(wire::Envelope::kManifestPush,
             [this](const auto& message, auto) { this->OnManifestPush(message.manifest_push()); });
    this->transport.Start(
        this->Guarded([this](const SpreadEvent& event) { this->HandleSpreadEvent(event); }));
  }

  void On(int body, PeerTransport::Handler handler) {
    this->node.peers.Subscribe(body, this->Guarded(std::move(handler)));
  }

  // ---- manifest ----

  void FetchManifest() {
    for (const ManifestAction& action : this->fetch.Tick(this->Now())) {
      if (const auto* pull = std::get_if<PullManifest>(&action)) {
        wire::Envelope message;
        message.mutable_manifest_pull()->set_manifest(std::string(this->wanted.View()));
        this->node.peers.Send(pull->peer, Lane::kControl, std::move(message));
      } else {
        this->ReadManifestFromOrigin();
      }
    }
  }

  void ReadManifestFromOrigin() {
    const auto done = [this, digest = this->wanted](Result<Manifest> result) {
      if (digest != this->wanted || this->manifest) return;
      if (result) {
        this->counters.origin_bytes.Add(result.value().Content().size());
        this->StartCopy(std::make_shared<const Manifest>(std::move(result.value())));
        return;
      }
      this->origin_error = Describe(result.error());
      this->fetch.OnOriginFailed(this->Now());
    };
    this->origin.ReadManifest(this->wanted, this->Guarded(done));
  }

  void OnManifestPull(const wire::Envelope& message) {
    const Digest digest = DigestFromRaw(message.manifest_pull().manifest());
    const WeightsCopy* copy = this->store.Find(digest);
    if (copy != nullptr) {
      this->PushManifest(message.from_peer(), *copy->manifest);
    } else if (digest == this->wanted && this->manifest_waiters.size() < kMaxManifestWaiters) {
      this->manifest_waiters.insert(message.from_peer());
    }
  }

  void PushManifest(const std::string& to, const Manifest& content) {
    wire::Envelope message;
    message.mutable_manifest_push()->set_manifest(std::string(content.Id().View()));
    message.mutable_manifest_push()->set_content(content.Content());
    this->node.peers.Send(to, Lane::kBulk, std::move(message));
  }

  void OnManifestPush(const wire::ManifestPush& push) {
    const Digest digest = DigestFromRaw(push.manifest());
    if (digest != this->wanted || this->manifest) return;
    Result<Manifest> parsed = Manifest::Parse(push.content(), digest);
    if (!parsed) {
      this->counters.corrupt.Add();
      return;
    }
    this->StartCopy(std::make_shared<const Manifest>(std::move(parsed.value())));
  }

  // ---- the pool row ----

  void Apply(const wire::Pool& row) {
    const Digest digest = DigestFromRaw(row.manifest());
    const bool changed = digest != this->wanted;
    const bool favour_changed = row.favours() != this->pool.favours();
    this->pool = row;
    if (changed) this->SwitchTo(digest);
    this->UpdateMembers(changed);
    if (!changed && favour_changed && this->manifest) this->ConfigureSpreader();
    this->HandleLoadEvent(LoadTargetChanged{
        .pool = row.name(), .manifest = digest, .max_loading = row.max_loading()});
    this->Tick();
  }

  void SwitchTo(const Digest& digest) {
    this->wanted = digest;
    this->manifest.reset();
    this->manifest_waiters.clear();
    this->stopped = false;
    this->origin_error.clear();
    this->fetch.Stop();
    this->HandleSpreadEvent(CopyEnded{});
    if (digest.IsZero()) return;
    this->accepted.insert(digest);
    if (const WeightsCopy* copy = this->store.Find(digest)) {
      this->StartCopy(copy->manifest);
    } else {
      this->fetch.Start(this->Now(), digest);
    }
  }

  void StartCopy(std::shared_ptr<const Manifest> found) {
    this->fetch.Stop();
    this->origin_error.clear();
    this->manifest = std::move(found);
    this->store.SetWanted(this->manifest);
    this->Publish();
    for (const std::string& peer : this->manifest_waiters) {
      this->PushManifest(peer, *this->manifest);
    }
    this->manifest_waiters.clear();
    this->ConfigureSpreader();
  }

  void ConfigureSpreader() {
    const Duration grace = this->started + kMemberGrace - this->Now();
    this->HandleSpreadEvent(
        CopyWanted{.manifest = this->manifest,
                   .favour_origin_bytes = this->pool.favours() == wire::FAVOUR_ORIGIN_BYTES,
                   .origin_delay = std::max(grace, Duration::zero())});
    this->HandleSpreadEvent(PoolMembersChanged{.members = this->pool_members});
  }

  void UpdateMembers(bool force) {
    std::vector<SpreadPeer> found;
    for (const Member& member : this->members.Members()) {
      if (!IsLiveAgentOf(member, this->pool)) continue;
      found.push_back({.vm = member.vm, .peer = member.peer, .region = member.region});
    }
    const auto same = [](const SpreadPeer& left, const SpreadPeer& right) {
      return left.vm == right.vm && left.peer == right.peer && left.region == right.region;
    };
    const bool equal = std::equal(found.begin(), found.end(), this->pool_members.begin(),
                                  this->pool_members.end(), same);
    if (equal && !force) return;
    this->pool_members = std::move(found);
    this->fetch.SetMembers(this->pool_members);
    this->HandleSpreadEvent(PoolMembersChanged{.members = this->pool_members});
  }

  void Publish() {
    this->published = this->store.Copies().size();
    this->server.Publish(this->store.Copies());
  }

  // ---- loading and engine ----

  void HandleLoadEvent(const LoadEvent& event) {
    for (const LoadAction& action : this->load_controller.Handle(this->Now(), event)) {
      std::visit([this](const auto& item) { this->Do(item); }, action);
    }
    this->UpdateReady();
  }

  std::string Holder() const {
    return this->node.identity.vm + "." + std::to_string(this->node.identity.incarnation);
  }

  void Do(const AcquireSlot& action) {
    const auto done = [this, call = action.call](const Result<std::uint64_t>& fence) {
      if (fence) {
        this->HandleLoadEvent(LeaseGranted{.call = call, .fence = fence.value()});
      } else {
        this->HandleLoadEvent(LeaseNotGranted{
            .call = call, .held_by_other = fence.error().kind == ErrorKind::kLeaseHeld});
      }
    };
    this->node.kv.AcquireLease(action.lease, this->Holder(), this->options.lease_ttl,
                               this->Guarded(done));
  }

  void Do(const RenewSlot& action) {
    const auto done = [this, call = action.call](const Result<void>& result) {
      if (result) {
        this->HandleLoadEvent(LeaseRenewed{.call = call});
      } else if (result.error().kind == ErrorKind::kLeaseLost) {
        this->HandleLoadEvent(LeaseLost{.call = call});
      } else {
        this->HandleLoadEvent(RenewalFailed{.call = call});
      }
    };
    this->node.kv.RenewLease(action.lease, this->Holder(), action.fence, this->options.lease_ttl,
                             this->Guarded(done));
  }

  void Do(const ReleaseSlot& action) {
    // A lease that could not be released expires.
    this->node.kv.ReleaseLease(action.lease, this->Holder(), action.fence,
                               [](const Result<void>&) {});
  }

  void Do(const StartLoad& action) {
    this->counters.loads.Add();
    Log(LogLevel::kInfo, "load_ordered",
        {{"manifest", action.manifest.Hex()}, {"fence", action.fence}});
    const auto done = [this, sent = this->Now()](LoadResponse answer) {
      Log(LogLevel::kInfo, "load_answered",
          {{"answer", LoadResponseName(answer)}, {"took_ms", ToMillis(this->Now() - sent)}});
      this->HandleLoadEvent(LoadResponseReceived{.answer = answer});
    };
    this->engine.Load(action, this->Guarded(done));
  }

  void PollEngine(Instant now) {
    if (this->options.engine.empty() || now < this->next_engine_poll) return;
    const bool settled = this->ready && this->serving == this->wanted;
    const bool copying = this->load_controller.CurrentStep() == LoadController::Step::kWaiting &&
                         !this->load_controller.HasUnansweredRequest() && this->spreader.IsActive();
    this->next_engine_poll = now + (settled || copying ? kEnginePollIdle : kEnginePollActive);
    const auto done = [this](const std::optional<EngineReported>& state) {
      this->OnEngineState(state);
    };
    this->engine.ReadState(this->Guarded(done));
  }

  void OnEngineState(const std::optional<EngineReported>& state) {
    if (!state) {
      this->engine_state.reset();
      this->HandleLoadEvent(EngineUnreachable{});
      return;
    }
    // A restarted agent accepts whatever version its engine serves. Afterwards the engine may serve
    // only versions that a pool row has pinned.
    if (!std::exchange(this->engine_seen, true) && !state->loaded.IsZero()) {
      this->accepted.insert(state->loaded);
    }
    this->engine_state = state;
    this->HandleLoadEvent(*state);
  }

  bool IsEngineReady() const {
    return this->engine_state && this->engine_state->loading.IsZero() &&
           !this->engine_state->loaded.IsZero() && !this->load_controller.BlocksServing() &&
           this->accepted.contains(this->engine_state->loaded);
  }

  void UpdateReady() {
    const Digest loaded = this->engine_state ? this->engine_state->loaded : Digest{};
    const bool now_ready = this->IsEngineReady();
    if (loaded == this->serving && now_ready == this->ready) return;
    this->serving = loaded;
    this->ready = now_ready;
    if (this->ready_listener) this->ready_listener(loaded, now_ready);
  }

  // ---- time ----

  void ScheduleTick() {
    if (this->timer != 0) this->node.loop.Cancel(this->timer);
    this->timer_is_active = this->spreader.IsActive();
    this->timer = this->node.loop.After(this->timer_is_active ? kActiveTick : kIdleTick,
                                        this->Guarded([this] {
                                          this->timer = 0;
                                          this->Tick();
                                        }));
  }

  void Tick() {
    const Instant now = this->Now();
    // The store may have dropped the previous version because of its memory limit.
    if (this->store.Copies().size() != this->published) this->Publish();
    if (this->request_bytes > 0) {
      this->HandleSpreadEvent(RequestBytesSeen{.bytes = std::exchange(this->request_bytes, 0)});
    }
    this->FetchManifest();
    this->HandleSpreadEvent(SpreadTick{});
    this->HandleLoadEvent(LoadTick{.idle = this->idle_check()});
    this->PollEngine(now);
    this->PublishStatus();
    this->ScheduleTick();
  }

  RolloutPhase Phase() const {
    if (this->wanted.IsZero()) return RolloutPhase::kIdle;
    if (this->ready && this->serving == this->wanted) return RolloutPhase::kReady;
    if (this->load_controller.BlocksServing()) return RolloutPhase::kLoading;
    if (!this->manifest) return RolloutPhase::kFetchingManifest;
    if (this->stopped) return RolloutPhase::kStopped;
    const WeightsCopy* copy = this->store.Find(this->wanted);
    if (copy == nullptr || !copy->IsComplete()) return RolloutPhase::kCopying;
    return RolloutPhase::kWaitingForLease;
  }

  RolloutStatus Status() const {
    RolloutStatus status{.phase = this->Phase(),
                         .wanted = this->wanted,
                         .serving = this->serving,
                         .origin_bytes = this->counters.origin_bytes.Value()};
    if (this->manifest) {
      const WeightsCopy* copy = this->store.Find(this->wanted);
      status.bytes = copy != nullptr ? copy->bytes : 0;
      status.total_bytes = this->manifest->Size();
    }
    const bool waits_for_origin =
        status.phase == RolloutPhase::kStopped || status.phase == RolloutPhase::kFetchingManifest;
    if (waits_for_origin) status.detail = this->origin_error;
    if (this->load_controller.CurrentStep() == LoadController::Step::kDraining) {
      status.detail = "waits until no request runs at the engine";
    } else if (this->load_controller.HasUnansweredRequest()) {
      status.detail = "a load request without a reply may still be carried out";
    }
    return status;
  }

  void PublishStatus() {
    const RolloutStatus status = this->Status();
    this->counters.bytes.Set(static_cast<double>(status.bytes));
    this->counters.total_bytes.Set(static_cast<double>(status.total_bytes));
    this->counters.phase.Set(static_cast<double>(status.phase));
    if (status.phase == this->logged_phase) return;
    this->logged_phase = status.phase;
    Log(status.phase == RolloutPhase::kStopped ? LogLevel::kWarn : LogLevel::kInfo, "rollout_phase",
        {{"phase", PhaseName(status.phase)},
         {"wanted", status.wanted.Hex()},
         {"serving", status.serving.Hex()},
         {"detail", status.detail}});
  }
};

std::string_view PhaseName(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kIdle:
      return "idle";
    case RolloutPhase::kFetchingManifest:
      return "fetching-manifest";
    case RolloutPhase::kCopying:
      return "copying";
    case RolloutPhase::kStopped:
      return "stopped";
    case RolloutPhase::kWaitingForLease:
      return "waiting-for-lease";
    case RolloutPhase::kLoading:
      return "loading";
    case RolloutPhase::kReady:
      return "ready";
  }
  return "unknown";
}

DistributionDriver::DistributionDriver(Node& node, MembershipDriver& members,
                                       DistributionDriverOptions options)
    : impl(std::make_unique<Impl>(node, members, std::move(options))) {}
DistributionDriver::~DistributionDriver() = default;

void DistributionDriver::Mount(HttpServer& server) { this->impl->server.Mount(server); }

void DistributionDriver::Start() {
  Impl& self = *this->impl;
  self.started = self.Now();
  self.Subscribe();
  self.members.OnChange(self.Guarded([&self] { self.UpdateMembers(false); }));
  self.Tick();
}

void DistributionDriver::ApplyPool(const wire::Pool& pool) { this->impl->Apply(pool); }

RolloutStatus DistributionDriver::Status() const { return this->impl->Status(); }

void DistributionDriver::OnReadyChange(
    std::function<void(const Digest& serving, bool ready)> listener) {
  this->impl->ready_listener = std::move(listener);
}

void DistributionDriver::SetIdleCheck(std::function<bool()> idle) {
  this->impl->idle_check = std::move(idle);
}

void DistributionDriver::AddRequestBytes(std::uint64_t bytes) {
  this->impl->request_bytes += bytes;
}

}  // namespace savory
