#include "soak/soak_processes.h"

#include <csignal>
#include <fstream>

#include "runtime/event_loop.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr Duration kExitPollPeriod = milliseconds(50);
// Delay until the platform restarts an exited process.
constexpr Duration kRestartDelay = milliseconds(300);
// Time from SIGTERM to SIGKILL; `stop_grace_s` of the settings has the same default.
constexpr Duration kStopGrace = milliseconds(8000);
constexpr std::string_view kStartedEvent = "event=started";
constexpr int kEndedBySigterm = 128 + SIGTERM;
constexpr Duration kSqueezePeriod = milliseconds(100);
constexpr Duration kSqueezePause = milliseconds(80);  // of each period

}  // namespace

SoakProcesses::SoakProcesses(EventLoop& loop, ProcessGroup& group, const SoakLayout& layout,
                             std::string bin_directory)
    : loop(loop), group(group), layout(layout), bin_directory(std::move(bin_directory)) {}

void SoakProcesses::OnStart(std::function<void(const std::string&)> listener) {
  this->on_start = std::move(listener);
}

void SoakProcesses::OnUnexpectedExit(std::function<void(const std::string&, int)> listener) {
  this->on_unexpected_exit = std::move(listener);
}

Result<void> SoakProcesses::StartAll() {
  const auto add = [this](const std::string& vm, const std::string& program,
                          const std::string& settings) {
    const std::string file = this->group.Directory() + "/" + vm + ".yaml";
    std::ofstream(file) << settings;
    this->processes[vm] = {.command = {this->bin_directory + "/" + program, "--config", file}};
  };
  for (std::size_t i = 0; i < this->layout.entries; ++i) {
    add(this->layout.EntryVm(i), "savoryrouter-platform-entry", this->layout.EntrySettings(i));
  }
  for (std::size_t i = 0; i < this->layout.engines; ++i) {
    add(this->layout.AgentVm(i), "savoryrouter-platform-agent", this->layout.AgentSettings(i));
  }
  for (const auto& [vm, process] : this->processes) {
    const auto started = this->Start(vm);
    if (!started) return started.error();
  }
  this->loop.Every(kExitPollPeriod, [this] { this->RestartExited(); });
  return success();
}

Result<void> SoakProcesses::Start(const std::string& vm) {
  Process& process = this->processes.at(vm);
  process.killed = false;
  process.restart_pending = false;
  ++process.generation;
  process.starts_in_log = this->StartsInLog(vm);
  BOOST_OUTCOME_TRY(this->group.Start(vm, process.command));
  if (this->on_start) this->on_start(vm);
  return success();
}

void SoakProcesses::RestartExited() {
  if (this->shutting_down) return;
  for (auto& [vm, process] : this->processes) {
    if (process.restart_pending || this->group.IsRunning(vm)) continue;
    const auto status = this->group.WaitForEnd(vm, Duration(0));
    const bool failed = status && status.value() != 0 && !this->EndedBeforeMain(vm, status.value());
    if (!process.killed && failed && this->on_unexpected_exit) {
      this->on_unexpected_exit(vm, status.value());
    }
    process.restart_pending = true;
    this->loop.After(kRestartDelay, [this, vm = vm] {
      if (!this->shutting_down && !this->Start(vm) && this->on_unexpected_exit) {
        this->on_unexpected_exit(vm, -1);
      }
    });
  }
}

std::size_t SoakProcesses::StartsInLog(const std::string& vm) const {
  const std::string log = this->group.ReadLog(vm);
  std::size_t starts = 0;
  for (std::size_t at = 0; (at = log.find(kStartedEvent, at)) != std::string::npos; ++at) ++starts;
  return starts;
}

bool SoakProcesses::EndedBeforeMain(const std::string& vm, int status) const {
  return status == kEndedBySigterm && this->StartsInLog(vm) == this->processes.at(vm).starts_in_log;
}

void SoakProcesses::Kill(const std::string& vm) {
  this->processes.at(vm).killed = true;
  this->group.Signal(vm, SIGKILL);
}

void SoakProcesses::KillAll() {
  for (const auto& [vm, process] : this->processes) this->Kill(vm);
}

void SoakProcesses::Stop(const std::string& vm) {
  const int current = ++this->processes.at(vm).generation;
  this->group.Signal(vm, SIGTERM);
  this->loop.After(kStopGrace, [this, vm, current] {
    if (this->processes.at(vm).generation == current && this->group.IsRunning(vm)) this->Kill(vm);
  });
}

void SoakProcesses::Pause(const std::string& vm, Duration duration) {
  this->group.Signal(vm, SIGSTOP);
  this->loop.After(duration, [this, vm] { this->group.Signal(vm, SIGCONT); });
}

void SoakProcesses::Reload(const std::string& vm) { this->group.Signal(vm, SIGHUP); }

void SoakProcesses::Squeeze(const std::string& vm, Duration duration) {
  if (this->shutting_down || duration < kSqueezePeriod) return;
  this->Pause(vm, kSqueezePause);
  this->loop.After(kSqueezePeriod,
                   [this, vm, duration] { this->Squeeze(vm, duration - kSqueezePeriod); });
}

std::vector<std::string> SoakProcesses::StopAll() {
  this->shutting_down = true;
  std::vector<std::string> failed_vms;
  for (const auto& [vm, process] : this->processes) this->group.Signal(vm, SIGTERM);
  for (const auto& [vm, process] : this->processes) {
    const auto status = this->group.WaitForEnd(vm, kStopGrace);
    if (!status || status.value() != 0) failed_vms.push_back(vm);
  }
  return failed_vms;
}

}  // namespace savory
