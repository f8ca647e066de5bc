#include "relay/caller_returns.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace savory {

double CallerReturns::Unserved(const RouteState& state, Duration timeout, Instant now) {
  const double passed = ToSeconds(now - state.counted_at);
  return state.unserved * std::exp(-passed / std::max(0.001, ToSeconds(timeout)));
}

bool CallerReturns::LooksLikeReturn(std::string_view route, Duration timeout, Duration time_left,
                                    Instant now) const {
  const auto known = this->routes.find(route);
  if (known == this->routes.end()) return false;
  const Duration longest = std::min(known->second.longest_left, timeout);
  const double least_first = ToSeconds(longest) * this->options.min_first_fraction;
  return ToSeconds(time_left) < least_first && Unserved(known->second, timeout, now) >= 0.5;
}

bool CallerReturns::IsReturn(std::string_view route, Duration timeout, Duration time_left,
                             Instant now) {
  const bool is_return = this->LooksLikeReturn(route, timeout, time_left, now);
  RouteState& state = this->routes[std::string(route)];
  const Duration longest = FromSeconds(ToSeconds(state.longest_left) * (1 - this->options.decay));
  state.longest_left = std::min(std::max(longest, time_left), timeout);
  if (is_return) {
    state.unserved = std::max(0.0, Unserved(state, timeout, now) - 1);
    state.counted_at = now;
  }
  return is_return;
}

void CallerReturns::OnUnserved(std::string_view route, Duration timeout, Instant now) {
  RouteState& state = this->routes[std::string(route)];
  state.unserved = Unserved(state, timeout, now) + 1;
  state.counted_at = now;
}

void CallerReturns::KeepRoutes(std::span<const RouteRule> kept) {
  std::erase_if(this->routes, [kept](const auto& row) {
    return std::ranges::find(kept, row.first, &RouteRule::name) == kept.end();
  });
}

}  // namespace savory
