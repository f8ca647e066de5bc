// Keys of the tables in the key-value service.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savory {

inline constexpr std::string_view kTablesKey = "tables";

// Key of the history record of `revision`, which is written before the next revision replaces it.
inline std::string TablesHistoryKey(std::uint64_t revision) {
  return "tables-history/" + std::to_string(revision);
}

}  // namespace savory
