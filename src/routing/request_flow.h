// Routing, retries and claims for the requests at one entry.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "crashes/crash_registry.h"
#include "routing/account_limiter.h"
#include "routing/balancer.h"
#include "routing/request_events.h"
#include "routing/retry_budget.h"

namespace savory {

struct RequestFlowOptions {
  std::string vm;                 // this entry
  std::uint64_t incarnation = 0;  // of this entry's process
  BalancerOptions balancer = {};
  RetryBudgetOptions budget = {};
  AccountLimiterOptions limits = {};
  CrashRegistryOptions crash_registry = {};
  // Slots of a request class as a multiple of this entry's share of the upstreams' capacity.
  // Slightly more than 1 keeps the upstreams busy. Further requests wait at the entry, where slots
  // are shared fairly among accounts.
  double slots_factor = 1.1;
  Duration default_deadline = std::chrono::seconds(60);
  Duration silence_timeout = std::chrono::seconds(2);
  Duration retry_backoff = std::chrono::milliseconds(20);
  int max_attempts = 4;  // per request
  // Minimum time between two queries of an attempt.
  Duration query_period = std::chrono::milliseconds(500);
  // An idempotent request is retried at another agent after this many unanswered queries.
  int max_queries = 2;
  // The limit for non-idempotent requests and for answers that have been delivered in part. It is
  // higher because a silent connection is replaced after 6 s, and the new connection may deliver
  // the outcome.
  int max_queries_non_idempotent = 20;
  // How long after the deadline the entry waits for the gate to confirm the cancel.
  Duration cancel_confirm_timeout = std::chrono::milliseconds(200);
};

// The state machine of all requests: it matches the route, claims the idempotency key, sends
// attempts and answers the caller. Each caller receives the parts of one answer once and in order.
// A request is answered "not run" only if no attempt can have run.
class RequestFlow {
 public:
  RequestFlow(RequestFlowOptions options, Random& random);

  std::vector<RequestAction> Handle(const RequestEvent& event, Instant now);

  std::size_t InProgress() const { return this->requests.size(); }
  const Balancer& GetBalancer() const { return this->balancer; }
  const CrashRegistry& Crashes() const { return this->crash_registry; }

 private:
  enum class Phase { kAwaitingAdmission, kClaiming, kAttempting, kBackingOff };

  struct Attempt {
    AttemptKey key = {};
    ChosenAgent agent = {};
    Instant last_heard = {};
    std::optional<Instant> queried_at = {};
    int unanswered_queries = 0;  // sent since the agent was last heard from
    int incomplete_results = 0;  // times that KNOWLEDGE_RAN arrived with parts missing
    bool resumed = false;        // its head is checked, but not delivered
    bool head_checked = false;
    bool adopted = false;  // sent for another request with the same idempotency key
    bool cancelled = false;
  };

  struct Request {
    RequestArrived arrived;
    wire::Route route;
    bool idempotent = true;
    Instant arrived_at = {};
    Instant deadline = {};
    Instant backoff_until = {};
    Instant timer_at = {};
    Phase phase = Phase::kAwaitingAdmission;
    std::optional<Attempt> attempt = {};
    std::set<std::string> tried_vms = {};
    int attempts = 0;
    std::uint32_t next_part = 0;
    std::uint32_t status = 0;     // HTTP status of the delivered head
    Digest answer_manifest = {};  // manifest that produced the delivered parts
    bool may_have_run = false;
    bool streams_soundly = false;           // for kSoundStreamTime
    bool caller_done = false;               // disconnected, or already answered with an error
    std::optional<wire::Claim> claim = {};  // requested or found; no nonce until granted
    std::optional<Instant> first_sent = {};
    std::optional<Instant> first_part = {};
    Error last_error = {};
  };

  void On(const RequestArrived& event);
  void On(const CallerDisconnected& event);
  void On(const ClaimSettled& event);
  void On(const PartArrived& event);
  void On(const EndArrived& event);
  void On(const StatusArrived& event);
  void On(const StartDropped& event);
  void On(const ReportArrived& event);
  void On(const MembersChanged& event);
  void On(const TablesChanged& event);
  void On(const CrashNoticed& event);
  void On(const LiftRefusal& event);
  void On(const StopAccepting& event);
  void On(const FlowTick& event);
  void UpdateCrashes(const CrashEvent& event);

  const wire::Route* MatchRoute(const RequestArrived& request) const;
  void Refuse(const RequestArrived& request, ErrorKind kind, std::string detail);
  std::optional<ChosenAgent> PickAgent(const Request& request);
  void SetAttempt(Request& request, Attempt attempt);

  void UpdateLimiter(const LimiterEvent& event);
  // Applies the limiter's actions until none is left. A request that ends may free a slot, which
  // yields further actions.
  void ApplyLimiterActions();
  void UpdateSlots();
  void BeginAttempt(Request& request);
  void SendClaim(Request& request, const ChosenAgent& agent, std::optional<wire::Claim> replaced);
  void OnClaimFound(Request& request, const wire::Claim& found);
  void Adopt(Request& request, const wire::Claim& found);
  void Send(Request& request);
  void Cancel(const Attempt& attempt);
  void Query(Request& request);
  void OnSilence(Request& request);
  void OnDeadline(Request& request);
  void EndAttempt(Request& request);
  // Handles the end of an attempt that did not deliver the complete answer.
  void OnAttemptFailed(Request& request, bool certainly_not_run, const Error& error);
  void OnPart(Request& request, const PartArrived& event);
  void OnResumedHead(Request& request, std::uint32_t status);
  void OnEnd(Request& request, const EndArrived& event);
  void OnStatus(Request& request, const StatusArrived& event);
  void OnRanStatus(Request& request, const StatusArrived& event);
  void OnIncompleteOutcome(Request& request, wire::AttemptOutcome outcome, std::string_view reason);
  bool MayRetry(const Request& request, bool certainly_not_run);
  bool CanResume(const Request& request);
  void BackOff(Request& request);
  void StartRetry(Request& request);
  // Queries the attempt, unless it was queried within the query period.
  void QueryMissingParts(Request& request);
  void OnComplete(Request& request);
  void Fail(Request& request, const Error& error);
  void Finish(Request& request, std::optional<ErrorKind> error);

  // Returns the requests that wait for `attempt`. There are several if a request with the same
  // idempotency key has adopted it.
  std::vector<RequestId> FindByAttempt(const AttemptKey& attempt) const;
  Instant DueTime(const Request& request) const;
  void Reschedule(Request& request);
  void OnDue(Request& request);

  RequestFlowOptions options;
  Random& random;
  Balancer balancer;
  RetryBudget budget;
  AccountLimiter limiter;
  CrashRegistry crash_registry;
  std::deque<LimiterAction> limiter_actions = {};
  Instant next_maintenance = {};
  wire::Tables tables = {};
  std::map<RequestId, Request> requests = {};
  std::multimap<AttemptKey, RequestId> by_attempt = {};
  std::set<std::pair<Instant, RequestId>> timers = {};
  std::map<std::string, std::uint64_t, std::less<>> agent_incarnations = {};
  std::uint64_t next_sequence = 1;
  bool stopping = false;
  bool drained = false;

  // Valid during Handle().
  Instant now = {};
  std::vector<RequestAction> actions = {};
};

}  // namespace savory
