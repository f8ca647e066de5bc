// Starts the processes of the experiment "requests".
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "apps/process_group.h"
#include "base/error.h"
#include "runtime/silent_relay.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct RequestFleetOptions {
  std::string bin_directory;
  int base_port = 14000;
  int entries = 2;
  int agents = 3;
  int latency_ms = 5;    // duration of one call at a plain service
  int max_running = 64;  // gate.max_running of each agent
  int max_queued = 64;
  bool relays = false;  // connections to the agents' peer sockets pass through relays
};

// A key-value service, plain services with one agent each, and entries, all on 127.0.0.1.
class RequestFleet {
 public:
  RequestFleet(ProcessGroup& processes, RequestFleetOptions options);

  // Starts the key-value service, writes `tables` to it and starts all other processes. Errors:
  // those of ProcessGroup and KvConnection.
  Result<void> Start(const wire::Tables& tables);
  Result<void> StartAgent(int index);

  static std::string AgentName(int index) { return "agent-" + std::to_string(index); }
  static std::string EntryName(int index) { return "entry-" + std::to_string(index); }
  std::string ServiceName(int index) const { return "service-" + std::to_string(index); }
  std::string Kv() const { return this->Address(0); }
  std::string Service(int index) const { return this->Address(100 + index); }
  // Peer address of the agent as other processes know it; that of the relay, if there is one.
  std::string AgentPeer(int index) const { return this->Address(200 + index); }
  // Stops forwarding on the connections to the agent that are open now; requires `relays`.
  void SilenceAgent(int index) {
    this->agent_relays.at(static_cast<std::size_t>(index))->Silence();
  }
  std::string AgentOperator(int index) const { return this->Address(300 + index); }
  std::string EntryPeer(int index) const { return this->Address(400 + index); }
  std::string EntryOperator(int index) const { return this->Address(500 + index); }
  std::string EntryHttp(int index) const { return this->Address(600 + index); }

  // Returns how often each request key was run, summed over all services.
  std::map<std::string, int> CountRuns() const;
  // Returns the sum of the metric `name` over all its labels and all entries that answer.
  double SumMetric(const std::string& name) const;

 private:
  std::string Address(int offset) const;
  std::string Binary(const std::string& name) const;
  std::string WriteSettingsFile(const std::string& name, const std::string& text) const;
  Result<void> StartEntry(int index);
  std::string CommonSettings(const std::string& vm) const;

  ProcessGroup& processes;
  RequestFleetOptions options;
  std::vector<std::unique_ptr<SilentRelay>> agent_relays = {};
};

}  // namespace savory
