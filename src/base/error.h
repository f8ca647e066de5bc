// Error kinds, the answers to callers that they map to, and Result.
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
  kOutsideHomes,
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
  kNotRun,          // certainly not run
  kOutcomeUnknown,  // may have run
  kRefusedByLimit,  // certainly not run; the answer may carry Retry-After
  kRejected,        // invalid input; did not run
};

// One row of the table from error kind to answer.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  // in logs, JSON bodies and metrics
  int http_status;
  RunOutcome outcome;
};

// `detail` is a human-readable text. `retry_after` is set if the caller should wait before it
// retries.
struct Error {
  ErrorKind kind = ErrorKind::kUnavailable;
  std::string detail = {};
  std::optional<Duration> retry_after = std::nullopt;
};

// Either a value or an Error. Reading the one that it does not hold fails an assertion and never
// throws; with NDEBUG it is undefined behaviour.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

const ErrorAnswer& AnswerFor(ErrorKind kind);

// All rows, in the order of ErrorKind.
std::span<const ErrorAnswer> ErrorAnswers();

// Value of the header X-Savoryrouter-Outcome: "answered", "not-run", "unknown",
// "refused-by-limit" or "rejected".
std::string_view OutcomeName(RunOutcome outcome);

// "name: detail", for log lines and standard error.
std::string Describe(const Error& error);

}  // namespace savory
