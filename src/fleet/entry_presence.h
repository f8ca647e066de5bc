// Decides which entries and agents an entry exchanges messages with, and when.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "relay/upstream.h"

namespace savory {

struct EntryPresenceOptions {
  std::string self;                     // IP:PORT of this entry's peer socket
  std::vector<std::string> seeds = {};  // peer addresses that may belong to other entries
  // An agent that hears nothing from an entry for three of these periods sends it no more statuses.
  Duration hello_period = std::chrono::seconds(2);
  // A status goes to every other entry at this period, and to fewer entries a second in a larger
  // fleet: beyond `entries_per_period` entries the period grows in proportion.
  Duration status_period = std::chrono::seconds(1);
  std::size_t entries_per_period = 64;
  Duration max_status_period = std::chrono::seconds(4);
  // Changes of engines within this time are passed on in one status.
  Duration change_delay = std::chrono::milliseconds(50);
  // An entry that is silent for this many of its periods is presumed gone: others take over its
  // agents. It stays in the list of entries for `entry_lifetime`.
  double presumed_gone_periods = 2.2;
  Duration entry_lifetime = std::chrono::seconds(12);
  // An address that other processes name, but that has not answered this many statuses, is not
  // contacted again for `unanswered_pause`.
  int max_unanswered = 5;
  Duration unanswered_pause = std::chrono::seconds(30);
  // Entries that stay in touch with an agent whoever sends requests to its engine. The first one
  // passes on whether the engine serves.
  std::size_t responsible_entries = 2;
  // An agent that is no longer needed is kept for this time, as shares of engines move back and
  // forth.
  Duration contact_linger = std::chrono::seconds(2);
  // An entry that does not know the others yet would be responsible for all agents. So the number
  // of its contacts starts here and doubles each `contact_growth_period`.
  std::size_t initial_contacts = 24;
  Duration contact_growth_period = std::chrono::milliseconds(500);
};

// What one entry tells another.
struct EntryStatusReport {
  Duration period = {};                          // until the next one, unless something changes
  std::vector<EngineAvailability> engines = {};  // that the sender is responsible for
  std::size_t entries_known = 0;                 // number of other live entries
  std::vector<std::string> entries = {};         // all or none of them
  bool leaving = false;
  bool reply_wanted = false;  // the sender does not know the receiver yet
};

// Tells an agent what to report.
struct GreetAgent {
  std::string agent;
  bool follows_load = false;
};
struct LeaveAgent {
  std::string agent;
};
struct SendEntryStatus {
  std::string entry;
  EntryStatusReport status;
};
// The live entries changed, see LiveEntries().
struct LiveEntriesChanged {
  std::string entry;
  bool joined = false;
};
using PresenceAction = std::variant<GreetAgent, LeaveAgent, SendEntryStatus, LiveEntriesChanged>;

// Messages of an entry do not grow with the number of engines: it is in touch only with the agents
// of the engines that it sends requests to, and with those that it is responsible for by their
// rendezvous scores. Each agent has `responsible_entries` of these, so that it always learns what
// the operators want, and so that every entry learns from one of them whether its engine serves.
class EntryPresence {
 public:
  explicit EntryPresence(EntryPresenceOptions options);

  // Peer address of the agent and address of the engine beside it, for all listed engines.
  void SetAgents(const std::map<std::string, std::string>& engine_by_agent);
  // Addresses of the engines whose load is needed.
  void SetFollowedEngines(std::span<const std::string> engines, Instant now);
  // The requests of this entry changed noticeably, which other entries must learn.
  void OnDemandChange(Instant now);

  std::vector<PresenceAction> OnEntryStatus(const std::string& from,
                                            const EntryStatusReport& status, Instant now);
  // `entries`: entries that the agent has heard of recently.
  void OnAgentStatus(const std::string& from, const EngineAvailability& availability,
                     std::span<const std::string> entries, Instant now);
  // Performs what is due. Call when NextDue() is reached and after each change.
  std::vector<PresenceAction> Advance(Instant now);
  // Greets every contact and, with `leaving`, takes leave of the entries.
  std::vector<PresenceAction> GreetAll() const;
  std::vector<PresenceAction> Leave(Instant now);
  Instant NextDue() const;

  std::vector<std::string> LiveEntries() const;
  // Live entries, and seeds that may be entries.
  std::vector<std::string> LiveEntriesAndSeeds() const;
  Duration StatusPeriod() const;
  std::size_t Contacts() const { return this->contacts.size(); }
  std::size_t Followed() const { return this->followed.size(); }
  // Addresses that may belong to entries.
  std::size_t Candidates() const { return this->candidates.size(); }
  bool FollowsLoad(const std::string& agent) const { return this->followed.contains(agent); }
  // Whether this entry is the first of those that are responsible for `agent`.
  bool IsFirstResponsible(const std::string& agent) const;

 private:
  struct Entry {
    Instant last_status = {};
    Duration period = {};
  };
  // An address that may belong to an entry.
  struct Candidate {
    int unanswered = 0;  // statuses sent to it
    Instant avoided_until = {};
    bool is_new = true;
  };
  struct Agent {
    std::string engine;
    std::size_t rank =
        0;  // number of entries, up to `responsible_entries`, that go before this one
    std::optional<EngineAvailability> availability = {};
    Instant reported_at = {};
  };
  struct Contact {
    bool follows_load = false;
    Instant needed_at = {};
  };

  bool IsPresumedGone(const Entry& entry, Instant now) const;
  void AddCandidate(const std::string& address, Instant now);
  void ExpireEntries(Instant now, std::vector<PresenceAction>& actions);
  void UpdateRanks(Instant now);
  void AddNeededContacts(Instant now, std::vector<PresenceAction>& actions);
  void DropUnneededContacts(Instant now, std::vector<PresenceAction>& actions);
  std::size_t ContactLimit(Instant now);
  bool IsSeed(const std::string& address) const;
  void ForgetUnanswered(Instant now);
  EntryStatusReport MakeStatus(Instant now) const;
  void SendStatusToAll(Instant now, std::vector<PresenceAction>& actions);
  void SendListToNext(Instant now, std::vector<PresenceAction>& actions);
  void SendStatusToCandidates(Instant now, bool only_new, std::vector<PresenceAction>& actions);

  EntryPresenceOptions options;
  std::map<std::string, Entry> entries = {};  // other live entries, by peer address
  std::map<std::string, Candidate> candidates = {};
  std::map<std::string, Agent> agents = {};  // by peer address
  std::vector<std::string> own_agents = {};  // with rank 0
  std::map<std::string, std::string> agent_of_engine = {};
  std::set<std::string> followed = {};  // agents of followed engines
  std::map<std::string, Contact> contacts = {};
  std::set<std::string> present = {};  // entries that are not presumed gone, at the last ranking
  bool ranks_outdated = true;
  bool contacts_outdated = true;
  Instant next_expiry = {};
  Instant next_ranking = {};
  std::size_t contact_limit = 0;
  Instant contact_limit_grows_at = {};
  Instant next_hello = {};
  Instant next_status = {};
  Instant next_discovery = {};
  bool has_new_candidates = false;
  std::string last_list_receiver = {};
};

}  // namespace savory
