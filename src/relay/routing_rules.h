// The operators' route table and pool table in the form that the request path uses. Routes refer to
// pools by name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "placement/cold_limits.h"
#include "placement/home_regions.h"
#include "placement/leaving_policy.h"

namespace savory {

// How a request may be retried.
enum class RequestKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs at most once
  kStream,         // answered by an event stream; as kNonIdempotent unless resumable
};

struct PoolShare {
  std::string pool;
  std::uint32_t weight = 1;  // relative to the route's other pools
};

struct RouteRule {
  std::string name = {};
  std::string host = {};         // lower case
  std::string path_prefix = {};  // begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<PoolShare> pools = {};
  Duration timeout = std::chrono::seconds(60);        // limit; streams that began may exceed it
  Duration target_latency = std::chrono::seconds(1);  // for full value; streams: until first event
  Duration max_pause = std::chrono::seconds(1);       // for full value; streams: between two events
  std::uint32_t max_attempts = 1;                     // attempts of one request that may run
  int priority = 5;                                   // 0 is the most urgent
  bool auth_exempt = false;                           // requests need no API key
  bool resumable = false;  // streams: another upstream may resume after the last event
  HomeRegions homes = {};  // where its requests may be served
};

// Speed of a pool's engines, as their operators publish it.
struct EngineRates {
  std::uint32_t slots = 1;                         // concurrent requests
  Duration step = std::chrono::milliseconds(10);   // decode step: one token per running request
  Duration step_per_request = {};                  // added to the step for each running request
  Duration step_per_1000_context = {};             // added for each 1,000 tokens of context
  std::uint32_t steps_per_event = 1;               // decode steps, thus tokens, in one stream event
  double prefill_tokens_per_second = 10'000;       // prompt tokens per second
  double attention_seconds_per_million_pairs = 0;  // pairs of a prompt token and an earlier one
  std::uint32_t prefill_chunk_tokens = 2048;       // prompt tokens between two decode steps at most
  std::uint64_t kv_tokens = 0;                     // KV cache size in tokens; 0: unlimited
  std::uint32_t mean_prompt_tokens = 500;
  std::uint32_t mean_answer_tokens = 100;
};

struct PoolRule {
  std::string name;
  std::uint32_t max_connections = 64;      // of each upstream, over all callers
  std::optional<EngineRates> engine = {};  // empty: the pool is a plain service
  std::vector<std::string> models = {};    // models that its engines run
  ColdRule cold = {};
};

// Server from which model weights are downloaded.
struct WeightsOrigin {
  std::string address;  // IP:PORT
  std::string data_centre = {};
  double bytes_per_second = 1e6;  // bandwidth of its link
};

struct AccountRule {
  std::string name;
  std::vector<std::string> api_keys = {};
  int priority = -1;       // overrides the route's priority; -1: none
  HomeRegions homes = {};  // where its requests may be served; binds beside those of the route
};

// Limits on what a caller may send.
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
  std::vector<AccountRule> accounts = {};  // empty: no request needs an API key
  CallerLimits limits = {};
  std::optional<WeightsOrigin> origin = {};
  std::vector<DataCentreWay> ways = {};  // between data centres, as far as they are known
};

}  // namespace savory
