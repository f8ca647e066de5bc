// Experiment "load" of savoryrouter-experiment: runs the entries' dispatchers against simulated
// load patterns in virtual time.
#pragma once

namespace savory {

// Prints one JSON line for each seed. Returns the exit status.
int RunLoadExperiment(int argc, const char* const* argv);

}  // namespace savory
