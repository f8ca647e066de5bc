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
#include "distribution/spread_link.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

// Live requests share the links between regions: weights take this part.
constexpr double kRegionShare = 0.7;
// Headers and requests take the rest; at 0.95 pieces alone filled the links and delayed answers.
constexpr double kLinkShare = 0.85;
// Pieces that wait here for a neighbour. Longer queues delay the first copies of a piece.
constexpr std::size_t kMaxUploads = 3;
// Another agent reads a piece from the origin when none has appeared for this long. Long enough for
// a piece to pass through the origin's queue, short against the time that a version has.
constexpr Duration kTakeover = milliseconds(1200);
// A piece of a peer that has not come after this time is asked for elsewhere.
constexpr Duration kPieceDeadline = milliseconds(600);
// The same for a piece of another region, after the origin should have sent it.
constexpr Duration kRemotePieceDeadline = milliseconds(1200);
// Pause of origin reads that fail: outages of the origin last seconds, and a version has 8 s.
constexpr Duration kOriginBackoff = milliseconds(500);
constexpr std::size_t kReadBackCalls = 2;
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
  ChunkStore store{0};
  SpreadLink link;
  std::unique_ptr<ChunkSpreader> spreader = {};  // once the origin's region is known
  std::string spreader_origin_region = {};
  PieceListener on_piece = {};
  FleetView view = {};
  std::optional<std::uint64_t> engine_version = {};
  std::uint32_t engine_requests = 0;
  CongestionDetector yield = CongestionDetector();
  LinkStateChanged yielded = {};  // what the spreader was told
  std::uint64_t asked_for = 0;    // version that another agent asked this one for
  std::uint64_t listing = 0;      // version whose manifest is being looked for
  ManifestExchange manifests;
  std::optional<VersionCopy> newest = {};
  std::optional<VersionCopy> next = {};  // begun when `newest` is whole
  Instant next_listed = {};              // when its manifest was there
  std::vector<bool> told = {};           // pieces of `newest` that the listener knows
  std::deque<std::uint32_t> read_back = {};
  std::size_t read_back_calls = 0;
  Instant next_progress = {};

  Impl(EventLoop& loop, PeerTransport& peers, Metrics& metrics, Random& random,
       WeightsSource& origin, EngineControl& engine, WeightsCopierOptions given)
      : loop(loop),
        random(random),
        origin(origin),
        engine(engine),
        options(std::move(given)),
        origin_bytes(metrics.CounterFor("savory_origin_bytes_total")),
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
    // Each change of the members makes agents wait with their own pieces: only real ones are told.
    if (members_changed) this->SpreadMembers();
    this->Follow();
  }

  void EnsureSpreader() {
    if (this->view.origin_region.empty()) return;
    if (this->spreader && this->spreader_origin_region == this->view.origin_region) return;
    this->spreader_origin_region = this->view.origin_region;
    this->spreader = std::make_unique<ChunkSpreader>(
        SpreadOptions{
            .vm = this->options.peer,
            .region = this->options.region,
            .origin_region = this->view.origin_region,
            .link_bytes_per_second = this->options.link_bytes_per_second,
            .weights_share = kLinkShare,
            .inter_region_bytes_per_second = this->options.region_bytes_per_second * kRegionShare,
            .max_requests = 4,
            .max_uploads = kMaxUploads,
            .request_deadline = kPieceDeadline,
            .remote_deadline = kRemotePieceDeadline,
            .takeover_time = kTakeover,
            .takeover_origin_bytes = kTakeover,
            .max_backoff = kOriginBackoff,
            .origin_bytes_per_second = this->view.origin_bytes_per_second},
        this->store, this->random);
    if (this->newest) this->WantCopy({});
  }

  void SpreadMembers() {
    std::vector<SpreadPeer> members;
    for (const AgentAddress& agent : this->view.agents) {
      members.push_back({.vm = agent.peer, .peer = agent.peer, .region = agent.region});
    }
    this->Spread(PoolMembersChanged{.members = std::move(members)});
  }

  // ---- the wanted version ----

  CopySituation Situation(std::uint64_t version) const {
    CopySituation now{.wanted = version,
                      .engine_version = this->engine_version,
                      .first_copy = !this->newest,
                      .engines_lacking = this->view.engines_lacking,
                      .asked_for = this->asked_for == version,
                      .seeding_agents = this->options.seeding_agents};
    const std::string key = WeightsNameOf(this->view.model, version);
    const std::uint64_t own = RendezvousScore(key, this->options.peer);
    for (const AgentAddress& agent : this->view.agents) {
      const bool near = agent.region == this->options.region;
      if (near && RendezvousScore(key, agent.peer) > own) ++now.rank;
    }
    return now;
  }

  // A message of another agent about weights: one that copies the wanted version asks for it.
  void OnPeerEvent(const SpreadEvent& event) {
    const auto* map = std::get_if<MapReceived>(&event);
    const bool asks =
        std::holds_alternative<RequestReceived>(event) || (map != nullptr && map->reply_wanted);
    if (asks && this->asked_for != this->view.weights_version &&
        (!this->newest || this->newest->version < this->view.weights_version)) {
      this->asked_for = this->view.weights_version;
      this->Follow();
    }
    this->Spread(event);
  }

  void Follow() {
    const std::uint64_t next = this->view.weights_version;
    const std::uint64_t current = this->newest ? this->newest->version : 0;
    if (next <= current || next == this->listing || this->view.origin.empty()) return;
    if (!NeedsCopy(this->Situation(next))) return;
    this->listing = next;
    this->manifests.Find(
        this->view.model, next,
        [this, model = this->view.model, next](std::shared_ptr<const Manifest> manifest) {
          this->next =
              VersionCopy{.model = model, .version = next, .manifest = std::move(manifest)};
          this->next_listed = this->Now();
          this->StartNext();
        });
  }

  // Begins the next version, or leaves it for later when the copy in progress ends soon.
  void StartNext() {
    if (!this->next) return;
    const WeightsCopy* copy =
        this->newest ? this->store.Find(this->newest->manifest->Id()) : nullptr;
    if (copy != nullptr && FinishesFirst({.held = copy->held,
                                          .reachable = this->spreader->Reachable(),
                                          .pieces = copy->chunks.size(),
                                          .newer_known_for = this->Now() - this->next_listed})) {
      return;
    }
    const VersionCopy begun = *std::exchange(this->next, {});
    this->listing = 0;
    this->StartCopy(begun.model, begun.version, begun.manifest);
    this->Follow();
  }

  void StartCopy(const std::string& model, std::uint64_t version,
                 std::shared_ptr<const Manifest> manifest) {
    const CopySituation situation = this->Situation(version);
    const Instant assumed = this->Now() - this->options.assumed_age;
    this->newest = VersionCopy{.model = model,
                               .version = version,
                               .known_since = this->view.wanted_since.value_or(assumed),
                               .manifest = std::move(manifest)};
    const std::uint32_t pieces = this->newest->manifest->ChunkCount();
    this->told.assign(pieces, false);
    this->store.SetWanted(this->newest->manifest);
    this->read_back.clear();
    Log(LogLevel::kInfo, "copy_started",
        {{"version", version},
         {"pieces", pieces},
         {"engine", this->engine_version.value_or(0)},
         {"asked_for", situation.asked_for},
         {"read_back", MayLieAtEngine(situation)},
         {"known_for_ms", ToMillis(this->Now() - this->newest->known_since)}});
    if (MayLieAtEngine(situation)) this->ListStaged();
    this->WantCopy(OriginDelay(situation));
  }

  void WantCopy(Duration origin_delay) {
    this->Spread(CopyWanted{.manifest = this->newest->manifest, .origin_delay = origin_delay});
    this->SpreadMembers();
  }

  // ---- pieces at the engine ----

  void ListStaged() {
    const auto done =
        [this, version = this->newest->version](const Result<std::vector<std::uint32_t>>& pieces) {
          if (!pieces || version != this->newest->version) return;
          this->read_back.assign(pieces.value().begin(), pieces.value().end());
          this->ReadBack();
        };
    this->engine.ListStaged(this->newest->model, this->Guarded(done));
  }

  void ReadBack() {
    while (!this->read_back.empty() && this->read_back_calls < kReadBackCalls) {
      const std::uint32_t piece = this->read_back.front();
      this->read_back.pop_front();
      if (piece >= this->newest->manifest->ChunkCount()) continue;
      ++this->read_back_calls;
      const auto done = [this, source = this->newest->manifest,
                         piece](const Result<std::string>& bytes) {
        --this->read_back_calls;
        if (bytes) this->OnReadBack(*source, piece, bytes.value());
        this->ReadBack();
      };
      this->engine.ReadStaged(this->newest->model, piece, this->Guarded(done));
    }
  }

  void OnReadBack(const Manifest& source, std::uint32_t piece, const std::string& bytes) {
    auto verified = VerifiedChunk::Verify(source, piece, ChunkOf(bytes));
    // Pieces of an earlier version lie there until they are replaced.
    if (!verified || this->newest->manifest->Id() != source.Id()) return;
    if (!this->told[piece]) {
      this->told[piece] = true;
      if (this->on_piece) this->on_piece(this->newest->version, piece, true);
    }
    this->Spread(ChunkArrived{.from = "", .chunk = std::move(*verified)});
  }

  // ---- spreading ----

  void Spread(const SpreadEvent& event) {
    if (!this->spreader) return;
    for (const SpreadAction& action : this->spreader->Handle(this->Now(), event)) {
      std::visit([this](const auto& item) { this->Do(item); }, action);
    }
    this->TellPieces();
  }

  void TellPieces() {
    if (!this->newest) return;
    const WeightsCopy* copy = this->store.Find(this->newest->manifest->Id());
    if (copy == nullptr) return;
    for (std::uint32_t i = 0; i < this->told.size(); ++i) {
      if (this->told[i] || !copy->Holds(i)) continue;
      this->told[i] = true;
      if (this->on_piece) this->on_piece(this->newest->version, i, false);
    }
  }

  template <typename Message>
  void Do(const Message& action) {
    this->link.Send(action);
  }

  void Do(const ReadOrigin& action) {
    const auto done = [this, source = this->newest->manifest,
                       chunk = action.chunk](const Result<std::string>& bytes) {
      this->OnOriginRead(*source, chunk, bytes);
    };
    this->origin.ReadChunk(this->newest->model, this->newest->version, action.chunk,
                           this->Guarded(done));
  }

  void OnOriginRead(const Manifest& source, std::uint32_t chunk, const Result<std::string>& bytes) {
    if (!bytes) {
      Log(LogLevel::kWarn, "origin_read_failed",
          {{"piece", chunk}, {"reason", Describe(bytes.error())}});
      this->Spread(OriginFailed{.manifest = source.Id(), .chunk = chunk});
      return;
    }
    this->origin_bytes.Add(bytes.value().size());
    auto verified = VerifiedChunk::Verify(source, chunk, ChunkOf(bytes.value()));
    if (verified) {
      this->Spread(OriginChunkRead{.chunk = std::move(*verified)});
      return;
    }
    // The list of pieces is fixed, so wrong bytes were spoilt on the way: they are read again.
    Log(LogLevel::kWarn, "origin_piece_corrupt", {{"piece", chunk}});
    this->Spread(OriginFailed{.manifest = source.Id(), .chunk = chunk});
  }

  void Do(const ChunkTransferTimed& action) {
    this->yield.OnChunkTransferred(action.time, this->Now());
  }
  void Do(const ProbeOrigin&) { this->Spread(OriginProbed{.changed = true}); }
  void Do(const CopyStopped&) {}
  void Do(const CopyResumed&) {}
  void Do(const CopyComplete&) {
    Log(LogLevel::kInfo, "copy_complete",
        {{"version", this->newest->version},
         {"known_for_ms", ToMillis(this->Now() - this->newest->known_since)},
         {"origin_bytes", this->origin_bytes.Value()}});
  }

  // ---- the link ----

  // Weights give way to the answers of the engine when the link is narrower than its settings say.
  // An engine that gets no requests, because it holds older weights than it must, needs them at
  // once.
  void WatchLink() {
    const Instant now = this->Now();
    if (this->engine_requests == 0) {
      this->yield.Reset();
      return this->TellYield();
    }
    this->yield.Advance(now);
    this->TellYield();
    if (!this->yield.ProbeIsDue(now)) return;
    if (const AgentAddress* peer = this->RandomNeighbour()) {
      this->link.Probe(peer->peer, this->yield.StartProbe(now));
    }
  }

  void TellYield() {
    const LinkStateChanged next{.until = this->yield.PausedUntil(),
                                .state = this->yield.State(this->Now())};
    if (next.state == this->yielded.state && next.until <= this->yielded.until) return;
    if (next.state != this->yielded.state) {
      Log(LogLevel::kInfo, "link_state",
          {{"state", LinkStateName(next.state)},
           {"pause_ms", std::max<std::int64_t>(0, ToMillis(next.until - this->Now()))},
           {"engine_requests", this->engine_requests},
           {"version", this->newest ? this->newest->version : 0}});
    }
    this->yielded = next;
    this->Spread(next);
  }

  const AgentAddress* RandomNeighbour() {
    std::vector<const AgentAddress*> near;
    for (const AgentAddress& agent : this->view.agents) {
      const bool other = agent.peer != this->options.peer;
      if (other && agent.region == this->options.region) near.push_back(&agent);
    }
    return near.empty() ? nullptr : near[UniformBelow(this->random, near.size())];
  }

  void LogProgress() {
    if (!this->newest || this->Now() < this->next_progress) return;
    const WeightsCopy* copy = this->store.Find(this->newest->manifest->Id());
    if (copy == nullptr || copy->IsComplete()) return;
    this->next_progress = this->Now() + kProgressPeriod;
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

void WeightsCopier::OnPiece(PieceListener listener) { this->impl->on_piece = std::move(listener); }

void WeightsCopier::Start() {
  this->impl->manifests.Start();
  this->impl->link.OnProbeAnswer(
      this->impl->Guarded([self = this->impl.get()](std::uint64_t number) {
        self->yield.OnProbeReply(number, self->Now());
      }));
  this->impl->link.Start(this->impl->Guarded(
      [self = this->impl.get()](const SpreadEvent& event) { self->OnPeerEvent(event); }));
}

void WeightsCopier::SetFleet(const FleetView& view) { this->impl->SetFleet(view); }

void WeightsCopier::SetEngineVersion(std::optional<std::uint64_t> version) {
  this->impl->engine_version = version;
  this->impl->Follow();
}

void WeightsCopier::SetEngineRequests(std::uint32_t requests) {
  this->impl->engine_requests = requests;
}

void WeightsCopier::Tick() {
  this->impl->StartNext();
  if (this->IsActive() || this->impl->yielded.state != LinkState::kFree) this->impl->WatchLink();
  this->impl->Spread(SpreadTick{});
  this->impl->LogProgress();
}

bool WeightsCopier::IsActive() const {
  if (this->impl->next) return true;
  return this->impl->spreader && this->impl->spreader->IsActive();
}

const std::optional<VersionCopy>& WeightsCopier::Newest() const { return this->impl->newest; }

const WeightsCopy* WeightsCopier::Find(const Manifest& manifest) const {
  return this->impl->store.Find(manifest.Id());
}

}  // namespace savory
