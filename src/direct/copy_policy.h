// Decides when an agent copies a version of the weights and from where it gets chunks first.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "base/time.h"
#include "distribution/congestion_detector.h"
#include "fleet/version_history.h"

namespace savory {

// No process knows the age of a version that was announced before all running processes started.
// Engines with older weights may then serve for only this long after the version was first seen.
// This is shorter than the 3 s or more for which the platform exempts a restarted machine from its
// limits.
constexpr Duration kUnknownAgeGrace = std::chrono::milliseconds(2200);

// Processes remember a version for this much longer than its deadline: it may be the oldest one
// that a process which was away or restarted must still enforce.
constexpr Duration kHistoryReserve = std::chrono::seconds(30);

struct CopyContext {
  std::uint64_t wanted = 0;                          // version of the weights
  std::optional<std::uint64_t> engine_version = {};  // 0: no weights; nullopt: engine unreachable
  bool first_copy = false;                           // first copy since this process started
  bool engines_without_weights = false;              // some engine has never held weights
  bool requested_by_peer = false;                    // another agent is copying the wanted version
  std::size_t rank = 0;  // of this agent within its region, by rendezvous hash
  std::size_t seeding_agents = 0;
};

// Whether to copy the wanted version into memory: because the engine holds an older one or none, or
// because other agents need the chunks that the engine holds. False while the engine is
// unreachable.
bool NeedsCopy(const CopyContext& context);

// Whether chunks of the wanted version may be staged at the engine. This can be the case if the
// engine holds the version, if it lost its weights in a restart, or if an earlier run of this
// process staged them.
bool MayBeStagedAtEngine(const CopyContext& context);

// Delay before chunks are read from the origin, so that staged chunks are read back from the engine
// first.
Duration OriginDelay(const CopyContext& context);

// How this agent's engine is used.
struct EngineUse {
  std::uint32_t requests = 0;            // that run or wait there
  bool accepting = false;                // it holds weights and takes requests
  Duration time_left = Duration::max();  // until its weights are outdated
};

// Whether requests may be on their way to the engine. None may have arrived for a while just
// because the copy fills the link.
bool MayGetRequests(const EngineUse& use);

// Since when a version newer than `held` is wanted, the earliest one. `assumed`: the same of a
// version whose time nobody knows; Instant::max(): there is none.
Instant OutdatedSince(std::span<const VersionTime> history, std::uint64_t held, Instant assumed);

// Whether a request that is sent to the engine now may arrive only after its weights are outdated,
// as it waits behind chunks on the way.
bool MayArriveTooLate(LinkState link, Duration time_left);

// State of the copy in progress when the manifest of a newer version arrives.
struct CopyProgress {
  std::size_t held = 0;       // chunks in memory
  std::size_t reachable = 0;  // chunks held by this agent or a neighbour
  std::size_t chunks = 0;
  Duration newer_known_for = {};
  // Until engines without this version get no requests.
  Duration time_left = Duration::max();
};

// Whether to finish the copy in progress before starting the newer version. The deadline of the
// older version comes first, and copying the newer one takes seconds. Without this rule, engines
// are without either version for seconds when two are announced in quick succession.
bool ShouldFinishBeforeNewer(const CopyProgress& copy);

// State of an incomplete copy that was left for a newer version.
struct InterruptedCopy {
  std::size_t held = 0;  // chunks of the older version in memory
  std::size_t chunks = 0;
  bool engine_lacks_it = false;     // the engine holds a version before it
  std::size_t newer_reachable = 0;  // chunks of the newer version, held here or by a neighbour
  std::size_t newer_chunks = 0;
  Duration newer_silent_for = {};  // since the newer copy began or its last chunk appeared
  Duration time_left = {};         // until engines without the older version get no requests
};

// Whether to go back to the older version: the origin sends nothing of the newer one, and agents
// hold chunks of the older one that they can exchange without the origin.
bool ShouldResumeOlder(const InterruptedCopy& copy);

struct ResumedCopy {
  std::size_t held = 0;
  std::size_t chunks = 0;
  Duration silent_for = {};  // since it was resumed or its last chunk appeared
  Duration resumed_for = {};
};

// Whether a copy that was resumed goes on before the newer version is tried again.
bool ShouldGoOnWithResumed(const ResumedCopy& copy);

}  // namespace savory
