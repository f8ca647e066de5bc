// Entries' dispatchers in front of engine models in virtual time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "relay/dispatcher.h"
#include "relay/routing_rules.h"

namespace savory {

// One kind of request. Sizes are log-normal and cut at the maximum.
struct RequestClass {
  std::string name;
  double share = 1;  // of the requests
  double prompt_mean = 900;
  double prompt_sigma = 1;
  double prompt_max = 3900;
  double events_mean = 18;
  double events_sigma = 0.9;
  double events_max = 45;
  double value = 1;       // of an answer in time, for the mean size
  double late_value = 1;  // of a later one
  Duration target = std::chrono::milliseconds(400);
  Duration max_pause = std::chrono::milliseconds(400);
  Duration time_left = std::chrono::seconds(6);  // of a first try
};

struct RegionModel {
  std::uint32_t entries = 1;
  std::uint32_t engines = 1;
  std::uint32_t joining = 0;  // engines that join empty during the run
  double requests_per_second = 1;
};

// From `at` on, `factor` times the requests arrive.
struct LoadStep {
  Duration at = {};
  double factor = 1;
};

// A share of the engines is lost for a while.
struct EngineOutage {
  Duration at = {};
  Duration length = {};
  double share = 0;
};

// All engines take a version by turns.
struct RolloutModel {
  Duration at = {};      // all pieces are there
  Duration window = {};  // between the first turn and the last one
  Duration load_time = std::chrono::milliseconds(300);
};

struct FleetModelOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);
  std::vector<RegionModel> regions = {};
  std::vector<RequestClass> classes = {};
  EngineRates rates = {};
  std::uint32_t queue_limit = 24;
  std::vector<LoadStep> steps = {};
  std::vector<EngineOutage> outages = {};
  std::vector<RolloutModel> rollouts = {};
  Duration join_at = {};     // the first engine joins
  Duration join_every = {};  // and each further one so much later
  DispatcherOptions dispatcher = {};
  // Agents: how often the engine is asked, and what entries are told.
  Duration poll_period = std::chrono::milliseconds(100);
  Duration local_period = std::chrono::milliseconds(200);
  Duration remote_period = std::chrono::milliseconds(400);
  Duration unchanged_period = std::chrono::seconds(1);
  Duration local_delay = Duration(300);  // one way
  Duration remote_delay = std::chrono::milliseconds(3);
};

struct ClassOutcome {
  std::string name;
  std::uint64_t requests = 0;  // of callers; a return after a refusal is no new one
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;
  double offered_value = 0;  // worth
  double earned_value = 0;   // worth
};

struct FleetOutcome {
  std::vector<ClassOutcome> classes = {};
  std::uint64_t sent = 0;                        // to engines
  std::uint64_t rejected_by_engines = 0;         // by engines with a full queue
  std::uint64_t late_by_pause_only = 0;          // late only because of a pause
  double slot_utilization = 0;                   // places in use, mean over engines and time
  double prediction_error_median_ms = 0;         // first event, real less predicted
  double prediction_error_p90_ms = 0;            // 90 in 100 are below
  double min_window_value_ratio = 1;             // worth earned of worth owed
  std::vector<double> window_value_ratios = {};  // the same for each span
  double ValueRatio() const;                     // earned of owed, all classes
};

// Runs the model from an empty fleet to `length`.
FleetOutcome RunFleetModel(const FleetModelOptions& options);

}  // namespace savory
