// Benchmarks of the processor time and memory of the core state machines, run in virtual time for
// fleets of the planned sizes.
#pragma once

#include <nlohmann/json.hpp>

namespace savory {

// Measures membership by number of members, request handling at the entry by number of agents,
// request handling in the agent's gate, the state of a weights copy by number of chunks, and origin
// ranks by number of members. Runs for several seconds.
nlohmann::ordered_json MeasureCoreCosts();

// Returns the processor time that this process has used, in seconds.
double ProcessCpuSeconds();

}  // namespace savory
