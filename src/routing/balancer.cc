#include "routing/balancer.h"

#include <algorithm>
#include <utility>

#include "tables/pool_members.h"

namespace savory {

Balancer::Balancer(BalancerOptions options) : options(std::move(options)) {}

void Balancer::SetPools(std::vector<wire::Pool> pools) {
  this->pools.clear();
  for (wire::Pool& pool : pools) {
    std::string name = pool.name();
    this->pools.emplace(std::move(name), std::move(pool));
  }
  this->RecomputeSubset();
}

void Balancer::SetMembers(const std::vector<Member>& members) {
  std::map<std::string, Agent, std::less<>> next;
  this->entries.clear();
  for (const Member& member : members) {
    if (member.role == MemberRole::kEntry) {
      const bool live =
          member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
      if (live) this->entries.push_back(member.vm);
      continue;
    }
    const auto known = this->agents.find(member.vm);
    Agent& agent = next[member.vm];
    if (known != this->agents.end()) agent = known->second;
    agent.member = member;
  }
  // An agent that is no longer listed is kept while requests are in flight at it, because
  // AddInFlight() is called when they end.
  for (auto& [vm, agent] : this->agents) {
    if (agent.in_flight == 0 || next.contains(vm)) continue;
    Agent& kept = next[vm];
    kept = agent;
    kept.member.state = MemberState::kDead;
  }
  this->agents = std::move(next);
  this->RecomputeSubset();
}

void Balancer::RecomputeSubset() {
  this->subset.clear();
  this->pool_agents.clear();
  for (const auto& [name, pool] : this->pools) this->AddToSubset(pool);
}

void Balancer::AddToSubset(const wire::Pool& pool) {
  std::vector<std::pair<std::uint64_t, const Member*>> ranked;
  for (const auto& [vm, agent] : this->agents) {
    if (agent.member.state == MemberState::kDead) continue;
    if (!IsPoolMember(pool, vm, agent.member.service)) continue;
    ranked.emplace_back(RendezvousScore(this->options.vm, vm), &agent.member);
  }
  std::sort(ranked.rbegin(), ranked.rend(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  std::vector<std::string>& chosen = this->pool_agents[pool.name()];
  for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
    const Member& member = *ranked[rank].second;
    if (rank >= this->options.min_agents_per_pool && !this->IsAssignedToThisEntry(member.vm)) {
      continue;
    }
    chosen.push_back(member.vm);
    this->subset[member.vm] = member.peer;
  }
}

bool Balancer::IsAssignedToThisEntry(const std::string& agent_vm) const {
  const std::uint64_t own = RendezvousScore(agent_vm, this->options.vm);
  const auto higher =
      std::count_if(this->entries.begin(), this->entries.end(), [&](const std::string& entry) {
        return entry != this->options.vm && RendezvousScore(agent_vm, entry) > own;
      });
  return higher < static_cast<std::ptrdiff_t>(this->options.entries_per_agent);
}

void Balancer::AddReport(const AgentReport& report, Instant now) {
  const auto found = this->agents.find(report.vm);
  if (found == this->agents.end()) return;
  found->second.report = report;
  found->second.reported_at = now;
}

void Balancer::AddInFlight(std::string_view vm, int change) {
  const auto found = this->agents.find(vm);
  if (found != this->agents.end()) found->second.in_flight += change;
}

const wire::Pool* Balancer::FindPool(std::string_view name) const {
  const auto found = this->pools.find(name);
  return found == this->pools.end() ? nullptr : &found->second;
}

std::uint32_t Balancer::LiveEntries() const {
  return static_cast<std::uint32_t>(std::max<std::size_t>(this->entries.size(), 1));
}

double Balancer::ShareOfCapacity(std::string_view pool, Instant now) const {
  const wire::Pool* row = this->FindPool(pool);
  if (row == nullptr) return 0;
  std::size_t members = 0;
  for (const auto& [vm, agent] : this->agents) {
    const bool alive = agent.member.state == MemberState::kAlive;
    if (alive && IsPoolMember(*row, vm, agent.member.service)) ++members;
  }
  double capacity = 0;
  const Candidates candidates = this->CandidatesFor(*row, PickQuery{.pool = pool}, now);
  for (const Agent* agent : candidates) capacity += agent->report.capacity;
  if (candidates.empty() || capacity == 0) return 0;
  const double mean = capacity / static_cast<double>(candidates.size());
  // Reports exist for the subset only. Other agents are assumed to have the same mean capacity, and
  // the same fraction of them to be ready.
  const std::size_t in_subset = this->pool_agents.find(row->name())->second.size();
  const double ready = static_cast<double>(candidates.size()) / static_cast<double>(in_subset);
  return mean * static_cast<double>(members) * ready / this->LiveEntries();
}

bool Balancer::IsEligible(const Agent& agent, const wire::Pool& pool, const PickQuery& query,
                          Instant now) const {
  const MemberState state = agent.member.state;
  if (state == MemberState::kLeaving || state == MemberState::kDead) return false;
  if (!agent.reported_at.has_value()) return false;
  if (now - *agent.reported_at > this->options.report_lifetime) return false;
  if (!agent.report.ready || agent.report.leaving) return false;
  // An engine that still serves the previous version is eligible until it has loaded the pinned
  // one. Otherwise the pool would answer no requests at the start of a rollout. This is safe
  // because agents load only versions that a pool row has pinned.
  const Digest& serving = agent.report.loaded_manifest;
  if (!pool.manifest().empty() && serving.IsZero()) return false;
  if (!query.manifest.IsZero() && serving != query.manifest) return false;
  return query.excluded == nullptr || !query.excluded->contains(agent.member.vm);
}

Balancer::Candidates Balancer::CandidatesFor(const wire::Pool& pool, const PickQuery& query,
                                             Instant now) const {
  Candidates fresh;
  Candidates stale;
  const auto members = this->pool_agents.find(pool.name());
  if (members == this->pool_agents.end()) return fresh;
  for (const std::string& vm : members->second) {
    const Agent& agent = this->agents.find(vm)->second;
    if (!this->IsEligible(agent, pool, query, now)) continue;
    const bool is_fresh = agent.member.state == MemberState::kAlive &&
                          now - *agent.reported_at <= this->options.fresh_report_age;
    (is_fresh ? fresh : stale).push_back(&agent);
  }
  return fresh.empty() ? stale : fresh;
}

double Balancer::LoadOf(const Agent& agent) {
  return agent.in_flight + static_cast<double>(agent.report.running) +
         static_cast<double>(agent.report.queued);
}

const Balancer::Agent* Balancer::PickByAffinity(const Candidates& candidates,
                                                std::string_view affinity) const {
  double total = 1;  // includes the request to be placed
  for (const Agent* agent : candidates) total += LoadOf(*agent);
  const double bound = this->options.load_bound * total / static_cast<double>(candidates.size());
  const Agent* best = nullptr;
  std::uint64_t best_score = 0;
  for (const Agent* agent : candidates) {
    if (LoadOf(*agent) + 1 > std::max(bound, 1.0)) continue;
    const std::uint64_t score = RendezvousScore(affinity, agent->member.vm);
    if (best != nullptr && score <= best_score) continue;
    best = agent;
    best_score = score;
  }
  return best;
}

const Balancer::Agent* Balancer::PickByLoad(const Candidates& candidates, Random& random) {
  const std::size_t first = UniformBelow(random, candidates.size());
  if (candidates.size() == 1) return candidates[0];
  std::size_t second = UniformBelow(random, candidates.size() - 1);
  if (second >= first) ++second;
  const bool second_is_lower = LoadOf(*candidates[second]) < LoadOf(*candidates[first]);
  return candidates[second_is_lower ? second : first];
}

std::optional<ChosenAgent> Balancer::Pick(const PickQuery& query, Instant now,
                                          Random& random) const {
  const wire::Pool* pool = this->FindPool(query.pool);
  if (pool == nullptr) return std::nullopt;
  const Candidates candidates = this->CandidatesFor(*pool, query, now);
  if (candidates.empty()) return std::nullopt;
  const Agent* agent = nullptr;
  if (!query.affinity.empty()) agent = this->PickByAffinity(candidates, query.affinity);
  if (agent == nullptr) agent = PickByLoad(candidates, random);
  return ChosenAgent{.vm = agent->member.vm,
                     .peer = agent->member.peer,
                     .incarnation = agent->report.incarnation,
                     .manifest = agent->report.loaded_manifest};
}

}  // namespace savory
