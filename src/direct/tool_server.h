// Options of the HTTP servers for readiness checks and metrics, which take no bodies of note.
#pragma once

#include "runtime/async_http_server.h"

namespace savory {

inline AsyncHttpServerOptions ToolServerOptions() {
  return {.limits = {.max_body_bytes = std::uint64_t{64} * 1024},
          .budget = {.max_bytes = std::uint64_t{8} * 1024 * 1024, .max_connections = 64}};
}

}  // namespace savory
