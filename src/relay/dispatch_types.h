// Inputs and outputs of Dispatcher.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "placement/home_regions.h"
#include "placement/leaving_policy.h"

namespace savory {

// Identifies one attempt of a request within one entry process.
using AttemptNumber = std::uint64_t;

// An engine that an attempt was sent to, and the weights that it held then.
struct EngineTry {
  std::string upstream;  // id
  std::uint64_t weights_version = 0;
  bool may_have_run = false;  // this attempt or an earlier one there
};

struct DispatchRequest {
  AttemptNumber attempt = 0;
  std::string pool = {};
  Instant arrived = {};   // arrival of the request, not start of this attempt
  Duration target = {};   // latency target: an answer within it has its full value
  Instant deadline = {};  // after it the caller no longer waits
  // After it the caller sends the request no more. Ignored if earlier than `deadline`.
  Instant caller_deadline = {};
  int priority = 5;  // 0 is the most urgent
  std::uint32_t prompt_tokens = 0;
  std::uint32_t answer_tokens = 0;             // upper bound
  Duration max_pause = std::chrono::hours(1);  // longest pause between two events for full value
  // The caller retries a request that was refused before, so the answer misses its target anyway.
  bool is_caller_retry = false;
  // An earlier attempt ran or may have run: this one is sent to an upstream even if it has to queue
  // there.
  bool rerun = false;
  // Part of an answer reached the caller. Without an upstream that goes on the answer is lost, so
  // this rerun waits for one until its deadline.
  bool answer_begun = false;
  bool may_probe = false;                 // may be sent to a half-open upstream
  std::vector<std::string> avoided = {};  // ids of upstreams that were tried already
  // An engine interrupts what runs there to load new weights, and refuses requests meanwhile. Once
  // it holds them it is avoided no more.
  std::vector<EngineTry> tries = {};
  bool only_former = false;   // no attempts are left: it is sent only to engines where it has run
  HomeRegions homes = {};     // the regions that it may be sent to
  bool within_floor = false;  // set by Dispatcher: see Admission::OnAsked()
  std::size_t body_bytes = 0;
};

struct SendTo {
  std::string upstream;  // id
  std::string address;
  std::int64_t started_unix_ms = 0;  // start time of the upstream; 0: unknown
  std::uint64_t weights_version = 0;
  // Values behind the decision, for the log.
  Duration predicted = {};  // until the first event
  double load = 0;          // requests at the upstream
  Duration report_age = {};
  LeavingReason left = LeavingReason::kStays;  // why it leaves the data centre
};
struct KeepWaiting {};
struct RefuseRequest {
  ErrorKind kind = ErrorKind::kOverloaded;
  Duration retry_after = {};
  // Values behind the decision, for the log.
  std::size_t usable = 0;  // upstreams that may be used for the request
  // Sums over the pool's upstreams: this entry's share of the slots, the part of it that may be
  // used already, this entry's requests, and other entries' slots that it may use.
  std::uint32_t share = 0;
  std::uint32_t confirmed = 0;
  std::uint32_t own = 0;
  std::uint32_t borrowable = 0;
  std::string best = {};    // id of the upstream with the earliest predicted start
  Duration predicted = {};  // until the first event there
  double load = 0;          // requests there
  Duration report_age = {};
  bool limited = false;  // room was kept for more urgent requests
};

// An attempt without a first event that must not begin at its upstream any more, because the
// weights there are about to be outdated or are so already.
struct OutdatedAttempt {
  AttemptNumber attempt = 0;
  std::string upstream = {};  // id
  bool listed = true;         // the upstream is in the list
  std::uint64_t held = 0;     // version of the weights there
  std::uint64_t wanted = 0;   // version that is mandatory from the deadline on
  Duration time_left = {};    // until the deadline; negative after it
};

// A request began on weights that were outdated for good by then.
struct OverdueWeights {
  std::uint64_t wanted = 0;  // version that was mandatory
  Duration late = {};        // since its deadline
};

// An upstream was ejected, or is usable again after an ejection.
struct HealthChange {
  std::string upstream;  // id
  bool ejected = false;  // false: usable again
  Duration ejected_for = {};
  double failure_rate = 0;  // at the time of the change
};

struct DispatchVerdict {
  AttemptNumber attempt = 0;
  std::variant<SendTo, KeepWaiting, RefuseRequest> decision;
};

}  // namespace savory
