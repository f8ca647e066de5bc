// Experiment "tables" of savoryrouter-experiment: propagation and durability of table edits under
// faults.
#pragma once

namespace savory {

// Runs the experiment with the options after its name. The last line of the output is one JSON
// object. Returns the exit status.
int RunTablesExperiment(int argc, const char* const* argv);

}  // namespace savory
