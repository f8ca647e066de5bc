// Serves callers: receives their requests, sends them to upstreams and returns the answers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "relay/crash_guard.h"
#include "relay/dispatcher.h"
#include "relay/pool_retry_budget.h"
#include "relay/routing_index.h"
#include "runtime/http_exchange.h"

namespace savory {

class EventLoop;
class HttpConnectionPool;
class Metrics;
class RelayCodec;
struct RequestExplanation;
struct RequestQuestion;

struct RelayOptions {
  DispatcherOptions dispatcher = {};
  PoolRetryBudgetOptions budget = {};
  CrashGuardOptions crashes = {};
  // Answers that are not streams are buffered up to this size, so that an idempotent request can be
  // retried when its answer is truncated.
  std::size_t max_buffered_answer = 1u << 20;
  // The same for all answers together.
  std::size_t max_buffered_answers = 32u << 20;
  // The upstream's answer is not read further while this many bytes of it are unsent because the
  // caller reads slowly.
  std::size_t pause_unsent_bytes = 128u << 10;
  // An answer of which nothing is passed on is given up after this many bytes.
  std::size_t max_ignored_bytes = 1u << 20;
  // The connection to a caller is closed when this many bytes of its answer are unsent because it
  // does not read.
  std::size_t max_unsent_bytes = 4u << 20;
  Duration connect_timeout = std::chrono::milliseconds(400);
  // A request that must not run twice is sent on an idle connection only this long after the last
  // answer there. The upstream may be closing one that has been idle longer, and the request would
  // be lost with it.
  Duration max_idle_non_retryable = std::chrono::milliseconds(300);
  // A request that may be rerun is retried elsewhere if no head, and then no first event, arrives
  // within the predicted time plus this multiple of the latency target. Callers give up after four
  // times the target.
  double first_byte_timeout_factor = 1.75;
  // A resumable stream without a byte for this multiple of the route's longest pause is resumed
  // elsewhere.
  double pause_timeout_factor = 4;
  // Retry-After of answers while no routing rules are known.
  Duration unconfigured_retry_after = std::chrono::milliseconds(500);
};

// All methods are called on the event loop's thread.
class Relay {
 public:
  // The references must outlive the relay.
  Relay(EventLoop& loop, HttpConnectionPool& upstreams, const RelayCodec& codec, Metrics& metrics,
        Random& random, RelayOptions options);
  ~Relay();

  // Handles one request of a caller.
  void Serve(const SharedExchange& exchange);
  // Whether Serve() would answer a request with this head without its body.
  bool RefusesByHead(const HttpHead& head) const;

  // What Serve() would do with a first attempt of such a request, without any effect.
  RequestExplanation Explain(const RequestQuestion& question) const;

  // As Dispatcher::SetRules.
  std::vector<std::string> SetRules(SharedRouting rules);
  Dispatcher& RequestDispatcher();
  PoolRetryBudget& Budget();
  CrashGuard& Crashes();
  // Called with each request that ended: whether it was served.
  using EndListener = std::function<void(bool served)>;
  void OnRequestEnd(EndListener listener);

  // The process stops at `end`. From now on a request is sent only if it can be answered before
  // that: by its time-out if it must not run twice, otherwise by the time that answers of its route
  // take. Others are refused, with a Retry-After of 0 so that callers go to another entry at once.
  void BeginStop(Instant end);
  // Refuses all further requests in the same way.
  void StopAccepting();
  // Answers all requests that are still in progress: as not run, or as possibly run. An answer that
  // has begun is broken off.
  void EndAll();
  std::size_t InProgress() const;
  // Withdraws attempts that could begin with outdated weights. Call every 100 ms.
  void WithdrawOutdated();

 private:
  friend class RelayedRequest;
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
