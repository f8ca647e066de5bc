// Decides whether a request is retried after a failed attempt, and otherwise how it is answered.
#pragma once

#include <cstdint>
#include <string_view>

#include "relay/routing_rules.h"

namespace savory {

// How an attempt ended without a complete, successful answer.
enum class AttemptEnd {
  kNotSent,      // no connection: the request never arrived, so it did not run
  kNotRun,       // the upstream reported that it did not run the request
  kServerError,  // complete answer with a 5xx status: the request ran
  kNoAnswer,     // the connection ended before an answer: may have run
  kBrokenOff,    // the answer was truncated: the request ran
  kNotAnswered,  // what came was no answer to the request: may have run
  kSilent,       // this entry gave up waiting for an answer: may have run
  kWithdrawn,    // this entry closed the connection before the answer began: may have run
};

std::string_view AttemptEndName(AttemptEnd end);

// State of one request over its attempts so far.
struct RequestHistory {
  RequestKind kind = RequestKind::kNonIdempotent;
  bool resumable = false;  // another upstream can continue after what was delivered
  std::uint32_t max_attempts = 1;
  std::uint32_t may_have_run = 0;  // number of attempts that ran or may have run
  std::uint32_t not_run = 0;       // number of attempts that certainly did not run
  bool delivered = false;          // a part of an answer's body was sent to the caller
  // An engine where it ran holds newer weights by now, or is due to load some: it ended the attempt
  // for that, or will be back with them. A begun answer may go on there even after `max_attempts`,
  // as these bound the number of engines.
  bool may_return = false;
};

enum class NextStep {
  kRetry,          // at another upstream; a stream resumes after its last event
  kAnswerNotRun,   // answer that the request has not run and will not run
  kAnswerUnknown,  // answer that the request may have run
  kForwardError,   // pass the upstream's server error on
  kAbort,          // part of an answer was sent: reset the connection to the caller
};

// Maximum number of retries of a request after attempts that certainly did not run, unless part of
// its answer was delivered. A refusal costs only a round trip, but its retry counts against the
// pool's retry budget.
inline constexpr std::uint32_t kMaxRefusals = 3;

// Whether the request may be retried after an attempt that ran or may have run.
bool MayRerun(const RequestHistory& history);

// Priorities in an engine's queue; 0 is the most urgent. An engine admits by priority first, then
// by arrival time. With the operators' priorities, a less urgent request that is second in the
// queue would wait 1.0 to 1.4 s while more urgent ones overtake it. So these apply only when an
// entry chooses which request to send next.
inline constexpr int kRerunPriority = 2;        // an earlier attempt may have run
inline constexpr int kNewRequestPriority = 5;   // served in order of arrival
inline constexpr int kCallerRetryPriority = 7;  // misses its latency target anyway
int EngineQueuePriority(const RequestHistory& history, bool is_caller_retry);

// `may_retry`: the time left and the retry budget allow another attempt.
NextStep PlanNext(const RequestHistory& history, AttemptEnd end, bool may_retry);

}  // namespace savory
