// The closed list of error kinds, the table from kind to answer, and Result.
#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"

namespace savory {

// Every failure that crosses a module boundary is one of these kinds.
enum class ErrorKind {
  // Answers to callers.
  kInvalidRequest,
  kNoRoute,
  kKeyReused,
  kRateLimited,
  kConcurrencyLimited,
  kOverloaded,
  kDeadlineUnmeetable,
  kNoUpstream,
  kDraining,
  kClaimUnavailable,
  kClaimShardFull,
  kNotRun,
  kRequestCrashesUpstream,
  kAlreadyDone,
  kOutcomeUnknown,
  kAnswerBroken,
  // Operators and settings.
  kInvalidSettings,
  kInvalidTable,
  kEditConflict,
  kRowNotFound,
  // Platform and peers.
  kUnavailable,
  kTimeout,
  kWriteOutcomeUnknown,
  kNotFound,
  kLeaseHeld,
  kLeaseLost,
  kStaleFence,
  kRateLimitedByStore,
  kDigestMismatch,
  kMalformed,
  kQueueFull,
  kCancelled,
};

// What a caller may conclude about its request.
enum class RunOutcome {
  kAnswered,
  kNotRun,          // certain
  kOutcomeUnknown,  // may have run
  kRefusedByLimit,  // certain not to have run; Retry-After is set
  kRejected,        // invalid input; did not run
};

// One row of the table from error kind to answer.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  // in logs, JSON bodies and metrics
  int http_status;
  RunOutcome outcome;
};

// An error with a detail for people. `retry_after` is set when the caller
// should wait.
struct Error {
  ErrorKind kind = ErrorKind::kUnavailable;
  std::string detail = {};
  std::optional<Duration> retry_after = std::nullopt;
};

// Either a value or an Error; never throws on access to the wrong side, asserts
// instead.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

// Returns the row for `kind`.
const ErrorAnswer& AnswerFor(ErrorKind kind);

// The whole table, in the order of ErrorKind.
std::span<const ErrorAnswer> ErrorAnswers();

// Value of the header X-Savoryrouter-Outcome: "answered", "not-run", "unknown",
// "refused-by-limit" or "rejected".
std::string_view OutcomeName(RunOutcome outcome);

// "name: detail", for log lines and standard error.
std::string Describe(const Error& error);

}  // namespace savory
