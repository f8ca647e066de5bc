// Checks whether a TCP address accepts connections.
#pragma once

#include <string>

#include "base/time.h"

namespace savory {

// True when `address` (IP:PORT) accepts a connection within `timeout`; sends no data. Blocks: call
// it from Workers.
bool AcceptsConnections(const std::string& address, Duration timeout);

}  // namespace savory
