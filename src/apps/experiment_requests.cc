#include "apps/experiment_requests.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "apps/process_group.h"
#include "apps/request_fleet.h"
#include "apps/request_load.h"
#include "base/command_line.h"
#include "runtime/http_client.h"

namespace savory {
namespace {

namespace po = boost::program_options;

constexpr Duration kSettleTime = std::chrono::seconds(3);
constexpr int kOverloadMaxRunning = 4;  // concurrent attempts at each service under overload
constexpr double kStreamSeconds = 10;
constexpr int kNonStreamCapacity = 64;  // concurrent attempts at each service besides the streams
constexpr Duration kFreezeTime = std::chrono::seconds(4);
// Interval at which a load balancer polls /readyz.
constexpr Duration kHealthCheckPeriod = std::chrono::milliseconds(500);

struct Options {
  int entries = 2;
  int agents = 3;
  double rate = 85;
  double seconds = 20;
  int streams = 0;
  std::string fault = "none";
  double non_idempotent = 0.3;
  int base_port = 14000;
  std::string bin_directory = "build/bin";
  std::string json = {};
};

std::optional<Options> ParseOptions(int argc, const char* const* argv) {
  Options options;
  po::options_description description("Options of the experiment 'requests'");
  const auto add = [&description](const char* name, auto& target, const char* help) {
    description.add_options()(name, po::value(&target)->default_value(target), help);
  };
  description.add_options()("help", "print this help");
  add("entries", options.entries, "entry processes");
  add("agents", options.agents, "upstreams, each with an agent");
  add("rate", options.rate, "requests per second, all callers together");
  add("seconds", options.seconds, "duration of the load in seconds");
  add("streams", options.streams, "number of open streams");
  add("fault", options.fault,
      "none, kill-agent, freeze-agent, silent-connection, kv-outage, lost-reply, poison, overload "
      "or drain");
  add("non-idempotent", options.non_idempotent, "fraction of non-idempotent requests, from 0 to 1");
  add("base-port", options.base_port, "first of 1,000 ports on 127.0.0.1");
  add("bin-dir", options.bin_directory, "directory of the binaries");
  add("json", options.json, "file that the result is also written to");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (!values.contains("help")) return options;
    std::cout << description;
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
  }
  return std::nullopt;
}

// Tables, load and capacity of one run.
struct Plan {
  wire::Tables tables = {};
  std::vector<LoadSource> sources = {};
  RequestFleetOptions fleet = {};
};

wire::Route& AddRoute(wire::Tables& tables, const std::string& prefix, bool idempotent) {
  wire::Route& route = *tables.add_routes();
  route.set_name(prefix.substr(1));
  route.set_path_prefix(prefix);
  route.set_pool("bookings");
  route.set_request_class("interactive");
  route.set_idempotent(idempotent);
  route.set_deadline_ms(20'000);
  return route;
}

int CallersFor(double rate) { return std::clamp(static_cast<int>(rate * 4), 16, 300); }

Plan MakePlan(const Options& options) {
  Plan plan;
  plan.tables.set_revision(1);
  plan.tables.set_edit_id("experiment");
  wire::Pool& pool = *plan.tables.add_pools();
  pool.set_name("bookings");
  pool.set_service("bookings");
  AddRoute(plan.tables, "/read", true);
  AddRoute(plan.tables, "/book", false);
  plan.fleet = {.bin_directory = options.bin_directory,
                .base_port = options.base_port,
                .entries = options.entries,
                .agents = options.agents};
  plan.fleet.relays = options.fault == "silent-connection";
  if (options.streams > 0) {
    const double length = std::min(kStreamSeconds, options.seconds);
    // Each stream sends a part every 250 ms. Streams that end are replaced at the same rate, so
    // that the number of open streams stays constant.
    plan.sources.push_back({.account = "kochi-8",
                            .rate = options.streams / length,
                            .callers = options.streams,
                            .stream_parts = static_cast<int>(length * 4),
                            .part_ms = 250});
    const int per_agent = options.streams / options.agents + kNonStreamCapacity;
    plan.fleet.max_running = std::max(plan.fleet.max_running, per_agent);
  }
  if (options.fault == "poison") {
    plan.sources.push_back({.account = "kochi-9", .rate = 2, .callers = 16, .poison = true});
  }
  if (options.fault != "overload") {
    plan.sources.push_back({.account = "kochi-7",
                            .rate = options.rate,
                            .non_idempotent = options.non_idempotent,
                            .callers = CallersFor(options.rate)});
    return plan;
  }
  // The load is twice the capacity: the account `small` stays within its share, `large` sends ten
  // times its limit, and `bulk` has no limit and alone would take most of the capacity.
  const double capacity = options.rate / 2;
  plan.fleet.max_running = kOverloadMaxRunning;
  plan.fleet.max_queued = kOverloadMaxRunning;
  plan.fleet.latency_ms = static_cast<int>(1e3 * kOverloadMaxRunning * options.agents / capacity);
  const auto source = [&](const char* account, double share) {
    return LoadSource{.account = account,
                      .rate = capacity * share,
                      .non_idempotent = options.non_idempotent,
                      .callers = 150};
  };
  plan.sources = {source("small", 0.25), source("large", 1.0), source("bulk", 0.75)};
  for (wire::Route& route : *plan.tables.mutable_routes()) {
    wire::AccountLimit& limit = *route.add_limits();
    limit.set_account("large");
    limit.set_rate_per_second(capacity * 0.1);
    limit.set_share(1);
    wire::AccountLimit& small = *route.add_limits();
    small.set_account("small");
    small.set_share(1);
  }
  return plan;
}

void PostJson(const std::string& address, const std::string& target, const nlohmann::json& body) {
  const auto answer = HttpClient(address).Call({.method = "POST",
                                                .target = target,
                                                .body = body.dump(),
                                                .content_type = "application/json"});
  if (!answer.has_value()) std::cerr << target << ": " << Describe(answer.error()) << '\n';
}

// Runs the fleet, the load and the fault of one experiment.
class Experiment {
 public:
  Experiment(ProcessGroup& processes, Options options)
      : options(std::move(options)),
        processes(processes),
        plan(MakePlan(this->options)),
        fleet(processes, this->plan.fleet),
        // No keep-alive with the fault drain: an entry that stops may close an idle connection just
        // as the caller sends on it, which a load balancer would handle by itself.
        load([this] { return this->ChooseEntry(); }, this->options.fault != "drain") {
    for (int i = 0; i < this->options.entries; ++i) this->in_rotation.push_back(i);
  }

  Result<void> Run() {
    BOOST_OUTCOME_TRYV(this->fleet.Start(this->plan.tables));
    std::this_thread::sleep_for(kSettleTime);
    std::vector<std::string> services;
    services.reserve(static_cast<std::size_t>(this->options.agents));
    for (int i = 0; i < this->options.agents; ++i) services.push_back(this->fleet.Service(i));
    std::thread direct([this, services] { this->load.MeasureDirectCalls(services); });
    std::thread fault([this] { this->InjectFault(); });
    this->load.Run(this->plan.sources, FromSeconds(this->options.seconds));
    fault.join();
    direct.join();
    return success();
  }

  nlohmann::json Summarize() const;

 private:
  std::string ChooseEntry() {
    const std::scoped_lock lock(this->mutex);
    return this->fleet.EntryHttp(this->in_rotation[this->next_entry++ % this->in_rotation.size()]);
  }

  void SleepForShare(double share_of_run) const {
    std::this_thread::sleep_for(FromSeconds(this->options.seconds * share_of_run));
  }

  void InjectFault();
  void KillAgents();
  void FreezeAgent();
  void Drain();

  Options options;
  ProcessGroup& processes;
  Plan plan;
  RequestFleet fleet;
  RequestLoad load;
  std::mutex mutex;
  std::vector<int> in_rotation;
  std::size_t next_entry = 0;
  std::optional<Instant> drain_started;
};

void Experiment::InjectFault() {
  const std::string& fault = this->options.fault;
  this->SleepForShare(0.3);
  if (fault == "kill-agent") this->KillAgents();
  if (fault == "freeze-agent") this->FreezeAgent();
  if (fault == "drain") this->Drain();
  if (fault == "silent-connection") this->fleet.SilenceAgent(0);
  if (fault == "kv-outage") {
    PostJson(this->fleet.Kv(), "/admin/fault", {{"outage", true}});
    this->SleepForShare(0.3);
    PostJson(this->fleet.Kv(), "/admin/fault", {{"outage", false}});
  }
  if (fault == "lost-reply") {
    for (int i = 0; i < 10; ++i) {
      PostJson(this->fleet.Kv(), "/admin/fault", {{"lose_replies", 3}, {"key_prefix", "claims/"}});
      this->SleepForShare(0.05);
    }
  }
}

// Kills a third of the agents at once and restarts them later.
void Experiment::KillAgents() {
  const int killed = std::max(1, this->options.agents / 3);
  for (int i = 0; i < killed; ++i) this->processes.Signal(RequestFleet::AgentName(i), SIGKILL);
  this->SleepForShare(0.3);
  for (int i = 0; i < killed; ++i) {
    (void)this->processes.WaitForEnd(RequestFleet::AgentName(i), std::chrono::seconds(5));
    const auto started = this->fleet.StartAgent(i);
    if (!started) std::cerr << Describe(started.error()) << '\n';
  }
}

void Experiment::FreezeAgent() {
  this->processes.Signal(RequestFleet::AgentName(0), SIGSTOP);
  std::this_thread::sleep_for(kFreezeTime);
  this->processes.Signal(RequestFleet::AgentName(0), SIGCONT);
}

void Experiment::Drain() {
  this->drain_started = MonotonicClock::now();
  this->processes.Signal(RequestFleet::AgentName(0), SIGTERM);
  this->SleepForShare(0.2);
  if (this->options.entries < 2) return;
  this->processes.Signal(RequestFleet::EntryName(1), SIGTERM);
  std::this_thread::sleep_for(kHealthCheckPeriod);
  const std::scoped_lock lock(this->mutex);
  std::erase(this->in_rotation, 1);
}

nlohmann::json Experiment::Summarize() const {
  const std::map<std::string, int> runs = this->fleet.CountRuns();
  const auto runs_of = [&runs](const std::string& key) {
    const auto found = runs.find(key);
    return found == runs.end() ? 0 : found->second;
  };
  std::map<ReportedOutcome, int> outcomes;
  std::map<std::string, int> error_counts;
  std::map<std::string, std::pair<int, int>> accounts;        // sent, answered
  std::map<std::string, std::vector<double>> account_millis;  // of answered requests
  std::vector<double> routed_millis;
  std::vector<double> claimed_millis;
  int wrong_answers = 0;
  int double_runs = 0;
  int false_not_run = 0;
  int cut_off = 0;
  int retry_not_run_after_run = 0;
  int poison_refused = 0;
  for (const RequestRecord& request : this->load.Records()) {
    if (request.poison) {
      poison_refused += request.error == "request-crashes-upstream" ? 1 : 0;
      continue;
    }
    ++outcomes[request.outcome];
    if (!request.error.empty()) ++error_counts[request.error];
    const int count = runs_of(request.key);
    wrong_answers += request.wrong_answer ? 1 : 0;
    if (request.non_idempotent && count > 1 && !request.is_retry) ++double_runs;
    const bool reported_not_run = request.outcome == ReportedOutcome::kNotRun && count > 0;
    if (reported_not_run && request.is_retry) ++retry_not_run_after_run;
    if (reported_not_run && !request.is_retry) ++false_not_run;
    const bool failed = request.outcome == ReportedOutcome::kUnknown ||
                        request.outcome == ReportedOutcome::kNoAnswer;
    if (failed && this->drain_started.has_value()) ++cut_off;
    auto& [sent, answered] = accounts[request.account];
    ++sent;
    if (request.outcome != ReportedOutcome::kAnswered) continue;
    ++answered;
    if (request.stream_parts > 0) continue;
    account_millis[request.account].push_back(request.millis);
    (request.keyed ? claimed_millis : routed_millis).push_back(request.millis);
  }
  nlohmann::json by_account = nlohmann::json::object();
  for (const auto& [account, millis] : account_millis) {
    by_account[account] = {{"sent", accounts[account].first},
                           {"answered", millis.size()},
                           {"ms_p50", QuantileOf(millis, 0.5)},
                           {"ms_p95", QuantileOf(millis, 0.95)},
                           {"ms_p99", QuantileOf(millis, 0.99)}};
  }
  const std::vector<double>& direct = this->load.DirectMillis();
  const auto small = accounts.find("small");
  const double sent = this->fleet.SumMetric("savory_requests_sent_total");
  const double attempts = this->fleet.SumMetric("savory_request_attempts_total");
  return {{"fault", this->options.fault},
          {"requests", this->load.Records().size()},
          {"answered", outcomes[ReportedOutcome::kAnswered]},
          {"not_run", outcomes[ReportedOutcome::kNotRun]},
          {"unknown", outcomes[ReportedOutcome::kUnknown]},
          {"no_answer", outcomes[ReportedOutcome::kNoAnswer]},
          {"wrong_answers", wrong_answers},
          {"double_runs", double_runs},
          {"false_not_run", false_not_run},
          {"repeat_not_run_after_run", retry_not_run_after_run},
          {"poison_refused", poison_refused},
          {"poison_runs", runs_of("poison")},
          {"cut_off_by_planned_stop", cut_off},
          {"attempts_per_request", sent == 0 ? 0 : attempts / sent},
          {"added_ms_p50", QuantileOf(routed_millis, 0.5) - QuantileOf(direct, 0.5)},
          {"added_ms_p99", QuantileOf(routed_millis, 0.99) - QuantileOf(direct, 0.99)},
          {"claimed_ms_p50", QuantileOf(claimed_millis, 0.5)},
          {"direct_ms_p50", QuantileOf(direct, 0.5)},
          {"small_account_share",
           small == accounts.end()
               ? 1.0
               : static_cast<double>(small->second.second) / std::max(1, small->second.first)},
          {"accounts", by_account},
          {"kinds", error_counts}};
}

}  // namespace

int RunRequestsExperiment(int argc, const char* const* argv) {
  const std::optional<Options> options = ParseOptions(argc, argv);
  if (!options.has_value()) return kExitUsage;
  ProcessGroup processes;
  Experiment experiment(processes, *options);
  const auto run = experiment.Run();
  if (!run) {
    std::cerr << Describe(run.error()) << '\n';
    processes.KeepDirectory();
    return EXIT_FAILURE;
  }
  const std::string result = experiment.Summarize().dump();
  if (!options->json.empty()) std::ofstream(options->json) << result << '\n';
  std::cout << result << std::endl;
  return EXIT_SUCCESS;
}

}  // namespace savory
