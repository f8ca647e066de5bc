#include "direct/wanted_versions.h"

#include <algorithm>

namespace savory {
namespace {

// Entries that the store answers learn of a version within this time of each other.
constexpr Duration kMaxLearningSpread = std::chrono::seconds(1);
// Reported versions that the store has not named yet.
constexpr std::size_t kMaxReported = 16;

}  // namespace

void WantedVersions::AddFromStore(std::uint64_t version, bool is_new, Instant now) {
  if (version <= this->newest) return;
  this->newest = version;
  this->first_seen.emplace(version, now);
  this->history.Add({.version = version, .since = is_new ? std::optional(now) : std::nullopt});
  const auto found = this->reported.find(version);
  if (found != this->reported.end()) this->AddTime(version, found->second);
  this->reported.erase(this->reported.begin(), this->reported.upper_bound(version));
}

bool WantedVersions::AddFromAgent(std::uint64_t version, std::optional<Instant> wanted_since,
                                  Instant now) {
  if (version > this->newest) {
    if (!wanted_since) return false;
    const auto [known, is_new] = this->reported.emplace(version, *wanted_since);
    if (!is_new) known->second = std::min(known->second, *wanted_since);
    if (this->reported.size() > kMaxReported) this->reported.erase(this->reported.begin());
    return false;
  }
  if (this->first_seen.contains(version)) {
    return wanted_since && this->AddTime(version, *wanted_since);
  }
  if (!this->history.Add({.version = version, .since = wanted_since})) return false;
  this->first_seen.emplace(version, now);
  return true;
}

bool WantedVersions::AddTime(std::uint64_t version, Instant wanted_since) {
  // The version was announced before it was first seen here. A much later time comes from a process
  // that learned of it late and does not show how old it is.
  const Instant seen = this->first_seen[version];
  if (wanted_since > seen + kMaxLearningSpread) return false;
  return this->history.Add({.version = version, .since = std::min(wanted_since, seen)});
}

void WantedVersions::Forget(Instant oldest) {
  this->history.Forget(oldest);
  if (this->history.All().empty()) return;
  const std::uint64_t first = this->history.All().front().version;
  this->first_seen.erase(this->first_seen.begin(), this->first_seen.lower_bound(first));
}

std::uint64_t WantedVersions::Newest() const { return this->newest; }

std::optional<Instant> WantedVersions::NewestWantedSince() const {
  return this->WantedSince(this->newest);
}

std::optional<Instant> WantedVersions::WantedSince(std::uint64_t version) const {
  return this->history.Since(version);
}

std::vector<WeightsRule> WantedVersions::Rules(const WantedVersionsOptions& options) const {
  std::vector<WeightsRule> rules;
  for (const VersionTime& known : this->history.All()) {
    WeightsRule rule{.version = known.version};
    if (known.since) {
      rule.deadline = *known.since + options.deadline;
      rule.enforced_at = rule.deadline - options.margin;
    } else {
      rule.enforced_at = this->first_seen.at(known.version) + options.unknown_grace;
      rule.deadline = rule.enforced_at + options.unknown_margin;
    }
    rules.push_back(rule);
  }
  return rules;
}

}  // namespace savory
