// The health of upstreams whose record is gone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "relay/routing_index.h"
#include "relay/upstream_health.h"

namespace savory {

struct Upstream;

// A record may disappear for a moment while its upstream fails on. Only upstreams that were ejected
// and have served nothing since are remembered, each by its start and its address. Performs no I/O.
class FormerHealth {
 public:
  // If there are more upstreams, the one whose ejection ends first is forgotten.
  explicit FormerHealth(std::size_t max_upstreams = 4096) : max_upstreams(max_upstreams) {}

  void Keep(const Upstream& upstream, const UpstreamHealth& health);
  // Forgets the upstream, and returns its health, with no attempts in flight. That of another start
  // or at another address is that of an upstream which was never used.
  UpstreamHealth Take(const Upstream& upstream);
  std::size_t Size() const { return this->rows.size(); }

 private:
  struct Row {
    std::int64_t started_unix_ms = 0;
    std::string address = {};
    UpstreamHealth health = UpstreamHealth();
  };

  std::size_t max_upstreams;
  TextMap<Row> rows = {};  // by id
};

}  // namespace savory
