#include "direct/entry.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>

#include "admission/admission_log.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/process_start.h"
#include "base/random.h"
#include "direct/copy_policy.h"
#include "direct/crash_exchange.h"
#include "direct/explain_service.h"
#include "direct/newer_record.h"
#include "direct/start_timeline.h"
#include "direct/tool_server.h"
#include "direct/wanted_versions.h"
#include "fleet/agent_list.h"
#include "fleet/entry_links.h"
#include "records/record_sync.h"
#include "relay/entry_demand_tracker.h"
#include "relay/record_codec.h"
#include "relay/relay.h"
#include "relay/relay_codec.h"
#include "relay/request_explanation.h"
#include "relay/upstream_list.h"
#include "runtime/async_http_server.h"
#include "runtime/event_loop.h"
#include "runtime/http_connection_pool.h"
#include "runtime/input_budget.h"
#include "runtime/peer_transport.h"
#include "runtime/process_load.h"
#include "runtime/unfinished_connection.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMaintenancePeriod = milliseconds(100);
// The platform stops sending connections two readiness checks after SIGTERM. Requests that arrive
// until then are still accepted.
constexpr Duration kAcceptDuringStop = milliseconds(2800);
// Idle connections are closed this long after SIGTERM. By then, callers that send requests have got
// answers that ask them to close the connection; the others send nothing.
constexpr Duration kIdleConnectionLinger = milliseconds(2000);
constexpr Duration kMinStopTime = milliseconds(3200);
// The process exits this long before the platform would kill it at the end of the grace period.
constexpr Duration kStopReserve = milliseconds(400);
// Requests that are still in progress are answered this long before the process exits, so that the
// answers are sent.
constexpr Duration kLastAnswersReserve = milliseconds(200);
// An entry that knows no upstream becomes ready after this time, because the platform may have
// none.
constexpr Duration kMaxWaitForUpstreams = milliseconds(3000);
// Entries get no weights from peers. Updates of records are sent in parts of half a megabyte, and a
// record of the store has at most one.
constexpr std::size_t kMaxPeerFrameBytes = std::size_t{4} * 1024 * 1024;
constexpr Duration kProcessLoadPeriod = std::chrono::seconds(10);
// An upstream that was removed gets no request from this long before it ends: the removal arrives
// up to 0.2 s late and takes effect with the next maintenance, after up to 0.1 s. A connection that
// takes longer than the rest may still bring a request too late.
constexpr Duration kDrainReserve = milliseconds(400);
// On the address of the metrics.
constexpr std::string_view kRefusalsPath = "/refusals";
constexpr std::string_view kLiftPath = "/refusals/lift";
constexpr std::string_view kExplainPath = "/explain";
// Minimum time between two log lines on the number of engines that the entry follows.
constexpr Duration kFollowLogPeriod = std::chrono::seconds(1);
// The pace of engines changes many times a second.
constexpr Duration kSlowLogPeriod = std::chrono::seconds(1);
constexpr Duration kSilentLogPeriod = std::chrono::seconds(1);
// Smaller corrections of the time since when a version is wanted come from message delays.
constexpr Duration kMinLoggedCorrection = milliseconds(100);
// Log lines at the exit on connections that lose something by it.
constexpr std::size_t kMaxUnfinishedLines = 32;
// Period for checking the modification time of the settings file, which may change without a
// signal.
constexpr Duration kSettingsCheckPeriod = std::chrono::seconds(2);

// Part of the machine's memory for answers that may still be replaced by another upstream's.
constexpr std::uint64_t kBufferedAnswerParts = 5;
InputBudgetOptions MakeInputBudget(const DirectEntrySettings& settings,
                                   const CallerLimits& limits) {
  return BudgetOfMachine(settings.memory_bytes, settings.max_files,
                         limits.max_header_bytes + limits.max_body_bytes);
}

AsyncHttpServerOptions MakeCallerOptions(const DirectEntrySettings& settings,
                                         const CallerLimits& limits) {
  return {.limits = {.max_header_bytes = limits.max_header_bytes,
                     .max_body_bytes = limits.max_body_bytes},
          .header_timeout = limits.header_timeout,
          .idle_timeout = limits.idle_timeout,
          .budget = MakeInputBudget(settings, limits)};
}

EntryLinksOptions MakeLinkOptions(const DirectEntrySettings& settings) {
  EntryLinksOptions options{.presence = {.self = settings.process.peer},
                            .region = settings.process.region,
                            .peer_port = settings.process.peer_port,
                            .regions = settings.process.regions};
  for (const std::string& seed : settings.seeds) {
    options.presence.seeds.push_back(WithPort(seed, settings.process.peer_port));
  }
  return options;
}

UpstreamListOptions MakeListOptions(const DirectEntrySettings& settings) {
  return {.max_deferral = std::max(Duration(0), settings.upstream_drain - kDrainReserve)};
}

RelayOptions MakeRelayOptions(const DirectEntrySettings& settings, Instant now) {
  PlacementOptions placement{.regions = settings.process.regions, .cold = settings.cold};
  placement.cold.started = now;
  RelayOptions options{
      .dispatcher = {.data_centre = settings.process.data_centre,
                     .placement = std::move(placement),
                     .entry = settings.process.peer,
                     .leaving = {.data_centre = settings.process.data_centre,
                                 .entry = settings.process.peer,
                                 .enabled = settings.decides_leaving,
                                 .region_bytes_per_second = settings.region_bytes_per_second}},
      .budget = settings.retry_budget,
      .crashes = {.registry = {.self = settings.process.peer}}};
  if (settings.memory_bytes > 0) {
    options.max_buffered_answers = std::min<std::size_t>(
        options.max_buffered_answers, settings.memory_bytes / kBufferedAnswerParts);
  }
  return options;
}

}  // namespace

struct DirectEntry::Impl {
  EventLoop& loop;
  Metrics& metrics;
  DirectEntrySettings settings;
  DirectEntryAdapter adapter;
  Random random{std::random_device()()};
  PeerTransport peers;
  ProcessLoad process_load;
  HttpConnectionPool connections;
  Relay relay;
  EntryLinks links;
  RecordSync operator_records;
  RecordSync upstream_records;
  CrashExchange crash_exchange;
  UpstreamList upstreams;
  EntryDemandTracker demands;
  std::size_t sharing_entries = 1;
  std::size_t followed_engines = 0;  // as last logged
  std::size_t withheld_engines = 0;  // as last logged
  std::size_t silent_engines = 0;    // as last logged
  Instant silent_logged_at = {};
  Instant follow_logged_at = {};
  std::size_t slow_upstreams = 0;  // as last logged
  Instant slow_logged_at = {};
  AsyncHttpServer callers;
  AsyncHttpServer ready_server;
  AsyncHttpServer metrics_server;
  ExplainService explain_service;
  SharedRouting rules = {};
  std::map<std::string, WantedVersions> wanted_versions = {};  // by model
  // Newest version that engines held or the origin has, by model. Counts while none is announced.
  std::map<std::string, std::uint64_t> unannounced_versions = {};
  std::set<std::string> asked_for_newest = {};   // models whose newest version the origin must tell
  std::set<std::string> seen_with_weights = {};  // ids of upstreams that have held any version
  std::optional<Instant> stopping_since = {};
  Duration stop_time = {};  // from then until the exit; later settings don't change it
  bool was_ready = false;
  using FileTime = std::filesystem::file_time_type;
  FileTime settings_mtime = {};
  bool operator_records_listed = false;
  Instant first_rules_at = {};  // when the first routing rules arrived
  StartTimeline start_timeline;

  Impl(EventLoop& loop, Metrics& metrics, DirectEntrySettings given, DirectEntryAdapter adapter)
      : loop(loop),
        metrics(metrics),
        settings(std::move(given)),
        adapter(adapter),
        peers(loop, metrics,
              {.listen = this->settings.process.peer,
               .vm = this->settings.process.vm,
               .incarnation = MakeIncarnation(),
               .max_frame_bytes = kMaxPeerFrameBytes}),
        process_load(loop, metrics, this->peers),
        connections(loop, metrics, {}),
        relay(loop, this->connections, adapter.requests, metrics, this->random,
              MakeRelayOptions(this->settings, loop.Now())),
        links(loop, this->peers, metrics, MakeLinkOptions(this->settings)),
        operator_records(loop, this->peers, adapter.store, metrics, this->random,
                         {.prefix = adapter.records.OperatorPrefix(),
                          .peer = this->settings.process.peer,
                          .is_newer = std::bind_front(IsNewerRecord, std::cref(adapter.records))}),
        upstream_records(loop, this->peers, adapter.store, metrics, this->random,
                         {.prefix = adapter.records.UpstreamPrefix(),
                          .peer = this->settings.process.peer,
                          .is_newer = std::bind_front(IsNewerRecord, std::cref(adapter.records))}),
        crash_exchange(loop, this->peers, this->links, adapter.store, this->relay.Crashes()),
        upstreams(MakeListOptions(this->settings)),
        demands({.entry = this->settings.process.peer,
                 .data_centre = this->settings.process.data_centre}),
        callers(loop, {.budget = MakeInputBudget(this->settings, {})},
                [this](const SharedExchange& exchange) { this->relay.Serve(exchange); }),
        ready_server(loop, ToolServerOptions(),
                     [this](const SharedExchange& exchange) { this->AnswerReady(*exchange); }),
        metrics_server(loop, ToolServerOptions(),
                       [this](const SharedExchange& exchange) { this->AnswerMetrics(*exchange); }),
        explain_service(
            metrics, {.entry = this->settings.process.vm},
            [this](const RequestQuestion& question) { return this->relay.Explain(question); }),
        start_timeline(loop.Now()) {
    this->callers.SetBodyCheck(
        [this](const HttpHead& head) { return !this->relay.RefusesByHead(head); });
  }

  // ---- records ----

  void OnOperatorRecords(std::span<const Record> changed) {
    std::optional<RoutingRules> newest;
    for (const Record& record : changed) {
      Result<DecodedRecord> decoded = this->adapter.records.Decode(record);
      if (!decoded) {
        this->LogMalformed(record, decoded.error());
        continue;
      }
      if (auto* found = std::get_if<RoutingRules>(&decoded.value())) {
        if (!newest || found->version > newest->version) newest = std::move(*found);
      } else if (const auto* wanted = std::get_if<WeightsWanted>(&decoded.value())) {
        this->OnWeightsWanted(*wanted);
      } else if (const auto* evacuation = std::get_if<Evacuation>(&decoded.value())) {
        this->OnEvacuation(*evacuation);
      }
    }
    this->operator_records_listed = true;
    if (newest) this->ApplyRules(std::move(*newest));
  }

  void OnEvacuation(const Evacuation& evacuation) {
    Placement& places = this->relay.RequestDispatcher().Places();
    if (places.IsEvacuated(evacuation.data_centre) == evacuation.evacuated) return;
    this->relay.RequestDispatcher().SetEvacuated(evacuation.data_centre, evacuation.evacuated,
                                                 this->loop.Now());
    const bool known = !places.RegionOf(evacuation.data_centre).empty();
    Log(known ? LogLevel::kInfo : LogLevel::kError,
        evacuation.evacuated ? "data_centre_evacuated" : "data_centre_returned",
        {{"data_centre", evacuation.data_centre},
         {"known", known},
         {"evacuated", places.Evacuated().size()}});
    this->metrics.GaugeFor("savory_data_centres_evacuated")
        .Set(static_cast<double>(places.Evacuated().size()));
  }

  void LogLeaving() {
    LeavingPolicy& leaving = this->relay.RequestDispatcher().Leaving();
    for (const LeavingChange& change : leaving.TakeChanges(this->loop.Now())) {
      Log(LogLevel::kInfo, change.began ? "leaving_began" : "leaving_ended",
          {{"pool", change.pool},
           {"reason", LeavingReasonName(change.reason)},
           {"strain", change.strain},
           {"left", change.left},
           {"lasted_ms", ToMillis(change.lasted)}});
    }
  }

  void LogSlow() {
    const Instant now = this->loop.Now();
    const std::size_t slow = this->relay.RequestDispatcher().Slow(now);
    if (slow == this->slow_upstreams || now - this->slow_logged_at < kSlowLogPeriod) return;
    Log(LogLevel::kInfo, "upstreams_slow", {{"slow", slow}, {"before", this->slow_upstreams}});
    this->metrics.GaugeFor("savory_upstreams_slow").Set(static_cast<double>(slow));
    this->slow_upstreams = slow;
    this->slow_logged_at = now;
  }

  // An unknown region in the rules has no upstreams. That is more likely a mistake.
  void LogUnknownHomes() {
    for (const std::string& region : this->rules->HomeRegionNames()) {
      if (this->relay.RequestDispatcher().Places().IsKnownRegion(region)) continue;
      Log(LogLevel::kError, "home_region_unknown",
          {{"region", region}, {"rules", this->rules->Version()}});
    }
  }

  // Agents that heard of a version earlier than this entry know better when it was announced, and
  // of versions that were followed by another one before this entry read the store.
  void OnWantedSince(const std::string& model, const VersionTime& wanted) {
    const auto found = this->wanted_versions.find(model);
    if (found == this->wanted_versions.end()) return;
    WantedVersions& versions = found->second;
    const std::optional<Instant> before = versions.WantedSince(wanted.version);
    if (!versions.AddFromAgent(wanted.version, wanted.since, this->loop.Now())) return;
    if (!before || *before - *wanted.since >= kMinLoggedCorrection) {
      Log(LogLevel::kInfo, "weights_wanted_since",
          {{"model", model},
           {"version", wanted.version},
           {"known_for_ms", this->KnownForMs(versions, wanted.version)},
           {"known_for_ms_before", before ? ToMillis(this->loop.Now() - *before) : -1}});
    }
    this->ApplyWantedVersions();
  }

  // Returns -1 if the age of the version is unknown.
  std::int64_t KnownForMs(const WantedVersions& versions, std::uint64_t version) const {
    const std::optional<Instant> since = versions.WantedSince(version);
    return since ? ToMillis(this->loop.Now() - *since) : -1;
  }

  void ApplyRules(RoutingRules found) {
    if (this->rules && found.version <= this->rules->Version()) return;
    Log(LogLevel::kInfo, "rules_applied",
        {{"version", found.version},
         {"before", this->rules ? this->rules->Version() : 0},
         {"routes", found.routes.size()},
         {"pools", found.pools.size()},
         {"accounts", found.accounts.size()}});
    if (!this->rules) this->first_rules_at = this->loop.Now();
    this->start_timeline.Mark(StartStep::kRules, this->loop.Now());
    this->rules = std::make_shared<const RoutingIndex>(std::move(found));
    for (const std::string& pool : this->relay.SetRules(this->rules)) {
      Log(LogLevel::kError, "cold_rule_rejected",
          {{"pool", pool}, {"rules", this->rules->Version()}, {"reason", "negative"}});
    }
    this->LogUnknownHomes();
    this->callers.SetOptions(MakeCallerOptions(this->settings, this->rules->Rules().limits));
    this->links.SetOrigin(this->rules->Rules().origin);
    this->UpdateEngines();
  }

  void OnWeightsWanted(const WeightsWanted& wanted) {
    WantedVersions& versions = this->wanted_versions[wanted.model];
    if (wanted.version <= versions.Newest()) return;
    versions.Forget(this->loop.Now() - this->settings.weights_deadline - kHistoryReserve);
    // Versions in the first listing after the start may have been announced long ago.
    versions.AddFromStore(wanted.version, this->operator_records_listed, this->loop.Now());
    Log(LogLevel::kInfo, "weights_wanted",
        {{"model", wanted.model},
         {"version", wanted.version},
         {"first_listing", !this->operator_records_listed},
         {"known_for_ms", this->KnownForMs(versions, wanted.version)}});
    this->ApplyWantedVersions();
  }

  void ApplyWantedVersions() {
    if (!this->rules) return;
    for (const PoolRule& pool : this->rules->Rules().pools) {
      if (!pool.engine) continue;
      // An engine loads one model. One that the operators announced goes before the others.
      RolloutTarget target;
      bool announced = false;
      for (const std::string& model : pool.models) {
        const auto found = this->wanted_versions.find(model);
        if (found != this->wanted_versions.end()) {
          target = this->AnnouncedTarget(pool.name, model, found->second);
          announced = true;
        } else if (!announced) {
          target = this->UnannouncedTarget(pool.name, model);
        }
      }
      this->links.SetTarget(pool.name, target);
    }
  }

  RolloutTarget AnnouncedTarget(const std::string& pool, const std::string& model,
                                const WantedVersions& versions) {
    this->relay.RequestDispatcher().SetWeightsRules(
        pool, versions.Rules({.deadline = this->settings.weights_deadline,
                              .unknown_grace = kUnknownAgeGrace}));
    return {.model = model,
            .version = versions.Newest(),
            .wanted_since = versions.NewestWantedSince(),
            .history = {versions.History().begin(), versions.History().end()},
            .engines_without_weights = this->HeldWeightsOf(pool).any_without_weights,
            .requests_resumable = this->rules->AllRoutesResumable(pool)};
  }

  struct HeldWeights {
    std::uint64_t newest = 0;
    bool any_engine = false;
    bool any_without_weights = false;  // some engine has never held weights
  };

  HeldWeights HeldWeightsOf(const std::string& pool) const {
    HeldWeights held;
    for (const auto& [id, upstream] : this->upstreams.All()) {
      if (upstream.pool != pool || !upstream.is_engine) continue;
      held.any_engine = true;
      held.newest = std::max(held.newest, upstream.weights_version);
      held.any_without_weights = held.any_without_weights || !this->seen_with_weights.contains(id);
    }
    return held;
  }

  // Until a version is announced, engines that join load the newest one that any engine of the
  // pool has held. It has no announcement time: this entry may only have missed its announcement.
  // If no engine has held any since this entry started, the origin is asked for its newest one.
  RolloutTarget UnannouncedTarget(const std::string& pool, const std::string& model) {
    const HeldWeights held = this->HeldWeightsOf(pool);
    std::uint64_t& newest = this->unannounced_versions[model];
    newest = std::max(newest, held.newest);
    const bool unknown = newest == 0 && held.any_engine && this->operator_records_listed;
    if (unknown != this->asked_for_newest.contains(model)) {
      Log(LogLevel::kInfo, unknown ? "weights_unknown" : "weights_known",
          {{"model", model}, {"pool", pool}, {"version", newest}});
      if (unknown) {
        this->asked_for_newest.insert(model);
      } else {
        this->asked_for_newest.erase(model);
      }
    }
    return {.model = model,
            .version = newest,
            .newest_wanted = unknown,
            .engines_without_weights = held.any_without_weights,
            .requests_resumable = this->rules->AllRoutesResumable(pool)};
  }

  void OnFoundVersion(const std::string& model, std::uint64_t version) {
    std::uint64_t& newest = this->unannounced_versions[model];
    if (version <= newest) return;
    newest = version;
    Log(LogLevel::kInfo, "weights_found_at_origin", {{"model", model}, {"version", version}});
    this->ApplyWantedVersions();
  }

  void OnUpstreamRecords(std::span<const Record> changed) {
    const Instant now = this->loop.Now();
    for (const Record& record : changed) {
      const Result<DecodedRecord> decoded = this->adapter.records.Decode(record);
      if (!decoded) {
        this->LogMalformed(record, decoded.error());
        const std::string prefix = this->adapter.records.UpstreamPrefix();
        this->RemoveFromDispatcher(record.key.substr(prefix.size()), "malformed entry");
        continue;
      }
      if (const auto* upstream = std::get_if<Upstream>(&decoded.value())) {
        this->OnUpstream(*upstream);
      } else if (const auto* gone = std::get_if<UpstreamGone>(&decoded.value())) {
        this->OnUpstreamGone(gone->id, now);
      }
    }
    this->UpdateEngines();
  }

  void OnUpstreamGone(const std::string& id, Instant now) {
    const Instant outage_end = this->upstream_records.OutageEnd();
    const bool removed = this->upstreams.Remove(id, now, outage_end);
    if (removed) return this->RemoveFromDispatcher(id, "removed");
    if (!this->upstreams.IsRemovalDeferred(id)) return;
    Log(LogLevel::kInfo, "upstream_removal_deferred",
        {{"upstream", id}, {"outage_ended_ms_ago", ToMillis(now - outage_end)}});
  }

  void OnUpstream(const Upstream& upstream) {
    const auto known = this->upstreams.All().find(upstream.id);
    const bool is_new = known == this->upstreams.All().end();
    if (is_new || known->second.draining != upstream.draining ||
        known->second.weights_version != upstream.weights_version) {
      Log(LogLevel::kInfo, is_new ? "upstream_added" : "upstream_changed",
          {{"upstream", upstream.id},
           {"pool", upstream.pool},
           {"address", upstream.address},
           {"draining", upstream.draining},
           {"weights", upstream.weights_version}});
    }
    // An engine holds no version during a load. Remember that it held one before, so that it does
    // not count as an engine that joined without weights.
    if (upstream.weights_version > 0) this->seen_with_weights.insert(upstream.id);
    const UpstreamListChange change = this->upstreams.Set(upstream);
    if (change.superseded) {
      return this->RemoveFromDispatcher(upstream.id, "a later start has its address");
    }
    if (!change.replaced.empty()) {
      this->relay.RequestDispatcher().NoteLaterStart(change.replaced, upstream.started_unix_ms);
      this->RemoveFromDispatcher(change.replaced, "a later start has its address");
    }
    this->start_timeline.Mark(StartStep::kUpstreams, this->loop.Now());
    this->relay.RequestDispatcher().SetUpstream(upstream);
    this->relay.RequestDispatcher().Places().Cold().OnRecord(upstream.id, upstream.warmup_remaining,
                                                             this->loop.Now());
    this->relay.Crashes().OnUpstreamListed({.id = upstream.id,
                                            .address = upstream.address,
                                            .started_unix_ms = upstream.started_unix_ms});
  }

  void RemoveFromDispatcher(const std::string& id, std::string_view reason) {
    Log(LogLevel::kInfo, "upstream_gone",
        {{"upstream", id},
         {"reason", reason},
         {"waiting_attempts", this->relay.RequestDispatcher().WaitingAt(id)}});
    this->seen_with_weights.erase(id);
    this->relay.RequestDispatcher().RemoveUpstream(id);
  }

  // Each engine in the upstream list has an agent.
  void UpdateEngines() {
    std::vector<Upstream> engines;
    for (const auto& [id, upstream] : this->upstreams.All()) {
      if (upstream.is_engine) engines.push_back(upstream);
    }
    this->links.SetEngines(engines);
    this->ApplyWantedVersions();
  }

  void LogMalformed(const Record& record, const Error& error) {
    Log(LogLevel::kWarn, "record_malformed",
        {{"key", record.key}, {"revision", record.revision}, {"reason", Describe(error)}});
  }

  // ---- readiness, metrics ----

  // Rules and upstreams are listed separately. Requests that arrive after the rules but before the
  // upstreams would be refused, so the entry is not ready yet.
  bool IsReady() const {
    if (!this->rules || this->stopping_since) return false;
    return !this->upstreams.All().empty() ||
           this->loop.Now() >= this->first_rules_at + kMaxWaitForUpstreams;
  }

  void AnswerReady(HttpExchange& exchange) {
    const bool ready = this->IsReady();
    if (ready != this->was_ready) {
      this->was_ready = ready;
      Log(LogLevel::kInfo, ready ? "ready" : "not_ready");
    }
    if (ready) this->start_timeline.Mark(StartStep::kReady, this->loop.Now());
    const bool known = exchange.Head().target == this->adapter.ready_path;
    exchange.Answer(!known ? 404 : (ready ? 200 : 503), {}, "");
  }

  void AnswerMetrics(HttpExchange& exchange) {
    const HttpHead& head = exchange.Head();
    if (head.target == kRefusalsPath) return this->AnswerRefusals(exchange);
    if (head.target == kLiftPath) return this->LiftRefusal(exchange);
    if (head.target == kExplainPath) {
      return this->explain_service.Serve(exchange, this->loop.Now());
    }
    const std::vector<HttpField> fields = {{.name = "Content-Type", .value = "text/plain"}};
    exchange.Answer(200, fields, this->metrics.Render());
  }

  // ---- operators ----

  void AnswerRefusals(HttpExchange& exchange) {
    const std::vector<HttpField> fields = {{.name = "Content-Type", .value = "application/json"}};
    exchange.Answer(200, fields, this->relay.Crashes().RenderRefusals());
  }

  // The body names the cause.
  void LiftRefusal(HttpExchange& exchange) {
    if (exchange.Head().method != "POST") return exchange.Answer(405, {}, "");
    const bool lifted = this->relay.Crashes().Lift(exchange.Body());
    exchange.Answer(lifted ? 200 : 404, {}, "");
  }

  // ---- engine shares ----

  void UpdateDemand() {
    const Instant now = this->loop.Now();
    Dispatcher& dispatcher = this->relay.RequestDispatcher();
    this->demands.UpdateOwnRate(dispatcher.EngineRequests(), now);
    this->demands.SetOwnPools(dispatcher.Room().Own(), dispatcher.Room().AdmittedFraction());
    LogAdmission(dispatcher.Room().TakeChanges(), this->metrics);
    const bool due = this->demands.TakeReportDue(this->links.StatusPeriod(), now);
    this->links.SetDemand(this->demands.Own(), due);
    this->UpdateEngineShares();
  }

  // Passes the entries that share the engines to the dispatcher and logs a change of their number.
  void UpdateEngineShares() {
    std::vector<EntryDemand> sharing = this->demands.ActiveDemands(this->loop.Now());
    if (sharing.size() != this->sharing_entries) {
      Log(LogLevel::kInfo, "sharing_changed",
          {{"entries", sharing.size()}, {"before", this->sharing_entries}});
      this->sharing_entries = sharing.size();
    }
    this->relay.RequestDispatcher().SetEntries(std::move(sharing));
  }

  // Subscribes to the load of the engines that requests may go to. A change of their number shows
  // that the share of the engines changed, or that many of them fail requests of this entry.
  void FollowEngines() {
    const Instant now = this->loop.Now();
    const std::vector<std::string> engines = this->relay.RequestDispatcher().EnginesToFollow(now);
    this->links.SetFollowedEngines(engines);
    const bool changed = engines.size() != this->followed_engines;
    if (!changed || now - this->follow_logged_at < kFollowLogPeriod) return;
    Log(LogLevel::kInfo, "engines_followed",
        {{"engines", engines.size()}, {"before", this->followed_engines}});
    this->followed_engines = engines.size();
    this->follow_logged_at = now;
  }

  void LogWithheld() {
    const std::size_t withheld = this->relay.RequestDispatcher().Withheld(this->loop.Now());
    if (withheld == this->withheld_engines) return;
    Log(LogLevel::kWarn, "engines_withheld",
        {{"engines", withheld}, {"before", this->withheld_engines}});
    this->withheld_engines = withheld;
  }

  void LogSilent() {
    const Instant now = this->loop.Now();
    const std::size_t silent = this->relay.RequestDispatcher().Silent(now);
    this->metrics.GaugeFor("savory_engines_silent").Set(static_cast<double>(silent));
    if (silent == this->silent_engines || now - this->silent_logged_at < kSilentLogPeriod) return;
    Log(LogLevel::kWarn, "engines_silent", {{"engines", silent}, {"before", this->silent_engines}});
    this->silent_engines = silent;
    this->silent_logged_at = now;
  }

  // ---- maintenance, stop, settings ----

  void RunMaintenance() {
    FlushLog();
    const Instant outage_end = this->upstream_records.OutageEnd();
    for (const std::string& id : this->upstreams.TakeExpired(this->loop.Now(), outage_end)) {
      this->RemoveFromDispatcher(id, outage_end == Instant() ? "the store was not away"
                                                             : "not back after the store returned");
    }
    this->FollowEngines();
    this->LogWithheld();
    this->LogSilent();
    this->LogLeaving();
    this->LogSlow();
    this->CountCallers();
    this->relay.WithdrawOutdated();
    if (this->start_timeline.TakeReport(this->loop.Now())) this->LogStart();
    if (this->stopping_since) this->AdvanceStop();
  }

  void CountCallers() {
    this->metrics.GaugeFor("savory_caller_held_bytes")
        .Set(static_cast<double>(this->callers.HeldBytes()));
    this->metrics.GaugeFor("savory_callers_given_up")
        .Set(static_cast<double>(this->callers.GivenUp()));
  }

  // How long each part of the start took. -1: not reached yet.
  void LogStart() const {
    const auto millis = [](std::optional<Duration> time) { return time ? ToMillis(*time) : -1; };
    const auto at = [&](StartStep step) {
      return LogField{StartStepName(step), millis(this->start_timeline.At(step))};
    };
    Log(LogLevel::kInfo, "start_timeline",
        {at(StartStep::kRules), at(StartStep::kUpstreams), at(StartStep::kEngineReport),
         at(StartStep::kReady), at(StartStep::kFirstRequest), at(StartStep::kFirstServed),
         LogField{"serving_again_ms", millis(this->start_timeline.ServingAgain())}});
  }

  void BeginStop() {
    if (this->stopping_since) return;
    this->ReloadIfChanged();
    this->stopping_since = this->loop.Now();
    this->stop_time = this->settings.stop_grace - kStopReserve;
    this->relay.BeginStop(*this->stopping_since + this->stop_time - kLastAnswersReserve);
    Log(LogLevel::kInfo, "stopping",
        {{"in_progress", this->relay.InProgress()}, {"exit_in_ms", ToMillis(this->stop_time)}});
    this->callers.StartDraining(kIdleConnectionLinger);
  }

  void AdvanceStop() {
    const Duration stopping_for = this->loop.Now() - *this->stopping_since;
    if (stopping_for >= kAcceptDuringStop) {
      this->relay.StopAccepting();
      this->links.Leave();
    }
    if (stopping_for >= this->stop_time - kLastAnswersReserve && this->relay.InProgress() > 0) {
      Log(LogLevel::kWarn, "stop_ends_requests", {{"in_progress", this->relay.InProgress()}});
      this->relay.EndAll();
    }
    const bool done = stopping_for >= kMinStopTime && this->relay.InProgress() == 0 &&
                      this->callers.BusyConnections() == 0;
    if (!done && stopping_for < this->stop_time) return;
    const std::vector<UnfinishedConnection> unfinished = this->callers.Unfinished();
    Log(LogLevel::kInfo, "stopped",
        {{"cut_off", this->relay.InProgress()},
         {"busy_connections", this->callers.BusyConnections()},
         {"unfinished_connections", unfinished.size()},
         {"after_ms", ToMillis(stopping_for)}});
    this->LogUnfinished(unfinished);
    this->loop.Stop();
  }

  void LogUnfinished(std::span<const UnfinishedConnection> unfinished) const {
    for (const UnfinishedConnection& left :
         unfinished.first(std::min(unfinished.size(), kMaxUnfinishedLines))) {
      const std::string request =
          left.request ? this->adapter.requests.DecodeRequest(*left.request).attempt_id : "";
      Log(LogLevel::kWarn, "connection_left_at_exit",
          {{"request", request},
           {"answering", left.is_answering},
           {"unsent_bytes", left.unsent_bytes},
           {"unacknowledged_bytes", left.unacknowledged_bytes},
           {"unread_input", left.has_unread_input}});
    }
  }

  void ReloadIfChanged() {
    std::error_code error;
    const auto changed = std::filesystem::last_write_time(this->settings.file, error);
    if (error || changed == this->settings_mtime) return;
    const bool first = std::exchange(this->settings_mtime, changed) == FileTime();
    if (!first) this->Reload();
  }

  void Reload() {
    const Result<DirectEntrySettings> found = ReadDirectEntryFile(this->settings.file);
    if (!found) {
      Log(LogLevel::kWarn, "settings_rejected", {{"reason", Describe(found.error())}});
      return;
    }
    const DirectEntrySettings& next = found.value();
    const bool needs_restart =
        next.callers != this->settings.callers || next.ready != this->settings.ready ||
        next.store != this->settings.store || next.process.peer != this->settings.process.peer;
    Log(LogLevel::kInfo, "settings_read", {{"needs_restart", needs_restart}});
    this->settings.weights_deadline = next.weights_deadline;
    this->settings.stop_grace = next.stop_grace;
    this->settings.upstream_drain = next.upstream_drain;
    this->settings.memory_bytes = next.memory_bytes;
    this->settings.max_files = next.max_files;
    if (this->rules) {
      this->callers.SetOptions(MakeCallerOptions(this->settings, this->rules->Rules().limits));
    }
    this->upstreams.SetOptions(MakeListOptions(this->settings));
    this->ApplyWantedVersions();
  }

  bool Listen(AsyncHttpServer& server, const std::string& address) {
    const Result<void> listening = server.Listen(address);
    if (listening) return true;
    Log(LogLevel::kError, "listen_failed", {{"reason", Describe(listening.error())}});
    return false;
  }

  void RegisterListeners() {
    this->operator_records.OnChange(
        [this](std::span<const Record> changed) { this->OnOperatorRecords(changed); });
    this->operator_records.OnEra(
        [this](std::uint64_t era) { this->crash_exchange.OnStoreEra(era); });
    this->upstream_records.OnChange(
        [this](std::span<const Record> changed) { this->OnUpstreamRecords(changed); });
    this->relay.OnRequestEnd(
        [this](bool served) { this->start_timeline.OnRequestEnd(served, this->loop.Now()); });
    this->links.OnReport([this](const EngineReport& report) {
      if (report.reachable && report.accepting) {
        this->start_timeline.Mark(StartStep::kEngineReport, this->loop.Now());
      }
      this->relay.RequestDispatcher().AddReport(report, this->loop.Now());
    });
    this->links.OnWantedSinceReport([this](const std::string& model, const VersionTime& wanted) {
      this->OnWantedSince(model, wanted);
    });
    this->links.OnFoundVersion([this](const std::string& model, std::uint64_t version) {
      this->OnFoundVersion(model, version);
    });
    this->links.OnAvailability([this](const EngineAvailability& passed_on) {
      this->relay.RequestDispatcher().AddAvailability(passed_on, this->loop.Now());
    });
    this->links.OnDemand([this](EntryDemand demand, Duration period) {
      this->demands.OnDemandReport(std::move(demand), period, this->loop.Now());
    });
    this->links.OnEntriesChange(
        [this](const std::vector<std::string>& others) { this->OnEntriesChange(others); });
    std::vector<std::string> seeds;
    for (const std::string& seed : MakeLinkOptions(this->settings).presence.seeds) {
      if (seed != this->settings.process.peer) seeds.push_back(seed);
    }
    this->SetPeerEntries(seeds);
  }

  void OnEntriesChange(const std::vector<std::string>& others) {
    this->SetPeerEntries(others);
    this->demands.SetLiveEntries(this->links.LiveEntries());
    this->UpdateEngineShares();
  }

  void SetPeerEntries(const std::vector<std::string>& others) {
    const auto entries = static_cast<std::uint32_t>(others.size()) + 1;
    this->relay.Budget().SetEntries(entries);
    this->operator_records.SetPeers(others);
    this->upstream_records.SetPeers(others);
    this->relay.Crashes().SetPeers(others);
  }

  int Run() {
    Log(LogLevel::kInfo, "started",
        {{"callers", this->settings.callers},
         {"store", this->settings.store},
         {"data_centre", this->settings.process.data_centre}});
    this->RegisterListeners();
    const std::string& metrics_address = this->settings.process.metrics;
    if (!this->Listen(this->ready_server, this->settings.ready) ||
        !this->Listen(this->callers, this->settings.callers) ||
        (!metrics_address.empty() && !this->Listen(this->metrics_server, metrics_address))) {
      FlushLog();
      return EXIT_FAILURE;
    }
    this->loop.OnSignal(SIGTERM, [this] { this->BeginStop(); });
    this->loop.OnSignal(SIGHUP, [this] { this->Reload(); });
    this->loop.Every(kMaintenancePeriod, [this] { this->RunMaintenance(); });
    this->loop.Every(EntryDemandTrackerOptions().update_period, [this] { this->UpdateDemand(); });
    this->loop.Every(kSettingsCheckPeriod, [this] { this->ReloadIfChanged(); });
    this->ReloadIfChanged();
    this->process_load.Start(kProcessLoadPeriod);
    this->operator_records.Start();
    this->upstream_records.Start();
    this->crash_exchange.Start();
    this->links.Start();
    this->loop.Run();
    FlushLogAtExit();
    return EXIT_SUCCESS;
  }
};

DirectEntry::DirectEntry(EventLoop& loop, Metrics& metrics, DirectEntrySettings settings,
                         DirectEntryAdapter adapter)
    : impl(std::make_unique<Impl>(loop, metrics, std::move(settings), adapter)) {}
DirectEntry::~DirectEntry() = default;

int DirectEntry::Run() { return this->impl->Run(); }

}  // namespace savory
