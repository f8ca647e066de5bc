// The operators' two tables as the request path uses them: routes and pools, joined by name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace savory {

// What may be repeated of a request.
enum class RequestKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs at most once
  kStream,         // an answer of events; as kNonIdempotent unless the route is resumable
};

struct PoolShare {
  std::string pool;
  std::uint32_t weight = 1;  // relative to the other shares of the route
};

struct RouteRule {
  std::string name = {};
  std::string host = {};         // lower case
  std::string path_prefix = {};  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<PoolShare> pools = {};
  Duration timeout = std::chrono::seconds(60);        // longest time a request is kept waiting
  Duration target_latency = std::chrono::seconds(1);  // full value up to here; streams: first event
  Duration max_pause = std::chrono::seconds(1);       // streams: between two events
  std::uint32_t max_attempts = 1;                     // upstreams one request may be sent to
  int priority = 5;                                   // 0 is the most urgent
  bool auth_exempt = false;                           // needs no API key
  bool resumable = false;  // streams: another upstream may go on after the last event
};

// How fast an engine of a pool works, as its operators publish it.
struct EngineRates {
  std::uint32_t slots = 1;                         // requests that it runs at once
  Duration step = std::chrono::milliseconds(10);   // one token for each running request
  Duration step_per_request = {};                  // added to the step for each running request
  Duration step_per_1000_context = {};             // added for each 1,000 tokens of context
  std::uint32_t steps_per_event = 1;               // tokens in one event of a stream
  double prefill_tokens_per_second = 10'000;       // prompt tokens
  double attention_seconds_per_million_pairs = 0;  // for pairs of a prompt token and an earlier one
  std::uint32_t prefill_chunk_tokens = 2048;       // read between two steps at most
  std::uint64_t kv_tokens = 0;                     // memory for requests; 0: not limited
  std::uint32_t mean_prompt_tokens = 500;          // mean
  std::uint32_t mean_answer_tokens = 100;          // mean
};

struct PoolRule {
  std::string name;
  std::uint32_t max_connections = 64;      // each upstream takes from all callers together
  std::optional<EngineRates> engine = {};  // empty: a plain service
  std::vector<std::string> models = {};    // that its engines run
};

// Where model weights come from.
struct WeightsOrigin {
  std::string address;  // IP:PORT
  std::string data_centre = {};
  double bytes_per_second = 1e6;  // of its link
};

struct AccountRule {
  std::string name;
  std::vector<std::string> api_keys = {};
  int priority = -1;  // goes before the route's priority; -1: none
};

// What a caller may send.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 4 * 1024 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

struct RoutingRules {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes = {};
  std::vector<PoolRule> pools = {};
  std::vector<AccountRule> accounts = {};  // empty: requests need no API key
  CallerLimits limits = {};
  std::optional<WeightsOrigin> origin = {};
};

}  // namespace savory
