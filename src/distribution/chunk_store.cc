#include "distribution/chunk_store.h"

#include <algorithm>
#include <unordered_map>

namespace savory {

std::optional<VerifiedChunk> VerifiedChunk::Verify(const Manifest& manifest, std::uint32_t index,
                                                   SharedChunk bytes) {
  if (index >= manifest.ChunkCount() || bytes == nullptr) return std::nullopt;
  if (bytes->size() != manifest.RangeOf(index).length) return std::nullopt;
  if (Sha256(std::span<const std::byte>(*bytes)) != manifest.DigestOf(index)) return std::nullopt;
  return VerifiedChunk(manifest.Id(), index, std::move(bytes));
}

void ChunkStore::SetWanted(std::shared_ptr<const Manifest> manifest) {
  const auto found = std::find_if(this->copies.begin(), this->copies.end(), [&](const auto& copy) {
    return copy.manifest->Id() == manifest->Id();
  });
  if (found != this->copies.end()) {
    std::rotate(this->copies.begin(), found, found + 1);
  } else {
    WeightsCopy copy{.manifest = manifest,
                     .chunks = std::vector<SharedChunk>(manifest->ChunkCount())};
    this->ReuseChunks(copy);
    this->copies.insert(this->copies.begin(), std::move(copy));
  }
  this->Trim();
}

void ChunkStore::ReuseChunks(WeightsCopy& target) const {
  std::unordered_map<Digest, SharedChunk> known;
  for (const WeightsCopy& copy : this->copies) {
    for (std::uint32_t i = 0; i < copy.chunks.size(); ++i) {
      if (copy.Holds(i)) known.emplace(copy.manifest->DigestOf(i), copy.chunks[i]);
    }
  }
  if (known.empty()) return;
  for (std::uint32_t i = 0; i < target.chunks.size(); ++i) {
    const auto found = known.find(target.manifest->DigestOf(i));
    if (found == known.end()) continue;
    target.chunks[i] = found->second;
    ++target.held;
    target.bytes += found->second->size();
  }
}

bool ChunkStore::Put(const VerifiedChunk& chunk) {
  const auto found = std::find_if(this->copies.begin(), this->copies.end(), [&](const auto& copy) {
    return copy.manifest->Id() == chunk.ManifestId();
  });
  if (found == this->copies.end() || found->Holds(chunk.Index())) return false;
  found->chunks[chunk.Index()] = chunk.Bytes();
  ++found->held;
  found->bytes += chunk.Bytes()->size();
  this->Trim();
  return true;
}

const WeightsCopy* ChunkStore::Find(const Digest& manifest) const {
  for (const WeightsCopy& copy : this->copies) {
    if (copy.manifest->Id() == manifest) return &copy;
  }
  return nullptr;
}

std::uint64_t ChunkStore::Bytes() const {
  std::uint64_t total = 0;
  for (const WeightsCopy& copy : this->copies) total += copy.bytes;
  return total;
}

void ChunkStore::Trim() {
  if (this->copies.size() < 2) return;
  // Prefers a complete version, which a rollback needs, to one whose copy was abandoned.
  const auto complete = std::find_if(this->copies.begin() + 1, this->copies.end(),
                                     [](const WeightsCopy& copy) { return copy.IsComplete(); });
  const auto kept = complete != this->copies.end() ? complete : this->copies.begin() + 1;
  std::rotate(this->copies.begin() + 1, kept, kept + 1);
  // The last one that was left incomplete may be resumed.
  const bool may_resume =
      this->copies.size() > 2 && this->copies[1].IsComplete() && this->copies[2].held > 0;
  this->copies.resize(may_resume ? 3 : 2);
  while (this->limit_bytes > 0 && this->copies.size() > 1 && this->Bytes() > this->limit_bytes) {
    this->copies.pop_back();
  }
}

std::string ChunkBits(const WeightsCopy& copy) {
  std::string bits((copy.chunks.size() + 7) / 8, '\0');
  for (std::uint32_t i = 0; i < copy.chunks.size(); ++i) {
    if (copy.Holds(i)) bits[i / 8] = static_cast<char>(bits[i / 8] | (1 << (i % 8)));
  }
  return bits;
}

}  // namespace savory
