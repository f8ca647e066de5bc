#include "routing/request_series.h"

#include <utility>

#include "base/histogram.h"
#include "base/metrics.h"

namespace savory {
namespace {

constexpr std::string_view kOtherAccount = "other";

}  // namespace

RequestSeries::RequestSeries(Metrics& metrics) : metrics(metrics) {}

void RequestSeries::SetAccounts(std::set<std::string> accounts) {
  this->accounts = std::move(accounts);
}

RequestSeries::Set& RequestSeries::SetFor(const std::string& account,
                                          const std::string& request_class) {
  const std::string known(this->accounts.contains(account) ? account : kOtherAccount);
  const auto key = std::pair(known, request_class);
  const auto found = this->sets.find(key);
  if (found != this->sets.end()) return found->second;
  const std::string labels =
      "account=\"" + LabelValue(known) + "\",class=\"" + LabelValue(request_class) + "\"";
  Metrics& all = this->metrics;
  const Set made = {.queued = &all.HistogramFor("savory_request_queue_seconds", labels),
                    .first_part = &all.HistogramFor("savory_request_first_byte_seconds", labels),
                    .part_gap = &all.HistogramFor("savory_request_part_gap_seconds", labels),
                    .total = &all.HistogramFor("savory_request_total_seconds", labels),
                    .attempts = &all.CounterFor("savory_request_attempts_total", labels),
                    .requests = &all.CounterFor("savory_requests_total", labels),
                    .sent = &all.CounterFor("savory_requests_sent_total", labels)};
  return this->sets.emplace(key, made).first->second;
}

void RequestSeries::Add(const MeasureRequest& measured) {
  Set& set = this->SetFor(measured.account, measured.request_class);
  set.requests->Add();
  if (measured.attempts > 0) set.sent->Add();
  set.attempts->Add(static_cast<std::uint64_t>(measured.attempts));
  set.queued->Observe(ToSeconds(measured.queued));
  set.total->Observe(ToSeconds(measured.total));
  if (measured.first_part.has_value()) set.first_part->Observe(ToSeconds(*measured.first_part));
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

void RequestSeries::AddPartGap(const std::string& account, const std::string& request_class,
                               Duration gap) {
  this->SetFor(account, request_class).part_gap->Observe(ToSeconds(gap));
}

}  // namespace savory
