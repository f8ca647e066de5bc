// Events and actions of RequestFlow.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/attempt_key.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/time.h"
#include "membership/member.h"
#include "routing/balancer.h"
#include "routing/crash_registry.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// Number of a caller's request within one entry process.
using RequestId = std::uint64_t;

// ---- events ----

struct RequestArrived {
  RequestId id = 0;
  std::string account = {};
  std::string method = {};
  std::string path = {};             // without the query
  std::string idempotency_key = {};  // empty: none
  std::optional<Duration> deadline = {};
  bool non_idempotent = false;  // marked by the caller
  Digest fingerprint = {};      // of method, target and body
  Digest claim_key = {};        // of the account and the idempotency key
  std::string affinity = {};    // prefix of the body
};
struct CallerDisconnected {
  RequestId id = 0;
};
// The claim's answer; exactly one of `nonce`, `found` and `error` is set.
struct ClaimSettled {
  RequestId id = 0;
  std::string nonce = {};
  std::optional<wire::Claim> found = {};
  std::optional<Error> error = {};
};
struct PartArrived {
  AttemptKey attempt;
  std::uint32_t number = 0;
  std::uint32_t status = 0;  // part 0 only
};
struct EndArrived {
  AttemptKey attempt;
  wire::AttemptOutcome outcome = wire::ATTEMPT_COMPLETE;
  std::uint32_t parts = 0;
  std::string reason = {};
};
struct StatusArrived {
  AttemptKey attempt;
  wire::AttemptKnowledge knowledge = wire::KNOWLEDGE_UNKNOWN;
  wire::AttemptOutcome outcome = wire::ATTEMPT_COMPLETE;
  std::uint32_t parts = 0;
};
// The transport refused the start; it was certainly not sent.
struct StartDropped {
  AttemptKey attempt;
};
struct ReportArrived {
  AgentReport report;
};
struct MembersChanged {
  std::vector<Member> members;
};
struct TablesChanged {
  wire::Tables tables;
};
struct CrashNoticed {
  CrashRecord record;
};
struct StopAccepting {};
struct FlowTick {};

using RequestEvent =
    std::variant<RequestArrived, CallerDisconnected, ClaimSettled, PartArrived, EndArrived,
                 StatusArrived, StartDropped, ReportArrived, MembersChanged, TablesChanged,
                 CrashNoticed, StopAccepting, FlowTick>;

// ---- actions ----

struct StartAttempt {
  RequestId request = 0;
  AttemptKey attempt;
  ChosenAgent agent;
  std::string pool = {};
  std::string method = {};
  Duration time_left = {};
  int priority = 0;
  bool idempotent = false;
  Digest fingerprint = {};
  std::string account = {};
  std::uint32_t resume_from = 0;
};
struct CancelAttempt {
  AttemptKey attempt;
  std::string peer = {};
  std::uint64_t agent_incarnation = 0;
};
struct QueryAttempt {
  AttemptKey attempt;
  std::string peer = {};
  std::uint64_t agent_incarnation = 0;
  std::uint32_t next_part = 0;
  bool bulk_lane = false;
};
// The part of the event being handled is the next one of the answer.
struct DeliverPart {
  RequestId request = 0;
  std::uint32_t number = 0;
  std::string request_class = {};
};
// Every part of the answer was delivered.
struct CompleteAnswer {
  RequestId request = 0;
};
// The answer broke off after its first part; the caller must be able to tell.
struct AbortAnswer {
  RequestId request = 0;
};
// Answers in place of the upstream.
struct AnswerError {
  RequestId request = 0;
  Error error;
};
struct AnswerRecorded {
  RequestId request = 0;
  std::uint32_t status = 0;
  std::string content_type = {};
  std::string body = {};
};
struct WriteClaim {
  RequestId request = 0;
  wire::Claim claim;
  std::optional<wire::Claim> replaced = {};  // a claim whose attempt never runs
};
// Records the delivered answer; precedes CompleteAnswer.
struct FinishClaim {
  RequestId request = 0;
  Digest key = {};
  std::string nonce = {};
};
struct ReleaseClaim {
  Digest key = {};
  std::string nonce = {};
};
// How a request went, for the series of its client account and class.
// The last action of a request.
struct MeasureRequest {
  RequestId request = 0;
  std::string account = {};
  std::string request_class = {};
  Duration queued = {};  // until the first attempt was sent
  std::optional<Duration> first_part = {};
  Duration total = {};
  int attempts = 0;
  std::optional<ErrorKind> error = {};  // empty: the upstream answered
};
struct FlowDrained {};

using RequestAction =
    std::variant<StartAttempt, CancelAttempt, QueryAttempt, DeliverPart, CompleteAnswer,
                 AbortAnswer, AnswerError, AnswerRecorded, WriteClaim, FinishClaim, ReleaseClaim,
                 MeasureRequest, CrashForward, FlowDrained>;

}  // namespace savory
