// Simulates an engine in virtual time, with the timing model that its operators publish.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "relay/routing_rules.h"
#include "relay/upstream.h"

namespace savory {

// A request as processed by an engine.
struct EngineJob {
  std::uint64_t id = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t events = 1;  // of its answer stream
};

// Progress of one job in a pass.
struct JobProgress {
  std::uint64_t id = 0;
  bool is_first_event = false;  // produced its first event
  bool is_done = false;         // produced its last event
};

// Runs in passes. A pass processes the prompts of the requests that were admitted to free slots,
// then generates one event for each running request. The owner calls EndPass() at PassEnd().
class EngineModel {
 public:
  EngineModel(const EngineRates& rates, std::uint32_t queue_limit)
      : rates(rates), queue_limit(queue_limit) {}

  // Returns false if the queue is full or the engine is offline.
  bool Enqueue(const EngineJob& job, Instant now);
  // Returns the end of the pass in progress; nullopt while the engine is idle.
  std::optional<Instant> PassEnd() const { return this->pass_end; }
  std::vector<JobProgress> EndPass();

  // Stops the admission of queued requests, so that a load can start once none is running.
  void BeginLoad() { this->loading = true; }
  void EndLoad(Instant now);
  // Whether BeginLoad() was called and no request is running.
  bool IsReadyToLoad() const { return this->loading && this->running.empty(); }
  // An engine that goes offline loses its running and queued requests.
  void SetOffline(bool value);
  bool IsOffline() const { return this->offline; }

  UpstreamLoad Load() const;
  // Slowdown factor; above 1: slower than the published rates.
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
