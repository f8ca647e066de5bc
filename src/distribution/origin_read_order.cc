#include "distribution/origin_read_order.h"

namespace savory {
namespace {

// Concurrent reads of the whole region. More than one, so that the origin's link is never idle
// between two reads.
constexpr std::uint32_t kConcurrentReads = 4;

}  // namespace

void OriginReadOrder::Start(Instant first_read, std::uint32_t chunk_count, std::uint32_t size,
                            const std::function<bool(std::uint32_t chunk)>& is_missing) {
  this->begin = first_read;
  this->chunk_bytes = size;
  this->positions.resize(chunk_count);
  std::uint32_t next = 0;
  for (std::uint32_t chunk = 0; chunk < chunk_count; ++chunk) {
    this->positions[chunk] = next;
    if (is_missing(chunk)) ++next;
  }
}

Instant OriginReadOrder::EarliestRead(std::uint32_t chunk) const {
  const std::uint32_t position = this->positions[chunk];
  return this->begin +
         this->SendTime(position < kConcurrentReads ? 0 : position - kConcurrentReads);
}

Instant OriginReadOrder::ExpectedEnd(std::uint32_t chunk) const {
  return this->begin + this->SendTime(this->positions[chunk] + kConcurrentReads);
}

Duration OriginReadOrder::SendTime(std::uint32_t chunks) const {
  return FromSeconds(static_cast<double>(chunks) * this->chunk_bytes / this->bytes_per_second);
}

}  // namespace savory
