// Message exchange of an entry with the engines' agents and with the other entries.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/entry_presence.h"
#include "fleet/version_history.h"
#include "relay/routing_rules.h"
#include "relay/slot_shares.h"
#include "relay/upstream.h"

namespace savory {

class EventLoop;
class Metrics;
class PeerTransport;

struct EntryLinksOptions {
  EntryPresenceOptions presence;                    // of this entry
  std::string region = {};                          // region of this entry
  std::uint16_t peer_port = 0;                      // of all entries and agents
  std::map<std::string, std::string> regions = {};  // data centre -> region
  // Changes of what agents must know within this time are sent in one hello. A change of the wanted
  // version is sent at once.
  Duration change_batch_delay = std::chrono::milliseconds(150);
  // Smaller corrections of the wanted version's announcement time go with the next periodic hello.
  Duration min_time_correction = std::chrono::milliseconds(200);
  // The entry that is responsible for an agent sends it the list of agents. Any other entry that is
  // in touch with it sends the list if the agent's one is still outdated after this time.
  Duration list_takeover_delay = std::chrono::milliseconds(1500);
};

// Version of the weights that the agents must load onto their engines.
struct RolloutTarget {
  std::string model = {};
  std::uint64_t version = 0;
  std::optional<Instant> wanted_since = {};  // nullopt: unknown, announced before this start
  // `version` is 0: agents whose engine holds no weights ask the origin for its newest version.
  bool newest_wanted = false;
  std::vector<VersionTime> history = {};  // `version` and those before it
  bool engines_without_weights = false;   // some engine has never held weights
  bool requests_resumable = false;  // every request at the engines can be resumed at another one
};

// All calls on the loop's thread.
class EntryLinks {
 public:
  using ReportListener = std::function<void(const EngineReport& report)>;
  using AvailabilityListener = std::function<void(const EngineAvailability& passed_on)>;
  using EntriesListener = std::function<void(const std::vector<std::string>& peers)>;
  // Called with what an agent reports of a version of `model`.
  using WantedSinceListener =
      std::function<void(const std::string& model, const VersionTime& wanted)>;
  using FoundVersionListener = std::function<void(const std::string& model, std::uint64_t version)>;
  // `valid_for`: the next report follows within this time, unless the entry is gone.
  using DemandListener = std::function<void(EntryDemand demand, Duration valid_for)>;

  // Returns the digest of crashed requests that goes with each status to other entries.
  using CrashesDigestSource = std::function<std::uint64_t()>;
  using CrashesDigestListener = std::function<void(const std::string& entry, std::uint64_t digest)>;

  // The references must outlive the object.
  EntryLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics, EntryLinksOptions options);
  ~EntryLinks();

  void OnReport(ReportListener listener);
  // Called with what other entries pass on about engines.
  void OnAvailability(AvailabilityListener listener);
  // Called when the other live entries change, with their peer addresses and those of the seeds.
  void OnEntriesChange(EntriesListener listener);
  void OnWantedSinceReport(WantedSinceListener listener);
  // Called with the newest version that an agent found at the origin.
  void OnFoundVersion(FoundVersionListener listener);
  // Called with the demand that another entry reports.
  void OnDemand(DemandListener listener);
  void SetCrashesDigestSource(CrashesDigestSource source);
  // Called with the digest that another entry reports.
  void OnCrashesDigest(CrashesDigestListener listener);
  void Start();
  // Takes leave of the other entries, whose later messages are ignored. The agents still report
  // which engines serve, for the requests in progress.
  void Leave();

  void SetEngines(const std::vector<Upstream>& engines);
  // Addresses of the engines whose load this entry needs.
  void SetFollowedEngines(std::span<const std::string> addresses);
  void SetOrigin(const std::optional<WeightsOrigin>& origin);
  // Sets what the agents of the engines of `pool` must load.
  void SetTarget(const std::string& pool, const RolloutTarget& target);
  // Other live entries.
  std::vector<std::string> LiveEntries() const;
  // Period at which other entries learn the demand.
  Duration StatusPeriod() const;
  // Sets the demand that the other entries learn: now if `changed`, and periodically.
  void SetDemand(EntryDemand demand, bool changed);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
