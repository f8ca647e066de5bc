#include "distribution/origin_ranks.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace savory {
namespace {

constexpr std::size_t kMaxNeighbours = 20;

// Finalizer of MurmurHash3: a difference in any input bit affects all output bits.
std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

struct Candidate {
  std::uint64_t score = 0;
  std::size_t member = 0;
};

// Returns the OriginRanks::kRankCount members with the highest scores for `group`, best first.
std::vector<std::size_t> BestMembers(std::span<const std::uint64_t> hashes, std::uint64_t group) {
  std::array<Candidate, OriginRanks::kRankCount> best = {};
  std::size_t count = 0;
  for (std::size_t i = 0; i < hashes.size(); ++i) {
    Candidate candidate{.score = Mix(hashes[i] ^ group), .member = i};
    for (std::size_t place = 0; place < best.size(); ++place) {
      if (place < count && best[place].score >= candidate.score) continue;
      std::swap(best[place], candidate);
      if (place == count) {
        ++count;
        break;
      }
    }
  }
  std::vector<std::size_t> members;
  for (std::size_t place = 0; place < count; ++place) members.push_back(best[place].member);
  return members;
}

std::vector<SpreadPeer> MembersOf(std::span<const SpreadPeer> members, const std::string& region) {
  std::vector<SpreadPeer> found;
  std::copy_if(members.begin(), members.end(), std::back_inserter(found),
               [&](const SpreadPeer& member) { return member.region == region; });
  return found;
}

std::vector<std::uint64_t> HashesOf(std::span<const SpreadPeer> members, const Digest& manifest) {
  std::vector<std::uint64_t> hashes;
  hashes.reserve(members.size());
  for (const SpreadPeer& member : members) {
    hashes.push_back(RendezvousScore(manifest.View(), member.vm));
  }
  return hashes;
}

// Members of `region` sorted by hash.
std::vector<SpreadPeer> Ring(std::span<const SpreadPeer> members, const std::string& region) {
  std::vector<SpreadPeer> ring = MembersOf(members, region);
  const auto key = [](const SpreadPeer& member) {
    return std::pair<std::uint64_t, std::string_view>(RendezvousScore("ring", member.vm),
                                                      member.vm);
  };
  std::sort(ring.begin(), ring.end(),
            [&](const auto& left, const auto& right) { return key(left) < key(right); });
  return ring;
}

std::size_t IndexOf(std::span<const SpreadPeer> ring, const std::string& vm) {
  const auto found = std::find_if(ring.begin(), ring.end(),
                                  [&](const SpreadPeer& member) { return member.vm == vm; });
  return static_cast<std::size_t>(found - ring.begin());
}

}  // namespace

OriginRanks::OriginRanks(const OriginRanksInput& input) {
  const std::vector<SpreadPeer> local = MembersOf(input.members, input.region);
  const std::vector<SpreadPeer> remote = input.region == input.origin_region
                                             ? std::vector<SpreadPeer>()
                                             : MembersOf(input.members, input.origin_region);
  const auto local_hashes = HashesOf(local, input.manifest);
  const auto remote_hashes = HashesOf(remote, input.manifest);
  const std::size_t self = IndexOf(local, input.vm);
  const std::uint32_t groups = std::min(kMaxGroups, input.chunk_count);
  this->region_size = local.size();
  this->ranks.assign(groups, kUnranked);
  this->sources.resize(remote.empty() ? 0 : groups);
  for (std::uint32_t group = 0; group < groups; ++group) {
    const std::uint64_t group_hash = Mix(group + 1);
    const auto best = BestMembers(local_hashes, group_hash);
    const auto place = std::find(best.begin(), best.end(), self);
    if (place == best.end()) continue;
    this->ranks[group] = static_cast<std::uint8_t>(place - best.begin());
    if (remote.empty()) continue;
    for (const std::size_t member : BestMembers(remote_hashes, group_hash)) {
      this->sources[group].push_back(remote[member].peer);
    }
  }
}

std::uint8_t OriginRanks::RankOf(std::uint32_t chunk) const {
  if (this->ranks.empty()) return kUnranked;
  return this->ranks[chunk % this->ranks.size()];
}

std::span<const std::string> OriginRanks::SourcesOf(std::uint32_t chunk) const {
  if (this->sources.empty()) return {};
  return this->sources[chunk % this->sources.size()];
}

std::vector<SpreadPeer> RingNeighbours(std::span<const SpreadPeer> members, const std::string& vm,
                                       const std::string& region) {
  const std::vector<SpreadPeer> ring = Ring(members, region);
  const std::size_t self = IndexOf(ring, vm);
  std::vector<SpreadPeer> neighbours;
  if (self == ring.size()) return neighbours;
  std::vector<bool> taken(ring.size(), false);
  taken[self] = true;
  const auto add = [&](std::size_t place) {
    if (taken[place] || neighbours.size() == kMaxNeighbours) return;
    taken[place] = true;
    neighbours.push_back(ring[place]);
  };
  for (std::size_t distance = 1; distance < ring.size(); distance *= 2) {
    add((self + distance) % ring.size());
    add((self + ring.size() - distance) % ring.size());
  }
  return neighbours;
}

TreePosition TreeNeighbours(std::span<const SpreadPeer> members, const std::string& vm,
                            const std::string& region) {
  const std::vector<SpreadPeer> ring = Ring(members, region);
  const std::size_t self = IndexOf(ring, vm);
  TreePosition place;
  if (self == ring.size()) return place;
  place.has_parent = self > 0;
  if (place.has_parent) place.neighbours.push_back(ring[(self - 1) / 2]);
  for (std::size_t child = 2 * self + 1; child <= 2 * self + 2 && child < ring.size(); ++child) {
    place.neighbours.push_back(ring[child]);
  }
  return place;
}

}  // namespace savory
