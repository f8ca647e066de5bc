#include "relay/replaced_starts.h"

#include <algorithm>

#include "relay/upstream_notices.h"

namespace savory {

void ReplacedStarts::Add(const UpstreamStart& start) {
  if (this->Contains(start)) return;
  if (this->rows.size() >= this->max_starts) this->rows.pop_front();
  this->rows.push_back({.id = std::string(start.id), .started_unix_ms = start.started_unix_ms});
}

bool ReplacedStarts::Contains(const UpstreamStart& start) const {
  return std::ranges::any_of(this->rows, [&start](const Row& row) {
    return row.id == start.id && row.started_unix_ms == start.started_unix_ms;
  });
}

}  // namespace savory
