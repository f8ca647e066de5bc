#include "apps/fleet.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "apps/process_group.h"
#include "base/sha256_hasher.h"
#include "runtime/http_client.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

using nlohmann::json;

constexpr Duration kStartTimeout = std::chrono::seconds(20);
constexpr int kPlatformPorts = 10;
constexpr int kPortsPerNode = 3;
constexpr std::size_t kMaxSeeds = 3;

std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

// Formats whole numbers below 1e15 without an exponent, which the settings reject in integers.
std::string FormatNumber(double value) {
  std::ostringstream text;
  text.precision(15);
  text << value;
  return text.str();
}

Result<Digest> WriteManifest(const std::string& weights, const std::string& folder,
                             const std::string& name, std::uint32_t chunk_size) {
  std::ifstream file(weights, std::ios::binary);
  wire::Manifest manifest;
  manifest.set_chunk_size(chunk_size);
  manifest.set_weights_name(name);
  Sha256Hasher whole;
  std::string buffer(chunk_size, '\0');
  std::uint64_t size = 0;
  while (file.read(buffer.data(), chunk_size), file.gcount() > 0) {
    const auto chunk = AsBytes(buffer).first(static_cast<std::size_t>(file.gcount()));
    whole.Update(chunk);
    manifest.mutable_chunk_digests()->append(Sha256(chunk).View());
    size += chunk.size();
  }
  if (size == 0) return Error{.kind = ErrorKind::kNotFound, .detail = weights + " is empty"};
  manifest.set_size(size);
  manifest.set_whole_digest(std::string(whole.Finish().View()));
  const std::string bytes = manifest.SerializeAsString();
  const Digest digest = Sha256(bytes);
  std::ofstream(folder + "/" + digest.Hex(), std::ios::binary) << bytes;
  return digest;
}

void WriteRandomBytes(const std::string& path, std::uint64_t bytes, std::uint64_t seed) {
  std::ofstream file(path, std::ios::binary);
  std::mt19937_64 random(seed);
  std::vector<std::uint64_t> block(8192);
  while (bytes > 0) {
    for (std::uint64_t& word : block) word = random();
    const std::uint64_t count = std::min<std::uint64_t>(bytes, block.size() * sizeof(block[0]));
    file.write(reinterpret_cast<const char*>(block.data()), static_cast<std::streamsize>(count));
    bytes -= count;
  }
}

json VmListRow(const FleetNode& node, const char* state) {
  return {{"vm", node.vm},
          {"peer", node.peer},
          {"operator", node.operator_address},
          {"region", node.location.region},
          {"data_centre", node.location.data_centre},
          {"role", node.agent ? "agent" : "entry"},
          {"service", node.service},
          {"state", state}};
}

Result<json> ParseAnswer(const std::string& where, const Result<HttpAnswer>& answer) {
  if (!answer) {
    return Error{.kind = answer.error().kind, .detail = where + ": " + answer.error().detail};
  }
  if (answer.value().status / 100 != 2) {
    return Error{.kind = ErrorKind::kUnavailable,
                 .detail = where + ": HTTP status " + std::to_string(answer.value().status) + " " +
                           answer.value().body};
  }
  json body = json::parse(answer.value().body, nullptr, false);
  if (body.is_discarded()) {
    return Error{.kind = ErrorKind::kMalformed, .detail = where + ": the answer is not valid JSON"};
  }
  return body;
}

}  // namespace

struct Fleet::Impl {
  ProcessGroup& processes;
  FleetOptions options;
  std::string kv;
  std::string origin;
  std::string vm_list;
  std::string origin_directory;
  std::vector<FleetNode> entries = {};
  std::vector<FleetNode> agents = {};
  int ctl_runs = 0;

  Impl(ProcessGroup& processes, FleetOptions given)
      : processes(processes),
        options(std::move(given)),
        kv(LoopbackAddress(this->options.base_port)),
        origin(LoopbackAddress(this->options.base_port + 1)),
        vm_list(LoopbackAddress(this->options.base_port + 2)),
        origin_directory(processes.Directory() + "/origin") {
    std::filesystem::create_directories(this->origin_directory + "/weights");
    std::filesystem::create_directories(this->origin_directory + "/manifests");
    int port = this->options.base_port + kPlatformPorts;
    for (const FleetEntryOptions& entry : this->options.entries) {
      this->AddEntry(entry, port);
      port += kPortsPerNode;
    }
    for (const FleetAgentOptions& agent : this->options.agents) {
      this->AddAgent(agent, port);
      port += kPortsPerNode;
    }
    this->WriteSettings();
  }

  void AddEntry(const FleetEntryOptions& entry, int port) {
    const std::string name = "entry-" + std::to_string(this->entries.size() + 1);
    this->entries.push_back(FleetNode{.vm = entry.vm.empty() ? name : entry.vm,
                                      .location = entry.location,
                                      .peer = LoopbackAddress(port),
                                      .operator_address = LoopbackAddress(port + 1),
                                      .http = LoopbackAddress(port + 2)});
  }

  void AddAgent(const FleetAgentOptions& agent, int port) {
    const std::string name = "agent-" + std::to_string(this->agents.size() + 1);
    FleetNode node = {.vm = agent.vm.empty() ? name : agent.vm,
                      .location = agent.location,
                      .agent = true,
                      .engine = agent.engine,
                      .service = agent.service,
                      .peer = LoopbackAddress(port),
                      .operator_address = LoopbackAddress(port + 1),
                      .upstream = LoopbackAddress(port + 2)};
    node.upstream_process = node.vm + (agent.engine ? "-engine" : "-service");
    this->agents.push_back(std::move(node));
  }

  void WriteSettings() {
    for (FleetNode& node : this->entries) this->WriteNodeSettings(node);
    for (FleetNode& node : this->agents) this->WriteNodeSettings(node);
  }

  std::string Seeds(const FleetNode& own) const {
    std::string list;
    std::size_t count = 0;
    for (const auto* nodes : {&this->entries, &this->agents}) {
      for (const FleetNode& node : *nodes) {
        if (node.vm == own.vm || count == kMaxSeeds) continue;
        list += (count == 0 ? "" : ", ") + ("\"" + node.peer + "\"");
        ++count;
      }
    }
    return list;
  }

  void WriteNodeSettings(FleetNode& node) {
    node.settings_file = this->processes.Directory() + "/" + node.vm + ".yaml";
    std::ofstream out(node.settings_file);
    out << "vm: " << node.vm << "\nregion: " << node.location.region
        << "\ndata_centre: " << node.location.data_centre << "\nlisten:\n  peer: " << node.peer
        << "\n  operator: " << node.operator_address << '\n';
    if (!node.agent) out << "  http: " << node.http << '\n';
    out << "platform:\n  kv: " << this->kv << "\n  kv_timeout_ms: " << this->options.kv_timeout_ms
        << "\n  vm_list: " << this->vm_list << "\nmembership:\n  seeds: [" << this->Seeds(node)
        << "]\nlog: {level: " << this->options.log_level << "}\n";
    if (node.agent) {
      this->WriteAgentSections(node, out);
    } else {
      out << "requests: " << this->options.requests << "\nclaims: " << this->options.claims << '\n';
    }
  }

  void WriteAgentSections(const FleetNode& node, std::ostream& out) const {
    out << "upstream: {service: " << node.service << "}\ngate: {upstream: \"" << node.upstream
        << "\", kind: " << (node.engine ? "engine" : "plain");
    if (!this->options.gate_limits.empty()) out << ", " << this->options.gate_limits;
    out << "}\n";
    if (!node.engine) return;
    out << "distribution:\n  engine: " << node.upstream << "\n  origin: " << this->origin
        << "\n  origin_region: " << this->options.origin_region
        << "\n  link_bytes_per_second: " << FormatNumber(this->options.link_bytes_per_second)
        << "\n  weights_share: " << FormatNumber(this->options.weights_share)
        << "\n  inter_region_bytes_per_second: "
        << FormatNumber(this->options.inter_region_bytes_per_second) << '\n';
    if (!this->options.strategy.empty()) out << "  strategy: " << this->options.strategy << '\n';
    if (!this->options.distribution_extra.empty()) {
      out << "  " << this->options.distribution_extra << '\n';
    }
  }

  std::string Binary(const std::string& name) const {
    return this->options.bin_directory + "/" + name;
  }

  Result<void> StartStandin(const std::string& process, const std::string& binary,
                            const std::string& address, const std::string& path,
                            const std::vector<std::string>& arguments) {
    std::vector<std::string> command = {this->Binary(binary), "--listen", address};
    command.insert(command.end(), arguments.begin(), arguments.end());
    BOOST_OUTCOME_TRY(this->processes.Start(process, command));
    return this->processes.WaitUntilHealthy(address, path, kStartTimeout);
  }

  const FleetAgentOptions& FindAgentOptions(const FleetNode& agent) const {
    for (std::size_t i = 0; i < this->agents.size(); ++i) {
      if (this->agents[i].vm == agent.vm) return this->options.agents[i];
    }
    return this->options.agents.front();
  }
};

Fleet::Fleet(ProcessGroup& processes, FleetOptions options)
    : impl(std::make_unique<Impl>(processes, std::move(options))) {}
Fleet::~Fleet() = default;

Result<void> Fleet::Start() {
  BOOST_OUTCOME_TRY(this->StartPlatform());
  for (const FleetNode& agent : this->impl->agents) {
    BOOST_OUTCOME_TRY(this->StartUpstream(agent));
  }
  for (const auto* nodes : {&this->impl->agents, &this->impl->entries}) {
    for (const FleetNode& node : *nodes) {
      BOOST_OUTCOME_TRY(this->StartNode(node));
    }
  }
  for (const auto* nodes : {&this->impl->agents, &this->impl->entries}) {
    for (const FleetNode& node : *nodes) {
      BOOST_OUTCOME_TRY(this->WaitForNode(node, kStartTimeout));
    }
  }
  return success();
}

Result<void> Fleet::StartPlatform() {
  Impl& self = *this->impl;
  const FleetOptions& options = self.options;
  BOOST_OUTCOME_TRY(self.StartStandin("kv", "standin-kv", self.kv, "/admin/stats", {}));
  BOOST_OUTCOME_TRY(self.StartStandin(
      "origin", "standin-origin", self.origin, "/stats",
      {"--dir", self.origin_directory, "--rate", FormatNumber(options.origin_bytes_per_second),
       "--max-connections", std::to_string(options.origin_max_connections)}));
  BOOST_OUTCOME_TRY(self.StartStandin("vm-list", "standin-vmlist", self.vm_list, "/vms",
                                      {"--lag-ms", std::to_string(options.vm_list_lag_ms)}));
  std::vector<FleetNode> all = self.entries;
  all.insert(all.end(), self.agents.begin(), self.agents.end());
  return this->SetVmList(all, {});
}

Result<void> Fleet::StartUpstream(const FleetNode& agent) {
  const std::vector<std::string>& arguments =
      this->impl->FindAgentOptions(agent).upstream_arguments;
  if (agent.engine) {
    return this->impl->StartStandin(agent.upstream_process, "standin-engine", agent.upstream,
                                    "/v1/state", arguments);
  }
  return this->impl->StartStandin(agent.upstream_process, "standin-service", agent.upstream,
                                  "/counts", arguments);
}

Result<void> Fleet::StartNode(const FleetNode& node) {
  const std::string binary = node.agent ? "savoryrouter-agent" : "savoryrouter-entry";
  return this->impl->processes.Start(node.vm,
                                     {this->impl->Binary(binary), "--config", node.settings_file});
}

Result<void> Fleet::WaitForNode(const FleetNode& node, Duration timeout) const {
  return this->impl->processes.WaitUntilHealthy(node.operator_address, "/healthz", timeout);
}

const std::string& Fleet::Kv() const { return this->impl->kv; }
const std::string& Fleet::Origin() const { return this->impl->origin; }
const std::string& Fleet::VmList() const { return this->impl->vm_list; }
const std::vector<FleetNode>& Fleet::Entries() const { return this->impl->entries; }
const std::vector<FleetNode>& Fleet::Agents() const { return this->impl->agents; }

Result<Digest> Fleet::AddRandomWeights(const std::string& name, std::uint64_t bytes,
                                       std::uint64_t seed, std::uint32_t chunk_size) {
  const std::string path = this->impl->origin_directory + "/weights/" + name;
  WriteRandomBytes(path, bytes, seed);
  return WriteManifest(path, this->impl->origin_directory + "/manifests", name, chunk_size);
}

Result<Digest> Fleet::AddWeightsFile(const std::string& name, const std::string& path,
                                     std::uint32_t chunk_size) {
  const std::string copy = this->impl->origin_directory + "/weights/" + name;
  std::error_code error;
  std::filesystem::copy_file(path, copy, std::filesystem::copy_options::overwrite_existing, error);
  if (error) return Error{.kind = ErrorKind::kNotFound, .detail = path + ": " + error.message()};
  return WriteManifest(copy, this->impl->origin_directory + "/manifests", name, chunk_size);
}

Result<std::string> Fleet::Ctl(std::vector<std::string> arguments, Duration timeout) {
  std::vector<std::string> command = {this->impl->Binary("savoryrouterctl")};
  command.insert(command.end(), arguments.begin(), arguments.end());
  command.insert(command.end(), {"--kv", this->impl->kv});
  const std::string name = "ctl-" + std::to_string(++this->impl->ctl_runs);
  BOOST_OUTCOME_TRY(result, this->impl->processes.RunToEnd(name, command, timeout));
  if (result.status != 0) {
    return Error{.kind = ErrorKind::kUnavailable,
                 .detail = arguments.front() + " ended with status " +
                           std::to_string(result.status) + ": " + result.output +
                           this->impl->processes.ReadLog(name)};
  }
  return result.output;
}

std::string Fleet::WriteFile(const std::string& name, const std::string& text) const {
  std::string path = this->impl->processes.Directory() + "/" + name;
  std::ofstream(path, std::ios::binary) << text;
  return path;
}

Result<void> Fleet::SetVmList(const std::vector<FleetNode>& live,
                              const std::vector<FleetNode>& leaving) {
  json rows = json::array();
  for (const FleetNode& node : live) rows.push_back(VmListRow(node, "live"));
  for (const FleetNode& node : leaving) rows.push_back(VmListRow(node, "leaving"));
  HttpClient client(this->impl->vm_list);
  BOOST_OUTCOME_TRY(ParseAnswer(
      "vm-list",
      client.Call({.method = "PUT", .target = "/admin/vms", .headers = {}, .body = rows.dump()})));
  return success();
}

Result<json> Fleet::Get(const std::string& address, const std::string& path) const {
  HttpClient client(address);
  return ParseAnswer(address + path, client.Call({.target = path}));
}

Result<json> Fleet::Post(const std::string& address, const std::string& path,
                         const json& body) const {
  HttpClient client(address);
  return ParseAnswer(address + path,
                     client.Call({.method = "POST", .target = path, .body = body.dump()}));
}

Result<json> Fleet::KvStats() const { return this->Get(this->impl->kv, "/admin/stats"); }

Result<json> Fleet::OriginStats() const { return this->Get(this->impl->origin, "/stats"); }

Result<json> Fleet::UpstreamStats(const FleetNode& agent) const {
  return this->Get(agent.upstream, agent.engine ? "/admin/stats" : "/counts");
}

Result<json> Fleet::Status(const FleetNode& node) const {
  return this->Get(node.operator_address, "/status");
}

Result<void> Fleet::SetKvFault(const json& fault) const {
  BOOST_OUTCOME_TRY(this->Post(this->impl->kv, "/admin/fault", fault));
  return success();
}

Result<void> Fleet::SetOriginFault(const json& fault) const {
  BOOST_OUTCOME_TRY(this->Post(this->impl->origin, "/admin/fault", fault));
  return success();
}

}  // namespace savory
