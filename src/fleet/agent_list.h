// The agents of the fleet, as entries tell them to agents.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/savoryrouter.pb.h"

namespace savory {

// One agent as other processes reach it.
struct AgentAddress {
  std::string peer;  // IP:PORT of the peer socket
  std::string region;

  bool operator==(const AgentAddress&) const = default;
};

// `address` with another port.
std::string WithPort(const std::string& address, std::uint16_t port);

// Identifies a list; the order does not matter. Never 0.
std::uint64_t DigestOf(const std::vector<AgentAddress>& agents);

// Compact form of a list whose agents all listen on one port.
void AppendAgents(const std::vector<AgentAddress>& agents, wire::EntryHello& hello);
std::vector<AgentAddress> AgentsOf(const wire::EntryHello& hello, std::uint16_t port);

}  // namespace savory
