#include "apps/ctl_refusals.h"

#include <iostream>

#include "runtime/http_client.h"

namespace savory {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

Result<void> RequireOperators(const CtlOptions& options) {
  if (!options.operators.empty()) return success();
  return Error{.kind = ErrorKind::kInvalidSettings,
               .detail = options.command + ": the option --operators is required"};
}

// The answer of the first entry that has `status`; the last other one, or an error, if none has.
Result<HttpAnswer> CallEntries(const CtlOptions& options, BlockingHttpCall call, int status) {
  call.read_timeout = options.timeout;
  Result<HttpAnswer> last = Error{.kind = ErrorKind::kUnavailable, .detail = "no entry answered"};
  for (const std::string& address : options.operators) {
    Result<HttpAnswer> answer = HttpClient(address).Call(call);
    if (!answer) continue;
    last = std::move(answer);
    if (last.value().status == status) break;
  }
  return last;
}

}  // namespace

Result<void> RunRefusals(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(RequireOperators(options));
  BOOST_OUTCOME_TRY(answer, CallEntries(options, {.target = "/refusals"}, kOk));
  if (answer.status != kOk) {
    return Error{.kind = ErrorKind::kMalformed,
                 .detail = "/refusals answered " + std::to_string(answer.status)};
  }
  std::cout << answer.body;
  return success();
}

Result<void> RunLift(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  BOOST_OUTCOME_TRY(RequireOperators(options));
  const std::string& cause = options.arguments.front();
  BOOST_OUTCOME_TRY(
      answer,
      CallEntries(options, {.method = "POST", .target = "/refusals/lift", .body = cause}, kOk));
  if (answer.status == kNotFound) {
    return Error{.kind = ErrorKind::kRowNotFound, .detail = "no refusal has the cause " + cause};
  }
  if (answer.status != kOk) {
    return Error{.kind = ErrorKind::kMalformed,
                 .detail = "/refusals/lift answered " + std::to_string(answer.status)};
  }
  return success();
}

}  // namespace savory
