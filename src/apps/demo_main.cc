// savoryrouter-demo: starts a small deployment on loopback and rolls out new weights while callers
// send requests. Run by tools/demo.sh.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include "apps/fleet.h"
#include "apps/process_group.h"
#include "base/command_line.h"
#include "runtime/http_client.h"

namespace savory {
namespace {

namespace po = boost::program_options;
using nlohmann::json;

constexpr std::uint64_t kDefaultBytes = 64u << 20;
constexpr std::uint64_t kFirstVersionBytes = 16u << 20;
constexpr int kEngines = 7;
constexpr int kMaxLoading = 3;
constexpr int kChatCallers = 4;
constexpr int kPartsPerAnswer = 5;
// The origin has the bandwidth of two VM links.
constexpr double kLinkBytesPerSecond = 40e6;
constexpr double kOriginBytesPerSecond = 80e6;
constexpr double kInterRegionBytesPerSecond = 20e6;
// Most bytes that the origin may send for a rollout without faults (target in docs/design.md), as a
// multiple of the size of the weights.
constexpr double kMaxOriginCopies = 1.05;
constexpr Duration kApplyTimeout = std::chrono::seconds(30);
constexpr Duration kStopTimeout = std::chrono::seconds(20);
constexpr Duration kPollPeriod = std::chrono::milliseconds(50);
constexpr Duration kCallerPause = std::chrono::milliseconds(20);
constexpr std::size_t kDigestPrefixDigits = 16;

struct DemoOptions {
  std::string bin_directory;
  std::string weights;                  // weights file of the second version; empty: random bytes
  std::uint64_t bytes = kDefaultBytes;  // size of the random bytes
  int base_port = 23'000;
  int timeout_s = 120;  // for each rollout
  bool keep = false;
};

// Outcomes that the callers observed in one phase.
struct PhaseCounts {
  int answered = 0;
  int refused = 0;  // outcome "not-run" or "refused-by-limit"
  int wrong = 0;
  double slowest_ms = 0;
  std::map<std::string, int> refusals = {};  // count by body of the answer
};

// Expected content of an answer.
struct Expectation {
  std::string token;
  std::vector<std::string> weights;  // manifest digests that may be served
};

bool IsNotRunRefusal(const HttpAnswer& answer) {
  const std::string_view outcome = HeaderValue(answer.headers, "X-Savoryrouter-Outcome");
  return outcome == "not-run" || outcome == "refused-by-limit";
}

// Returns how a 200 answer differs from the expected one, or "" when it is right.
std::string FindMismatch(const HttpAnswer& answer, const Expectation& expected) {
  const std::string used(HeaderValue(answer.headers, "X-Weights"));
  const auto& allowed = expected.weights;
  if (std::find(allowed.begin(), allowed.end(), used) == allowed.end()) {
    return "weights '" + used + "'";
  }
  std::ostringstream wanted;
  for (int i = 0; i < kPartsPerAnswer; ++i) {
    wanted << i << ' ' << expected.token << ' ' << used.substr(0, kDigestPrefixDigits) << '\n';
  }
  return answer.body == wanted.str() ? "" : "body '" + answer.body + "'";
}

// Threads that send requests to the entries until Stop().
class Callers {
 public:
  // `key_prefix` makes the keys and tokens differ from those of other Callers objects.
  Callers(const Fleet& fleet, std::string key_prefix, std::vector<std::string> weights)
      : fleet(fleet), key_prefix(std::move(key_prefix)), weights(std::move(weights)) {
    for (int i = 0; i < kChatCallers; ++i) {
      this->threads.emplace_back([this, i] { this->RunChatCaller(i); });
    }
    this->threads.emplace_back([this] { this->RunBookingCaller(); });
  }
  ~Callers() { this->Stop(); }

  PhaseCounts Stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads) thread.join();
    this->threads.clear();
    const std::lock_guard lock(this->mutex);
    return this->counts;
  }

  // Idempotency keys of the bookings that were answered.
  const std::vector<std::string>& AnsweredBookings() const { return this->answered_bookings; }

 private:
  const std::string& EntryFor(int number) const {
    const auto& entries = this->fleet.Entries();
    return entries[static_cast<std::size_t>(number) % entries.size()].http;
  }

  void RunChatCaller(int caller) {
    for (int i = 0; !this->stopping; ++i) {
      HttpClient client(this->EntryFor(caller + i));
      const Expectation expected = {.token = this->key_prefix + "-caller" + std::to_string(caller) +
                                             "-" + std::to_string(this->next_number++),
                                    .weights = this->weights};
      const json body = {{"prompt", "hello"},
                         {"token", expected.token},
                         {"parts", kPartsPerAnswer},
                         {"part_ms", 10}};
      const Instant start = MonotonicClock::now();
      const auto answer = client.Call({.method = "POST",
                                       .target = "/v1/generate",
                                       .headers = {{"X-Account", "demo"}},
                                       .body = body.dump(),
                                       .content_type = "application/json"});
      this->Record(answer, MonotonicClock::now() - start,
                   [&expected](const HttpAnswer& good) { return FindMismatch(good, expected); });
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  void RunBookingCaller() {
    for (int i = 0; !this->stopping; ++i) {
      HttpClient client(this->EntryFor(i));
      const std::string key = this->key_prefix + "-booking-" + std::to_string(this->next_number++);
      const Instant start = MonotonicClock::now();
      const auto answer = client.Call({.method = "POST",
                                       .target = "/bookings/new",
                                       .headers = {{"X-Account", "demo"}, {"Idempotency-Key", key}},
                                       .body = "seat for " + key,
                                       .content_type = "text/plain"});
      this->Record(answer, MonotonicClock::now() - start, [this, &key](const HttpAnswer& good) {
        const json reply = json::parse(good.body, nullptr, false);
        if (!reply.is_object() || reply.value("key", "") != key) return "body " + good.body;
        this->answered_bookings.push_back(key);
        return std::string();
      });
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  void Record(const Result<HttpAnswer>& answer, Duration elapsed,
              const std::function<std::string(const HttpAnswer&)>& find_mismatch) {
    const std::lock_guard lock(this->mutex);
    this->counts.slowest_ms = std::max(this->counts.slowest_ms, ToSeconds(elapsed) * 1e3);
    if (answer && answer.value().status != 200 && IsNotRunRefusal(answer.value())) {
      ++this->counts.refused;
      ++this->counts.refusals[answer.value().body];
      return;
    }
    std::string problem = answer ? "" : Describe(answer.error());
    if (answer && answer.value().status == 200) problem = find_mismatch(answer.value());
    if (answer && answer.value().status != 200) {
      problem = "status " + std::to_string(answer.value().status) + " " + answer.value().body;
    }
    if (problem.empty()) {
      ++this->counts.answered;
      return;
    }
    if (this->counts.wrong++ == 0) std::cout << "  wrong answer: " << problem << '\n';
  }

  const Fleet& fleet;
  std::string key_prefix;
  std::vector<std::string> weights;
  std::atomic<bool> stopping = false;
  std::atomic<int> next_number = 0;
  std::mutex mutex;  // guards `counts`
  PhaseCounts counts;
  std::vector<std::string> answered_bookings;  // used by the booking thread only
  std::vector<std::thread> threads;
};

class Demo {
 public:
  explicit Demo(DemoOptions options)
      : options(std::move(options)), fleet(this->processes, this->MakeFleetOptions()) {}

  // Returns the exit status.
  int Run() {
    if (this->options.keep) this->processes.KeepDirectory();
    std::cout << "logs and settings: " << this->processes.Directory() << '\n';
    const auto result = this->RunSteps();
    if (!result) {
      std::cout << "failed: " << Describe(result.error()) << '\n';
      this->PrintLogs();
      return EXIT_FAILURE;
    }
    std::cout << (this->failures.empty() ? "demo passed\n" : "demo failed:\n");
    for (const std::string& line : this->failures) std::cout << "  " << line << '\n';
    return this->failures.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
  }

 private:
  FleetOptions MakeFleetOptions() const {
    const FleetLocation north = {.region = "north", .data_centre = "north-1"};
    const FleetLocation south = {.region = "south", .data_centre = "south-1"};
    FleetOptions fleet_options = {.bin_directory = this->options.bin_directory,
                                  .base_port = this->options.base_port,
                                  .entries = {{.location = north}, {.location = south}},
                                  .origin_region = "north",
                                  .origin_bytes_per_second = kOriginBytesPerSecond,
                                  .link_bytes_per_second = kLinkBytesPerSecond,
                                  .inter_region_bytes_per_second = kInterRegionBytesPerSecond};
    for (int i = 0; i < kEngines; ++i) {
      fleet_options.agents.push_back(
          {.service = "chat-llm", .location = i % 2 == 0 ? north : south});
    }
    fleet_options.agents.push_back({.service = "bookings", .engine = false, .location = north});
    return fleet_options;
  }

  Result<void> RunSteps() {
    BOOST_OUTCOME_TRY(this->fleet.Start());
    std::cout << "started: key-value service, origin, VM list, 2 entries, " << kEngines
              << " engines and 1 plain service with their agents\n";
    BOOST_OUTCOME_TRY(first, this->fleet.AddRandomWeights("chat-llm-v1", kFirstVersionBytes, 1));
    BOOST_OUTCOME_TRY(this->Apply(first, "v1"));
    BOOST_OUTCOME_TRY(this->RollOut("first weights", first, kFirstVersionBytes));
    this->PrintFleet();
    this->RunPhase("before the rollout", {first.Hex()}, [] { return Result<void>(success()); });

    BOOST_OUTCOME_TRY(second, this->AddSecondVersion());
    this->RunPhase("during the rollout", {first.Hex(), second.Hex()},
                   [this, &second]() -> Result<void> {
                     BOOST_OUTCOME_TRY(this->Apply(second, "v2"));
                     return this->RollOut("second weights", second, this->second_bytes);
                   });
    this->PrintFleet();
    this->RunPhase("after the rollout", {second.Hex()}, [] { return Result<void>(success()); });

    BOOST_OUTCOME_TRY(
        status, this->fleet.Ctl({"status", "--vm-list", this->fleet.VmList()}, kApplyTimeout));
    std::cout << "\nsavoryrouterctl status:\n" << status;
    BOOST_OUTCOME_TRY(this->CheckStandins());
    this->StopGracefully();
    return success();
  }

  Result<Digest> AddSecondVersion() {
    Result<Digest> digest =
        this->options.weights.empty()
            ? this->fleet.AddRandomWeights("chat-llm-v2", this->options.bytes, 2)
            : this->fleet.AddWeightsFile("chat-llm-v2", this->options.weights);
    if (digest) {
      BOOST_OUTCOME_TRY(size, this->WeightsSize("chat-llm-v2"));
      this->second_bytes = size;
    }
    return digest;
  }

  Result<std::uint64_t> WeightsSize(const std::string& name) const {
    HttpClient client(this->fleet.Origin());
    BOOST_OUTCOME_TRY(answer, client.Call({.method = "HEAD", .target = "/weights/" + name}));
    return std::strtoull(std::string(HeaderValue(answer.headers, "Content-Length")).c_str(),
                         nullptr, 10);
  }

  Result<void> Apply(const Digest& manifest, const std::string& version) {
    std::ostringstream text;
    text << "routes:\n"
            "  - {name: chat, match: {path_prefix: /v1/generate, method: POST}, pool: chat-llm,\n"
            "     class: chat, priority: 10, idempotent: true, deadline_ms: 20000,\n"
            "     limits: [{account: \"*\", rate_per_s: 1000, concurrency: 200, share: 0.1}]}\n"
            "  - {name: bookings, match: {path_prefix: /bookings, method: POST}, pool: bookings,\n"
            "     class: interactive, priority: 10, idempotent: false, deadline_ms: 5000,\n"
            "     limits: [{account: \"*\", rate_per_s: 1000, concurrency: 200, share: 0.1}]}\n"
            "pools:\n"
            "  - {name: chat-llm, members: {service: chat-llm}, model: chat-llm, version: "
         << version << ",\n     manifest: " << manifest.Hex()
         << ", favours: origin_bytes,\n     max_loading: " << kMaxLoading
         << ", engine_checks_fence: true}\n"
            "  - {name: bookings, members: {service: bookings}}\n";
    const std::string file = this->fleet.WriteFile("tables-" + version + ".yaml", text.str());
    const Instant start = MonotonicClock::now();
    std::vector<std::string> arguments = {
        "apply", file, "--wait", "--author", "demo", "--vm-list", this->fleet.VmList()};
    BOOST_OUTCOME_TRY(output, this->fleet.Ctl(std::move(arguments), kApplyTimeout));
    std::cout << "\napplied the tables for " << version << " in "
              << ToMillis(MonotonicClock::now() - start) << " ms: " << output;
    return success();
  }

  // Waits until all engines serve `manifest`; prints the time to N replicas and the origin copies.
  Result<void> RollOut(const std::string& title, const Digest& manifest, std::uint64_t bytes) {
    const Instant start = MonotonicClock::now();
    const Instant deadline = start + std::chrono::seconds(this->options.timeout_s);
    int ready = 0;
    std::cout << title << " (" << bytes << " bytes): time to N replicas\n";
    while (ready < kEngines) {
      if (MonotonicClock::now() > deadline) {
        this->PrintFleet();
        return Error{.kind = ErrorKind::kTimeout,
                     .detail = std::to_string(ready) + " engines serve the " + title};
      }
      const int now_ready = this->CountServing(manifest);
      for (; ready < now_ready; ++ready) {
        std::cout << "  N=" << ready + 1 << ": " << std::fixed << std::setprecision(2)
                  << ToSeconds(MonotonicClock::now() - start) << " s\n";
      }
      std::this_thread::sleep_for(kPollPeriod);
    }
    return this->CheckOriginBytes(title, bytes);
  }

  Result<void> CheckOriginBytes(const std::string& title, std::uint64_t bytes) {
    BOOST_OUTCOME_TRY(stats, this->fleet.OriginStats());
    const auto total = stats.value("bytes_sent", std::uint64_t{0});
    const double copies =
        static_cast<double>(total - this->origin_bytes) / static_cast<double>(bytes);
    this->origin_bytes = total;
    std::cout << "  origin copies: " << std::setprecision(3) << copies << '\n';
    if (copies > kMaxOriginCopies) {
      this->failures.push_back(title + ": " + std::to_string(copies) + " origin copies");
    }
    return success();
  }

  int CountServing(const Digest& manifest) const {
    int count = 0;
    for (const FleetNode& agent : this->fleet.Agents()) {
      if (!agent.engine) continue;
      const auto status = this->fleet.Status(agent);
      if (!status) continue;
      const json& node = status.value();
      const bool serves =
          node.value("ready", false) && node["rollout"].value("serving", "") == manifest.Hex();
      if (serves) ++count;
    }
    return count;
  }

  void PrintFleet() const {
    std::cout << "what each VM serves:\n";
    for (const FleetNode& agent : this->fleet.Agents()) {
      std::cout << "  " << std::left << std::setw(9) << agent.vm << std::setw(8)
                << agent.location.region << std::setw(10) << agent.service;
      const auto status = this->fleet.Status(agent);
      if (!status) {
        std::cout << Describe(status.error()) << '\n';
        continue;
      }
      const json& node = status.value();
      std::cout << (node.value("ready", false) ? "ready     " : "not ready ");
      if (node.contains("rollout")) {
        const json& rollout = node["rollout"];
        std::cout << rollout.value("phase", "") << " "
                  << rollout.value("serving", "").substr(0, kDigestPrefixDigits) << " "
                  << rollout.value("detail", "");
      }
      std::cout << '\n';
    }
  }

  // Sends requests while `work` runs, for at least two seconds, and checks their outcomes.
  template <typename Work>
  void RunPhase(const std::string& phase, std::vector<std::string> weights, Work work) {
    Callers callers(this->fleet, "phase" + std::to_string(++this->phase_count), std::move(weights));
    const Instant end = MonotonicClock::now() + std::chrono::seconds(2);
    const Result<void> result = work();
    std::this_thread::sleep_until(end);
    const PhaseCounts counts = callers.Stop();
    std::cout << "requests " << phase << ": " << counts.answered << " answered, " << counts.refused
              << " refused as not run, " << counts.wrong << " wrong, slowest " << std::fixed
              << std::setprecision(0) << counts.slowest_ms << " ms\n";
    for (const auto& [body, count] : counts.refusals) {
      std::cout << "  refused " << count << " times: " << body << '\n';
    }
    if (!result) this->failures.push_back(phase + ": " + Describe(result.error()));
    if (counts.wrong > 0) this->failures.push_back(phase + ": wrong answers");
    if (counts.answered == 0) this->failures.push_back(phase + ": no answers");
    if (counts.refused > 0) this->failures.push_back(phase + ": requests were refused");
    this->bookings += callers.AnsweredBookings().size();
  }

  Result<void> CheckStandins() {
    for (const FleetNode& agent : this->fleet.Agents()) {
      BOOST_OUTCOME_TRY(stats, this->fleet.UpstreamStats(agent));
      if (!agent.engine) {
        this->CheckBookings(stats);
        continue;
      }
      if (stats.value("bad_serves", 0) + stats.value("stale_orders_accepted", 0) > 0) {
        this->failures.push_back(agent.vm + ": " + stats.dump());
      }
    }
    BOOST_OUTCOME_TRY(kv, this->fleet.KvStats());
    std::cout << "key-value calls: " << kv.dump() << '\n';
    return success();
  }

  void CheckBookings(const json& stats) {
    const auto total = stats.value("total", std::uint64_t{0});
    std::cout << "bookings: " << this->bookings << " answered, " << total << " run, at most "
              << stats.value("highest", 0) << " time(s) each\n";
    if (stats.value("highest", 0) > 1) this->failures.push_back("a booking ran twice");
    if (total < this->bookings) this->failures.push_back("a booking was answered but did not run");
  }

  // Sends SIGTERM to every daemon; each must exit with status 0.
  void StopGracefully() {
    for (const auto* nodes : {&this->fleet.Entries(), &this->fleet.Agents()}) {
      for (const FleetNode& node : *nodes) this->processes.Signal(node.vm, SIGTERM);
      for (const FleetNode& node : *nodes) {
        const auto status = this->processes.WaitForEnd(node.vm, kStopTimeout);
        if (status && status.value() == 0) continue;
        this->failures.push_back(
            node.vm + " did not stop with status 0: " +
            (status ? std::to_string(status.value()) : Describe(status.error())));
      }
    }
  }

  void PrintLogs() const {
    for (const auto* nodes : {&this->fleet.Entries(), &this->fleet.Agents()}) {
      for (const FleetNode& node : *nodes) {
        std::cout << "--- " << node.vm << '\n' << this->processes.ReadLog(node.vm);
      }
    }
  }

  DemoOptions options;
  ProcessGroup processes;
  Fleet fleet;
  std::uint64_t second_bytes = 0;
  std::uint64_t origin_bytes = 0;
  std::uint64_t bookings = 0;
  int phase_count = 0;
  std::vector<std::string> failures;  // failed checks
};

int RunDemo(int argc, const char* const* argv) {
  DemoOptions options;
  po::options_description description("Options");
  description.add_options()("bin-dir", po::value(&options.bin_directory)->required(),
                            "directory of the binaries")(
      "weights", po::value(&options.weights),
      "weights file of the second version; default: random bytes")(
      "bytes", po::value(&options.bytes)->default_value(options.bytes), "size of the random bytes")(
      "base-port", po::value(&options.base_port)->default_value(options.base_port),
      "first of 40 ports")("timeout-s",
                           po::value(&options.timeout_s)->default_value(options.timeout_s),
                           "time limit of each rollout in seconds")(
      "keep", po::bool_switch(&options.keep), "keep the directory of logs and settings")(
      "help", "print this help");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout
          << "savoryrouter-demo: rolls out weights on loopback while callers send requests\n\n"
          << description;
      return EXIT_SUCCESS;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "savoryrouter-demo: " << error.what() << '\n';
    return kExitUsage;
  }
  return Demo(std::move(options)).Run();
}

}  // namespace
}  // namespace savory

int main(int argc, char** argv) {
  std::cout << std::unitbuf;
  return savory::RunDemo(argc, argv);
}
