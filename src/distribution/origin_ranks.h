// Assigns chunks to the agents that read them from the origin, and neighbours to each agent.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/digest.h"

namespace savory {

// A live agent of the pool.
struct SpreadPeer {
  std::string vm;
  std::string peer;  // IP:PORT
  std::string region;
};

struct OriginRanksInput {
  Digest manifest;
  std::uint32_t chunk_count = 0;
  std::string vm;  // this agent
  std::string region;
  std::string origin_region;
  std::span<const SpreadPeer> members;  // this agent included
};

// Ranks of one agent by rendezvous hash of (manifest, chunk, VM) among the agents of its region.
// Chunks are ranked in groups, so that the state and the cost of a change of members stay small
// for manifests with many chunks.
class OriginRanks {
 public:
  static constexpr std::uint32_t kMaxGroups = 4096;
  // Number of distinct ranks; every further agent is kUnranked.
  static constexpr std::uint8_t kRankCount = 3;
  static constexpr std::uint8_t kUnranked = kRankCount;

  OriginRanks() = default;
  explicit OriginRanks(const OriginRanksInput& input);

  // 0: this agent reads the chunk first; kUnranked: it is not among the first kRankCount.
  std::uint8_t RankOf(std::uint32_t chunk) const;

  // For agents outside the origin's region: IP:PORT of the agents in the origin's region that are
  // ranked for `chunk`, best first. Empty unless this agent is ranked for it.
  std::span<const std::string> SourcesOf(std::uint32_t chunk) const;

  // Number of agents in this agent's region.
  std::size_t RegionSize() const { return this->region_size; }

 private:
  std::vector<std::uint8_t> ranks = {};                // by group
  std::vector<std::vector<std::string>> sources = {};  // by group
  std::size_t region_size = 0;
};

// The neighbours of `vm` in `region`: members at distances 1, 2, 4, ... on both sides of the ring
// of members sorted by hash; at most 20.
std::vector<SpreadPeer> RingNeighbours(std::span<const SpreadPeer> members, const std::string& vm,
                                       const std::string& region);

// Baseline strategy: the parent of `vm` in a binary tree of the members of `region` sorted by
// hash, followed by its children. `has_parent` is false for the root.
struct TreePosition {
  bool has_parent = false;
  std::vector<SpreadPeer> neighbours = {};
};
TreePosition TreeNeighbours(std::span<const SpreadPeer> members, const std::string& vm,
                            const std::string& region);

}  // namespace savory
