// Starts and supervises the child processes of experiments, the demo, the soak test and tests.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace savory {

// Resources used by one process.
struct ProcessUsage {
  double processor_seconds = 0;
  std::uint64_t resident_bytes = 0;
  std::uint64_t peak_resident_bytes = 0;
};

// Exit status and output of a process that has ended.
struct ProcessResult {
  int status = 0;      // exit status, or 128 + signal number
  std::string output;  // standard output
};

// Starts child processes, each with a log file, and ends them by process id when it is destroyed or
// when this process receives SIGINT or SIGTERM. If this process dies in another way, the kernel
// kills them. Must be created before the first thread of the program, because threads inherit the
// signal mask; only one object may exist at a time. Thread-safe.
class ProcessGroup {
 public:
  // Writes log files to a new temporary directory, which is removed at the end unless
  // KeepDirectory() was called.
  ProcessGroup();
  ~ProcessGroup();

  const std::string& Directory() const;
  void KeepDirectory();

  // Starts `command` (program and arguments) as `name`. Standard output and standard error are
  // appended to DIRECTORY/NAME.log. A name can be started again after its process has ended.
  // Errors: kUnavailable.
  Result<void> Start(const std::string& name, const std::vector<std::string>& command);
  // Runs `command` and waits for its end; kills it on timeout. Errors: kUnavailable, kTimeout.
  Result<ProcessResult> RunToEnd(const std::string& name, const std::vector<std::string>& command,
                                 Duration timeout);

  // Waits until GET `path` at `address` answers 200. Errors: kTimeout.
  Result<void> WaitUntilHealthy(const std::string& address, const std::string& path,
                                Duration timeout) const;

  // Sends `signal` (SIGTERM, SIGKILL, SIGSTOP, SIGCONT) to one child. Returns false when it does
  // not run.
  bool Signal(const std::string& name, int signal);
  // Waits for the end of a child. Returns its exit status, or 128 + signal number. Errors:
  // kTimeout, kNotFound.
  Result<int> WaitForEnd(const std::string& name, Duration timeout);
  bool IsRunning(const std::string& name);

  // Reads the usage from /proc; nullopt when the child does not run.
  std::optional<ProcessUsage> Usage(const std::string& name);
  // Returns the content of the child's log file.
  std::string ReadLog(const std::string& name) const;

  // Sends SIGTERM to all children, and SIGKILL to those still running after `grace`. Paused
  // children are resumed first.
  void StopAll(Duration grace);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
