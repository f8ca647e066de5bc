// Decides which chunks this agent requests, from which peers, and which requests it serves.
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
  std::size_t max_uploads = 6;        // queued; further requests are refused as busy
  std::size_t max_origin_reads = 1;
  std::size_t max_remote_requests = 8;  // in flight at agents of the origin's region
  // A request that has not been answered after this time plus the time to send a full upload queue,
  // or after five round trips when that is longer, is cancelled; the chunk is requested again.
  Duration request_deadline = std::chrono::seconds(2);
  Duration remote_deadline = std::chrono::seconds(10);
  // A second agent reads a chunk from the origin when no new chunk has appeared for this long;
  // `takeover_origin_bytes` applies to pools that favour origin bytes.
  Duration takeover_time = std::chrono::seconds(3);
  Duration takeover_origin_bytes = std::chrono::seconds(15);
  // Upper bound of the backoff after failed origin reads. Below the takeover time, so that the
  // first-ranked agent retries first after an outage.
  Duration max_backoff = std::chrono::seconds(2);
  // Total rate at which the origin sends to all agents; 0: unknown. When it is known, a chunk is
  // overdue if it has not appeared by the time at which the origin should have sent it. Agents of
  // the next ranks then read it, even if other chunks keep appearing.
  double origin_bytes_per_second = 0;
  // Added to the expected time of a chunk for its transfer to the neighbours.
  Duration overdue_slack = std::chrono::milliseconds(1000);
  // The same for chunks that are transferred into another region.
  Duration overdue_remote_slack = std::chrono::milliseconds(1200);
  // Time from the takeover of an overdue chunk by one rank to that by the next.
  Duration overdue_step = std::chrono::milliseconds(300);
  // No chunk is requested from a neighbour for this long after it sent corrupt bytes.
  Duration corrupt_avoidance = std::chrono::seconds(10);
};

// Distributes one version of the weights among the agents of a pool, without I/O: the caller passes
// events in and executes the returned actions. The size of the state is bounded by
// chunks x neighbours and does not grow with the fleet.
class ChunkSpreader {
 public:
  // `store` and `random` must outlive the spreader. The spreader adds verified chunks to `store`.
  ChunkSpreader(SpreadOptions options, ChunkStore& store, Random& random);
  ~ChunkSpreader();

  std::vector<SpreadAction> Handle(Instant now, const SpreadEvent& event);

  // Number of chunks of the wanted version that this agent or a neighbour holds.
  std::size_t Reachable() const;

  // Whether a copy or an upload is in progress, so that SpreadTick is needed at a short period.
  bool IsActive() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
