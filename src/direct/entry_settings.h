// Settings of an entry that reaches upstreams directly.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/log.h"
#include "base/settings.h"
#include "base/time.h"
#include "relay/pool_retry_budget.h"

namespace savory {

// What every process of this kind has.
struct DirectProcessSettings {
  std::string vm;
  std::string region;
  std::string data_centre;
  std::string peer;                                 // IP:PORT between own processes
  std::uint16_t peer_port = 0;                      // the same on all machines
  std::string metrics = {};                         // IP:PORT that serves /metrics; empty: none
  std::map<std::string, std::string> regions = {};  // data centre -> region
  LogOptions log = {};
};

struct DirectEntrySettings {
  std::string file = {};  // path of the settings
  DirectProcessSettings process;
  std::string callers;             // IP:PORT
  std::string ready;               // IP:PORT that answers the load balancer
  std::string store;               // IP:PORT of the platform's store
  std::vector<std::string> seeds;  // IP:PORT; machines that may run other entries
  PoolRetryBudgetOptions repeats = {};
  // Engines with older weights get no request from then on after a newer version was named.
  Duration weights_deadline = std::chrono::seconds(8);
  // Time from SIGTERM until the process is killed.
  Duration stop_grace = std::chrono::seconds(8);
};

DirectProcessSettings ReadDirectProcess(SettingsReader& reader);
DirectEntrySettings ReadDirectEntry(SettingsReader& reader);
// Reads and checks the file at `path`.
Result<DirectEntrySettings> ReadDirectEntryFile(const std::string& path);

}  // namespace savory
