// What to do after an attempt that did not bring a whole answer.
#pragma once

#include <cstdint>
#include <string_view>

#include "relay/routing_rules.h"

namespace savory {

// How an attempt ended without a whole answer.
enum class AttemptEnd {
  kNotSent,      // no connection: certainly not run, and it never arrived
  kNotRun,       // the upstream says that it did not run it
  kServerError,  // a complete answer with a server error: it ran
  kNoAnswer,     // the connection ended before an answer: it may have run
  kBrokenOff,    // the answer ended early: it ran
  kSilent,       // given up by this entry after a time without an answer: it may have run
};

std::string_view AttemptEndName(AttemptEnd end);

// One request so far.
struct RequestHistory {
  RequestKind kind = RequestKind::kNonIdempotent;
  bool resumable = false;
  std::uint32_t max_attempts = 1;
  std::uint32_t may_have_run = 0;  // attempts that ran or may have run
  std::uint32_t not_run = 0;       // attempts that certainly did not
  bool delivered = false;          // a part of an answer reached the caller
};

enum class NextStep {
  kRetry,          // at another upstream; a stream goes on after its last event
  kAnswerNotRun,   // the request has not run and never will
  kAnswerUnknown,  // it may have run
  kForwardError,   // pass on the server error
  kBreak,          // the caller has a part: close the connection
};

// Upstreams that refuse one request before it is given up. A refusal costs a round trip only, but a
// repeat of it counts against the budget of all entries.
inline constexpr std::uint32_t kMaxRefusals = 3;

bool MayRerun(const RequestHistory& history);

// Priorities in the queue of an engine, 0 being the first. An engine admits by priority before
// arrival, so with the operators' priorities a less urgent request that was placed behind one other
// waited 1.0 to 1.4 s while later ones passed it. Operators' priorities decide who is placed.
inline constexpr int kRerunPriority = 2;        // a caller waits in the middle of an answer
inline constexpr int kNewRequestPriority = 5;   // by arrival
inline constexpr int kCallerRetryPriority = 7;  // late whatever happens
int EngineQueuePriority(const RequestHistory& history, bool is_caller_retry);

// `may_retry`: there is time left and the repeat budget grants one more.
NextStep PlanNext(const RequestHistory& history, AttemptEnd end, bool may_retry);

}  // namespace savory
