#include "direct/copy_policy.h"

#include <algorithm>

namespace savory {
namespace {

// What was sent before a link was found to be narrow, and one chunk, usually has arrived after this
// time.
constexpr Duration kLongestWayOnNarrowLink = std::chrono::seconds(4);

// Reading all staged chunks back from the engine takes about a second.
constexpr Duration kReadBackTime = std::chrono::milliseconds(1500);

// A copy with this fraction of its chunks held or reachable completes within about a second, unless
// the origin is down: an agent's link transfers 16 of 48 chunks per second, and the origin sends
// all of them in 1.3 to 2.1 s.
constexpr double kNearlyCompleteFraction = 0.75;
// Limits how long the newer version, which has its own deadline, is postponed.
constexpr Duration kMaxFinishTime = std::chrono::milliseconds(1500);

// The first chunk of a version appears within half a second of its start, others sooner after it.
constexpr Duration kOriginSilence = std::chrono::milliseconds(800);
// Below this part, the other agents hold too little as well.
constexpr double kMinResumedFraction = 0.25;
// The rest of a copy, its load, and the turns of the other engines need this long.
constexpr Duration kMinTimeToResume = std::chrono::seconds(3);
constexpr Duration kMaxResumedTime = std::chrono::milliseconds(3500);

// A copy that ends later comes too late for its load.
constexpr Duration kMinTimeToFinish = std::chrono::seconds(2);

bool IsEngineOutdated(const CopyContext& context) {
  return context.engine_version && *context.engine_version < context.wanted;
}

}  // namespace

bool NeedsCopy(const CopyContext& context) {
  if (IsEngineOutdated(context)) return true;
  if (context.engine_version != context.wanted) return false;
  return context.requested_by_peer ||
         (context.engines_without_weights && context.rank < context.seeding_agents);
}

bool MayBeStagedAtEngine(const CopyContext& context) {
  return !IsEngineOutdated(context) || context.engine_version == 0u || context.first_copy;
}

bool MayGetRequests(const EngineUse& use) {
  return use.requests > 0 || (use.accepting && use.time_left > Duration(0));
}

Instant OutdatedSince(std::span<const VersionTime> history, std::uint64_t held, Instant assumed) {
  Instant earliest = assumed;
  for (const VersionTime& known : history) {
    if (known.version > held && known.since) earliest = std::min(earliest, *known.since);
  }
  return earliest;
}

bool MayArriveTooLate(LinkState link, Duration time_left) {
  return link == LinkState::kNarrow && time_left < kLongestWayOnNarrowLink;
}

bool ShouldFinishBeforeNewer(const CopyProgress& copy) {
  if (copy.held >= copy.chunks || copy.newer_known_for >= kMaxFinishTime) return false;
  if (copy.time_left < kMinTimeToFinish) return false;
  const std::size_t available = std::max(copy.held, copy.reachable);
  return static_cast<double>(available) >=
         kNearlyCompleteFraction * static_cast<double>(copy.chunks);
}

bool ShouldResumeOlder(const InterruptedCopy& copy) {
  if (!copy.engine_lacks_it || copy.held >= copy.chunks) return false;
  if (copy.newer_reachable >= copy.newer_chunks || copy.newer_silent_for < kOriginSilence) {
    return false;
  }
  return copy.time_left >= kMinTimeToResume &&
         static_cast<double>(copy.held) >= kMinResumedFraction * static_cast<double>(copy.chunks);
}

bool ShouldGoOnWithResumed(const ResumedCopy& copy) {
  return copy.held < copy.chunks && copy.silent_for < kOriginSilence &&
         copy.resumed_for < kMaxResumedTime;
}

Duration OriginDelay(const CopyContext& context) {
  // An engine without weights is usually new and has no staged chunks: do not wait for them.
  const bool may_be_staged = MayBeStagedAtEngine(context) && context.engine_version != 0u;
  return may_be_staged ? kReadBackTime : Duration(0);
}

}  // namespace savory
