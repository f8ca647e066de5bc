#include "fleet/entry_presence.h"

#include <algorithm>

#include "base/digest.h"

namespace savory {
namespace {

// Period of the checks for silent entries.
constexpr Duration kExpiryPeriod = std::chrono::milliseconds(200);

// An entry that knows this fraction of the entries is not sent a list of them: it will learn of the
// others from one of the periodic lists.
constexpr double kSimilarFraction = 0.9;

// Minimum time between two rankings of the agents, which cost a hash for each agent and entry, when
// many entries join at once.
constexpr Duration kRankingPeriod = std::chrono::milliseconds(50);

bool IsSame(const EngineAvailability& a, const EngineAvailability& b) {
  return a.reachable == b.reachable && a.accepting == b.accepting &&
         a.weights_version == b.weights_version;
}

}  // namespace

EntryPresence::EntryPresence(EntryPresenceOptions given)
    : options(std::move(given)),
      contact_limit(this->options.initial_contacts),
      last_list_receiver(this->options.self) {
  for (const std::string& seed : this->options.seeds) this->AddCandidate(seed, {});
}

// ---- entries ----

std::vector<std::string> EntryPresence::LiveEntries() const {
  std::vector<std::string> live;
  live.reserve(this->entries.size());
  for (const auto& [peer, entry] : this->entries) live.push_back(peer);
  return live;
}

std::vector<std::string> EntryPresence::LiveEntriesAndSeeds() const {
  std::vector<std::string> peers = this->LiveEntries();
  for (const std::string& seed : this->options.seeds) {
    if (seed != this->options.self && !this->entries.contains(seed)) peers.push_back(seed);
  }
  return peers;
}

Duration EntryPresence::StatusPeriod() const {
  const double factor = static_cast<double>(this->entries.size() + 1) /
                        static_cast<double>(this->options.entries_per_period);
  const Duration stretched = FromSeconds(ToSeconds(this->options.status_period) * factor);
  return std::clamp(stretched, this->options.status_period, this->options.max_status_period);
}

bool EntryPresence::IsPresumedGone(const Entry& entry, Instant now) const {
  return ToSeconds(now - entry.last_status) >
         this->options.presumed_gone_periods * ToSeconds(entry.period);
}

void EntryPresence::AddCandidate(const std::string& address, Instant now) {
  if (address == this->options.self || this->entries.contains(address)) return;
  const auto [row, is_new] = this->candidates.try_emplace(address);
  Candidate& candidate = row->second;
  const bool exhausted = candidate.unanswered >= this->options.max_unanswered;
  if (!is_new && (!exhausted || now < candidate.avoided_until)) return;
  candidate = {};
  this->has_new_candidates = true;
}

std::vector<PresenceAction> EntryPresence::OnEntryStatus(const std::string& from,
                                                         const EntryStatusReport& status,
                                                         Instant now) {
  std::vector<PresenceAction> actions;
  if (from == this->options.self) return actions;
  if (status.leaving) {
    this->candidates[from] = {.unanswered = this->options.max_unanswered,
                              .avoided_until = now + this->options.unanswered_pause};
    if (this->entries.erase(from) == 0) return actions;
    this->ranks_outdated = true;
    actions.emplace_back(LiveEntriesChanged{.entry = from, .joined = false});
    return actions;
  }
  const bool is_new = !this->entries.contains(from);
  this->entries[from] = {.last_status = now, .period = status.period};
  this->candidates.erase(from);
  if (!this->present.contains(from)) this->ranks_outdated = true;
  if (is_new) actions.emplace_back(LiveEntriesChanged{.entry = from, .joined = true});
  for (const std::string& entry : status.entries) this->AddCandidate(entry, now);
  if (status.reply_wanted) {
    EntryStatusReport reply = this->MakeStatus(now);
    const auto known = static_cast<double>(status.entries_known);
    if (known < kSimilarFraction * static_cast<double>(this->entries.size())) {
      reply.entries = this->LiveEntries();
    }
    actions.emplace_back(SendEntryStatus{.entry = from, .status = std::move(reply)});
  }
  return actions;
}

void EntryPresence::ExpireEntries(Instant now, std::vector<PresenceAction>& actions) {
  if (now < this->next_expiry) return;
  this->next_expiry = now + kExpiryPeriod;
  this->DropUnneededContacts(now, actions);
  std::set<std::string> present_now;
  for (auto row = this->entries.begin(); row != this->entries.end();) {
    const auto& [peer, entry] = *row;
    if (now - entry.last_status > std::max(this->options.entry_lifetime, 3 * entry.period)) {
      actions.emplace_back(LiveEntriesChanged{.entry = peer, .joined = false});
      row = this->entries.erase(row);
      continue;
    }
    if (!this->IsPresumedGone(entry, now)) present_now.insert(peer);
    ++row;
  }
  if (present_now == this->present) return;
  this->present = std::move(present_now);
  this->ranks_outdated = true;
}

// ---- agents ----

void EntryPresence::SetAgents(const std::map<std::string, std::string>& engine_by_agent) {
  std::map<std::string, Agent> next;
  this->agent_of_engine.clear();
  for (const auto& [peer, engine] : engine_by_agent) {
    const auto known = this->agents.find(peer);
    Agent agent = known == this->agents.end() ? Agent() : std::move(known->second);
    this->ranks_outdated = this->ranks_outdated || known == this->agents.end();
    agent.engine = engine;
    next.emplace(peer, std::move(agent));
    this->agent_of_engine[engine] = peer;
  }
  this->agents = std::move(next);
  this->contacts_outdated = true;
}

void EntryPresence::SetFollowedEngines(std::span<const std::string> engines, Instant now) {
  std::set<std::string> next;
  for (const std::string& engine : engines) {
    const auto agent = this->agent_of_engine.find(engine);
    if (agent != this->agent_of_engine.end()) next.insert(agent->second);
  }
  if (next == this->followed) return;
  // Those that are no longer followed linger from now on.
  for (const std::string& agent : this->followed) {
    const auto contact = this->contacts.find(agent);
    if (contact != this->contacts.end()) contact->second.needed_at = now;
  }
  this->followed = std::move(next);
  this->contacts_outdated = true;
}

bool EntryPresence::IsFirstResponsible(const std::string& agent) const {
  const auto found = this->agents.find(agent);
  return found != this->agents.end() && found->second.rank == 0;
}

void EntryPresence::UpdateRanks(Instant now) {
  if (!this->ranks_outdated || now < this->next_ranking) return;
  this->ranks_outdated = false;
  this->next_ranking = now + kRankingPeriod;
  this->present.clear();
  for (const auto& [peer, entry] : this->entries) {
    if (!this->IsPresumedGone(entry, now)) this->present.insert(peer);
  }
  this->own_agents.clear();
  for (auto& [peer, agent] : this->agents) {
    const std::uint64_t own = RendezvousScore(peer, this->options.self);
    agent.rank = 0;
    for (const std::string& entry : this->present) {
      if (RendezvousScore(peer, entry) <= own) continue;
      if (++agent.rank == this->options.responsible_entries) break;
    }
    if (agent.rank == 0) this->own_agents.push_back(peer);
  }
  this->contacts_outdated = true;
}

std::size_t EntryPresence::ContactLimit(Instant now) {
  while (this->contacts.size() >= this->contact_limit && now >= this->contact_limit_grows_at) {
    if (this->contact_limit_grows_at != Instant()) this->contact_limit *= 2;
    this->contact_limit_grows_at = now + this->options.contact_growth_period;
  }
  return this->contact_limit;
}

void EntryPresence::DropUnneededContacts(Instant now, std::vector<PresenceAction>& actions) {
  for (auto row = this->contacts.begin(); row != this->contacts.end();) {
    const auto agent = this->agents.find(row->first);
    const bool listed = agent != this->agents.end();
    const bool needed = listed && (agent->second.rank < this->options.responsible_entries ||
                                   this->followed.contains(row->first));
    if (needed) row->second.needed_at = now;
    if (now - row->second.needed_at <= this->options.contact_linger) {
      ++row;
      continue;
    }
    actions.emplace_back(LeaveAgent{.agent = row->first});
    row = this->contacts.erase(row);
  }
}

void EntryPresence::AddNeededContacts(Instant now, std::vector<PresenceAction>& actions) {
  const bool limited = this->contacts.size() >= this->contact_limit;
  if (!this->contacts_outdated || (limited && now < this->contact_limit_grows_at)) return;
  this->contacts_outdated = false;
  std::vector<std::pair<std::uint64_t, std::string>> missing;
  for (const auto& [peer, agent] : this->agents) {
    const bool follows = this->followed.contains(peer);
    const auto contact = this->contacts.find(peer);
    if (contact != this->contacts.end()) {
      if (follows && !std::exchange(contact->second.follows_load, follows)) {
        actions.emplace_back(GreetAgent{.agent = peer, .follows_load = true});
      }
    } else if (follows || agent.rank < this->options.responsible_entries) {
      missing.emplace_back(RendezvousScore(peer, this->options.self), peer);
    }
  }
  std::sort(missing.rbegin(), missing.rend());
  for (const auto& [score, peer] : missing) {
    if (this->contacts.size() >= this->ContactLimit(now)) {
      this->contacts_outdated = true;
      return;
    }
    const bool follows = this->followed.contains(peer);
    this->contacts[peer] = {.follows_load = follows, .needed_at = now};
    actions.emplace_back(GreetAgent{.agent = peer, .follows_load = follows});
  }
}

void EntryPresence::OnAgentStatus(const std::string& from, const EngineAvailability& availability,
                                  std::span<const std::string> entries, Instant now) {
  for (const std::string& entry : entries) this->AddCandidate(entry, now);
  const auto found = this->agents.find(from);
  if (found == this->agents.end()) return;
  Agent& agent = found->second;
  const bool changed = !agent.availability || !IsSame(*agent.availability, availability);
  agent.availability = availability;
  agent.reported_at = now;
  if (changed && agent.rank == 0) {
    this->next_status = std::min(this->next_status, now + this->options.change_delay);
  }
}

void EntryPresence::OnDemandChange(Instant now) {
  this->next_status = std::min(this->next_status, now);
}

// ---- messages ----

EntryStatusReport EntryPresence::MakeStatus(Instant now) const {
  EntryStatusReport status{.period = this->StatusPeriod(), .entries_known = this->entries.size()};
  for (const std::string& peer : this->own_agents) {
    const auto found = this->agents.find(peer);
    if (found == this->agents.end() || !found->second.availability) continue;
    if (now - found->second.reported_at > kMaxPassedOnAge) continue;
    status.engines.push_back(*found->second.availability);
  }
  return status;
}

void EntryPresence::SendStatusToAll(Instant now, std::vector<PresenceAction>& actions) {
  const EntryStatusReport status = this->MakeStatus(now);
  for (const auto& [peer, entry] : this->entries) {
    actions.emplace_back(SendEntryStatus{.entry = peer, .status = status});
  }
  this->next_status = now + this->StatusPeriod();
}

// One entry in turn gets the list, in case that two entries do not know each other. Each entry
// starts after itself, so that the lists of a moment go to different entries.
void EntryPresence::SendListToNext(Instant now, std::vector<PresenceAction>& actions) {
  if (this->entries.empty()) return;
  auto receiver = this->entries.upper_bound(this->last_list_receiver);
  if (receiver == this->entries.end()) receiver = this->entries.begin();
  this->last_list_receiver = receiver->first;
  EntryStatusReport status = this->MakeStatus(now);
  status.entries = this->LiveEntries();
  actions.emplace_back(SendEntryStatus{.entry = receiver->first, .status = std::move(status)});
}

bool EntryPresence::IsSeed(const std::string& address) const {
  return std::find(this->options.seeds.begin(), this->options.seeds.end(), address) !=
         this->options.seeds.end();
}

// VMs are replaced all the time, mostly at new addresses.
void EntryPresence::ForgetUnanswered(Instant now) {
  std::erase_if(this->candidates, [this, now](const auto& row) {
    const auto& [address, candidate] = row;
    return candidate.unanswered >= this->options.max_unanswered && now >= candidate.avoided_until &&
           !this->IsSeed(address);
  });
}

void EntryPresence::SendStatusToCandidates(Instant now, bool only_new,
                                           std::vector<PresenceAction>& actions) {
  std::optional<EntryStatusReport> status;
  for (auto& [address, candidate] : this->candidates) {
    if (only_new && !candidate.is_new) continue;
    if (candidate.unanswered >= this->options.max_unanswered && !this->IsSeed(address)) continue;
    candidate.is_new = false;
    if (++candidate.unanswered == this->options.max_unanswered) {
      candidate.avoided_until = now + this->options.unanswered_pause;
    }
    if (!status) {
      status = this->MakeStatus(now);
      status->reply_wanted = true;
    }
    actions.emplace_back(SendEntryStatus{.entry = address, .status = *status});
  }
  this->has_new_candidates = false;
}

std::vector<PresenceAction> EntryPresence::GreetAll() const {
  std::vector<PresenceAction> actions;
  actions.reserve(this->contacts.size());
  for (const auto& [peer, contact] : this->contacts) {
    actions.emplace_back(GreetAgent{.agent = peer, .follows_load = contact.follows_load});
  }
  return actions;
}

std::vector<PresenceAction> EntryPresence::Leave(Instant now) {
  std::vector<PresenceAction> actions;
  for (const auto& [peer, entry] : this->entries) {
    EntryStatusReport status = this->MakeStatus(now);
    status.leaving = true;
    actions.emplace_back(SendEntryStatus{.entry = peer, .status = std::move(status)});
  }
  for (const auto& [peer, contact] : this->contacts) {
    actions.emplace_back(LeaveAgent{.agent = peer});
  }
  return actions;
}

std::vector<PresenceAction> EntryPresence::Advance(Instant now) {
  std::vector<PresenceAction> actions;
  this->ExpireEntries(now, actions);
  this->UpdateRanks(now);
  this->AddNeededContacts(now, actions);
  if (now >= this->next_hello) {
    // An agent of an engine that is no longer followed is told so.
    for (auto& [peer, contact] : this->contacts) {
      contact.follows_load = this->followed.contains(peer);
    }
    for (PresenceAction& greeting : this->GreetAll()) actions.push_back(std::move(greeting));
    this->next_hello = now + this->options.hello_period;
  }
  if (now >= this->next_status) this->SendStatusToAll(now, actions);
  if (now >= this->next_discovery) {
    this->ForgetUnanswered(now);
    this->SendStatusToCandidates(now, false, actions);
    this->SendListToNext(now, actions);
    this->next_discovery = now + this->options.status_period;
  } else if (this->has_new_candidates) {
    this->SendStatusToCandidates(now, true, actions);
  }
  return actions;
}

Instant EntryPresence::NextDue() const {
  Instant due = std::min({this->next_hello, this->next_status, this->next_discovery});
  if (this->ranks_outdated) due = std::min(due, this->next_ranking);
  if (this->contacts_outdated) due = std::min(due, this->contact_limit_grows_at);
  return due;
}

}  // namespace savory
