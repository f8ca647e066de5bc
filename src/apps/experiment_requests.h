// Experiment "requests" of savoryrouter-experiment: outcomes and latency of requests under load and
// faults.
#pragma once

namespace savory {

// Runs the experiment with the options after its name. The last line of the output is one JSON
// object. Returns the exit status.
int RunRequestsExperiment(int argc, const char* const* argv);

}  // namespace savory
