#include "direct/agent.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <optional>

#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "distribution/chunk_spreader.h"
#include "distribution/chunk_store.h"
#include "distribution/engine_control.h"
#include "distribution/engine_rollout.h"
#include "distribution/manifest.h"
#include "distribution/spread_link.h"
#include "fleet/agent_links.h"
#include "runtime/async_http_server.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(100);
// While a copy or a load is in progress.
constexpr Duration kActiveTick = milliseconds(10);
constexpr Duration kPollIdle = milliseconds(200);
constexpr Duration kPollActive = milliseconds(40);
// Reads of the list of pieces are spread over this time, since the origin takes few connections.
constexpr double kListSpreadSeconds = 0.15;
constexpr Duration kListRetry = milliseconds(300);
// Answers to an engine's state that fail in a row before it counts as unreachable.
constexpr int kLostAfter = 2;
constexpr Duration kProgressPeriod = milliseconds(500);
// Live requests share the links between regions: weights take this part.
constexpr double kRegionShare = 0.7;
// Another agent reads a piece from the origin when none has appeared for this long. Long enough for
// a piece to pass through the origin's queue, short against the time that a version has.
constexpr Duration kTakeover = milliseconds(1200);
// A piece of a peer that has not come after this time is asked for elsewhere.
constexpr Duration kPieceDeadline = milliseconds(1200);

std::uint64_t StartTime() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

SharedChunk ChunkOf(const std::string& bytes) {
  const auto view = std::as_bytes(std::span(bytes));
  return std::make_shared<const std::vector<std::byte>>(view.begin(), view.end());
}

}  // namespace

struct DirectAgent::Impl {
  EventLoop& loop;
  Metrics& metrics;
  DirectAgentSettings settings;
  DirectAgentAdapter adapter;
  Random random{std::random_device()()};
  PeerTransport peers;
  AgentLinks links;
  ChunkStore store{0};
  SpreadLink spread_link;
  std::unique_ptr<ChunkSpreader> spreader = {};  // once the regions are known
  std::string spread_origin_region = {};
  EngineRollout rollout;
  AsyncHttpServer metrics_server;
  Counter& origin_bytes;
  Counter& loads;

  FleetView view = {};
  std::uint64_t wanted = 0;           // version whose weights are copied
  std::uint64_t listing = 0;          // version whose list of pieces is being read
  std::shared_ptr<const Manifest> manifest = {};
  std::optional<EngineState> engine = {};
  int failed_reads = 0;
  bool polling = false;
  Instant next_poll = {};
  EngineReport reported = {};
  Instant next_progress = {};
  bool stopping = false;

  Impl(EventLoop& loop, Metrics& metrics, DirectAgentSettings given, DirectAgentAdapter adapter)
      : loop(loop),
        metrics(metrics),
        settings(std::move(given)),
        adapter(adapter),
        peers(loop, metrics,
              {.listen = this->settings.process.peer,
               .vm = this->settings.process.vm,
               .incarnation = StartTime()}),
        links(loop, this->peers, metrics, {}),
        spread_link(this->peers, metrics, this->store, VerifyInPlace()),
        rollout({.deadline = this->settings.weights_deadline}),
        metrics_server(loop, {},
                       [this](const SharedExchange& exchange) { this->AnswerMetrics(*exchange); }),
        origin_bytes(metrics.CounterFor("savory_origin_bytes_total")),
        loads(metrics.CounterFor("savory_load_orders_total")) {}

  Instant Now() const { return this->loop.Now(); }

  // ---- the fleet ----

  void OnView(const FleetView& next) {
    const bool newer = next.weights_version > this->view.weights_version;
    this->view = next;
    this->adapter.origin.SetAddress(next.origin);
    this->spread_link.SetOrigin(next.origin);
    this->EnsureSpreader();
    if (newer) {
      Log(LogLevel::kInfo, "weights_wanted",
          {{"model", next.model},
           {"version", next.weights_version},
           {"known_for_ms", ToMillis(this->Now() - next.wanted_since)}});
    }
    this->SpreadMembers();
    this->rollout.SetTurn(this->Turn());
    this->FollowVersion();
  }

  void EnsureSpreader() {
    if (this->view.origin_region.empty()) return;
    if (this->spreader && this->spread_origin_region == this->view.origin_region) return;
    this->spread_origin_region = this->view.origin_region;
    this->spreader = std::make_unique<ChunkSpreader>(
        SpreadOptions{
            .vm = this->settings.process.peer,
            .region = this->settings.process.region,
            .origin_region = this->view.origin_region,
            .link_bytes_per_second = this->settings.link_bytes_per_second,
            .weights_share = 0.95,
            .inter_region_bytes_per_second = this->settings.region_bytes_per_second * kRegionShare,
            .max_requests = 4,
            .request_deadline = kPieceDeadline,
            .remote_deadline = kPieceDeadline,
            .takeover_time = kTakeover,
            .takeover_origin_bytes = kTakeover},
        this->store, this->random);
    if (this->manifest) this->WantCopy();
  }

  void SpreadMembers() {
    if (!this->spreader) return;
    std::vector<SpreadPeer> members;
    for (const AgentAddress& agent : this->view.agents) {
      members.push_back({.vm = agent.peer, .peer = agent.peer, .region = agent.region});
    }
    this->Spread(PoolMembersChanged{.members = std::move(members)});
  }

  // The engines take a version in the order of their hash.
  RolloutTurn Turn() const {
    const std::string key = this->view.model + "@" + std::to_string(this->wanted);
    const std::uint64_t own = RendezvousScore(key, this->settings.process.peer);
    RolloutTurn turn{.engines = std::max<std::size_t>(1, this->view.agents.size())};
    for (const AgentAddress& agent : this->view.agents) {
      if (RendezvousScore(key, agent.peer) < own) ++turn.rank;
    }
    return turn;
  }

  // ---- the wanted version ----

  void FollowVersion() {
    const std::uint64_t next = this->view.weights_version;
    if (next <= this->wanted || next == this->listing || this->view.origin.empty()) return;
    // An engine that holds the version needs its pieces only to help others, which then have them.
    if (!this->rollout.MayReplace(next, this->Now())) return;
    this->listing = next;
    const Duration spread = FromSeconds(kListSpreadSeconds * UniformUnit(this->random));
    this->loop.After(spread, [this, next] { this->ReadPieceList(next); });
  }

  void ReadPieceList(std::uint64_t version) {
    const std::string model = this->view.model;
    this->adapter.origin.ReadPieceList(
        model, version, [this, model, version](const Result<PieceList>& list) {
          if (version != this->listing) return;
          if (!list) {
            Log(LogLevel::kWarn, "piece_list_failed",
                {{"version", version}, {"reason", Describe(list.error())}});
            this->loop.After(kListRetry, [this, version] {
              if (version != this->listing) return;
              this->listing = 0;
              this->FollowVersion();
            });
            return;
          }
          this->listing = 0;
          this->StartCopy(model, version, list.value());
        });
  }

  void StartCopy(const std::string& model, std::uint64_t version, const PieceList& list) {
    if (version <= this->wanted) return;
    this->wanted = version;
    this->manifest = std::make_shared<const Manifest>(Manifest::FromChunks(
        list.digests, list.piece_bytes, model + "@" + std::to_string(version)));
    this->store.Want(this->manifest);
    this->rollout.Want(model, version, this->manifest->ChunkCount(), this->view.wanted_since,
                       this->Turn());
    Log(LogLevel::kInfo, "copy_started",
        {{"version", version}, {"pieces", this->manifest->ChunkCount()}});
    this->WantCopy();
  }

  void WantCopy() {
    if (!this->spreader) return;
    this->Spread(CopyWanted{.manifest = this->manifest});
    this->SpreadMembers();
    this->NoteHeld();
  }

  // ---- spreading ----

  void Spread(const SpreadEvent& event) {
    if (!this->spreader) return;
    for (const SpreadAction& action : this->spreader->Handle(this->Now(), event)) {
      std::visit([this](const auto& item) { this->Do(item); }, action);
    }
    this->NoteHeld();
  }

  template <typename Message>
  void Do(const Message& action) {
    this->spread_link.Send(action);
  }

  void Do(const ReadOrigin& action) {
    this->adapter.origin.ReadPiece(
        this->view.model, this->wanted, action.chunk,
        [this, source = this->manifest, chunk = action.chunk](const Result<std::string>& bytes) {
          this->OnOriginRead(*source, chunk, bytes);
        });
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
    Log(LogLevel::kWarn, "origin_piece_corrupt", {{"piece", chunk}, {"version", this->wanted}});
    // The list of pieces is fixed, so wrong bytes were spoilt on the way: they are read again.
    this->Spread(OriginFailed{.manifest = source.Id(), .chunk = chunk});
  }

  void Do(const ProbeOrigin&) { this->Spread(OriginProbed{.changed = true}); }
  void Do(const CopyStopped&) {}
  void Do(const CopyResumed&) {}
  void Do(const CopyComplete&) {
    Log(LogLevel::kInfo, "copy_complete",
        {{"version", this->wanted},
         {"known_for_ms", ToMillis(this->Now() - this->view.wanted_since)},
         {"origin_bytes", this->origin_bytes.Value()}});
  }

  void NoteHeld() {
    if (!this->manifest) return;
    const WeightsCopy* copy = this->store.Find(this->manifest->Id());
    if (copy == nullptr) return;
    for (std::uint32_t i = 0; i < this->manifest->ChunkCount(); ++i) {
      if (copy->Holds(i)) this->rollout.PieceHeld(i);
    }
  }

  // ---- the engine ----

  void AdvanceRollout() {
    for (const RolloutAction& action : this->rollout.Advance(this->Now())) {
      std::visit([this](const auto& item) { this->Do(item); }, action);
    }
    this->Report(false);
  }

  void Do(const StagePiece& action) {
    const WeightsCopy* copy = this->store.Find(this->manifest->Id());
    const std::uint64_t version = this->wanted;
    const std::string bytes(AsText(*copy->chunks[action.piece]));
    this->adapter.engine.Stage(
        this->view.model, action.piece, bytes,
        [this, version, piece = action.piece](const Result<void>& stored) {
          if (!stored) {
            Log(LogLevel::kWarn, "stage_failed",
                {{"piece", piece}, {"reason", Describe(stored.error())}});
          }
          this->rollout.PieceStaged(version, piece, stored.has_value(), this->Now());
          if (stored) this->AdvanceRollout();
        });
  }

  void Do(const CheckPiece& action) {
    this->adapter.engine.ReadStaged(
        this->view.model, action.piece,
        [this, source = this->manifest, version = this->wanted,
         piece = action.piece](const Result<std::string>& bytes) {
          const bool intact =
              bytes && Sha256(std::string_view(bytes.value())) == source->DigestOf(piece);
          if (!intact) Log(LogLevel::kWarn, "staged_piece_bad", {{"piece", piece}});
          this->rollout.PieceChecked(version, piece, intact, this->Now());
          this->AdvanceRollout();
        });
  }

  void Do(const OrderWeights& action) {
    this->loads.Add();
    Log(LogLevel::kInfo, "load_ordered",
        {{"version", action.version},
         {"orders", action.orders},
         {"known_for_ms", ToMillis(this->Now() - this->view.wanted_since)},
         {"running", this->engine ? this->engine->running : 0}});
    this->adapter.engine.OrderLoad(
        action.model, action.version, action.orders,
        [this, version = action.version](OrderAnswer answer) {
          Log(LogLevel::kInfo, "load_answered",
              {{"version", version}, {"answer", static_cast<int>(answer)}});
          this->rollout.OrderAnswered(answer, this->Now());
          this->next_poll = {};
          this->Report(true);
        });
  }

  void Poll() {
    const Instant now = this->Now();
    if (this->polling || now < this->next_poll) return;
    this->polling = true;
    const bool active = !this->rollout.Accepting();
    this->next_poll = now + (active ? kPollActive : kPollIdle);
    this->adapter.engine.ReadState([this, now](const Result<EngineState>& state) {
      this->polling = false;
      this->OnState(state, now);
    });
  }

  void OnState(const Result<EngineState>& state, Instant asked) {
    if (!state) {
      // A refused connection is certain; an answer that is late may be a moment of load.
      const bool refused = state.error().kind == ErrorKind::kUnavailable;
      this->failed_reads += refused ? kLostAfter : 1;
      if (this->failed_reads >= kLostAfter && this->engine) {
        Log(LogLevel::kWarn, "engine_lost", {{"reason", Describe(state.error())}});
        this->engine.reset();
        this->rollout.EngineLost();
        this->Report(true);
      }
      return;
    }
    const bool back = !this->engine;
    this->failed_reads = 0;
    const std::uint64_t before = this->engine ? this->engine->weights_version : 0;
    this->engine = state.value();
    if (back || before != this->engine->weights_version) {
      Log(LogLevel::kInfo, back ? "engine_seen" : "engine_weights",
          {{"weights", this->engine->weights_version},
           {"before", before},
           {"running", this->engine->running},
           {"known_for_ms", ToMillis(this->Now() - this->view.wanted_since)}});
    }
    this->rollout.EngineSeen(*this->engine, asked);
    this->AdvanceRollout();
    this->Report(back);
    this->FollowVersion();
  }

  // Tells the entries; at once when what they may send has changed.
  void Report(bool urgent) {
    EngineReport report{.address = this->settings.engine,
                        .reachable = this->engine.has_value(),
                        .accepting = this->rollout.Accepting() && !this->stopping};
    if (this->engine) {
      report.load = {.running = this->engine->running,
                     .waiting = this->engine->waiting,
                     .slots = this->engine->slots};
      report.weights_version = this->engine->weights_version;
      report.accepting = report.accepting && !this->engine->busy;
      report.pace = this->engine->pace;
      report.kv_used = this->engine->kv_used;
    }
    const bool changed = report.reachable != this->reported.reachable ||
                         report.accepting != this->reported.accepting ||
                         report.weights_version != this->reported.weights_version;
    this->reported = report;
    this->links.Report(report, urgent || changed);
  }

  void AnswerMetrics(HttpExchange& exchange) {
    const std::vector<HttpField> fields = {{.name = "Content-Type", .value = "text/plain"}};
    exchange.Answer(200, fields, this->metrics.Render());
  }

  // ---- time ----

  void LogProgress() {
    const WeightsCopy* copy = this->manifest ? this->store.Find(this->manifest->Id()) : nullptr;
    if (copy == nullptr || copy->IsWhole() || this->Now() < this->next_progress) return;
    this->next_progress = this->Now() + kProgressPeriod;
    Log(LogLevel::kInfo, "copy_progress",
        {{"version", this->wanted}, {"held", copy->held}, {"of", copy->chunks.size()}});
  }

  void Tick() {
    FlushLog();
    this->LogProgress();
    this->Spread(SpreadTick{});
    this->Poll();
    this->AdvanceRollout();
    const bool active = (this->spreader && this->spreader->IsActive()) ||
                        !this->rollout.Accepting() ||
                        (this->wanted > 0 && !this->rollout.IsDone());
    this->loop.After(active ? kActiveTick : kTick, [this] { this->Tick(); });
  }

  int Run() {
    Log(LogLevel::kInfo, "started",
        {{"engine", this->settings.engine}, {"peer", this->settings.process.peer}});
    if (!this->settings.process.metrics.empty()) {
      const auto listening = this->metrics_server.Listen(this->settings.process.metrics);
      if (!listening) {
        Log(LogLevel::kError, "listen_failed", {{"reason", Describe(listening.error())}});
        FlushLog();
        return EXIT_FAILURE;
      }
    }
    this->links.OnView([this](const FleetView& next) { this->OnView(next); });
    this->loop.OnSignal(SIGTERM, [this] {
      Log(LogLevel::kInfo, "stopping");
      this->loop.Stop();
    });
    this->loop.OnSignal(SIGHUP, [] { Log(LogLevel::kInfo, "settings_unchanged"); });
    this->spread_link.Start([this](const SpreadEvent& event) { this->Spread(event); });
    this->links.Start();
    this->Tick();
    this->loop.Run();
    FlushLog();
    return EXIT_SUCCESS;
  }
};

DirectAgent::DirectAgent(EventLoop& loop, Metrics& metrics, DirectAgentSettings settings,
                         DirectAgentAdapter adapter)
    : impl(std::make_unique<Impl>(loop, metrics, std::move(settings), adapter)) {}
DirectAgent::~DirectAgent() = default;

int DirectAgent::Run() { return this->impl->Run(); }

}  // namespace savory
