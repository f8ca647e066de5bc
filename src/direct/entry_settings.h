// Settings of the entry process that reaches upstreams directly.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/settings.h"
#include "base/time.h"
#include "placement/cold_limits.h"
#include "relay/pool_retry_budget.h"

namespace savory {

// Settings common to entries and agents.
struct DirectProcessSettings {
  std::string vm;
  std::string region;
  std::string data_centre;
  std::string peer;             // IP:PORT for messages between entries and agents
  std::uint16_t peer_port = 0;  // the same on all VMs
  std::string metrics = {};     // IP:PORT that serves /metrics; empty: none
  std::map<std::string, std::string> regions = {};  // data centre -> region
  LogOptions log = {};
};

struct DirectEntrySettings {
  std::string file = {};  // path of the settings file
  DirectProcessSettings process;
  std::string callers;             // IP:PORT that callers connect to
  std::string ready;               // IP:PORT for readiness checks of the load balancer
  std::string store;               // IP:PORT of the platform's store
  std::vector<std::string> seeds;  // IP:PORT of VMs that may run other entries
  PoolRetryBudgetOptions retry_budget = {};
  // Engines with older weights get no requests once this time has passed since a newer version was
  // announced.
  Duration weights_deadline = std::chrono::seconds(8);
  // An upstream that leaves serves on for this long after its record was removed or says so.
  Duration upstream_drain = std::chrono::milliseconds(2000);
  ColdLimitOptions cold = {};
  // Whether the entry decides by load, pace and way when requests leave the data centre.
  bool decides_leaving = false;
  // Bandwidth of the links between regions; 0: unknown.
  double region_bytes_per_second = 0;
  // Limits of the machine for this process; 0: not known, and callers' input is not bounded as a
  // whole.
  std::uint64_t memory_bytes = 0;
  std::size_t max_files = 0;  // open descriptors
  // Time from SIGTERM until the platform kills the process.
  Duration stop_grace = std::chrono::seconds(8);
};

DirectProcessSettings ReadDirectProcess(SettingsReader& reader);
DirectEntrySettings ReadDirectEntry(SettingsReader& reader);
// Reads and validates the settings file at `path`.
Result<DirectEntrySettings> ReadDirectEntryFile(const std::string& path);

}  // namespace savory
