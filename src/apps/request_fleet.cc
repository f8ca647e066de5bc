#include "apps/request_fleet.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "runtime/http_client.h"
#include "runtime/kv_connection.h"
#include "tables/table_keys.h"

namespace savory {
namespace {

constexpr Duration kStartTimeout = std::chrono::seconds(15);
constexpr int kRelayTargetPortOffset = 700;  // ports that agents behind relays listen on
constexpr int kExtraWorkers = 32;            // of an agent, in addition to one for each attempt
constexpr Duration kCallTimeout = std::chrono::seconds(5);

std::string FetchBody(const std::string& address, const std::string& target) {
  const auto answer = HttpClient(address).Call({.target = target, .read_timeout = kCallTimeout});
  return answer.has_value() ? answer.value().body : std::string();
}

}  // namespace

RequestFleet::RequestFleet(ProcessGroup& processes, RequestFleetOptions options)
    : processes(processes), options(std::move(options)) {}

std::string RequestFleet::Address(int offset) const {
  return "127.0.0.1:" + std::to_string(this->options.base_port + offset);
}

std::string RequestFleet::Binary(const std::string& name) const {
  return this->options.bin_directory + "/" + name;
}

std::string RequestFleet::WriteSettingsFile(const std::string& name,
                                            const std::string& text) const {
  std::string path = this->processes.Directory() + "/" + name + ".yaml";
  std::ofstream(path) << text;
  return path;
}

std::string RequestFleet::CommonSettings(const std::string& vm) const {
  return "vm: " + vm + "\nregion: region-01\ndata_centre: dc-1\n" + "platform: {kv: \"" +
         this->Kv() + "\"}\nmembership: {seeds: [\"" + this->EntryPeer(0) + "\"]}\n";
}

Result<void> RequestFleet::Start(const wire::Tables& tables) {
  BOOST_OUTCOME_TRYV(
      this->processes.Start("kv", {this->Binary("standin-kv"), "--listen", this->Kv()}));
  BOOST_OUTCOME_TRYV(this->processes.WaitUntilHealthy(this->Kv(), "/admin/stats", kStartTimeout));
  KvConnection kv(this->Kv(), kCallTimeout);
  BOOST_OUTCOME_TRYV(kv.CompareAndSwap(kTablesKey, tables.SerializeAsString(), 0));
  for (int i = 0; i < this->options.agents; ++i) {
    BOOST_OUTCOME_TRYV(this->processes.Start(
        this->ServiceName(i),
        {this->Binary("standin-service"), "--listen", this->Service(i), "--latency-ms",
         std::to_string(this->options.latency_ms), "--crash-word", "poison"}));
    BOOST_OUTCOME_TRYV(
        this->processes.WaitUntilHealthy(this->Service(i), "/counts", kStartTimeout));
  }
  for (int i = 0; this->options.relays && i < this->options.agents; ++i) {
    this->agent_relays.push_back(std::make_unique<SilentRelay>(
        this->options.base_port + 200 + i, this->Address(kRelayTargetPortOffset + i)));
  }
  for (int i = 0; i < this->options.entries; ++i) {
    BOOST_OUTCOME_TRYV(this->StartEntry(i));
  }
  for (int i = 0; i < this->options.agents; ++i) {
    BOOST_OUTCOME_TRYV(this->StartAgent(i));
  }
  for (int i = 0; i < this->options.entries; ++i) {
    BOOST_OUTCOME_TRYV(
        this->processes.WaitUntilHealthy(this->EntryOperator(i), "/readyz", kStartTimeout));
  }
  for (int i = 0; i < this->options.agents; ++i) {
    BOOST_OUTCOME_TRYV(
        this->processes.WaitUntilHealthy(this->AgentOperator(i), "/readyz", kStartTimeout));
  }
  return success();
}

Result<void> RequestFleet::StartEntry(int index) {
  const std::string name = EntryName(index);
  const std::string config = this->WriteSettingsFile(
      name, this->CommonSettings(name) + "listen: {peer: \"" + this->EntryPeer(index) +
                "\", operator: \"" + this->EntryOperator(index) + "\", http: \"" +
                this->EntryHttp(index) + "\"}\n");
  return this->processes.Start(name, {this->Binary("savoryrouter-entry"), "--config", config});
}

Result<void> RequestFleet::StartAgent(int index) {
  const std::string name = AgentName(index);
  const std::string bind =
      this->options.relays
          ? "peer_bind: \"" + this->Address(kRelayTargetPortOffset + index) + "\", "
          : "";
  std::ostringstream text;
  text << this->CommonSettings(name) << "upstream: {service: bookings}\n"
       << "workers: " << this->options.max_running + kExtraWorkers << "\n"
       << "listen: {peer: \"" << this->AgentPeer(index) << "\", " << bind << "operator: \""
       << this->AgentOperator(index) << "\"}\n"
       << "gate: {upstream: \"" << this->Service(index)
       << "\", kind: plain, max_running: " << this->options.max_running
       << ", max_queued: " << this->options.max_queued << "}\n";
  const std::string config = this->WriteSettingsFile(name, text.str());
  return this->processes.Start(name, {this->Binary("savoryrouter-agent"), "--config", config});
}

std::map<std::string, int> RequestFleet::CountRuns() const {
  std::map<std::string, int> runs;
  for (int i = 0; i < this->options.agents; ++i) {
    const auto counts =
        nlohmann::json::parse(FetchBody(this->Service(i), "/counts"), nullptr, false);
    if (!counts.is_object()) continue;
    for (const auto& [key, count] : counts["counts"].items()) runs[key] += count.get<int>();
  }
  return runs;
}

double RequestFleet::SumMetric(const std::string& name) const {
  double sum = 0;
  for (int i = 0; i < this->options.entries; ++i) {
    std::istringstream lines(FetchBody(this->EntryOperator(i), "/metrics"));
    for (std::string line; std::getline(lines, line);) {
      const bool matches = line.starts_with(name + "{") || line.starts_with(name + " ");
      if (matches) sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

}  // namespace savory
