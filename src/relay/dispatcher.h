// Decides which request runs now, where, and which is refused.
#pragma once

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "relay/dispatch_types.h"
#include "relay/engine_forecast.h"
#include "relay/routing_index.h"
#include "relay/slot_shares.h"
#include "relay/upstream.h"
#include "relay/upstream_health.h"

namespace savory {

struct DispatcherOptions {
  std::string data_centre;  // of this entry
  std::string entry = {};   // identity of this entry among all
  // Added to the prediction of an upstream in another data centre: its distance there and back, and
  // the traffic on the link that all share.
  Duration remote_penalty = std::chrono::milliseconds(15);
  // A report or load sample older than this says nothing about the load of other entries.
  Duration load_lifetime = std::chrono::milliseconds(1500);
  // A request is refused rather than put where its first event is predicted after this part of its
  // target, or its pauses after this part of the longest one; the rest covers the error of the
  // prediction.
  double usable_fraction = 0.8;
  // Part of its target that a request waits here for a place before it is refused.
  double wait_fraction = 0.125;
  // A part of an answer was delivered: the next upstream is awaited for this long.
  Duration rerun_wait = std::chrono::milliseconds(800);
  // Requests that come back are late already; they take only places that others leave free.
  double caller_retry_load_fraction = 0.9;
  Duration min_retry_after = std::chrono::milliseconds(700);
  Duration max_retry_after = std::chrono::milliseconds(1900);
  // For each request that this entry sent to an upstream since its last report, every other entry
  // is taken to have sent this many: all of them see the same report and prefer the same upstreams.
  double sent_by_others = 0.8;
  // Candidates of the own data centre, and of the others, that are compared for one request.
  // Entries that all took the best one of the same reports would meet there.
  std::size_t sample_size = 3;
  // Compared when none of the sample has room.
  std::size_t max_candidates = 96;
  // An entry may have this part of its share of an engine's places waiting there.
  double share_overcommit = 0.25;
  // Of the places that a report shows free, so many are left to the entries that own them; all
  // other entries divide the rest.
  double borrow_reserve_slots = 2;
  // Agents see a changed load after 0.1 s and tell far entries within 0.4 s more. After this time a
  // load that was not told again is still true: its free places are divided once more, and others
  // that had a place which this entry gained do not use it.
  Duration load_propagation_time = std::chrono::milliseconds(500);
  // The shares follow changes of the engines and entries with this delay at most.
  Duration shares_period = std::chrono::milliseconds(50);
};

// From `enforced_at` on, only engines with `version` or a newer one receive requests. Each version
// that was named has a rule of its own: a newer one does not put off an older one.
struct WeightsRule {
  std::uint64_t version = 0;
  Instant enforced_at = {};
};

// Places requests on upstreams. Each entry decides alone, from its own attempts, the engines'
// reports and the load that answers tell; the load of the other entries at an upstream is what was
// reported less what this entry had there. Not a queue for long waits: what finds no place within a
// fraction of its target is refused, so that the caller knows at once.
class Dispatcher {
 public:
  // `random` must outlive the dispatcher.
  Dispatcher(DispatcherOptions options, Random& random);

  void SetRules(SharedRouting rules);
  // Live entries, this one included, that place requests on the same upstreams.
  void SetEntries(std::vector<EntryDemand> all);
  void SetUpstream(const Upstream& upstream);
  void RemoveUpstream(std::string_view id);
  void AddReport(const EngineReport& report, Instant now);
  void AddLoad(std::string_view upstream, const UpstreamLoad& load, Instant now);
  void SetWeightsRules(const std::string& pool, std::vector<WeightsRule> rules);

  DispatchVerdict Submit(DispatchRequest request, Instant now);
  // Requests that waited and now have a place or are refused. Call after each end of an attempt and
  // every 10 ms while something waits.
  std::vector<DispatchVerdict> Poll(Instant now);
  // Forgets a waiting request.
  void Withdraw(AttemptNumber attempt);

  // The prompt was read: its first event came.
  void OnFirstEvent(AttemptNumber attempt);
  // Returns what the end changed in the belief about the upstream.
  std::optional<HealthChange> OnEnded(AttemptNumber attempt, AttemptResult result, Instant now);

  // Requests to engines that were submitted first here.
  std::uint64_t EngineRequests() const { return this->engine_requests; }
  std::size_t Waiting() const { return this->waiting.size(); }
  // Upstreams of `pool` that may receive requests now.
  std::size_t Usable(std::string_view pool, Instant now) const;

 private:
  struct UpstreamState {
    Upstream upstream;
    UpstreamHealth health = UpstreamHealth();
    std::uint32_t own = 0;         // attempts of this entry
    std::uint32_t share = 0;       // places that belong to this entry
    std::uint32_t confirmed = 0;   // those that it may use, see ConfirmShare()
    Instant share_grew_at = {};    // when the share last grew beyond them
    std::uint32_t borrowable = 0;  // places of others that it may take, see UpdateBorrowable()
    Instant borrowable_at = {};
    double own_prefill_tokens = 0;  // of their prompts
    std::optional<EngineReport> report = {};
    std::optional<Instant> reported_at = {};
    UpstreamLoad load = {};
    std::optional<Instant> load_at = {};
    double others = 0;             // requests of other entries, at `load_at`
    std::uint32_t sent_since = 0;  // attempts of this entry since `load_at`
  };
  struct Sent {
    std::string upstream;
    double prefill_tokens = 0;
  };
  struct Candidate {
    const UpstreamState* state = nullptr;
    EngineForecast forecast = {};
    double load = 0;
    Duration score = {};
    std::size_t usable = 0;  // places that were compared with it or might have been
  };
  using PoolUpstreams = std::map<std::string, UpstreamState, std::less<>>;

  // Oldest version that engines of `pool` may hold now; 0: any.
  std::uint64_t RequiredWeights(std::string_view pool, Instant now) const;
  bool MayUse(const UpstreamState& state, const DispatchRequest& request, Instant now) const;
  // What every entry knows of the upstream alike.
  bool IsServing(const UpstreamState& state, Instant now) const;
  void UpdateShares(Instant now);
  void UpdatePoolShares(PoolUpstreams& pool, Instant now);
  // Requests of the entry that had a place before may still run there: a gained place is used once
  // a report has come since, which counts them, or when none had to come for a while.
  void ConfirmShare(UpstreamState& state, Instant now) const;
  // Counts this entry's part of the places that are free beyond the shares.
  void UpdateBorrowable(UpstreamState& state, Instant now);
  // Whether a place of this entry's share is left, or one of its part of the queue.
  bool HasOwnSlot(const UpstreamState& state) const;
  std::uint64_t WeightsOf(const UpstreamState& state) const;
  double LoadOf(const UpstreamState& state, Instant now) const;
  double SentByOthers(const UpstreamState& state, Instant now) const;
  Candidate Evaluate(const UpstreamState& state, const DispatchRequest& request,
                     const PoolRule* pool, Instant now) const;
  Candidate PickBest(const DispatchRequest& request, Instant now);
  bool Fits(const Candidate& candidate, const DispatchRequest& request, Instant now) const;
  std::optional<DispatchVerdict> TryPlace(const DispatchRequest& request, Instant now,
                                          Candidate& best);
  DispatchVerdict Refuse(const DispatchRequest& request, const Candidate& best, Instant now);
  static Duration LoadAge(const UpstreamState& state, Instant now);
  Instant WaitLimit(const DispatchRequest& request) const;
  void UpdateLoad(UpstreamState& state, const UpstreamLoad& load, Instant now);

  DispatcherOptions options;
  Random& random;
  SharedRouting rules = {};
  std::vector<EntryDemand> entries = {};  // sorted; with this one
  std::size_t own_entry = 0;              // index of this one
  Instant shares_due = {};
  std::uint64_t engine_requests = 0;
  TextMap<PoolUpstreams> pools = {};               // by pool, then by upstream id
  TextMap<std::string> pool_of = {};               // upstream id -> pool
  TextMap<std::string> id_at = {};                 // address -> upstream id
  TextMap<std::vector<WeightsRule>> weights = {};  // by pool
  std::unordered_map<AttemptNumber, Sent> sent = {};
  std::list<DispatchRequest> waiting = {};  // most urgent first
};

}  // namespace savory
