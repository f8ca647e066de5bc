#include "apps/process_group.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cassert>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include "runtime/http_client.h"

namespace savory {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(10);
constexpr Duration kStopTimeout = std::chrono::seconds(2);
constexpr int kSignalStatusBase = 128;
constexpr int kExecFailedStatus = 127;
constexpr int kLogFlags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
constexpr mode_t kLogMode = 0644;
// Wakes up the signal thread when the group is destroyed.
constexpr int kWakeUpSignal = SIGUSR1;

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, kWakeUpSignal);
  return signals;
}

// Runs in the child between fork() and execv(), where only async-signal-safe calls are allowed.
[[noreturn]] void ExecChild(char* const* arguments, int output, int errors) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  setpgid(0, 0);
  dup2(output, STDOUT_FILENO);
  dup2(errors, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(arguments[0], arguments);
  _exit(kExecFailedStatus);
}

int ExitStatus(int wait_status) {
  if (WIFSIGNALED(wait_status)) return kSignalStatusBase + WTERMSIG(wait_status);
  return WEXITSTATUS(wait_status);
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string MakeDirectory() {
  std::string pattern = (std::filesystem::temp_directory_path() / "savoryrouter-XXXXXX").string();
  const char* created = mkdtemp(pattern.data());
  if (created == nullptr) {
    std::perror("mkdtemp");
    std::exit(EXIT_FAILURE);
  }
  return created;
}

struct Child {
  pid_t pid = 0;
  std::optional<int> status = std::nullopt;
};

}  // namespace

struct ProcessGroup::Impl {
  std::string directory = MakeDirectory();
  bool keep_directory = false;
  std::mutex mutex;
  std::condition_variable state_changed;
  std::map<std::string, Child> children;
  // PR_SET_PDEATHSIG kills the child when the thread that forked it ends, so all children are
  // forked by one thread that lives as long as the group.
  std::deque<std::packaged_task<pid_t()>> pending_forks;
  bool shutting_down = false;
  sigset_t previous_mask = {};
  std::thread fork_thread;
  std::thread signal_thread;

  void RunForkThread() {
    std::unique_lock lock(this->mutex);
    while (true) {
      this->state_changed.wait(
          lock, [this] { return this->shutting_down || !this->pending_forks.empty(); });
      if (this->shutting_down) return;
      auto task = std::move(this->pending_forks.front());
      this->pending_forks.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  void RunSignalThread() {
    const sigset_t signals = HandledSignals();
    int received = 0;
    sigwait(&signals, &received);
    const std::unique_lock lock(this->mutex);
    if (this->shutting_down || received == kWakeUpSignal) return;
    for (auto& [name, child] : this->children) {
      if (!child.status) kill(child.pid, SIGKILL);
    }
    if (!this->keep_directory) RemoveDirectory();
    _exit(kSignalStatusBase + received);
  }

  void RemoveDirectory() const {
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
  }

  pid_t Fork(const std::vector<std::string>& command, const std::string& output_file,
             const std::string& error_file) {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& arg : command) arguments.push_back(const_cast<char*>(arg.c_str()));
    arguments.push_back(nullptr);
    const int output = open(output_file.c_str(), kLogFlags, kLogMode);
    const int errors = open(error_file.c_str(), kLogFlags, kLogMode);
    std::packaged_task<pid_t()> task([&] {
      const pid_t pid = fork();
      if (pid == 0) ExecChild(arguments.data(), output, errors);
      return pid;
    });
    std::future<pid_t> started = task.get_future();
    {
      const std::lock_guard lock(this->mutex);
      this->pending_forks.push_back(std::move(task));
    }
    this->state_changed.notify_all();
    const pid_t pid = started.get();
    close(output);
    close(errors);
    return pid;
  }

  // Reaps the child if it has ended. The mutex must be held.
  static bool HasEnded(Child& child) {
    if (child.status) return true;
    int wait_status = 0;
    if (waitpid(child.pid, &wait_status, WNOHANG) != child.pid) return false;
    child.status = ExitStatus(wait_status);
    return true;
  }

  Child* FindRunning(const std::string& name) {
    const auto found = this->children.find(name);
    if (found == this->children.end() || HasEnded(found->second)) return nullptr;
    return &found->second;
  }

  bool AllEnded() {
    const std::lock_guard lock(this->mutex);
    bool all = true;
    for (auto& [name, child] : this->children) all = HasEnded(child) && all;
    return all;
  }

  void SignalAll(int signal) {
    const std::lock_guard lock(this->mutex);
    for (auto& [name, child] : this->children) {
      if (!HasEnded(child)) kill(child.pid, signal);
    }
  }

  Result<void> Launch(const std::string& name, const std::vector<std::string>& command,
                      const std::string& output_file) {
    assert(!command.empty());
    {
      const std::lock_guard lock(this->mutex);
      if (this->FindRunning(name) != nullptr) {
        return Error{.kind = ErrorKind::kUnavailable, .detail = name + " is already running"};
      }
    }
    if (access(command[0].c_str(), X_OK) != 0) {
      return Error{.kind = ErrorKind::kUnavailable,
                   .detail = command[0] + " is not an executable file"};
    }
    const pid_t pid = this->Fork(command, output_file, this->directory + "/" + name + ".log");
    if (pid <= 0) return Error{.kind = ErrorKind::kUnavailable, .detail = name + ": fork failed"};
    const std::lock_guard lock(this->mutex);
    this->children[name] = Child{.pid = pid};
    return success();
  }
};

ProcessGroup::ProcessGroup() : impl(std::make_unique<Impl>()) {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, &this->impl->previous_mask);
  this->impl->fork_thread = std::thread([self = this->impl.get()] { self->RunForkThread(); });
  this->impl->signal_thread = std::thread([self = this->impl.get()] { self->RunSignalThread(); });
}

ProcessGroup::~ProcessGroup() {
  this->StopAll(kStopTimeout);
  {
    const std::lock_guard lock(this->impl->mutex);
    this->impl->shutting_down = true;
  }
  this->impl->state_changed.notify_all();
  this->impl->fork_thread.join();
  pthread_kill(this->impl->signal_thread.native_handle(), kWakeUpSignal);
  this->impl->signal_thread.join();
  pthread_sigmask(SIG_SETMASK, &this->impl->previous_mask, nullptr);
  if (!this->impl->keep_directory) this->impl->RemoveDirectory();
}

const std::string& ProcessGroup::Directory() const { return this->impl->directory; }

void ProcessGroup::KeepDirectory() { this->impl->keep_directory = true; }

Result<void> ProcessGroup::Start(const std::string& name, const std::vector<std::string>& command) {
  return this->impl->Launch(name, command, this->impl->directory + "/" + name + ".log");
}

Result<ProcessResult> ProcessGroup::RunToEnd(const std::string& name,
                                             const std::vector<std::string>& command,
                                             Duration timeout) {
  const std::string output = this->impl->directory + "/" + name + ".out";
  std::filesystem::remove(output);
  BOOST_OUTCOME_TRY(this->impl->Launch(name, command, output));
  const auto status = this->WaitForEnd(name, timeout);
  if (!status) {
    this->Signal(name, SIGKILL);
    return status.error();
  }
  return ProcessResult{.status = status.value(), .output = ReadFile(output)};
}

Result<void> ProcessGroup::WaitUntilHealthy(const std::string& address, const std::string& path,
                                            Duration timeout) const {
  const Instant deadline = MonotonicClock::now() + timeout;
  while (MonotonicClock::now() < deadline) {
    HttpClient client(address);
    const auto answer = client.Call({.target = path, .read_timeout = std::chrono::seconds(1)});
    if (answer && answer.value().status == 200) return success();
    std::this_thread::sleep_for(kPollPeriod);
  }
  return Error{.kind = ErrorKind::kTimeout,
               .detail = address + path + " has not answered with status 200 in time"};
}

bool ProcessGroup::Signal(const std::string& name, int signal) {
  const std::lock_guard lock(this->impl->mutex);
  const Child* child = this->impl->FindRunning(name);
  return child != nullptr && kill(child->pid, signal) == 0;
}

Result<int> ProcessGroup::WaitForEnd(const std::string& name, Duration timeout) {
  const Instant deadline = MonotonicClock::now() + timeout;
  while (true) {
    {
      const std::lock_guard lock(this->impl->mutex);
      const auto found = this->impl->children.find(name);
      if (found == this->impl->children.end()) return Error{.kind = ErrorKind::kNotFound};
      if (Impl::HasEnded(found->second)) return *found->second.status;
    }
    if (MonotonicClock::now() >= deadline) {
      return Error{.kind = ErrorKind::kTimeout, .detail = name + " has not ended in time"};
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

bool ProcessGroup::IsRunning(const std::string& name) {
  const std::lock_guard lock(this->impl->mutex);
  return this->impl->FindRunning(name) != nullptr;
}

std::optional<ProcessUsage> ProcessGroup::Usage(const std::string& name) {
  pid_t pid = 0;
  {
    const std::lock_guard lock(this->impl->mutex);
    const Child* child = this->impl->FindRunning(name);
    if (child == nullptr) return std::nullopt;
    pid = child->pid;
  }
  const std::string folder = "/proc/" + std::to_string(pid);
  // The fields after the last parenthesis start with field 3, the state.
  const std::string stat = ReadFile(folder + "/stat");
  std::istringstream fields(stat.substr(std::min(stat.size(), stat.rfind(')') + 1)));
  std::string skipped;
  for (int field = 3; field < 14; ++field) fields >> skipped;
  std::uint64_t user_ticks = 0;
  std::uint64_t system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  ProcessUsage usage;
  usage.processor_seconds =
      static_cast<double>(user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::istringstream status(ReadFile(folder + "/status"));
  for (std::string line; std::getline(status, line);) {
    const auto bytes = [&line] {
      return std::strtoull(line.substr(line.find(':') + 1).c_str(), nullptr, 10) * 1024;
    };
    if (line.starts_with("VmRSS:")) usage.resident_bytes = bytes();
    if (line.starts_with("VmHWM:")) usage.peak_resident_bytes = bytes();
  }
  return usage;
}

std::string ProcessGroup::ReadLog(const std::string& name) const {
  return ReadFile(this->impl->directory + "/" + name + ".log");
}

void ProcessGroup::StopAll(Duration grace) {
  this->impl->SignalAll(SIGCONT);
  this->impl->SignalAll(SIGTERM);
  const Instant deadline = MonotonicClock::now() + grace;
  while (!this->impl->AllEnded() && MonotonicClock::now() < deadline) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  this->impl->SignalAll(SIGKILL);
  while (!this->impl->AllEnded()) std::this_thread::sleep_for(kPollPeriod);
}

}  // namespace savory
