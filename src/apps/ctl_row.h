// Applies field changes that are given on the command line to a row of the tables.
#pragma once

#include <span>
#include <string>

#include "base/error.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// Returns the row `name` of `tables` with the FIELD=VALUE changes applied; starts from an empty row
// when there is none of that name. Fields have the names of the table file. Nested fields are given
// as `service`, `vms` (separated by commas), `path_prefix`, `method` and `limits.ACCOUNT.FIELD`. An
// empty value removes the field. Errors: kInvalidTable.
Result<wire::Pool> ChangePoolRow(const wire::Tables& tables, const std::string& name,
                                 std::span<const std::string> changes);
Result<wire::Route> ChangeRouteRow(const wire::Tables& tables, const std::string& name,
                                   std::span<const std::string> changes);

}  // namespace savory
