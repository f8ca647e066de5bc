#include "loadmodel/load_patterns.h"

#include <array>
#include <utility>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array kPatterns = {
    LoadPattern{"steady", "the load of a busy day"},
    LoadPattern{"burst", "1.7 times that load for 3 s"},
    LoadPattern{"rollout", "every engine pauses once within 4.2 s to load new weights"},
    LoadPattern{"loss", "one engine in six is offline for 4.5 s"},
    LoadPattern{"return", "engines rejoin one by one after a power outage, under the full load"},
};

// Three regions with five entries each and 85 engines in all. The request mix, sizes and engine
// rates are those of the workload kcw-recell-grown.
FleetModelOptions BusyFleet(std::uint64_t seed) {
  return {.seed = seed,
          .length = seconds(14),
          .regions = {{.entries = 5, .engines = 29, .requests_per_second = 260},
                      {.entries = 5, .engines = 28, .requests_per_second = 250},
                      {.entries = 5, .engines = 28, .requests_per_second = 315}},
          .classes = {{.name = "log-review",
                       .share = 0.40,
                       .prompt_mean = 1290,
                       .prompt_max = 3880,
                       .value = 2.4,
                       .late_value = 0.6},
                      {.name = "draft",
                       .share = 0.28,
                       .prompt_mean = 787,
                       .prompt_max = 3330,
                       .events_sigma = 0.69,
                       .value = 2.1,
                       .late_value = 0.53},
                      {.name = "note",
                       .share = 0.32,
                       .prompt_mean = 607,
                       .prompt_max = 2640,
                       .events_mean = 10,
                       .value = 1.4,
                       .late_value = 0.34}},
          .rates = {.slots = 12,
                    .step = Duration(7400),
                    .step_per_request = Duration(39),
                    .step_per_1000_context = Duration(20),
                    .steps_per_event = 7,
                    .prefill_tokens_per_second = 31'900,
                    .attention_seconds_per_million_pairs = 0.000733,
                    .mean_prompt_tokens = 930,
                    .mean_answer_tokens = 108}};
}

}  // namespace

std::span<const LoadPattern> LoadPatterns() { return kPatterns; }

std::optional<FleetModelOptions> FindLoadPattern(std::string_view name, std::uint64_t seed) {
  FleetModelOptions options = BusyFleet(seed);
  if (name == "steady") return options;
  if (name == "burst") {
    options.steps = {{.at = seconds(5), .factor = 1.7}, {.at = seconds(8), .factor = 1}};
    return options;
  }
  if (name == "rollout") {
    options.rollouts = {{.at = seconds(4), .window = milliseconds(4200)}};
    return options;
  }
  if (name == "loss") {
    options.outages = {{.at = seconds(4), .length = milliseconds(4500), .share = 0.17}};
    return options;
  }
  if (name == "return") {
    for (RegionModel& region : options.regions) region.joining = std::exchange(region.engines, 0);
    options.join_at = milliseconds(500);
    options.join_every = milliseconds(15);
    return options;
  }
  return std::nullopt;
}

}  // namespace savory
