// How the parts of Dispatcher that remember upstreams without their records name them.
#pragma once

#include "placement/cold_limits.h"
#include "relay/upstream.h"
#include "relay/upstream_notices.h"

namespace savory {

inline UpstreamStart StartOf(const Upstream& upstream) {
  return {.id = upstream.id, .started_unix_ms = upstream.started_unix_ms};
}

inline ColdUpstream PlaceOf(const Upstream& upstream) {
  return {.id = upstream.id, .pool = upstream.pool, .data_centre = upstream.data_centre};
}

}  // namespace savory
