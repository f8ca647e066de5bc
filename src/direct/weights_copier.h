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

struct WeightsCopierOptions {
  std::string peer;  // IP:PORT of this agent
  std::string region;
  double link_bytes_per_second = 1e6;    // of this machine, each way
  double region_bytes_per_second = 3e6;  // between two regions, for all traffic
  // Agents of a region that read a version back from their engines when others join without it.
  std::size_t seeding_agents = 4;
  // A version of which nobody knows since when it is wanted counts as wanted for this long.
  Duration assumed_age = {};
};

// One version as far as this agent has it.
struct VersionCopy {
  std::string model;
  std::uint64_t version = 0;
  Instant wanted_since = {};
  std::shared_ptr<const Manifest> manifest = {};
};

// All calls on the loop's thread.
class WeightsCopier {
 public:
  // `staged`: the piece was read back from the engine beside this agent.
  using ChunkListener =
      std::function<void(std::uint64_t version, std::uint32_t chunk, bool staged)>;

  // The references must outlive the copier.
  WeightsCopier(EventLoop& loop, PeerTransport& peers, Metrics& metrics, Random& random,
                WeightsSource& origin, EngineControl& engine, WeightsCopierOptions options);
  ~WeightsCopier();

  void OnChunk(ChunkListener listener);
  void Start();

  void SetFleet(const FleetView& view);
  // Version that the engine holds, 0: none; nullopt while it cannot be reached.
  void SetEngineVersion(std::optional<std::uint64_t> version);
  // Requests at the engine, whose answers share the link.
  void SetEngineRequests(std::uint32_t requests);
  // Advances what is due. Call every 10 ms while IsActive(), some times a second otherwise.
  void Tick();
  bool IsActive() const;

  // The newest version that is copied or whole; nullopt before the first one.
  const std::optional<VersionCopy>& Newest() const;
  // nullptr when the version is not kept.
  const WeightsCopy* Find(const Manifest& manifest) const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
