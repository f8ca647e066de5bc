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
    LoadPattern{"waits", "in a burst, half of the engines want no requests for 2 s"},
    LoadPattern{"return", "engines rejoin one by one after a power outage, under the full load"},
    LoadPattern{"low-burst",
                "2.5 times the requests of the least urgent kind for 4 s, in a busy hour"},
    LoadPattern{"turns", "bursts of each kind in turn, 2 s each, in a busy hour"},
    LoadPattern{"double", "one region's callers send twice as much for 5 s, in a busy hour"},
    LoadPattern{"repeats",
                "a burst in which a third of the callers repeat refused requests at once"},
    LoadPattern{"shift", "half of the callers of the first region move to the last one for 4 s"},
    LoadPattern{"uneven", "the first region has twice its load, the others less in proportion"},
    LoadPattern{"slow-region", "the engines of the first region work at a third of their speed"},
    LoadPattern{"slow-machines", "some engines of the first region are slow for 4 s"},
    LoadPattern{"neighbours", "the pace of half of the engines flips ten times a second"},
};

// The three kinds of generated answers, with the sizes and values of a deployment.
struct AnswerKinds {
  double events = 18;  // mean, of the two longer kinds
  double events_of_notes = 10;
  double events_max = 45;
  Duration target = milliseconds(400);
  Duration target_of_notes = milliseconds(400);
  Duration max_pause = milliseconds(400);
};

std::vector<RequestClass> ClassesOf(const AnswerKinds& kinds) {
  return {{.name = "log-review",
           .share = 0.40,
           .prompt_mean = 1290,
           .prompt_max = 3880,
           .events_mean = kinds.events,
           .events_max = kinds.events_max,
           .value = 2.4,
           .late_value = 0.6,
           .target = kinds.target,
           .max_pause = kinds.max_pause},
          {.name = "draft",
           .share = 0.28,
           .prompt_mean = 787,
           .prompt_max = 3330,
           .events_mean = kinds.events,
           .events_sigma = 0.69,
           .events_max = kinds.events_max,
           .value = 2.1,
           .late_value = 0.53,
           .target = kinds.target,
           .max_pause = kinds.max_pause},
          {.name = "note",
           .share = 0.32,
           .prompt_mean = 607,
           .prompt_max = 2640,
           .events_mean = kinds.events_of_notes,
           .events_max = kinds.events_max,
           .value = 1.4,
           .late_value = 0.34,
           .target = kinds.target_of_notes,
           .max_pause = kinds.max_pause}};
}

// 4 entries before 13 engines, with long answers and short targets.
FleetModelOptions SmallFleet(std::uint64_t seed) {
  return {.seed = seed,
          .length = seconds(14),
          .regions = {{.entries = 1, .engines = 4, .requests_per_second = 46},
                      {.entries = 2, .engines = 5, .requests_per_second = 51},
                      {.entries = 1, .engines = 4, .requests_per_second = 45}},
          .classes = ClassesOf({.events = 24,
                                .events_of_notes = 12,
                                .events_max = 60,
                                .target_of_notes = milliseconds(300),
                                .max_pause = milliseconds(300)}),
          .rates = {.slots = 16,
                    .step = Duration(6730),
                    .step_per_request = Duration(22),
                    .step_per_1000_context = Duration(7),
                    .steps_per_event = 6,
                    .prefill_tokens_per_second = 30'600,
                    .attention_seconds_per_million_pairs = 0.000647,
                    .mean_prompt_tokens = 920,
                    .mean_answer_tokens = 120},
          .queue_limit = 32};
}

// 15 entries before 85 engines.
FleetModelOptions MediumFleet(std::uint64_t seed) {
  return {.seed = seed,
          .length = seconds(14),
          .regions = {{.entries = 5, .engines = 29, .requests_per_second = 260},
                      {.entries = 5, .engines = 28, .requests_per_second = 250},
                      {.entries = 5, .engines = 28, .requests_per_second = 315}},
          .classes = ClassesOf({}),
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

// 35 entries before 265 engines in five regions.
FleetModelOptions LargeFleet(std::uint64_t seed) {
  return {.seed = seed,
          .length = seconds(14),
          .regions = {{.entries = 8, .engines = 54, .requests_per_second = 264},
                      {.entries = 7, .engines = 53, .requests_per_second = 240},
                      {.entries = 6, .engines = 52, .requests_per_second = 302},
                      {.entries = 7, .engines = 53, .requests_per_second = 299},
                      {.entries = 7, .engines = 53, .requests_per_second = 261}},
          .classes = ClassesOf({.events = 14.6,
                                .events_of_notes = 11.6,
                                .events_max = 36.5,
                                .target = milliseconds(500)}),
          .rates = {.slots = 8,
                    .step = Duration(11100),
                    .step_per_request = Duration(58),
                    .step_per_1000_context = Duration(31),
                    .steps_per_event = 6,
                    .prefill_tokens_per_second = 21'300,
                    .attention_seconds_per_million_pairs = 0.0011,
                    .mean_prompt_tokens = 920,
                    .mean_answer_tokens = 82},
          .queue_limit = 16,
          .remote_delay = milliseconds(1)};
}

// Keeps the load of all regions together.
void MakeUneven(FleetModelOptions& options) {
  double total = 0;
  for (const RegionModel& region : options.regions) total += region.requests_per_second;
  const double first = options.regions.front().requests_per_second;
  const double factor = (total - 2 * first) / (total - first);
  for (RegionModel& region : options.regions) region.requests_per_second *= factor;
  options.regions.front().requests_per_second = 2 * first;
}

// The longest answers are the most urgent ones and worth the most; the least urgent kind may be
// answered later.
void SetUrgency(FleetModelOptions& options) {
  int priority = 0;
  for (RequestClass& row : options.classes) row.priority = priority++;
  options.classes.front().value = 3.6;
  options.classes.front().late_value = 0.36;
  options.classes.back().value = 0.55;
  options.classes.back().late_value = 0.2;
  options.classes.back().target = milliseconds(800);
}

std::optional<FleetModelOptions> FleetOfSize(std::string_view size, std::uint64_t seed) {
  if (size == "small") return SmallFleet(seed);
  if (size == "medium") return MediumFleet(seed);
  if (size == "large") return LargeFleet(seed);
  return std::nullopt;
}

}  // namespace

std::span<const LoadPattern> LoadPatterns() { return kPatterns; }

std::optional<FleetModelOptions> FindLoadPattern(std::string_view name, std::string_view fleet,
                                                 std::uint64_t seed) {
  std::optional<FleetModelOptions> found = FleetOfSize(fleet, seed);
  if (!found || name == "steady") return found;
  FleetModelOptions& options = *found;
  if (name == "burst") {
    options.steps = {{.at = seconds(5), .factor = 1.7}, {.at = seconds(8), .factor = 1}};
  } else if (name == "rollout") {
    options.rollouts = {{.at = seconds(4), .window = milliseconds(4200)}};
  } else if (name == "loss") {
    options.outages = {{.at = seconds(4), .length = milliseconds(4500), .share = 0.17}};
  } else if (name == "waits") {
    options.steps = {{.at = seconds(5), .factor = 1.4}, {.at = seconds(8), .factor = 1}};
    options.waits = {{.at = milliseconds(5500), .length = seconds(2), .share = 0.5}};
  } else if (name == "return") {
    for (RegionModel& region : options.regions) region.joining = std::exchange(region.engines, 0);
    options.join_at = milliseconds(500);
    std::uint32_t joining = 0;
    for (const RegionModel& region : options.regions) joining += region.joining;
    options.join_every = milliseconds(1300) / joining;
  } else if (name == "low-burst") {
    SetUrgency(options);
    options.steps = {{.at = {}, .factor = 1.15},
                     {.at = seconds(4), .factor = 2.5, .of_class = "note"},
                     {.at = seconds(8), .factor = 1.15}};
  } else if (name == "turns") {
    SetUrgency(options);
    options.steps = {{.at = {}, .factor = 1.1}};
    Duration at = seconds(3);
    for (const RequestClass& row : options.classes) {
      options.steps.push_back({.at = at, .factor = 2.2, .of_class = row.name});
      at += seconds(2);
      options.steps.push_back({.at = at, .factor = 1.1, .of_class = row.name});
    }
  } else if (name == "double") {
    SetUrgency(options);
    const int last = static_cast<int>(options.regions.size()) - 1;
    options.steps = {{.at = {}, .factor = 1.05},
                     {.at = seconds(4), .factor = 2.1, .region = last},
                     {.at = seconds(9), .factor = 1.05}};
  } else if (name == "repeats") {
    SetUrgency(options);
    options.steps = {{.at = seconds(4), .factor = 1.7}, {.at = seconds(8), .factor = 1}};
    options.repeating = 0.33;
  } else if (name == "shift") {
    options.shifts = {{.at = seconds(5), .share = 0.5}, {.at = seconds(9), .share = 0}};
  } else if (name == "uneven") {
    MakeUneven(options);
  } else if (name == "slow-region") {
    options.slowdowns = {{.at = seconds(4), .length = seconds(5), .pace = 3}};
  } else if (name == "slow-machines") {
    options.slowdowns = {{.at = seconds(4), .length = seconds(4), .share = 0.3, .pace = 4}};
  } else if (name == "neighbours") {
    for (std::uint32_t region = 0; region < options.regions.size(); ++region) {
      options.slowdowns.push_back({.at = seconds(2),
                                   .length = seconds(10),
                                   .region = region,
                                   .share = 0.5,
                                   .pace = 2.5,
                                   .flip_period = milliseconds(100)});
    }
  } else {
    return std::nullopt;
  }
  return found;
}

}  // namespace savory
