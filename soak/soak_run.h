// One soak run: the product's processes under injected faults.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "soak/checker.h"
#include "soak/fault_plan.h"

namespace savory {

struct SoakOptions {
  std::uint64_t seed = 1;
  PlanVersion plan = PlanVersion::kNewest;
  Duration length = std::chrono::seconds(20);  // during which faults start
  std::string bin_directory;
  int block = 20;          // of loopback addresses, see SoakLayout
  bool keep_logs = false;  // also after a run without violations
  double requests_per_second = 40;
};

struct SoakResult {
  std::vector<Fault> plan;
  std::vector<Violation> violations;
  std::vector<Violation> notes;  // observations that break no rule
  SoakCounts counts;
  double served_at_end = 0;  // share of the requests after recovery from the last fault
  // Those that were not served, each followed by its log lines if too many were not.
  std::vector<std::string> unserved_at_end;
  std::string logs;  // directory, if it was kept
};

// Errors: kUnavailable when a program cannot be started or an address is in use.
Result<SoakResult> RunSoak(const SoakOptions& options);

}  // namespace savory
