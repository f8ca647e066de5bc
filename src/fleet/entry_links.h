// Message exchange of an entry with the engines' agents, and discovery of the other entries through
// them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "relay/routing_rules.h"
#include "relay/slot_shares.h"
#include "relay/upstream.h"

namespace savory {

class EventLoop;
class Metrics;
class PeerTransport;

struct EntryLinksOptions {
  std::string peer;                     // IP:PORT of this entry's peer socket
  std::string region;                   // region of this entry
  std::uint16_t agent_port = 0;         // peer port of the agents, which run on the engines' VMs
  std::vector<std::string> seeds = {};  // peer addresses that may belong to other entries
  std::map<std::string, std::string> regions = {};  // data centre -> region
  Duration hello_period = std::chrono::seconds(2);
  // Changes within this time are sent in one hello. A change of the wanted version is sent at once.
  Duration change_batch_delay = std::chrono::milliseconds(150);
  // An entry that no agent has reported for this long counts as gone.
  Duration entry_lifetime = std::chrono::seconds(12);
  // One entry is responsible for sending the list of agents to an agent. Any other entry sends it
  // if the agent's list is still outdated after this time.
  Duration list_takeover_delay = std::chrono::milliseconds(1500);
};

// Version of the weights that the agents must load onto their engines.
struct RolloutTarget {
  std::string model = {};
  std::uint64_t version = 0;
  std::optional<Instant> wanted_since = {};  // nullopt: unknown, announced before this start
  bool engines_without_weights = false;      // some engine has never held weights
  bool requests_resumable = false;  // every request at the engines can be resumed at another one
};

// All calls on the loop's thread.
class EntryLinks {
 public:
  using ReportListener = std::function<void(const EngineReport& report)>;
  using EntriesListener = std::function<void(const std::vector<std::string>& peers)>;
  // Called with what an agent reports: `version` is wanted since `since`.
  using WantedSinceListener = std::function<void(std::uint64_t version, Instant since)>;

  using DemandListener = std::function<void(EntryDemand demand)>;

  // The references must outlive the object.
  EntryLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics, EntryLinksOptions options);
  ~EntryLinks();

  void OnReport(ReportListener listener);
  // Called when the other live entries change, with their peer addresses and those of the seeds.
  void OnEntriesChange(EntriesListener listener);
  void OnWantedSinceReport(WantedSinceListener listener);
  // Called with the demand that another entry reports.
  void OnDemand(DemandListener listener);
  void Start();

  void SetEngines(const std::vector<Upstream>& engines);
  void SetOrigin(const std::optional<WeightsOrigin>& origin);
  void SetTarget(const RolloutTarget& target);
  // Other entries that agents recently reported as live.
  std::vector<std::string> LiveEntries() const;
  // Sends this entry's demand to the other live entries and to the seeds.
  void SendDemand(const std::string& data_centre, double requests_per_second);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
