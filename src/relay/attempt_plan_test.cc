#include "relay/attempt_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savory {
namespace {

RequestHistory Stream(bool resumable) {
  return {.kind = RequestKind::kStream, .resumable = resumable, .max_attempts = 2};
}

// Guards against a booking that is sent again after it may have run.
TEST(AttemptPlanTest, NonIdempotentRequestsAreRepeatedOnlyIfCertainlyNotRun) {
  RequestHistory history{.kind = RequestKind::kNonIdempotent, .max_attempts = 2};
  history.not_run = 1;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kNotRun, true), NextStep::kRetry);
  history.not_run = 0;
  history.may_have_run = 1;
  for (const AttemptEnd end :
       {AttemptEnd::kNoAnswer, AttemptEnd::kBrokenOff, AttemptEnd::kSilent}) {
    EXPECT_EQ(PlanNext(history, end, true), NextStep::kAnswerUnknown);
  }
  EXPECT_EQ(PlanNext(history, AttemptEnd::kServerError, true), NextStep::kForwardError);
}

// Guards against a stream that goes on elsewhere although its route does not allow that, and
// against a stream that ends although another upstream could go on.
TEST(AttemptPlanTest, BegunStreamsGoOnOnlyWhereTheRouteAllows) {
  RequestHistory history = Stream(true);
  history.may_have_run = 1;
  history.delivered = true;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, true), NextStep::kRetry);
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, false), NextStep::kBreak);
  history.resumable = false;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kBrokenOff, true), NextStep::kBreak);
}

// Guards against more upstreams than the route allows.
TEST(AttemptPlanTest, AttemptsThatMayHaveRunAreBounded) {
  RequestHistory history{.kind = RequestKind::kIdempotent, .max_attempts = 2};
  history.may_have_run = 1;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kServerError, true), NextStep::kRetry);
  history.may_have_run = 2;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kServerError, true), NextStep::kForwardError);
}

// Guards against refusals that go round all upstreams.
TEST(AttemptPlanTest, RefusalsAreBounded) {
  RequestHistory history{.kind = RequestKind::kIdempotent, .max_attempts = 2};
  history.not_run = kMaxRefusals + 1;
  EXPECT_EQ(PlanNext(history, AttemptEnd::kNotRun, true), NextStep::kAnswerNotRun);
}

// Guards, for any history, against a second run of what must not run twice, against "not run" for
// what may have run, and against an own answer after a part of another one was delivered.
RC_GTEST_PROP(AttemptPlanTest, PromisesHoldForAnyHistory, ()) {
  RequestHistory history;
  history.kind = *rc::gen::element(RequestKind::kIdempotent, RequestKind::kNonIdempotent,
                                   RequestKind::kStream);
  history.resumable = *rc::gen::arbitrary<bool>();
  history.max_attempts = *rc::gen::inRange<std::uint32_t>(1, 4);
  history.may_have_run = *rc::gen::inRange<std::uint32_t>(0, 4);
  history.not_run = *rc::gen::inRange<std::uint32_t>(0, 6);
  history.delivered = history.may_have_run > 0 && *rc::gen::arbitrary<bool>();
  const AttemptEnd end =
      *rc::gen::element(AttemptEnd::kNotSent, AttemptEnd::kNotRun, AttemptEnd::kServerError,
                        AttemptEnd::kNoAnswer, AttemptEnd::kBrokenOff, AttemptEnd::kSilent);
  const bool certainly_not_run = end == AttemptEnd::kNotSent || end == AttemptEnd::kNotRun;
  if (certainly_not_run) {
    ++history.not_run;
  } else {
    ++history.may_have_run;
  }
  const NextStep step = PlanNext(history, end, *rc::gen::arbitrary<bool>());
  if (step == NextStep::kRetry && history.may_have_run > 0) RC_ASSERT(MayRerun(history));
  if (step == NextStep::kAnswerNotRun) RC_ASSERT(history.may_have_run == 0u);
  if (history.delivered) RC_ASSERT(step == NextStep::kRetry || step == NextStep::kBreak);
}

// Pattern: full engines and accounts of different priority. Guards against a request that was
// placed and then waits behind all later ones of more urgent accounts.
TEST(AttemptPlanTest, EnginesQueueByArrival) {
  const RequestHistory fresh{.kind = RequestKind::kStream, .resumable = true};
  RequestHistory rerun = fresh;
  rerun.may_have_run = 1;
  EXPECT_EQ(EngineQueuePriority(fresh, false), kNewRequestPriority);
  EXPECT_LT(EngineQueuePriority(rerun, false), EngineQueuePriority(fresh, false));
  EXPECT_LT(EngineQueuePriority(fresh, false), EngineQueuePriority(fresh, true));
  EXPECT_LT(EngineQueuePriority(rerun, true), EngineQueuePriority(fresh, true));
}

}  // namespace
}  // namespace savory
