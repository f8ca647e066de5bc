#include "relay/dispatcher.h"

#include <algorithm>
#include <span>
#include <tuple>
#include <utility>

#include "relay/upstream_keys.h"

namespace savory {
namespace {

// Predicted answer time of an idle plain service. The prediction grows in proportion to its load
// and reaches twice this time when all slots are in use, so that loads can be compared.
constexpr Duration kPlainIdleTime = std::chrono::milliseconds(60);
// Requests that may be queued at a plain service, as a fraction of its slots.
constexpr double kPlainQueueRatio = 1.0;
// More entries than this that may send to an engine are not told apart.
constexpr std::size_t kMaxSenders = 4096;

// Whether an attempt that ended so without a first event shows how long others would wait.
bool WaitedInVain(AttemptResult result) {
  return result == AttemptResult::kSilent || result == AttemptResult::kCancelled ||
         result == AttemptResult::kErrored;
}

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options, Random& random)
    : options(std::move(options)),
      random(random),
      placement(this->options.placement),
      leaving(this->options.leaving),
      admission(this->options.room) {
  this->leaving.SetRegions(this->options.placement.regions);
}

std::vector<std::string> Dispatcher::SetRules(SharedRouting given) {
  this->rules = std::move(given);
  this->leaving.SetWays(this->rules->Rules().ways);
  std::map<std::string, ColdRule, std::less<>> cold;
  for (const PoolRule& pool : this->rules->Rules().pools) cold.emplace(pool.name, pool.cold);
  return this->placement.Cold().SetRules(std::move(cold));
}

void Dispatcher::SetCold(std::string_view upstream, Duration remaining, Instant now) {
  this->placement.Cold().SetCold(upstream, remaining, now);
}

void Dispatcher::SetEvacuated(const std::string& data_centre, bool evacuated, Instant now) {
  if (!this->placement.SetEvacuated(data_centre, evacuated)) return;
  this->shares_due = {};
  if (!evacuated) this->placement.Cold().OnDataCentreReturned(data_centre, now);
}

ColdShare Dispatcher::ColdShareOf(const UpstreamState& state, Instant now) const {
  if (!state.upstream.is_engine) {
    const std::size_t entries = this->SendersTo(state, now);
    return {.fraction = 1.0 / static_cast<double>(entries), .entries = entries};
  }
  const double slots = std::max(1u, state.upstream.slots);
  const double held = std::min(state.share, state.steady_share.Least(now)) / slots;
  return {.fraction = held,
          .gained = state.share / slots - held,
          .entries = kMaxSenders - state.steady_room.Least(now)};
}

std::size_t Dispatcher::SendersTo(const UpstreamState& state, Instant now) const {
  // Only entries that follow an engine send to it.
  const bool counted = this->HasReport(state, now) && state.report->followers > 0;
  return std::max<std::size_t>(1, counted ? state.report->followers : this->entries.size());
}

void Dispatcher::NoteColdShare(UpstreamState& state, Instant now) const {
  const std::size_t senders = std::min<std::size_t>(kMaxSenders, this->SendersTo(state, now));
  state.steady_share.Set(state.share, now);
  state.steady_room.Set(static_cast<std::uint32_t>(kMaxSenders - senders), now);
}

void Dispatcher::SetUpstream(const Upstream& upstream) {
  this->NoteLaterStart(upstream.id, upstream.started_unix_ms);
  const auto known = this->pool_of.find(upstream.id);
  if (known != this->pool_of.end() && known->second != upstream.pool) {
    this->RemoveUpstream(upstream.id);
  }
  const bool is_listed = this->pool_of.contains(upstream.id);
  if (!is_listed) this->shares_due = {};
  UpstreamState& state = this->pools[upstream.pool][upstream.id];
  if (!is_listed || state.upstream.started_unix_ms != upstream.started_unix_ms ||
      state.upstream.address != upstream.address) {
    // The upstream was restarted, so its health, load and reports no longer apply.
    const auto former = this->id_at.find(state.upstream.address);
    if (former != this->id_at.end() && former->second == upstream.id) this->id_at.erase(former);
    state = UpstreamState{.upstream = upstream, .health = this->former_health.Take(upstream)};
    this->pool_of[upstream.id] = upstream.pool;
    this->CountAttempts(state);
  }
  state.upstream = upstream;
  this->id_at[upstream.address] = upstream.id;
}

// An upstream may lose its record and get it back while attempts go on there.
void Dispatcher::CountAttempts(UpstreamState& state) const {
  for (const auto& [attempt, sent] : this->sent) {
    if (sent.upstream != state.upstream.id || this->FindTarget(sent) != &state) continue;
    ++state.own;
    state.own_prefill_tokens += sent.prefill_tokens;
    state.health.OnStarted();
    if (!sent.began) state.waits.OnSent(attempt, sent.sent_at);
  }
}

void Dispatcher::RemoveUpstream(std::string_view id) {
  const auto known = this->pool_of.find(id);
  if (known == this->pool_of.end()) return;
  const auto pool = this->pools.find(known->second);
  if (pool != this->pools.end()) {
    const auto state = pool->second.find(id);
    if (state != pool->second.end()) {
      const auto at = this->id_at.find(state->second.upstream.address);
      if (at != this->id_at.end() && at->second == id) this->id_at.erase(at);
      this->former_health.Keep(state->second.upstream, state->second.health);
      pool->second.erase(state);
    }
  }
  this->pool_of.erase(known);
}

void Dispatcher::UpdateLoad(UpstreamState& state, const UpstreamLoad& load, Instant now) {
  state.load = load;
  if (load.pace) state.pace.OnAnswered(*load.pace, now);
  state.load_at = now;
  state.refused_at = {};
  state.others = std::max(0.0, static_cast<double>(load.running + load.waiting) - state.own);
  state.sent_since = 0;
  this->UpdateBorrowable(state, now);
  this->ConfirmShare(state, now);
}

// The other entries that follow the engine see the same report, so the free slots are divided
// equally. The quotient is rounded up or down at random.
void Dispatcher::UpdateBorrowable(UpstreamState& state, Instant now) {
  state.borrowable_at = now;
  const double free = static_cast<double>(state.upstream.slots) - state.own - state.others -
                      this->options.borrow_reserve_slots;
  const std::size_t sharing =
      state.report && state.report->followers > 0 ? state.report->followers : this->entries.size();
  const auto others = static_cast<double>(std::max<std::size_t>(sharing, 2) - 1);
  state.borrowable =
      static_cast<std::uint32_t>(std::max(0.0, free / others + UniformUnit(this->random)));
  if (free <= 0) state.borrowable = 0;
}

void Dispatcher::AddReport(const EngineReport& report, Instant now) {
  const auto id = this->id_at.find(report.address);
  if (id == this->id_at.end()) return;
  const auto pool = this->pools.find(this->pool_of.find(id->second)->second);
  UpstreamState& state = pool->second.find(id->second)->second;
  this->words.AddReport(StartOf(state.upstream), report, NewestNamed(state), now);
  if (report.reachable) TakeBackFailures(state, report.weights_version, now);
  state.report = report;
  state.reported_at = now;
  state.silence.OnReport(now);
  state.pace.OnReported(report.pace);
  if (report.reachable && report.load_known) this->UpdateLoad(state, report.load, now);
}

void Dispatcher::AddAvailability(const EngineAvailability& passed_on, Instant now) {
  const auto id = this->id_at.find(passed_on.address);
  if (id == this->id_at.end()) return;
  const auto pool = this->pools.find(this->pool_of.find(id->second)->second);
  UpstreamState& state = pool->second.find(id->second)->second;
  this->words.AddPassedOn(StartOf(state.upstream), passed_on, NewestNamed(state), now);
  if (passed_on.reachable && !this->HasReport(state, now)) {
    TakeBackFailures(state, passed_on.weights_version, now);
  }
  state.passed_on = passed_on;
  state.passed_on_at = now;
}

void Dispatcher::AddLoad(std::string_view upstream, const UpstreamLoad& load, Instant now) {
  const auto known = this->pool_of.find(upstream);
  if (known == this->pool_of.end()) return;
  UpstreamState& state = this->pools.find(known->second)->second.find(upstream)->second;
  this->UpdateLoad(state, load, now);
}

bool Dispatcher::AddLeaving(const UpstreamStart& start, Instant now) {
  return this->notices.AddLeaving(start, now);
}

bool Dispatcher::AddWait(const UpstreamStart& start, Duration wait, Instant now) {
  return this->notices.AddWait(start, wait, now);
}

void Dispatcher::SetWeightsRules(const std::string& pool, std::vector<WeightsRule> rules) {
  this->weights[pool] = std::move(rules);
}

std::uint64_t Dispatcher::RequiredWeights(std::string_view pool, Instant now) const {
  const auto found = this->weights.find(pool);
  if (found == this->weights.end()) return 0;
  std::uint64_t required = 0;
  for (const WeightsRule& rule : found->second) {
    if (now >= rule.enforced_at) required = std::max(required, rule.version);
  }
  return required;
}

std::uint64_t Dispatcher::NewestNamed(const UpstreamState& state) {
  const std::uint64_t reported = state.report ? state.report->weights_version : 0;
  const std::uint64_t passed_on = state.passed_on ? state.passed_on->weights_version : 0;
  return std::max({state.upstream.weights_version, reported, passed_on});
}

std::optional<Dispatcher::AgentWord> Dispatcher::FreshestWord(const UpstreamState& state,
                                                              Instant now) const {
  const auto word_of = [](const auto& said) {
    return AgentWord{
        .serves = said.reachable && said.accepting,
        .weights_version = said.reachable ? std::optional(said.weights_version) : std::nullopt};
  };
  if (this->HasReport(state, now)) return word_of(*state.report);
  if (!state.passed_on || now - state.passed_on_at >= this->options.availability_lifetime) {
    return std::nullopt;
  }
  return word_of(*state.passed_on);
}

std::uint64_t Dispatcher::WeightsOf(const UpstreamState& state, Instant now) const {
  const auto word = this->FreshestWord(state, now);
  return word && word->weights_version ? *word->weights_version : state.upstream.weights_version;
}

std::uint64_t Dispatcher::WeightsAt(const Sent& sent, const UpstreamState* target,
                                    Instant now) const {
  if (target == nullptr) return sent.weights_version;
  const auto word = this->FreshestWord(*target, now);
  const std::uint64_t said = word ? word->weights_version.value_or(0) : 0;
  if (said > 0) return said;
  // The record may lag behind what was known as the attempt was sent, and may name no version while
  // the engine loads. If it has changed since, the engine may have gone back to older weights.
  const std::uint64_t recorded = target->upstream.weights_version;
  const bool is_news = recorded > 0 && recorded != sent.recorded_version;
  const std::uint64_t before = is_news ? recorded : sent.weights_version;
  return this->IsLoading(*target, now) ? this->NextVersion(sent.pool, before) : before;
}

std::uint64_t Dispatcher::NextVersion(std::string_view pool, std::uint64_t held) const {
  const auto found = this->weights.find(pool);
  std::optional<std::uint64_t> next;
  if (found == this->weights.end()) return held;
  for (const WeightsRule& rule : found->second) {
    if (rule.version > held) next = std::min(next.value_or(rule.version), rule.version);
  }
  return next.value_or(held);
}

const WeightsRule* Dispatcher::NextRule(std::string_view pool, std::uint64_t held) const {
  const auto found = this->weights.find(pool);
  if (found == this->weights.end()) return nullptr;
  const WeightsRule* next = nullptr;
  for (const WeightsRule& rule : found->second) {
    if (rule.version <= held) continue;
    if (next == nullptr || rule.deadline < next->deadline) next = &rule;
  }
  return next;
}

bool Dispatcher::HasReport(const UpstreamState& state, Instant now) const {
  return state.reported_at && now - *state.reported_at < this->options.load_lifetime;
}

bool Dispatcher::IsLoading(const UpstreamState& state, Instant now) const {
  return this->HasReport(state, now) && state.report->reachable && !state.report->accepting &&
         state.report->weights_version == 0;
}

std::size_t Dispatcher::WaitingAt(std::string_view upstream) const {
  return static_cast<std::size_t>(std::ranges::count_if(this->sent, [upstream](const auto& row) {
    return !row.second.began && row.second.upstream == upstream;
  }));
}

std::optional<OverdueWeights> Dispatcher::Overdue(std::string_view pool,
                                                  std::uint64_t weights_version,
                                                  Instant now) const {
  const auto found = this->weights.find(pool);
  if (found == this->weights.end()) return std::nullopt;
  std::optional<OverdueWeights> overdue;
  for (const WeightsRule& rule : found->second) {
    if (rule.version <= weights_version || now <= rule.deadline) continue;
    const Duration late = now - rule.deadline;
    if (!overdue || late > overdue->late) overdue = {.wanted = rule.version, .late = late};
  }
  return overdue;
}

const Dispatcher::UpstreamState* Dispatcher::FindTarget(const Sent& sent) const {
  const auto known = this->pool_of.find(sent.upstream);
  if (known == this->pool_of.end()) return nullptr;
  const UpstreamState& state = this->pools.find(known->second)->second.find(known->first)->second;
  const bool is_same =
      state.upstream.started_unix_ms == sent.started_unix_ms && known->second == sent.pool;
  return is_same ? &state : nullptr;
}

bool Dispatcher::IsTargetListed(AttemptNumber attempt) const {
  const auto found = this->sent.find(attempt);
  return found != this->sent.end() && this->FindTarget(found->second) != nullptr;
}

std::vector<OutdatedAttempt> Dispatcher::OutdatedAttempts(Instant now) const {
  std::vector<OutdatedAttempt> outdated;
  for (const auto& [attempt, sent] : this->sent) {
    if (sent.began || sent.weights_version == 0) continue;
    const UpstreamState* target = this->FindTarget(sent);
    const std::uint64_t held = this->WeightsAt(sent, target, now);
    const WeightsRule* rule = this->NextRule(sent.pool, held);
    if (rule == nullptr || now < rule->deadline - this->options.outdated_reserve) continue;
    outdated.push_back({.attempt = attempt,
                        .upstream = sent.upstream,
                        .listed = target != nullptr,
                        .held = held,
                        .wanted = rule->version,
                        .time_left = rule->deadline - now});
  }
  return outdated;
}

void Dispatcher::SetEntries(std::vector<EntryDemand> all) {
  std::sort(all.begin(), all.end(), [](const EntryDemand& a, const EntryDemand& b) {
    return std::tie(a.data_centre, a.entry) < std::tie(b.data_centre, b.entry);
  });
  const auto own = std::find_if(all.begin(), all.end(), [this](const EntryDemand& demand) {
    return demand.entry == this->options.entry;
  });
  this->own_entry = static_cast<std::size_t>(own - all.begin());
  const std::string_view region = this->placement.RegionOf(this->options.data_centre);
  this->leaving.SetEntriesOfRegion(
      static_cast<std::size_t>(std::ranges::count_if(all, [&](const EntryDemand& demand) {
        return this->placement.RegionOf(demand.data_centre) == region;
      })));
  this->entries = std::move(all);
  this->shares_due = {};
}

void Dispatcher::UpdateShares(Instant now) {
  if (now < this->shares_due) return;
  this->shares_due = now + this->options.shares_period;
  this->placement.Cold().Expire(now);
  this->UpdateAdmission(now);
  for (auto& [name, pool] : this->pools) this->UpdatePoolShares(pool, now);
}

void Dispatcher::UpdatePoolShares(PoolUpstreams& pool, Instant now) {
  std::vector<UpstreamState*> serving;
  for (auto& [id, state] : pool) {
    state.share = 0;
    state.followed = false;
    state.followed_for_homes = false;
    if (state.upstream.is_engine && this->IsServing(state, now)) serving.push_back(&state);
  }
  std::sort(serving.begin(), serving.end(), [](const UpstreamState* a, const UpstreamState* b) {
    return std::tie(a->upstream.data_centre, a->upstream.address) <
           std::tie(b->upstream.data_centre, b->upstream.address);
  });
  std::vector<std::uint32_t> slots;
  slots.reserve(serving.size());
  for (const UpstreamState* state : serving) slots.push_back(state->upstream.slots);
  std::vector<double> demands;
  for (const EntryDemand& entry : this->entries) demands.push_back(entry.requests_per_second);
  const std::vector<std::uint32_t> shares =
      this->entries.size() <= 1 ? slots : DivideSlots(slots, demands, this->own_entry);
  for (std::size_t i = 0; i < serving.size(); ++i) serving[i]->share = shares[i];
  const IndexRange window = this->ChooseWindow(serving, slots, demands, now);
  for (std::size_t i = window.first; i < window.last; ++i) serving[i]->followed = true;
  this->FollowHomes(serving);
  for (auto& [id, state] : pool) {
    // A silent engine may have left the window for its silence.
    const bool is_followed = state.followed || state.followed_for_homes;
    if (!is_followed && !state.silence.IsSilent(now)) state.silence.OnUnfollowed();
    if (state.upstream.is_engine) this->NoteColdShare(state, now);
    this->ConfirmShare(state, now);
    const bool known = state.load_at && now - *state.load_at < this->options.load_lifetime;
    if (!known || now - state.borrowable_at < this->options.load_propagation_time) continue;
    this->UpdateBorrowable(state, now);
  }
}

void Dispatcher::FollowHomes(std::span<UpstreamState* const> serving) const {
  if (!this->rules || this->entries.size() <= 1) return;
  for (const std::string& region : this->rules->HomeRegionNames()) {
    std::vector<UpstreamState*> engines;
    for (UpstreamState* state : serving) {
      if (this->placement.RegionOf(state->upstream.data_centre) == region) engines.push_back(state);
    }
    // Entries begin at different engines, so that they do not all follow the same ones.
    const std::size_t first = this->own_entry * engines.size() / this->entries.size();
    const std::size_t count = std::min(this->options.home_engines, engines.size());
    for (std::size_t i = 0; i < count; ++i) {
      engines[(first + i) % engines.size()]->followed_for_homes = true;
    }
  }
}

// The window is widened until half of `min_followed_engines` accept requests of this entry, which
// may be cut off from engines that serve the other entries, or may not use them for what they said.
IndexRange Dispatcher::ChooseWindow(std::span<UpstreamState* const> serving,
                                    std::span<const std::uint32_t> slots,
                                    std::span<const double> demands, Instant now) const {
  IndexRange window{.last = serving.size()};
  if (this->entries.size() <= 1) return window;
  const auto accepts = [this, now](const UpstreamState* state) {
    return !state->health.IsHalfOpen() && !state->silence.IsSilent(now) &&
           this->notices.MayUse(StartOf(state->upstream), now);
  };
  for (std::size_t least = this->options.min_followed_engines;; least *= 2) {
    window = EngineWindow(slots, demands, this->own_entry, least);
    const std::size_t size = window.last - window.first;
    const auto engines = serving.subspan(window.first, size);
    const auto accepting =
        static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), accepts));
    const std::size_t wanted = std::min(this->options.min_followed_engines, size) / 2;
    if (accepting >= wanted || size == serving.size()) return window;
  }
}

void Dispatcher::ConfirmShare(UpstreamState& state, Instant now) const {
  if (state.share <= state.confirmed || this->entries.size() <= 1) {
    state.confirmed = state.share;
    state.share_grew_at = {};
    return;
  }
  if (state.share_grew_at == Instant()) state.share_grew_at = now;
  const bool counted = state.load_at && *state.load_at > state.share_grew_at;
  const bool known = state.load_at && now - *state.load_at < this->options.load_lifetime;
  // Without recent reports, requests of the previous owner are taken as finished after
  // `load_lifetime`.
  const Duration wait = known ? this->options.load_propagation_time : this->options.load_lifetime;
  if (!counted && now - state.share_grew_at < wait) return;
  state.confirmed = state.share;
  state.share_grew_at = {};
}

bool Dispatcher::HasOwnSlot(const UpstreamState& state) const {
  return state.own < state.confirmed * (1 + this->options.share_overcommit);
}

bool Dispatcher::ReplacesWeights(const EngineTry& sent, Instant now) const {
  const auto known = this->pool_of.find(sent.upstream);
  if (known == this->pool_of.end()) return false;
  const UpstreamState& state = this->pools.find(known->second)->second.find(sent.upstream)->second;
  if (!state.upstream.is_engine) return false;
  const std::uint64_t held = this->WeightsOf(state, now);
  if (held > sent.weights_version) return true;
  // An engine that loads holds nothing for a while.
  return this->NextRule(state.upstream.pool, held > 0 ? held : sent.weights_version) != nullptr;
}

bool Dispatcher::IsAvoided(const UpstreamState& state, const DispatchRequest& request,
                           Instant now) const {
  const std::string& id = state.upstream.id;
  const auto found = std::ranges::find(request.tries, id, &EngineTry::upstream);
  const bool may_return =
      found != request.tries.end() && this->WeightsOf(state, now) > found->weights_version;
  if (may_return) return request.only_former && !found->may_have_run;
  return request.only_former || std::ranges::find(request.avoided, id) != request.avoided.end();
}

bool Dispatcher::MayUse(const UpstreamState& state, const DispatchRequest& request,
                        Instant now) const {
  if (this->IsAvoided(state, request, now)) return false;
  if (this->placement.Check(state.upstream.data_centre, request.homes) != PlacementBar::kNone) {
    return false;
  }
  return state.health.MayUse(now, request.may_probe) && this->IsServing(state, now) &&
         this->notices.MayUse(StartOf(state.upstream), now) &&
         this->placement.Cold().MaySend(PlaceOf(state.upstream), this->ColdShareOf(state, now),
                                        now);
}

bool Dispatcher::IsCandidate(const UpstreamState& state, const DispatchRequest& request) const {
  return !state.upstream.is_engine || state.followed || request.rerun ||
         (request.homes.IsBound() && state.followed_for_homes);
}

bool Dispatcher::IsServing(const UpstreamState& state, Instant now) const {
  if (state.upstream.draining) return false;
  if (this->placement.IsEvacuated(state.upstream.data_centre)) return false;
  if (!this->HasReport(state, now) && this->words.IsRefusing(StartOf(state.upstream), now)) {
    return false;
  }
  const auto word = this->FreshestWord(state, now);
  if (word && !word->serves) return false;
  if (!state.upstream.is_engine) return true;
  const std::uint64_t held = this->WeightsOf(state, now);
  return held > 0 && held >= this->RequiredWeights(state.upstream.pool, now);
}

double Dispatcher::LoadOf(const UpstreamState& state, Instant now) const {
  const bool known = state.load_at && now - *state.load_at < this->options.load_lifetime;
  return state.own + (known ? state.others : 0) + this->SentByOthers(state, now);
}

double Dispatcher::SentByOthers(const UpstreamState& state, Instant now) const {
  // Without a recent report, the other entries have none to act on either, and requests sent long
  // ago have ended.
  const bool known = state.load_at && now - *state.load_at < this->options.load_lifetime;
  if (!known) return 0;
  if (state.upstream.is_engine) return 0;
  const auto others = static_cast<double>(std::max<std::size_t>(this->entries.size(), 1) - 1);
  return state.sent_since * others * this->options.sent_by_others;
}

Dispatcher::Candidate Dispatcher::Evaluate(const UpstreamState& state,
                                           const DispatchRequest& request, const PoolRule* pool,
                                           Instant now) const {
  Candidate candidate{.state = &state, .load = this->LoadOf(state, now)};
  const double slots = std::max(1u, state.upstream.slots);
  if (pool != nullptr && pool->engine) {
    EngineRates rates = *pool->engine;
    rates.slots = state.upstream.slots;
    const double others_waiting = std::max(0.0, candidate.load - state.own - slots);
    const EngineWork work{
        .requests = candidate.load,
        .prefill_tokens =
            state.own_prefill_tokens +
            std::max(others_waiting, this->SentByOthers(state, now) / 2) * rates.mean_prompt_tokens,
        .pace = std::max(1.0, state.pace.At(now))};
    candidate.forecast = Forecast(rates, work, request.prompt_tokens);
  } else {
    const double utilization = candidate.load / slots;
    candidate.forecast.first_event = FromSeconds(ToSeconds(kPlainIdleTime) * (1 + utilization) *
                                                 std::max(1.0, state.pace.At(now)));
  }
  const bool is_far = state.upstream.data_centre != this->options.data_centre;
  const auto way = is_far ? this->leaving.RoundTrip(state.upstream.data_centre) : std::nullopt;
  if (way) candidate.forecast.first_event += *way;
  candidate.score = candidate.forecast.first_event +
                    FromSeconds(0.010 * candidate.load / slots + 0.2 * state.health.FailureRate());
  if (is_far && !way) candidate.score += this->options.remote_penalty;
  // Upstreams that stopped together are not tried in turn.
  if (request.rerun && state.upstream.is_engine) candidate.score += state.silence.Age(now);
  return candidate;
}

Dispatcher::Candidate Dispatcher::PickBest(const DispatchRequest& request, Instant now) {
  const auto found = this->pools.find(request.pool);
  if (found == this->pools.end()) return {};
  this->UpdateShares(now);
  const PoolRule* pool = this->rules ? this->rules->FindPool(request.pool) : nullptr;
  Sides sides;
  std::vector<const UpstreamState*> silent;
  for (const auto& [id, state] : found->second) {
    if (!this->IsCandidate(state, request) || !this->MayUse(state, request, now)) continue;
    if (state.silence.IsSilent(now)) {
      if (this->MayProbeSilent(state, request, now)) silent.push_back(&state);
      continue;
    }
    const bool is_near = state.upstream.data_centre == this->options.data_centre;
    const bool is_own = state.confirmed > 0;
    (is_near ? (is_own ? sides.own_near : sides.near) : (is_own ? sides.own_far : sides.far))
        .push_back(&state);
  }
  const std::size_t usable = sides.own_near.size() + sides.own_far.size() + sides.near.size() +
                             sides.far.size() + silent.size();
  Choice choice = this->leaving.IsActive()
                      ? this->PickBySide(std::move(sides), request, pool, now)
                      : this->PickByScore(std::move(sides), request, pool, now);
  this->AddSilent(choice, silent, request, pool, now);
  choice.best.usable = usable;
  return choice.best;
}

Dispatcher::Choice Dispatcher::PickByScore(Sides sides, const DispatchRequest& request,
                                           const PoolRule* pool, Instant now) {
  Choice choice;
  const auto compare = [&](std::span<const UpstreamState* const> states) {
    this->Improve(choice, states, request, pool, now);
  };
  compare(sides.own_near);
  compare(sides.own_far);
  if (choice.has_room) return choice;
  std::shuffle(sides.near.begin(), sides.near.end(), this->random.get());
  std::shuffle(sides.far.begin(), sides.far.end(), this->random.get());
  const auto sample = [this](std::span<const UpstreamState* const> states) {
    return states.first(std::min(this->options.sample_size, states.size()));
  };
  compare(sample(sides.near));
  compare(sample(sides.far));
  if (choice.has_room) return choice;
  compare(sides.near);
  compare(sides.far);
  return choice;
}

void Dispatcher::Improve(Choice& choice, std::span<const UpstreamState* const> states,
                         const DispatchRequest& request, const PoolRule* pool, Instant now) const {
  // A candidate that fits is preferred over one that does not, whatever its score.
  for (const UpstreamState* state : states) {
    const Candidate next = this->Evaluate(*state, request, pool, now);
    const bool has_room = this->Fits(next, request, now);
    if (choice.has_room && !has_room) continue;
    const bool is_first = choice.best.state == nullptr || (has_room && !choice.has_room);
    if (is_first || next.score < choice.best.score) choice.best = next;
    choice.has_room = choice.has_room || has_room;
  }
}

bool Dispatcher::Fits(const Candidate& candidate, const DispatchRequest& request,
                      Instant now) const {
  if (candidate.state == nullptr) return false;
  // A request with homes may find no share of this entry there: one at a time queues at each
  // engine.
  const bool queues_at_home = request.homes.IsBound() && candidate.state->own == 0;
  const bool is_allowed =
      this->HasOwnSlot(*candidate.state) || candidate.state->borrowable > 0 || queues_at_home;
  if (candidate.state->upstream.is_engine && !request.rerun && !is_allowed) return false;
  if (this->IsFull(*candidate.state, now)) return false;
  const double slots = std::max(1u, candidate.state->upstream.slots);
  if (!candidate.state->upstream.is_engine) return candidate.load < slots * (1 + kPlainQueueRatio);
  if (!this->BeginsInTime(candidate, now)) return false;
  if (request.rerun) return candidate.load < slots * 1.5;
  if (!request.within_floor &&
      !this->admission.MayTake(request.pool, request.priority, candidate.load / slots)) {
    return false;
  }
  const Duration left = request.deadline - now;
  if (request.is_caller_retry) {
    return candidate.load < slots * this->options.caller_retry_load_fraction &&
           candidate.forecast.first_event < left / 2;
  }
  return this->IsInTime(candidate, request, now) && candidate.forecast.first_event < left;
}

bool Dispatcher::IsFull(const UpstreamState& state, Instant now) const {
  return state.refused_at != Instant() &&
         now - state.refused_at < this->options.load_propagation_time;
}

bool Dispatcher::IsInTime(const Candidate& candidate, const DispatchRequest& request,
                          Instant now) const {
  const auto usable = [this](Duration limit) {
    return FromSeconds(ToSeconds(limit) * this->options.usable_fraction);
  };
  return now - request.arrived + candidate.forecast.first_event <= usable(request.target) &&
         candidate.forecast.longest_pause <= usable(request.max_pause);
}

bool Dispatcher::BeginsInTime(const Candidate& candidate, Instant now) const {
  const UpstreamState& state = *candidate.state;
  const WeightsRule* rule = this->NextRule(state.upstream.pool, this->WeightsOf(state, now));
  if (rule == nullptr) return true;
  const Duration seen = state.waits.Longest(now, this->options.load_lifetime);
  const Duration wait = std::max(candidate.forecast.first_event, seen);
  return now + wait < rule->deadline - this->options.outdated_reserve;
}

bool Dispatcher::CouldSend(const DispatchRequest& request, Instant now) {
  const Candidate best = this->PickBest(request, now);
  // A request does not leave one upstream that is silent for another.
  return this->Fits(best, request, now) && !best.state->silence.IsSilent(now);
}

std::optional<DispatchVerdict> Dispatcher::TryPlace(const DispatchRequest& request, Instant now,
                                                    Candidate& best) {
  best = this->PickBest(request, now);
  if (!this->Fits(best, request, now)) return std::nullopt;
  const Upstream& upstream = best.state->upstream;
  UpstreamState& state = this->pools.find(request.pool)->second.find(upstream.id)->second;
  if (!this->HasOwnSlot(state) && state.borrowable > 0) --state.borrowable;
  ++state.own;
  ++state.sent_since;
  state.waits.OnSent(request.attempt, now);
  this->placement.Cold().OnSent(PlaceOf(upstream), now);
  state.own_prefill_tokens += request.prompt_tokens;
  state.health.OnStarted();
  if (best.left != LeavingReason::kStays) {
    this->leaving.OnLeft(request.pool, upstream.data_centre, best.left, BytesOf(request), now);
  }
  const std::uint64_t held = upstream.is_engine ? this->WeightsOf(state, now) : 0;
  this->sent[request.attempt] = {.upstream = upstream.id,
                                 .started_unix_ms = upstream.started_unix_ms,
                                 .pool = request.pool,
                                 .weights_version = held,
                                 .recorded_version = upstream.weights_version,
                                 .sent_at = now,
                                 .prefill_tokens = static_cast<double>(request.prompt_tokens)};
  return DispatchVerdict{.attempt = request.attempt,
                         .decision = SendTo{.upstream = upstream.id,
                                            .address = upstream.address,
                                            .started_unix_ms = upstream.started_unix_ms,
                                            .weights_version = held,
                                            .predicted = best.forecast.first_event,
                                            .load = best.load,
                                            .report_age = LoadAge(state, now),
                                            .left = best.left}};
}

Instant Dispatcher::WaitLimit(const DispatchRequest& request) const {
  if (request.answer_begun) return request.deadline;
  const Duration wait = request.rerun
                            ? this->options.rerun_wait
                            : FromSeconds(ToSeconds(request.target) * this->options.wait_fraction);
  return std::min(request.deadline, request.arrived + wait);
}

Instant Dispatcher::WaitEnd(const DispatchRequest& request, const Candidate& best,
                            Instant now) const {
  const Instant limit = this->WaitLimit(request);
  if (!this->IsFirstAttempt(request) || this->IsRoomLimited(request)) return limit;
  const auto shortage = this->shortages.find(request.pool);
  if (shortage == this->shortages.end() || shortage->second.Lasts()) return limit;
  if (best.state == nullptr || !this->IsInTime(best, request, now)) return limit;
  const double target = ToSeconds(request.target);
  const Instant latest_begin = std::min(
      request.deadline, request.arrived + FromSeconds(target * this->options.usable_fraction));
  const Instant end = request.arrived + FromSeconds(target * this->options.long_wait_fraction);
  return std::max(limit, std::min(end, latest_begin - best.forecast.first_event));
}

std::optional<Instant> Dispatcher::EndOfWaits(std::string_view pool,
                                              std::span<const std::string> avoided,
                                              Instant now) const {
  const auto found = this->pools.find(pool);
  if (found == this->pools.end()) return std::nullopt;
  bool waits = false;
  Instant earliest = Instant::max();
  Instant earliest_silent = Instant::max();
  for (const auto& [id, state] : found->second) {
    const UpstreamStart start = StartOf(state.upstream);
    if (!this->IsServing(state, now) || this->notices.IsLeaving(start, now)) continue;
    const Instant wait_end = this->notices.WaitEnd(start);
    waits = waits || wait_end > now;
    if (std::find(avoided.begin(), avoided.end(), id) != avoided.end()) continue;
    // When a silent engine takes requests again is not known, only that it is not before this.
    Instant& first = state.silence.IsSilent(now) ? earliest_silent : earliest;
    first = std::min(first, std::max({now, wait_end, state.health.EjectedUntil()}));
  }
  if (!waits) return std::nullopt;
  return earliest == Instant::max() ? earliest_silent : earliest;
}

bool Dispatcher::IsHopeless(const DispatchRequest& request, const Candidate& best,
                            Instant now) const {
  // A rerun waits for an upstream that is not in the list yet: otherwise its answer is lost.
  if (best.state != nullptr || request.answer_begun) return false;
  if (this->IsBarredEverywhere(request)) return true;
  if (request.rerun) return false;
  const std::optional<Instant> end = this->EndOfWaits(request.pool, request.avoided, now);
  return end && *end > this->WaitLimit(request);
}

bool Dispatcher::IsBarredEverywhere(const DispatchRequest& request) const {
  const auto found = this->pools.find(request.pool);
  if (found == this->pools.end() || found->second.empty()) return false;
  return std::ranges::all_of(found->second, [&](const auto& row) {
    return this->placement.Check(row.second.upstream.data_centre, request.homes) !=
           PlacementBar::kNone;
  });
}

Duration Dispatcher::RetryAfter(std::string_view pool, Instant caller_deadline, Instant now) {
  const Duration least = this->options.min_retry_after;
  const Duration spread = this->options.max_retry_after - least;
  Duration earliest = least;
  Duration latest = earliest + spread;
  if (const auto end = this->EndOfWaits(pool, {}, now); end && *end > now) {
    const Duration limit = std::max(least, FromSeconds(ToSeconds(caller_deadline - now) *
                                                       this->options.max_retry_after_fraction));
    earliest = std::max(least, *end - now);
    latest = std::min(earliest + spread, limit);
    if (earliest > limit) earliest = std::max(least, limit - spread);
  }
  return earliest + FromSeconds(ToSeconds(latest - earliest) * UniformUnit(this->random));
}

Duration Dispatcher::LoadAge(const UpstreamState& state, Instant now) {
  return state.load_at ? now - *state.load_at : Duration(-1);
}

DispatchVerdict Dispatcher::Refuse(const DispatchRequest& request, const Candidate& best,
                                   Instant now) {
  const bool waits = this->EndOfWaits(request.pool, {}, now).has_value();
  const Instant caller_deadline = std::max(request.deadline, request.caller_deadline);
  RefuseRequest refusal{
      .kind = best.state == nullptr && !waits ? ErrorKind::kNoUpstream : ErrorKind::kOverloaded,
      .retry_after = this->RetryAfter(request.pool, caller_deadline, now),
      .usable = best.usable,
      .predicted = best.forecast.first_event,
      .load = best.load};
  if (request.homes.IsBound() && this->IsBarredEverywhere(request)) {
    refusal.kind = ErrorKind::kOutsideHomes;
  }
  if (const auto pool = this->pools.find(request.pool); pool != this->pools.end()) {
    for (const auto& [id, state] : pool->second) {
      refusal.share += state.share;
      refusal.confirmed += state.confirmed;
      refusal.own += state.own;
      refusal.borrowable += state.borrowable;
    }
  }
  refusal.limited = this->IsRoomLimited(request);
  if (best.state != nullptr) {
    if (this->IsFirstAttempt(request)) {
      this->admission.OnRefused(request.pool, request.priority);
      if (!refusal.limited) this->shortages[request.pool].OnRefused(now);
    }
    refusal.best = best.state->upstream.id;
    refusal.report_age = LoadAge(*best.state, now);
  }
  return DispatchVerdict{.attempt = request.attempt, .decision = std::move(refusal)};
}

bool Dispatcher::IsRoomLimited(const DispatchRequest& request) const {
  return !request.within_floor && !request.rerun &&
         this->admission.IsLimited(request.pool, request.priority);
}

bool Dispatcher::IsFirstAttempt(const DispatchRequest& request) const {
  const PoolRule* pool = this->rules ? this->rules->FindPool(request.pool) : nullptr;
  return pool != nullptr && pool->engine && !request.rerun && !request.is_caller_retry &&
         request.avoided.empty();
}

bool Dispatcher::YieldsToWaiting(const DispatchRequest& request) const {
  if (request.rerun || !this->admission.HasSeveralClasses(request.pool)) return false;
  return std::ranges::any_of(this->waiting, [&](const DispatchRequest& other) {
    return other.pool == request.pool && other.priority < request.priority;
  });
}

void Dispatcher::UpdateAdmission(Instant now) {
  std::vector<const PoolDemands*> others;
  for (const EntryDemand& entry : this->entries) {
    if (entry.entry != this->options.entry) others.push_back(&entry.pools);
  }
  this->admission.Update(others, now);
}

void Dispatcher::CountAsked(DispatchRequest& request, Instant now) {
  const PoolRule* pool = this->rules ? this->rules->FindPool(request.pool) : nullptr;
  if (pool != nullptr && pool->engine && request.avoided.empty()) ++this->engine_requests;
  if (this->IsFirstAttempt(request)) {
    request.within_floor = this->admission.OnAsked(request.pool, request.priority);
    this->shortages[request.pool].OnAsked(now);
  }
}

DispatchVerdict Dispatcher::Submit(DispatchRequest request, Instant now) {
  this->CountAsked(request, now);
  const bool yields = this->YieldsToWaiting(request);
  return this->Decide(std::move(request), yields, now);
}

DispatchVerdict Dispatcher::Decide(DispatchRequest request, bool yields, Instant now) {
  Candidate best;
  if (yields) {
    best = this->PickBest(request, now);
  } else if (auto placed = this->TryPlace(request, now, best)) {
    return *placed;
  }
  if (request.rerun) request.arrived = now;  // it waits from the end of the last attempt
  if (now >= this->WaitEnd(request, best, now) || this->IsHopeless(request, best, now)) {
    return this->Refuse(request, best, now);
  }
  const AttemptNumber attempt = request.attempt;
  const auto later =
      std::find_if(this->waiting.begin(), this->waiting.end(), [&](const DispatchRequest& other) {
        if (request.rerun != other.rerun) return request.rerun;
        return request.priority < other.priority;
      });
  this->waiting.insert(later, std::move(request));
  return {.attempt = attempt, .decision = KeepWaiting{}};
}

std::vector<DispatchVerdict> Dispatcher::Poll(Instant now) {
  std::vector<DispatchVerdict> verdicts;
  for (auto request = this->waiting.begin(); request != this->waiting.end();) {
    Candidate best;
    if (auto placed = this->TryPlace(*request, now, best)) {
      verdicts.push_back(std::move(*placed));
    } else if (now >= this->WaitEnd(*request, best, now) || this->IsHopeless(*request, best, now)) {
      verdicts.push_back(this->Refuse(*request, best, now));
    } else {
      ++request;
      continue;
    }
    request = this->waiting.erase(request);
  }
  return verdicts;
}

void Dispatcher::Withdraw(AttemptNumber attempt) {
  this->waiting.remove_if([attempt](const auto& request) { return request.attempt == attempt; });
}

void Dispatcher::OnFirstEvent(AttemptNumber attempt, Instant now) {
  const auto found = this->sent.find(attempt);
  if (found == this->sent.end()) return;
  if (UpstreamState* state = this->EndPrefill(found->second)) {
    state->waits.OnWaited(attempt, found->second.sent_at, now);
  }
}

Dispatcher::UpstreamState* Dispatcher::EndPrefill(Sent& sent) {
  sent.began = true;
  const double tokens = std::exchange(sent.prefill_tokens, 0);
  auto* const target = const_cast<UpstreamState*>(this->FindTarget(sent));
  if (target == nullptr) return nullptr;
  target->own_prefill_tokens = std::max(0.0, target->own_prefill_tokens - tokens);
  return target;
}

std::optional<HealthChange> Dispatcher::OnEnded(AttemptNumber attempt, AttemptResult result,
                                                Instant now) {
  const auto found = this->sent.find(attempt);
  if (found == this->sent.end()) return {};
  UpstreamState* const known = this->EndPrefill(found->second);
  const Sent ended = std::move(found->second);
  this->sent.erase(found);
  if (known == nullptr) return {};
  UpstreamState& state = *known;
  if (WaitedInVain(result)) {
    state.waits.OnGivenUp(attempt, ended.sent_at, now, this->options.load_lifetime);
  } else {
    state.waits.OnEnded(attempt, ended.sent_at);
  }
  if (state.own > 0) --state.own;
  if (result == AttemptResult::kServed) state.refused_at = {};
  if (result == AttemptResult::kRefused && state.upstream.is_engine) state.refused_at = now;
  return this->Judge(state, result, now);
}

std::vector<std::string> Dispatcher::EnginesToFollow(Instant now) {
  this->UpdateShares(now);
  std::vector<std::string> addresses;
  for (const auto& [name, pool] : this->pools) {
    for (const auto& [id, state] : pool) {
      if (state.followed || state.followed_for_homes) addresses.push_back(state.upstream.address);
    }
  }
  std::sort(addresses.begin(), addresses.end());
  return addresses;
}

std::size_t Dispatcher::Withheld(Instant now) const {
  const auto is_withheld = [this, now](const auto& row) {
    const UpstreamState& state = row.second;
    const bool is_passed_on =
        state.passed_on && now - state.passed_on_at < this->options.availability_lifetime;
    return !state.upstream.draining && !this->HasReport(state, now) && !is_passed_on &&
           this->words.IsRefusing(StartOf(state.upstream), now);
  };
  std::size_t withheld = 0;
  for (const auto& [name, pool] : this->pools) {
    withheld += static_cast<std::size_t>(std::count_if(pool.begin(), pool.end(), is_withheld));
  }
  return withheld;
}

std::size_t Dispatcher::Usable(std::string_view pool, Instant now) const {
  const auto found = this->pools.find(pool);
  if (found == this->pools.end()) return 0;
  const DispatchRequest any{.may_probe = true};
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(),
                    [&](const auto& row) { return this->MayUse(row.second, any, now); }));
}

}  // namespace savory
