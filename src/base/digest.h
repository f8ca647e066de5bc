// SHA-256 digests, and rendezvous scores for placement.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "base/error.h"

namespace savory {

// SHA-256 digest.
struct Digest {
  static constexpr std::size_t kSize = 32;  // bytes

  std::array<std::uint8_t, kSize> bytes = {};

  auto operator<=>(const Digest&) const = default;

  // True if all bytes are zero, which stands for "no digest".
  bool IsZero() const;
  // 64 lower-case hexadecimal digits.
  std::string Hex() const;
  // The raw bytes, as in a protobuf field of type bytes.
  std::string_view View() const;
};

Digest Sha256(std::span<const std::byte> data);
Digest Sha256(std::string_view data);

// Parses 64 hexadecimal digits. Errors: kMalformed.
Result<Digest> ParseDigest(std::string_view hex);

// Returns the digest with the raw bytes `raw`; all zero if `raw` is not 32 bytes long.
Digest DigestFromRaw(std::string_view raw);

// Score of `member` for `key` in rendezvous hashing: the member with the highest score owns the
// key.
std::uint64_t RendezvousScore(std::string_view key, std::string_view member);

// View of text as bytes, and back.
std::span<const std::byte> AsBytes(std::string_view text);
std::string_view AsText(std::span<const std::byte> bytes);

}  // namespace savory

template <>
struct std::hash<savory::Digest> {
  std::size_t operator()(const savory::Digest& digest) const noexcept;
};
