#include "tables/table_check.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "base/digest.h"

namespace savory {
namespace {

using Fault = std::optional<TableFault>;

// Maps each value to the first row that uses it; a later row with the same value is a fault.
using FirstUse = std::map<std::string, std::string, std::less<>>;

TableFault PoolFault(const wire::Tables& tables, int index, std::string field, std::string reason) {
  return TableFault{.kind = TableRowKind::kPool,
                    .index = static_cast<std::size_t>(index),
                    .row = tables.pools(index).name(),
                    .field = std::move(field),
                    .reason = std::move(reason)};
}

TableFault RouteFault(const wire::Tables& tables, int index, std::string field,
                      std::string reason) {
  return TableFault{.kind = TableRowKind::kRoute,
                    .index = static_cast<std::size_t>(index),
                    .row = tables.routes(index).name(),
                    .field = std::move(field),
                    .reason = std::move(reason)};
}

constexpr std::string_view kNotUtf8 = "is not UTF-8";

Fault FindPoolTextFault(const wire::Tables& tables, int index) {
  const wire::Pool& pool = tables.pools(index);
  const auto fault = [&](std::string field) {
    return PoolFault(tables, index, std::move(field), std::string(kNotUtf8));
  };
  if (!IsUtf8(pool.name())) return fault("name");
  if (!IsUtf8(pool.service())) return fault("members");
  for (const std::string& vm : pool.vms()) {
    if (!IsUtf8(vm)) return fault("members");
  }
  if (!IsUtf8(pool.model())) return fault("model");
  if (!IsUtf8(pool.version())) return fault("version");
  return std::nullopt;
}

Fault FindRouteTextFault(const wire::Tables& tables, int index) {
  const wire::Route& route = tables.routes(index);
  const auto fault = [&](std::string field) {
    return RouteFault(tables, index, std::move(field), std::string(kNotUtf8));
  };
  if (!IsUtf8(route.name())) return fault("name");
  if (!IsUtf8(route.path_prefix()) || !IsUtf8(route.method())) return fault("match");
  if (!IsUtf8(route.pool())) return fault("pool");
  if (!IsUtf8(route.request_class())) return fault("class");
  for (const wire::AccountLimit& limit : route.limits()) {
    if (!IsUtf8(limit.account())) return fault("limits");
  }
  return std::nullopt;
}

Fault FindMemberFault(const wire::Tables& tables, int index, FirstUse& services, FirstUse& vms) {
  const wire::Pool& pool = tables.pools(index);
  const bool by_service = !pool.service().empty();
  if (by_service == !pool.vms().empty()) {
    return PoolFault(tables, index, "members",
                     by_service ? "must name either a service or VMs, not both"
                                : "the pool would be left empty: name a service or VMs");
  }
  if (by_service) {
    const auto [first, added] = services.emplace(pool.service(), pool.name());
    if (added) return std::nullopt;
    return PoolFault(tables, index, "members",
                     "the pool would be left empty: the agents of service " + pool.service() +
                         " belong to pool " + first->second);
  }
  for (const std::string& vm : pool.vms()) {
    if (vm.empty()) return PoolFault(tables, index, "members", "VM names must not be empty");
    const auto [first, added] = vms.emplace(vm, pool.name());
    if (added) continue;
    return PoolFault(tables, index, "members",
                     "VM " + vm + " already belongs to pool " + first->second);
  }
  return std::nullopt;
}

Fault FindWeightsFault(const wire::Tables& tables, int index) {
  const wire::Pool& pool = tables.pools(index);
  const bool weights = !pool.manifest().empty();
  if (weights && pool.manifest().size() != Digest::kSize) {
    return PoolFault(tables, index, "manifest", "must be 64 hexadecimal digits");
  }
  if (weights && pool.model().empty()) {
    return PoolFault(tables, index, "model", "must be set when manifest is set");
  }
  if (weights && pool.version().empty()) {
    return PoolFault(tables, index, "version", "must be set when manifest is set");
  }
  if (!weights && !pool.model().empty()) {
    return PoolFault(tables, index, "manifest", "must be set when model is set");
  }
  return std::nullopt;
}

Fault FindPoolFault(const wire::Tables& tables) {
  std::set<std::string> names;
  FirstUse services;
  FirstUse vms;
  for (int i = 0; i < tables.pools_size(); ++i) {
    const wire::Pool& pool = tables.pools(i);
    if (Fault fault = FindPoolTextFault(tables, i)) return fault;
    if (pool.name().empty()) return PoolFault(tables, i, "name", "must not be empty");
    if (!names.insert(pool.name()).second) {
      return PoolFault(tables, i, "name", "another pool has the name " + pool.name());
    }
    if (Fault fault = FindMemberFault(tables, i, services, vms)) return fault;
    if (Fault fault = FindWeightsFault(tables, i)) return fault;
  }
  return std::nullopt;
}

Fault FindLimitFault(const wire::Tables& tables, int index) {
  std::set<std::string> accounts;
  for (const wire::AccountLimit& limit : tables.routes(index).limits()) {
    if (!accounts.insert(limit.account()).second) {
      return RouteFault(tables, index, "limits",
                        "account " + limit.account() + " has more than one limit");
    }
  }
  return std::nullopt;
}

Fault FindRouteFault(const wire::Tables& tables) {
  std::set<std::string> pools;
  for (const wire::Pool& pool : tables.pools()) pools.insert(pool.name());
  std::set<std::string> names;
  FirstUse matches;
  for (int i = 0; i < tables.routes_size(); ++i) {
    const wire::Route& route = tables.routes(i);
    if (Fault fault = FindRouteTextFault(tables, i)) return fault;
    if (route.name().empty()) return RouteFault(tables, i, "name", "must not be empty");
    if (!names.insert(route.name()).second) {
      return RouteFault(tables, i, "name", "another route has the name " + route.name());
    }
    if (!route.path_prefix().starts_with('/')) {
      return RouteFault(tables, i, "match", "path_prefix must begin with /");
    }
    const auto [first, added] =
        matches.emplace(route.method() + " " + route.path_prefix(), route.name());
    if (!added) {
      return RouteFault(tables, i, "match", "route " + first->second + " has the same match");
    }
    if (!pools.contains(route.pool())) {
      return RouteFault(tables, i, "pool", "no pool has the name " + route.pool());
    }
    if (Fault fault = FindLimitFault(tables, i)) return fault;
  }
  return std::nullopt;
}

}  // namespace

std::string_view TableRowKindName(TableRowKind kind) {
  return kind == TableRowKind::kRoute ? "route" : "pool";
}

std::string DescribeFault(const TableFault& fault) {
  std::string text = std::string(TableRowKindName(fault.kind)) + " " + fault.row + ": ";
  if (!fault.field.empty()) text += fault.field + ": ";
  return text + fault.reason;
}

bool IsUtf8(std::string_view text) {
  try {
    // With the strict handler, dump() throws at the first byte that is not UTF-8.
    (void)nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::strict);
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

std::optional<TableFault> FindTableFault(const wire::Tables& tables) {
  if (Fault fault = FindPoolFault(tables)) return fault;
  return FindRouteFault(tables);
}

}  // namespace savory
