// What the cases of the second review share: processes of the deploy file, their settings, free
// addresses and the record of a run.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace review {

// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

// False with TROUBLE=0: the case runs without its disruption.
bool HasTrouble();

// The lines of a run, each with the milliseconds since its start.
class Record {
 public:
  explicit Record(const std::string& file);
  void Line(std::string_view text);
  // To standard output as well.
  void Summary(std::string_view text);
  std::int64_t Millis() const;

 private:
  std::ofstream out;
  std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
};

// A temporary folder, removed with its files at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  const std::string& Path() const { return this->path; }

 private:
  std::string path;
};

// Addresses of one run: 127.X.Y.H with X and Y drawn at random.
class Addresses {
 public:
  Addresses();
  std::string Host(int number) const;
  // A port that is free at the hosts 1 to `hosts`; not given twice.
  int FreePort(int hosts);
  std::string At(int number, int port) const;

 private:
  std::string net;
  int next = 0;
};

// The programs, started as the deploy file says, each with a settings file of its own.
class Processes {
 public:
  explicit Processes(std::string folder) : folder(std::move(folder)) {}
  ~Processes();
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  // Starts target/bin/`program` --config FILE with these settings; false if it cannot be started.
  bool Start(const std::string& name, const std::string& program, const std::string& settings);
  bool IsRunning(const std::string& name);
  void Signal(const std::string& name, int signal);
  // Kills it and waits for its end.
  void Kill(const std::string& name);
  // Peak of the resident memory in kB, as the kernel counts it; 0 if it does not run.
  std::int64_t PeakKb(const std::string& name) const;
  std::string LogFile(const std::string& name) const;

 private:
  std::string folder;
  std::map<std::string, pid_t> running = {};
};

// Settings as deploy/entry.yaml.in and deploy/agent.yaml.in give them on a small deployment.
struct EntrySettings {
  std::string name;
  std::string zone = "dc-1";
  std::string region = "north";
  std::string callers;
  std::string ready;
  std::string host;
  int peer_port = 0;
  std::string store;
  std::vector<std::string> seeds = {};
  int memory_mb = 260;
};
std::string Render(const EntrySettings& settings);

struct AgentSettings {
  std::string name;
  std::string zone = "dc-1";
  std::string region = "north";
  std::string host;
  int peer_port = 0;
  std::string engine;
};
std::string Render(const AgentSettings& settings);

}  // namespace review
