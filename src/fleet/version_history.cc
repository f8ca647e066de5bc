#include "fleet/version_history.h"

#include <algorithm>

namespace savory {
namespace {

bool IsOlder(const VersionTime& known, std::uint64_t version) { return known.version < version; }

// How long `dropped` was the newest version, if that is known.
Duration TimeBetween(const VersionTime& dropped, const VersionTime& next) {
  return dropped.since && next.since ? *next.since - *dropped.since : Duration::max();
}

}  // namespace

bool VersionHistory::Add(const VersionTime& added) {
  if (added.version <= this->forgotten) return false;
  const auto place =
      std::lower_bound(this->versions.begin(), this->versions.end(), added.version, IsOlder);
  if (place != this->versions.end() && place->version == added.version) {
    if (!added.since || (place->since && *added.since >= *place->since)) return false;
    place->since = added.since;
    return true;
  }
  const bool newer_is_as_old = std::any_of(place, this->versions.end(), [&](const auto& newer) {
    return added.since && newer.since && *newer.since <= *added.since;
  });
  if (newer_is_as_old) return false;
  this->versions.insert(place, added);
  if (this->versions.size() > kMaxVersions) this->DropOne();
  return true;
}

void VersionHistory::Forget(Instant oldest) {
  while (this->versions.size() > 1 && this->versions[1].since &&
         *this->versions[1].since < oldest) {
    this->forgotten = this->versions.front().version;
    this->versions.erase(this->versions.begin());
  }
}

std::optional<Instant> VersionHistory::Since(std::uint64_t version) const {
  const auto place =
      std::lower_bound(this->versions.begin(), this->versions.end(), version, IsOlder);
  const bool found = place != this->versions.end() && place->version == version;
  return found ? place->since : std::nullopt;
}

void VersionHistory::DropOne() {
  std::size_t closest = 0;
  const auto time_at = [this](std::size_t at) {
    return TimeBetween(this->versions[at], this->versions[at + 1]);
  };
  for (std::size_t i = 1; i + 1 < this->versions.size(); ++i) {
    if (time_at(i) < time_at(closest)) closest = i;
  }
  const std::optional<Instant> since = this->versions[closest].since;
  VersionTime& next = this->versions[closest + 1];
  const bool both_known = since && next.since;
  next.since = both_known ? std::optional(std::min(*next.since, *since)) : std::nullopt;
  this->versions.erase(this->versions.begin() + static_cast<std::ptrdiff_t>(closest));
}

}  // namespace savory
