// Runs the distribution of weights and the loading of the engine for one agent.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/digest.h"
#include "base/settings.h"
#include "distribution/chunk_spreader.h"
#include "runtime/node.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

class HttpServer;
class MembershipDriver;

struct DistributionDriverOptions {
  std::string engine;                          // IP:PORT of the local engine
  std::string weights_address;                 // IP:PORT where the engine fetches /weights/DIGEST
  std::string origin;                          // IP:PORT of the origin of weights
  std::string origin_region;                   // region whose agents read from the origin
  double link_bytes_per_second = 125e6;        // of the VM's link, each way
  double weights_share = 0.8;                  // largest part of that link for weights
  double inter_region_bytes_per_second = 3e6;  // of the region's link, each way
  std::uint64_t memory_bytes = 0;              // limit for kept chunks; 0: two versions of any size
  SpreadStrategy strategy = SpreadStrategy::kSwarm;
  // A second agent reads a chunk from the origin when no new chunk has appeared for this long.
  Duration takeover_time = std::chrono::seconds(3);           // pools that favour time
  Duration takeover_origin_bytes = std::chrono::seconds(15);  // pools that favour origin bytes
  Duration lease_ttl = std::chrono::seconds(10);
};

// Reads the section `distribution`; errors are recorded in `reader`. `weights_address` is left
// empty: it is the process's operator port.
DistributionDriverOptions ReadDistributionOptions(SettingsReader reader);

enum class RolloutPhase {
  kIdle,              // no pool row names weights for this VM
  kFetchingManifest,  // waiting for the manifest
  kCopying,
  kStopped,  // the origin does not hold the pinned bytes; the engine keeps serving the old version
  kWaitingForLease,
  kLoading,
  kReady,  // the engine reports the pinned manifest
};

// Returns the name of `phase` in JSON and logs, such as "copying".
std::string_view PhaseName(RolloutPhase phase);

struct RolloutStatus {
  RolloutPhase phase = RolloutPhase::kIdle;
  Digest wanted = {};       // manifest pinned by the pool row
  Digest serving = {};      // manifest that the engine reports; zero: none
  std::uint64_t bytes = 0;  // verified bytes of `wanted`
  std::uint64_t total_bytes = 0;
  std::uint64_t origin_bytes = 0;  // read from the origin by this agent
  std::string detail = {};         // why the rollout is stopped or waiting
};

// All methods must be called on the event loop's thread.
class DistributionDriver {
 public:
  DistributionDriver(Node& node, MembershipDriver& members, DistributionDriverOptions options);
  ~DistributionDriver();

  // Registers GET /weights/DIGEST; call before the server starts.
  void Mount(HttpServer& server);
  void Start();

  // Sets the pool row that this VM belongs to. A row without a manifest ends the distribution.
  void ApplyPool(const wire::Pool& pool);

  RolloutStatus Status() const;
  // Calls `listener` when the engine becomes ready with `serving`, or stops being ready (while it
  // loads, or after a restart).
  void OnReadyChange(std::function<void(const Digest& serving, bool ready)> listener);

  // `idle` returns whether no request runs at the gate; a load waits for this. Unset: always idle.
  void SetIdleCheck(std::function<bool()> idle);
  // Counts request bytes on the VM's link; the rate of weights is reduced by them.
  void AddRequestBytes(std::uint64_t bytes);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
