#include "direct/named_weights.h"

#include <algorithm>

namespace savory {
namespace {

constexpr std::size_t kMaxVersions = 16;

}  // namespace

void NamedWeights::Named(std::uint64_t version, bool just_named, Instant now) {
  if (version <= this->Newest()) return;
  this->versions.push_back({.version = version, .first_seen = now});
  if (just_named) this->versions.back().since = now;
  this->Trim();
}

bool NamedWeights::LearnedSince(std::uint64_t version, Instant since, Instant now) {
  const auto place = std::lower_bound(
      this->versions.begin(), this->versions.end(), version,
      [](const Version& known, std::uint64_t wanted) { return known.version < wanted; });
  // A version newer than any known one comes from the store, which is asked for it.
  if (place == this->versions.end()) return false;
  if (place->version == version) {
    if (place->since) return false;
    place->since = since;
    return true;
  }
  this->versions.insert(place, {.version = version, .since = since, .first_seen = now});
  this->Trim();
  return true;
}

void NamedWeights::Trim() {
  if (this->versions.size() > kMaxVersions) this->versions.erase(this->versions.begin());
}

std::uint64_t NamedWeights::Newest() const {
  return this->versions.empty() ? 0 : this->versions.back().version;
}

std::optional<Instant> NamedWeights::NewestSince() const {
  return this->versions.empty() ? std::nullopt : this->versions.back().since;
}

std::vector<WeightsRule> NamedWeights::Rules(const NamedWeightsOptions& options) const {
  std::vector<WeightsRule> rules;
  for (const Version& known : this->versions) {
    const Instant enforced_at = known.since ? *known.since + options.deadline - options.margin
                                            : known.first_seen + options.unknown_grace;
    rules.push_back({.version = known.version, .enforced_at = enforced_at});
  }
  return rules;
}

}  // namespace savory
