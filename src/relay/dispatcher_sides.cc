// The part of Dispatcher that chooses between its own data centre and the others, and tells which
// upstreams are slow.
#include <algorithm>

#include "relay/dispatcher.h"

namespace savory {
namespace {

// Text of a token with its framing in an event stream.
constexpr std::size_t kBytesPerToken = 12;

double RatioOf(Duration time, Duration limit) {
  return limit > Duration(0) ? ToSeconds(time) / ToSeconds(limit) : 0;
}

}  // namespace

std::size_t Dispatcher::BytesOf(const DispatchRequest& request) {
  return request.body_bytes + request.answer_tokens * kBytesPerToken;
}

std::size_t Dispatcher::Slow(Instant now) const {
  std::size_t slow = 0;
  for (const auto& [name, pool] : this->pools) {
    slow += static_cast<std::size_t>(std::ranges::count_if(
        pool, [now](const auto& row) { return row.second.pace.At(now) >= kSlowPace; }));
  }
  return slow;
}

SideOffer Dispatcher::OfferOf(const Choice& choice, const DispatchRequest& request,
                              Instant now) const {
  if (choice.best.state == nullptr) return {};
  const UpstreamState& state = *choice.best.state;
  const EngineForecast& forecast = choice.best.forecast;
  const Duration first_event = now - request.arrived + forecast.first_event;
  return {.usable = true,
          .has_room = choice.has_room,
          .strain = std::max(RatioOf(first_event, request.target),
                             RatioOf(forecast.longest_pause, request.max_pause)),
          .owned = !state.upstream.is_engine || this->HasOwnSlot(state),
          .load = choice.best.load / std::max(1u, state.upstream.slots),
          .data_centre = state.upstream.data_centre};
}

Dispatcher::Choice Dispatcher::PickBySide(Sides sides, const DispatchRequest& request,
                                          const PoolRule* pool, Instant now) {
  const auto improve = [&](Choice& choice, std::span<const UpstreamState* const> states) {
    this->Improve(choice, states, request, pool, now);
  };
  const auto add_sample = [&](Choice& choice, std::vector<const UpstreamState*>& states) {
    if (choice.has_room) return;
    std::shuffle(states.begin(), states.end(), this->random.get());
    improve(choice, std::span(states).first(std::min(this->options.sample_size, states.size())));
  };
  Choice near;
  improve(near, sides.own_near);
  add_sample(near, sides.near);
  if (this->leaving.Stays(request.pool, this->OfferOf(near, request, now), now)) return near;
  Choice far;
  improve(far, sides.own_far);
  // Other entries' slots are no reason to leave while there is room near. Slots of plain services
  // belong to no entry.
  const bool is_plain = pool == nullptr || !pool->engine;
  if (!near.has_room || is_plain) add_sample(far, sides.far);
  if (!near.has_room && !far.has_room) {
    improve(near, sides.near);
    improve(far, sides.far);
  }
  const LeavingReason reason = this->leaving.Decide(
      request.pool, this->OfferOf(near, request, now), this->OfferOf(far, request, now),
      BytesOf(request), UniformUnit(this->random), now);
  if (reason == LeavingReason::kStays) return near;
  far.best.left = reason;
  return far;
}

}  // namespace savory
