#include "fleet/agent_list.h"

#include <arpa/inet.h>

#include <array>
#include <map>

#include "base/digest.h"

namespace savory {

namespace {

std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

std::string WithPort(const std::string& address, std::uint16_t port) {
  return HostOf(address) + ":" + std::to_string(port);
}

std::optional<std::uint32_t> Ipv4Of(const std::string& address) {
  in_addr ip = {};
  if (inet_pton(AF_INET, HostOf(address).c_str(), &ip) != 1) return std::nullopt;
  return ntohl(ip.s_addr);
}

std::string AddressOf(std::uint32_t ip, std::uint16_t port) {
  const in_addr number = {.s_addr = htonl(ip)};
  std::array<char, INET_ADDRSTRLEN> host = {};
  inet_ntop(AF_INET, &number, host.data(), host.size());
  return std::string(host.data()) + ":" + std::to_string(port);
}

std::uint64_t DigestOf(const std::vector<AgentAddress>& agents) {
  std::uint64_t digest = 1;
  for (const AgentAddress& agent : agents) digest += RendezvousScore(agent.region, agent.peer);
  return digest == 0 ? 1 : digest;
}

void AppendAgents(const std::vector<AgentAddress>& agents, wire::EntryHello& hello) {
  std::map<std::string, wire::AgentGroup*> groups;
  for (const AgentAddress& agent : agents) {
    const std::optional<std::uint32_t> ip = Ipv4Of(agent.peer);
    if (!ip) continue;
    wire::AgentGroup*& group = groups[agent.region];
    if (group == nullptr) {
      group = hello.add_agents();
      group->set_region(agent.region);
    }
    group->add_ips(*ip);
  }
}

std::vector<AgentAddress> AgentsOf(const wire::EntryHello& hello, std::uint16_t port) {
  std::vector<AgentAddress> agents;
  for (const wire::AgentGroup& group : hello.agents()) {
    for (const std::uint32_t number : group.ips()) {
      agents.push_back({.peer = AddressOf(number, port), .region = group.region()});
    }
  }
  return agents;
}

}  // namespace savory
