// Which upstream VMs belong to a pool.
#pragma once

#include <string_view>

#include "wire/savoryrouter.pb.h"

namespace savory {

// True when `pool` names `vm` explicitly or, without explicit members, selects its service.
bool IsPoolMember(const wire::Pool& pool, std::string_view vm, std::string_view service);

// The first pool that `vm` belongs to, or nullptr.
const wire::Pool* FindPoolOf(const wire::Tables& tables, std::string_view vm,
                             std::string_view service);

}  // namespace savory
