#include "apps/ctl_json.h"

#include "base/digest.h"

namespace savory {

using nlohmann::ordered_json;

ordered_json RouteJson(const wire::Route& route) {
  ordered_json limits = ordered_json::array();
  for (const wire::AccountLimit& limit : route.limits()) {
    limits.push_back({{"account", limit.account()},
                      {"rate_per_s", limit.rate_per_second()},
                      {"concurrency", limit.concurrency()},
                      {"share", limit.share()}});
  }
  return {{"name", route.name()},
          {"match", {{"path_prefix", route.path_prefix()}, {"method", route.method()}}},
          {"pool", route.pool()},
          {"class", route.request_class()},
          {"priority", route.priority()},
          {"idempotent", route.idempotent()},
          {"deadline_ms", route.deadline_ms()},
          {"limits", std::move(limits)}};
}

ordered_json PoolJson(const wire::Pool& pool) {
  ordered_json members = ordered_json::object();
  if (!pool.service().empty()) members["service"] = pool.service();
  if (!pool.vms().empty()) {
    members["vms"] = std::vector<std::string>(pool.vms().begin(), pool.vms().end());
  }
  const bool weights = !pool.manifest().empty();
  return {{"name", pool.name()},
          {"members", std::move(members)},
          {"model", pool.model()},
          {"version", pool.version()},
          {"manifest", weights ? DigestFromRaw(pool.manifest()).Hex() : ""},
          {"favours", pool.favours() == wire::FAVOUR_ORIGIN_BYTES ? "origin_bytes" : "time"},
          {"max_loading", pool.max_loading()},
          {"engine_checks_fence", pool.engine_checks_fence()}};
}

ordered_json TablesJson(const wire::Tables& tables) {
  ordered_json routes = ordered_json::array();
  ordered_json pools = ordered_json::array();
  for (const wire::Route& route : tables.routes()) routes.push_back(RouteJson(route));
  for (const wire::Pool& pool : tables.pools()) pools.push_back(PoolJson(pool));
  return {{"revision", tables.revision()},
          {"author", tables.author()},
          {"accepted_unix_ms", tables.accepted_unix_ms()},
          {"routes", std::move(routes)},
          {"pools", std::move(pools)}};
}

std::string_view RowChangeName(RowChange change) {
  switch (change) {
    case RowChange::kAdded:
      return "added";
    case RowChange::kChanged:
      return "changed";
    case RowChange::kRemoved:
      return "removed";
  }
  return "changed";
}

}  // namespace savory
