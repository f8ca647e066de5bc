// Links of an agent to the entries that use its engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "relay/upstream.h"

namespace savory {

class EventLoop;
class Metrics;
class PeerTransport;

struct AgentLinksOptions {
  // An entry that said no hello for this long gets no more reports.
  Duration entry_lifetime = std::chrono::seconds(4);
  // Each entry gets a report this often, and at once on a change of what it may send.
  Duration report_period = std::chrono::milliseconds(200);
};

// One agent as the entries see it.
struct AgentAddress {
  std::string peer;  // IP:PORT of the peer socket
  std::string region;

  bool operator==(const AgentAddress&) const = default;
};

// What the entries told about the fleet.
struct FleetView {
  std::vector<AgentAddress> agents = {};  // this one included
  std::string origin = {};                // IP:PORT of the origin of weights; empty: unknown
  std::string origin_region = {};
  double origin_bytes_per_second = 0;
  std::string model = {};
  std::uint64_t weights_version = 0;  // wanted; 0: unknown
  Instant wanted_since = {};          // as far back as any entry knows
  std::uint32_t engines_lacking = 0;      // engines that hold no weights at all
};

// All calls on the loop's thread.
class AgentLinks {
 public:
  AgentLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics, AgentLinksOptions options);
  ~AgentLinks();

  // Called when a hello changed the view.
  void OnView(std::function<void(const FleetView& view)> listener);
  void Start();

  // Sends `report` to every entry; now when it is urgent, with the next period otherwise.
  void Report(const EngineReport& report, bool urgent);
  bool HasEntries() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
