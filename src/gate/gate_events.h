// Events and actions of UpstreamGate.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/attempt_key.h"
#include "base/digest.h"
#include "base/error.h"
#include "base/time.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// ---- events ----

struct StartReceived {
  AttemptKey id;
  std::string reply_to = {};  // IP:PORT of the entry
  std::uint64_t agent_incarnation = 0;
  Digest manifest = {};  // of the required weights; zero for plain services
  Duration time_left = {};
  int priority = 0;  // higher first
  bool idempotent = false;
  Digest fingerprint = {};
  std::vector<Digest> prompt_parts = {};  // that the request shares with others
  std::uint32_t resume_from = 0;
};
struct CancelReceived {
  AttemptKey id;
  std::string reply_to = {};
  std::uint64_t agent_incarnation = 0;
};
struct QueryReceived {
  AttemptKey id;
  std::string reply_to = {};
  std::uint64_t agent_incarnation = 0;
  std::uint32_t next_part = 0;  // first part that the entry has not received
  bool bulk_lane = false;       // answer over the connection of the bulk lane
};
// This process did not run for `length` until now, so that messages handled soon may be as old.
struct GatePaused {
  Duration length = {};
};
// The upstream's status line and headers arrived. They become part 0.
struct HeadReceived {
  AttemptKey id;
  Digest weights = {};  // from the header X-Weights; zero if absent
};
struct BodyReceived {
  AttemptKey id;
  std::size_t bytes = 0;
};
enum class CallResult {
  kComplete,
  kNotSent,    // no connection could be made
  kBroken,     // the connection failed or the answer timed out
  kCancelled,  // ended by CancelCall
};
struct CallEnded {
  AttemptKey id;
  CallResult result = CallResult::kComplete;
};
// The result of a ProbeUpstream. `incarnation` is 0 for plain services.
struct UpstreamProbed {
  bool reachable = false;
  std::uint64_t incarnation = 0;
};
struct ReadinessSet {
  Digest serving = {};
  bool ready = false;
};
struct DrainRequested {};
struct GateTick {};

using GateEvent =
    std::variant<StartReceived, CancelReceived, QueryReceived, GatePaused, HeadReceived,
                 BodyReceived, CallEnded, UpstreamProbed, ReadinessSet, DrainRequested, GateTick>;

// ---- actions ----

// Calls the upstream, which yields the events HeadReceived, BodyReceived and CallEnded.
struct CallUpstream {
  AttemptKey id;
  std::uint32_t resume_from = 0;
  int priority = 0;
};
struct CancelCall {
  AttemptKey id;
};
// Sends the part `number` of the stored answer.
struct SendPart {
  AttemptKey id;
  std::string reply_to = {};
  std::uint32_t number = 0;
  bool bulk_lane = false;
};
struct SendEnd {
  AttemptKey id;
  std::string reply_to = {};
  wire::AttemptOutcome outcome = wire::ATTEMPT_COMPLETE;
  std::uint32_t parts = 0;
  ErrorKind reason = ErrorKind::kNotRun;  // ignored for ATTEMPT_COMPLETE
  bool bulk_lane = false;
};
struct SendStatus {
  AttemptKey id;
  std::string reply_to = {};
  wire::AttemptKnowledge knowledge = wire::KNOWLEDGE_UNKNOWN;
  wire::AttemptOutcome outcome = wire::ATTEMPT_COMPLETE;
  std::uint32_t parts = 0;
  bool bulk_lane = false;
};
// The body of the request is no longer needed.
struct DropRequest {
  AttemptKey id;
};
// The parts with numbers below `before` are no longer needed.
struct DropParts {
  AttemptKey id;
  std::uint32_t before = 0;
};
// Checks whether the upstream is reachable and, for engines, its incarnation. Yields
// UpstreamProbed.
struct ProbeUpstream {};
struct NotifyCrash {
  Digest fingerprint = {};
  std::vector<Digest> prompt_parts = {};
  std::uint64_t upstream_incarnation = 0;
};
// Sends load reports to the entries at once, because the readiness, the manifest served or the
// leaving state has changed.
struct ReportLoad {};
struct GateDrained {};

using GateAction =
    std::variant<CallUpstream, CancelCall, SendPart, SendEnd, SendStatus, DropRequest, DropParts,
                 ProbeUpstream, NotifyCrash, ReportLoad, GateDrained>;

}  // namespace savory
