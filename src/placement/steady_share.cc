#include "placement/steady_share.h"

#include <algorithm>

namespace savory {

void SteadyShare::Set(std::uint32_t value, Instant now) {
  Instant since = now;
  while (!this->rows.empty() && this->rows.back().value >= value) {
    since = this->rows.back().since;
    this->rows.pop_back();
  }
  if (value > 0) this->rows.push_back({.value = value, .since = since});
  // Of the rows that were held for the whole window, only the largest counts.
  while (this->rows.size() > 1 && this->rows[1].since <= now - this->window) {
    this->rows.pop_front();
  }
}

std::uint32_t SteadyShare::Least(Instant now) const {
  std::uint32_t least = 0;
  for (const Row& row : this->rows) {
    if (row.since <= now - this->window) least = std::max(least, row.value);
  }
  return least;
}

}  // namespace savory
