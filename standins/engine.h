// The engine stand-in: load orders, answers, crashes and the counters that tests check.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/time.h"
#include "standins/engine_batch.h"

namespace savory::standins {

class StandinServer;

struct EngineOptions {
  bool check_fence = true;
  bool check_not_after = true;  // false: counts deadline_ms from when it has read a load request
  int load_ms = 0;              // added to each load, spread over its layers
  int order_delay_ms = 0;       // time between accepting a load order and starting it
  int first_part_ms = 0;        // time to the first part of an answer
  int part_ms = 10;             // between parts, unless the request names a time
  int restart_ms = 500;         // from a crash to the next start
  std::string crash_word = {};  // prompts with this word crash the engine; empty: none
  BatchOptions batch = {};
};

// Serves the engine's interface (docs/design.md, section 7). POST /admin/fault {late_loads: N,
// late_load_ms: MS}: the next N load requests are read MS late, while other calls are answered.
class Engine {
 public:
  // `preserved`: the state saved at the engine's last crash.
  Engine(EngineOptions options, const nlohmann::json& preserved);
  ~Engine();

  void Mount(StandinServer& server);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory::standins
