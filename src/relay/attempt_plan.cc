#include "relay/attempt_plan.h"

namespace savory {

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return "not-sent";
    case AttemptEnd::kNotRun:
      return "not-run";
    case AttemptEnd::kServerError:
      return "server-error";
    case AttemptEnd::kNoAnswer:
      return "no-answer";
    case AttemptEnd::kBrokenOff:
      return "broken-off";
    case AttemptEnd::kNotAnswered:
      return "not-answered";
    case AttemptEnd::kSilent:
      return "silent";
    case AttemptEnd::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

bool MayRerun(const RequestHistory& history) {
  if (history.kind == RequestKind::kIdempotent) return !history.delivered;
  return history.kind == RequestKind::kStream && history.resumable;
}

int EngineQueuePriority(const RequestHistory& history, bool is_caller_retry) {
  if (history.delivered || history.may_have_run > 0) return kRerunPriority;
  return is_caller_retry ? kCallerRetryPriority : kNewRequestPriority;
}

NextStep PlanNext(const RequestHistory& history, AttemptEnd end, bool may_retry) {
  const bool certainly_not_run = end == AttemptEnd::kNotSent || end == AttemptEnd::kNotRun;
  const bool may_run_again =
      history.may_have_run < history.max_attempts || (history.delivered && history.may_return);
  // A begun answer is not lost for refusals: they run nothing, and the retry budget bounds them.
  const bool may_be_refused = history.delivered || history.not_run <= kMaxRefusals;
  const bool allowed = certainly_not_run ? may_be_refused : MayRerun(history) && may_run_again;
  // If an earlier attempt may have run, only requests that may run more than once are retried.
  const bool safe = history.may_have_run == 0 || MayRerun(history);
  if (allowed && safe && may_retry) return NextStep::kRetry;
  if (history.delivered) return NextStep::kAbort;
  if (end == AttemptEnd::kServerError) return NextStep::kForwardError;
  return history.may_have_run == 0 ? NextStep::kAnswerNotRun : NextStep::kAnswerUnknown;
}

}  // namespace savory
