// Message exchange of an agent with the entries that use its engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/agent_list.h"
#include "fleet/version_history.h"
#include "relay/upstream.h"

namespace savory {

class EventLoop;
class Metrics;
class PeerTransport;

struct AgentLinksOptions {
  std::string region;            // of this agent
  std::uint16_t agent_port = 0;  // peer port, the same for all agents
  // An entry that has sent no hello for this long gets no more reports.
  Duration entry_lifetime = std::chrono::seconds(7);
  // Minimum period of the reports of a changed load, to entries of the same region and of other
  // regions that follow it. Urgent reports are sent immediately, to all entries.
  Duration same_region_period = std::chrono::milliseconds(200);
  Duration other_region_period = std::chrono::milliseconds(400);
  // With more than this number of entries that follow the load, the periods grow in proportion.
  std::size_t followers_per_period = 8;
  // A status goes to every entry at least at this period.
  Duration unchanged_period = std::chrono::seconds(1);
  // Versions that were followed by another one this long ago are forgotten.
  Duration history_time = std::chrono::seconds(40);
  // The list of entries is sent when it changes and at this period.
  Duration entries_period = std::chrono::seconds(4);
};

// State of the fleet as reported by the entries.
struct FleetView {
  std::vector<AgentAddress> agents = {};  // including this one
  std::string origin = {};                // IP:PORT of the origin of weights; empty: unknown
  std::string origin_region = {};
  double origin_bytes_per_second = 0;
  std::string model = {};
  std::uint64_t weights_version = 0;         // wanted; 0: unknown
  std::optional<Instant> wanted_since = {};  // earliest time that any entry reported
  VersionHistory history = {};               // the wanted version and those before it
  // With which this agent's engine accepted requests, as entries heard from an earlier run of this
  // process, or from this one.
  std::uint64_t vouched_weights = 0;
  // No version was announced and no engine holds one: the newest one at the origin is wanted.
  bool newest_wanted = false;
  bool engines_without_weights = false;  // some engine has never held weights
  // Every request at the engines can be resumed at another engine when it is interrupted.
  bool requests_resumable = false;
};

// All calls on the loop's thread.
class AgentLinks {
 public:
  AgentLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics, AgentLinksOptions options);
  ~AgentLinks();

  // `listener` is called when a hello message of an entry changed the view.
  void OnViewChange(std::function<void(const FleetView& view)> listener);
  void Start();

  // Sends `report` to the entries for which a report is due, or to every entry if `urgent`. Must be
  // called several times a second.
  void Report(const EngineReport& report, bool urgent);
  // Sets the version that the origin named as its newest one, for the next reports.
  void SetFoundVersion(const std::string& model, std::uint64_t version);
  // Number of entries that follow the load.
  std::size_t Followers() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
