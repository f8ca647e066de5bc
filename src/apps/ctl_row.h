// Changes of single fields of a row, as given on the command line.
#pragma once

#include <span>
#include <string>

#include "base/error.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// The row `name` of `tables` with FIELD=VALUE changes, or a new row. Fields are those of the table
// file; `service`, `vms` (separated by commas), `path_prefix`, `method` and
// `limits.ACCOUNT.FIELD` reach the nested ones, and an empty value removes a field.
// Errors: kInvalidTable.
Result<wire::Pool> ChangePoolRow(const wire::Tables& tables, const std::string& name,
                                 std::span<const std::string> changes);
Result<wire::Route> ChangeRouteRow(const wire::Tables& tables, const std::string& name,
                                   std::span<const std::string> changes);

}  // namespace savory
