// Sizes and digests of one version of the weights.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "base/digest.h"
#include "base/error.h"

namespace savory {

// Bytes of one chunk within the weights.
struct ChunkRange {
  std::uint64_t offset = 0;  // bytes from the start
  std::uint32_t length = 0;  // bytes
};

// Immutable; identified by the SHA-256 of its serialized form.
class Manifest {
 public:
  static constexpr std::uint32_t kMaxChunkBytes = 64u << 20;
  // Limits the memory that a malformed manifest can allocate; 2^22 chunks of 1 MiB are 4 TiB.
  static constexpr std::uint64_t kMaxChunks = 1u << 22;
  // Of a manifest with as many chunks, whose digests have 32 bytes each.
  static constexpr std::size_t kMaxContentBytes = kMaxChunks * 32 + 64 * 1024;

  // Describes `weights`, which must not be empty. `chunk_size` is in bytes, from 1 to
  // kMaxChunkBytes; `weights_name` is the path below /weights/ at the origin.
  static Manifest Build(std::span<const std::byte> weights, std::uint32_t chunk_size,
                        std::string weights_name);

  // Describes weights of which only the chunk digests are known; all chunks have `chunk_size`
  // bytes. WholeDigest() is then the digest of the list of chunk digests, not of the weights.
  static Manifest FromChunks(std::span<const Digest> digests, std::uint32_t chunk_size,
                             std::string weights_name);

  // Errors: kDigestMismatch if the SHA-256 of `content` is not `expected`; kMalformed.
  static Result<Manifest> Parse(std::string_view content, const Digest& expected);

  const Digest& Id() const { return this->id; }
  // Serialized wire::Manifest.
  const std::string& Content() const { return this->content; }
  const std::string& WeightsName() const { return this->weights_name; }
  const Digest& WholeDigest() const { return this->whole_digest; }
  std::uint64_t Size() const { return this->size_bytes; }
  std::uint32_t ChunkSize() const { return this->chunk_size; }
  std::uint32_t ChunkCount() const { return this->chunk_count; }

  // `chunk` must be below ChunkCount(). The last chunk may be shorter than ChunkSize().
  ChunkRange RangeOf(std::uint32_t chunk) const;
  Digest DigestOf(std::uint32_t chunk) const;

 private:
  Manifest() = default;

  Digest id;
  Digest whole_digest;
  std::string content;
  std::string chunk_digests;
  std::string weights_name;
  std::uint64_t size_bytes = 0;
  std::uint32_t chunk_size = 0;
  std::uint32_t chunk_count = 0;
};

}  // namespace savory
