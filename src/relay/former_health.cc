#include "relay/former_health.h"

#include <algorithm>
#include <utility>

#include "relay/upstream.h"

namespace savory {

void FormerHealth::Keep(const Upstream& upstream, const UpstreamHealth& health) {
  if (!health.IsHalfOpen()) return;
  Row row{
      .started_unix_ms = upstream.started_unix_ms, .address = upstream.address, .health = health};
  row.health.ForgetInFlight();
  if (this->rows.size() >= this->max_upstreams && !this->rows.contains(upstream.id)) {
    this->rows.erase(std::ranges::min_element(
        this->rows, {}, [](const auto& known) { return known.second.health.EjectedUntil(); }));
  }
  this->rows.insert_or_assign(upstream.id, std::move(row));
}

UpstreamHealth FormerHealth::Take(const Upstream& upstream) {
  const auto found = this->rows.find(upstream.id);
  if (found == this->rows.end()) return UpstreamHealth();
  const Row row = std::move(found->second);
  this->rows.erase(found);
  const bool is_same =
      row.started_unix_ms == upstream.started_unix_ms && row.address == upstream.address;
  return is_same ? row.health : UpstreamHealth();
}

}  // namespace savory
