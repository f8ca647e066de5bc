// Copies the wanted version of the weights from the other agents and the origin into memory.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "distribution/chunk_store.h"
#include "fleet/agent_links.h"

namespace savory {

class EngineControl;
class EventLoop;
class Manifest;
class Metrics;
class PeerTransport;
class WeightsSource;
struct CallTimes;

struct WeightsCopierOptions {
  std::string peer;  // IP:PORT of this agent
  std::string region;
  double link_bytes_per_second = 1e6;    // of this machine, in each direction
  double region_bytes_per_second = 3e6;  // between two regions, shared by all traffic
  // Number of agents per region that read a version back from their engines when engines join
  // without weights.
  std::size_t seeding_agents = 4;
  // A version whose announcement time is unknown is treated as announced this long ago.
  Duration assumed_age = {};
  // From the announcement of a version until engines with older weights get no requests.
  Duration deadline = std::chrono::seconds(8);
};

// A version that this agent copies or has copied.
struct VersionCopy {
  std::string model;
  std::uint64_t version = 0;
  Instant wanted_since = {};
  std::shared_ptr<const Manifest> manifest = {};
};

// All calls on the loop's thread.
class WeightsCopier {
 public:
  // `read_back`: the call that read the chunk back from this agent's engine, if one did.
  using ChunkListener = std::function<void(std::uint64_t version, std::uint32_t chunk,
                                           const std::optional<CallTimes>& read_back)>;

  using NewestFoundListener = std::function<void(const std::string& model, std::uint64_t version)>;

  // The references must outlive the copier.
  WeightsCopier(EventLoop& loop, PeerTransport& peers, Metrics& metrics, Random& random,
                WeightsSource& origin, EngineControl& engine, WeightsCopierOptions options);
  ~WeightsCopier();

  void OnChunk(ChunkListener listener);
  // Called when the origin named its newest version because the fleet knows none.
  void OnNewestFound(NewestFoundListener listener);
  void Start();

  void SetFleet(const FleetView& view);
  // Version that the engine holds: 0 for none, nullopt while the engine is unreachable.
  void SetEngineVersion(std::optional<std::uint64_t> version);
  // Number of requests at the engine, and whether it accepts more. They and their answers share the
  // link with the weights.
  void SetEngineRequests(std::uint32_t requests, bool accepting);
  // Performs the work that is due. Call every 10 ms while IsActive(), and several times per second
  // otherwise.
  void Tick();
  bool IsActive() const;
  // Whether requests to the engine may arrive only after its weights are outdated, as the link is
  // narrow.
  bool DelaysRequestsTooLong() const;

  // The newest version whose copy is in progress or complete; nullopt before the first one.
  const std::optional<VersionCopy>& Newest() const;
  // Returns nullptr if the version is not kept.
  const WeightsCopy* Find(const Manifest& manifest) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
