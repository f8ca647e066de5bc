// Last guard of the callbacks that run on an event loop.
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace savory {

// Logs and counts an exception that a callback let through.
void ReportUncaught(std::string_view where, std::string_view reason);
// Number of exceptions reported since the process started.
std::uint64_t UncaughtExceptions();

// Runs `callback`. An exception that it lets through is reported and goes no further: it would end
// a process that serves everyone, and must not unwind the frames of the C libraries that called.
template <typename Callback>
void RunGuarded(std::string_view where, Callback&& callback) {
  try {
    std::forward<Callback>(callback)();
  } catch (const std::exception& error) {
    ReportUncaught(where, error.what());
  } catch (...) {
    ReportUncaught(where, "not a standard exception");
  }
}

}  // namespace savory
