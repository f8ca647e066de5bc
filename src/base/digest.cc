#include "base/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "base/sha256_hasher.h"

namespace savory {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

bool Digest::IsZero() const {
  return std::all_of(this->bytes.begin(), this->bytes.end(), [](auto b) { return b == 0; });
}

std::string Digest::Hex() const {
  std::string text;
  text.reserve(2 * kSize);
  for (const std::uint8_t byte : this->bytes) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 0xf];
  }
  return text;
}

std::string_view Digest::View() const {
  return {reinterpret_cast<const char*>(this->bytes.data()), kSize};
}

Digest Sha256(std::span<const std::byte> data) {
  Digest digest;
  EVP_Digest(data.data(), data.size(), digest.bytes.data(), nullptr, EVP_sha256(), nullptr);
  return digest;
}

Digest Sha256(std::string_view data) { return Sha256(AsBytes(data)); }

Result<Digest> ParseDigest(std::string_view hex) {
  if (hex.size() != 2 * Digest::kSize) {
    return Error{.kind = ErrorKind::kMalformed, .detail = "a digest has 64 hexadecimal digits"};
  }
  Digest digest;
  for (std::size_t i = 0; i < Digest::kSize; ++i) {
    const int high = HexValue(hex[2 * i]);
    const int low = HexValue(hex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return Error{.kind = ErrorKind::kMalformed, .detail = "not a hexadecimal digit"};
    }
    digest.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

Digest DigestFromRaw(std::string_view raw) {
  Digest digest;
  if (raw.size() == Digest::kSize) std::memcpy(digest.bytes.data(), raw.data(), Digest::kSize);
  return digest;
}

std::uint64_t RendezvousScore(std::string_view key, std::string_view member) {
  const XXH64_hash_t key_hash = XXH64(key.data(), key.size(), 0);
  return XXH64(member.data(), member.size(), key_hash);
}

std::span<const std::byte> AsBytes(std::string_view text) {
  return std::as_bytes(std::span(text.data(), text.size()));
}

std::string_view AsText(std::span<const std::byte> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

struct Sha256Hasher::Impl {
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  ~Impl() { EVP_MD_CTX_free(this->context); }
};

Sha256Hasher::Sha256Hasher() : impl(std::make_unique<Impl>()) {
  EVP_DigestInit_ex(this->impl->context, EVP_sha256(), nullptr);
}
Sha256Hasher::~Sha256Hasher() = default;
Sha256Hasher::Sha256Hasher(Sha256Hasher&&) noexcept = default;
Sha256Hasher& Sha256Hasher::operator=(Sha256Hasher&&) noexcept = default;

void Sha256Hasher::Update(std::span<const std::byte> data) {
  EVP_DigestUpdate(this->impl->context, data.data(), data.size());
}

Digest Sha256Hasher::Finish() {
  Digest digest;
  EVP_DigestFinal_ex(this->impl->context, digest.bytes.data(), nullptr);
  return digest;
}

}  // namespace savory

std::size_t std::hash<savory::Digest>::operator()(const savory::Digest& digest) const noexcept {
  std::size_t value = 0;
  std::memcpy(&value, digest.bytes.data(), sizeof(value));
  return value;
}
