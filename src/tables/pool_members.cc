#include "tables/pool_members.h"

#include <algorithm>

namespace savory {

bool IsPoolMember(const wire::Pool& pool, std::string_view vm, std::string_view service) {
  if (pool.vms().empty()) return !service.empty() && pool.service() == service;
  return std::find(pool.vms().begin(), pool.vms().end(), vm) != pool.vms().end();
}

const wire::Pool* FindPoolOf(const wire::Tables& tables, std::string_view vm,
                             std::string_view service) {
  for (const wire::Pool& pool : tables.pools()) {
    if (IsPoolMember(pool, vm, service)) return &pool;
  }
  return nullptr;
}

}  // namespace savory
