// Selects the agent that an attempt is sent to.
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
  std::string vm;  // this entry
  // Rendezvous hashing assigns this many entries to each agent.
  std::uint32_t entries_per_agent = 10;
  // An entry uses at least this many agents of each pool: those with the highest rendezvous scores
  // for it.
  std::uint32_t min_agents_per_pool = 3;
  // An agent whose last report is older than this gets no requests.
  Duration report_lifetime = std::chrono::seconds(2);
  // Agents report every 500 ms. An agent that missed two reports, or that is in the state kSuspect,
  // is used only if there is no other.
  Duration fresh_report_age = std::chrono::milliseconds(1200);
  // Prefix affinity skips an agent whose load would exceed this multiple of the mean.
  double load_bound = 1.25;
};

// The load report of an agent.
struct AgentReport {
  std::string vm;
  std::uint64_t incarnation = 0;  // of the agent's process
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  std::uint32_t capacity = 0;  // concurrent attempts at its upstream; 0: not reported
  bool ready = false;
  bool leaving = false;
  Digest loaded_manifest = {};
};

struct ChosenAgent {
  std::string vm;
  std::string peer;  // IP:PORT
  std::uint64_t incarnation = 0;
  Digest manifest = {};  // of the weights that it serves; zero for plain services
};

struct PickQuery {
  std::string_view pool;
  // Key for rendezvous hashing: the prefix of the prompt. Empty: no affinity.
  std::string_view affinity = {};
  const std::set<std::string>* excluded = nullptr;  // VM names
  // Restricts the choice to agents that serve this manifest; zero: any. An interrupted answer is
  // resumed on the version that it began with.
  Digest manifest = {};
};

// Holds the subset of agents that this entry uses, their load reports, and the number of this
// entry's requests in flight at each agent.
class Balancer {
 public:
  explicit Balancer(BalancerOptions options);

  void SetPools(std::vector<wire::Pool> pools);
  // Replaces the member list, which holds entries and agents.
  void SetMembers(const std::vector<Member>& members);
  void AddReport(const AgentReport& report, Instant now);
  void AddInFlight(std::string_view vm, int change);

  // With `affinity`, picks the agent with the highest rendezvous score within the load bound.
  // Without it, or if no agent is within the bound, picks the less loaded of two random agents.
  std::optional<ChosenAgent> Pick(const PickQuery& query, Instant now, Random& random) const;

  // The agents of the subset: VM name -> IP:PORT.
  const std::map<std::string, std::string>& Subset() const { return this->subset; }
  const wire::Pool* FindPool(std::string_view name) const;
  // The number of entries that are neither dead nor leaving, including this one; at least 1.
  std::uint32_t LiveEntries() const;
  // This entry's share of the concurrent attempts that the upstreams of `pool` can run. 0 while no
  // usable agent has reported a capacity.
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
  std::vector<std::string> entries = {};  // VM names of the live entries
  std::map<std::string, std::string> subset = {};
  // The VM names of the subset by pool.
  std::map<std::string, std::vector<std::string>, std::less<>> pool_agents = {};
};

}  // namespace savory
