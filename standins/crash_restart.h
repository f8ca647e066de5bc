// Simulated crash of a stand-in's own process, with state that survives it.
#pragma once

#include <nlohmann/json.hpp>

namespace savory::standins {

// Replaces the process by a fresh start of the same command, as after a crash:
// every connection breaks at once, the listener closes, memory is lost except
// `state`, and the new start waits `delay_ms` before it goes on. The process id
// stays the same. Thread-safe.
[[noreturn]] void CrashAndRestart(const nlohmann::json& state, int delay_ms);

// Must be called in main directly after BlockStopSignals(). Saves the command line for a later
// crash. In a process restarted by CrashAndRestart(), waits for the delay (a stop signal ends the
// process) and returns the state; otherwise returns an empty object.
nlohmann::json TakePreservedState(int argc, char** argv);

}  // namespace savory::standins
