// Differences between tables, and three-way merge of concurrent changes.
#pragma once

#include <string>
#include <vector>

#include "base/error.h"
#include "tables/table_check.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

enum class RowChange { kAdded, kChanged, kRemoved };

// One row that differs between two tables.
struct RowDifference {
  TableRowKind kind = TableRowKind::kRoute;
  std::string row;
  RowChange change = RowChange::kChanged;
};

// Returns the rows in which `after` differs from `before`: first routes, then pools. Within each
// kind, changed and removed rows come before added ones.
std::vector<RowDifference> DiffTables(const wire::Tables& before, const wire::Tables& after);

// Applies the changes between `base` and `mine` to `theirs`, which may have changed since `base`.
// Existing rows keep their order and added rows follow. Errors: kEditConflict, naming the row that
// both sides changed in different ways.
Result<wire::Tables> MergeTables(const wire::Tables& base, const wire::Tables& mine,
                                 const wire::Tables& theirs);

}  // namespace savory
