#include "apps/experiment_tables.h"

#include <iostream>

#include "base/command_line.h"

namespace savory {

int RunTablesExperiment(int, const char* const*) {
  std::cerr << "tables: not built yet\n";
  return kExitUsage;
}

}  // namespace savory
