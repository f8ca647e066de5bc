// savoryrouter-experiment: experiments that measure real processes on loopback, and two ("load" and
// "costs") that run inside this process.
#include <array>
#include <iostream>
#include <string_view>

#include "apps/experiment_costs.h"
#include "apps/experiment_distribution.h"
#include "apps/experiment_load.h"
#include "apps/experiment_requests.h"
#include "apps/experiment_tables.h"
#include "base/command_line.h"

namespace {

struct Experiment {
  std::string_view name;
  std::string_view summary;
  int (*run)(int argc, const char* const* argv);
};

constexpr std::array kExperiments = {
    Experiment{"distribution", "time to N replicas and origin bytes of a rollout",
               savory::RunDistributionExperiment},
    Experiment{"requests", "outcomes, runs and latency of requests under load and faults",
               savory::RunRequestsExperiment},
    Experiment{"tables",
               "time until edits are applied everywhere, and calls to the key-value service",
               savory::RunTablesExperiment},
    Experiment{"load", "dispatch decisions of the entries under simulated load, without a network",
               savory::RunLoadExperiment},
    Experiment{"costs", "costs of single operations", savory::RunCostsExperiment},
};

void PrintHelp(std::ostream& out) {
  out << "Usage: savoryrouter-experiment EXPERIMENT [OPTIONS]\n\n";
  for (const Experiment& experiment : kExperiments) {
    out << "  " << experiment.name << ": " << experiment.summary << '\n';
  }
  out << "\nEXPERIMENT --help prints its options.\n";
}

}  // namespace

int main(int argc, char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help") {
    PrintHelp(std::cout);
    return 0;
  }
  if (name == "--version") {
    std::cout << "savoryrouter-experiment " << SAVORY_VERSION << '\n';
    return 0;
  }
  for (const Experiment& experiment : kExperiments) {
    if (experiment.name == name) return experiment.run(argc - 1, argv + 1);
  }
  PrintHelp(std::cerr);
  return savory::kExitUsage;
}
