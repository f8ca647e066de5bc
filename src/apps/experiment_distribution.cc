#include "apps/experiment_distribution.h"

#include <iostream>

#include "base/command_line.h"

namespace savory {

int RunDistributionExperiment(int, const char* const*) {
  std::cerr << "distribution: not built yet\n";
  return kExitUsage;
}

}  // namespace savory
