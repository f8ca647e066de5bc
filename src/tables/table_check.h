// Checks of tables as a whole.
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

// The first fault of a table.
struct TableFault {
  TableRowKind kind = TableRowKind::kRoute;
  std::size_t index = 0;  // of the row among the rows of its kind
  std::string row;        // name of the row
  std::string field;      // as in the table file; "" for the row as a whole
  std::string reason;
};

// "route chat: pool: no pool has the name x".
std::string DescribeFault(const TableFault& fault);

// True when `text` is UTF-8. Protobuf does not parse a message with any other text, so a value that
// holds it could not be read back.
bool IsUtf8(std::string_view text);

// Checks everything that a single field's range does not cover: text that is not UTF-8,
// names and matches that occur twice, unknown pools, and pools that would be left without members.
// nullopt when the table is valid.
std::optional<TableFault> FindTableFault(const wire::Tables& tables);

}  // namespace savory
