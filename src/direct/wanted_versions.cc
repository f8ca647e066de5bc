#include "direct/wanted_versions.h"

#include <algorithm>

namespace savory {
namespace {

constexpr std::size_t kMaxVersions = 16;
// Entries that the store answers learn of a version within this time of each other.
constexpr Duration kMaxLearningSpread = std::chrono::seconds(1);

}  // namespace

void WantedVersions::AddFromStore(std::uint64_t version, bool is_new, Instant now) {
  if (version <= this->Newest()) return;
  this->versions.push_back({.version = version, .first_seen = now});
  if (is_new) this->versions.back().wanted_since = now;
  const auto found = this->reported.find(version);
  if (found != this->reported.end()) this->AddTime(this->versions.back(), found->second);
  this->reported.erase(this->reported.begin(), this->reported.upper_bound(version));
  this->Trim();
}

bool WantedVersions::AddFromAgent(std::uint64_t version, Instant wanted_since, Instant now) {
  const auto place = std::lower_bound(
      this->versions.begin(), this->versions.end(), version,
      [](const Version& known, std::uint64_t wanted) { return known.version < wanted; });
  if (place == this->versions.end()) {
    const auto [known, is_new] = this->reported.emplace(version, wanted_since);
    if (!is_new) known->second = std::min(known->second, wanted_since);
    if (this->reported.size() > kMaxVersions) this->reported.erase(this->reported.begin());
    return false;
  }
  if (place->version == version) return this->AddTime(*place, wanted_since);
  this->versions.insert(place,
                        {.version = version, .wanted_since = wanted_since, .first_seen = now});
  this->Trim();
  return true;
}

bool WantedVersions::AddTime(Version& known, Instant wanted_since) {
  if (known.wanted_since && wanted_since >= *known.wanted_since) return false;
  // The version was announced before it was first seen here. A much later time comes from a process
  // that learned of it late and does not show how old it is.
  if (wanted_since > known.first_seen + kMaxLearningSpread) return false;
  known.wanted_since = std::min(wanted_since, known.first_seen);
  return true;
}

void WantedVersions::Trim() {
  if (this->versions.size() > kMaxVersions) this->versions.erase(this->versions.begin());
}

std::uint64_t WantedVersions::Newest() const {
  return this->versions.empty() ? 0 : this->versions.back().version;
}

std::optional<Instant> WantedVersions::NewestWantedSince() const {
  return this->WantedSince(this->Newest());
}

std::optional<Instant> WantedVersions::WantedSince(std::uint64_t version) const {
  const auto found = std::find_if(this->versions.begin(), this->versions.end(),
                                  [&](const Version& known) { return known.version == version; });
  return found == this->versions.end() ? std::nullopt : found->wanted_since;
}

std::vector<WeightsRule> WantedVersions::Rules(const WantedVersionsOptions& options) const {
  std::vector<WeightsRule> rules;
  for (const Version& known : this->versions) {
    WeightsRule rule{.version = known.version};
    if (known.wanted_since) {
      rule.deadline = *known.wanted_since + options.deadline;
      rule.enforced_at = rule.deadline - options.margin;
    } else {
      rule.enforced_at = known.first_seen + options.unknown_grace;
      rule.deadline = rule.enforced_at + options.unknown_margin;
    }
    rules.push_back(rule);
  }
  return rules;
}

}  // namespace savory
