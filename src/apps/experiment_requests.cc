#include "apps/experiment_requests.h"

#include <iostream>

#include "base/command_line.h"

namespace savory {

int RunRequestsExperiment(int, const char* const*) {
  std::cerr << "requests: not built yet\n";
  return kExitUsage;
}

}  // namespace savory
