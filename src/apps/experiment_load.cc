#include "apps/experiment_load.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "base/command_line.h"
#include "loadmodel/load_patterns.h"

namespace savory {
namespace {

namespace po = boost::program_options;
using nlohmann::ordered_json;

struct Options {
  std::string pattern = "rollout";
  std::string fleet = "medium";
  std::uint64_t seed = 1;
  int runs = 1;
};

std::string PatternList() {
  std::string list = "load pattern:";
  for (const LoadPattern& pattern : LoadPatterns()) {
    list += "\n  " + std::string(pattern.name) + ": " + std::string(pattern.summary);
  }
  return list;
}

std::optional<Options> ParseOptions(int argc, const char* const* argv, int& exit_code) {
  Options options;
  po::options_description description("Options of the experiment 'load'");
  description.add_options()("help", "print this help");
  description.add_options()("pattern", po::value(&options.pattern)->default_value(options.pattern),
                            PatternList().c_str());
  description.add_options()("fleet", po::value(&options.fleet)->default_value(options.fleet),
                            "size of the fleet: small (4 entries, 13 engines), medium (15, 85) or "
                            "large (35, 265)");
  description.add_options()("seed", po::value(&options.seed)->default_value(options.seed),
                            "seed of the first run; the same seed gives the same requests");
  description.add_options()("runs", po::value(&options.runs)->default_value(options.runs),
                            "number of runs, each with the next seed");
  exit_code = kExitUsage;
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (!values.contains("help")) return options;
    std::cout << description;
    exit_code = 0;
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
  }
  return std::nullopt;
}

double Ratio(double part, double whole) { return whole > 0 ? part / whole : 1; }

ordered_json OutcomeJson(const FleetOutcome& outcome) {
  ordered_json line;
  ordered_json classes = ordered_json::object();
  ClassOutcome all;
  double lowest = 1;
  double highest = 0;
  for (const ClassOutcome& row : outcome.classes) {
    all.requests += row.requests;
    all.in_time += row.in_time;
    all.late += row.late;
    all.refused += row.refused;
    const double earned = Ratio(row.earned_value, row.offered_value);
    lowest = std::min(lowest, earned);
    highest = std::max(highest, earned);
    classes[row.name] = {{"requests", row.requests}, {"in_time", row.in_time},
                         {"late", row.late},         {"refused_first", row.refused_first},
                         {"refused", row.refused},   {"worth", earned}};
  }
  line["worth"] = outcome.ValueRatio();
  line["requests"] = all.requests;
  line["in_time"] = all.in_time;
  line["late"] = all.late;
  line["refused"] = all.refused;
  line["refused_by_full_engines"] = outcome.rejected_by_engines;
  line["demand_reports"] = outcome.demand_reports;
  line["worst_two_seconds"] = outcome.min_window_value_ratio;
  line["fairness_of_classes"] = Ratio(lowest, highest);
  line["first_event_error_ms"] = {{"median", outcome.prediction_error_median_ms},
                                  {"p90", outcome.prediction_error_p90_ms}};
  line["classes"] = std::move(classes);
  return line;
}

}  // namespace

int RunLoadExperiment(int argc, const char* const* argv) {
  int exit_code = 0;
  const std::optional<Options> options = ParseOptions(argc, argv, exit_code);
  if (!options) return exit_code;
  for (int run = 0; run < options->runs; ++run) {
    const std::uint64_t seed = options->seed + static_cast<std::uint64_t>(run);
    const auto pattern = FindLoadPattern(options->pattern, options->fleet, seed);
    if (!pattern) {
      std::cerr << "unknown pattern '" << options->pattern << "' or fleet '" << options->fleet
                << "'\n"
                << PatternList() << '\n';
      return kExitUsage;
    }
    ordered_json line = {{"pattern", options->pattern}, {"fleet", options->fleet}, {"seed", seed}};
    line.update(OutcomeJson(RunFleetModel(*pattern)));
    std::cout << line.dump() << '\n';
  }
  return 0;
}

}  // namespace savory
