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

  // All bytes are zero: stands for "no digest".
  bool IsZero() const;
  // 64 lower-case hexadecimal digits.
  std::string Hex() const;
  // The raw bytes, as protobuf keeps them.
  std::string_view View() const;
};

// Digest of `data`.
Digest Sha256(std::span<const std::byte> data);
Digest Sha256(std::string_view data);

// Parses 64 hexadecimal digits. Errors: kMalformed.
Result<Digest> ParseDigest(std::string_view hex);

// Digest from its raw bytes; all zero when `raw` does not have 32 bytes.
Digest DigestFromRaw(std::string_view raw);

// Rendezvous score of (`key`, `member`): among members, the highest score owns
// the key.
std::uint64_t RendezvousScore(std::string_view key, std::string_view member);

// View of text as bytes, and back.
std::span<const std::byte> AsBytes(std::string_view text);
std::string_view AsText(std::span<const std::byte> bytes);

}  // namespace savory

template <>
struct std::hash<savory::Digest> {
  std::size_t operator()(const savory::Digest& digest) const noexcept;
};
