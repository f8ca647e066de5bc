// Validation of the tables as a whole.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "wire/savoryrouter.pb.h"

namespace savory {

enum class TableRowKind { kRoute, kPool };

// "route" or "pool".
std::string_view TableRowKindName(TableRowKind kind);

// The first validation error in the tables.
struct TableFault {
  TableRowKind kind = TableRowKind::kRoute;
  std::size_t index = 0;  // of the row among the rows of its kind
  std::string row;        // name of the row
  std::string field;      // as in the table file; "" if it concerns the whole row
  std::string reason;
};

// "route chat: pool: no pool has the name x".
std::string DescribeFault(const TableFault& fault);

// True if `text` is valid UTF-8. Protobuf refuses to parse string fields with other text, so stored
// tables that contain it could not be read back.
bool IsUtf8(std::string_view text);

// Checks what the range of a single field does not cover: all text is UTF-8; names are set; names,
// matches, members and the accounts of a route's limits are unique; path prefixes begin with "/";
// the pool of each route exists; each pool has members; model versions are complete. Returns
// nullopt if the tables are valid.
std::optional<TableFault> FindTableFault(const wire::Tables& tables);

}  // namespace savory
