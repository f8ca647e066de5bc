#include "apps/experiment_tables.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <csignal>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "apps/fleet.h"
#include "apps/fleet_status.h"
#include "apps/process_group.h"
#include "base/command_line.h"
#include "runtime/http_client.h"
#include "runtime/kv_connection.h"
#include "tables/table_edit_runner.h"
#include "tables/table_keys.h"

namespace savory {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr Duration kStatusTimeout = std::chrono::milliseconds(500);
constexpr Duration kKvTimeout = std::chrono::seconds(1);
constexpr Duration kApplyTimeout = std::chrono::seconds(30);
constexpr Duration kStartTimeout = std::chrono::seconds(60);
constexpr std::chrono::milliseconds kPollPeriod(20);
constexpr int kPools = 8;
constexpr std::size_t kDataCentres = 4;
// Engines of the fault paused-holder. They do not check fencing numbers, which is the harder case:
// no engine rejects a load order from an agent whose lease has expired.
constexpr int kEngines = 4;
constexpr std::string_view kEnginePool = "engines";
constexpr std::uint64_t kWeightsBytes = 4u << 20;

struct TablesOptions {
  int entries = 4;
  int agents = 12;
  int edits = 20;
  std::string fault = "none";
  int base_port = 20'000;
  std::string bin_directory = "build/bin";
  int steady_seconds = 20;
  int fault_seconds = 8;
};

const std::vector<std::string>& FaultNames() {
  static const std::vector<std::string> kNames = {"none",          "kv-outage", "lost-reply",
                                                  "two-operators", "partition", "paused-holder",
                                                  "restart-wave"};
  return kNames;
}

// A table edit that was accepted.
struct AcceptedEdit {
  std::string id;
  std::string pool;
  std::string version;
  std::uint64_t revision = 0;
};

// Counts and samples that the experiment collects.
struct Findings {
  std::vector<AcceptedEdit> accepted = {};
  std::uint64_t not_written = 0;
  std::uint64_t unknown = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t lost = 0;
  std::uint64_t reverts = 0;
  std::vector<double> seconds_until_applied = {};
  std::vector<std::string> lagging = {};
};

// Cost of the control plane while there are no edits.
struct SteadyCost {
  double kv_calls_per_second = 0;
  double bytes_per_node = 0;  // per second, sent and received
  double cpu_percent_per_node = 0;
};

double Quantile(std::vector<double> values, double probability) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(probability * last))];
}

std::string PoolName(int index) { return "pool-" + std::to_string(index); }

wire::Pool MakePool(const std::string& name, const std::string& version) {
  wire::Pool pool;
  pool.set_name(name);
  pool.set_service(name);
  pool.set_version(version);
  pool.set_max_loading(1);
  return pool;
}

// Returns an edit that sets the version of `pool`, like `savoryrouterctl set-pool`.
TableEditOptions MakeVersionEdit(const std::string& author, const std::string& pool,
                                 const std::string& version, Duration give_up_after) {
  TableEditOptions options;
  options.edit_id = MakeEditId();
  options.author = author;
  options.give_up_after = give_up_after;
  options.change = [pool, version](const wire::Tables& base) -> Result<wire::Tables> {
    wire::Tables wanted = base;
    for (wire::Pool& row : *wanted.mutable_pools()) {
      if (row.name() != pool) continue;
      row.set_version(version);
      return wanted;
    }
    *wanted.add_pools() = MakePool(pool, version);
    return wanted;
  };
  return options;
}

// Sums the samples in the Prometheus text format whose line starts with `name`.
double SumSeries(const std::string& text, const std::string& name) {
  double sum = 0;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(name)) continue;
    sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
  }
  return sum;
}

class TablesExperiment {
 public:
  explicit TablesExperiment(const TablesOptions& options)
      : options(options), fleet(processes, MakeFleetOptions(options)) {
    for (const auto* nodes : {&this->fleet.Entries(), &this->fleet.Agents()}) {
      for (const FleetNode& node : *nodes) this->nodes.push_back(node);
    }
  }

  Result<void> Run() {
    BOOST_OUTCOME_TRY(this->Start());
    BOOST_OUTCOME_TRY(this->MeasureSteadyCost());
    BOOST_OUTCOME_TRY(this->RunEdits());
    BOOST_OUTCOME_TRY(this->CheckHistory());
    return success();
  }

  void Print() const {
    double slowest = 0;
    for (const double seconds : this->findings.seconds_until_applied) {
      slowest = std::max(slowest, seconds);
    }
    const ordered_json json = {
        {"experiment", "tables"},
        {"fault", this->options.fault},
        {"processes", this->nodes.size()},
        {"edits_accepted", this->findings.accepted.size()},
        {"edits_not_written", this->findings.not_written},
        {"edits_in_conflict", this->findings.conflicts},
        {"edits_unknown", this->findings.unknown},
        {"edits_lost", this->findings.lost},
        {"reverts_seen", this->findings.reverts},
        {"seconds_in_force_p50", Quantile(this->findings.seconds_until_applied, 0.5)},
        {"seconds_in_force_max", slowest},
        {"kv_calls_per_second_steady", this->steady.kv_calls_per_second},
        {"kv_calls_per_second_peak", this->peak_calls},
        {"control_bytes_per_node_per_second", this->steady.bytes_per_node},
        {"control_cpu_percent_per_node", this->steady.cpu_percent_per_node},
        {"stale_orders_accepted", this->stale_orders},
        {"engines_ready", this->engines_ready},
        {"lagging", this->findings.lagging}};
    std::cout << json.dump() << std::endl;
  }

 private:
  static FleetOptions MakeFleetOptions(const TablesOptions& options) {
    FleetOptions fleet;
    fleet.bin_directory = options.bin_directory;
    fleet.base_port = options.base_port;
    fleet.log_level = "warn";
    std::size_t number = 0;
    const auto locate = [&number] {
      const std::string region = number % kDataCentres < kDataCentres / 2 ? "north" : "south";
      return FleetLocation{.region = region,
                           .data_centre = region + "-" + std::to_string(number++ % kDataCentres)};
    };
    for (int i = 0; i < options.entries; ++i) fleet.entries.push_back({.location = locate()});
    for (int i = 0; i < options.agents; ++i) {
      fleet.agents.push_back(
          {.service = PoolName(i % kPools), .engine = false, .location = locate()});
    }
    if (options.fault != "paused-holder") return fleet;
    fleet.distribution_extra = "lease_ttl_ms: 4000";
    for (int i = 0; i < kEngines; ++i) {
      fleet.agents.push_back({.service = std::string(kEnginePool),
                              .location = locate(),
                              .upstream_arguments = {"--check-fence", "0", "--load-ms", "1500"}});
    }
    return fleet;
  }

  // Plain services are not started, because the distribution of tables does not need them.
  Result<void> Start() {
    BOOST_OUTCOME_TRY(this->fleet.StartPlatform());
    for (const FleetNode& node : this->nodes) {
      if (!node.engine) continue;
      BOOST_OUTCOME_TRY(this->fleet.StartUpstream(node));
    }
    KvConnection kv(this->fleet.Kv(), kKvTimeout);
    for (int i = 0; i < kPools; ++i) {
      BOOST_OUTCOME_TRY(
          RunTableEdit(kv, MakeVersionEdit("start", PoolName(i), "start", kStartTimeout)));
    }
    for (const FleetNode& node : this->nodes) {
      BOOST_OUTCOME_TRY(this->fleet.StartNode(node));
    }
    for (const FleetNode& node : this->nodes) {
      BOOST_OUTCOME_TRY(this->fleet.WaitForNode(node, kStartTimeout));
    }
    return this->WaitForMembers();
  }

  // Waits until every process knows all members. Errors: kTimeout, with the names of the processes
  // whose member lists are incomplete.
  Result<void> WaitForMembers() {
    const Instant deadline = MonotonicClock::now() + kStartTimeout;
    std::string incomplete;
    while (MonotonicClock::now() < deadline) {
      incomplete.clear();
      for (const NodeStatus& status : this->ReadStatuses(this->nodes)) {
        if (!status.answered) incomplete += " " + status.vm + " (no answer)";
        if (!status.answered || status.members == this->nodes.size()) continue;
        incomplete += " " + status.vm + " (" + std::to_string(status.members) + ")";
      }
      if (incomplete.empty()) return success();
      std::this_thread::sleep_for(kPollPeriod * 10);
    }
    return Error{.kind = ErrorKind::kTimeout, .detail = "incomplete member lists:" + incomplete};
  }

  // Reads the status of the processes `from` and counts table revisions that decreased.
  std::vector<NodeStatus> ReadStatuses(const std::vector<FleetNode>& from) {
    std::vector<std::string> addresses;
    addresses.reserve(from.size());
    for (const FleetNode& node : from) addresses.push_back(node.operator_address);
    auto statuses = ReadFleetStatus(addresses, kStatusTimeout);
    for (const NodeStatus& status : statuses) {
      if (!status.answered) continue;
      std::uint64_t& last = this->last_revision[status.vm];
      if (status.tables_revision < last) ++this->findings.reverts;
      last = std::max(last, status.tables_revision);
    }
    return statuses;
  }

  // ---- cost without edits ----

  Result<double> ControlBytes() const {
    double sum = 0;
    for (const FleetNode& node : this->nodes) {
      HttpClient client(node.operator_address);
      BOOST_OUTCOME_TRY(answer, client.Call({.target = "/metrics"}));
      sum += SumSeries(answer.body, R"(savory_peer_bytes{lane="control")");
    }
    return sum;
  }

  double CpuSeconds() {
    double sum = 0;
    for (const FleetNode& node : this->nodes) {
      if (const auto usage = this->processes.Usage(node.vm)) sum += usage->processor_seconds;
    }
    return sum;
  }

  Result<double> KvCalls() const {
    BOOST_OUTCOME_TRY(stats, this->fleet.KvStats());
    return stats.value("total", 0.0) + stats.value("refused", 0.0);
  }

  Result<void> MeasureSteadyCost() {
    // Some processes watched the tables only because their member list was still incomplete. Waits
    // until their long polls have ended.
    std::this_thread::sleep_for(std::chrono::seconds(12));
    BOOST_OUTCOME_TRY(calls_before, this->KvCalls());
    BOOST_OUTCOME_TRY(bytes_before, this->ControlBytes());
    const double cpu_before = this->CpuSeconds();
    const Instant begin = MonotonicClock::now();
    std::this_thread::sleep_for(std::chrono::seconds(this->options.steady_seconds));
    const double cpu = this->CpuSeconds() - cpu_before;
    const double seconds = ToSeconds(MonotonicClock::now() - begin);
    BOOST_OUTCOME_TRY(calls, this->KvCalls());
    BOOST_OUTCOME_TRY(bytes, this->ControlBytes());
    const double node_seconds = seconds * static_cast<double>(this->nodes.size());
    this->steady = {.kv_calls_per_second = (calls - calls_before) / seconds,
                    .bytes_per_node = (bytes - bytes_before) / node_seconds,
                    .cpu_percent_per_node = 100 * cpu / node_seconds};
    return success();
  }

  // ---- edits ----

  Result<void> RunEdits() {
    const std::string& fault = this->options.fault;
    Result<void> result = success();
    if (fault == "none") result = this->RunSequentialEdits(this->options.edits);
    if (fault == "lost-reply") result = this->RunLostReplies();
    if (fault == "two-operators") result = this->RunTwoOperators();
    if (fault == "kv-outage") result = this->RunKvOutage();
    if (fault == "partition") result = this->RunPausedRegion();
    if (fault == "paused-holder") result = this->RunPausedWatchers();
    if (fault == "restart-wave") result = this->RunRestartWave();
    BOOST_OUTCOME_TRY(result);
    BOOST_OUTCOME_TRY(stats, this->fleet.KvStats());
    this->peak_calls = std::max(this->peak_calls, stats.value("calls_per_second_peak", 0.0));
    return success();
  }

  // Performs one edit. Returns its revision, or nullopt when it was not accepted.
  std::optional<std::uint64_t> Edit(const std::string& author, int pool,
                                    Duration give_up_after = std::chrono::seconds(10)) {
    KvConnection kv(this->fleet.Kv(), kKvTimeout);
    const std::string version = author + "-" + std::to_string(++this->edit_count);
    TableEditOptions edit = MakeVersionEdit(author, PoolName(pool), version, give_up_after);
    const std::string id = edit.edit_id;
    const auto outcome = RunTableEdit(kv, std::move(edit));
    const std::lock_guard lock(this->mutex);
    if (outcome) {
      this->findings.accepted.push_back({.id = id,
                                         .pool = PoolName(pool),
                                         .version = version,
                                         .revision = outcome.value().revision});
      return outcome.value().revision;
    }
    const ErrorKind kind = outcome.error().kind;
    if (kind == ErrorKind::kEditConflict) ++this->findings.conflicts;
    if (kind == ErrorKind::kWriteOutcomeUnknown) ++this->findings.unknown;
    if (kind == ErrorKind::kUnavailable) ++this->findings.not_written;
    return std::nullopt;
  }

  // Waits until the processes `targets` have applied `revision` or kApplyTimeout has passed since
  // `since`. Records the time since `since` and the processes that lag.
  void WaitUntilApplied(std::uint64_t revision, Instant since,
                        const std::vector<FleetNode>& targets) {
    std::vector<FleetNode> waiting = targets;
    while (true) {
      const auto statuses = this->ReadStatuses(waiting);
      std::vector<FleetNode> behind;
      for (std::size_t i = 0; i < statuses.size(); ++i) {
        if (statuses[i].tables_revision < revision) behind.push_back(waiting[i]);
      }
      const Duration elapsed = MonotonicClock::now() - since;
      if (behind.empty() || elapsed > kApplyTimeout) {
        this->findings.seconds_until_applied.push_back(ToSeconds(elapsed));
        for (const FleetNode& node : behind) this->findings.lagging.push_back(node.vm);
        return;
      }
      waiting = std::move(behind);
      std::this_thread::sleep_for(kPollPeriod);
    }
  }

  Result<void> RunSequentialEdits(int edits) {
    for (int i = 0; i < edits; ++i) {
      const auto revision = this->Edit("anu", i % kPools);
      if (revision) this->WaitUntilApplied(*revision, MonotonicClock::now(), this->nodes);
    }
    return success();
  }

  Result<void> RunLostReplies() {
    for (int i = 0; i < this->options.edits; ++i) {
      BOOST_OUTCOME_TRY(this->fleet.SetKvFault(
          {{"lose_replies", 1 + i % 2}, {"lose_silently", i % 4 == 3}, {"key_prefix", "tables"}}));
      const auto revision = this->Edit("anu", i % kPools);
      if (revision) this->WaitUntilApplied(*revision, MonotonicClock::now(), this->nodes);
    }
    return success();
  }

  // Two operators edit at the same time; in every third round the same row.
  Result<void> RunTwoOperators() {
    for (int i = 0; i < this->options.edits; ++i) {
      std::optional<std::uint64_t> other;
      std::thread second(
          [&] { other = this->Edit("bilal", i % 3 == 0 ? i % kPools : (i + 1) % kPools); });
      const auto own = this->Edit("anu", i % kPools);
      second.join();
      const std::uint64_t latest = std::max(own.value_or(0), other.value_or(0));
      if (latest > 0) this->WaitUntilApplied(latest, MonotonicClock::now(), this->nodes);
    }
    return success();
  }

  // Runs rounds with an outage of the key-value service; in every second round the service accepts
  // calls without answering. During each outage an edit is attempted, which is expected to fail,
  // and one process is killed and restarted; the time until it has the tables is recorded. The time
  // until the first edit after the outage is applied is measured from the end of the outage.
  Result<void> RunKvOutage() {
    const int rounds = std::max(2, this->options.edits / 5);
    for (int i = 0; i < rounds; ++i) {
      BOOST_OUTCOME_TRY(this->fleet.SetKvFault({{"outage", true}, {"outage_silent", i % 2 == 1}}));
      const Instant begin = MonotonicClock::now();
      (void)this->Edit("anu", i % kPools, std::chrono::seconds(2));
      const FleetNode& restarted = this->nodes[static_cast<std::size_t>(i) % this->nodes.size()];
      BOOST_OUTCOME_TRY(this->Restart(restarted, SIGKILL));
      this->WaitUntilApplied(this->LatestRevision(), MonotonicClock::now(), {restarted});
      std::this_thread::sleep_until(begin + std::chrono::seconds(this->options.fault_seconds));
      BOOST_OUTCOME_TRY(this->fleet.SetKvFault({{"outage", false}}));
      const Instant end = MonotonicClock::now();
      const auto revision = this->Edit("anu", i % kPools);
      if (revision) this->WaitUntilApplied(*revision, end, this->nodes);
    }
    return success();
  }

  std::uint64_t LatestRevision() const {
    std::uint64_t latest = kPools;  // one revision for each row added by Start()
    for (const AcceptedEdit& edit : this->findings.accepted) {
      latest = std::max(latest, edit.revision);
    }
    return latest;
  }

  void SignalAll(const std::vector<FleetNode>& targets, int signal) {
    for (const FleetNode& node : targets) this->processes.Signal(node.vm, signal);
  }

  // On loopback there is no link between regions to cut. Instead, all processes of one region are
  // paused until the others have declared them dead.
  Result<void> RunPausedRegion() {
    std::vector<FleetNode> north;
    std::vector<FleetNode> south;
    for (const FleetNode& node : this->nodes) {
      (node.location.region == "north" ? north : south).push_back(node);
    }
    const int rounds = std::max(2, this->options.edits / 10);
    for (int i = 0; i < rounds; ++i) {
      this->SignalAll(south, SIGSTOP);
      const Instant begin = MonotonicClock::now();
      const auto revision = this->Edit("anu", i % kPools);
      if (revision) this->WaitUntilApplied(*revision, begin, north);
      std::this_thread::sleep_until(begin + std::chrono::seconds(2 * this->options.fault_seconds));
      this->SignalAll(south, SIGCONT);
      if (revision) this->WaitUntilApplied(*revision, MonotonicClock::now(), this->nodes);
      BOOST_OUTCOME_TRY(this->WaitForMembers());
    }
    return success();
  }

  // Pauses the watchers of the first data centre and an agent whose engine is loading, until other
  // watchers have taken over and the agent's lease has expired. When they resume, they still hold
  // an old revision.
  Result<void> RunPausedWatchers() {
    const int rounds = std::max(2, this->options.edits / 10);
    for (int i = 0; i < rounds; ++i) {
      std::vector<FleetNode> paused_nodes = this->Watchers();
      if (paused_nodes.empty()) {
        return Error{.kind = ErrorKind::kNotFound, .detail = "no process watches the tables"};
      }
      BOOST_OUTCOME_TRY(lease_holder, this->StartLoading(i));
      if (!lease_holder) {
        return Error{.kind = ErrorKind::kTimeout,
                     .detail = "no agent has ordered its engine to load within 10 s"};
      }
      paused_nodes.push_back(*lease_holder);
      std::vector<FleetNode> others;
      for (const FleetNode& node : this->nodes) {
        const bool is_paused = std::any_of(
            paused_nodes.begin(), paused_nodes.end(),
            [&node](const FleetNode& paused_node) { return paused_node.vm == node.vm; });
        if (!is_paused) others.push_back(node);
      }
      this->SignalAll(paused_nodes, SIGSTOP);
      const Instant begin = MonotonicClock::now();
      const auto revision = this->Edit("anu", i % kPools);
      if (revision) this->WaitUntilApplied(*revision, MonotonicClock::now(), others);
      std::this_thread::sleep_until(begin + std::chrono::seconds(2 * this->options.fault_seconds));
      this->SignalAll(paused_nodes, SIGCONT);
      if (revision) this->WaitUntilApplied(*revision, MonotonicClock::now(), this->nodes);
      BOOST_OUTCOME_TRY(this->WaitForMembers());
    }
    return this->CountStaleOrders();
  }

  // Pins new weights for the engines. Returns an agent that holds the lease and whose engine is
  // loading, or nullopt when there was none within 10 s.
  Result<std::optional<FleetNode>> StartLoading(int round) {
    const std::string name = "weights-" + std::to_string(round);
    BOOST_OUTCOME_TRY(manifest, this->fleet.AddRandomWeights(
                                    name, kWeightsBytes, static_cast<std::uint64_t>(round + 1)));
    BOOST_OUTCOME_TRY(this->fleet.Ctl(
        {"set-pool", std::string(kEnginePool), "service=" + std::string(kEnginePool), "model=m",
         "version=" + name, "manifest=" + manifest.Hex()},
        std::chrono::seconds(20)));
    const Instant deadline = MonotonicClock::now() + std::chrono::seconds(10);
    while (MonotonicClock::now() < deadline) {
      const auto statuses = this->ReadStatuses(this->nodes);
      for (std::size_t i = 0; i < statuses.size(); ++i) {
        if (statuses[i].phase == "loading") return std::optional(this->nodes[i]);
      }
      std::this_thread::sleep_for(kPollPeriod);
    }
    return std::optional<FleetNode>();
  }

  // Waits until every engine serves the pinned weights, then sums the load orders that the engines
  // accepted although they had seen a higher fencing number.
  Result<void> CountStaleOrders() {
    const Instant deadline = MonotonicClock::now() + kStartTimeout;
    bool ready = false;
    while (!ready && MonotonicClock::now() < deadline) {
      ready = true;
      for (const NodeStatus& status : this->ReadStatuses(this->nodes)) {
        if (!status.phase.empty() && status.service == kEnginePool) {
          ready = ready && status.phase == "ready";
        }
      }
      std::this_thread::sleep_for(kPollPeriod * 10);
    }
    this->engines_ready = ready;
    for (const FleetNode& node : this->nodes) {
      if (!node.engine) continue;
      BOOST_OUTCOME_TRY(stats, this->fleet.UpstreamStats(node));
      this->stale_orders += stats.value("stale_orders_accepted", std::uint64_t{0});
    }
    return success();
  }

  // Returns the processes that watch the tables in the data centre of the first process.
  std::vector<FleetNode> Watchers() const {
    std::vector<FleetNode> watchers;
    for (const FleetNode& node : this->nodes) {
      if (node.location.data_centre != this->nodes.front().location.data_centre) continue;
      HttpClient client(node.operator_address);
      const auto answer = client.Call({.target = "/metrics"});
      if (!answer) continue;
      if (SumSeries(answer.value().body, "savory_tables_watcher") > 0) watchers.push_back(node);
    }
    return watchers;
  }

  Result<void> Restart(const FleetNode& node, int signal) {
    this->processes.Signal(node.vm, signal);
    BOOST_OUTCOME_TRY(this->processes.WaitForEnd(node.vm, std::chrono::seconds(10)));
    this->last_revision.erase(node.vm);
    return this->fleet.StartNode(node);
  }

  // Kills every second process at once, restarts them, and edits the tables while they start.
  Result<void> RunRestartWave() {
    const int rounds = std::max(2, this->options.edits / 10);
    for (int i = 0; i < rounds; ++i) {
      std::vector<FleetNode> wave;
      for (std::size_t n = static_cast<std::size_t>(i) % 2; n < this->nodes.size(); n += 2) {
        wave.push_back(this->nodes[n]);
      }
      this->SignalAll(wave, SIGKILL);
      for (const FleetNode& node : wave) {
        BOOST_OUTCOME_TRY(this->Restart(node, SIGKILL));
      }
      const auto revision = this->Edit("anu", i % kPools);
      if (revision) this->WaitUntilApplied(*revision, MonotonicClock::now(), this->nodes);
      BOOST_OUTCOME_TRY(this->RunSequentialEdits(3));
      BOOST_OUTCOME_TRY(this->WaitForMembers());
    }
    return success();
  }

  // ---- checks after the edits ----

  // Checks that each accepted edit is stored as the revision it was reported with, and that the
  // last accepted edit of each row is in the current tables.
  Result<void> CheckHistory() {
    KvConnection kv(this->fleet.Kv(), kKvTimeout);
    BOOST_OUTCOME_TRY(current, ReadCurrentTables(kv));
    std::map<std::string, AcceptedEdit> last;
    for (const AcceptedEdit& edit : this->findings.accepted) {
      BOOST_OUTCOME_TRY(tables, ReadTablesRevision(kv, edit.revision));
      const bool kept = tables.edit_id() == edit.id && HasVersion(tables, edit);
      if (!kept) ++this->findings.lost;
      AcceptedEdit& latest = last[edit.pool];
      if (edit.revision > latest.revision) latest = edit;
    }
    for (const auto& [pool, edit] : last) {
      // An edit of unknown outcome may have been written after it.
      if (this->findings.unknown == 0 && !HasVersion(current, edit)) ++this->findings.lost;
    }
    return success();
  }

  static bool HasVersion(const wire::Tables& tables, const AcceptedEdit& edit) {
    return std::any_of(tables.pools().begin(), tables.pools().end(), [&](const wire::Pool& pool) {
      return pool.name() == edit.pool && pool.version() == edit.version;
    });
  }

  TablesOptions options;
  ProcessGroup processes;
  Fleet fleet;
  std::vector<FleetNode> nodes;
  std::mutex mutex;  // guards findings.accepted and the counts of failed edits
  std::atomic<int> edit_count = 0;
  Findings findings;
  SteadyCost steady;
  double peak_calls = 0;
  std::uint64_t stale_orders = 0;
  bool engines_ready = true;  // at the end of the fault paused-holder
  std::map<std::string, std::uint64_t> last_revision;
};

// Returns nullopt after --help. Errors: kInvalidSettings.
Result<std::optional<TablesOptions>> ParseOptions(int argc, const char* const* argv) {
  namespace po = boost::program_options;
  TablesOptions options;
  bool json_only = false;
  po::options_description description("Options");
  const auto add = [&description](const char* name, auto& target, const char* help) {
    description.add_options()(name, po::value(&target)->default_value(target), help);
  };
  add("entries", options.entries, "entry processes");
  add("agents", options.agents, "agent processes");
  add("edits", options.edits,
      "number of edits; kv-outage runs a fifth, other faults with rounds a tenth of it as rounds");
  add("fault", options.fault,
      "none, kv-outage, lost-reply, two-operators, partition, paused-holder or restart-wave");
  add("base-port", options.base_port, "first TCP port");
  add("bin-dir", options.bin_directory, "directory of the binaries");
  add("steady-seconds", options.steady_seconds,
      "seconds without edits over which the control cost is measured");
  add("fault-seconds", options.fault_seconds,
      "duration of an outage; pauses of processes last twice as long");
  description.add_options()(
      "json", po::bool_switch(&json_only),
      "accepted for consistency with other experiments; the output is always JSON")(
      "help", "print this help");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    return Error{.kind = ErrorKind::kInvalidSettings, .detail = error.what()};
  }
  if (values.contains("help")) {
    std::cout << description;
    return std::optional<TablesOptions>();
  }
  const auto& faults = FaultNames();
  if (std::find(faults.begin(), faults.end(), options.fault) == faults.end()) {
    return Error{.kind = ErrorKind::kInvalidSettings, .detail = "unknown fault " + options.fault};
  }
  if (options.entries + options.agents < 1 || options.entries < 0 || options.agents < 0) {
    return Error{.kind = ErrorKind::kInvalidSettings,
                 .detail = "--entries and --agents must be 0 or more, and one of them at least 1"};
  }
  return std::optional(options);
}

}  // namespace

int RunTablesExperiment(int argc, const char* const* argv) {
  const auto options = ParseOptions(argc, argv);
  if (!options) {
    std::cerr << "tables: " << options.error().detail << '\n';
    return kExitUsage;
  }
  if (!options.value()) return 0;
  TablesExperiment experiment(*options.value());
  const auto result = experiment.Run();
  if (!result) {
    std::cerr << "tables: " << Describe(result.error()) << '\n';
    return 1;
  }
  experiment.Print();
  return 0;
}

}  // namespace savory
