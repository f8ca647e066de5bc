// The product's processes in a soak run: starts them, injects faults by signals, and restarts them
// when they exit.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "apps/process_group.h"
#include "base/error.h"
#include "base/time.h"
#include "soak/soak_layout.h"

namespace savory {

class EventLoop;

class SoakProcesses {
 public:
  // `bin_directory` holds the programs.
  SoakProcesses(EventLoop& loop, ProcessGroup& group, const SoakLayout& layout,
                std::string bin_directory);

  // Called with the VM of a process after every start, including restarts.
  void OnStart(std::function<void(const std::string& vm)> listener);
  // Called when a process that was not killed exits with a status other than 0, or when a restart
  // fails (status -1).
  void OnUnexpectedExit(std::function<void(const std::string& vm, int status)> listener);

  Result<void> StartAll();
  void Kill(const std::string& vm);
  void KillAll();
  // Sends SIGTERM, then SIGKILL if the process does not exit in time.
  void Stop(const std::string& vm);
  void Pause(const std::string& vm, Duration duration);
  // Sends SIGHUP.
  void Reload(const std::string& vm);
  // Gives it processor time only in a fifth of `duration`, in short slices.
  void Squeeze(const std::string& vm, Duration duration);
  // Stops all processes and waits. Returns the VMs whose process did not exit with status 0 in
  // time.
  std::vector<std::string> StopAll();

 private:
  struct Process {
    std::vector<std::string> command;
    bool killed = false;
    bool restart_pending = false;
    std::size_t starts_in_log = 0;  // before this start
    int generation = 0;  // counts SIGTERMs and starts, so that no late SIGKILL hits a new process
  };

  Result<void> Start(const std::string& vm);
  void RestartExited();
  // Lines in the log of the VM's process that say that it has started.
  std::size_t StartsInLog(const std::string& vm) const;
  // Whether SIGTERM came before the process could block it, and so before it served anybody.
  bool EndedBeforeMain(const std::string& vm, int status) const;

  EventLoop& loop;
  ProcessGroup& group;
  SoakLayout layout;
  std::string bin_directory;
  std::map<std::string, Process> processes = {};
  std::function<void(const std::string&)> on_start = {};
  std::function<void(const std::string&, int)> on_unexpected_exit = {};
  bool shutting_down = false;
};

}  // namespace savory
