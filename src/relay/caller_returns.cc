#include "relay/caller_returns.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace savory {

void CallerReturns::Decay(RouteState& state, Duration timeout, Instant now) {
  const double passed = ToSeconds(now - std::exchange(state.counted_at, now));
  state.unserved *= std::exp(-passed / std::max(0.001, ToSeconds(timeout)));
}

bool CallerReturns::IsReturn(std::string_view route, Duration timeout, Duration time_left,
                             Instant now) {
  RouteState& state = this->routes[std::string(route)];
  const Duration left = std::min(time_left, timeout);
  state.longest_left = std::min(std::max(state.longest_left, left), timeout);
  if (ToSeconds(left) >= ToSeconds(state.longest_left) * this->options.min_first_fraction) {
    return false;
  }
  Decay(state, timeout, now);
  if (state.unserved < 0.5) return false;
  state.unserved = std::max(0.0, state.unserved - 1);
  return true;
}

void CallerReturns::OnUnserved(std::string_view route, Duration timeout, Instant now) {
  RouteState& state = this->routes[std::string(route)];
  Decay(state, timeout, now);
  ++state.unserved;
}

void CallerReturns::KeepRoutes(std::span<const RouteRule> kept) {
  std::erase_if(this->routes, [kept](const auto& row) {
    return std::ranges::find(kept, row.first, &RouteRule::name) == kept.end();
  });
}

}  // namespace savory
