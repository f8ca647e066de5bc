// Queueing, deduplication and result storage for the attempts at one upstream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gate/gate_events.h"

namespace savory {

struct UpstreamGateOptions {
  std::uint64_t incarnation = 0;  // of the agent
  bool engine = true;             // false: plain service
  std::size_t max_running = 64;
  std::size_t max_queued = 64;
  Duration record_lifetime = std::chrono::minutes(10);  // of received or barred attempts
  Duration result_lifetime = std::chrono::seconds(60);
  std::size_t max_result_bytes = 1u << 20;                      // stored of one answer, for resends
  std::size_t max_stored_bytes = 64u << 20;                     // stored of all answers
  Duration down_probe_period = std::chrono::milliseconds(200);  // while the upstream is unreachable
  Duration healthy_probe_period = std::chrono::seconds(1);      // while an engine is reachable
  // A non-idempotent call may run this long beyond its deadline, so that queries can return its
  // outcome.
  Duration max_overrun = std::chrono::seconds(30);
  // Within it after a pause of this process, messages that waited meanwhile are handled.
  Duration pause_settle_time = std::chrono::milliseconds(250);
};

// Sends each attempt to the upstream at most once, and only while the upstream serves the weights
// that the attempt requires. Keeps a record of each attempt that it has received or barred. To bar
// an attempt means to ensure that it never runs: its start is refused if it arrives later.
class UpstreamGate {
 public:
  explicit UpstreamGate(UpstreamGateOptions options);

  std::vector<GateAction> Handle(const GateEvent& event, Instant now);

  bool IsIdle() const { return this->running == 0 && this->queue.empty(); }
  bool IsReady() const { return this->ready && !this->upstream_down; }
  bool IsLeaving() const { return this->draining; }
  std::size_t Running() const { return this->running; }
  std::size_t Queued() const { return this->queue.size(); }
  const Digest& Serving() const { return this->serving; }

 private:
  enum class State { kQueued, kRunning, kAwaitingProbe, kEnded, kBarred };

  struct Record {
    State state = State::kQueued;
    StartReceived start;
    Instant deadline = {};
    Instant started = {};
    Instant expires_at = {};
    std::uint32_t parts = 0;         // produced so far, including part 0
    std::uint32_t first_stored = 0;  // lower parts have been dropped
    std::deque<std::size_t> stored_part_sizes = {};
    std::size_t stored_bytes = 0;
    wire::AttemptOutcome outcome = wire::ATTEMPT_COMPLETE;
    ErrorKind reason = ErrorKind::kNotRun;
    bool cancelled = false;
    bool wrong_weights = false;
  };

  void On(const StartReceived& event);
  void On(const CancelReceived& event);
  void On(const QueryReceived& event);
  void On(const GatePaused& event);
  void On(const HeadReceived& event);
  void On(const BodyReceived& event);
  void On(const CallEnded& event);
  void On(const UpstreamProbed& event);
  void On(const ReadinessSet& event);
  void On(const DrainRequested& event);
  void On(const GateTick& event);

  // Returns the reason to refuse a start, or nullopt.
  std::optional<ErrorKind> RefusalFor(const StartReceived& start) const;
  bool MakeRoomFor(const StartReceived& start);
  void Bar(const AttemptKey& id);
  void Dispatch();
  void Run(const AttemptKey& id, Record& record);
  void AddPart(const AttemptKey& id, Record& record, std::size_t bytes);
  void TrimParts(const AttemptKey& id, Record& record);
  void End(const AttemptKey& id, Record& record, wire::AttemptOutcome outcome, ErrorKind reason);
  void RemoveFromRunning(const AttemptKey& id, Record& record);
  void RefuseQueued(const AttemptKey& id, ErrorKind reason);
  void RefuseAllQueued(ErrorKind reason);
  void ResendStored(const AttemptKey& id, const Record& record, const QueryReceived& query);
  void MarkDown();
  void Probe();
  void ExpireRecords();
  void CancelOverdue();
  void FinishDrain();
  bool MayHaveExpired(const AttemptKey& id) const;
  Duration ExpectedWait() const;

  UpstreamGateOptions options;
  std::map<AttemptKey, Record> records = {};
  std::multimap<Instant, AttemptKey> expiry = {};
  // The highest expired sequence number of each entry incarnation. An attempt up to this number may
  // have had a record, so whether it ran is unknown.
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> expired_sequences = {};
  // (-priority, order of arrival) -> attempt.
  std::map<std::pair<int, std::uint64_t>, AttemptKey> queue = {};
  std::set<AttemptKey> active = {};     // running or awaiting a probe
  std::deque<AttemptKey> results = {};  // ended attempts with stored parts, oldest first
  std::uint64_t arrivals = 0;
  std::size_t running = 0;
  std::size_t stored_bytes = 0;
  Digest serving = {};
  bool ready = false;
  bool draining = false;
  bool drained = false;
  bool upstream_down = false;
  bool probing = false;
  bool probe_again = false;
  Instant next_probe = {};
  std::uint64_t upstream_incarnation = 0;  // engines only
  // Used as the incarnation of plain services, which do not report one.
  std::uint64_t outages = 0;
  double mean_service_seconds = 0;
  Duration pause = {};         // the last pause of this process
  Instant waiting_until = {};  // a start that is handled before may have waited during `pause`

  // Valid during Handle().
  Instant now = {};
  std::vector<GateAction> actions = {};
};

}  // namespace savory
