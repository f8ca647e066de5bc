#include "distribution/manifest_fetch.h"

#include <algorithm>

namespace savory {
namespace {

constexpr std::size_t kRankedPerRegion = 2;
constexpr std::size_t kPulls = 3;
constexpr Duration kFirstBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);

// Returns the `kRankedPerRegion` members of `region` with the highest score for `key`.
std::vector<SpreadPeer> HighestRanked(std::span<const SpreadPeer> members, std::string_view key,
                                      const std::string& region) {
  std::vector<SpreadPeer> found;
  for (const SpreadPeer& member : members) {
    if (member.region == region) found.push_back(member);
  }
  const std::size_t count = std::min(kRankedPerRegion, found.size());
  std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count), found.end(),
                    [&](const SpreadPeer& left, const SpreadPeer& right) {
                      return RendezvousScore(key, left.vm) > RendezvousScore(key, right.vm);
                    });
  found.resize(count);
  return found;
}

}  // namespace

ManifestFetch::ManifestFetch(ManifestFetchOptions options, Random& random)
    : options(std::move(options)), random(random) {}

void ManifestFetch::Start(Instant now, const Digest& manifest) {
  this->wanted = manifest;
  this->started = now;
  this->next_pull = now;
  this->next_read = now;
  this->backoff = kFirstBackoff;
}

void ManifestFetch::SetMembers(std::span<const SpreadPeer> members) {
  const std::string_view key = this->wanted.View();
  const auto local = HighestRanked(members, key, this->options.region);
  this->is_ranked = std::any_of(local.begin(), local.end(), [this](const SpreadPeer& member) {
    return member.vm == this->options.vm;
  });
  this->origin_readers.clear();
  for (const SpreadPeer& member : HighestRanked(members, key, this->options.origin_region)) {
    if (member.vm != this->options.vm) this->origin_readers.push_back(member.peer);
  }
  this->neighbours.clear();
  for (SpreadPeer& member : RingNeighbours(members, this->options.vm, this->options.region)) {
    this->neighbours.push_back(std::move(member.peer));
  }
}

void ManifestFetch::OnOriginFailed(Instant now) {
  const double jitter = 0.5 + UniformUnit(this->random);
  this->next_read = now + FromSeconds(ToSeconds(this->backoff) * jitter);
  this->backoff = std::min(kMaxBackoff, this->backoff * 2);
}

bool ManifestFetch::ReadsOrigin(Instant now) const {
  if (now < this->next_read) return false;
  if (this->options.always_from_origin || now >= this->started + this->options.fallback) {
    return true;
  }
  return this->is_ranked && this->options.region == this->options.origin_region;
}

std::vector<ManifestAction> ManifestFetch::Tick(Instant now) {
  std::vector<ManifestAction> actions;
  if (this->wanted.IsZero()) return actions;
  if (this->ReadsOrigin(now)) {
    // No further read until the result ends the fetch or sets the time of the next read.
    this->next_read = Instant::max();
    actions.emplace_back(std::in_place_type<ReadManifest>);
  }
  if (now >= this->next_pull && !this->options.always_from_origin) {
    this->next_pull = now + this->options.retry;
    this->AddPulls(actions);
  }
  return actions;
}

void ManifestFetch::AddPulls(std::vector<ManifestAction>& actions) {
  const bool in_origin_region = this->options.region == this->options.origin_region;
  if (this->is_ranked && in_origin_region) return;
  const auto& sources = this->is_ranked ? this->origin_readers : this->neighbours;
  std::vector<std::string> picked;
  std::sample(sources.begin(), sources.end(), std::back_inserter(picked), kPulls, this->random);
  for (std::string& peer : picked) actions.push_back(PullManifest{.peer = std::move(peer)});
}

}  // namespace savory
