// Decides which requests are sent now, to which upstream, and which are refused.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission.h"
#include "base/random.h"
#include "placement/leaving_policy.h"
#include "placement/placement.h"
#include "placement/steady_share.h"
#include "relay/agent_words.h"
#include "relay/dispatch_types.h"
#include "relay/doubtful_failures.h"
#include "relay/engine_forecast.h"
#include "relay/engine_pace.h"
#include "relay/first_event_waits.h"
#include "relay/former_health.h"
#include "relay/replaced_starts.h"
#include "relay/routing_index.h"
#include "relay/shortage.h"
#include "relay/slot_shares.h"
#include "relay/upstream.h"
#include "relay/upstream_health.h"
#include "relay/upstream_notices.h"
#include "relay/upstream_silence.h"

namespace savory {

enum class CandidateBar : std::uint8_t;
struct DispatchExplanation;
struct UpstreamView;

struct DispatcherOptions {
  std::string data_centre;  // of this entry
  PlacementOptions placement = {};
  std::string entry = {};  // identity of this entry, as known to all entries
  LeavingOptions leaving = {};
  // Added to the predicted time of an upstream in another data centre where the ways between data
  // centres are not known, for the round trip and for the load on the shared link.
  Duration remote_penalty = std::chrono::milliseconds(15);
  // Reports and load samples older than this are ignored, as they say nothing about the current
  // load of other entries.
  Duration load_lifetime = std::chrono::milliseconds(1500);
  // A request is sent only where its first event is predicted within this fraction of its latency
  // target and its pauses within this fraction of the longest allowed one. The rest covers
  // prediction errors.
  double usable_fraction = 0.8;
  // A request waits here for a slot for at most this fraction of its latency target before it is
  // refused.
  double wait_fraction = 0.125;
  // A first request waits so long where it would begin in time, unless the shortage lasts.
  double long_wait_fraction = 0.5;
  // After an attempt that ran or may have run, a request without a begun answer waits up to this
  // long for another upstream.
  Duration rerun_wait = std::chrono::milliseconds(800);
  // Retries by callers miss their target anyway. They are sent only to upstreams with a load below
  // this fraction of the slots, so that the rest stays free for new requests.
  double caller_retry_load_fraction = 0.9;
  Duration min_retry_after = std::chrono::milliseconds(700);
  Duration max_retry_after = std::chrono::milliseconds(1900);
  // Callers wait as told for at most this fraction of the time that they have left.
  double max_retry_after_fraction = 1.0 / 3;
  // For each request that this entry sent to a plain service since its last load sample, every
  // other entry is assumed to have sent this many, because all entries see the same load and prefer
  // the same upstreams.
  double sent_by_others = 0.8;
  // If no upstream with slots of this entry fits, this many others are compared, drawn at random
  // from this entry's data centre, and as many from the other data centres. If all entries took the
  // best upstream of the same reports, they would overload it.
  std::size_t sample_size = 3;
  // An entry follows the load of at least this many engines and sends requests only to those.
  std::size_t min_followed_engines = 16;
  // Where routes or accounts are bound to home regions, an entry also follows this many engines of
  // each home region, for their requests only.
  std::size_t home_engines = 6;
  // What other entries say of an engine's availability is ignored when it is older than this.
  Duration availability_lifetime = std::chrono::milliseconds(3500);
  // In addition to its share of an engine's slots, an entry may have this fraction of the share
  // queued there.
  double share_overcommit = 0.25;
  PoolRoomOptions room = {};  // of priorities that compete for a pool
  // Of the slots that a report shows as free, this many are reserved for the entries that own them.
  // The rest is divided among the other entries.
  double borrow_reserve_slots = 2;
  // An agent notices a change of the load of a busy engine after 0.2 s and reports it within
  // another 0.2 s, or 0.4 s to other regions. If no report arrives within this time, the load has
  // hardly changed: the free slots are divided again, and slots that this entry gained are no
  // longer in use by their previous owners.
  Duration load_propagation_time = std::chrono::milliseconds(500);
  // Minimum interval between two recomputations of the shares.
  Duration shares_period = std::chrono::milliseconds(50);
  // No request may begin at an engine with older weights from this long before the deadline of a
  // version. This covers the period of the checks and the time until the engine notices the closed
  // connection of an attempt that was withdrawn.
  Duration outdated_reserve = std::chrono::milliseconds(500);
  // Bytes of an answer are noted as a sign of its upstream at most once in this time.
  Duration answer_note_period = std::chrono::milliseconds(100);
};

// From `enforced_at` on, only engines with weights `version` or newer receive requests; from
// `deadline` on, no request may begin with older weights. Each version that operators requested has
// its own rule, so a newer version does not postpone the deadline of an older one.
struct WeightsRule {
  std::uint64_t version = 0;
  Instant enforced_at = {};
  Instant deadline = Instant::max();
};

// Assigns requests to upstreams. Each entry decides alone, from its own attempts, the engines'
// reports and the load in upstreams' answers. It estimates the load of the other entries on an
// upstream as the reported load minus its own requests there. Requests wait here only briefly: one
// that gets no slot within a fraction of its latency target, which is smaller in a shortage that
// lasts, is refused, so that the caller learns of it at once.
class Dispatcher {
 public:
  // `random` must outlive the dispatcher.
  Dispatcher(DispatcherOptions options, Random& random);

  // Returns the pools whose limit for cold upstreams is malformed and stays as it was.
  std::vector<std::string> SetRules(SharedRouting rules);
  // Sets the live entries, this one included, that send to the same upstreams.
  void SetEntries(std::vector<EntryDemand> all);
  void SetUpstream(const Upstream& upstream);
  void RemoveUpstream(std::string_view id);
  void AddReport(const EngineReport& report, Instant now);
  // Availability of an engine as another entry passes it on. A report of its agent goes before it.
  void AddAvailability(const EngineAvailability& passed_on, Instant now);
  void AddLoad(std::string_view upstream, const UpstreamLoad& load, Instant now);
  // An answer said that the upstream is leaving, or that it wants no requests for `wait`. Both
  // return whether this was not known before. The upstream need not be in the list.
  bool AddLeaving(const UpstreamStart& start, Instant now);
  bool AddWait(const UpstreamStart& start, Duration wait, Instant now);
  Placement& Places() { return this->placement; }
  const Placement& Places() const { return this->placement; }
  LeavingPolicy& Leaving() { return this->leaving; }
  Admission& Room() { return this->admission; }
  // The upstream, which need not be in the list, answered that it is cold for `remaining`. For what
  // its record says, see ColdLimits::OnRecord().
  void SetCold(std::string_view upstream, Duration remaining, Instant now);
  // See Placement::SetEvacuated. Upstreams that are back count as cold.
  void SetEvacuated(const std::string& data_centre, bool evacuated, Instant now);
  void SetWeightsRules(const std::string& pool, std::vector<WeightsRule> rules);
  // Whether this start of the upstream is listed and not known to be leaving.
  bool IsExpectedToStay(const UpstreamStart& start, Instant now) const;
  // Whether a later start took the place of this one, which was not known to be leaving.
  bool WasReplaced(const UpstreamStart& start, Instant now) const;
  // A later start, which may have another id, is about to take the place of upstream `id`.
  void NoteLaterStart(std::string_view id, std::int64_t later_unix_ms);
  // Whether the engine's weights at that attempt have been replaced, or are due to be.
  bool ReplacesWeights(const EngineTry& sent, Instant now) const;

  DispatchVerdict Submit(DispatchRequest request, Instant now);
  // Returns the waiting requests that are now sent or refused. Must be called periodically while
  // requests wait; Relay calls it every 10 ms.
  std::vector<DispatchVerdict> Poll(Instant now);
  // Whether Submit() would send the request now to an upstream that is not silent.
  bool CouldSend(const DispatchRequest& request, Instant now);
  // What Submit() would decide, and why, without any effect: no count, share or random number is
  // used up. Takes time in proportion to all upstreams and attempts. `max_views` upstreams are
  // described.
  DispatchExplanation Explain(DispatchRequest request, Instant now, std::size_t max_views) const;
  // Removes a waiting request.
  void Withdraw(AttemptNumber attempt);

  // Bytes of the attempt's answer arrived, so its upstream is not silent. Cheap enough for each.
  void OnAnswerBytes(AttemptNumber attempt, Instant now);
  // The first event of a stream, or the head of another answer, arrived: the prompt has been
  // processed.
  void OnFirstEvent(AttemptNumber attempt, Instant now);
  // Attempts of this entry at the upstream, listed or not, whose first event has not arrived.
  std::size_t WaitingAt(std::string_view upstream) const;
  // Whether a request of `pool` that began on `weights_version` at `now` began after the deadline
  // of a newer version; nullopt if not.
  std::optional<OverdueWeights> Overdue(std::string_view pool, std::uint64_t weights_version,
                                        Instant now) const;
  // Whether the start of an upstream that the attempt was sent to is in the list.
  bool IsTargetListed(AttemptNumber attempt) const;
  // Returns the attempts that must be withdrawn, as they could begin with outdated weights. Must be
  // called several times within `outdated_reserve`.
  std::vector<OutdatedAttempt> OutdatedAttempts(Instant now) const;
  // Returns the change if this result ejected the upstream or made it usable again.
  std::optional<HealthChange> OnEnded(AttemptNumber attempt, AttemptResult result, Instant now);

  // Time after which a caller that is refused now should return. Random, so that callers do not
  // return together. If all upstreams of `pool` want no requests for a while, it lies after that
  // while as far as the caller waits so long.
  Duration RetryAfter(std::string_view pool, Instant caller_deadline, Instant now);

  // Number of requests to engine pools submitted so far, without retries.
  std::uint64_t EngineRequests() const { return this->engine_requests; }
  std::size_t Waiting() const { return this->waiting.size(); }
  // Number of listed engines that only the last word of their agent, which is heard no more, keeps
  // from receiving requests.
  std::size_t Withheld(Instant now) const;
  // Number of engines that would receive requests as usual if they had not fallen silent.
  std::size_t Silent(Instant now) const;
  // Number of listed upstreams where work takes at least `kSlowPace` times as long as usual.
  static constexpr double kSlowPace = 1.5;
  std::size_t Slow(Instant now) const;
  // Number of upstreams of `pool` that may receive requests now.
  std::size_t Usable(std::string_view pool, Instant now) const;
  // Addresses of the engines whose load this entry must follow, sorted: see EngineWindow().
  std::vector<std::string> EnginesToFollow(Instant now);

 private:
  struct UpstreamState {
    Upstream upstream;
    UpstreamHealth health = UpstreamHealth();
    DoubtfulFailures doubtful = DoubtfulFailures();
    UpstreamSilence silence = UpstreamSilence();
    std::uint32_t own = 0;            // attempts of this entry
    bool followed = false;            // an engine that this entry sends to, see EngineWindow()
    bool followed_for_homes = false;  // see FollowHomes()
    std::uint32_t share = 0;          // slots that belong to this entry
    SteadyShare steady_share = SteadyShare();
    SteadyShare steady_room = SteadyShare();  // for entries that may send to it, see ColdShareOf()
    std::uint32_t confirmed = 0;              // those that may be used, see ConfirmShare()
    Instant share_grew_at = {};    // when `share` first exceeded `confirmed`; epoch: it does not
    std::uint32_t borrowable = 0;  // other entries' slots it may use, see UpdateBorrowable()
    // When it refused a request; epoch: nothing since the last word on its load, see IsFull().
    Instant refused_at = {};
    Instant borrowable_at = {};
    double own_prefill_tokens = 0;  // prompt tokens of own attempts without a first event
    std::optional<EngineReport> report = {};
    std::optional<Instant> reported_at = {};
    std::optional<EngineAvailability> passed_on = {};
    Instant passed_on_at = {};
    UpstreamLoad load = {};
    EnginePace pace = EnginePace();
    FirstEventWaits waits = FirstEventWaits();  // of own attempts
    std::optional<Instant> load_at = {};
    double others = 0;             // requests of other entries at `load_at`
    std::uint32_t sent_since = 0;  // attempts of this entry since `load_at`
  };
  struct AgentWord {
    bool serves = false;                                // reachable, and takes requests
    std::optional<std::uint64_t> weights_version = {};  // nullopt: the engine did not answer
  };
  struct Sent {
    std::string upstream;
    std::int64_t started_unix_ms = 0;  // of the upstream
    std::string pool = {};
    std::uint64_t weights_version = 0;   // that the upstream held then; 0: a plain service
    std::uint64_t recorded_version = 0;  // the same by its record
    Instant sent_at = {};
    double prefill_tokens = 0;
    bool began = false;  // the first event arrived
    Instant answer_noted_at = {};
  };
  struct Candidate {
    const UpstreamState* state = nullptr;
    EngineForecast forecast = {};
    double load = 0;
    Duration score = {};
    std::size_t usable = 0;  // upstreams that may be used for the request
    LeavingReason left = LeavingReason::kStays;
  };
  // Upstreams that may be used for a request, by side.
  struct Sides {
    std::vector<const UpstreamState*> own_near = {};  // with slots of this entry
    std::vector<const UpstreamState*> own_far = {};
    std::vector<const UpstreamState*> near = {};
    std::vector<const UpstreamState*> far = {};
  };
  struct Choice {
    Candidate best = {};
    bool has_room = false;  // for the request at `best`
  };
  using PoolUpstreams = std::map<std::string, UpstreamState, std::less<>>;

  // Oldest weights version with which engines of `pool` may receive requests; 0: any.
  std::uint64_t RequiredWeights(std::string_view pool, Instant now) const;
  bool MayUse(const UpstreamState& state, const DispatchRequest& request, Instant now) const;
  bool IsAvoided(const UpstreamState& state, const DispatchRequest& request, Instant now) const;
  // Whether new requests of this entry may go to the upstream: to a followed engine or any service.
  bool IsCandidate(const UpstreamState& state, const DispatchRequest& request) const;
  // Whether the upstream accepts requests at all. Depends only on data that all entries have, so
  // that they all divide the slots of the same engines. The record of an engine says which weights
  // it holds, but not that they may be used: it counts only while no agent refuses requests.
  bool IsServing(const UpstreamState& state, Instant now) const;
  // Whether a report of the engine's agent is recent enough to count.
  bool HasReport(const UpstreamState& state, Instant now) const;
  void UpdateShares(Instant now);
  void UpdatePoolShares(PoolUpstreams& pool, Instant now);
  // The engines among `serving` that this entry follows.
  IndexRange ChooseWindow(std::span<UpstreamState* const> serving,
                          std::span<const std::uint32_t> slots, std::span<const double> demands,
                          Instant now) const;
  // What this entry has gained of the engine within the window counts little, and the number of
  // others that send there counts as the largest within the window: others learn later, or this
  // entry has just started.
  ColdShare ColdShareOf(const UpstreamState& state, Instant now) const;
  // Number of entries that may send to the upstream, this one included.
  std::size_t SendersTo(const UpstreamState& state, Instant now) const;
  void NoteColdShare(UpstreamState& state, Instant now) const;
  // Requests with homes go to engines of these regions, which the entry's window need not contain.
  void FollowHomes(std::span<UpstreamState* const> serving) const;
  // Whether there are upstreams in `pool`, but none that the request may be sent to wherever there
  // is room.
  bool IsBarredEverywhere(const DispatchRequest& request) const;
  // Requests of a slot's previous owner may still be running. So a gained slot is used only once a
  // newer report has counted them, or after a time without a report.
  void ConfirmShare(UpstreamState& state, Instant now) const;
  // Updates how many free slots beyond the shares this entry may use.
  void UpdateBorrowable(UpstreamState& state, Instant now);
  // Whether this entry has a free slot in its confirmed share, or room in its part of the queue.
  bool HasOwnSlot(const UpstreamState& state) const;
  // The freshest word of the engine's agent: its own, or one that another entry passed on.
  std::optional<AgentWord> FreshestWord(const UpstreamState& state, Instant now) const;
  // The version that the engine holds by the freshest word on it; without one, by its record.
  std::uint64_t WeightsOf(const UpstreamState& state, Instant now) const;
  // The version that an attempt which waits at `target` would begin on; nullptr: see FindTarget().
  std::uint64_t WeightsAt(const Sent& sent, const UpstreamState* target, Instant now) const;
  // The newest version that any word on this start of the engine named, however old the word is.
  static std::uint64_t NewestNamed(const UpstreamState& state);
  // The oldest version of `pool` that is newer than `held`; `held` if there is none.
  std::uint64_t NextVersion(std::string_view pool, std::uint64_t held) const;
  // The version that first makes weights `held` in `pool` outdated; nullptr: none.
  const WeightsRule* NextRule(std::string_view pool, std::uint64_t held) const;
  // The attempt waits for its first event no more. Returns its target: see FindTarget().
  UpstreamState* EndPrefill(Sent& sent);
  // The version that the last word on this start of the engine named, however old it is; 0: none.
  static std::uint64_t LastNamed(const UpstreamState& state);
  // A word on the engine names its weights: if they have changed, failures that may have come from
  // a load count no more.
  static void TakeBackFailures(UpstreamState& state, std::uint64_t weights, Instant now);
  // Counts the end of an attempt for the upstream's health: see OnEnded().
  std::optional<HealthChange> Judge(UpstreamState& state, AttemptResult result, Instant now);
  // Counts the attempts that go on at this start of an upstream, which is listed anew.
  void CountAttempts(UpstreamState& state) const;
  // The start of an upstream that the attempt was sent to; nullptr if that start is not listed.
  const UpstreamState* FindTarget(const Sent& sent) const;
  // Whether the engine loads weights, so that requests in its queue begin with newer ones: with any
  // version that is newer than those before, as nobody says which one the agent loads.
  bool IsLoading(const UpstreamState& state, Instant now) const;
  double LoadOf(const UpstreamState& state, Instant now) const;
  double SentByOthers(const UpstreamState& state, Instant now) const;
  Candidate Evaluate(const UpstreamState& state, const DispatchRequest& request,
                     const PoolRule* pool, Instant now) const;
  Candidate PickBest(const DispatchRequest& request, Instant now);
  // Replaces `choice` by a better one among `states`, if there is one.
  void Improve(Choice& choice, std::span<const UpstreamState* const> states,
               const DispatchRequest& request, const PoolRule* pool, Instant now) const;
  // Adds the engines that were heard and are silent, if nothing else has room. Where requests may
  // leave the data centre, one that finds a silent engine near stays.
  void AddSilent(Choice& choice, std::span<const UpstreamState* const> silent,
                 const DispatchRequest& request, const PoolRule* pool, Instant now);
  // Whether the request may be sent to an engine that is silent: as to one that is half open, and
  // only if it ends before a version makes the weights there outdated.
  bool MayProbeSilent(const UpstreamState& state, const DispatchRequest& request,
                      Instant now) const;
  Choice PickByScore(Sides sides, const DispatchRequest& request, const PoolRule* pool,
                     Instant now);
  Choice PickBySide(Sides sides, const DispatchRequest& request, const PoolRule* pool, Instant now);
  SideOffer OfferOf(const Choice& choice, const DispatchRequest& request, Instant now) const;
  static std::size_t BytesOf(const DispatchRequest& request);
  bool Fits(const Candidate& candidate, const DispatchRequest& request, Instant now) const;
  // Whether the engine has refused a request, and nothing tells since that it has a slot again.
  bool IsFull(const UpstreamState& state, Instant now) const;
  // Whether the forecast says that it is answered with its full value.
  bool IsInTime(const Candidate& candidate, const DispatchRequest& request, Instant now) const;
  // Whether a request that is sent there now begins before the engine's weights are outdated.
  bool BeginsInTime(const Candidate& candidate, Instant now) const;
  std::optional<DispatchVerdict> TryPlace(const DispatchRequest& request, Instant now,
                                          Candidate& best);
  DispatchVerdict Refuse(const DispatchRequest& request, const Candidate& best, Instant now);
  static Duration LoadAge(const UpstreamState& state, Instant now);
  Instant WaitLimit(const DispatchRequest& request) const;
  // Until when a request waits that can't be placed now, at best at `best`: WaitLimit() or longer.
  Instant WaitEnd(const DispatchRequest& request, const Candidate& best, Instant now) const;
  // When the first serving upstream outside `avoided` may be used; nullopt if none of the pool's
  // upstreams asked for a wait. Silent ones count only if there are no others.
  std::optional<Instant> EndOfWaits(std::string_view pool, std::span<const std::string> avoided,
                                    Instant now) const;
  // Whether a more urgent request waits for the same pool.
  bool YieldsToWaiting(const DispatchRequest& request) const;
  // Lets admission compare what this entry and the others report.
  void UpdateAdmission(Instant now);
  // The part of Submit() before the decision: counts what callers ask for.
  void CountAsked(DispatchRequest& request, Instant now);
  // The decision of Submit(). `yields`: see YieldsToWaiting().
  DispatchVerdict Decide(DispatchRequest request, bool yields, Instant now);
  // Whether room is kept for more urgent requests.
  bool IsRoomLimited(const DispatchRequest& request) const;
  CandidateBar BarOf(const UpstreamState& state, const DispatchRequest& request, Instant now) const;
  // The reason why an upstream is not IsServing().
  CandidateBar ServingBarOf(const UpstreamState& state, Instant now) const;
  UpstreamView ViewOf(const UpstreamState& state, const DispatchRequest& request,
                      Instant now) const;
  void AddViews(DispatchExplanation& explanation, const DispatchRequest& request,
                Instant now) const;
  // Whether the request is a first attempt at an engine pool.
  bool IsFirstAttempt(const DispatchRequest& request) const;
  // Whether it is known that the request cannot be sent within the time that it may wait here.
  bool IsHopeless(const DispatchRequest& request, const Candidate& best, Instant now) const;
  void UpdateLoad(UpstreamState& state, const UpstreamLoad& load, Instant now);

  DispatcherOptions options;
  std::reference_wrapper<Random> random;
  SharedRouting rules = {};
  std::vector<EntryDemand> entries = {};  // sorted by data centre and identity; includes this one
  std::size_t own_entry = 0;              // index of this entry
  Instant shares_due = {};
  std::uint64_t engine_requests = 0;
  TextMap<PoolUpstreams> pools = {};               // by pool, then by upstream id
  TextMap<std::string> pool_of = {};               // upstream id -> pool
  TextMap<std::string> id_at = {};                 // address -> upstream id
  TextMap<std::vector<WeightsRule>> weights = {};  // by pool
  std::unordered_map<AttemptNumber, Sent> sent = {};
  std::list<DispatchRequest> waiting = {};  // most urgent first
  TextMap<Shortage> shortages = {};         // by engine pool
  // Apart from `pools`, because what an upstream or its agent said outlives its record.
  UpstreamNotices notices = UpstreamNotices();
  FormerHealth former_health = FormerHealth();
  ReplacedStarts replaced = ReplacedStarts();
  Placement placement;
  LeavingPolicy leaving;
  Admission admission;
  AgentWords words = AgentWords();
};

}  // namespace savory
