// The versions of one model's weights that were named lately, and since when each must be in use.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "relay/dispatcher.h"

namespace savory {

struct WantedVersionsOptions {
  // From its naming until older weights get no request.
  Duration deadline = std::chrono::seconds(8);
  // Enforced this much before the deadline: a request can wait at an engine before it begins. On
  // days with engines that stall, requests waited for up to 0.94 s.
  Duration margin = std::chrono::milliseconds(1200);
  // A version of which nobody knows since when it is wanted is enforced this long after it was
  // seen.
  Duration unknown_grace = {};
};

// No I/O. Each version keeps its own deadline, whatever is named after it.
class WantedVersions {
 public:
  // A version became known. `is_new`: it was not there before.
  void AddFromStore(std::uint64_t version, bool is_new, Instant now);
  // An agent that has run for longer knows since when `version` is wanted; it may also name one
  // that is no longer the newest. Returns whether that was new.
  bool AddFromAgent(std::uint64_t version, Instant wanted_since, Instant now);

  std::uint64_t Newest() const;  // 0: none
  // Since when the newest one is wanted, if that is known.
  std::optional<Instant> NewestWantedSince() const;
  std::vector<WeightsRule> Rules(const WantedVersionsOptions& options) const;

 private:
  struct Version {
    std::uint64_t version = 0;
    std::optional<Instant> wanted_since = {};
    Instant first_seen = {};
  };
  // Bounds `versions`; older ones are in force for long.
  void Trim();

  std::vector<Version> versions = {};  // oldest first
};

}  // namespace savory
