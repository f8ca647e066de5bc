// Simulated crash of a stand-in's own process, with state that survives it.
#pragma once

#include <nlohmann/json.hpp>

namespace savory::standins {

// Replaces the process by a fresh start of the same command, as after a crash:
// every connection breaks at once, the listener closes, memory is lost except
// `state`, and the new start waits `delay_ms` before it goes on. The process id
// stays the same. Thread-safe.
[[noreturn]] void CrashAndRestart(const nlohmann::json& state, int delay_ms);

// Call first in main, after BlockStopSignals(). Saves the command line; after
// a crash it waits for the delay (a stop signal ends the process) and
// returns the state. Otherwise returns an empty object.
nlohmann::json TakePreservedState(int argc, char** argv);

}  // namespace savory::standins
