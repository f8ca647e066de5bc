// Links of an agent to the entries that use its engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/agent_list.h"
#include "relay/upstream.h"

namespace savory {

class EventLoop;
class Metrics;
class PeerTransport;

struct AgentLinksOptions {
  std::string region;            // of this agent
  std::uint16_t agent_port = 0;  // peer port of all agents
  // An entry that said no hello for this long gets no more reports.
  Duration entry_lifetime = std::chrono::seconds(7);
  // Periods of the reports to entries of the same region and of others; changes of what entries may
  // send are told at once.
  Duration same_region_period = std::chrono::milliseconds(200);
  Duration other_region_period = std::chrono::milliseconds(400);
  // A load that has not changed is reported this often.
  Duration unchanged_period = std::chrono::seconds(1);
  // The list of entries is sent when it changed, and this often.
  Duration entries_period = std::chrono::seconds(4);
};

// What the entries told about the fleet.
struct FleetView {
  std::vector<AgentAddress> agents = {};  // this one included
  std::string origin = {};                // IP:PORT of the origin of weights; empty: unknown
  std::string origin_region = {};
  double origin_bytes_per_second = 0;
  std::string model = {};
  std::uint64_t weights_version = 0;         // wanted; 0: unknown
  std::optional<Instant> wanted_since = {};  // as far back as any entry knows
  std::uint64_t previous_version = 0;        // wanted before that; 0: none, or unknown since when
  Instant previous_wanted_since = {};
  bool engines_without_weights = false;  // some engines hold no weights at all
  // Every request at the engines goes on at another one when it is broken off.
  bool requests_resumable = false;
};

// All calls on the loop's thread.
class AgentLinks {
 public:
  AgentLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics, AgentLinksOptions options);
  ~AgentLinks();

  // Called when a hello changed the view.
  void OnViewChange(std::function<void(const FleetView& view)> listener);
  void Start();

  // Sends `report` to every entry; now when it is urgent, with the next period otherwise.
  void Report(const EngineReport& report, bool urgent);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
