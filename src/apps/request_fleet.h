// Processes of the experiment "requests".
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "apps/process_group.h"
#include "apps/silent_relay.h"
#include "base/error.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct RequestFleetOptions {
  std::string bin_dir;
  int base_port = 14000;
  int entries = 2;
  int agents = 3;
  int latency_ms = 5;    // of one call at a plain service
  int max_running = 64;  // of each gate
  int max_queued = 64;
  bool relays = false;  // the processes reach each other's peer sockets through relays
};

// A key-value service, plain services with an agent each, and entries, on 127.0.0.1.
class RequestFleet {
 public:
  RequestFleet(ProcessGroup& processes, RequestFleetOptions options);

  // Writes `tables` to the key-value service and starts everything. Errors: as of ProcessGroup.
  Result<void> Start(const wire::Tables& tables);
  Result<void> StartAgent(int index);

  static std::string AgentName(int index) { return "agent-" + std::to_string(index); }
  static std::string EntryName(int index) { return "entry-" + std::to_string(index); }
  std::string ServiceName(int index) const { return "service-" + std::to_string(index); }
  std::string Kv() const { return this->Address(0); }
  std::string Service(int index) const { return this->Address(100 + index); }
  // Address that other processes use; that of the relay, if there is one.
  std::string AgentPeer(int index) const { return this->Address(200 + index); }
  // Ends the flow of bytes on the open connections to the agent.
  void SilenceAgent(int index) {
    this->agent_relays.at(static_cast<std::size_t>(index))->Silence();
  }
  std::string AgentOperator(int index) const { return this->Address(300 + index); }
  std::string EntryPeer(int index) const { return this->Address(400 + index); }
  std::string EntryOperator(int index) const { return this->Address(500 + index); }
  std::string EntryHttp(int index) const { return this->Address(600 + index); }

  // Runs of each key, added up over all services.
  std::map<std::string, int> CountRuns() const;
  // Sum of the series `name` over all entries that answer.
  double SumMetric(const std::string& name) const;

 private:
  std::string Address(int offset) const;
  std::string Binary(const std::string& name) const;
  std::string WriteConfig(const std::string& name, const std::string& text) const;
  Result<void> StartEntry(int index);
  std::string CommonConfig(const std::string& vm) const;

  ProcessGroup& processes;
  RequestFleetOptions options;
  std::vector<std::unique_ptr<SilentRelay>> agent_relays = {};
};

}  // namespace savory
