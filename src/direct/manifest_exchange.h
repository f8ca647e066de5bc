// Gets the manifest of a version from other agents or the origin.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/agent_list.h"

namespace savory {

class EventLoop;
class Manifest;
class PeerTransport;
class WeightsSource;

struct ManifestExchangeOptions {
  std::string peer;  // IP:PORT of this agent
  std::string region;
  // Number of agents per region that read the list of chunks from the origin, which accepts only
  // few connections. The other agents request the manifest from them.
  std::size_t readers = 2;
  Duration request_period = std::chrono::milliseconds(120);
  // An agent that gets no manifest from the readers within this time reads from the origin itself.
  Duration origin_fallback_delay = std::chrono::milliseconds(700);
  Duration origin_retry_delay = std::chrono::milliseconds(300);
  // Longest mean pause between such reads of the origin.
  Duration max_fallback_pause = std::chrono::seconds(2);
};

// All calls on the loop's thread.
class ManifestExchange {
 public:
  using Done = std::function<void(std::uint64_t version, std::shared_ptr<const Manifest> manifest)>;

  // The references must outlive the object.
  ManifestExchange(EventLoop& loop, PeerTransport& peers, WeightsSource& origin,
                   ManifestExchangeOptions options);
  ~ManifestExchange();

  void Start();
  void SetAgents(std::vector<AgentAddress> agents);
  // Calls `done` once, when the manifest is available. A later call cancels the search of an
  // earlier one, whose `done` is then never called.
  void Find(const std::string& model, std::uint64_t version, Done done);
  // The same for the newest version that the origin has. Other agents can't be asked for it.
  void FindNewest(const std::string& model, Done done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

// Name of one version of a model's weights.
std::string WeightsNameOf(const std::string& model, std::uint64_t version);

}  // namespace savory
