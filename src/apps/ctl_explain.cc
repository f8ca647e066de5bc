#include "apps/ctl_explain.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "relay/explanation_codec.h"
#include "relay/request_explanation.h"
#include "runtime/http_client.h"

namespace savory {
namespace {

using nlohmann::json;
using Row = std::vector<std::string>;

constexpr int kOk = 200;
constexpr int kBadQuestion = 400;
constexpr int kUnknownKey = 401;
constexpr int kNoRoute = 404;
constexpr int kTooMany = 429;

std::string NumberText(double number, int digits = 0) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << number;
  return text.str();
}

std::string MillisText(const json& row, const char* name) {
  return NumberText(row.at(name).get<double>()) + " ms";
}

std::string RefusalText(const json& refusal) {
  std::string text = "refused with " + std::to_string(refusal.at("status").get<int>()) + ": " +
                     refusal.at("reason").get<std::string>();
  if (refusal.contains("retry_after_ms")) {
    text += "; come back after " + MillisText(refusal, "retry_after_ms");
  }
  if (refusal.value("room_limited", false)) text += "; room is kept for more urgent requests";
  if (refusal.contains("best")) {
    const json& best = refusal["best"];
    text += "; the best, " + best.at("upstream").get<std::string>() + ", would begin after " +
            MillisText(best, "first_event_ms");
  }
  return text;
}

std::string DecisionText(const json& decision) {
  const auto does = decision.at("does").get<std::string>();
  if (does == "refuse") return RefusalText(decision.at("refusal"));
  if (does == "wait") {
    std::string text = "waits here for up to " + MillisText(decision, "for_ms");
    if (decision.value("behind_others", false)) text += " behind more urgent requests";
    return text + "; if nothing changes, then " + RefusalText(decision.at("then"));
  }
  std::string text = "sent to " + decision.at("upstream").get<std::string>() + " (" +
                     decision.at("address").get<std::string>() + "), begins after " +
                     MillisText(decision, "first_event_ms");
  const auto leaves = decision.at("leaves").get<std::string>();
  if (leaves != "stays") text += "; leaves the data centre: " + leaves;
  if (decision.at("by_draw").get<bool>()) text += "; drawn, another request may go elsewhere";
  return text;
}

std::string StateText(const json& row) {
  if (row.value("chosen", false)) return "chosen";
  if (row.contains("barred")) return row["barred"].get<std::string>();
  return row.at("room").get<bool>() ? "room" : "no room";
}

std::string NotesText(const json& row) {
  std::string notes;
  const auto add = [&notes](const std::string& note) {
    notes += (notes.empty() ? "" : ", ") + note;
  };
  if (row.at("cold").get<bool>()) add("cold");
  if (row.at("half_open").get<bool>()) add("half open");
  if (row.contains("usable_in_ms")) add("usable in " + MillisText(row, "usable_in_ms"));
  if (!row.contains("report_age_ms")) add("no report");
  return notes;
}

Row UpstreamRow(const json& row) {
  const auto count = [&row](const char* name) { return NumberText(row.at(name).get<double>()); };
  return {row.at("upstream").get<std::string>(),
          row.at("data_centre").get<std::string>(),
          StateText(row),
          count("load") + "/" + count("slots"),
          count("confirmed") + "/" + count("share"),
          count("own"),
          count("borrowable"),
          count("first_event_ms"),
          count("longest_pause_ms"),
          count("weights"),
          NotesText(row)};
}

void AppendRows(std::ostringstream& out, const std::vector<Row>& rows) {
  std::vector<std::size_t> widths(rows.front().size(), 0);
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const Row& row : rows) {
    std::string line = " ";
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += ' ' + row[i] + std::string(widths[i] - row[i].size() + 1, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

void AppendPool(std::ostringstream& out, const json& pool) {
  out << "pool " << pool.at("pool").get<std::string>() << " ("
      << NumberText(100 * pool.at("part").get<double>())
      << "% of the route's requests): " << DecisionText(pool.at("decision")) << '\n';
  out << "  " << pool.at("upstreams_of_pool") << " upstreams, " << pool.at("candidates")
      << " candidates, " << pool.at("with_room") << " with room, " << pool.at("cold") << " cold";
  for (const auto& [bar, count] : pool.at("barred").items()) out << ", " << count << ' ' << bar;
  out << '\n';
  const json& upstreams = pool.at("upstreams");
  if (upstreams.empty()) return;
  std::vector<Row> rows = {{"UPSTREAM", "DATA CENTRE", "STATE", "LOAD", "SHARE", "OWN", "BORROW",
                            "FIRST MS", "PAUSE MS", "WEIGHTS", "NOTES"}};
  for (const json& row : upstreams) rows.push_back(UpstreamRow(row));
  AppendRows(out, rows);
  const auto left_out = pool.at("upstreams_left_out").get<std::size_t>();
  if (left_out > 0) out << "  and " << left_out << " more\n";
}

std::string TableOf(const json& answer) {
  std::ostringstream out;
  out << "entry " << answer.at("entry").get<std::string>() << ", rules " << answer.at("rules")
      << '\n';
  if (answer.contains("route")) {
    out << "route " << answer["route"].get<std::string>() << ": "
        << answer.at("kind").get<std::string>() << ", priority " << answer.at("priority")
        << ", target " << MillisText(answer, "target_ms") << ", homes "
        << answer.at("homes").get<std::string>()
        << (answer.at("returned").get<bool>() ? ", taken for a caller's retry" : "") << '\n';
  }
  out << "account " << answer.value("account", "none") << '\n';
  if (!answer.at("evacuated").empty()) {
    out << "evacuated:";
    for (const json& zone : answer["evacuated"]) out << ' ' << zone.get<std::string>();
    const auto left_out = answer.at("evacuated_left_out").get<std::size_t>();
    if (left_out > 0) out << " and " << left_out << " more";
    out << '\n';
  }
  if (answer.contains("refusal")) out << RefusalText(answer["refusal"]) << '\n';
  for (const json& pool : answer.at("pools")) AppendPool(out, pool);
  const auto left_out = answer.at("pools_left_out").get<std::size_t>();
  if (left_out > 0) out << "and " << left_out << " more pools\n";
  return out.str();
}

Result<HttpAnswer> Ask(const CtlOptions& options, const std::string& address) {
  RequestQuestion question{.host = options.arguments[0],
                           .path = options.arguments[1],
                           .api_key = options.key,
                           .prompt_tokens = options.prompt_tokens,
                           .answer_tokens = options.answer_tokens,
                           .returned = options.returned,
                           .max_upstreams = options.upstreams};
  if (question.api_key == "-") std::getline(std::cin, question.api_key);
  Result<HttpAnswer> answer = HttpClient(address).Call({.method = "POST",
                                                        .target = "/explain",
                                                        .body = RenderQuestion(question),
                                                        .content_type = "application/json",
                                                        .read_timeout = options.timeout});
  if (!answer) {
    return Error{.kind = answer.error().kind,
                 .detail = "the entry at " + address + " does not answer"};
  }
  return answer;
}

// An entry that does not know the question answers with its metrics.
Result<void> CheckAnswer(const HttpAnswer& answer, const std::string& address) {
  const std::string reason = answer.body.substr(0, answer.body.find('\n'));
  if (answer.status == kBadQuestion) {
    return Error{.kind = ErrorKind::kInvalidSettings, .detail = "explain: " + reason};
  }
  if (answer.status == kTooMany) {
    return Error{.kind = ErrorKind::kOverloaded, .detail = address + ": " + reason};
  }
  if (answer.status != kOk ||
      !HeaderValue(answer.headers, "Content-Type").starts_with("application/json")) {
    return Error{.kind = ErrorKind::kMalformed,
                 .detail = address + " is no entry that explains (status " +
                           std::to_string(answer.status) + ")"};
  }
  return success();
}

// A route or key that the entry does not know is the operator's mistake.
Result<void> CheckRefusal(const CtlOptions& options, const json& answer) {
  if (!answer.contains("refusal")) return success();
  const int status = answer["refusal"].value("status", 0);
  if (status == kNoRoute) {
    return Error{.kind = ErrorKind::kNotFound,
                 .detail = "no route for " + options.arguments[0] + options.arguments[1]};
  }
  if (status != kUnknownKey) return success();
  return Error{.kind = ErrorKind::kNotFound, .detail = "the key is unknown, or missing"};
}

Result<json> ParseAnswer(std::string_view text) {
  json answer = json::parse(text, nullptr, false);
  if (answer.is_object()) return answer;
  return Error{.kind = ErrorKind::kMalformed, .detail = "the answer is no JSON object"};
}

}  // namespace

Result<std::string> RenderExplanationTable(std::string_view answer) {
  BOOST_OUTCOME_TRY(parsed, ParseAnswer(answer));
  try {
    return TableOf(parsed);
  } catch (const json::exception& error) {
    return Error{.kind = ErrorKind::kMalformed, .detail = error.what()};
  }
}

Result<void> RunExplain(const CtlOptions& options) {
  BOOST_OUTCOME_TRY(RequireArguments(options, 2, 2));
  if (options.operators.size() != 1) {
    return Error{.kind = ErrorKind::kInvalidSettings,
                 .detail = "explain: --operators must name one entry, as each decides alone"};
  }
  const std::string& address = options.operators.front();
  BOOST_OUTCOME_TRY(answer, Ask(options, address));
  BOOST_OUTCOME_TRY(CheckAnswer(answer, address));
  BOOST_OUTCOME_TRY(parsed, ParseAnswer(answer.body));
  if (options.json) {
    std::cout << answer.body;
  } else {
    BOOST_OUTCOME_TRY(table, RenderExplanationTable(answer.body));
    std::cout << table;
  }
  return CheckRefusal(options, parsed);
}

}  // namespace savory
