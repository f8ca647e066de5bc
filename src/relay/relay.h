// Serves callers: takes their requests, sends them to upstreams and passes the answers back.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "relay/dispatcher.h"
#include "relay/pool_retry_budget.h"
#include "relay/routing_index.h"
#include "runtime/http_exchange.h"

namespace savory {

class EventLoop;
class HttpConnectionPool;
class Metrics;
class RelayCodec;

struct RelayOptions {
  DispatcherOptions dispatcher = {};
  PoolRetryBudgetOptions budget = {};
  // Answers that are no streams are kept whole up to this size, so that an idempotent request can
  // be repeated when its answer breaks off.
  std::size_t max_buffered_answer = 1u << 20;
  // A caller that does not read is cut off when this much of its answer waits.
  std::size_t max_unsent_bytes = 4u << 20;
  Duration connect_timeout = std::chrono::milliseconds(400);
  // Requests that must not be repeated use a kept connection only this long after its last answer;
  // an upstream may have dropped an older one, and the request would be lost with it.
  Duration max_idle_non_retryable = std::chrono::milliseconds(300);
  // A repeatable stream without its first event after this multiple of its target, beyond what was
  // predicted, is tried elsewhere. Callers give up at four times the target.
  double first_byte_timeout_factor = 1.75;
  // A resumable stream without a byte for this multiple of the longest pause is tried elsewhere.
  double pause_timeout_factor = 4;
  // Answers before an upstream may be overloaded: what to tell callers while no rules are known.
  Duration unconfigured_retry_after = std::chrono::milliseconds(500);
};

// All calls on the loop's thread.
class Relay {
 public:
  // The references must outlive the relay.
  Relay(EventLoop& loop, HttpConnectionPool& upstreams, const RelayCodec& codec, Metrics& metrics,
        Random& random, RelayOptions options);
  ~Relay();

  // A request of a caller.
  void Serve(const SharedExchange& exchange);

  void SetRules(SharedRouting rules);
  Dispatcher& RequestDispatcher();
  PoolRetryBudget& Budget();
  // Answers further requests "not run" and tells callers to return at once, to another entry.
  void StopAccepting();
  std::size_t InProgress() const;

 private:
  friend class RelayedRequest;
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
