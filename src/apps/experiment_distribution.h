// Experiment "distribution" of savoryrouter-experiment: a rollout of new weights to real processes.
#pragma once

namespace savory {

// Runs the experiment with the options after its name. The last line of the output is one JSON
// object. Returns the exit status.
int RunDistributionExperiment(int argc, const char* const* argv);

}  // namespace savory
