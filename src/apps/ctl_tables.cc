#include "apps/ctl_tables.h"

#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "apps/ctl_json.h"
#include "runtime/kv_connection.h"
#include "tables/table_edit_runner.h"
#include "tables/table_file.h"
#include "tables/table_keys.h"

namespace savory {
namespace {

using nlohmann::ordered_json;

// Returns the time in UTC with a resolution of one second.
std::string FormatTime(std::uint64_t unix_ms) {
  const auto seconds = static_cast<std::time_t>(unix_ms / 1000);
  std::tm parts = {};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

std::string SummarizeDifferences(const std::vector<RowDifference>& differences) {
  std::string text;
  for (const RowDifference& difference : differences) {
    if (!text.empty()) text += ", ";
    text += std::string(RowChangeName(difference.change)) + " " +
            std::string(TableRowKindName(difference.kind)) + " " + difference.row;
  }
  return text.empty() ? "no row changed" : text;
}

ordered_json DifferencesJson(const std::vector<RowDifference>& differences) {
  ordered_json rows = ordered_json::array();
  for (const RowDifference& difference : differences) {
    rows.push_back({{"kind", TableRowKindName(difference.kind)},
                    {"row", difference.row},
                    {"change", RowChangeName(difference.change)}});
  }
  return rows;
}

template <typename Rows>
void PrintRow(const Rows& rows, const std::string& name, char mark) {
  for (const auto& row : rows) {
    if (row.name() != name) continue;
    std::istringstream lines(FormatRow(row));
    for (std::string line; std::getline(lines, line);) {
      std::cout << "  " << mark << ' ' << line << '\n';
    }
  }
}

void PrintDifference(const RowDifference& difference, const wire::Tables& before,
                     const wire::Tables& after) {
  std::cout << RowChangeName(difference.change) << ' ' << TableRowKindName(difference.kind) << ' '
            << difference.row << '\n';
  if (difference.kind == TableRowKind::kRoute) {
    PrintRow(before.routes(), difference.row, '-');
    PrintRow(after.routes(), difference.row, '+');
  } else {
    PrintRow(before.pools(), difference.row, '-');
    PrintRow(after.pools(), difference.row, '+');
  }
}

// Reads the latest revisions, the latest first: one more than options.limit, or as many as are
// stored.
Result<std::vector<wire::Tables>> ReadRevisions(const CtlOptions& options) {
  KvConnection kv(options.kv, kCtlCallTimeout);
  BOOST_OUTCOME_TRY(current, ReadCurrentTables(kv));
  std::vector<wire::Tables> revisions = {current};
  // The revision beyond the limit is not printed; it shows what the oldest printed one changed.
  while (revisions.size() <= options.limit && revisions.back().revision() > 1) {
    BOOST_OUTCOME_TRY(value, kv.Read(TablesHistoryKey(revisions.back().revision() - 1)));
    wire::Tables older;
    if (!value || !older.ParseFromString(value->bytes)) break;
    revisions.push_back(std::move(older));
  }
  return revisions;
}

}  // namespace

Result<void> RunCheck(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  BOOST_OUTCOME_TRY(file, ReadTableFile(options.arguments[0]));
  if (options.json) {
    std::cout << TablesJson(file.tables).dump() << '\n';
  } else {
    std::cout << "ok: " << file.tables.routes_size() << " routes, " << file.tables.pools_size()
              << " pools\n";
  }
  return success();
}

Result<void> RunGet(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(RequireKvAddress(options));
  KvConnection kv(options.kv, kCtlCallTimeout);
  BOOST_OUTCOME_TRY(tables, ReadCurrentTables(kv));
  if (options.json) {
    std::cout << TablesJson(tables).dump() << '\n';
    return success();
  }
  const auto revision = tables.revision() == 0 ? std::nullopt : std::optional(tables.revision());
  std::cout << FormatTableFile(tables, revision);
  return success();
}

Result<void> RunDiff(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 1, 1));
  BOOST_OUTCOME_TRY(RequireKvAddress(options));
  BOOST_OUTCOME_TRY(file, ReadTableFile(options.arguments[0]));
  KvConnection kv(options.kv, kCtlCallTimeout);
  BOOST_OUTCOME_TRY(current, ReadCurrentTables(kv));
  const auto differences = DiffTables(current, file.tables);
  if (options.json) {
    std::cout << DifferencesJson(differences).dump() << '\n';
    return success();
  }
  for (const RowDifference& difference : differences) {
    PrintDifference(difference, current, file.tables);
  }
  if (differences.empty()) std::cout << "no difference\n";
  return success();
}

Result<void> RunHistory(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 0, 0));
  BOOST_OUTCOME_TRY(RequireKvAddress(options));
  BOOST_OUTCOME_TRY(revisions, ReadRevisions(options));
  ordered_json rows = ordered_json::array();
  for (std::size_t i = 0; i < revisions.size() && i < options.limit; ++i) {
    const wire::Tables& tables = revisions[i];
    if (tables.revision() == 0) break;
    const bool first = tables.revision() == 1;
    const bool predecessor_known = first || i + 1 < revisions.size();
    const auto differences =
        DiffTables(i + 1 < revisions.size() ? revisions[i + 1] : wire::Tables(), tables);
    const std::string time = FormatTime(tables.accepted_unix_ms());
    rows.push_back(
        {{"revision", tables.revision()},
         {"time", time},
         {"author", tables.author()},
         {"edit", tables.edit_id()},
         {"changes", predecessor_known ? DifferencesJson(differences) : ordered_json()}});
    if (options.json) continue;
    std::cout << tables.revision() << "  " << time << "  " << tables.author() << "  "
              << (predecessor_known ? SummarizeDifferences(differences)
                                    : "(the previous revision is not stored)")
              << '\n';
  }
  if (options.json) std::cout << rows.dump() << '\n';
  return success();
}

}  // namespace savory
