#include "standins/crash_restart.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace savory::standins {
namespace {

constexpr const char* kStateVariable = "STANDIN_CARRIED_STATE_FD";
constexpr unsigned kFirstNonStdioDescriptor = 3;

std::vector<char*>& CommandLine() {
  static std::vector<char*> arguments;
  return arguments;
}

std::string ReadAll(int fd) {
  std::string text;
  std::array<char, 4096> buffer = {};
  lseek(fd, 0, SEEK_SET);
  for (ssize_t n = 0; (n = read(fd, buffer.data(), buffer.size())) > 0;) {
    text.append(buffer.data(), static_cast<std::size_t>(n));
  }
  return text;
}

void WaitUnlessStopped(int delay_ms) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  const timespec delay = {.tv_sec = delay_ms / 1000, .tv_nsec = (delay_ms % 1000) * 1'000'000L};
  if (sigtimedwait(&signals, nullptr, &delay) > 0) _exit(EXIT_SUCCESS);
}

}  // namespace

void CrashAndRestart(const nlohmann::json& state, int delay_ms) {
  const std::string text = nlohmann::json{{"state", state}, {"delay_ms", delay_ms}}.dump();
  std::FILE* file = std::tmpfile();
  if (file == nullptr) _exit(EXIT_FAILURE);
  std::fwrite(text.data(), 1, text.size(), file);
  std::fflush(file);
  close_range(kFirstNonStdioDescriptor, ~0u, CLOSE_RANGE_CLOEXEC);
  fcntl(fileno(file), F_SETFD, 0);
  setenv(kStateVariable, std::to_string(fileno(file)).c_str(), 1);
  execv("/proc/self/exe", CommandLine().data());
  _exit(EXIT_FAILURE);
}

nlohmann::json TakePreservedState(int argc, char** argv) {
  CommandLine().assign(argv, argv + argc);
  CommandLine().push_back(nullptr);
  const char* variable = std::getenv(kStateVariable);
  if (variable == nullptr) return nlohmann::json::object();
  const int fd = std::atoi(variable);
  unsetenv(kStateVariable);
  const nlohmann::json preserved = nlohmann::json::parse(ReadAll(fd), nullptr, false);
  close(fd);
  if (!preserved.is_object()) return nlohmann::json::object();
  WaitUnlessStopped(preserved.value("delay_ms", 0));
  return preserved.at("state");
}

}  // namespace savory::standins
