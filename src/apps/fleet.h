// A complete small deployment on loopback, for experiments and the demo.
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

// Region and data centre of a VM.
struct FleetLocation {
  std::string region = "north";
  std::string data_centre = "north-1";
};

// One agent and the stand-in of its upstream.
struct FleetAgentOptions {
  std::string service = "chat";
  bool engine = true;  // false: plain service
  FleetLocation location = {};
  std::vector<std::string> upstream_arguments = {};  // additional options of the stand-in
  std::string vm = {};                               // empty: agent-NUMBER
};

struct FleetEntryOptions {
  FleetLocation location = {};
  std::string vm = {};  // empty: entry-NUMBER
};

struct FleetOptions {
  std::string bin_directory;  // directory of the binaries
  int base_port = 23'000;     // the fleet uses 10 + 3 * (entries + agents) ports from here
  std::vector<FleetEntryOptions> entries = {};
  std::vector<FleetAgentOptions> agents = {};
  std::string origin_region = "north";
  double origin_bytes_per_second = 0;  // 0: no limit
  int origin_max_connections = 0;      // 0: no limit
  double link_bytes_per_second = 125e6;
  double weights_share = 0.8;  // largest part of that link for weights
  double inter_region_bytes_per_second = 3e6;
  std::string strategy = {};  // distribution.strategy; empty: the default
  int kv_timeout_ms = 1000;
  int vm_list_lag_ms = 0;
  std::string log_level = "info";
  // Content of the sections `requests` and `claims` as YAML flow mappings, such as
  // "{silence_ms: 500}".
  std::string requests = "{}";
  std::string claims = "{}";
  std::string gate_limits = "max_running: 64, max_queued: 64";  // keys of the section `gate`
  std::string distribution_extra =
      {};  // additional keys of the section `distribution`, such as "lease_ttl_ms: 5000"
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

// Starts the stand-ins and the daemons, each as one process. Calls to stand-ins return their JSON
// answers. Errors of all calls: those of ProcessGroup and HttpClient, kUnavailable for an HTTP
// status other than 2xx, and kMalformed for an answer that is not JSON.
class Fleet {
 public:
  Fleet(ProcessGroup& processes, FleetOptions options);
  ~Fleet();

  // Starts the platform (key-value service, origin, VM list), the upstreams, the agents and the
  // entries, and waits until each of them answers.
  Result<void> Start();
  // The steps of Start().
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

  // Stores a weights file of random bytes (generated from `seed`) and its manifest at the origin.
  // Returns the digest of the manifest.
  Result<Digest> AddRandomWeights(const std::string& name, std::uint64_t bytes, std::uint64_t seed,
                                  std::uint32_t chunk_size = 1u << 20);
  // Stores a copy of the file `path` and its manifest at the origin. Returns the digest of the
  // manifest.
  Result<Digest> AddWeightsFile(const std::string& name, const std::string& path,
                                std::uint32_t chunk_size = 1u << 20);

  // Runs `savoryrouterctl ARGUMENTS --kv KV` and returns its standard output. An exit status other
  // than 0 is an error.
  Result<std::string> Ctl(std::vector<std::string> arguments, Duration timeout);
  // Writes `text` to a file in the directory of the ProcessGroup; returns its path.
  std::string WriteFile(const std::string& name, const std::string& text) const;

  // Replaces the VM list. Start() lists all VMs as live.
  Result<void> SetVmList(const std::vector<FleetNode>& live, const std::vector<FleetNode>& leaving);

  Result<nlohmann::json> Get(const std::string& address, const std::string& path) const;
  Result<nlohmann::json> Post(const std::string& address, const std::string& path,
                              const nlohmann::json& body) const;
  Result<nlohmann::json> KvStats() const;
  Result<nlohmann::json> OriginStats() const;
  // Reads /admin/stats of an engine or /counts of a plain service.
  Result<nlohmann::json> UpstreamStats(const FleetNode& agent) const;
  Result<nlohmann::json> Status(const FleetNode& node) const;
  Result<void> SetKvFault(const nlohmann::json& fault) const;
  Result<void> SetOriginFault(const nlohmann::json& fault) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
