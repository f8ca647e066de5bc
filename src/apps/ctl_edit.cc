#include "apps/ctl_edit.h"

#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>

#include "apps/ctl_fleet.h"
#include "apps/ctl_row.h"
#include "apps/ctl_tables.h"
#include "runtime/kv_connection.h"
#include "tables/table_edit_runner.h"
#include "tables/table_file.h"

namespace savory {
namespace {

template <typename Rows, typename Row>
void UpsertRow(Rows& rows, const Row& wanted) {
  for (auto& row : rows) {
    if (row.name() != wanted.name()) continue;
    row = wanted;
    return;
  }
  *rows.Add() = wanted;
}

template <typename Rows>
bool EraseRow(Rows& rows, const std::string& name) {
  for (int i = 0; i < rows.size(); ++i) {
    if (rows.Get(i).name() != name) continue;
    rows.DeleteSubrange(i, 1);
    return true;
  }
  return false;
}

void PrintOutcome(const CtlOptions& options, const EditOutcome& outcome) {
  if (options.json) {
    const nlohmann::ordered_json json = {{"result", outcome.changed ? "accepted" : "unchanged"},
                                         {"revision", outcome.revision},
                                         {"merged", outcome.merged}};
    std::cout << json.dump() << std::endl;
    return;
  }
  std::cout << (outcome.changed ? "accepted" : "unchanged") << " revision " << outcome.revision
            << (outcome.merged ? " (merged with other edits)" : "") << std::endl;
}

Result<void> RunEdit(const CtlOptions& options, TableEditOptions edit) {
  BOOST_OUTCOME_TRY(RequireKvAddress(options));
  edit.edit_id = MakeEditId();
  edit.author = options.author;
  edit.give_up_after = options.timeout;
  KvConnection kv(options.kv, kCtlCallTimeout);
  BOOST_OUTCOME_TRY(outcome, RunTableEdit(kv, std::move(edit)));
  PrintOutcome(options, outcome);
  if (!options.wait) return success();
  return WaitUntilApplied(options, outcome.revision);
}

// Returns the tables that result from applying `file` to `base`. With `replace_all` (the file names
// its base revision, or --replace is given), rows that are missing in the file are removed;
// otherwise they are kept.
wire::Tables MergeTableFile(const wire::Tables& file, const wire::Tables& base, bool replace_all) {
  if (replace_all) return file;
  wire::Tables wanted = base;
  for (const wire::Route& route : file.routes()) UpsertRow(*wanted.mutable_routes(), route);
  for (const wire::Pool& pool : file.pools()) UpsertRow(*wanted.mutable_pools(), pool);
  return wanted;
}

Error MissingRow(const std::string& row) {
  return Error{.kind = ErrorKind::kRowNotFound, .detail = row + " does not exist"};
}

}  // namespace

Result<void> RunApply(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  BOOST_OUTCOME_TRY(file, ReadTableFile(options.arguments[0]));
  TableEditOptions edit;
  edit.base_revision = file.base_revision.value_or(0);
  const bool replace_all = options.replace || file.base_revision.has_value();
  edit.change = [tables = file.tables,
                 replace_all](const wire::Tables& base) -> Result<wire::Tables> {
    return MergeTableFile(tables, base, replace_all);
  };
  return RunEdit(options, std::move(edit));
}

Result<void> RunSetPool(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 2, SIZE_MAX));
  TableEditOptions edit;
  edit.change = [&options](const wire::Tables& base) -> Result<wire::Tables> {
    const std::span changes(options.arguments);
    BOOST_OUTCOME_TRY(row, ChangePoolRow(base, options.arguments[0], changes.subspan(1)));
    wire::Tables wanted = base;
    UpsertRow(*wanted.mutable_pools(), row);
    return wanted;
  };
  return RunEdit(options, std::move(edit));
}

Result<void> RunSetRoute(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 2, SIZE_MAX));
  TableEditOptions edit;
  edit.change = [&options](const wire::Tables& base) -> Result<wire::Tables> {
    const std::span changes(options.arguments);
    BOOST_OUTCOME_TRY(row, ChangeRouteRow(base, options.arguments[0], changes.subspan(1)));
    wire::Tables wanted = base;
    UpsertRow(*wanted.mutable_routes(), row);
    return wanted;
  };
  return RunEdit(options, std::move(edit));
}

Result<void> RunRemovePool(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  TableEditOptions edit;
  edit.change = [&options](const wire::Tables& base) -> Result<wire::Tables> {
    wire::Tables wanted = base;
    if (EraseRow(*wanted.mutable_pools(), options.arguments[0])) return wanted;
    return MissingRow("pool " + options.arguments[0]);
  };
  return RunEdit(options, std::move(edit));
}

Result<void> RunRemoveRoute(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  TableEditOptions edit;
  edit.change = [&options](const wire::Tables& base) -> Result<wire::Tables> {
    wire::Tables wanted = base;
    if (EraseRow(*wanted.mutable_routes(), options.arguments[0])) return wanted;
    return MissingRow("route " + options.arguments[0]);
  };
  return RunEdit(options, std::move(edit));
}

Result<void> RunRollback(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  const std::string& text = options.arguments[0];
  TableEditOptions edit;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), edit.rollback_to);
  if (code != std::errc() || end != text.data() + text.size() || edit.rollback_to == 0) {
    return Error{.kind = ErrorKind::kInvalidSettings,
                 .detail = "rollback: " + text + " is not a revision"};
  }
  return RunEdit(options, std::move(edit));
}

}  // namespace savory
