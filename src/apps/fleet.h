// A whole small deployment on loopback, for experiments, the demo and tests.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/digest.h"
#include "base/error.h"

namespace savory {

class ProcessGroup;

// Where a VM is.
struct FleetLocation {
  std::string region = "north";
  std::string data_centre = "north-1";
};

// One agent and the stand-in beside it.
struct FleetAgentOptions {
  std::string service = "chat";
  bool engine = true;  // false: plain service
  FleetLocation location = {};
  std::vector<std::string> upstream_arguments = {};  // more options of the stand-in
  std::string vm = {};                               // empty: agent-NUMBER
};

struct FleetEntryOptions {
  FleetLocation location = {};
  std::string vm = {};  // empty: entry-NUMBER
};

struct FleetOptions {
  std::string bin_directory;  // of the binaries of the build
  int base_port = 23'000;     // the fleet uses 10 + 3 * (entries + agents) ports from here
  std::vector<FleetEntryOptions> entries = {};
  std::vector<FleetAgentOptions> agents = {};
  std::string origin_region = "north";
  double origin_bytes_per_second = 0;  // 0: no limit
  int origin_max_connections = 0;      // 0: no limit
  double link_bytes_per_second = 125e6;
  double weights_share = 0.8;
  double inter_region_bytes_per_second = 3e6;
  std::string strategy = {};  // of the distribution; empty: the default
  int kv_timeout_ms = 1000;
  int vm_list_lag_ms = 0;
  std::string log_level = "info";
  // Lines of YAML flow mappings that replace a section, such as "{silence_ms: 500}".
  std::string requests = "{}";
  std::string claims = "{}";
  std::string gate_limits = "max_running: 64, max_queued: 64";  // inside the section `gate`
  std::string distribution_extra =
      {};  // more keys inside the section, such as "lease_ttl_ms: 5000"
};

// Addresses and process names of one VM.
struct FleetNode {
  std::string vm;  // also the name of its process in the ProcessGroup
  FleetLocation location;
  bool agent = false;
  bool engine = false;
  std::string service = {};
  std::string peer;                   // IP:PORT
  std::string operator_address;       // IP:PORT
  std::string http = {};              // entries: IP:PORT towards callers
  std::string upstream = {};          // agents: IP:PORT of the stand-in
  std::string upstream_process = {};  // agents: name of the stand-in's process
  std::string settings_file = {};
};

// Starts the stand-ins and the daemons, one process each. The calls to
// stand-ins return their JSON. Errors of all calls: those of ProcessGroup and
// HttpClient, and kUnavailable for an unexpected status.
class Fleet {
 public:
  Fleet(ProcessGroup& processes, FleetOptions options);
  ~Fleet();

  // Platform (key-value service, origin, VM list), upstreams, agents, entries;
  // waits until each of them answers.
  Result<void> Start();
  // The same in steps.
  Result<void> StartPlatform();
  Result<void> StartUpstream(const FleetNode& agent);
  Result<void> StartNode(const FleetNode& node);
  // Waits for GET /healthz of a daemon.
  Result<void> WaitForNode(const FleetNode& node, Duration timeout) const;

  const std::string& Kv() const;
  const std::string& Origin() const;
  const std::string& VmList() const;
  const std::vector<FleetNode>& Entries() const;
  const std::vector<FleetNode>& Agents() const;

  // Puts a weights file of random bytes (from `seed`) at the origin, with its
  // manifest; returns the manifest's digest.
  Result<Digest> AddRandomWeights(const std::string& name, std::uint64_t bytes, std::uint64_t seed,
                                  std::uint32_t chunk_size = 1u << 20);
  // The same with a copy of a file.
  Result<Digest> AddWeightsFile(const std::string& name, const std::string& path,
                                std::uint32_t chunk_size = 1u << 20);

  // Runs `savoryrouterctl ARGUMENTS --kv KV`; returns its standard output. An
  // exit status other than 0 is an error.
  Result<std::string> Ctl(std::vector<std::string> arguments, Duration timeout);
  // Writes `text` to a file in the group's directory; returns its path.
  std::string WriteFile(const std::string& name, const std::string& text) const;

  // Replaces the VM list. Start() lists all VMs as live.
  Result<void> SetVmList(const std::vector<FleetNode>& live, const std::vector<FleetNode>& leaving);

  Result<nlohmann::json> Get(const std::string& address, const std::string& path) const;
  Result<nlohmann::json> Post(const std::string& address, const std::string& path,
                              const nlohmann::json& body) const;
  Result<nlohmann::json> KvStats() const;
  Result<nlohmann::json> OriginStats() const;
  Result<nlohmann::json> UpstreamStats(const FleetNode& agent) const;  // or /counts
  Result<nlohmann::json> Status(const FleetNode& node) const;
  Result<void> SetKvFault(const nlohmann::json& fault) const;
  Result<void> SetOriginFault(const nlohmann::json& fault) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
