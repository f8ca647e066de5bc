#include "direct/agent.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/process_start.h"
#include "base/random.h"
#include "direct/copy_policy.h"
#include "direct/engine_loader.h"
#include "direct/manifest_exchange.h"
#include "direct/tool_server.h"
#include "direct/weights_copier.h"
#include "distribution/engine_control.h"
#include "fleet/agent_links.h"
#include "runtime/async_http_server.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"
#include "runtime/process_load.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr Duration kIdleTickPeriod = milliseconds(200);
// Used while a copy or a load is in progress.
constexpr Duration kActiveTickPeriod = milliseconds(10);
// Entries of the same region get a report of a changed load at this period. They also learn the
// load of engines that they use from the answers.
constexpr Duration kPollPeriod = milliseconds(200);
// Used while less than half of the slots are taken, when a request fits whatever others send, or
// while no entry follows the load.
constexpr Duration kLightLoadPollPeriod = milliseconds(400);
// Used while a load is about to start or in progress.
constexpr Duration kLoadPollPeriod = milliseconds(40);
constexpr Duration kProcessLoadPeriod = std::chrono::seconds(10);
// Smaller corrections of the time since when a version is wanted come from message delays.
constexpr Duration kMinLoggedCorrection = milliseconds(100);
// Longest frame without a chunk: lists of digests, and news of the whole fleet.
constexpr std::size_t kFrameReserve = std::size_t{4} * 1024 * 1024;
// The engine counts as unreachable after this many consecutive failed reads of its state.
constexpr int kFailuresUntilUnreachable = 2;

}  // namespace

struct DirectAgent::Impl {
  EventLoop& loop;
  Metrics& metrics;
  DirectAgentSettings settings;
  EngineControl& engine_control;
  Random random{std::random_device()()};
  PeerTransport peers;
  ProcessLoad process_load;
  AgentLinks links;
  WeightsCopier copier;
  EngineLoader loader;
  AsyncHttpServer metrics_server;
  FleetView view = {};
  RolloutPosition position =
      {};  // for `view`; cached because computing it takes one hash per agent
  std::optional<EngineState> engine = {};
  int failed_reads = 0;
  bool report_unreadable = false;
  bool polling = false;
  Instant next_poll = {};
  EngineReport last_report = {};

  Impl(EventLoop& loop, Metrics& metrics, DirectAgentSettings given, DirectAgentAdapter adapter)
      : loop(loop),
        metrics(metrics),
        settings(std::move(given)),
        engine_control(adapter.engine),
        peers(loop, metrics,
              {.listen = this->settings.process.peer,
               .vm = this->settings.process.vm,
               .incarnation = MakeIncarnation(),
               .max_frame_bytes = kFrameReserve + this->settings.max_chunk_bytes}),
        process_load(loop, metrics, this->peers),
        links(loop, this->peers, metrics,
              {.region = this->settings.process.region,
               .agent_port = this->settings.process.peer_port,
               .history_time = this->settings.weights_deadline + kHistoryReserve}),
        copier(loop, this->peers, metrics, this->random, adapter.origin, adapter.engine,
               {.peer = this->settings.process.peer,
                .region = this->settings.process.region,
                .link_bytes_per_second = this->settings.link_bytes_per_second,
                .region_bytes_per_second = this->settings.region_bytes_per_second,
                .assumed_age = this->settings.weights_deadline - kUnknownAgeGrace,
                .deadline = this->settings.weights_deadline}),
        loader(loop, metrics, adapter.engine, this->copier,
               {.deadline = this->settings.weights_deadline}),
        metrics_server(loop, ToolServerOptions(), [this](const SharedExchange& exchange) {
          const std::vector<HttpField> fields = {{.name = "Content-Type", .value = "text/plain"}};
          exchange->Answer(200, fields, this->metrics.Render());
        }) {}

  Instant Now() const { return this->loop.Now(); }

  // Returns -1 if it is not known since when the version is wanted.
  std::int64_t WantedForMs(const FleetView& fleet) const {
    return fleet.wanted_since ? ToMillis(this->Now() - *fleet.wanted_since) : -1;
  }

  void LogCorrection(const FleetView& next) const {
    if (next.weights_version != this->view.weights_version || !next.wanted_since) return;
    const Instant before = this->view.wanted_since.value_or(Instant::max());
    if (before - *next.wanted_since < kMinLoggedCorrection) return;
    Log(LogLevel::kInfo, "weights_wanted_since",
        {{"version", next.weights_version},
         {"known_for_ms", this->WantedForMs(next)},
         {"known_for_ms_before", this->WantedForMs(this->view)}});
  }

  void OnViewChange(const FleetView& next) {
    if (next.weights_version > this->view.weights_version) {
      Log(LogLevel::kInfo, "weights_wanted",
          {{"model", next.model},
           {"version", next.weights_version},
           {"known_for_ms", this->WantedForMs(next)}});
    }
    this->LogCorrection(next);
    this->view = next;
    this->position = this->ComputePosition();
    this->copier.SetFleet(next);
    this->loader.SetVouched(next.vouched_weights);
    this->AdvanceLoad();
  }

  // Engines load a version in the order of their rendezvous hash.
  RolloutPosition ComputePosition() const {
    const std::string key = WeightsNameOf(this->view.model, this->view.weights_version);
    const std::uint64_t own = RendezvousScore(key, this->settings.process.peer);
    RolloutPosition position{.engines = std::max<std::size_t>(1, this->view.agents.size()),
                             .may_interrupt = this->view.requests_resumable};
    for (const AgentAddress& agent : this->view.agents) {
      if (RendezvousScore(key, agent.peer) < own) ++position.rank;
    }
    return position;
  }

  void AdvanceLoad() {
    this->loader.Advance(this->position);
    this->Report(false);
  }

  // ---- the engine ----

  Duration PollPeriod() const {
    if (!this->loader.Accepting()) return kLoadPollPeriod;
    const bool light = this->engine && 2 * (this->engine->running + this->engine->waiting) <
                                           std::max(1u, this->engine->slots);
    return light || this->links.Followers() == 0 ? kLightLoadPollPeriod : kPollPeriod;
  }

  void Poll() {
    const Instant now = this->Now();
    if (this->polling || now < this->next_poll) return;
    this->polling = true;
    this->next_poll = now + this->PollPeriod();
    this->engine_control.ReadState([this, now](const Result<EngineState>& state) {
      this->polling = false;
      if (state) {
        this->OnState(state.value(), now);
      } else {
        this->OnStateError(state.error());
      }
    });
  }

  // The engine answers, but not with a report. It goes on with what it does, and its requests with
  // it: what it reported last holds, but for its load, which entries learn from its answers.
  void OnUnreadableReport(const Error& error) {
    this->failed_reads = 0;
    if (std::exchange(this->report_unreadable, true)) return;
    Log(LogLevel::kWarn, "engine_report_unreadable",
        {{"reason", Describe(error)}, {"weights", this->engine->weights_version}});
    this->Report(true);
  }

  void OnStateError(const Error& error) {
    if (error.kind == ErrorKind::kMalformed && this->engine) return this->OnUnreadableReport(error);
    // A refused connection proves that the engine is down; a late answer may come from a short
    // overload.
    this->failed_reads += error.kind == ErrorKind::kUnavailable ? kFailuresUntilUnreachable : 1;
    if (this->failed_reads < kFailuresUntilUnreachable || !this->engine) return;
    Log(LogLevel::kWarn, "engine_lost", {{"reason", Describe(error)}});
    this->engine.reset();
    this->loader.SetEngineUnreachable();
    this->copier.SetEngineVersion({});
    this->copier.SetEngineRequests(0, false);
    this->Report(true);
  }

  void OnState(const EngineState& state, Instant asked) {
    const bool newly_reachable = !this->engine;
    const std::uint64_t before = newly_reachable ? 0 : this->engine->weights_version;
    this->failed_reads = 0;
    if (std::exchange(this->report_unreadable, false)) {
      Log(LogLevel::kInfo, "engine_report_readable", {{"weights", state.weights_version}});
    }
    this->engine = state;
    if (newly_reachable || before != state.weights_version) {
      Log(LogLevel::kInfo, newly_reachable ? "engine_seen" : "engine_weights",
          {{"weights", state.weights_version},
           {"before", before},
           {"running", state.running},
           {"wanted", this->view.weights_version},
           {"known_for_ms", this->WantedForMs(this->view)}});
    }
    this->loader.SetEngineState(state, asked);
    // The chunks prove a load that nobody vouches for, or it is repeated with them.
    const bool copies_again = this->loader.HasUnknownLoad();
    this->copier.SetEngineVersion(copies_again ? 0 : state.weights_version);
    const bool accepting = this->loader.Accepting() && !state.busy && state.weights_version > 0;
    this->copier.SetEngineRequests(state.running + state.waiting, accepting);
    this->AdvanceLoad();
    if (newly_reachable) this->Report(true);
  }

  // Reports to the entries: immediately if `urgent` or if the engine's reachability, its weights
  // version or whether it accepts requests changed; with the next periodic report otherwise.
  void Report(bool urgent) {
    EngineReport report{.address = this->settings.engine,
                        .load_known = !this->report_unreadable,
                        .reachable = this->engine.has_value(),
                        .accepting = this->loader.Accepting()};
    if (this->engine) {
      report.load = {.running = this->engine->running,
                     .waiting = this->engine->waiting,
                     .slots = this->engine->slots};
      report.weights_version = this->engine->weights_version;
      report.accepting =
          report.accepting && !this->engine->busy && !this->copier.DelaysRequestsTooLong();
      report.pace = this->engine->pace;
      report.kv_used = this->engine->kv_used;
    }
    if (report.accepting != this->last_report.accepting) this->LogAccepting(report);
    const bool changed = report.reachable != this->last_report.reachable ||
                         report.accepting != this->last_report.accepting ||
                         report.weights_version != this->last_report.weights_version;
    this->last_report = report;
    this->links.Report(report, urgent || changed);
  }

  void LogAccepting(const EngineReport& report) const {
    Log(LogLevel::kInfo, "engine_accepting",
        {{"accepting", report.accepting},
         {"weights", report.weights_version},
         {"busy", this->engine && this->engine->busy},
         {"delays_requests", this->copier.DelaysRequestsTooLong()}});
  }

  // ---- periodic work ----

  void Tick() {
    FlushLog();
    this->copier.Tick();
    this->Poll();
    this->AdvanceLoad();
    const bool outdated =
        this->engine && this->engine->weights_version < this->view.weights_version;
    const bool active = this->copier.IsActive() || !this->loader.Accepting() || outdated;
    this->loop.After(active ? kActiveTickPeriod : kIdleTickPeriod, [this] { this->Tick(); });
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
    this->links.OnViewChange([this](const FleetView& next) { this->OnViewChange(next); });
    this->copier.OnChunk([this](std::uint64_t version, std::uint32_t chunk,
                                const std::optional<CallTimes>& read_back) {
      this->loader.AddChunk(version, chunk, read_back);
    });
    this->copier.OnNewestFound([this](const std::string& model, std::uint64_t version) {
      this->links.SetFoundVersion(model, version);
      this->Report(true);
    });
    this->loader.OnLoadRequestDone([this] {
      this->next_poll = {};
      this->Report(true);
    });
    this->loop.OnSignal(SIGTERM, [this] {
      Log(LogLevel::kInfo, "stopping");
      this->loop.Stop();
    });
    this->loop.OnSignal(SIGHUP, [] { Log(LogLevel::kInfo, "settings_unchanged"); });
    this->process_load.Start(kProcessLoadPeriod);
    this->copier.Start();
    this->links.Start();
    this->Tick();
    this->loop.Run();
    FlushLogAtExit();
    return EXIT_SUCCESS;
  }
};

DirectAgent::DirectAgent(EventLoop& loop, Metrics& metrics, DirectAgentSettings settings,
                         DirectAgentAdapter adapter)
    : impl(std::make_unique<Impl>(loop, metrics, std::move(settings), adapter)) {}
DirectAgent::~DirectAgent() = default;

int DirectAgent::Run() { return this->impl->Run(); }

}  // namespace savory
