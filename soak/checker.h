// Checks the product's guarantees against what callers and upstreams observe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "platform/testing/caller_standin.h"
#include "platform/testing/engine_standin.h"
#include "soak/planned_work_rule.h"
#include "soak/request_trace.h"
#include "soak/staged_chunks_rule.h"

namespace savory {

struct CheckerOptions {
  // A change must be in force at every entry VM this long after the store accepted it.
  Duration propagation_limit = std::chrono::milliseconds(2000);
  // A request sent this long after an entry VM was seen to apply a change may not be routed by
  // older rules.
  Duration revert_tolerance = std::chrono::milliseconds(250);
  // An upstream may receive requests for this long after its record said that it is draining, or
  // was removed.
  Duration drain_time = std::chrono::milliseconds(2000);
  // Time limits apply to components whose last disturbance ended at least this long ago.
  Duration settle_time = std::chrono::milliseconds(3000);
  // The final answer must arrive within this time after the route's timeout.
  Duration answer_tolerance = std::chrono::milliseconds(500);
  // The run of a request must end within this time after its caller disconnected.
  Duration cancel_tolerance = std::chrono::milliseconds(500);
  // Requests may run on weights with a staged chunk that turned bad less than this long before the
  // load was accepted.
  Duration corruption_tolerance = std::chrono::milliseconds(3000);
  // After this time no request may begin on weights older than the published version.
  Duration weights_rollout_limit = std::chrono::seconds(8);
  // An upstream that asked an entry VM to wait may receive requests from it for this long after
  // that, and then at most so many until the end of the wait.
  Duration wait_notice_tolerance = std::chrono::milliseconds(500);
  std::uint32_t max_requests_during_wait = 2;
  // A request that ended `crashes_until_known` upstreams may reach upstreams so often, sent later
  // than `settle_time` after the last of these ends.
  std::size_t crashes_until_known = 3;
  std::uint32_t max_arrivals_when_known = 3;
  // The same for requests that share a part of their prompt, together.
  std::size_t part_crashes_until_known = 5;
  // From so long after the last of these ends, while such requests are sent, at least this share of
  // sound requests of their route begins, compared with the rest of the run.
  Duration sound_served_after = std::chrono::milliseconds(6000);
  double min_sound_share = 0.5;
  std::uint64_t min_sound_requests = 20;  // fewer decide nothing
  std::uint32_t stream_events = 8;        // in a complete stream
  PlannedWorkLimits planned_work = {};
  // Requests may outlast a planned stop, so that `planned_work` alone says which it may cut.
  bool long_answers = false;
  // An answer that had begun is noted if it ends with more time than this left, while another
  // upstream of its pool has begun a request less than `sign_of_health` ago.
  Duration noted_time_left = std::chrono::milliseconds(1000);
  Duration sign_of_health = std::chrono::milliseconds(1000);
};

struct Violation {
  std::string rule;
  std::string detail;
};

struct UnservedRequest {
  std::string attempt_id;
  std::string entry_vm;
  std::string description;  // with times in ms
};

// Totals for the result line.
struct SoakCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;     // answered as not run: 503, 429, 408, 421
  std::uint64_t unknown = 0;     // outcome unknown: 502, 504 and any other status
  std::uint64_t incomplete = 0;  // truncated or missing answers
  std::uint64_t abandoned = 0;   // callers that disconnected or timed out
  std::uint64_t runs = 0;
  std::uint64_t loads = 0;
  std::uint64_t bad_loads = 0;       // no request may begin on their weights
  std::uint64_t pipelined_lost = 0;  // behind an answer after which the connection was closed
};

// Bodies of requests that end each upstream that runs them.
std::string CrashingBody(int number);
bool IsCrashingBody(std::string_view body);
// Parts of prompts that end each upstream that answers a request with them.
std::string CrashingPart(int number);
// The crashing part in the prompt; empty if there is none.
std::string_view FindCrashingPart(std::string_view prompt);
bool EndsUpstreams(std::string_view body, std::string_view prompt);

// Performs no I/O. `now` must not decrease between calls.
class Checker {
 public:
  explicit Checker(CheckerOptions options) : options(options) {}

  // ---- faults: time limits are not checked for disturbed components ----
  // `component`: a VM's name, an upstream's id, "store" or "origin". Engines that restart while
  // the origin lacks their weights can't serve.
  void MarkDisturbed(std::string_view component, Instant now, Duration duration);
  // Disturbs the upstream too.
  void MarkLinkDisturbed(std::string_view upstream, Instant now, Duration duration);
  // A planned stop is no disturbance and must not truncate answers.
  void OnEntryStopping(std::string_view vm, Instant now);
  // SIGHUP, which must not truncate answers either.
  void OnEntryReloading(std::string_view vm, Instant now);
  void OnEntrySqueezed(std::string_view vm, Instant now, Duration duration);
  bool IsStopping(std::string_view vm) const { return this->stopping_entries.contains(vm); }
  void OnEntryStarted(std::string_view vm);
  // As MarkDisturbed(), but no disruption that explains a lost answer.
  void MarkStarting(std::string_view component, Instant now);
  // The entry VM was paused, at the begin and at the end: what it was told before binds it no more.
  void OnEntryPaused(std::string_view vm);
  // As OnEntryPaused(), but requests to wait only.
  void OnEntryCut(std::string_view vm);
  void OnStagedChunkCorrupted(std::string_view upstream, std::uint32_t chunk, Instant now);
  void OnStagedChunksLost(std::string_view upstream);
  // The upstream has another id after a restart; what was staged is kept.
  void OnStagedChunksKept(std::string_view upstream, std::string_view next);

  // ---- changes ----
  // From `version` of the rules on, requests of `route` belong to `pool`.
  void OnRouteChanged(std::string_view route, std::uint64_t version, std::string_view pool,
                      Instant now);
  // The upstream's record says that it is draining, or was removed while it serves on.
  void OnUpstreamLeaving(std::string_view upstream, Instant now);
  void OnWeightsPublished(std::uint64_t version, Instant now);

  // ---- observations of callers ----
  void OnSent(const SentRequest& sent);
  void OnLastByteSent(std::string_view attempt_id, Instant now);
  void OnAnswered(std::string_view attempt_id, const platform::CallerAnswer& answer, Instant now);

  // ---- observations of upstreams ----
  void OnArrived(const platform::ArrivedRequest& request, Instant now);
  void OnRun(const platform::ArrivedRequest& request, Instant now);
  void OnRunEnded(std::string_view attempt_id, Instant now);
  // The upstream itself ends the request early. Comes before OnRunEnded().
  void OnBrokeOff(std::string_view attempt_id);
  // The same by order, which explains no lost answer.
  void OnInterrupted(std::string_view attempt_id);
  // The upstream's answer to the request says something about the upstream.
  void OnNotice(const platform::ArrivedRequest& request, const platform::UpstreamNotice& notice,
                Instant now);
  // `version`: whose chunk the bytes are; 0 if they are correct for none.
  void OnChunkStaged(std::string_view upstream, std::uint32_t chunk, std::uint64_t version);
  // A load of `version`, which has `chunks` chunks, was accepted. `complete`: all of them are
  // correct.
  void OnLoad(std::string_view upstream, std::uint64_t version, std::uint32_t chunks, bool complete,
              Instant now);

  // Records a violation; also used by the run for checks made outside this class.
  void AddViolation(std::string_view rule, const std::string& detail);

  // Checks what only the whole run shows. Call once, at its end.
  void CheckWholeRun();

  const std::vector<Violation>& Violations() const { return this->violations; }
  // Observations that break no rule.
  const std::vector<Violation>& Notes() const { return this->notes; }
  const SoakCounts& Counts() const { return this->counts; }
  // Number of served and of all finished requests sent at or after `since`. Requests with an early
  // disconnect of their caller (`cancel_after`) are left out.
  std::pair<std::uint64_t, std::uint64_t> ServedSince(Instant since) const;
  // The finished requests that ServedSince() does not count as served, in the order in which they
  // were sent.
  std::vector<UnservedRequest> UnservedSince(Instant since) const;

 private:
  struct Request {
    SentRequest sent;
    bool sent_undisturbed = false;         // to an undisturbed entry VM, store and origin
    std::set<std::string> upstreams = {};  // that ran the request
    Instant arrived_at = {};               // at the latest upstream
    bool answer_says_leaving = false;      // by the latest upstream
    std::uint32_t runs = 0;
    std::uint32_t running = 0;
    std::optional<platform::CallerAnswer> answer = {};
    Instant answered_at = {};
    Instant abandoned_at = {};
    RequestTrace trace = {};
  };
  struct RouteChange {
    std::uint64_t version = 0;
    std::string pool;
    Instant at = {};
  };

  // An upstream's wish to receive no requests from an entry VM.
  struct RequestedWait {
    Instant from = {};
    Instant until = {};
    std::uint32_t arrivals = 0;
  };
  using EntryAndUpstream = std::pair<std::string, std::string>;

  Request* Find(std::string_view attempt_id);
  static bool IsServed(const Request& request);
  static bool CountsSince(const Request& request, Instant since);
  // End of the component's last disturbance, including the settle time.
  Instant UndisturbedSince(std::string_view component) const;
  bool IsUndisturbed(std::string_view component, Instant now) const;
  // Whether the entry VM, the store and every upstream that ran the request are undisturbed.
  bool IsPathUndisturbed(const Request& request, Instant now) const;
  void CheckSuccess(const Request& request);
  void CheckNotRunAnswer(const Request& request);
  void CheckTruncation(const Request& request, Instant now);
  bool IsUndisruptedSinceSent(const Request& request) const;
  void NoteBegunAnswer(const Request& request, Instant now);
  void CheckLeaving(const Request& request, const platform::ArrivedRequest& arrived, Instant now);
  void CheckNotices(const Request& request, const platform::ArrivedRequest& arrived, Instant now);
  void CheckCrashing(const Request& request, const platform::ArrivedRequest& arrived, Instant now);
  // Entry VMs recognize a request that is sent again by its account, target and body. Callers that
  // vary one of them would make `CheckCrashing` ask for what no entry VM can know.
  void CheckSameCrashingRequest(const SentRequest& sent);
  void CheckRoute(const Request& request, const platform::ArrivedRequest& arrived, Instant now);
  void CheckWeights(const Request& request, const platform::ArrivedRequest& arrived, Instant now);
  void CheckWholeWeights(const platform::ArrivedRequest& arrived);
  void Count(const platform::CallerAnswer& answer);

  CheckerOptions options;
  std::vector<Violation> violations = {};
  std::vector<Violation> notes = {};
  PlannedWorkRule planned_work{this->options.planned_work};
  SoakCounts counts = {};
  std::map<std::string, Request, std::less<>> requests = {};
  std::map<std::string, Instant, std::less<>> disturbed_until = {};
  // As `disturbed_until`, without starts.
  std::map<std::string, Instant, std::less<>> disrupted_until = {};
  // When upstreams began a request last, by pool.
  std::map<std::string, std::map<std::string, Instant>> last_begun = {};
  std::map<std::string, Instant, std::less<>> stopping_entries = {};
  std::map<std::string, Instant, std::less<>> leaving_since = {};
  // When the entry VM passed on an answer in which the upstream says that it leaves.
  std::map<EntryAndUpstream, Instant> passed_on_leaving = {};
  std::map<EntryAndUpstream, std::vector<RequestedWait>> requested_waits = {};
  // Ends of upstreams by requests with the same body.
  struct CrashingRequest {
    std::vector<Instant> ends = {};  // at least one
    std::size_t allowed_ends = 1;    // until it must be known
    std::uint32_t arrivals_when_known = 0;

    // Whether it has been known for `served_after`.
    bool IsKnownAt(Instant time, Duration served_after) const;
  };
  std::map<std::string, CrashingRequest, std::less<>> crashing = {};  // by body or part
  std::map<std::string, Instant, std::less<>> part_last_sent = {};
  // Of the first request with each body that ends upstreams.
  struct CrashingTarget {
    std::string account = {};
    std::string target = {};
  };
  std::map<std::string, CrashingTarget, std::less<>> crashing_targets = {};
  // Sound requests sent to undisturbed entry VMs, and those of them that ran.
  struct SoundRequests {
    std::uint64_t sent = 0;
    std::uint64_t ran = 0;

    double Share() const {
      return static_cast<double>(this->ran) / static_cast<double>(this->sent);
    }
  };
  // Whether the request was sent while something that ends upstreams was not known for long.
  bool IsDisturbedByCrashing(const Request& request) const;
  // Whether it was sent while requests with a known crashing part came.
  bool IsBesideCrashing(const Request& request) const;
  StagedChunksRule staged_chunks{this->options.corruption_tolerance};
  std::map<std::string, std::vector<RouteChange>, std::less<>> route_changes = {};
  std::map<std::uint64_t, Instant> weights_published_at = {};  // version -> publication time
  // (entry VM, route) -> newest route change seen in its requests, and when it was seen.
  std::map<std::pair<std::string, std::string>, std::pair<std::uint64_t, Instant>>
      observed_changes = {};
};

}  // namespace savory
