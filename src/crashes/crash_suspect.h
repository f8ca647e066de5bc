// A request that may be the cause of an upstream's end.
#pragma once

#include <vector>

#include "base/digest.h"
#include "base/time.h"

namespace savory {

// A stream that has lasted so long since its first event does not end its upstream: one that does
// ends it as its answer begins.
inline constexpr Duration kSoundStreamTime = std::chrono::milliseconds(100);

// What identifies a request when it, or one that has a part of its prompt, is sent again.
struct CrashSuspect {
  Digest fingerprint = {};
  std::vector<Digest> parts = {};  // of its prompt, without the one that is its own

  auto operator<=>(const CrashSuspect&) const = default;
};

}  // namespace savory
