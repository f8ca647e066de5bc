#include "base/error.h"

#include <array>
#include <cassert>

namespace savory {
namespace {

using Kind = ErrorKind;
using Outcome = RunOutcome;

constexpr std::array kAnswers = {
    ErrorAnswer{Kind::kInvalidRequest, "invalid-request", 400, Outcome::kRejected},
    ErrorAnswer{Kind::kNoRoute, "no-route", 404, Outcome::kRejected},
    ErrorAnswer{Kind::kKeyReused, "key-reused", 422, Outcome::kRejected},
    ErrorAnswer{Kind::kRateLimited, "rate-limited", 429, Outcome::kRefusedByLimit},
    ErrorAnswer{Kind::kConcurrencyLimited, "concurrency-limited", 429, Outcome::kRefusedByLimit},
    ErrorAnswer{Kind::kOverloaded, "overloaded", 503, Outcome::kRefusedByLimit},
    ErrorAnswer{Kind::kDeadlineUnmeetable, "deadline-unmeetable", 503, Outcome::kRefusedByLimit},
    ErrorAnswer{Kind::kNoUpstream, "no-upstream", 503, Outcome::kNotRun},
    ErrorAnswer{Kind::kOutsideHomes, "outside-homes", 503, Outcome::kNotRun},
    ErrorAnswer{Kind::kDraining, "draining", 503, Outcome::kNotRun},
    ErrorAnswer{Kind::kClaimUnavailable, "claim-unavailable", 503, Outcome::kNotRun},
    ErrorAnswer{Kind::kClaimShardFull, "claim-shard-full", 503, Outcome::kNotRun},
    ErrorAnswer{Kind::kNotRun, "not-run", 503, Outcome::kNotRun},
    ErrorAnswer{Kind::kRequestCrashesUpstream, "request-crashes-upstream", 422, Outcome::kNotRun},
    ErrorAnswer{Kind::kAlreadyDone, "already-done", 409, Outcome::kAnswered},
    ErrorAnswer{Kind::kOutcomeUnknown, "outcome-unknown", 504, Outcome::kOutcomeUnknown},
    ErrorAnswer{Kind::kAnswerBroken, "answer-broken", 502, Outcome::kOutcomeUnknown},
    ErrorAnswer{Kind::kInvalidSettings, "invalid-settings", 500, Outcome::kRejected},
    ErrorAnswer{Kind::kInvalidTable, "invalid-table", 422, Outcome::kRejected},
    ErrorAnswer{Kind::kEditConflict, "edit-conflict", 409, Outcome::kRejected},
    ErrorAnswer{Kind::kRowNotFound, "row-not-found", 404, Outcome::kRejected},
    ErrorAnswer{Kind::kUnavailable, "unavailable", 503, Outcome::kNotRun},
    ErrorAnswer{Kind::kTimeout, "timeout", 504, Outcome::kOutcomeUnknown},
    ErrorAnswer{Kind::kWriteOutcomeUnknown, "write-outcome-unknown", 504, Outcome::kOutcomeUnknown},
    ErrorAnswer{Kind::kNotFound, "not-found", 404, Outcome::kRejected},
    ErrorAnswer{Kind::kLeaseHeld, "lease-held", 409, Outcome::kNotRun},
    ErrorAnswer{Kind::kLeaseLost, "lease-lost", 409, Outcome::kNotRun},
    ErrorAnswer{Kind::kStaleFence, "stale-fence", 409, Outcome::kNotRun},
    ErrorAnswer{Kind::kRateLimitedByStore, "rate-limited-by-store", 429, Outcome::kRefusedByLimit},
    ErrorAnswer{Kind::kDigestMismatch, "digest-mismatch", 502, Outcome::kRejected},
    ErrorAnswer{Kind::kMalformed, "malformed", 400, Outcome::kRejected},
    ErrorAnswer{Kind::kQueueFull, "queue-full", 503, Outcome::kRefusedByLimit},
    ErrorAnswer{Kind::kCancelled, "cancelled", 499, Outcome::kOutcomeUnknown},
};

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kAnswers.size() && kAnswers[index].kind == kind);
  return kAnswers[index];
}

std::span<const ErrorAnswer> ErrorAnswers() { return kAnswers; }

std::string_view OutcomeName(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kAnswered:
      return "answered";
    case RunOutcome::kNotRun:
      return "not-run";
    case RunOutcome::kOutcomeUnknown:
      return "unknown";
    case RunOutcome::kRefusedByLimit:
      return "refused-by-limit";
    case RunOutcome::kRejected:
      return "rejected";
  }
  return "unknown";
}

std::string Describe(const Error& error) {
  std::string text(AnswerFor(error.kind).name);
  if (!error.detail.empty()) text += ": " + error.detail;
  return text;
}

}  // namespace savory
