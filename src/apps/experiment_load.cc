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
  std::uint64_t seed = 1;
  int runs = 1;
};

std::string PatternList() {
  std::string list = "pattern of load:";
  for (const LoadPattern& pattern : LoadPatterns()) {
    list += "\n  " + std::string(pattern.name) + ": " + std::string(pattern.summary);
  }
  return list;
}

std::optional<Options> Parse(int argc, const char* const* argv, int& exit_code) {
  Options options;
  po::options_description known("Options of the experiment 'load'");
  known.add_options()("help", "prints this text");
  known.add_options()("pattern", po::value(&options.pattern)->default_value(options.pattern),
                      PatternList().c_str());
  known.add_options()("seed", po::value(&options.seed)->default_value(options.seed),
                      "seed of the first run; the same seed gives the same requests");
  known.add_options()("runs", po::value(&options.runs)->default_value(options.runs),
                      "runs, each with the next seed");
  exit_code = kExitUsage;
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, known), values);
    po::notify(values);
    if (!values.contains("help")) return options;
    std::cout << known;
    exit_code = 0;
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
  }
  return std::nullopt;
}

double PartOf(double part, double whole) { return whole > 0 ? part / whole : 1; }

ordered_json Describe(const FleetOutcome& outcome) {
  ordered_json line;
  ordered_json classes = ordered_json::object();
  ClassOutcome all;
  double least = 1;
  double most = 0;
  for (const ClassOutcome& row : outcome.classes) {
    all.requests += row.requests;
    all.in_time += row.in_time;
    all.late += row.late;
    all.refused += row.refused;
    const double earned = PartOf(row.earned_value, row.offered_value);
    least = std::min(least, earned);
    most = std::max(most, earned);
    classes[row.name] = {{"requests", row.requests},
                         {"in_time", row.in_time},
                         {"late", row.late},
                         {"refused", row.refused},
                         {"worth", earned}};
  }
  line["worth"] = outcome.ValueRatio();
  line["requests"] = all.requests;
  line["in_time"] = all.in_time;
  line["late"] = all.late;
  line["refused"] = all.refused;
  line["refused_by_full_engines"] = outcome.rejected_by_engines;
  line["worst_two_seconds"] = outcome.min_window_value_ratio;
  line["fairness_of_classes"] = PartOf(least, most);
  line["first_event_error_ms"] = {{"median", outcome.prediction_error_median_ms},
                                  {"p90", outcome.prediction_error_p90_ms}};
  line["classes"] = std::move(classes);
  return line;
}

}  // namespace

int RunLoadExperiment(int argc, const char* const* argv) {
  int exit_code = 0;
  const std::optional<Options> options = Parse(argc, argv, exit_code);
  if (!options) return exit_code;
  for (int run = 0; run < options->runs; ++run) {
    const std::uint64_t seed = options->seed + static_cast<std::uint64_t>(run);
    const auto pattern = FindLoadPattern(options->pattern, seed);
    if (!pattern) {
      std::cerr << "unknown pattern '" << options->pattern << "'\n" << PatternList() << '\n';
      return kExitUsage;
    }
    ordered_json line = {{"pattern", options->pattern}, {"seed", seed}};
    line.update(Describe(RunFleetModel(*pattern)));
    std::cout << line.dump() << '\n';
  }
  return 0;
}

}  // namespace savory
