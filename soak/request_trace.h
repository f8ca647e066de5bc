// What callers and upstreams observed of one request.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/testing/caller_standin.h"
#include "relay/routing_rules.h"

namespace savory {

struct SentRequest {
  platform::CallerRequest request;
  RouteRule route;
  std::string account;
  std::string entry_vm;
  Instant sent = {};
  bool in_pieces = false;  // Checker::OnLastByteSent() follows
};

struct TracedRun {
  std::string upstream;
  Instant begun = {};
  std::optional<Instant> ended = {};
  bool broke_off = false;    // the upstream itself ended it early
  bool interrupted = false;  // by order, for new weights
};

struct RequestTrace {
  std::optional<Instant> last_byte_sent = {};
  std::vector<std::string> arrived_at = {};  // upstreams
  std::vector<TracedRun> runs = {};
  // The upstream that had it last has broken off, perhaps before it began.
  bool broke_off = false;

  // Whether an upstream worked on it between the two times.
  bool RanBetween(Instant from, Instant until) const;
  // All that is known, in ms since `origin`.
  std::string Describe(const SentRequest& sent, const platform::CallerAnswer& answer, Instant ended,
                       Instant origin) const;
};

}  // namespace savory
