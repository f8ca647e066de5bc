// savoryrouter-soak: runs the product's programs under randomized faults and checks them from
// outside.

#include <boost/program_options.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "base/command_line.h"
#include "soak/soak_run.h"

namespace savory {
namespace {

namespace po = boost::program_options;

// Number of address blocks that are tried, and the highest block.
constexpr int kMaxBlocksTried = 8;
constexpr int kLastBlock = 254;

void Print(const SoakOptions& options, const SoakResult& result) {
  for (const Fault& fault : result.plan) {
    std::cerr << "fault at " << ToMillis(fault.at) << " ms: " << FaultName(fault.kind) << " target "
              << fault.target << " for " << ToMillis(fault.duration) << " ms\n";
  }
  for (const Violation& note : result.notes) {
    std::cerr << note.rule << ": " << note.detail << '\n';
  }
  for (const std::string& unserved : result.unserved_at_end) {
    std::cerr << "unserved after recovery: " << unserved << '\n';
  }
  nlohmann::ordered_json line = {{"seed", options.seed},
                                 {"plan", static_cast<int>(options.plan)},
                                 {"seconds", ToSeconds(options.length)},
                                 {"faults", result.plan.size()},
                                 {"sent", result.counts.sent},
                                 {"served", result.counts.served},
                                 {"refused", result.counts.refused},
                                 {"unknown", result.counts.unknown},
                                 {"broken_off", result.counts.incomplete},
                                 {"left", result.counts.abandoned},
                                 {"runs", result.counts.runs},
                                 {"loads", result.counts.loads},
                                 {"bad_loads", result.counts.bad_loads},
                                 {"served_at_end", result.served_at_end},
                                 {"pipelined_lost", result.counts.pipelined_lost},
                                 {"begun_answers_ended", result.notes.size()},
                                 {"violations", nlohmann::json::array()}};
  for (const Violation& violation : result.violations) {
    line["violations"].push_back(violation.rule + ": " + violation.detail);
  }
  if (!result.logs.empty()) line["logs"] = result.logs;
  std::cout << line.dump() << std::endl;
}

int Main(int argc, char** argv) {
  SoakOptions options;
  double seconds = 0;
  int plan = 0;
  po::options_description description(
      "Runs the programs for the users' platform under injected faults");
  // clang-format off
  description.add_options()
      ("help", "prints this text")
      ("seed", po::value(&options.seed)->default_value(1), "seed of the fault plan and requests")
      ("plan", po::value(&plan)->default_value(static_cast<int>(PlanVersion::kNewest)),
       "version of the fault plan: lower ones for seeds that failed before")
      ("seconds", po::value(&seconds)->default_value(20), "time during which faults start")
      ("bin-dir", po::value(&options.bin_directory)->default_value("build/bin"),
       "directory of the programs")
      ("block", po::value(&options.block)->default_value(20),
       "second octet of the loopback addresses, 1 to 254; the next one if it is in use")
      ("rate", po::value(&options.requests_per_second)->default_value(40), "requests per second")
      ("keep-logs", po::bool_switch(&options.keep_logs), "keep logs also without violations");
  // clang-format on
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n';
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << description;
    return EXIT_SUCCESS;
  }
  options.length = FromSeconds(seconds);
  if (plan < 1 || plan > static_cast<int>(PlanVersion::kNewest)) {
    std::cerr << "no plan version " << plan << '\n';
    return kExitUsage;
  }
  options.plan = static_cast<PlanVersion>(plan);
  auto result = RunSoak(options);
  // Another soak run, or left-over processes of one, may use the addresses.
  for (int blocks_tried = 1;
       !result && result.error().kind == ErrorKind::kUnavailable && blocks_tried < kMaxBlocksTried;
       ++blocks_tried) {
    options.block = options.block % kLastBlock + 1;
    result = RunSoak(options);
  }
  if (!result) {
    std::cerr << Describe(result.error()) << '\n';
    return kExitUsage;
  }
  Print(options, result.value());
  return result.value().violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace savory

int main(int argc, char** argv) { return savory::Main(argc, argv); }
