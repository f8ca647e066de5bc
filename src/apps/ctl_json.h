// Converts tables to JSON with the field names of the table file.
#pragma once

#include <nlohmann/json.hpp>

#include "tables/table_merge.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

nlohmann::ordered_json RouteJson(const wire::Route& route);
nlohmann::ordered_json PoolJson(const wire::Pool& pool);
// Contains revision, author, time of acceptance, routes and pools.
nlohmann::ordered_json TablesJson(const wire::Tables& tables);
// Returns "added", "changed" or "removed".
std::string_view RowChangeName(RowChange change);

}  // namespace savory
