#include "direct/explain_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/log.h"
#include "base/metrics.h"
#include "relay/explanation_codec.h"
#include "relay/request_explanation.h"
#include "runtime/http_exchange.h"

namespace savory {
namespace {

constexpr Duration kRetryAfter = std::chrono::seconds(1);

}  // namespace

ExplainService::ExplainService(Metrics& metrics, ExplainServiceOptions given, Explain explain)
    : metrics(metrics),
      options(std::move(given)),
      explain(std::move(explain)),
      turns(this->options.burst) {}

bool ExplainService::TakeTurn(Instant now) {
  const double earned = this->options.questions_per_second * ToSeconds(now - this->turns_at);
  this->turns = std::min(this->options.burst, this->turns + earned);
  this->turns_at = now;
  if (this->turns < 1) return false;
  this->turns -= 1;
  return true;
}

ExplainAnswer ExplainService::Refuse(int status, std::string_view reason) {
  this->metrics.CounterFor("savory_explain_questions_total", R"(result="refused")").Add();
  Log(LogLevel::kWarn, "explain_refused", {{"status", status}, {"reason", reason}});
  return {.status = status, .body = std::string(reason) + '\n'};
}

ExplainAnswer ExplainService::Answer(std::string_view method, std::string_view body, Instant now) {
  if (method != "POST") return this->Refuse(405, "questions are sent with POST");
  if (!this->TakeTurn(now)) {
    ExplainAnswer answer = this->Refuse(429, "too many questions");
    answer.retry_after = kRetryAfter;
    return answer;
  }
  const Result<RequestQuestion> question = ParseQuestion(body);
  if (!question) return this->Refuse(400, question.error().detail);
  this->metrics.CounterFor("savory_explain_questions_total", R"(result="answered")").Add();
  return {.content_type = "application/json",
          .body = RenderExplanation(this->explain(question.value()), this->options.entry)};
}

void ExplainService::Serve(HttpExchange& exchange, Instant now) {
  const ExplainAnswer answer = this->Answer(exchange.Head().method, exchange.Body(), now);
  std::vector<HttpField> fields = {{.name = "Content-Type", .value = answer.content_type}};
  if (answer.retry_after) {
    fields.push_back(
        {.name = "Retry-After", .value = std::to_string(ToMillis(*answer.retry_after) / 1000)});
  }
  exchange.Answer(answer.status, fields, answer.body);
}

}  // namespace savory
