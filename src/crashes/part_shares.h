// Counts how many of the last requests have each part of a prompt.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

#include "base/digest.h"

namespace savory {

struct PartSharesOptions {
  std::size_t min_requests = 16;   // fewer tell nothing
  std::size_t max_requests = 128;  // the last ones that count, up to twice as many
  double common_share = 0.25;      // of these requests
};

// A part that a large share of all requests have runs at most ends of upstreams, whoever causes
// them. Performs no I/O.
class PartShares {
 public:
  explicit PartShares(PartSharesOptions options) : options(options) {}

  // A request arrived; `parts` are those that it may share with others, each one once.
  void Add(std::span<const Digest> parts);
  bool IsCommon(const Digest& part) const;

 private:
  struct Period {
    std::size_t requests = 0;
    std::unordered_map<Digest, std::uint32_t> by_part = {};

    std::size_t CountOf(const Digest& part) const;
  };

  PartSharesOptions options;
  Period current = {};
  Period before = {};
};

}  // namespace savory
