// List of the fleet's agents, as entries send it to agents.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/savoryrouter.pb.h"

namespace savory {

struct AgentAddress {
  std::string peer;  // IP:PORT of the peer socket
  std::string region;

  bool operator==(const AgentAddress&) const = default;
};

// Returns `address` with its port replaced.
std::string WithPort(const std::string& address, std::uint16_t port);

// IPv4 address of IP:PORT as a number, first byte highest, and back. nullopt: not IPv4.
std::optional<std::uint32_t> Ipv4Of(const std::string& address);
std::string AddressOf(std::uint32_t ip, std::uint16_t port);

// Identifies a list independently of its order. Never 0.
std::uint64_t DigestOf(const std::vector<AgentAddress>& agents);

// Conversion to and from the compact list in a hello, which omits the port: all agents listen on
// the same one. AppendAgents() leaves out agents whose address is not IPv4.
void AppendAgents(const std::vector<AgentAddress>& agents, wire::EntryHello& hello);
std::vector<AgentAddress> AgentsOf(const wire::EntryHello& hello, std::uint16_t port);

}  // namespace savory
