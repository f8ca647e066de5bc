// When an agent copies a version of the weights, and where it looks for pieces first.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace savory {

// A version that was named before every process started counts as named so long ago that engines
// with older weights serve for this time yet. Below the time that the platform allows a restarted
// machine before its bounds hold again (3 s and more).
constexpr Duration kUnknownAgeGrace = std::chrono::milliseconds(2200);

struct CopyContext {
  std::uint64_t wanted = 0;                          // version
  std::optional<std::uint64_t> engine_version = {};  // 0: none; nullopt: it cannot be reached
  bool first_copy = false;                           // of this process
  bool engines_without_weights = false;              // engines without any weights need them
  bool requested_by_peer = false;  // another agent asks for pieces of the wanted version
  std::size_t rank = 0;            // of this agent for the version among those of its region
  std::size_t seeding_agents = 0;
};

// Whether to bring the wanted version into memory: the engine lacks it, or others need it.
bool NeedsCopy(const CopyContext& context);

// Whether pieces of the wanted version may lie at the engine: it holds the version, it lost it in a
// restart, or an earlier start of this process staged it.
bool MayBeStagedAtEngine(const CopyContext& context);

// How long the origin is left alone meanwhile.
Duration OriginDelay(const CopyContext& context);

// The copy in progress when the manifest of a newer version is there.
struct CopyProgress {
  std::size_t held = 0;       // pieces
  std::size_t reachable = 0;  // pieces that are held here or by a neighbour
  std::size_t chunks = 0;
  Duration newer_known_for = {};
};

// Whether the copy in progress is brought to its end before the newer version is begun. Engines
// must hold the older version by its own deadline, which comes first, and a copy of the newer one
// takes seconds: without this, two versions 3 s apart left all engines of kcw-recell-grown scale-1
// without either for 5 s.
bool ShouldFinishBeforeNewer(const CopyProgress& copy);

}  // namespace savory
