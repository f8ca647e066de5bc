// Recently announced versions of one model's weights and when each becomes mandatory.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"
#include "fleet/version_history.h"
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
  // Adds the time since when `version` is wanted, as reported by an agent; nullopt if the agent
  // does not know it. The earliest time counts. The version may be older than the newest one; the
  // time of a newer one is kept until the store names it. Returns whether anything changed.
  bool AddFromAgent(std::uint64_t version, std::optional<Instant> wanted_since, Instant now);

  // Forgets the versions that were followed by another one before `oldest`.
  void Forget(Instant oldest);

  std::uint64_t Newest() const;  // 0: no version
  // Since when `version` is wanted; nullopt if that is unknown.
  std::optional<Instant> WantedSince(std::uint64_t version) const;
  // Since when the newest version is wanted; nullopt if that is unknown.
  std::optional<Instant> NewestWantedSince() const;
  // All known versions, for the processes that may not know them.
  std::span<const VersionTime> History() const { return this->history.All(); }
  std::vector<WeightsRule> Rules(const WantedVersionsOptions& options) const;

 private:
  bool AddTime(std::uint64_t version, Instant wanted_since);

  std::uint64_t newest = 0;  // that the store has named
  VersionHistory history = {};
  std::map<std::uint64_t, Instant> first_seen = {};  // by version
  std::map<std::uint64_t, Instant> reported = {};  // times of versions that the store has not named
};

}  // namespace savory
