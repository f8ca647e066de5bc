#include "tables/table_merge.h"

#include <map>
#include <optional>

namespace savory {
namespace {

// Serialized rows by name. Rows are equal if their bytes are, because the messages have no map
// fields, whose serialized order may vary.
using RowBytes = std::map<std::string, std::string, std::less<>>;

template <typename Rows>
RowBytes BytesOf(const Rows& rows) {
  RowBytes bytes;
  for (const auto& row : rows) bytes.emplace(row.name(), row.SerializeAsString());
  return bytes;
}

std::optional<std::string_view> Lookup(const RowBytes& rows, std::string_view name) {
  const auto found = rows.find(name);
  if (found == rows.end()) return std::nullopt;
  return found->second;
}

// Lists changed and removed rows in the order of `before`, then added rows in the order of `after`,
// so that a merge appends added rows in the order of the operator's file.
template <typename Rows>
void DiffRows(TableRowKind kind, const Rows& before, const Rows& after,
              std::vector<RowDifference>& differences) {
  const RowBytes old_rows = BytesOf(before);
  const RowBytes new_rows = BytesOf(after);
  for (const auto& row : before) {
    const auto other = Lookup(new_rows, row.name());
    if (!other) differences.push_back({kind, row.name(), RowChange::kRemoved});
    if (other && *other != row.SerializeAsString()) {
      differences.push_back({kind, row.name(), RowChange::kChanged});
    }
  }
  for (const auto& row : after) {
    if (!old_rows.contains(row.name())) {
      differences.push_back({kind, row.name(), RowChange::kAdded});
    }
  }
}

template <typename Rows>
void RemoveRow(Rows& rows, std::string_view name) {
  for (int i = 0; i < rows.size(); ++i) {
    if (rows.Get(i).name() != name) continue;
    rows.DeleteSubrange(i, 1);
    return;
  }
}

template <typename Rows>
void SetRow(Rows& rows, const Rows& source, std::string_view name) {
  for (const auto& wanted : source) {
    if (wanted.name() != name) continue;
    for (auto& row : rows) {
      if (row.name() != name) continue;
      row = wanted;
      return;
    }
    *rows.Add() = wanted;
    return;
  }
}

template <typename Rows>
void ApplyDifference(Rows& rows, const Rows& source, const RowDifference& difference) {
  if (difference.change == RowChange::kRemoved) return RemoveRow(rows, difference.row);
  SetRow(rows, source, difference.row);
}

// For a row that `mine` changed: true if `theirs` changed it since `base` too, in a different way.
bool Conflicts(const RowBytes& base, const RowBytes& mine, const RowBytes& theirs,
               std::string_view name) {
  const auto wanted = Lookup(mine, name);
  const auto current = Lookup(theirs, name);
  return current != Lookup(base, name) && current != wanted;
}

}  // namespace

std::vector<RowDifference> DiffTables(const wire::Tables& before, const wire::Tables& after) {
  std::vector<RowDifference> differences;
  DiffRows(TableRowKind::kRoute, before.routes(), after.routes(), differences);
  DiffRows(TableRowKind::kPool, before.pools(), after.pools(), differences);
  return differences;
}

Result<wire::Tables> MergeTables(const wire::Tables& base, const wire::Tables& mine,
                                 const wire::Tables& theirs) {
  wire::Tables merged = theirs;
  for (const RowDifference& difference : DiffTables(base, mine)) {
    const bool route = difference.kind == TableRowKind::kRoute;
    const bool conflict = route ? Conflicts(BytesOf(base.routes()), BytesOf(mine.routes()),
                                            BytesOf(theirs.routes()), difference.row)
                                : Conflicts(BytesOf(base.pools()), BytesOf(mine.pools()),
                                            BytesOf(theirs.pools()), difference.row);
    if (conflict) {
      return Error{.kind = ErrorKind::kEditConflict,
                   .detail = std::string(TableRowKindName(difference.kind)) + " " + difference.row +
                             " was changed after revision " + std::to_string(base.revision()) +
                             "; the tables are at revision " + std::to_string(theirs.revision()) +
                             " by " + theirs.author()};
    }
    if (route) {
      ApplyDifference(*merged.mutable_routes(), mine.routes(), difference);
    } else {
      ApplyDifference(*merged.mutable_pools(), mine.pools(), difference);
    }
  }
  return merged;
}

}  // namespace savory
