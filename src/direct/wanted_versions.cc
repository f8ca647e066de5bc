#include "direct/wanted_versions.h"

#include <algorithm>

namespace savory {
namespace {

constexpr std::size_t kMaxVersions = 16;

}  // namespace

void WantedVersions::AddFromStore(std::uint64_t version, bool is_new, Instant now) {
  if (version <= this->Newest()) return;
  this->versions.push_back({.version = version, .first_seen = now});
  if (is_new) this->versions.back().wanted_since = now;
  this->Trim();
}

bool WantedVersions::AddFromAgent(std::uint64_t version, Instant wanted_since, Instant now) {
  const auto place = std::lower_bound(
      this->versions.begin(), this->versions.end(), version,
      [](const Version& known, std::uint64_t wanted) { return known.version < wanted; });
  // A version newer than all known ones is accepted only from the store.
  if (place == this->versions.end()) return false;
  if (place->version == version) {
    if (place->wanted_since) return false;
    place->wanted_since = wanted_since;
    return true;
  }
  this->versions.insert(place,
                        {.version = version, .wanted_since = wanted_since, .first_seen = now});
  this->Trim();
  return true;
}

void WantedVersions::Trim() {
  if (this->versions.size() > kMaxVersions) this->versions.erase(this->versions.begin());
}

std::uint64_t WantedVersions::Newest() const {
  return this->versions.empty() ? 0 : this->versions.back().version;
}

std::optional<Instant> WantedVersions::NewestWantedSince() const {
  return this->versions.empty() ? std::nullopt : this->versions.back().wanted_since;
}

std::vector<WeightsRule> WantedVersions::Rules(const WantedVersionsOptions& options) const {
  std::vector<WeightsRule> rules;
  for (const Version& known : this->versions) {
    const Instant enforced_at = known.wanted_since
                                    ? *known.wanted_since + options.deadline - options.margin
                                    : known.first_seen + options.unknown_grace;
    rules.push_back({.version = known.version, .enforced_at = enforced_at});
  }
  return rules;
}

}  // namespace savory
