// Tells operators where a request would go now, and why, without sending it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "relay/dispatch_explanation.h"
#include "relay/routing_rules.h"

namespace savory {

class Dispatcher;
class RoutingIndex;

inline constexpr std::size_t kMaxExplainedPools = 4;

// A request as a caller would send it.
struct RequestQuestion {
  std::string host = {};
  std::string path = {};
  std::string api_key = {};  // empty: none
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;  // upper bound
  std::size_t body_bytes = 0;
  std::optional<Duration> time_left = {};  // until the caller gives up; nullopt: the route's time
  // The caller was refused before. It is also taken for that with too little time left.
  bool returned = false;
  std::size_t max_upstreams = 20;  // described for each pool
};

// An answer of the entry itself, before any choice of an upstream.
struct EarlyRefusal {
  int status = 503;
  std::string reason = {};
  std::optional<Duration> retry_after = {};
};

struct PoolExplanation {
  std::string pool = {};
  double part = 0;  // of the route's requests
  DispatchExplanation dispatch = {};
};

struct RequestExplanation {
  std::uint64_t rules_version = 0;  // 0: none are known
  std::string route = {};           // empty: none
  RequestKind kind = RequestKind::kNonIdempotent;
  std::string account = {};  // empty: none
  int priority = 0;
  std::string homes = {};  // as HomeRegions::Text()
  Duration target = {};
  bool returned = false;                    // taken for a caller's retry
  std::vector<std::string> evacuated = {};  // data centres, the first twenty
  std::size_t evacuated_left_out = 0;
  std::optional<EarlyRefusal> refusal = {};
  std::vector<PoolExplanation> pools = {};  // none after an early refusal
  std::size_t pools_left_out = 0;
};

// What an entry knows as it is asked.
struct ExplanationBasis {
  const RoutingIndex* rules = nullptr;  // nullptr: none are known
  const Dispatcher& dispatcher;
  bool stopping = false;              // no request is accepted any more
  Instant stop_end = Instant::max();  // of a planned stop
  Duration unconfigured_retry_after = {};
  // Whether a request with so much time left is taken for a caller's retry.
  std::function<bool(const RouteRule& route, std::optional<Duration> time_left)> is_caller_retry;
  // The usual time of the answers of a route; nullopt: unknown.
  std::function<std::optional<Duration>(std::string_view route)> usual_answer;
};

// The reason that callers read when the dispatcher refuses.
std::string_view RefusalReason(ErrorKind kind);

RequestExplanation ExplainRequest(const RequestQuestion& question, const ExplanationBasis& basis,
                                  Instant now);

}  // namespace savory
