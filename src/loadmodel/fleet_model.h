// Simulates a fleet in virtual time: the entries' real dispatchers in front of engine models.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "relay/dispatcher.h"
#include "relay/routing_rules.h"

namespace savory {

// A class of requests. Sizes have a log-normal distribution, truncated at the maximum; the sigmas
// are the standard deviation of the logarithm.
struct RequestClass {
  std::string name;
  double share = 1;  // of all requests, relative to the other classes
  double prompt_mean = 900;
  double prompt_sigma = 1;
  double prompt_max = 3900;
  double events_mean = 18;
  double events_sigma = 0.9;
  double events_max = 45;
  double value = 1;       // of an answer in time to a request of mean size
  double late_value = 1;  // of a late answer
  Duration target = std::chrono::milliseconds(400);
  Duration max_pause = std::chrono::milliseconds(400);
  Duration time_left = std::chrono::seconds(6);  // until the caller gives up, from its first send
  int priority = 1;                              // 0 is the most urgent
};

struct RegionModel {
  std::uint32_t entries = 1;
  std::uint32_t engines = 1;
  std::uint32_t joining = 0;  // engines that join idle during the run
  double requests_per_second = 1;
};

// From `at` on, the request rate is multiplied by `factor`.
struct LoadStep {
  Duration at = {};
  double factor = 1;
  std::string of_class = {};  // only requests of this class; empty: all
  int region = -1;            // only those of this region; below 0: all
};

// From `at` on, this share of the first region's callers sends to the last region.
struct CallerShift {
  Duration at = {};
  double share = 0;
};

// A random share of the engines is offline for `length`.
struct EngineOutage {
  Duration at = {};
  Duration length = {};
  double share = 0;
};

// A random share of the engines refuses requests for `length`. An answer tells the entry how long
// if `announced`.
struct EngineWait {
  Duration at = {};
  Duration length = {};
  double share = 0;
  bool announced = true;
};

// All engines load a new version, at staggered times.
struct RolloutModel {
  Duration at = {};      // the first load starts; all chunks are staged by then
  Duration window = {};  // from the first engine's start to the last one's
  Duration load_time = std::chrono::milliseconds(300);
};

// Some engines of one region work slower for `length`: all the time, or for each second period of
// `flip_period` if that is set, as beside a noisy neighbour.
struct EngineSlowdown {
  Duration at = {};
  Duration length = {};
  std::uint32_t region = 0;
  double share = 1;
  double pace = 2;
  Duration flip_period = {};
};

struct FleetModelOptions {
  std::uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);
  std::vector<RegionModel> regions = {};
  std::vector<RequestClass> classes = {};
  EngineRates rates = {};
  std::uint32_t queue_limit = 24;
  std::vector<LoadStep> steps = {};
  std::vector<CallerShift> shifts = {};
  std::vector<EngineOutage> outages = {};
  std::vector<EngineWait> waits = {};
  std::vector<EngineSlowdown> slowdowns = {};
  bool ways_known = false;         // the rules hold the delays between the regions
  bool answers_tell_pace = false;  // the pace of the moment, as well as the reports
  std::vector<RolloutModel> rollouts = {};
  double repeating = 0;      // share of the callers that repeat a refused request at once, twice
  Duration join_at = {};     // when the first engine joins
  Duration join_every = {};  // time between two joins
  DispatcherOptions dispatcher = {};
  // Agents: how often they poll their engine and, if its load changed, report to entries of the
  // same region (local) and of the others (remote).
  Duration poll_period = std::chrono::milliseconds(200);
  Duration local_period = std::chrono::milliseconds(200);
  Duration remote_period = std::chrono::milliseconds(400);
  Duration unchanged_period = std::chrono::seconds(1);  // of reports while the load stays the same
  Duration local_delay = Duration(300);                 // one way
  Duration remote_delay = std::chrono::milliseconds(3);
  // Entries: how often they choose the engines that report to them, and how long an engine that
  // is no longer chosen goes on reporting.
  Duration follow_period = std::chrono::milliseconds(100);
  Duration follow_linger = std::chrono::seconds(4);
  // The entry that is in touch with an engine's agent passes a change of its availability on to
  // the others after this time.
  Duration pass_on_delay = std::chrono::milliseconds(50);
};

struct ClassOutcome {
  std::string name;
  std::uint64_t requests = 0;  // of callers; a retry after a refusal is not counted
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;  // the caller's retry was refused too
  std::uint64_t refused_first = 0;
  double offered_value = 0;  // if all answers were in time
  double earned_value = 0;
};

struct FleetOutcome {
  std::vector<ClassOutcome> classes = {};
  std::uint64_t sent = 0;                        // attempts sent to engines
  std::uint64_t sent_far = 0;                    // of those, to another region
  std::uint64_t rejected_by_engines = 0;         // attempts that met a full queue
  std::uint64_t late_by_pause_only = 0;          // late although the first event was in time
  std::uint64_t demand_reports = 0;              // rates that entries reported to all others
  double prediction_error_median_ms = 0;         // actual minus predicted time of the first event
  double prediction_error_p90_ms = 0;            // 90th percentile of the same
  double min_window_value_ratio = 1;             // lowest of `window_value_ratios`
  std::vector<double> window_value_ratios = {};  // earned / offered value in 2 s windows
  double ValueRatio() const;                     // earned / offered value of all classes
};

// Runs the simulation from an idle fleet until `length`, then until the last requests have ended.
FleetOutcome RunFleetModel(const FleetModelOptions& options);

}  // namespace savory
