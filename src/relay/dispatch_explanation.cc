// The part of Dispatcher that explains its decisions.
#include "relay/dispatch_explanation.h"

#include <algorithm>
#include <tuple>

#include "relay/dispatcher.h"
#include "relay/upstream_keys.h"

namespace savory {
namespace {

// Candidates with room go first, upstreams that are none last.
int RankOf(const UpstreamView& view) {
  if (view.is_chosen) return 0;
  if (view.bar != CandidateBar::kNone) return 3;
  return view.has_room ? 1 : 2;
}

void CutViews(DispatchExplanation& explanation, std::size_t max_views) {
  const auto key_of = [](const UpstreamView& view) {
    return std::tuple<int, CandidateBar, Duration, std::string_view>(RankOf(view), view.bar,
                                                                     view.score, view.id);
  };
  std::ranges::sort(explanation.views, {}, key_of);
  const std::size_t listed = std::min(max_views, explanation.views.size());
  explanation.views_left_out = explanation.views.size() - listed;
  explanation.views.resize(listed);
}

}  // namespace

std::string_view CandidateBarName(CandidateBar bar) {
  switch (bar) {
    case CandidateBar::kNone:
      return "none";
    case CandidateBar::kOutsideHomes:
      return "outside-homes";
    case CandidateBar::kEvacuated:
      return "evacuated";
    case CandidateBar::kDraining:
      return "draining";
    case CandidateBar::kRefusing:
      return "refusing";
    case CandidateBar::kWithoutWeights:
      return "without-weights";
    case CandidateBar::kOutdatedWeights:
      return "outdated-weights";
    case CandidateBar::kLeaving:
      return "leaving";
    case CandidateBar::kWaiting:
      return "waiting";
    case CandidateBar::kEjected:
      return "ejected";
    case CandidateBar::kCold:
      return "cold";
    case CandidateBar::kNotFollowed:
      return "not-followed";
    case CandidateBar::kSilent:
      return "silent";
    case CandidateBar::kOther:
      return "other";
  }
  return "other";
}

CandidateBar Dispatcher::BarOf(const UpstreamState& state, const DispatchRequest& request,
                               Instant now) const {
  if (this->IsCandidate(state, request) && this->MayUse(state, request, now)) {
    const bool is_barred =
        state.silence.IsSilent(now) && !this->MayProbeSilent(state, request, now);
    return is_barred ? CandidateBar::kSilent : CandidateBar::kNone;
  }
  const UpstreamStart start = StartOf(state.upstream);
  switch (this->placement.Check(state.upstream.data_centre, request.homes)) {
    case PlacementBar::kOutsideHomes:
      return CandidateBar::kOutsideHomes;
    case PlacementBar::kEvacuated:
      return CandidateBar::kEvacuated;
    case PlacementBar::kNone:
      break;
  }
  if (state.upstream.draining) return CandidateBar::kDraining;
  if (!this->IsServing(state, now)) return this->ServingBarOf(state, now);
  if (this->notices.IsLeaving(start, now)) return CandidateBar::kLeaving;
  if (!this->notices.MayUse(start, now)) return CandidateBar::kWaiting;
  if (!state.health.MayUse(now, request.may_probe)) return CandidateBar::kEjected;
  const ColdShare share = this->ColdShareOf(state, now);
  if (!this->placement.Cold().MaySend(PlaceOf(state.upstream), share, now)) {
    return CandidateBar::kCold;
  }
  return this->IsCandidate(state, request) ? CandidateBar::kOther : CandidateBar::kNotFollowed;
}

CandidateBar Dispatcher::ServingBarOf(const UpstreamState& state, Instant now) const {
  const auto word = this->FreshestWord(state, now);
  if (word ? !word->serves : this->words.IsRefusing(StartOf(state.upstream), now)) {
    return CandidateBar::kRefusing;
  }
  if (this->WeightsOf(state, now) == 0) return CandidateBar::kWithoutWeights;
  if (this->WeightsOf(state, now) < this->RequiredWeights(state.upstream.pool, now)) {
    return CandidateBar::kOutdatedWeights;
  }
  return CandidateBar::kRefusing;
}

UpstreamView Dispatcher::ViewOf(const UpstreamState& state, const DispatchRequest& request,
                                Instant now) const {
  const PoolRule* pool = this->rules ? this->rules->FindPool(request.pool) : nullptr;
  const Candidate candidate = this->Evaluate(state, request, pool, now);
  const UpstreamStart start = StartOf(state.upstream);
  const CandidateBar bar = this->BarOf(state, request, now);
  const Instant usable_at =
      std::max({now, state.health.EjectedUntil(), this->notices.WaitEnd(start)});
  return {.id = state.upstream.id,
          .data_centre = state.upstream.data_centre,
          .bar = bar,
          .usable_in = usable_at - now,
          .has_room = bar == CandidateBar::kNone && this->Fits(candidate, request, now),
          .is_cold = this->placement.Cold().IsCold(PlaceOf(state.upstream), now),
          .is_half_open = state.health.IsHalfOpen(),
          .slots = state.upstream.slots,
          .share = state.share,
          .confirmed = state.confirmed,
          .own = state.own,
          .borrowable = state.borrowable,
          .load = candidate.load,
          .failure_rate = state.health.FailureRate(),
          .weights_version = state.upstream.is_engine ? this->WeightsOf(state, now) : 0,
          .report_age = LoadAge(state, now),
          .first_event = candidate.forecast.first_event,
          .longest_pause = candidate.forecast.longest_pause,
          .score = candidate.score};
}

void Dispatcher::AddViews(DispatchExplanation& explanation, const DispatchRequest& request,
                          Instant now) const {
  const auto found = this->pools.find(request.pool);
  if (found == this->pools.end()) return;
  for (const auto& [id, state] : found->second) {
    explanation.views.push_back(this->ViewOf(state, request, now));
    const UpstreamView& view = explanation.views.back();
    ++explanation.upstreams;
    if (view.is_cold) ++explanation.cold;
    if (view.has_room) ++explanation.with_room;
    if (view.bar == CandidateBar::kNone) {
      ++explanation.candidates;
    } else {
      ++explanation.barred[view.bar];
    }
  }
}

DispatchExplanation Dispatcher::Explain(DispatchRequest request, Instant now,
                                        std::size_t max_views) const {
  // Decides on a copy with random numbers of its own, so that the decision is the dispatcher's own
  // and leaves no trace.
  Dispatcher copy(*this);
  Random random = this->random;
  copy.random = random;
  copy.CountAsked(request, now);
  DispatchExplanation explanation{.yields = copy.YieldsToWaiting(request)};
  if (copy.pools.contains(request.pool)) copy.UpdateShares(now);
  explanation.room_limited = copy.IsRoomLimited(request);
  copy.AddViews(explanation, request, now);
  const Random before = random;
  explanation.verdict = copy.Decide(request, explanation.yields, now);
  if (const auto* sent = std::get_if<SendTo>(&explanation.verdict.decision)) {
    explanation.by_draw = random != before;
    const auto chosen = std::ranges::find(explanation.views, sent->upstream, &UpstreamView::id);
    if (chosen != explanation.views.end()) chosen->is_chosen = true;
  } else if (std::holds_alternative<KeepWaiting>(explanation.verdict.decision)) {
    const Candidate best = copy.PickBest(request, now);
    explanation.waits_for = copy.WaitEnd(request, best, now) - now;
    explanation.after_wait = std::get<RefuseRequest>(copy.Refuse(request, best, now).decision);
  }
  CutViews(explanation, max_views);
  return explanation;
}

}  // namespace savory
