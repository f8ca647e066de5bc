// Chooses the agent for an attempt.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/member.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct BalancerOptions {
  std::string vm;                         // this entry
  std::uint32_t entries_per_agent = 10;   // entries that each agent is covered by
  std::uint32_t min_agents_per_pool = 3;  // agents this entry adds of each pool
  Duration report_lifetime = std::chrono::seconds(2);
  // Reports come every 500 ms; an agent that missed two is taken only when no other is left.
  Duration fresh_report_age = std::chrono::milliseconds(1200);
  double load_bound = 1.25;  // of the mean load, for prefix affinity
};

// What an agent reported last.
struct AgentReport {
  std::string vm;
  std::uint64_t incarnation = 0;  // of the agent's process
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t capacity = 0;  // attempts at its upstream at the same time; 0: not reported
  bool ready = false;
  bool leaving = false;
  Digest loaded_manifest = {};
};

struct ChosenAgent {
  std::string vm;
  std::string peer;  // IP:PORT
  std::uint64_t incarnation = 0;
  Digest manifest = {};  // that it serves; zero for plain services
};

struct PickQuery {
  std::string_view pool;
  // Rendezvous key of the prompt's prefix; empty: no affinity.
  std::string_view affinity = {};
  const std::set<std::string>* excluded = nullptr;  // VM names
  // Only agents that serve this manifest; zero: any. An answer is continued on the same version.
  Digest manifest = {};
};

// Keeps the subset of agents that this entry uses, their reports and the own requests in flight.
class Balancer {
 public:
  explicit Balancer(BalancerOptions options);

  void SetPools(std::vector<wire::Pool> pools);
  // The live members, entries and agents.
  void SetMembers(const std::vector<Member>& members);
  void AddReport(const AgentReport& report, Instant now);
  void AddInFlight(std::string_view vm, int change);

  // Two random choices on load; with `affinity`, the highest-ranked agent within the load bound.
  std::optional<ChosenAgent> Pick(const PickQuery& query, Instant now, Random& random) const;

  // Agents whose reports this entry needs: VM name -> IP:PORT.
  const std::map<std::string, std::string>& Subset() const { return this->subset; }
  const wire::Pool* FindPool(std::string_view name) const;
  // Entries that are neither dead nor leaving, this one included; at least 1.
  std::uint32_t LiveEntries() const;
  // This entry's part of the attempts that the upstreams of `pool` run at the same time; 0 while no
  // agent has reported.
  double ShareOfCapacity(std::string_view pool, Instant now) const;

 private:
  struct Agent {
    Member member;
    AgentReport report = {};
    std::optional<Instant> reported_at = {};
    int in_flight = 0;
  };
  using Candidates = std::vector<const Agent*>;

  void RecomputeSubset();
  void AddToSubset(const wire::Pool& pool);
  bool IsAssignedToThisEntry(const std::string& agent_vm) const;
  bool IsEligible(const Agent& agent, const wire::Pool& pool, const PickQuery& query,
                  Instant now) const;
  Candidates CandidatesFor(const wire::Pool& pool, const PickQuery& query, Instant now) const;
  static double LoadOf(const Agent& agent);
  const Agent* PickByAffinity(const Candidates& candidates, std::string_view affinity) const;
  static const Agent* PickByLoad(const Candidates& candidates, Random& random);

  BalancerOptions options;
  std::map<std::string, wire::Pool, std::less<>> pools = {};
  std::map<std::string, Agent, std::less<>> agents = {};
  std::vector<std::string> entries = {};  // VM names, without those that are dead or leaving
  std::map<std::string, std::string> subset = {};
  std::map<std::string, std::vector<std::string>, std::less<>> pool_agents = {};  // in the subset
};

}  // namespace savory
