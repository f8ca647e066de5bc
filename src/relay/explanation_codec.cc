#include "relay/explanation_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "placement/leaving_policy.h"
#include "relay/request_explanation.h"

namespace savory {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::uint64_t kMaxTokens = 100'000'000;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{1} << 40;
// With less, a request is not sent.
constexpr std::uint64_t kMinTimeLeftMs = 10;
constexpr std::uint64_t kMaxTimeLeftMs = 24ull * 3600 * 1000;

Error Invalid(std::string reason) {
  return Error{.kind = ErrorKind::kInvalidRequest, .detail = std::move(reason)};
}

// Reads the fields of a question and remembers the first mistake.
class FieldReader {
 public:
  explicit FieldReader(const json& object) : object(object) {}

  std::string Text(const char* name) {
    const json* value = this->Find(name);
    if (value == nullptr) return {};
    if (!value->is_string()) return this->Fail(name, "is no text"), std::string();
    return value->get<std::string>();
  }

  std::optional<std::uint64_t> Number(const char* name, std::uint64_t least, std::uint64_t most) {
    const json* value = this->Find(name);
    if (value == nullptr) return std::nullopt;
    const bool is_whole = value->is_number_unsigned();
    const std::uint64_t number = is_whole ? value->get<std::uint64_t>() : 0;
    if (is_whole && number >= least && number <= most) return number;
    this->Fail(name,
               "is no whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return std::nullopt;
  }

  bool Flag(const char* name) {
    const json* value = this->Find(name);
    if (value == nullptr) return false;
    if (!value->is_boolean()) this->Fail(name, "is neither true nor false");
    return value->is_boolean() && value->get<bool>();
  }

  void Fail(std::string_view name, std::string_view what) {
    if (this->mistake.empty()) this->mistake = std::string(name) + ' ' + std::string(what);
  }
  // A field that no question has is a mistake, too.
  const std::string& Mistake() {
    if (this->known < this->object.size()) this->Fail("the question", "has an unknown field");
    return this->mistake;
  }

 private:
  const json* Find(const char* name) {
    const auto found = this->object.find(name);
    if (found == this->object.end()) return nullptr;
    ++this->known;
    return &*found;
  }

  const json& object;
  std::size_t known = 0;  // fields that were read
  std::string mistake = {};
};

double MillisOf(Duration time) { return std::round(ToSeconds(time) * 1e5) / 100; }

std::string_view KindName(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non-idempotent";
    case RequestKind::kStream:
      return "stream";
  }
  return "stream";
}

ordered_json RefusalJson(const RefuseRequest& refusal) {
  ordered_json json = {{"status", 503},
                       {"reason", RefusalReason(refusal.kind)},
                       {"retry_after_ms", MillisOf(refusal.retry_after)},
                       {"candidates", refusal.usable},
                       {"share", refusal.share},
                       {"confirmed", refusal.confirmed},
                       {"own", refusal.own},
                       {"borrowable", refusal.borrowable},
                       {"room_limited", refusal.limited}};
  if (!refusal.best.empty()) {
    json["best"] = {{"upstream", refusal.best},
                    {"first_event_ms", MillisOf(refusal.predicted)},
                    {"load", refusal.load}};
  }
  return json;
}

ordered_json DecisionJson(const DispatchExplanation& explanation) {
  const auto& decision = explanation.verdict.decision;
  if (const auto* refusal = std::get_if<RefuseRequest>(&decision)) {
    return {{"does", "refuse"}, {"refusal", RefusalJson(*refusal)}};
  }
  if (const auto* sent = std::get_if<SendTo>(&decision)) {
    return {{"does", "send"},
            {"upstream", sent->upstream},
            {"address", sent->address},
            {"weights", sent->weights_version},
            {"first_event_ms", MillisOf(sent->predicted)},
            {"load", sent->load},
            {"leaves", LeavingReasonName(sent->left)},
            {"by_draw", explanation.by_draw}};
  }
  ordered_json json = {{"does", "wait"},
                       {"behind_others", explanation.yields},
                       {"for_ms", MillisOf(explanation.waits_for)}};
  if (explanation.after_wait) json["then"] = RefusalJson(*explanation.after_wait);
  return json;
}

ordered_json ViewJson(const UpstreamView& view) {
  ordered_json json = {{"upstream", view.id}, {"data_centre", view.data_centre}};
  if (view.is_chosen) json["chosen"] = true;
  if (view.bar != CandidateBar::kNone) json["barred"] = CandidateBarName(view.bar);
  json["room"] = view.has_room;
  json["load"] = view.load;
  json["slots"] = view.slots;
  json["share"] = view.share;
  json["confirmed"] = view.confirmed;
  json["own"] = view.own;
  json["borrowable"] = view.borrowable;
  json["first_event_ms"] = MillisOf(view.first_event);
  json["longest_pause_ms"] = MillisOf(view.longest_pause);
  json["score_ms"] = MillisOf(view.score);
  json["weights"] = view.weights_version;
  json["cold"] = view.is_cold;
  json["half_open"] = view.is_half_open;
  json["failure_rate"] = view.failure_rate;
  if (view.usable_in > Duration(0)) json["usable_in_ms"] = MillisOf(view.usable_in);
  if (view.report_age >= Duration(0)) json["report_age_ms"] = MillisOf(view.report_age);
  return json;
}

ordered_json PoolJson(const PoolExplanation& part) {
  const DispatchExplanation& dispatch = part.dispatch;
  ordered_json barred = ordered_json::object();
  for (const auto& [bar, count] : dispatch.barred) barred[CandidateBarName(bar)] = count;
  ordered_json views = ordered_json::array();
  for (const UpstreamView& view : dispatch.views) views.push_back(ViewJson(view));
  return {{"pool", part.pool},
          {"part", part.part},
          {"decision", DecisionJson(dispatch)},
          {"room_limited", dispatch.room_limited},
          {"upstreams_of_pool", dispatch.upstreams},
          {"candidates", dispatch.candidates},
          {"with_room", dispatch.with_room},
          {"cold", dispatch.cold},
          {"barred", std::move(barred)},
          {"upstreams", std::move(views)},
          {"upstreams_left_out", dispatch.views_left_out}};
}

}  // namespace

Result<RequestQuestion> ParseQuestion(std::string_view text) {
  if (text.size() > kMaxQuestionBytes) return Invalid("the question is too large");
  const json object = json::parse(text, nullptr, false);
  if (!object.is_object()) return Invalid("the question is no JSON object");
  FieldReader fields(object);
  RequestQuestion question{.host = fields.Text("host"),
                           .path = fields.Text("path"),
                           .api_key = fields.Text("key"),
                           .returned = fields.Flag("returned")};
  const auto number = [&fields](const char* name, std::uint64_t most, std::uint64_t fallback) {
    return fields.Number(name, 0, most).value_or(fallback);
  };
  question.prompt_tokens = static_cast<std::uint32_t>(number("prompt_tokens", kMaxTokens, 0));
  question.answer_tokens = static_cast<std::uint32_t>(number("answer_tokens", kMaxTokens, 0));
  question.body_bytes = number("body_bytes", kMaxBodyBytes, 0);
  question.max_upstreams = number("max_upstreams", kMaxDescribedUpstreams, question.max_upstreams);
  if (const auto left = fields.Number("time_left_ms", kMinTimeLeftMs, kMaxTimeLeftMs)) {
    question.time_left = std::chrono::milliseconds(*left);
  }
  if (question.host.empty()) fields.Fail("host", "is missing");
  if (!question.path.starts_with('/')) fields.Fail("path", "does not begin with a slash");
  if (!fields.Mistake().empty()) return Invalid(fields.Mistake());
  return question;
}

std::string RenderQuestion(const RequestQuestion& question) {
  ordered_json json = {{"host", question.host},
                       {"path", question.path},
                       {"key", question.api_key},
                       {"prompt_tokens", question.prompt_tokens},
                       {"answer_tokens", question.answer_tokens},
                       {"body_bytes", question.body_bytes},
                       {"returned", question.returned},
                       {"max_upstreams", question.max_upstreams}};
  if (question.time_left) json["time_left_ms"] = ToMillis(*question.time_left);
  return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string RenderExplanation(const RequestExplanation& explanation, std::string_view entry) {
  ordered_json json = {{"entry", entry}, {"rules", explanation.rules_version}};
  if (!explanation.route.empty()) {
    json["route"] = explanation.route;
    json["kind"] = KindName(explanation.kind);
    json["priority"] = explanation.priority;
    json["homes"] = explanation.homes;
    json["target_ms"] = MillisOf(explanation.target);
    json["returned"] = explanation.returned;
  }
  if (!explanation.account.empty()) json["account"] = explanation.account;
  json["evacuated"] = explanation.evacuated;
  json["evacuated_left_out"] = explanation.evacuated_left_out;
  if (explanation.refusal) {
    json["refusal"] = {{"status", explanation.refusal->status},
                       {"reason", explanation.refusal->reason}};
    if (explanation.refusal->retry_after) {
      json["refusal"]["retry_after_ms"] = MillisOf(*explanation.refusal->retry_after);
    }
  }
  ordered_json pools = ordered_json::array();
  for (const PoolExplanation& part : explanation.pools) pools.push_back(PoolJson(part));
  json["pools"] = std::move(pools);
  json["pools_left_out"] = explanation.pools_left_out;
  return json.dump(2, ' ', false, ordered_json::error_handler_t::replace) + '\n';
}

}  // namespace savory
