#include "apps/ctl_row.h"

#include <yaml-cpp/yaml.h>

#include <regex>
#include <sstream>

#include "tables/table_file.h"

namespace savory {
namespace {

constexpr std::string_view kLimitsPrefix = "limits.";

struct FieldChange {
  std::string field;
  std::string value;
};

Error RowError(const std::string& row, const std::string& detail) {
  return Error{.kind = ErrorKind::kInvalidTable, .detail = row + ": " + detail};
}

Result<FieldChange> SplitChange(const std::string& row, const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0) {
    return RowError(row, text + ": must be FIELD=VALUE");
  }
  return FieldChange{.field = text.substr(0, equals), .value = text.substr(equals + 1)};
}

void SetOrRemove(YAML::Node node, const std::string& key, const std::string& value) {
  if (value.empty()) {
    node.remove(key);
  } else {
    node[key] = value;
  }
}

// `service` and `vms` exclude each other, so setting one removes the other.
void SetMembers(YAML::Node row, const FieldChange& change) {
  YAML::Node members(YAML::NodeType::Map);
  if (change.field == "service") {
    members["service"] = change.value;
  } else {
    std::istringstream names(change.value);
    for (std::string vm; std::getline(names, vm, ',');) members["vms"].push_back(vm);
  }
  row["members"] = members;
}

void ChangePoolField(YAML::Node row, const FieldChange& change) {
  if (change.field == "service" || change.field == "vms") return SetMembers(row, change);
  SetOrRemove(row, change.field, change.value);
}

// `path` is ACCOUNT or ACCOUNT.FIELD. The account may contain dots itself, so the last dot
// separates the field; with an empty value, which removes the limit, the whole path is the account.
void SetLimit(YAML::Node row, const std::string& path, const std::string& value) {
  const std::size_t dot = path.rfind('.');
  const bool is_account = dot == std::string::npos || value.empty();
  const std::string account = is_account ? path : path.substr(0, dot);
  YAML::Node kept(YAML::NodeType::Sequence);
  YAML::Node limit(YAML::NodeType::Map);
  limit["account"] = account;
  for (const YAML::Node& old : row["limits"]) {
    if (old["account"].Scalar() == account) {
      limit = old;
    } else {
      kept.push_back(old);
    }
  }
  if (!value.empty()) {
    if (!is_account) limit[path.substr(dot + 1)] = value;
    kept.push_back(limit);
  }
  row["limits"] = kept;
}

void ChangeRouteField(YAML::Node row, const FieldChange& change) {
  if (change.field == "path_prefix" || change.field == "method") {
    return SetOrRemove(row["match"], change.field, change.value);
  }
  if (change.field.starts_with(kLimitsPrefix)) {
    return SetLimit(row, change.field.substr(kLimitsPrefix.size()), change.value);
  }
  SetOrRemove(row, change.field, change.value);
}

template <typename Rows>
YAML::Node RowNode(const Rows& rows, const std::string& name) {
  for (const auto& row : rows) {
    if (row.name() == name) return YAML::Load(FormatRow(row));
  }
  YAML::Node node(YAML::NodeType::Map);
  node["name"] = name;
  return node;
}

// Applies `changes` and parses the row with the same checks as rows of a table file.
template <typename Change, typename Read>
auto ReadChangedRow(const std::string& row, YAML::Node node, std::span<const std::string> changes,
                    Change change_field, Read read_row)
    -> Result<decltype(read_row(std::declval<SettingsReader&>()))> {
  for (const std::string& text : changes) {
    BOOST_OUTCOME_TRY(change, SplitChange(row, text));
    if (change.field == "name") return RowError(row, "name: a row cannot be renamed");
    change_field(node, change);
  }
  auto reader = SettingsReader::FromText(YAML::Dump(node), row);
  if (!reader) return RowError(row, reader.error().detail);
  auto read = read_row(reader.value());
  const auto finished = reader.value().Finish();
  if (finished) return read;
  // Removes the line number: it refers to the generated YAML text, which the operator has not seen.
  static const std::regex kLineNumber(R"(:\d+: )");
  return Error{.kind = ErrorKind::kInvalidTable,
               .detail = std::regex_replace(finished.error().detail, kLineNumber, ": ",
                                            std::regex_constants::format_first_only)};
}

}  // namespace

Result<wire::Pool> ChangePoolRow(const wire::Tables& tables, const std::string& name,
                                 std::span<const std::string> changes) {
  return ReadChangedRow("pool " + name, RowNode(tables.pools(), name), changes, ChangePoolField,
                        ReadPoolRow);
}

Result<wire::Route> ChangeRouteRow(const wire::Tables& tables, const std::string& name,
                                   std::span<const std::string> changes) {
  return ReadChangedRow("route " + name, RowNode(tables.routes(), name), changes, ChangeRouteField,
                        ReadRouteRow);
}

}  // namespace savory
