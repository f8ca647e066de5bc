#include "tables/table_file.h"

#include <yaml-cpp/yaml.h>

#include <regex>

#include "base/digest.h"
#include "tables/table_check.h"

namespace savory {
namespace {

constexpr Range kRateRange = {.low = 0.001, .high = 1e6};
constexpr Range kConcurrencyRange = {.low = 1, .high = 1e6};
constexpr Range kShareRange = {.low = 0, .high = 1};
constexpr Range kPriorityRange = {.low = -100, .high = 100};
constexpr Range kDeadlineRange = {.low = 1, .high = 3'600'000};  // ms
constexpr Range kMaxLoadingRange = {.low = 1, .high = 10'000};
constexpr Range kRevisionRange = {.low = 1, .high = 9e15};  // below 2^53, so exact in a double
constexpr std::int64_t kDefaultDeadlineMs = 30'000;

const std::vector<std::string>& Methods() {
  static const std::vector<std::string> kNames = {"",      "GET",    "POST", "PUT",
                                                  "PATCH", "DELETE", "HEAD"};
  return kNames;
}

const std::vector<std::string>& FavourNames() {
  static const std::vector<std::string> kNames = {"time", "origin_bytes"};
  return kNames;
}

wire::AccountLimit ReadLimit(SettingsReader& reader) {
  wire::AccountLimit limit;
  limit.set_account(reader.Text("account"));
  // A missing field means no limit of that kind.
  if (reader.Has("rate_per_s")) limit.set_rate_per_second(reader.Number("rate_per_s", kRateRange));
  if (reader.Has("concurrency")) {
    limit.set_concurrency(
        static_cast<std::uint32_t>(reader.Integer("concurrency", kConcurrencyRange)));
  }
  if (reader.Has("share")) limit.set_share(reader.Number("share", kShareRange));
  return limit;
}

// Returns the name of the row whose index occurs in `detail`, as in " (route chat)", or "".
std::string RowNameSuffix(const std::string& detail, const wire::Tables& tables) {
  static const std::regex kPattern(R"((routes|pools)\[(\d+)\])");
  std::smatch match;
  if (!std::regex_search(detail, match, kPattern)) return "";
  const int index = std::stoi(match[2].str());
  const bool route = match[1].str() == "routes";
  const int rows = route ? tables.routes_size() : tables.pools_size();
  if (index >= rows) return "";
  const std::string& name = route ? tables.routes(index).name() : tables.pools(index).name();
  return name.empty() ? "" : (route ? " (route " : " (pool ") + name + ")";
}

Result<TableFile> Parse(SettingsReader reader) {
  TableFile file;
  if (reader.Has("revision")) {
    file.base_revision = static_cast<std::uint64_t>(reader.Integer("revision", kRevisionRange));
  }
  std::vector<SettingsReader> routes = reader.Rows("routes");
  std::vector<SettingsReader> pools = reader.Rows("pools");
  for (SettingsReader& row : routes) *file.tables.add_routes() = ReadRouteRow(row);
  for (SettingsReader& row : pools) *file.tables.add_pools() = ReadPoolRow(row);
  if (const auto fault = FindTableFault(file.tables)) {
    auto& rows = fault->kind == TableRowKind::kRoute ? routes : pools;
    rows[fault->index].Fail(fault->field, fault->reason);
  }
  const auto finished = reader.Finish();
  if (finished) return file;
  const std::string& detail = finished.error().detail;
  return Error{.kind = ErrorKind::kInvalidTable,
               .detail = detail + RowNameSuffix(detail, file.tables)};
}

Error AsTableError(const Error& error) {
  return Error{.kind = ErrorKind::kInvalidTable, .detail = error.detail};
}

void EmitLimit(YAML::Emitter& out, const wire::AccountLimit& limit) {
  out << YAML::Flow << YAML::BeginMap;
  out << YAML::Key << "account" << YAML::Value << YAML::DoubleQuoted << limit.account();
  if (limit.rate_per_second() > 0) {
    out << YAML::Key << "rate_per_s" << YAML::Value << limit.rate_per_second();
  }
  if (limit.concurrency() > 0) {
    out << YAML::Key << "concurrency" << YAML::Value << limit.concurrency();
  }
  if (limit.share() > 0) out << YAML::Key << "share" << YAML::Value << limit.share();
  out << YAML::EndMap;
}

// Quotes the value, so that other YAML parsers read a name such as "1.10" or "true" as a string.
void EmitText(YAML::Emitter& out, const char* key, const std::string& value) {
  out << YAML::Key << key << YAML::Value << YAML::DoubleQuoted << value;
}

void EmitRoute(YAML::Emitter& out, const wire::Route& route) {
  out << YAML::BeginMap;
  EmitText(out, "name", route.name());
  out << YAML::Key << "match" << YAML::Value << YAML::Flow << YAML::BeginMap;
  EmitText(out, "path_prefix", route.path_prefix());
  if (!route.method().empty()) EmitText(out, "method", route.method());
  out << YAML::EndMap;
  EmitText(out, "pool", route.pool());
  EmitText(out, "class", route.request_class());
  out << YAML::Key << "priority" << YAML::Value << route.priority();
  out << YAML::Key << "idempotent" << YAML::Value << route.idempotent();
  out << YAML::Key << "deadline_ms" << YAML::Value << route.deadline_ms();
  if (!route.limits().empty()) {
    out << YAML::Key << "limits" << YAML::Value << YAML::BeginSeq;
    for (const wire::AccountLimit& limit : route.limits()) EmitLimit(out, limit);
    out << YAML::EndSeq;
  }
  out << YAML::EndMap;
}

void EmitMembers(YAML::Emitter& out, const wire::Pool& pool) {
  out << YAML::Key << "members" << YAML::Value << YAML::Flow << YAML::BeginMap;
  if (!pool.service().empty()) EmitText(out, "service", pool.service());
  if (!pool.vms().empty()) {
    out << YAML::Key << "vms" << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const std::string& vm : pool.vms()) out << YAML::DoubleQuoted << vm;
    out << YAML::EndSeq;
  }
  out << YAML::EndMap;
}

void EmitPool(YAML::Emitter& out, const wire::Pool& pool) {
  out << YAML::BeginMap;
  EmitText(out, "name", pool.name());
  EmitMembers(out, pool);
  if (!pool.manifest().empty()) {
    EmitText(out, "model", pool.model());
    EmitText(out, "version", pool.version());
    EmitText(out, "manifest", DigestFromRaw(pool.manifest()).Hex());
  }
  out << YAML::Key << "favours" << YAML::Value
      << FavourNames()[pool.favours() == wire::FAVOUR_ORIGIN_BYTES ? 1 : 0];
  out << YAML::Key << "max_loading" << YAML::Value << pool.max_loading();
  out << YAML::Key << "engine_checks_fence" << YAML::Value << pool.engine_checks_fence();
  out << YAML::EndMap;
}

}  // namespace

wire::Route ReadRouteRow(SettingsReader& reader) {
  wire::Route route;
  route.set_name(reader.Text("name"));
  SettingsReader match = reader.Section("match");
  route.set_path_prefix(match.Text("path_prefix"));
  route.set_method(Methods()[match.Choice("method", Methods(), 0)]);
  route.set_pool(reader.Text("pool"));
  route.set_request_class(reader.Text("class", "default"));
  route.set_priority(static_cast<std::int32_t>(reader.Integer("priority", kPriorityRange, 0)));
  route.set_idempotent(reader.Flag("idempotent", false));
  route.set_deadline_ms(static_cast<std::uint32_t>(
      reader.Integer("deadline_ms", kDeadlineRange, kDefaultDeadlineMs)));
  for (SettingsReader& row : reader.Rows("limits")) *route.add_limits() = ReadLimit(row);
  return route;
}

wire::Pool ReadPoolRow(SettingsReader& reader) {
  wire::Pool pool;
  pool.set_name(reader.Text("name"));
  SettingsReader members = reader.Section("members");
  pool.set_service(members.Text("service", ""));
  for (const std::string& vm : members.TextList("vms")) pool.add_vms(vm);
  pool.set_model(reader.Text("model", ""));
  pool.set_version(reader.Text("version", ""));
  const std::string manifest = reader.Text("manifest", "");
  const auto digest = ParseDigest(manifest);
  if (digest) pool.set_manifest(std::string(digest.value().View()));
  if (!manifest.empty() && !digest) reader.Fail("manifest", "must be 64 hexadecimal digits");
  pool.set_favours(reader.Choice("favours", FavourNames(), 0) == 1 ? wire::FAVOUR_ORIGIN_BYTES
                                                                   : wire::FAVOUR_TIME);
  pool.set_max_loading(
      static_cast<std::uint32_t>(reader.Integer("max_loading", kMaxLoadingRange, 1)));
  pool.set_engine_checks_fence(reader.Flag("engine_checks_fence", false));
  return pool;
}

Result<TableFile> ReadTableFile(const std::string& path) {
  auto reader = SettingsReader::FromFile(path);
  if (!reader) return AsTableError(reader.error());
  return Parse(std::move(reader.value()));
}

Result<TableFile> ParseTableFile(std::string_view text, std::string_view file_name) {
  auto reader = SettingsReader::FromText(text, file_name);
  if (!reader) return AsTableError(reader.error());
  return Parse(std::move(reader.value()));
}

std::string FormatTableFile(const wire::Tables& tables, std::optional<std::uint64_t> revision) {
  YAML::Emitter out;
  out.SetDoublePrecision(12);
  out << YAML::BeginMap;
  if (revision) out << YAML::Key << "revision" << YAML::Value << *revision;
  out << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
  for (const wire::Route& route : tables.routes()) EmitRoute(out, route);
  out << YAML::EndSeq << YAML::Key << "pools" << YAML::Value << YAML::BeginSeq;
  for (const wire::Pool& pool : tables.pools()) EmitPool(out, pool);
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

std::string FormatRow(const wire::Route& route) {
  YAML::Emitter out;
  out.SetDoublePrecision(12);
  EmitRoute(out, route);
  return std::string(out.c_str()) + "\n";
}

std::string FormatRow(const wire::Pool& pool) {
  YAML::Emitter out;
  EmitPool(out, pool);
  return std::string(out.c_str()) + "\n";
}

}  // namespace savory
