#include "apps/experiment_distribution.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

#include "apps/fleet.h"
#include "apps/fleet_status.h"
#include "apps/process_group.h"
#include "apps/rollout_load.h"
#include "base/command_line.h"
#include "runtime/http_client.h"
#include "runtime/kv_connection.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSamplePeriod = milliseconds(200);
constexpr Duration kStatusTimeout = milliseconds(500);
constexpr Duration kPrepareTimeout = seconds(90);
constexpr Duration kControlSampleTime = seconds(10);
constexpr Duration kOutageTime = seconds(10);
constexpr Duration kFreezeTime = seconds(5);
constexpr Duration kRestartDelay = seconds(3);
// Fraction of the copied bytes, over all agents, at which the fault is injected.
constexpr double kFaultProgress = 0.3;
constexpr int kLoadThreads = 4;
// The weights served before the measured rollout are this many times smaller.
constexpr std::uint64_t kFirstVersionDivisor = 16;

struct ExperimentOptions {
  int agents = 32;
  std::uint64_t bytes = 32u << 20;
  std::uint32_t chunk_bytes = 64u << 10;
  double origin_rate = 0;  // bytes/s; 0: twice the link rate
  double link_rate = 3e6;  // bytes/s
  std::string strategy = "swarm";
  std::string fault = "none";
  std::string favour = "time";
  int base_port = 11'000;
  int max_loading = 0;  // 0: all agents
  double timeout_seconds = 300;
  std::string bin_directory = ".";
  bool json_only = false;
};

// Returns nullopt when the process must exit with `status`.
std::optional<ExperimentOptions> ParseOptions(int argc, const char* const* argv, int& status) {
  namespace po = boost::program_options;
  ExperimentOptions options;
  po::options_description description("Options of savoryrouter-experiment distribution");
  const auto add = [&](const char* name, auto& target, const char* help) {
    description.add_options()(name, po::value(&target)->default_value(target), help);
  };
  add("agents", options.agents, "number of agents, each with an engine");
  add("bytes", options.bytes, "size of the weights");
  add("chunk-bytes", options.chunk_bytes, "size of a chunk");
  add("origin-rate", options.origin_rate, "bytes per second; 0: twice the link rate");
  add("link-rate", options.link_rate, "bytes per second of each VM in each direction");
  add("strategy", options.strategy, "swarm, origin-only or tree");
  add("fault", options.fault, "none, kill, stall, corrupt, origin-outage or version-change");
  add("favour", options.favour, "time or origin_bytes");
  add("base-port", options.base_port, "first TCP port");
  add("max-loading", options.max_loading, "maximum of engines that load at the same time; 0: all");
  add("limit", options.timeout_seconds, "time limit of the rollout in seconds");
  add("bin-dir", options.bin_directory, "directory of the binaries");
  description.add_options()("json", po::bool_switch(&options.json_only),
                            "print the last line only")("help", "print this help");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "distribution: " << error.what() << '\n';
    status = kExitUsage;
    return std::nullopt;
  }
  if (values.contains("help")) {
    std::cout << description;
    status = 0;
    return std::nullopt;
  }
  if (options.origin_rate <= 0) options.origin_rate = 2 * options.link_rate;
  return options;
}

// Returns the control bytes that a process has sent and received, from its metrics; 0 without
// answer.
double ControlBytes(const std::string& address) {
  HttpClient client(address);
  const auto answer = client.Call({.target = "/metrics"});
  if (!answer) return 0;
  double total = 0;
  std::istringstream lines(answer.value().body);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("savory_peer_bytes{lane=\"control\"")) continue;
    total += std::strtod(line.substr(line.rfind(' ')).c_str(), nullptr);
  }
  return total;
}

// Runs and measures one rollout of new weights to a fleet that serves an older version.
class RolloutExperiment {
 public:
  explicit RolloutExperiment(ExperimentOptions given)
      : options(std::move(given)), fleet(this->processes, MakeFleetOptions(this->options)) {
    for (const FleetNode& agent : this->fleet.Agents()) {
      this->addresses.push_back(agent.operator_address);
    }
  }

  Result<json> Run() {
    BOOST_OUTCOME_TRY(this->fleet.Start());
    BOOST_OUTCOME_TRY(
        first, this->fleet.AddRandomWeights("first", this->options.bytes / kFirstVersionDivisor, 1,
                                            this->options.chunk_bytes));
    BOOST_OUTCOME_TRY(second, this->fleet.AddRandomWeights("model", this->options.bytes, 2,
                                                           this->options.chunk_bytes));
    BOOST_OUTCOME_TRY(this->DeployFirstVersion(first));
    BOOST_OUTCOME_TRY(before, this->fleet.OriginStats());
    RolloutLoad load(this->fleet.Entries().front().http, kLoadThreads);
    load.AddVersion(first.Hex());
    load.AddVersion(second.Hex());
    this->load = &load;
    this->wanted = second;
    this->started = MonotonicClock::now();
    BOOST_OUTCOME_TRY(this->PinManifest(second));
    BOOST_OUTCOME_TRY(this->WatchRollout());
    this->load_counts = load.Stop();
    BOOST_OUTCOME_TRY(after, this->fleet.OriginStats());
    return this->BuildResult(before, after);
  }

 private:
  static FleetOptions MakeFleetOptions(const ExperimentOptions& options) {
    FleetOptions fleet{.bin_directory = options.bin_directory,
                       .base_port = options.base_port,
                       .entries = {FleetEntryOptions{}},
                       .agents = {},
                       .origin_bytes_per_second = options.origin_rate,
                       .link_bytes_per_second = options.link_rate,
                       .weights_share = 1.0,
                       .strategy = options.strategy};
    for (int i = 0; i < options.agents; ++i) {
      fleet.agents.push_back(FleetAgentOptions{.upstream_arguments = {"--load-ms", "200"}});
    }
    return fleet;
  }

  double Elapsed() const { return ToSeconds(MonotonicClock::now() - this->started); }

  void PrintProgress(const std::string& text) const {
    if (!this->options.json_only) std::cout << text << std::endl;
  }

  // Writes a table with one pool and one route that pins `manifest`.
  Result<void> PinManifest(const Digest& manifest) {
    KvConnection kv(this->fleet.Kv(), seconds(2));
    wire::Tables tables;
    tables.set_revision(++this->revision);
    tables.set_edit_id("experiment-" + std::to_string(this->revision));
    wire::Pool& pool = *tables.add_pools();
    pool.set_name("chat");
    pool.set_service("chat");
    pool.set_model("model");
    pool.set_version(std::to_string(this->revision));
    pool.set_manifest(std::string(manifest.View()));
    pool.set_favours(this->options.favour == "time" ? wire::FAVOUR_TIME
                                                    : wire::FAVOUR_ORIGIN_BYTES);
    const int loading =
        this->options.max_loading > 0 ? this->options.max_loading : 4 * this->options.agents;
    pool.set_max_loading(static_cast<std::uint32_t>(loading));
    pool.set_engine_checks_fence(true);
    wire::Route& route = *tables.add_routes();
    route.set_name("chat");
    route.set_path_prefix("/");
    route.set_pool("chat");
    route.set_request_class("interactive");
    route.set_idempotent(true);
    route.set_deadline_ms(5000);
    BOOST_OUTCOME_TRY(swap, kv.CompareAndSwap("tables", tables.SerializeAsString(), this->version));
    if (!swap.written) return Error{.kind = ErrorKind::kEditConflict, .detail = "tables"};
    this->version = swap.version;
    return success();
  }

  // Waits until every agent knows all members, pins the first version, and waits until every engine
  // serves it.
  Result<void> DeployFirstVersion(const Digest& first) {
    const Instant end = MonotonicClock::now() + kPrepareTimeout;
    const auto wait_for = [&](const auto& holds) {
      while (MonotonicClock::now() < end) {
        const auto statuses = ReadFleetStatus(this->addresses, kStatusTimeout);
        if (std::all_of(statuses.begin(), statuses.end(), holds)) return true;
        std::this_thread::sleep_for(kSamplePeriod);
      }
      return false;
    };
    const auto processes_known = static_cast<std::uint64_t>(this->options.agents) + 1;
    if (!wait_for([&](const NodeStatus& s) { return s.members == processes_known; })) {
      return Error{.kind = ErrorKind::kTimeout,
                   .detail = "not every agent has a complete member list"};
    }
    this->PrintProgress("member lists are complete");
    BOOST_OUTCOME_TRY(this->PinManifest(first));
    if (!wait_for([&](const NodeStatus& s) { return s.ready && s.serving == first.Hex(); })) {
      return Error{.kind = ErrorKind::kTimeout,
                   .detail = "not every engine serves the first version"};
    }
    this->PrintProgress("every engine serves the first version");
    return success();
  }

  // Samples the fleet until every engine serves the wanted version or the time limit has passed.
  Result<void> WatchRollout() {
    while (this->Elapsed() < this->options.timeout_seconds) {
      const auto statuses = ReadFleetStatus(this->addresses, kStatusTimeout);
      this->RecordSample(statuses);
      BOOST_OUTCOME_TRY(this->UpdateFault(statuses));
      if (this->ready == statuses.size()) return success();
      std::this_thread::sleep_for(kSamplePeriod);
    }
    return success();
  }

  void RecordSample(const std::vector<NodeStatus>& statuses) {
    const std::string hex = this->wanted.Hex();
    std::size_t now_copied = 0;
    std::size_t now_ready = 0;
    for (const NodeStatus& status : statuses) {
      const bool has_copy =
          status.wanted == hex && status.total_bytes > 0 && status.bytes == status.total_bytes;
      now_copied += has_copy ? 1 : 0;
      now_ready += status.ready && status.serving == hex ? 1 : 0;
      this->agent_stopped = this->agent_stopped || status.phase == "stopped";
    }
    if (now_copied != this->copied || now_ready != this->ready) {
      this->replicas.push_back(
          {{"seconds", this->Elapsed()}, {"whole", now_copied}, {"ready", now_ready}});
      this->PrintProgress(this->replicas.back().dump());
    }
    this->copied = now_copied;
    this->ready = now_ready;
    if (!this->half_at && 2 * this->copied >= statuses.size()) this->half_at = this->Elapsed();
    if (!this->all_at && this->copied == statuses.size()) this->all_at = this->Elapsed();
    if (!this->ready_at && this->ready == statuses.size()) this->ready_at = this->Elapsed();
  }

  // ---- faults ----

  Result<void> UpdateFault(const std::vector<NodeStatus>& statuses) {
    if (this->undo && this->Elapsed() >= this->undo_at_seconds) {
      const auto step = std::exchange(this->undo, {});
      return step();
    }
    if (this->fault_started || this->options.fault == "none") return this->CorrectRow();
    double progress = 0;
    for (const NodeStatus& status : statuses) {
      const bool is_copying = status.wanted == this->wanted.Hex();
      progress += is_copying ? static_cast<double>(status.bytes) : 0;
    }
    progress /= static_cast<double>(this->options.bytes) * static_cast<double>(statuses.size());
    if (progress < kFaultProgress) return success();
    this->fault_started = true;
    this->PrintProgress("fault: " + this->options.fault);
    return this->StartFault(this->options.fault);
  }

  void UndoAfter(Duration delay, std::function<Result<void>()> step) {
    this->undo_at_seconds = this->Elapsed() + ToSeconds(delay);
    this->undo = std::move(step);
  }

  Result<void> StartFault(const std::string& fault) {
    if (fault == "kill") return this->KillAgents();
    if (fault == "stall") return this->StallTransfers();
    if (fault == "corrupt") return this->fleet.SetOriginFault({{"corrupt", 4}});
    if (fault == "origin-outage") {
      this->UndoAfter(kOutageTime, [this] {
        return this->fleet.SetOriginFault({{"outage", false}});
      });
      return this->fleet.SetOriginFault({{"outage", true}});
    }
    return this->ChangeVersion();
  }

  // Kills one agent in sixteen and restarts each with an empty chunk store.
  Result<void> KillAgents() {
    const std::size_t count = std::max<std::size_t>(1, this->fleet.Agents().size() / 16);
    for (std::size_t i = 0; i < count; ++i) {
      this->processes.Signal(this->fleet.Agents()[i].vm, SIGKILL);
    }
    this->UndoAfter(kRestartDelay, [this, count]() -> Result<void> {
      for (std::size_t i = 0; i < count; ++i) {
        BOOST_OUTCOME_TRY(this->fleet.StartNode(this->fleet.Agents()[i]));
      }
      return success();
    });
    return success();
  }

  // Stalls four transfers of the origin partway and freezes one agent, whose connections fall
  // silent.
  Result<void> StallTransfers() {
    const std::string vm = this->fleet.Agents().front().vm;
    this->processes.Signal(vm, SIGSTOP);
    this->UndoAfter(kFreezeTime, [this, vm]() -> Result<void> {
      this->processes.Signal(vm, SIGCONT);
      return success();
    });
    return this->fleet.SetOriginFault({{"stall", 4}});
  }

  // Replaces the weights at the origin under the same name. CorrectRow() pins the new manifest once
  // an agent has stopped because the origin no longer holds the pinned bytes.
  Result<void> ChangeVersion() {
    BOOST_OUTCOME_TRY(changed, this->fleet.AddRandomWeights("model", this->options.bytes, 3,
                                                            this->options.chunk_bytes));
    this->corrected_manifest = changed;
    this->load->AddVersion(changed.Hex());
    return success();
  }

  Result<void> CorrectRow() {
    if (!this->corrected_manifest || !this->agent_stopped) return success();
    this->wanted = *this->corrected_manifest;
    this->corrected_manifest.reset();
    this->correction_seconds = this->Elapsed();
    BOOST_OUTCOME_TRY(stats, this->fleet.OriginStats());
    this->origin_stats_at_correction = stats;
    this->half_at.reset();
    this->all_at.reset();
    this->PrintProgress("the row pins the new content");
    return this->PinManifest(this->wanted);
  }

  // ---- results ----

  double ControlRate() const {
    const auto sum = [this] {
      double total = 0;
      for (const std::string& address : this->addresses) total += ControlBytes(address);
      return total;
    };
    const Instant begin = MonotonicClock::now();
    const double before = sum();
    std::this_thread::sleep_for(kControlSampleTime);
    const double after = sum();
    return (after - before) / ToSeconds(MonotonicClock::now() - begin) /
           static_cast<double>(this->addresses.size());
  }

  double LowerBoundSeconds() const {
    const auto size = static_cast<double>(this->options.bytes);
    const double link = this->options.link_rate;
    const double rate = this->options.origin_rate;
    const double count = this->options.agents;
    return std::max({size / rate, size / link, count * size / (rate + count * link)});
  }

  std::uint64_t CountBadServes() const {
    std::uint64_t bad = this->load_counts.unknown_weights;
    for (const FleetNode& agent : this->fleet.Agents()) {
      const auto stats = this->fleet.UpstreamStats(agent);
      if (stats) bad += stats.value().value("bad_serves", std::uint64_t{0});
    }
    return bad;
  }

  // Status of the agents that are not ready at the end, and of their engines.
  json DescribeUnreadyAgents() const {
    json rows = json::array();
    for (const FleetNode& agent : this->fleet.Agents()) {
      const auto status = this->fleet.Status(agent);
      if (status && status.value().value("ready", false)) continue;
      const auto engine = this->fleet.Get(agent.upstream, "/v1/state");
      rows.push_back({{"vm", agent.vm},
                      {"status", status ? status.value() : json(Describe(status.error()))},
                      {"engine", engine ? engine.value() : json(Describe(engine.error()))}});
    }
    return rows;
  }

  static std::uint64_t OriginBytes(const json& stats) {
    return stats.value("bytes_sent", std::uint64_t{0}) +
           stats.value("manifest_bytes", std::uint64_t{0});
  }

  json BuildResult(const json& before, const json& after) const {
    const std::uint64_t origin_bytes = OriginBytes(after) - OriginBytes(before);
    const std::uint64_t corrected_bytes =
        this->correction_seconds
            ? OriginBytes(after) - OriginBytes(this->origin_stats_at_correction)
            : origin_bytes;
    const double start = this->correction_seconds.value_or(0);
    const auto or_null = [](const std::optional<double>& value) {
      return value ? json(*value) : json(nullptr);
    };
    const json ratio =
        this->all_at ? json((*this->all_at - start) / this->LowerBoundSeconds()) : json(nullptr);
    return {{"strategy", this->options.strategy},
            {"fault", this->options.fault},
            {"favour", this->options.favour},
            {"agents", this->options.agents},
            {"weight_bytes", this->options.bytes},
            {"chunk_bytes", this->options.chunk_bytes},
            {"link_rate", this->options.link_rate},
            {"origin_rate", this->options.origin_rate},
            {"origin_bytes", origin_bytes},
            {"origin_copies",
             static_cast<double>(origin_bytes) / static_cast<double>(this->options.bytes)},
            {"origin_copies_of_final_version",
             static_cast<double>(corrected_bytes) / static_cast<double>(this->options.bytes)},
            {"seconds_to_all", or_null(this->all_at)},
            {"seconds_to_half", or_null(this->half_at)},
            {"seconds_to_all_ready", or_null(this->ready_at)},
            {"seconds_of_row_correction", or_null(this->correction_seconds)},
            {"bound_seconds", this->LowerBoundSeconds()},
            {"time_ratio", ratio},
            {"agents_whole", this->copied},
            {"agents_ready", this->ready},
            {"agents_not_ready", this->DescribeUnreadyAgents()},
            {"bad_serves", this->CountBadServes()},
            {"requests_answered", this->load_counts.answered},
            {"requests_not_answered", this->load_counts.not_answered},
            {"control_bytes_per_agent_per_second", this->ControlRate()},
            {"replicas", this->replicas}};
  }

  ExperimentOptions options;
  ProcessGroup processes;
  Fleet fleet;
  RolloutLoad* load = nullptr;
  RolloutLoadCounts load_counts = {};
  std::vector<std::string> addresses = {};
  Digest wanted = {};
  Instant started = {};
  std::uint64_t revision = 0;
  std::uint64_t version = 0;  // key-value version of the key `tables`
  std::size_t copied = 0;
  std::size_t ready = 0;
  bool agent_stopped = false;
  json replicas = json::array();
  std::optional<double> half_at = {};
  std::optional<double> all_at = {};
  std::optional<double> ready_at = {};
  bool fault_started = false;
  double undo_at_seconds = 0;
  std::function<Result<void>()> undo = {};
  std::optional<Digest> corrected_manifest = {};
  std::optional<double> correction_seconds = {};
  json origin_stats_at_correction = {};  // counters of the origin at that time
};

}  // namespace

int RunDistributionExperiment(int argc, const char* const* argv) {
  int status = 0;
  const auto options = ParseOptions(argc, argv, status);
  if (!options) return status;
  RolloutExperiment experiment(*options);
  const auto result = experiment.Run();
  if (!result) {
    std::cerr << "distribution: " << Describe(result.error()) << '\n';
    return EXIT_FAILURE;
  }
  std::cout << result.value().dump() << std::endl;
  return EXIT_SUCCESS;
}

}  // namespace savory
