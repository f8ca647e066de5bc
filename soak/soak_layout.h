// Addresses and settings of the processes of a soak run, all on loopback.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "relay/routing_rules.h"

namespace savory {

// Every simulated host has its own address in 127.BLOCK.0.0/16, so that soak runs with different
// blocks can run at the same time.
struct SoakLayout {
  int block = 20;  // 1 to 254
  std::size_t entries = 3;
  std::size_t engines = 4;          // each with an agent
  std::size_t plain_upstreams = 4;  // split evenly between two pools
  // Otherwise no version of the weights is announced until the first fault that announces one.
  bool weights_announced = true;
  // Streams take seconds, and other requests too.
  bool long_answers = false;
  std::uint32_t chunks = 8;  // of the weights
  std::uint32_t chunk_bytes = 4096;
  // Engines carry out calls of agents also if these have given them up.
  bool engines_carry_out_left_calls = false;
  // Every stream may be resumed, so that engines may be told to interrupt them for new weights.
  bool all_streams_resumable = false;

  std::string EntryVm(std::size_t index) const { return "entry-" + std::to_string(index); }
  std::string AgentVm(std::size_t index) const { return "agent-" + std::to_string(index); }
  std::uint32_t StreamEvents() const { return this->long_answers ? 24 : 8; }
  std::size_t UpstreamCount() const { return this->engines + this->plain_upstreams; }
  bool IsEngine(std::size_t upstream) const { return upstream < this->engines; }
  std::string PoolOf(std::size_t upstream) const;
  std::string DataCentreOf(std::size_t index) const { return index % 2 == 0 ? "dc-1" : "dc-2"; }

  std::string StoreAddress() const { return this->Address(0, 1, 18007); }
  std::string OriginAddress() const { return this->Address(0, 2, 18008); }
  // The proxy through which entry VM `index` reaches the store.
  std::string StoreProxyAddress(std::size_t index) const {
    return this->Address(5, index + 1, 18007);
  }
  std::string CallerAddress(std::size_t entry) const { return this->Address(1, entry + 1, 18005); }
  std::string ProbeAddress(std::size_t entry) const { return this->Address(1, entry + 1, 18002); }
  std::string PeerAddress(std::size_t entry) const { return this->Address(1, entry + 1, 17700); }
  std::string MetricsAddress(std::size_t entry) const { return this->Address(1, entry + 1, 17701); }
  // The address that an upstream registers, and the one where it listens behind its proxy.
  std::string PublicAddress(std::size_t upstream) const {
    return this->Address(2, upstream + 1, 18100);
  }
  std::string BackendAddress(std::size_t upstream) const {
    return this->Address(3, upstream + 1, 18100);
  }

  // Contents of the settings files.
  std::string EntrySettings(std::size_t index) const;
  std::string AgentSettings(std::size_t index) const;

  // The operators' rules at `version`; the route "moved" sends to `moved_route_pool`.
  RoutingRules Rules(std::uint64_t version, const std::string& moved_route_pool) const;

 private:
  std::string Address(int group, std::size_t host, int port) const;
};

}  // namespace savory
