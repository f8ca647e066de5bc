// The part of Dispatcher that keeps requests from engines that have fallen silent.
#include <algorithm>

#include "relay/dispatcher.h"

namespace savory {

void Dispatcher::OnAnswerBytes(AttemptNumber attempt, Instant now) {
  const auto found = this->sent.find(attempt);
  if (found == this->sent.end()) return;
  Sent& sent = found->second;
  if (now - sent.answer_noted_at < this->options.answer_note_period) return;
  sent.answer_noted_at = now;
  auto* const target = const_cast<UpstreamState*>(this->FindTarget(sent));
  if (target != nullptr) target->silence.OnAnswer(now);
}

bool Dispatcher::MayProbeSilent(const UpstreamState& state, const DispatchRequest& request,
                                Instant now) const {
  if (!request.may_probe || state.own > 0) return false;
  // As the machine wakes, the request may begin before its withdrawal is noticed.
  const WeightsRule* rule = this->NextRule(state.upstream.pool, this->WeightsOf(state, now));
  return rule == nullptr || request.deadline < rule->deadline - this->options.outdated_reserve;
}

void Dispatcher::AddSilent(Choice& choice, std::span<const UpstreamState* const> silent,
                           const DispatchRequest& request, const PoolRule* pool, Instant now) {
  if (choice.has_room) return;
  // Room near that is used up is no reason to try a silent engine elsewhere.
  const bool only_near = choice.best.state != nullptr;
  std::vector<const UpstreamState*> far;
  for (const UpstreamState* const& state : silent) {
    if (state->upstream.data_centre != this->options.data_centre) {
      far.push_back(state);
    } else {
      this->Improve(choice, std::span(&state, 1), request, pool, now);
    }
  }
  if (only_near || far.empty()) return;
  if (!this->leaving.IsActive()) return this->Improve(choice, far, request, pool, now);
  if (choice.has_room) return;
  Choice elsewhere;
  this->Improve(elsewhere, far, request, pool, now);
  elsewhere.best.left = this->leaving.Decide(request.pool, this->OfferOf(choice, request, now),
                                             this->OfferOf(elsewhere, request, now),
                                             BytesOf(request), UniformUnit(this->random), now);
  if (elsewhere.best.left != LeavingReason::kStays) choice = elsewhere;
}

std::size_t Dispatcher::Silent(Instant now) const {
  std::size_t silent = 0;
  for (const auto& [name, pool] : this->pools) {
    silent += static_cast<std::size_t>(std::ranges::count_if(pool, [this, now](const auto& row) {
      return row.second.silence.IsSilent(now) && this->IsServing(row.second, now);
    }));
  }
  return silent;
}

}  // namespace savory
