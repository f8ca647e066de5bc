// One upstream, as the platform's list of upstreams and its own reports describe it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/time.h"

namespace savory {

struct Upstream {
  std::string id = {};  // identifies one start of the upstream: usually new after a restart
  std::string pool = {};
  std::string address = {};  // IP:PORT
  std::string data_centre = {};
  std::uint32_t slots = 1;           // concurrent requests
  bool draining = false;             // accepts no new requests
  std::int64_t started_unix_ms = 0;  // start time; 0: unknown
  Duration warmup_remaining = {};    // time until it reaches full speed after its start
  // Engines: the weights version that all of its layers hold; 0: none.
  std::uint64_t weights_version = 0;
  bool is_engine = false;
};

// Load that an upstream reports.
struct UpstreamLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;  // 0: unknown
  // Slowdown factor of work at the upstream at this moment; above 1: slower than usual.
  std::optional<double> pace = {};
};

// Periodic report of the agent beside an engine, sent several times a second.
struct EngineReport {
  std::string address;  // IP:PORT of the engine
  UpstreamLoad load = {};
  bool load_known = true;  // otherwise `load` is old
  bool reachable = true;   // the engine answered its agent
  // No weights load is about to start or in progress, and the way is not too slow for requests.
  bool accepting = true;
  std::uint64_t weights_version = 0;
  double pace = 1;              // slowdown factor; above 1: slower than its published rates
  std::uint64_t kv_used = 0;    // used KV cache, in tokens
  std::uint32_t followers = 0;  // entries that get load reports of this engine; 0: unknown
};

// What an agent said longer ago than this is not passed on to other entries: it is gone.
inline constexpr Duration kMaxPassedOnAge = std::chrono::milliseconds(2500);

// Whether an engine serves, as the entry that is in touch with its agent passes it on to the other
// entries.
struct EngineAvailability {
  std::string address;  // IP:PORT of the engine
  bool reachable = true;
  bool accepting = true;
  std::uint64_t weights_version = 0;
};

}  // namespace savory
