#include "routing/request_metrics.h"

#include <utility>

#include "base/histogram.h"
#include "base/metrics.h"

namespace savory {
namespace {

constexpr std::string_view kOtherAccount = "other";

}  // namespace

RequestMetrics::RequestMetrics(Metrics& metrics) : metrics(metrics) {}

void RequestMetrics::SetAccounts(std::set<std::string> accounts) {
  this->accounts = std::move(accounts);
}

RequestMetrics::Series& RequestMetrics::SeriesFor(const std::string& account,
                                                  const std::string& request_class) {
  const std::string known(this->accounts.contains(account) ? account : kOtherAccount);
  const auto key = std::pair(known, request_class);
  const auto found = this->series_by_key.find(key);
  if (found != this->series_by_key.end()) return found->second;
  const std::string labels =
      "account=\"" + LabelValue(known) + "\",class=\"" + LabelValue(request_class) + "\"";
  Metrics& all = this->metrics;
  const Series created = {
      .queued = &all.HistogramFor("savory_request_queue_seconds", labels),
      .first_part = &all.HistogramFor("savory_request_first_byte_seconds", labels),
      .part_gap = &all.HistogramFor("savory_request_part_gap_seconds", labels),
      .total = &all.HistogramFor("savory_request_total_seconds", labels),
      .attempts = &all.CounterFor("savory_request_attempts_total", labels),
      .requests = &all.CounterFor("savory_requests_total", labels),
      .sent = &all.CounterFor("savory_requests_sent_total", labels)};
  return this->series_by_key.emplace(key, created).first->second;
}

void RequestMetrics::Add(const MeasureRequest& measured) {
  Series& series = this->SeriesFor(measured.account, measured.request_class);
  series.requests->Add();
  if (measured.attempts > 0) series.sent->Add();
  series.attempts->Add(static_cast<std::uint64_t>(measured.attempts));
  series.queued->Observe(ToSeconds(measured.queued));
  series.total->Observe(ToSeconds(measured.total));
  if (measured.first_part.has_value()) series.first_part->Observe(ToSeconds(*measured.first_part));
  RunOutcome outcome = RunOutcome::kAnswered;
  std::string_view kind = "none";
  if (measured.error.has_value()) {
    const ErrorAnswer& answer = AnswerFor(*measured.error);
    outcome = answer.outcome;
    kind = answer.name;
  }
  const std::string labels =
      "outcome=\"" + std::string(OutcomeName(outcome)) + "\",kind=\"" + std::string(kind) + "\"";
  this->metrics.CounterFor("savory_request_outcomes_total", labels).Add();
}

void RequestMetrics::AddPartGap(const std::string& account, const std::string& request_class,
                                Duration gap) {
  this->SeriesFor(account, request_class).part_gap->Observe(ToSeconds(gap));
}

}  // namespace savory
