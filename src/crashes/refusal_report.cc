#include "crashes/refusal_report.h"

#include <nlohmann/json.hpp>

namespace savory {
namespace {

// Digits of a digest that are shown.
constexpr std::size_t kShownDigits = 16;

nlohmann::ordered_json EvidenceJson(const CrashRecord& record) {
  return {{"upstream", record.upstream},
          {"incarnation", record.upstream_incarnation},
          {"request", record.fingerprint.Hex().substr(0, kShownDigits)},
          {"ms_ago", ToMillis(record.age)}};
}

}  // namespace

std::string CauseName(const CrashCause& cause) {
  return cause.all_of.front().Hex().substr(0, kShownDigits);
}

std::optional<CrashRefusal> FindRefusal(const CrashRegistry& registry, std::string_view name,
                                        Instant now) {
  for (CrashRefusal& refusal : registry.Refusals(now)) {
    if (CauseName(refusal.cause) == name) return std::move(refusal);
  }
  return std::nullopt;
}

std::string RenderRefusals(const CrashRegistry& registry,
                           const std::function<std::string(const CrashCause&)>& part_ids,
                           Instant now) {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const CrashRefusal& refusal : registry.Refusals(now)) {
    nlohmann::ordered_json row = {{"cause", CauseName(refusal.cause)},
                                  {"parts", part_ids(refusal.cause)},
                                  {"crashes", refusal.cause.crashes.size()},
                                  {"for_ms", ToMillis(refusal.end - now)},
                                  {"evidence", nlohmann::ordered_json::array()}};
    for (const CrashRecord& record : registry.Evidence(refusal.cause, now)) {
      row["evidence"].push_back(EvidenceJson(record));
    }
    rows.push_back(std::move(row));
  }
  return rows.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

}  // namespace savory
