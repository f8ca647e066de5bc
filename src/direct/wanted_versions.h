// Recently announced versions of one model's weights and when each becomes mandatory.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "relay/dispatcher.h"

namespace savory {

struct WantedVersionsOptions {
  // From the announcement of a version until engines with older weights get no requests.
  Duration deadline = std::chrono::seconds(8);
  // A version is enforced this much before the deadline, because a request can wait at an engine
  // before it starts. With stalling engines, requests waited for up to 0.94 s.
  Duration margin = std::chrono::milliseconds(1200);
  // A version whose announcement time is unknown is enforced this long after it was first seen.
  Duration unknown_grace = {};
  // From then until its deadline.
  Duration unknown_margin = std::chrono::milliseconds(700);
};

// Performs no I/O. Each version keeps its own deadline when newer versions are announced.
class WantedVersions {
 public:
  // Adds a version read from the store; ignored unless it is newer than all known ones. `is_new`:
  // it was announced just now; otherwise its announcement time is unknown.
  void AddFromStore(std::uint64_t version, bool is_new, Instant now);
  // Adds the time since when `version` is wanted, as reported by an agent. Delays and pauses of
  // processes make such times too late, never too early, so the earliest one counts. The version
  // may be older than the newest one; the time of a newer one is kept until the store names it.
  // Returns whether the version's announcement time changed.
  bool AddFromAgent(std::uint64_t version, Instant wanted_since, Instant now);

  std::uint64_t Newest() const;  // 0: no version
  // Since when `version` is wanted; nullopt if that is unknown.
  std::optional<Instant> WantedSince(std::uint64_t version) const;
  // Since when the newest version is wanted; nullopt if that is unknown.
  std::optional<Instant> NewestWantedSince() const;
  std::vector<WeightsRule> Rules(const WantedVersionsOptions& options) const;

 private:
  struct Version {
    std::uint64_t version = 0;
    std::optional<Instant> wanted_since = {};
    Instant first_seen = {};
  };
  // Bounds the size of `versions` by removing the oldest one, whose deadline should have passed
  // long ago.
  void Trim();
  static bool AddTime(Version& known, Instant wanted_since);

  std::vector<Version> versions = {};              // oldest first
  std::map<std::uint64_t, Instant> reported = {};  // times of versions that the store has not named
};

}  // namespace savory
