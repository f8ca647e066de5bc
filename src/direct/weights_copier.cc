#include "direct/weights_copier.h"

#include <algorithm>
#include <deque>
#include <variant>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "direct/copy_policy.h"
#include "direct/manifest_exchange.h"
#include "distribution/chunk_spreader.h"
#include "distribution/congestion_detector.h"
#include "distribution/engine_control.h"
#include "distribution/manifest.h"
#include "distribution/spread_transport.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

// Fraction of the links between regions that weights may use; live requests share these links.
constexpr double kInterRegionShare = 0.7;
// Fraction of this machine's link that weights may use; headers and requests take the rest. At 0.95
// chunks alone filled the links and delayed answers.
constexpr double kLinkShare = 0.85;
// Uploads queued for neighbours. Longer queues delay the first copies of a chunk.
constexpr std::size_t kMaxUploads = 3;
// Another agent reads a chunk from the origin when no new chunk has appeared for this long. This is
// long enough for a chunk to pass through the origin's queue, and short compared with the deadline
// of a version.
constexpr Duration kTakeoverTime = milliseconds(1200);
// A chunk that a peer has not delivered within this time is requested elsewhere.
constexpr Duration kChunkDeadline = milliseconds(600);
// The same for a chunk from another region, counted from when the origin should have sent it.
constexpr Duration kRemoteChunkDeadline = milliseconds(1200);
// Maximum delay of the next read after failed reads of the origin. Origin outages last seconds, and
// a version must be loaded within 8 s.
constexpr Duration kMaxOriginBackoff = milliseconds(500);
constexpr std::size_t kMaxReadBackCalls = 2;
constexpr Duration kProgressPeriod = milliseconds(500);

std::string_view LinkStateName(LinkState state) {
  switch (state) {
    case LinkState::kFree:
      return "free";
    case LinkState::kBusy:
      return "busy";
    case LinkState::kNarrow:
      return "narrow";
  }
  return "unknown";
}

SharedChunk ChunkOf(const std::string& bytes) {
  const auto view = std::as_bytes(std::span(bytes));
  return std::make_shared<const std::vector<std::byte>>(view.begin(), view.end());
}

}  // namespace

struct WeightsCopier::Impl : GuardedCallbacks<WeightsCopier::Impl> {
  EventLoop& loop;
  Random& random;
  WeightsSource& origin;
  EngineControl& engine;
  WeightsCopierOptions options;
  Counter& origin_bytes;
  Counter& copies_resumed;
  ChunkStore store{0};
  SpreadTransport link;
  std::unique_ptr<ChunkSpreader> spreader = {};  // created once the origin's region is known
  std::string spreader_origin_region = {};
  ChunkListener on_chunk = {};
  NewestFoundListener on_newest_found = {};
  FleetView view = {};
  std::optional<std::uint64_t> engine_version = {};
  std::uint32_t engine_requests = 0;
  bool engine_accepting = false;
  CongestionDetector congestion = CongestionDetector();
  LinkStateChanged last_link_state = {};     // last state passed to the spreader
  std::uint64_t peer_requested_version = 0;  // version that another agent requested from this one
  std::uint64_t search_version = 0;          // version whose manifest is being searched for
  bool finding_newest = false;               // the origin is asked for its newest version
  ManifestExchange manifests;
  std::optional<VersionCopy> newest = {};
  std::optional<VersionCopy> pending = {};      // postponed while `newest` should finish first
  Instant pending_since = {};                   // when the manifest of `pending` arrived
  std::optional<VersionCopy> interrupted = {};  // left incomplete for `newest`
  std::optional<Instant> resumed_at = {};       // `newest` was resumed; `pending` is newer
  std::uint32_t resumed_held = 0;
  std::size_t reachable_chunks = 0;  // of `newest`, and when the last one appeared
  Instant last_appeared = {};
  std::vector<bool> notified = {};  // chunks of `newest` that the listener was notified of
  std::deque<std::uint32_t> to_read_back = {};
  std::size_t read_back_calls = 0;
  Instant next_progress_log = {};

  Impl(EventLoop& loop, PeerTransport& peers, Metrics& metrics, Random& random,
       WeightsSource& origin, EngineControl& engine, WeightsCopierOptions given)
      : loop(loop),
        random(random),
        origin(origin),
        engine(engine),
        options(std::move(given)),
        origin_bytes(metrics.CounterFor("savory_origin_bytes_total")),
        copies_resumed(metrics.CounterFor("savory_copies_resumed_total")),
        link(peers, metrics, this->store, VerifyOnCallingThread()),
        manifests(loop, peers, origin,
                  {.peer = this->options.peer, .region = this->options.region}) {}

  Instant Now() const { return this->loop.Now(); }

  // ---- the fleet ----

  void SetFleet(const FleetView& next) {
    const bool members_changed = next.agents != this->view.agents;
    this->view = next;
    this->origin.SetAddress(next.origin);
    this->link.SetOrigin(next.origin);
    this->manifests.SetAgents(next.agents);
    this->EnsureSpreader();
    // After each update of the members, agents wait before they read newly assigned chunks from the
    // origin, so the spreader gets only real changes.
    if (members_changed) this->UpdateSpreaderMembers();
    if (this->newest) {
      Instant& since = this->newest->wanted_since;
      since = std::min(since, this->WantedSince(this->newest->version).value_or(since));
    }
    this->FollowWantedVersion();
  }

  void EnsureSpreader() {
    if (this->view.origin_region.empty()) return;
    if (this->spreader && this->spreader_origin_region == this->view.origin_region) return;
    this->spreader_origin_region = this->view.origin_region;
    this->spreader = std::make_unique<ChunkSpreader>(
        SpreadOptions{.vm = this->options.peer,
                      .region = this->options.region,
                      .origin_region = this->view.origin_region,
                      .link_bytes_per_second = this->options.link_bytes_per_second,
                      .weights_share = kLinkShare,
                      .inter_region_bytes_per_second =
                          this->options.region_bytes_per_second * kInterRegionShare,
                      .max_requests = 4,
                      .max_uploads = kMaxUploads,
                      .request_deadline = kChunkDeadline,
                      .remote_deadline = kRemoteChunkDeadline,
                      .takeover_time = kTakeoverTime,
                      .takeover_origin_bytes = kTakeoverTime,
                      .max_backoff = kMaxOriginBackoff,
                      .origin_bytes_per_second = this->view.origin_bytes_per_second},
        this->store, this->random);
    if (this->newest) this->RequestCopy({});
  }

  void UpdateSpreaderMembers() {
    std::vector<SpreadPeer> members;
    for (const AgentAddress& agent : this->view.agents) {
      members.push_back({.vm = agent.peer, .peer = agent.peer, .region = agent.region});
    }
    this->HandleSpreadEvent(PoolMembersChanged{.members = std::move(members)});
  }

  // ---- the wanted version ----

  CopyContext MakeCopyContext(std::uint64_t version) const {
    CopyContext context{.wanted = version,
                        .engine_version = this->engine_version,
                        .first_copy = !this->newest,
                        .engines_without_weights = this->view.engines_without_weights,
                        .requested_by_peer = this->peer_requested_version == version,
                        .seeding_agents = this->options.seeding_agents};
    const std::string key = WeightsNameOf(this->view.model, version);
    const std::uint64_t own = RendezvousScore(key, this->options.peer);
    for (const AgentAddress& agent : this->view.agents) {
      const bool same_region = agent.region == this->options.region;
      if (same_region && RendezvousScore(key, agent.peer) > own) ++context.rank;
    }
    return context;
  }

  // Handles a message of another agent about weights. A chunk request, or a chunk map that wants a
  // reply, is taken as a sign that the agent is copying the wanted version.
  void OnPeerEvent(const SpreadEvent& event) {
    const auto* map = std::get_if<MapReceived>(&event);
    const bool is_copying =
        std::holds_alternative<RequestReceived>(event) || (map != nullptr && map->reply_wanted);
    if (is_copying && this->peer_requested_version != this->view.weights_version &&
        (!this->newest || this->newest->version < this->view.weights_version)) {
      this->peer_requested_version = this->view.weights_version;
      this->FollowWantedVersion();
    }
    this->HandleSpreadEvent(event);
  }

  std::optional<Instant> WantedSince(std::uint64_t version) const {
    return this->view.history.Since(version);
  }

  void FollowWantedVersion() {
    if (this->view.newest_wanted) return this->FindNewestVersion();
    const std::uint64_t next = this->view.weights_version;
    const std::uint64_t current = this->newest ? this->newest->version : 0;
    if (next <= current || next == this->search_version || this->view.origin.empty()) return;
    if (!NeedsCopy(this->MakeCopyContext(next))) return;
    this->search_version = next;
    this->finding_newest = false;
    this->manifests.Find(this->view.model, next, this->ManifestListener(this->view.model));
  }

  // Nobody knows a version, as after a loss of all power before any version was announced.
  void FindNewestVersion() {
    const bool is_lacking = !this->newest && this->engine_version == 0u;
    if (!is_lacking || this->finding_newest || this->view.origin.empty()) return;
    this->finding_newest = true;
    Log(LogLevel::kInfo, "newest_weights_asked", {{"model", this->view.model}});
    this->manifests.FindNewest(
        this->view.model, [this, model = this->view.model](std::uint64_t version, auto manifest) {
          Log(LogLevel::kInfo, "newest_weights_found", {{"model", model}, {"version", version}});
          if (this->on_newest_found) this->on_newest_found(model, version);
          this->ManifestListener(model)(version, std::move(manifest));
        });
  }

  ManifestExchange::Done ManifestListener(const std::string& model) {
    return [this, model](std::uint64_t version, std::shared_ptr<const Manifest> manifest) {
      this->pending =
          VersionCopy{.model = model, .version = version, .manifest = std::move(manifest)};
      this->pending_since = this->Now();
      this->StartNext();
    };
  }

  // Starts the pending version, or postpones it while the copy in progress should finish first.
  void StartNext() {
    if (!this->pending) return;
    const WeightsCopy* copy =
        this->newest ? this->store.Find(this->newest->manifest->Id()) : nullptr;
    if (copy != nullptr &&
        ShouldFinishBeforeNewer({.held = copy->held,
                                 .reachable = this->spreader->Reachable(),
                                 .chunks = copy->chunks.size(),
                                 .newer_known_for = this->Now() - this->pending_since,
                                 .time_left = this->TimeLeft(*this->newest)})) {
      return;
    }
    if (this->GoesOnWithResumed(copy)) return;
    const bool is_left = copy != nullptr && !copy->IsComplete() && !this->resumed_at;
    this->interrupted = is_left ? this->newest : std::nullopt;
    this->resumed_at.reset();
    const VersionCopy started = *std::exchange(this->pending, {});
    this->search_version = 0;
    this->StartCopy(started.model, started.version, started.manifest);
    this->FollowWantedVersion();
  }

  // Until the weights of the engine are outdated; negative: they are.
  Duration EngineTimeLeft() const {
    const std::uint64_t held = this->engine_version.value_or(0);
    const Instant assumed_since =
        this->newest && this->newest->version > held ? this->newest->wanted_since : Instant::max();
    const Instant since = OutdatedSince(this->view.history.All(), held, assumed_since);
    if (since == Instant::max()) return Duration::max();
    return since + this->options.deadline - this->Now();
  }

  // Until engines without `version` get no requests.
  Duration TimeLeft(const VersionCopy& version) const {
    return version.wanted_since + this->options.deadline - this->Now();
  }

  void WatchAppearance() {
    const std::size_t reachable = this->spreader ? this->spreader->Reachable() : 0;
    if (reachable > this->reachable_chunks) this->last_appeared = this->Now();
    this->reachable_chunks = reachable;
  }

  bool GoesOnWithResumed(const WeightsCopy* copy) {
    if (!this->resumed_at || copy == nullptr) return false;
    if (copy->held > this->resumed_held) this->last_appeared = this->Now();
    this->resumed_held = copy->held;
    return ShouldGoOnWithResumed({.held = copy->held,
                                  .chunks = copy->chunks.size(),
                                  .silent_for = this->Now() - this->last_appeared,
                                  .resumed_for = this->Now() - *this->resumed_at});
  }

  // Goes back to the version that was left for `newest` if the origin sends nothing of that.
  void ResumeInterrupted() {
    if (!this->interrupted || this->pending || !this->newest) return;
    const WeightsCopy* older = this->store.Find(this->interrupted->manifest->Id());
    if (older == nullptr) return this->interrupted.reset();
    this->WatchAppearance();
    const InterruptedCopy state{
        .held = older->held,
        .chunks = older->chunks.size(),
        .engine_lacks_it =
            this->engine_version && *this->engine_version < this->interrupted->version,
        .newer_reachable = this->reachable_chunks,
        .newer_chunks = this->newest->manifest->ChunkCount(),
        .newer_silent_for = this->Now() - this->last_appeared,
        .time_left = this->TimeLeft(*this->interrupted)};
    if (!ShouldResumeOlder(state)) return;
    const VersionCopy resumed = *std::exchange(this->interrupted, {});
    Log(LogLevel::kInfo, "copy_resumed",
        {{"version", resumed.version},
         {"held", state.held},
         {"of", state.chunks},
         {"instead_of", this->newest->version},
         {"silent_ms", ToMillis(state.newer_silent_for)},
         {"time_left_ms", ToMillis(state.time_left)}});
    this->copies_resumed.Add();
    this->pending = this->newest;
    this->pending_since = this->Now();
    this->search_version = this->newest->version;
    this->resumed_at = this->Now();
    this->resumed_held = state.held;
    this->StartCopy(resumed.model, resumed.version, resumed.manifest);
  }

  void StartCopy(const std::string& model, std::uint64_t version,
                 std::shared_ptr<const Manifest> manifest) {
    const CopyContext context = this->MakeCopyContext(version);
    const Instant assumed_since = this->Now() - this->options.assumed_age;
    this->newest = VersionCopy{.model = model,
                               .version = version,
                               .wanted_since = this->WantedSince(version).value_or(assumed_since),
                               .manifest = std::move(manifest)};
    const std::uint32_t chunk_count = this->newest->manifest->ChunkCount();
    this->notified.assign(chunk_count, false);
    this->reachable_chunks = 0;
    this->last_appeared = this->Now();
    this->store.SetWanted(this->newest->manifest);
    this->to_read_back.clear();
    Log(LogLevel::kInfo, "copy_started",
        {{"version", version},
         {"pieces", chunk_count},
         {"engine", this->engine_version.value_or(0)},
         {"asked_for", context.requested_by_peer},
         {"read_back", MayBeStagedAtEngine(context)},
         {"known_for_ms", ToMillis(this->Now() - this->newest->wanted_since)}});
    if (MayBeStagedAtEngine(context)) this->ListStaged();
    this->RequestCopy(OriginDelay(context));
  }

  void RequestCopy(Duration origin_delay) {
    this->HandleSpreadEvent(
        CopyWanted{.manifest = this->newest->manifest, .origin_delay = origin_delay});
    this->UpdateSpreaderMembers();
  }

  // ---- staged chunks ----

  void ListStaged() {
    const auto done =
        [this, version = this->newest->version](const Result<std::vector<std::uint32_t>>& chunks) {
          if (!chunks || version != this->newest->version) return;
          this->to_read_back.assign(chunks.value().begin(), chunks.value().end());
          this->ReadBack();
        };
    this->engine.ListStaged(this->newest->model, this->Guarded(done));
  }

  void ReadBack() {
    while (!this->to_read_back.empty() && this->read_back_calls < kMaxReadBackCalls) {
      const std::uint32_t chunk = this->to_read_back.front();
      this->to_read_back.pop_front();
      if (chunk >= this->newest->manifest->ChunkCount()) continue;
      ++this->read_back_calls;
      const auto done = [this, source = this->newest->manifest, chunk,
                         sent = this->Now()](const Result<std::string>& bytes) {
        --this->read_back_calls;
        if (bytes) this->OnReadBack(*source, chunk, bytes.value(), sent);
        this->ReadBack();
      };
      this->engine.ReadStaged(this->newest->model, chunk, this->newest->manifest->ChunkSize(),
                              this->Guarded(done));
    }
  }

  void OnReadBack(const Manifest& source, std::uint32_t chunk, const std::string& bytes,
                  Instant sent) {
    auto verified = VerifiedChunk::Verify(source, chunk, ChunkOf(bytes));
    // Chunks of an earlier version stay staged until they are replaced.
    if (!verified || this->newest->manifest->Id() != source.Id()) return;
    if (!this->notified[chunk]) {
      this->notified[chunk] = true;
      const CallTimes times{.sent = sent, .answered = this->Now()};
      if (this->on_chunk) this->on_chunk(this->newest->version, chunk, times);
    }
    this->HandleSpreadEvent(ChunkArrived{.from = "", .chunk = std::move(*verified)});
  }

  // ---- distribution ----

  void HandleSpreadEvent(const SpreadEvent& event) {
    if (!this->spreader) return;
    for (const SpreadAction& action : this->spreader->Handle(this->Now(), event)) {
      std::visit([this](const auto& item) { this->Execute(item); }, action);
    }
    this->NotifyNewChunks();
  }

  void NotifyNewChunks() {
    if (!this->newest) return;
    const WeightsCopy* copy = this->store.Find(this->newest->manifest->Id());
    if (copy == nullptr) return;
    for (std::uint32_t i = 0; i < this->notified.size(); ++i) {
      if (this->notified[i] || !copy->Holds(i)) continue;
      this->notified[i] = true;
      if (this->on_chunk) this->on_chunk(this->newest->version, i, {});
    }
  }

  template <typename Message>
  void Execute(const Message& action) {
    this->link.Send(action);
  }

  void Execute(const ReadOrigin& action) {
    const auto done = [this, source = this->newest->manifest,
                       chunk = action.chunk](const Result<std::string>& bytes) {
      this->OnOriginRead(*source, chunk, bytes);
    };
    this->origin.ReadChunk(this->newest->model, this->newest->version, action.chunk,
                           this->newest->manifest->ChunkSize(), this->Guarded(done));
  }

  void OnOriginRead(const Manifest& source, std::uint32_t chunk, const Result<std::string>& bytes) {
    if (!bytes) {
      Log(LogLevel::kWarn, "origin_read_failed",
          {{"piece", chunk}, {"reason", Describe(bytes.error())}});
      this->HandleSpreadEvent(OriginFailed{.manifest = source.Id(), .chunk = chunk});
      return;
    }
    this->origin_bytes.Add(bytes.value().size());
    auto verified = VerifiedChunk::Verify(source, chunk, ChunkOf(bytes.value()));
    if (verified) {
      this->HandleSpreadEvent(OriginChunkRead{.chunk = std::move(*verified)});
      return;
    }
    // The list of chunk digests is immutable, so a mismatch means that the bytes were corrupted in
    // transit: the chunk is read again.
    Log(LogLevel::kWarn, "origin_piece_corrupt", {{"piece", chunk}});
    this->HandleSpreadEvent(OriginFailed{.manifest = source.Id(), .chunk = chunk});
  }

  void Execute(const ChunkTransferTimed& action) {
    this->congestion.OnChunkTransferred(action.time, this->Now());
  }
  void Execute(const ProbeOrigin&) { this->HandleSpreadEvent(OriginProbed{.changed = true}); }
  void Execute(const CopyStopped&) {}
  void Execute(const CopyResumed&) {}
  void Execute(const CopyComplete&) {
    Log(LogLevel::kInfo, "copy_complete",
        {{"version", this->newest->version},
         {"known_for_ms", ToMillis(this->Now() - this->newest->wanted_since)},
         {"origin_bytes", this->origin_bytes.Value()}});
  }

  // ---- the link ----

  // Slows the copy down in favour of the engine's requests and answers when the link is congested,
  // as it is when it has less bandwidth than configured. An engine that gets no requests (for
  // example because its weights are outdated) needs the weights as soon as possible, so the copy is
  // not slowed down then.
  void WatchLink() {
    const Instant now = this->Now();
    if (!MayGetRequests({.requests = this->engine_requests,
                         .accepting = this->engine_accepting,
                         .time_left = this->EngineTimeLeft()})) {
      this->congestion.Reset();
      return this->UpdateLinkState();
    }
    this->congestion.Advance(now);
    this->UpdateLinkState();
    if (!this->congestion.ProbeIsDue(now)) return;
    if (const AgentAddress* peer = this->RandomNeighbour()) {
      this->link.Probe(peer->peer, this->congestion.StartProbe(now));
    }
  }

  void UpdateLinkState() {
    const LinkStateChanged next{.until = this->congestion.PausedUntil(),
                                .state = this->congestion.State(this->Now())};
    if (next.state == this->last_link_state.state && next.until <= this->last_link_state.until) {
      return;
    }
    if (next.state != this->last_link_state.state) {
      Log(LogLevel::kInfo, "link_state",
          {{"state", LinkStateName(next.state)},
           {"pause_ms", std::max<std::int64_t>(0, ToMillis(next.until - this->Now()))},
           {"engine_requests", this->engine_requests},
           {"version", this->newest ? this->newest->version : 0}});
    }
    this->last_link_state = next;
    this->HandleSpreadEvent(next);
  }

  const AgentAddress* RandomNeighbour() {
    std::vector<const AgentAddress*> neighbours;
    for (const AgentAddress& agent : this->view.agents) {
      const bool other = agent.peer != this->options.peer;
      if (other && agent.region == this->options.region) neighbours.push_back(&agent);
    }
    return neighbours.empty() ? nullptr : neighbours[UniformBelow(this->random, neighbours.size())];
  }

  void LogProgress() {
    if (!this->newest || this->Now() < this->next_progress_log) return;
    const WeightsCopy* copy = this->store.Find(this->newest->manifest->Id());
    if (copy == nullptr || copy->IsComplete()) return;
    this->next_progress_log = this->Now() + kProgressPeriod;
    Log(LogLevel::kInfo, "copy_progress",
        {{"version", this->newest->version}, {"held", copy->held}, {"of", copy->chunks.size()}});
  }
};

WeightsCopier::WeightsCopier(EventLoop& loop, PeerTransport& peers, Metrics& metrics,
                             Random& random, WeightsSource& origin, EngineControl& engine,
                             WeightsCopierOptions options)
    : impl(std::make_shared<Impl>(loop, peers, metrics, random, origin, engine,
                                  std::move(options))) {}
WeightsCopier::~WeightsCopier() = default;

void WeightsCopier::OnChunk(ChunkListener listener) { this->impl->on_chunk = std::move(listener); }
void WeightsCopier::OnNewestFound(NewestFoundListener listener) {
  this->impl->on_newest_found = std::move(listener);
}

void WeightsCopier::Start() {
  this->impl->manifests.Start();
  this->impl->link.OnProbeAnswer(
      this->impl->Guarded([self = this->impl.get()](std::uint64_t number) {
        self->congestion.OnProbeReply(number, self->Now());
      }));
  this->impl->link.Start(this->impl->Guarded(
      [self = this->impl.get()](const SpreadEvent& event) { self->OnPeerEvent(event); }));
}

void WeightsCopier::SetFleet(const FleetView& view) { this->impl->SetFleet(view); }

void WeightsCopier::SetEngineVersion(std::optional<std::uint64_t> version) {
  this->impl->engine_version = version;
  this->impl->FollowWantedVersion();
}

void WeightsCopier::SetEngineRequests(std::uint32_t requests, bool accepting) {
  this->impl->engine_requests = requests;
  this->impl->engine_accepting = accepting;
}

void WeightsCopier::Tick() {
  this->impl->StartNext();
  this->impl->ResumeInterrupted();
  if (this->IsActive() || this->impl->last_link_state.state != LinkState::kFree) {
    this->impl->WatchLink();
  }
  this->impl->HandleSpreadEvent(SpreadTick{});
  this->impl->LogProgress();
}

bool WeightsCopier::DelaysRequestsTooLong() const {
  return MayArriveTooLate(this->impl->congestion.State(this->impl->Now()),
                          this->impl->EngineTimeLeft());
}

bool WeightsCopier::IsActive() const {
  if (this->impl->pending) return true;
  return this->impl->spreader && this->impl->spreader->IsActive();
}

const std::optional<VersionCopy>& WeightsCopier::Newest() const { return this->impl->newest; }

const WeightsCopy* WeightsCopier::Find(const Manifest& manifest) const {
  return this->impl->store.Find(manifest.Id());
}

}  // namespace savory
