// Conversion between YAML table files and wire::Tables. docs/tables.md describes the format.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/settings.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// Content of a valid table file.
struct TableFile {
  wire::Tables tables = {};  // routes and pools only
  // Revision that the file is based on; if set, rows that the file lacks are removed.
  std::optional<std::uint64_t> base_revision = std::nullopt;
};

// Parses and validates a file. Errors: kInvalidTable, "FILE:LINE: FIELD: reason", followed by
// " (route NAME)" or " (pool NAME)" if the error is in a row with a name.
Result<TableFile> ReadTableFile(const std::string& path);
Result<TableFile> ParseTableFile(std::string_view text, std::string_view file_name);

// Reads one row from the fields of `reader`, which records any error.
wire::Route ReadRouteRow(SettingsReader& reader);
wire::Pool ReadPoolRow(SettingsReader& reader);

// Formats `tables` as a file that ParseTableFile() reads back, with `revision` as base revision.
std::string FormatTableFile(const wire::Tables& tables, std::optional<std::uint64_t> revision);
// Formats one row as a YAML mapping.
std::string FormatRow(const wire::Route& route);
std::string FormatRow(const wire::Pool& pool);

}  // namespace savory
