// Simulated crash of a stand-in's own process, with state that survives it.
#pragma once

#include <nlohmann/json.hpp>

namespace savory::standins {

// Executes the same command line anew in this process, as after a crash: all connections break at
// once, the listener closes, and memory is lost except `state`. The new start waits `delay_ms`
// before it continues. The process id does not change. Thread-safe.
[[noreturn]] void CrashAndRestart(const nlohmann::json& state, int delay_ms);

// Call first in main, after BlockStopSignals(). Saves the command line for CrashAndRestart(). After
// a crash, waits for the delay (a stop signal ends the process) and returns the state. Otherwise
// returns an empty object.
nlohmann::json TakePreservedState(int argc, char** argv);

}  // namespace savory::standins
