#include "review/common-2/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>

namespace review {

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

Record::Record(const std::string& file) : out(file, std::ios::trunc) {}

std::int64_t Record::Millis() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               this->start)
      .count();
}

void Record::Line(std::string_view text) {
  this->out << this->Millis() << " ms  " << text << '\n';
  this->out.flush();
}

void Record::Summary(std::string_view text) {
  this->Line(text);
  std::printf("%.*s\n", static_cast<int>(text.size()), text.data());
  std::fflush(stdout);
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) != nullptr) this->path = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code error;
  if (!this->path.empty()) std::filesystem::remove_all(this->path, error);
}

Addresses::Addresses() {
  std::random_device random;
  this->net = "127." + std::to_string(10 + random() % 200) + "." +
              std::to_string(1 + random() % 250) + ".";
  this->next = 21000 + static_cast<int>(random() % 8000);
}

std::string Addresses::Host(int number) const { return this->net + std::to_string(number); }

std::string Addresses::At(int number, int port) const {
  return this->Host(number) + ":" + std::to_string(port);
}

int Addresses::FreePort(int hosts) {
  for (;; ++this->next) {
    bool is_free = true;
    for (int host = 1; host <= hosts && is_free; ++host) {
      const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = {};
      address.sin_family = AF_INET;
      address.sin_port = htons(static_cast<std::uint16_t>(this->next));
      inet_pton(AF_INET, this->Host(host).c_str(), &address.sin_addr);
      is_free = bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
      close(probe);
    }
    if (is_free) return this->next++;
  }
}

Processes::~Processes() {
  std::vector<std::string> names;
  for (const auto& [name, pid] : this->running) names.push_back(name);
  for (const std::string& name : names) this->Kill(name);
}

std::string Processes::LogFile(const std::string& name) const {
  return this->folder + "/" + name + ".log";
}

bool Processes::Start(const std::string& name, const std::string& program,
                      const std::string& settings) {
  if (this->IsRunning(name)) return false;
  const std::string file = this->folder + "/" + name + ".yaml";
  std::ofstream(file, std::ios::trunc) << settings;
  const std::string path = "target/bin/" + program;
  if (access(path.c_str(), X_OK) != 0) return false;
  const std::string log = this->LogFile(name);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) return false;
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(path.c_str(), path.c_str(), "--config", file.c_str(), nullptr);
    _exit(127);
  }
  this->running[name] = pid;
  return true;
}

bool Processes::IsRunning(const std::string& name) {
  const auto found = this->running.find(name);
  if (found == this->running.end()) return false;
  if (waitpid(found->second, nullptr, WNOHANG) == 0) return true;
  this->running.erase(found);
  return false;
}

void Processes::Signal(const std::string& name, int signal) {
  if (this->IsRunning(name)) kill(this->running.at(name), signal);
}

void Processes::Kill(const std::string& name) {
  const auto found = this->running.find(name);
  if (found == this->running.end()) return;
  if (waitpid(found->second, nullptr, WNOHANG) == 0) {
    kill(found->second, SIGKILL);
    waitpid(found->second, nullptr, 0);
  }
  this->running.erase(found);
}

std::int64_t Processes::PeakKb(const std::string& name) const {
  const auto found = this->running.find(name);
  if (found == this->running.end()) return 0;
  std::ifstream status("/proc/" + std::to_string(found->second) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) return std::strtoll(line.c_str() + 6, nullptr, 10);
  }
  return 0;
}

namespace {

void RenderPlace(std::ostream& out, const std::string& name, const std::string& zone,
                 const std::string& region) {
  out << "vm: \"" << name << "\"\nregion: \"" << region << "\"\ndata_centre: \"" << zone
      << "\"\ndata_centres:\n  - {name: \"" << zone << "\", region: \"" << region << "\" }\n";
}

}  // namespace

std::string Render(const EntrySettings& settings) {
  std::ostringstream out;
  RenderPlace(out, settings.name, settings.zone, settings.region);
  const std::string peer = settings.host + ":" + std::to_string(settings.peer_port);
  out << "listen:\n  callers: \"" << settings.callers << "\"\n  ready: \"" << settings.ready
      << "\"\n  peer: \"" << peer << "\"\n  peer_port: " << settings.peer_port << "\n  metrics: \""
      << settings.host << ":" << settings.peer_port + 1 << "\"\nstore: \"" << settings.store
      << "\"\nseeds: [";
  for (std::size_t i = 0; i < settings.seeds.size(); ++i) {
    out << (i > 0 ? "," : "") << "\"" << settings.seeds[i] << "\"";
  }
  out << "]\nrepeats:\n  ratio: 0.2\n  slack: 104\n  window_s: 10\nmachine:\n  memory_mb: "
      << settings.memory_mb
      << "\n  max_files: 4100\ndecide_leaving: false\nweights_deadline_ms: 8000\n"
         "upstream_drain_ms: 2000\nstop_grace_s: 8\n";
  return out.str();
}

std::string Render(const AgentSettings& settings) {
  std::ostringstream out;
  RenderPlace(out, settings.name, settings.zone, settings.region);
  out << "listen:\n  peer: \"" << settings.host << ":" << settings.peer_port
      << "\"\n  peer_port: " << settings.peer_port << "\n  metrics: \"" << settings.host << ":"
      << settings.peer_port + 1 << "\"\nengine: \"" << settings.engine
      << "\"\nlink_mbps: 9.4\nweights_deadline_ms: 8000\nstop_grace_s: 8\n";
  return out.str();
}

}  // namespace review
