// The real programs in a soak: started, harmed by signals, and started again when they end.
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

  // Called with the VM of each process that was started, also again.
  void OnStart(std::function<void(const std::string& vm)> listener);
  // Called when a process ends with another status than 0 and nobody killed it.
  void OnUnexpectedExit(std::function<void(const std::string& vm, int status)> listener);

  Result<void> StartAll();
  void Kill(const std::string& vm);
  void KillAll();
  // SIGTERM; SIGKILL follows when it does not end in time.
  void Stop(const std::string& vm);
  void Pause(const std::string& vm, Duration duration);
  // Stops all and waits. Returns the VMs that did not end with status 0 in time.
  std::vector<std::string> StopAll();

 private:
  struct Process {
    std::vector<std::string> command;
    bool killed = false;
    bool restart_pending = false;
    int generation = 0;  // SIGTERMs, so that an older one's SIGKILL does not hit a later start
  };

  Result<void> Start(const std::string& vm);
  void RestartExited();

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
