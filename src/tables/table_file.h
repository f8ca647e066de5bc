// Table files: YAML <-> wire::Tables. docs/tables.md describes the form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/settings.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// A checked table file.
struct TableFile {
  wire::Tables tables = {};  // routes and pools only
  // Revision that the file was made from; rows that are missing in the file are then removed.
  std::optional<std::uint64_t> base_revision = std::nullopt;
};

// Reads and checks a whole file. Errors: kInvalidTable, "FILE:LINE: FIELD: reason (route NAME)".
Result<TableFile> ReadTableFile(const std::string& path);
Result<TableFile> ParseTableFile(std::string_view text, std::string_view file_name);

// Reads one row from the fields of `reader`; errors stay in `reader`.
wire::Route ReadRouteRow(SettingsReader& reader);
wire::Pool ReadPoolRow(SettingsReader& reader);

// The file of `tables`, which ParseTableFile reads back; `revision` becomes the base revision.
std::string FormatTableFile(const wire::Tables& tables, std::optional<std::uint64_t> revision);
// One row as a YAML mapping.
std::string FormatRow(const wire::Route& route);
std::string FormatRow(const wire::Pool& pool);

}  // namespace savory
