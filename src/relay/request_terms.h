// What the rules say of a request, beside its pool.
#pragma once

#include <algorithm>
#include <optional>

#include "relay/attempt_plan.h"
#include "relay/dispatch_types.h"
#include "relay/routing_rules.h"

namespace savory {

inline int PriorityOf(const RouteRule& route, const AccountRule* account) {
  return account != nullptr && account->priority >= 0 ? account->priority : route.priority;
}

inline HomeRegions HomesOf(const RouteRule& route, const AccountRule* account) {
  return account == nullptr ? route.homes : route.homes.And(account->homes);
}

inline RequestHistory FirstHistoryOf(const RouteRule& route) {
  return {.kind = route.kind,
          .resumable = route.resumable,
          .max_attempts = std::max(1u, route.max_attempts)};
}

// The longest pause between two events for full value.
inline Duration MaxPauseOf(const RouteRule& route) {
  return route.kind == RequestKind::kStream ? route.max_pause : DispatchRequest().max_pause;
}

// Whether a request that has not run yet might be cut off by the end of the process at `stop_end`:
// by its `deadline` if it must not run twice, otherwise by the time that answers of its route
// `usual`ly take.
inline bool EndsAfterStop(const RequestHistory& history, Instant deadline,
                          std::optional<Duration> usual, Instant stop_end, Instant now) {
  if (stop_end == Instant::max() || history.may_have_run > 0) return false;
  Duration longest = deadline - now;
  if (MayRerun(history)) longest = std::min(longest, usual.value_or(longest));
  return now + longest > stop_end;
}

}  // namespace savory
