#include "relay/attempt_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savory {
namespace {

RequestHistory Stream(bool resumable) {
  return {.kind = RequestKind::kStream, .resumable = resumable, .max_attempts = 2};
}

// Guards against retrying a non-idempotent request after it may have run.
TEST(AttemptPlanTest, NonIdempotentRequestsAreRetriedOnlyIfNotRun) {
  RequestHistory history{.kind = RequestKind::kNonIdempotent, .max_attempts = 2};
  history.not_run = 1;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kNotRun, true), NextStep::kRetry);
  history.not_run = 0;
  history.may_have_run = 1;
  for (const AttemptEnd end : {AttemptEnd::kNoAnswer, AttemptEnd::kBrokenOff, AttemptEnd::kSilent,
                               AttemptEnd::kNotAnswered}) {
    EXPECT_EQ(PlanNext(history, end, true), NextStep::kAnswerUnknown);
  }
  EXPECT_EQ(PlanNext(history, AttemptEnd::kServerError, true), NextStep::kForwardError);
}

// Guards against resuming a stream whose route does not allow it, and against ending a stream that
// another upstream could resume.
TEST(AttemptPlanTest, StreamsAreResumedOnlyIfTheRouteAllows) {
  RequestHistory history = Stream(true);
  history.may_have_run = 1;
  history.delivered = true;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, true), NextStep::kRetry);
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, false), NextStep::kAbort);
  history.resumable = false;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, true), NextStep::kAbort);
}

// Guards against more attempts than the route allows.
TEST(AttemptPlanTest, AttemptsThatMayHaveRunAreBounded) {
  RequestHistory history{.kind = RequestKind::kIdempotent, .max_attempts = 2};
  history.may_have_run = 1;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kServerError, true), NextStep::kRetry);
  history.may_have_run = 2;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kServerError, true), NextStep::kForwardError);
}

// Its engines interrupted a stream for new weights. Guards against resetting it when its attempts
// are used up, and against more attempts for anything else.
TEST(AttemptPlanTest, BegunAnswerMayReturnAfterAllAttempts) {
  RequestHistory history = Stream(true);
  history.may_have_run = 2;
  history.may_return = true;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kWithdrawn, true), NextStep::kAnswerUnknown);
  history.delivered = true;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, true), NextStep::kRetry);
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, false), NextStep::kAbort);
  history.may_return = false;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, true), NextStep::kAbort);
  history.may_return = true;
  history.resumable = false;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, true), NextStep::kAbort);
}

// Guards against trying every upstream when all of them refuse the request.
TEST(AttemptPlanTest, RefusalsAreBounded) {
  RequestHistory history{.kind = RequestKind::kIdempotent, .max_attempts = 2};
  history.not_run = kMaxRefusals + 1;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kNotRun, true), NextStep::kAnswerNotRun);
}

// Guards against losing a begun answer for refusals.
TEST(AttemptPlanTest, RefusalsDoNotEndABegunAnswer) {
  RequestHistory history = Stream(true);
  history.may_have_run = 1;
  history.delivered = true;
  history.not_run = kMaxRefusals + 1;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kNotRun, true), NextStep::kRetry);
  EXPECT_EQ(PlanNext(history, AttemptEnd::kNotRun, false), NextStep::kAbort);
  history.resumable = false;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kNotRun, true), NextStep::kAbort);
}

// Guards, for any history, against running a request twice that must run at most once, against
// answering "not run" for a request that may have run, and against an answer of the entry's own
// after part of an upstream's answer was sent.
RC_GTEST_PROP(AttemptPlanTest, RetryRulesHoldForAnyHistory, ()) {
  RequestHistory history;
  history.kind = *rc::gen::element(RequestKind::kIdempotent, RequestKind::kNonIdempotent,
                                   RequestKind::kStream);
  history.resumable = *rc::gen::arbitrary<bool>();
  history.max_attempts = *rc::gen::inRange<std::uint32_t>(1, 4);
  history.may_have_run = *rc::gen::inRange<std::uint32_t>(0, 4);
  history.not_run = *rc::gen::inRange<std::uint32_t>(0, 6);
  history.may_return = *rc::gen::arbitrary<bool>();
  history.delivered = history.may_have_run > 0 && *rc::gen::arbitrary<bool>();
  const AttemptEnd end = *rc::gen::element(
      AttemptEnd::kNotSent, AttemptEnd::kNotRun, AttemptEnd::kServerError, AttemptEnd::kNoAnswer,
      AttemptEnd::kBrokenOff, AttemptEnd::kSilent, AttemptEnd::kNotAnswered);
  const bool certainly_not_run = end == AttemptEnd::kNotSent || end == AttemptEnd::kNotRun;
  if (certainly_not_run) {
    ++history.not_run;
  } else {
    ++history.may_have_run;
  }
  const NextStep step = PlanNext(history, end, *rc::gen::arbitrary<bool>());
  if (step == NextStep::kRetry && history.may_have_run > 0) RC_ASSERT(MayRerun(history));
  if (step == NextStep::kAnswerNotRun) RC_ASSERT(history.may_have_run == 0u);
  if (history.delivered) RC_ASSERT(step == NextStep::kRetry || step == NextStep::kAbort);
}

// The engines are full and accounts differ in priority. Guards against a request that waits at an
// engine behind all later requests of more urgent accounts.
TEST(AttemptPlanTest, EnginesQueueByArrival) {
  const RequestHistory first_try{.kind = RequestKind::kStream, .resumable = true};
  RequestHistory rerun = first_try;
  rerun.may_have_run = 1;
  EXPECT_EQ(EngineQueuePriority(first_try, false), kNewRequestPriority);
  EXPECT_LT(EngineQueuePriority(rerun, false), EngineQueuePriority(first_try, false));
  EXPECT_LT(EngineQueuePriority(first_try, false), EngineQueuePriority(first_try, true));
  EXPECT_LT(EngineQueuePriority(rerun, true), EngineQueuePriority(first_try, true));
}

}  // namespace
}  // namespace savory
