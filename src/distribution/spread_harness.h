// Simulates the spreaders of one pool in memory and in virtual time; for tests only.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "distribution/chunk_spreader.h"
#include "distribution/chunk_store.h"
#include "distribution/congestion_detector.h"
#include "distribution/manifest.h"

namespace savory {

struct HarnessOptions {
  std::size_t agents = 4;
  std::size_t chunks = 64;
  std::uint32_t chunk_size = 1024;
  std::uint32_t last_chunk = 100;   // bytes
  double link = 100 * 1024;         // bytes per second
  double origin_rate = 200 * 1024;  // bytes per second
  // Concurrent reads share the origin's rate; otherwise it sends one chunk after the other.
  bool origin_shares = false;
  Duration latency = std::chrono::milliseconds(1);
  bool favour_origin_bytes = false;
  SpreadStrategy strategy = SpreadStrategy::kSwarm;
  std::uint64_t seed = 1;
  std::size_t remote_agents = 0;    // number of agents, from the end, outside the origin's region
  double inter_region = 50 * 1024;  // bytes per second
  // The links of agents 0, `slow_every`, 2 * `slow_every`, ... have the rate `slow_link` in each
  // direction; 0: none.
  std::size_t slow_every = 0;
  double slow_link = 0;  // bytes per second
  // Actual rate of the other links. It is lower than the rate in the spreaders' options, because
  // headers and live requests use a part of the link; 0: unlimited.
  double real_link = 0;  // bytes per second
  double weights_share = 1;
  bool probe_links = false;  // agents probe their links for congestion
  // Limits and deadlines of the spreaders; VMs, regions and rates are set from the fields above.
  SpreadOptions spread = {};
};

// Messages are delivered after a fixed latency.
class SpreadHarness {
 public:
  explicit SpreadHarness(const HarnessOptions& options);

  // Gives every agent the member list and the wanted version.
  void StartAll();
  void StartAgent(std::size_t agent);
  void SetMembers(std::size_t agent, const std::set<std::size_t>& members);
  // Runs for `max_time`, or until `done` returns true.
  void Run(Duration max_time, const std::function<bool()>& done);
  bool RunUntilComplete(Duration max_time);

  void Kill(std::size_t agent) { this->agents[agent].alive = false; }
  // Restarts the agent without its chunks.
  void Restart(std::size_t agent);

  bool IsComplete(std::size_t agent) const;
  bool AllComplete() const;
  bool IsSlow(std::size_t agent) const {
    return this->options.slow_every > 0 && agent % this->options.slow_every == 0;
  }
  // Whether at least this part of the agents with a fast link hold a complete copy.
  bool FastComplete(double part) const;
  const std::vector<std::byte>& Weights() const { return this->weights; }
  std::size_t Holders(std::uint32_t chunk) const;
  double OriginCopies() const;
  // Mean time that a chunk was queued at the links of sender and receiver, in seconds.
  double MeanQueue() const {
    return this->transfers == 0 ? 0 : this->queue_sum / static_cast<double>(this->transfers);
  }
  // Queueing delay of a small message at an agent's link, the sum of both directions.
  Duration QueueOf(std::size_t agent) const;
  // Bytes sent between regions, in copies of the weights.
  double CrossedCopies() const;
  // Lower bound for the time until all N agents hold weights of S bytes, in seconds:
  // max(S/origin, S/link, N*S/(origin + N*link)).
  double BoundSeconds() const;
  double Seconds() const { return ToSeconds(this->now - this->begin); }

  struct Agent {
    std::unique_ptr<ChunkStore> store = {};
    std::unique_ptr<ChunkSpreader> spreader = {};
    bool alive = true;
    bool silent = false;         // receives and sends nothing, but is still a member
    bool corrupts = false;       // flips a byte in every chunk it sends
    bool origin_stalls = false;  // its reads from the origin fail after 3 s
    int epoch = 0;               // incremented at each restart
    std::size_t stops = 0;
    std::size_t resumes = 0;
    std::size_t origin_reads = 0;
    std::size_t corrupt_received = 0;
    Instant sent_until = {};      // its uplink is busy until then
    Instant received_until = {};  // its downlink is busy until then
    CongestionDetector congestion = CongestionDetector();
    LinkStateChanged link_status = {};
    std::size_t times_narrow = 0;
  };
  std::vector<Agent> agents = {};
  bool origin_down = false;
  bool origin_changed = false;
  bool probes_see_changes = true;
  Duration throttle_next = {};  // above 0: the next read fails with status 429 and this Retry-After
  std::size_t control_messages = 0;
  std::shared_ptr<const Manifest> manifest = {};
  Instant begin = Instant(std::chrono::hours(1));
  Instant now = this->begin;

 private:
  struct Task {
    Instant due;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Task& other) const {
      return std::tie(this->due, this->order) > std::tie(other.due, other.order);
    }
  };

  std::string NameOf(std::size_t agent) const { return "vm" + std::to_string(agent); }
  std::string RegionOf(std::size_t agent) const {
    return agent + this->options.remote_agents < this->options.agents ? "a" : "b";
  }
  std::size_t IndexOf(const std::string& peer) const { return std::stoul(peer.substr(2)); }
  void At(Instant due, std::function<void()> run);
  void CreateAgent(std::size_t agent);
  void HandleEvent(std::size_t agent, const SpreadEvent& event);
  // Delivers `event` after the latency.
  void Deliver(std::size_t from, const std::string& to, SpreadEvent event);
  // Runs `arrived` when `bytes` have passed the uplink of `from` and the downlink of `to`. Without
  // `from` they come from the origin, whose link is simulated separately.
  void Transfer(std::optional<std::size_t> from, std::size_t to, double bytes,
                std::function<void()> arrived);
  // Queues a transfer through one direction of a link; returns the time at which it ends.
  Instant PassLink(std::size_t agent, Instant& busy_until, double bytes);
  void TickAgent(std::size_t agent, int epoch);
  void ProbeLink(std::size_t agent);

  void Do(std::size_t agent, const SendMap& action);
  void Do(std::size_t agent, const SendHave& action);
  void Do(std::size_t agent, const SendRequest& action);
  void Do(std::size_t agent, const SendCancel& action);
  void Do(std::size_t agent, const SendChunk& action);
  void Do(std::size_t agent, const SendRefusal& action);
  void Do(std::size_t agent, const SendHold& action);
  void Do(std::size_t agent, const ReadOrigin& action);
  void Do(std::size_t agent, const ProbeOrigin& action);
  void Do(std::size_t agent, const CopyStopped&) { ++this->agents[agent].stops; }
  void Do(std::size_t agent, const CopyResumed&) { ++this->agents[agent].resumes; }
  void Do(std::size_t, const CopyComplete&) {}
  void Do(std::size_t agent, const ChunkTransferTimed& action) {
    this->agents[agent].congestion.OnChunkTransferred(action.time, this->now);
  }
  SpreadEvent OriginAnswer(std::size_t agent, std::uint32_t chunk);
  struct OriginRead {
    std::size_t agent = 0;
    int epoch = 0;
    std::uint32_t chunk = 0;
    double bytes_left = 0;
  };
  // Updates the concurrent reads to the current time and schedules the end of the next one.
  void AdvanceOrigin();

  HarnessOptions options;
  Random random;
  std::vector<std::byte> weights = {};
  std::priority_queue<Task> tasks = {};
  std::uint64_t next_order = 0;
  Instant origin_free = {};
  std::vector<OriginRead> origin_reads = {};  // in progress, sharing the origin's rate
  Instant origin_advanced = {};
  std::uint64_t origin_schedule = 0;  // incremented when the end of the next read is rescheduled
  double queue_sum = 0;               // seconds
  std::uint64_t transfers = 0;
  double origin_bytes = 0;
  double crossed_bytes = 0;
};

}  // namespace savory
