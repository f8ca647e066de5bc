// Which upstream VMs belong to a pool.
#pragma once

#include <string_view>

#include "wire/savoryrouter.pb.h"

namespace savory {

// True if `pool` lists `vm`. If it lists no VMs, true if `service` is the one that it names and is
// not empty.
bool IsPoolMember(const wire::Pool& pool, std::string_view vm, std::string_view service);

// Returns the first pool that `vm` belongs to, or nullptr.
const wire::Pool* FindPoolOf(const wire::Tables& tables, std::string_view vm,
                             std::string_view service);

}  // namespace savory
