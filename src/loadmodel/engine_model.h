// An engine in virtual time, after the pass model that operators publish.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "relay/routing_rules.h"
#include "relay/upstream.h"

namespace savory {

// A request as an engine works on it.
struct EngineJob {
  std::uint64_t id = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t events = 1;  // of its stream
};

// What one job did at the end of a pass.
struct JobProgress {
  std::uint64_t id = 0;
  bool is_first_event = false;  // its first event
  bool is_done = false;         // its last event
};

// Works in passes: reads the prompts of the requests that got a place, then writes one event for
// each request. The owner calls EndPass() at PassEnd().
class EngineModel {
 public:
  EngineModel(const EngineRates& rates, std::uint32_t queue_limit)
      : rates(rates), queue_limit(queue_limit) {}

  // Returns false when the queue is full or the engine is away.
  bool Enqueue(const EngineJob& job, Instant now);
  // End of the pass in progress; nullopt while the engine is idle.
  std::optional<Instant> PassEnd() const { return this->pass_end; }
  std::vector<JobProgress> EndPass();

  // A load order: nothing new begins; the load begins when the running requests have ended.
  void BeginLoad() { this->loading = true; }
  void EndLoad(Instant now);
  // The load may begin: an order is pending and no request runs.
  bool IsReadyToLoad() const { return this->loading && this->running.empty(); }
  // The engine is lost, or it joins.
  void SetOffline(bool value);
  bool IsOffline() const { return this->offline; }

  UpstreamLoad Load() const;
  void SetPace(double value) { this->pace = value; }
  double Pace() const { return this->pace; }

 private:
  struct Running {
    EngineJob job;
    std::uint32_t remaining_events = 0;
    bool prefilled = false;
  };

  void BeginPass(Instant now);

  EngineRates rates;
  std::uint32_t queue_limit;
  double pace = 1;
  bool loading = false;
  bool offline = false;
  std::deque<EngineJob> queue = {};
  std::vector<Running> running = {};
  std::optional<Instant> pass_end = {};
};

}  // namespace savory
