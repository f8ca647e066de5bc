#include "distribution/manifest.h"

#include <algorithm>
#include <cassert>

#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

Error Malformed(std::string detail) {
  return Error{.kind = ErrorKind::kMalformed, .detail = "manifest: " + std::move(detail)};
}

// Returns why `message` is invalid, or "".
std::string ReasonInvalid(const wire::Manifest& message) {
  if (message.size() == 0) return "size is 0";
  if (message.chunk_size() == 0 || message.chunk_size() > Manifest::kMaxChunkBytes) {
    return "chunk_size must be from 1 byte to 64 MiB";
  }
  const std::uint64_t chunks = (message.size() - 1) / message.chunk_size() + 1;
  if (chunks > Manifest::kMaxChunks) return "more than 4194304 chunks";
  if (message.chunk_digests().size() != chunks * Digest::kSize) {
    return "chunk_digests must have 32 bytes for each chunk";
  }
  if (message.whole_digest().size() != Digest::kSize) return "whole_digest must have 32 bytes";
  if (message.weights_name().empty()) return "weights_name is empty";
  return "";
}

}  // namespace

Manifest Manifest::Build(std::span<const std::byte> weights, std::uint32_t chunk_size,
                         std::string weights_name) {
  assert(!weights.empty() && chunk_size > 0 && chunk_size <= kMaxChunkBytes);
  wire::Manifest message;
  message.set_size(weights.size());
  message.set_chunk_size(chunk_size);
  message.set_weights_name(std::move(weights_name));
  message.set_whole_digest(std::string(Sha256(weights).View()));
  for (std::size_t offset = 0; offset < weights.size(); offset += chunk_size) {
    const std::size_t length = std::min<std::size_t>(chunk_size, weights.size() - offset);
    message.mutable_chunk_digests()->append(Sha256(weights.subspan(offset, length)).View());
  }
  const std::string content = message.SerializeAsString();
  return Parse(content, Sha256(content)).value();
}

Manifest Manifest::FromChunks(std::span<const Digest> digests, std::uint32_t chunk_size,
                              std::string weights_name) {
  assert(!digests.empty() && chunk_size > 0 && chunk_size <= kMaxChunkBytes);
  wire::Manifest message;
  message.set_size(std::uint64_t{chunk_size} * digests.size());
  message.set_chunk_size(chunk_size);
  message.set_weights_name(std::move(weights_name));
  for (const Digest& digest : digests) message.mutable_chunk_digests()->append(digest.View());
  message.set_whole_digest(std::string(Sha256(message.chunk_digests()).View()));
  const std::string content = message.SerializeAsString();
  return Parse(content, Sha256(content)).value();
}

Result<Manifest> Manifest::Parse(std::string_view content, const Digest& expected) {
  if (Sha256(content) != expected) {
    return Error{.kind = ErrorKind::kDigestMismatch,
                 .detail = "manifest does not have the expected SHA-256 " + expected.Hex()};
  }
  wire::Manifest message;
  if (!message.ParseFromArray(content.data(), static_cast<int>(content.size()))) {
    return Malformed("content is not a valid protobuf message");
  }
  if (const std::string reason = ReasonInvalid(message); !reason.empty()) return Malformed(reason);
  Manifest manifest;
  manifest.id = expected;
  manifest.whole_digest = DigestFromRaw(message.whole_digest());
  manifest.content = content;
  manifest.chunk_digests = message.chunk_digests();
  manifest.weights_name = message.weights_name();
  manifest.size_bytes = message.size();
  manifest.chunk_size = message.chunk_size();
  manifest.chunk_count = static_cast<std::uint32_t>(message.chunk_digests().size() / Digest::kSize);
  return manifest;
}

ChunkRange Manifest::RangeOf(std::uint32_t chunk) const {
  assert(chunk < this->chunk_count);
  const std::uint64_t offset = std::uint64_t{chunk} * this->chunk_size;
  const std::uint64_t length = std::min<std::uint64_t>(this->chunk_size, this->size_bytes - offset);
  return ChunkRange{.offset = offset, .length = static_cast<std::uint32_t>(length)};
}

Digest Manifest::DigestOf(std::uint32_t chunk) const {
  assert(chunk < this->chunk_count);
  const std::string_view digests = this->chunk_digests;
  return DigestFromRaw(digests.substr(chunk * Digest::kSize, Digest::kSize));
}

}  // namespace savory
