// When the recent versions of one model's weights were announced, as far as a process knows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"

namespace savory {

struct VersionTime {
  std::uint64_t version = 0;
  // Nullopt: announced before any process that told of it started.
  std::optional<Instant> since = {};
};

// Processes pass their histories on to each other, so that one that has just started learns what
// it missed: the store names the newest version only. Performs no I/O.
class VersionHistory {
 public:
  // Bounds what is kept and sent, however many versions are announced in a row.
  static constexpr std::size_t kMaxVersions = 64;

  // Adds a version, or corrects its time. Delays and pauses make times too late, never too early,
  // so the earliest one counts. A version is left out if a newer one is known to be as old. Returns
  // whether anything changed.
  bool Add(const VersionTime& added);
  // Forgets the versions that were followed by another one before `oldest`, for good.
  void Forget(Instant oldest);

  std::span<const VersionTime> All() const { return this->versions; }  // oldest first
  // Since when `version` is wanted; nullopt if that is unknown.
  std::optional<Instant> Since(std::uint64_t version) const;

 private:
  // Drops the version that the next one followed soonest. The next one takes its time: it comes
  // into force too early rather than the dropped one too late.
  void DropOne();

  std::vector<VersionTime> versions = {};
  std::uint64_t forgotten = 0;  // newest version that was forgotten
};

}  // namespace savory
