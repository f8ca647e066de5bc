// A chunk whose bytes match their digest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/digest.h"

namespace savory {

class Manifest;

using SharedChunk = std::shared_ptr<const std::vector<std::byte>>;

// Only Verify() creates one, so a ChunkStore cannot receive bytes that were not checked.
class VerifiedChunk {
 public:
  // Returns nullopt if `bytes` are not chunk `index` of `manifest`. Computes the SHA-256 of
  // `bytes`.
  static std::optional<VerifiedChunk> Verify(const Manifest& manifest, std::uint32_t index,
                                             SharedChunk bytes);

  const Digest& ManifestId() const { return this->manifest; }
  std::uint32_t Index() const { return this->index; }
  const SharedChunk& Bytes() const { return this->bytes; }

 private:
  VerifiedChunk(const Digest& manifest, std::uint32_t index, SharedChunk bytes)
      : manifest(manifest), index(index), bytes(std::move(bytes)) {}

  Digest manifest;
  std::uint32_t index;
  SharedChunk bytes;
};

}  // namespace savory
