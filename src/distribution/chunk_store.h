// Verified chunks of the wanted version and of the one before it, in memory.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/digest.h"
#include "distribution/manifest.h"
#include "distribution/verified_chunk.h"

namespace savory {

// The chunks of one version of the weights that have arrived so far.
struct WeightsCopy {
  std::shared_ptr<const Manifest> manifest;
  std::vector<SharedChunk> chunks;  // null: not held
  std::uint32_t held = 0;           // number of chunks held
  std::uint64_t bytes = 0;          // sum of the chunks held

  bool IsComplete() const { return this->held == this->chunks.size(); }
  bool Holds(std::uint32_t chunk) const {
    return chunk < this->chunks.size() && this->chunks[chunk] != nullptr;
  }
};

// Keeps at most three versions: the wanted one, the most recent other one, where a complete version
// is preferred to an incomplete one, and beside a complete one the last one that was left
// incomplete.
class ChunkStore {
 public:
  // `limit_bytes` bounds the total size of all versions; 0: no bound. The wanted version is always
  // kept.
  explicit ChunkStore(std::uint64_t limit_bytes) : limit_bytes(limit_bytes) {}

  // Makes `manifest` the wanted version. Chunks that a kept version shares with it are reused.
  void SetWanted(std::shared_ptr<const Manifest> manifest);

  // Adds a chunk. Returns false if it belongs to no kept version or is already held.
  bool Put(const VerifiedChunk& chunk);

  // Returns nullptr if the version is not kept.
  const WeightsCopy* Find(const Digest& manifest) const;
  // The kept versions, the wanted one first.
  std::span<const WeightsCopy> Copies() const { return this->copies; }
  std::uint64_t Bytes() const;

 private:
  void Trim();
  void ReuseChunks(WeightsCopy& target) const;

  std::uint64_t limit_bytes;
  std::vector<WeightsCopy> copies = {};  // the wanted version first
};

// Bit i of byte i/8 stands for chunk i, as in wire::ChunkMap.
std::string ChunkBits(const WeightsCopy& copy);

}  // namespace savory
