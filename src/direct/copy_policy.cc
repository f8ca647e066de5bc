#include "direct/copy_policy.h"

#include <algorithm>

namespace savory {
namespace {

// Pieces that lie at the engine are read back in about a second.
constexpr Duration kReadBackTime = std::chrono::milliseconds(1500);

// A copy is whole within about a second, unless the origin is down, when this part of its pieces is
// held or reachable: each agent's link brings 16 of 48 pieces a second, the origin sends all of
// them in 1.3 to 2.1 s.
constexpr double kNearlyCompleteFraction = 0.75;
// The newer version has a deadline too.
constexpr Duration kMaxFinishTime = std::chrono::milliseconds(1500);

bool EngineLacks(const CopyContext& context) {
  return context.engine_version && *context.engine_version < context.wanted;
}

}  // namespace

bool NeedsCopy(const CopyContext& context) {
  if (EngineLacks(context)) return true;
  if (context.engine_version != context.wanted) return false;
  return context.requested_by_peer ||
         (context.engines_without_weights && context.rank < context.seeding_agents);
}

bool MayBeStagedAtEngine(const CopyContext& context) {
  return !EngineLacks(context) || context.engine_version == 0u || context.first_copy;
}

bool ShouldFinishBeforeNewer(const CopyProgress& copy) {
  if (copy.held >= copy.chunks || copy.newer_known_for >= kMaxFinishTime) return false;
  const std::size_t available = std::max(copy.held, copy.reachable);
  return static_cast<double>(available) >=
         kNearlyCompleteFraction * static_cast<double>(copy.chunks);
}

Duration OriginDelay(const CopyContext& context) {
  // An engine without weights is mostly a new one, where no pieces lie.
  const bool may_be_staged = MayBeStagedAtEngine(context) && context.engine_version != 0u;
  return may_be_staged ? kReadBackTime : Duration(0);
}

}  // namespace savory
