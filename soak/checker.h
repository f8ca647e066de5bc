// Checks the promises of the product against what callers and upstreams saw.
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
#include "relay/routing_rules.h"

namespace savory {

struct CheckerOptions {
  // A change is in force everywhere this long after the store took it.
  Duration propagation_limit = std::chrono::milliseconds(2000);
  // A request sent this long after an entry showed a change may not be handled as before it.
  Duration revert_tolerance = std::chrono::milliseconds(250);
  // An upstream that leaves gets requests for this long.
  Duration drain_time = std::chrono::milliseconds(2000);
  // Bounds in time hold for what was not disturbed for this long.
  Duration settle_time = std::chrono::milliseconds(3000);
  // A final answer comes within this time after the route's timeout.
  Duration answer_tolerance = std::chrono::milliseconds(500);
  // An upstream learns within this time that a caller left.
  Duration cancel_tolerance = std::chrono::milliseconds(500);
  // Loading a piece that turned bad this shortly before is nobody's fault.
  Duration corruption_tolerance = std::chrono::milliseconds(3000);
  // After this time nothing runs on weights older than the wanted ones.
  Duration weights_rollout_limit = std::chrono::seconds(8);
  std::uint32_t stream_events = 8;  // of a whole stream
};

struct SentRequest {
  platform::CallerRequest request;
  RouteRule route;
  std::string account;
  std::string entry_vm;
  Instant sent = {};
};

struct Violation {
  std::string rule;
  std::string detail;
};

// Totals for the report.
struct SoakCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;     // "not run"
  std::uint64_t unknown = 0;     // 502, 504
  std::uint64_t broken_off = 0;  // connections that ended early
  std::uint64_t left = 0;
  std::uint64_t runs = 0;
  std::uint64_t loads = 0;
};

// No I/O. `now` never goes back.
class Checker {
 public:
  explicit Checker(CheckerOptions options) : options(options) {}

  // ---- faults: nothing that depends on time is asked of what is disturbed ----
  // `part`: a VM's name, an upstream's id or "store".
  void MarkDisturbed(std::string_view component, Instant now, Duration duration);
  // A planned stop; it disturbs nothing, and cuts no answers.
  void OnEntryStopping(std::string_view vm, Instant now);
  void OnEntryStarted(std::string_view vm);
  void OnStagedChunkCorrupted(std::string_view upstream, Instant now);

  // ---- changes ----
  // From revision `version` on, requests of `route` belong to `pool`.
  void OnRouteChanged(std::string_view route, std::uint64_t version, std::string_view pool,
                      Instant now);
  void OnUpstreamDrained(std::string_view upstream, Instant now);
  void OnWeightsPublished(std::uint64_t version, Instant now);

  // ---- what callers saw ----
  void OnSent(const SentRequest& sent);
  void OnAnswered(std::string_view attempt_id, const platform::CallerAnswer& answer, Instant now);

  // ---- what upstreams saw ----
  void OnArrived(const platform::ArrivedRequest& request, Instant now);
  void OnRun(const platform::ArrivedRequest& request, Instant now);
  void OnRunEnded(std::string_view attempt_id, Instant now);
  void OnLoad(std::string_view upstream, std::uint64_t version, bool complete, Instant now);

  // Any other failed expectation of the run.
  void AddViolation(std::string_view rule, const std::string& detail);

  const std::vector<Violation>& Violations() const { return this->violations; }
  const SoakCounts& Counts() const { return this->counts; }
  // Of the requests sent from `since` on: served, and all that were answered.
  std::pair<std::uint64_t, std::uint64_t> ServedSince(Instant since) const;

 private:
  struct Request {
    SentRequest sent;
    std::set<std::string> upstreams = {};  // upstreams
    std::uint32_t runs = 0;
    std::uint32_t running = 0;
    std::optional<platform::CallerAnswer> answer = {};
    Instant answered_at = {};
    Instant left_at = {};
  };
  struct RouteChange {
    std::uint64_t version = 0;
    std::string pool;
    Instant at = {};
  };

  Request* Find(std::string_view attempt_id);
  bool IsUndisturbed(std::string_view component, Instant now) const;
  // Whether entry, store and every upstream that the request ran at are calm.
  bool IsPathUndisturbed(const Request& request, Instant now) const;
  void CheckSuccess(const Request& request);
  void CheckNotRunAnswer(const Request& request);
  void CheckTruncation(const Request& request, Instant now);
  void CheckRoute(const Request& request, const platform::ArrivedRequest& arrived, Instant now);
  void CheckWeights(const Request& request, const platform::ArrivedRequest& arrived, Instant now);
  void Count(const platform::CallerAnswer& answer);

  CheckerOptions options;
  std::vector<Violation> violations = {};
  SoakCounts counts = {};
  std::map<std::string, Request, std::less<>> requests = {};
  std::map<std::string, Instant, std::less<>> disturbed_until = {};
  std::map<std::string, Instant, std::less<>> stopping_entries = {};
  std::map<std::string, Instant, std::less<>> drained_at = {};
  std::map<std::string, Instant, std::less<>> corrupted_at = {};
  std::map<std::string, std::vector<RouteChange>, std::less<>> route_changes = {};
  std::map<std::uint64_t, Instant> weights_published_at = {};  // version -> when it was named
  // (entry, route) -> newest change that its requests showed, and when.
  std::map<std::pair<std::string, std::string>, std::pair<std::uint64_t, Instant>>
      observed_changes = {};
};

}  // namespace savory
