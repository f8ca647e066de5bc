// Links of an entry to the agents beside the engines, and through them to the other entries.
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
  std::string region;                   // of this entry
  std::uint16_t agent_port = 0;         // peer port of the agents, on the machines of the engines
  std::vector<std::string> seeds = {};  // peer sockets that may be other entries
  std::map<std::string, std::string> regions = {};  // data centre -> region
  Duration hello_period = std::chrono::seconds(2);
  // Changes in quick succession are told together.
  Duration change_pause = std::chrono::milliseconds(150);
  // An entry that no agent has heard of for this long counts as gone.
  Duration entry_lifetime = std::chrono::seconds(12);
  // The list of agents comes from one entry; another one sends it when it has not come by then.
  Duration list_takeover = std::chrono::milliseconds(1500);
};

// What the agents are to bring onto their engines.
struct WeightsOrder {
  std::string model = {};
  std::uint64_t version = 0;
  std::optional<Instant> known_since = {};  // nullopt: before this process started
  bool engines_lacking = false;             // some engines hold no weights at all
  bool requests_resume = false;             // every request at the engines goes on elsewhere
};

// All calls on the loop's thread.
class EntryLinks {
 public:
  using ReportListener = std::function<void(const EngineReport& report)>;
  using EntriesListener = std::function<void(const std::vector<std::string>& peers)>;
  // An agent knows since when `version` is wanted.
  using WantedListener = std::function<void(std::uint64_t version, Instant since)>;

  using DemandListener = std::function<void(EntryDemand demand)>;

  // The references must outlive the object.
  EntryLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics, EntryLinksOptions options);
  ~EntryLinks();

  void OnReport(ReportListener listener);
  // Called with the peer sockets of the other live entries, when they change.
  void OnEntries(EntriesListener listener);
  void OnWanted(WantedListener listener);
  // Called with the demand that another entry told.
  void OnDemand(DemandListener listener);
  void Start();

  void SetEngines(const std::vector<Upstream>& engines);
  void SetOrigin(const std::optional<WeightsOrigin>& origin);
  void SetWeights(const WeightsOrder& order);
  // Other entries that agents lately reported as live.
  std::vector<std::string> LiveEntries() const;
  // Tells all other entries.
  void TellDemand(const std::string& data_centre, double requests_per_second);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
