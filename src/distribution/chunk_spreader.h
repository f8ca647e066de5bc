// Decides which chunks this agent requests, from whom, and whom it serves.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/spread_events.h"

namespace savory {

class ChunkStore;

// kOriginOnly and kTree are baselines for measurements.
enum class SpreadStrategy { kSwarm, kOriginOnly, kTree };

struct SpreadOptions {
  std::string vm = {};
  std::string region = {};
  std::string origin_region = {};
  SpreadStrategy strategy = SpreadStrategy::kSwarm;
  double link_bytes_per_second = 125e6;  // each way
  double weights_share = 0.8;
  double inter_region_bytes_per_second = 3e6;
  std::size_t max_requests = 8;       // in flight at neighbours
  std::size_t max_peer_requests = 2;  // in flight at one neighbour
  std::size_t max_uploads = 6;        // waiting; a further request is refused as busy
  std::size_t max_origin_reads = 1;
  std::size_t max_remote_requests = 8;  // in flight at agents of the origin's region
  // A chunk that has not come after this time, or after a multiple of the usual time when that is
  // longer, is asked for elsewhere.
  Duration request_deadline = std::chrono::seconds(2);
  Duration remote_deadline = std::chrono::seconds(10);
  // A second agent reads a chunk from the origin when none has appeared for this long.
  Duration takeover_time = std::chrono::seconds(3);
  Duration takeover_origin_bytes = std::chrono::seconds(15);
  // Pause after reads of the origin that fail, at most. Below the takeover time, so that the
  // first-ranked agent retries first after an outage.
  Duration max_backoff = std::chrono::seconds(2);
  // Rate at which the origin sends to all agents together; 0: unknown. When it is known, a chunk
  // counts as overdue when the origin should have sent all of them and it has not appeared; the
  // agents next in rank then read it, whatever else appears meanwhile.
  double origin_bytes_per_second = 0;
  // After the origin should be done: for the chunk's way to the neighbours.
  Duration overdue_slack = std::chrono::milliseconds(1000);
  // The same for its way into another region.
  Duration overdue_remote_slack = std::chrono::milliseconds(1200);
  // From one rank to the next.
  Duration overdue_step = std::chrono::milliseconds(300);
  Duration corrupt_avoidance = std::chrono::seconds(10);
};

// The state is bounded by chunks x neighbours and does not grow with the fleet.
class ChunkSpreader {
 public:
  // `store` and `random` must outlive the spreader. The spreader adds verified chunks to `store`.
  ChunkSpreader(SpreadOptions options, ChunkStore& store, Random& random);
  ~ChunkSpreader();

  std::vector<SpreadAction> Handle(Instant now, const SpreadEvent& event);

  // Chunks of the wanted version that are held here or by a neighbour.
  std::size_t Reachable() const;

  // Whether SpreadTick is needed at a short period: a copy or an upload is in progress.
  bool IsActive() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
