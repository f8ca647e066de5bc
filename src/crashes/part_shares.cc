#include "crashes/part_shares.h"

#include <utility>

namespace savory {

std::size_t PartShares::Period::CountOf(const Digest& part) const {
  const auto found = this->by_part.find(part);
  return found == this->by_part.end() ? 0 : found->second;
}

void PartShares::Add(std::span<const Digest> parts) {
  if (parts.empty()) return;
  if (this->current.requests >= this->options.max_requests) {
    this->before = std::exchange(this->current, {});
  }
  ++this->current.requests;
  for (const Digest& part : parts) ++this->current.by_part[part];
}

bool PartShares::IsCommon(const Digest& part) const {
  const std::size_t requests = this->current.requests + this->before.requests;
  if (requests < this->options.min_requests) return false;
  const std::size_t with_part = this->current.CountOf(part) + this->before.CountOf(part);
  return static_cast<double>(with_part) >=
         this->options.common_share * static_cast<double>(requests);
}

}  // namespace savory
