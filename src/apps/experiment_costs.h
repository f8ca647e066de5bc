// Experiment "costs" of savoryrouter-experiment: costs of single operations, from which
// docs/CAPACITY.md derives the capacity of each role.
#pragma once

namespace savory {

// Takes --base-port. Prints one JSON object with the costs of digests, peer messages, connections
// and the core state machines. Returns the exit status.
int RunCostsExperiment(int argc, const char* const* argv);

}  // namespace savory
