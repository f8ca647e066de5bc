// Incremental SHA-256.
#pragma once

#include <memory>
#include <span>

#include "base/digest.h"

namespace savory {

// Computes the digest of data that is passed in several parts.
class Sha256Hasher {
 public:
  Sha256Hasher();
  ~Sha256Hasher();
  Sha256Hasher(Sha256Hasher&&) noexcept;
  Sha256Hasher& operator=(Sha256Hasher&&) noexcept;

  void Update(std::span<const std::byte> data);
  // Digest of all data so far; call once.
  Digest Finish();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
