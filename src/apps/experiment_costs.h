// Costs of single operations, from which docs/CAPACITY.md works out each role.
#pragma once

namespace savory {

// Prints one JSON object with the cost of digests, of peer messages and of connections; returns the
// exit status. Takes --base-port.
int RunCostsExperiment(int argc, const char* const* argv);

}  // namespace savory
