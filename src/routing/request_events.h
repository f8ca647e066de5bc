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
#include "crashes/crash_registry.h"
#include "membership/member.h"
#include "routing/balancer.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// Identifies a caller's request within one entry process.
using RequestId = std::uint64_t;

// ---- events ----

struct RequestArrived {
  RequestId id = 0;
  std::string account = {};
  std::string method = {};
  std::string path = {};             // without the query
  std::string idempotency_key = {};  // empty: none
  std::optional<Duration> deadline = {};
  bool non_idempotent = false;            // from the header X-Non-Idempotent
  Digest fingerprint = {};                // of method, target and body
  std::vector<Digest> prompt_parts = {};  // that the request shares with others
  Digest claim_key = {};                  // of the account and the idempotency key
  std::string affinity = {};              // prefix of the body, for prefix affinity
};
struct CallerDisconnected {
  RequestId id = 0;
};
// The result of a WriteClaim: exactly one of `nonce` (granted), `found` (another claim exists) and
// `error` is set.
struct ClaimSettled {
  RequestId id = 0;
  std::string nonce = {};
  std::optional<wire::Claim> found = {};
  std::optional<Error> error = {};
};
struct PartArrived {
  AttemptKey attempt;
  std::uint32_t number = 0;
  std::uint32_t status = 0;  // HTTP status; only in part 0
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
// The transport rejected the StartAttempt, so it has certainly not been sent.
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
// An operator ends the refusal of requests that have all of these fingerprints and parts.
struct LiftRefusal {
  std::vector<Digest> all_of;
};
struct StopAccepting {};
struct FlowTick {};

using RequestEvent =
    std::variant<RequestArrived, CallerDisconnected, ClaimSettled, PartArrived, EndArrived,
                 StatusArrived, StartDropped, ReportArrived, MembersChanged, TablesChanged,
                 CrashNoticed, LiftRefusal, StopAccepting, FlowTick>;

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
  std::vector<Digest> prompt_parts = {};
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
// Delivers the part of the current PartArrived event to the caller.
struct DeliverPart {
  RequestId request = 0;
  std::uint32_t number = 0;
  std::string request_class = {};
};
// All parts of the answer have been delivered.
struct CompleteAnswer {
  RequestId request = 0;
};
// The answer failed after its first part was delivered. The caller must be able to detect that it
// is incomplete.
struct AbortAnswer {
  RequestId request = 0;
};
// Answers the caller with an error that this entry generates.
struct AnswerWithError {
  RequestId request = 0;
  Error error;
};
// Answers the caller with the answer that was recorded in the claim by an earlier request.
struct AnswerFromClaim {
  RequestId request = 0;
  std::uint32_t status = 0;
  std::string content_type = {};
  std::string body = {};
};
struct WriteClaim {
  RequestId request = 0;
  wire::Claim claim;
  std::optional<wire::Claim> replaced = {};  // an existing claim whose attempt will never run
};
// Records the delivered answer in the claim. Precedes CompleteAnswer.
struct FinishClaim {
  RequestId request = 0;
  Digest key = {};
  std::string nonce = {};
};
struct ReleaseClaim {
  Digest key = {};
  std::string nonce = {};
};
// Metrics of a request for its client account and request class. It is the last action of each
// request.
struct MeasureRequest {
  RequestId request = 0;
  std::string account = {};
  std::string request_class = {};
  Duration queued = {};  // from arrival until the first attempt was sent
  std::optional<Duration> first_part = {};
  Duration total = {};
  int attempts = 0;
  std::optional<ErrorKind> error = {};  // empty: the upstream answered
};
struct FlowDrained {};

using RequestAction =
    std::variant<StartAttempt, CancelAttempt, QueryAttempt, DeliverPart, CompleteAnswer,
                 AbortAnswer, AnswerWithError, AnswerFromClaim, WriteClaim, FinishClaim,
                 ReleaseClaim, MeasureRequest, CrashForward, FlowDrained>;

}  // namespace savory
