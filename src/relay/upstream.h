// One upstream as the platform's list and its own reports describe it.
#pragma once

#include <cstdint>
#include <string>

#include "base/time.h"

namespace savory {

struct Upstream {
  std::string id = {};  // of one start of the upstream, mostly
  std::string pool = {};
  std::string address = {};  // IP:PORT
  std::string data_centre = {};
  std::uint32_t slots = 1;         // requests that it runs at once
  bool draining = false;           // takes no new work
  std::int64_t born_unix_ms = 0;   // its start; 0: not told
  Duration warmup_remaining = {};  // slow for this long after its start
  // Engines: the version of the weights that all of its layers hold; 0: none.
  std::uint64_t weights_version = 0;
  bool is_engine = false;
};

// What an upstream said of its work.
struct UpstreamLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;  // 0: not told
};

// What the agent beside an engine reports, some times a second.
struct EngineReport {
  std::string address;  // IP:PORT of the engine
  UpstreamLoad load = {};
  bool reachable = true;  // the engine answered its agent
  bool accepting = true;  // no load order is about to begin or in progress
  std::uint64_t weights_version = 0;
  double pace = 1;            // above 1: slower than its published rates
  std::uint64_t kv_used = 0;  // tokens
};

}  // namespace savory
