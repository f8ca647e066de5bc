#include "relay/entry_demand_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace savory {
namespace {

// A change of the rate by fewer requests than this within the averaging time is noise.
constexpr double kMinChangeRequests = 3;
// A longer time between two updates means that the process was paused.
constexpr Duration kMaxMeasuredTime = std::chrono::seconds(2);

}  // namespace

EntryDemandTracker::EntryDemandTracker(EntryDemandTrackerOptions given)
    : options(std::move(given)),
      own{.entry = this->options.entry, .data_centre = this->options.data_centre} {}

double EntryDemandTracker::UpdateOwnRate(std::uint64_t requests, Instant now) {
  const std::uint64_t arrived = requests - std::exchange(this->last_request_count, requests);
  const Duration elapsed = now - std::exchange(this->rate_updated_at, now);
  const double seconds = std::max(1e-3, ToSeconds(std::min(elapsed, kMaxMeasuredTime)));
  const double latest = static_cast<double>(arrived) / seconds;
  double& rate = this->own.requests_per_second;
  rate += (1 - std::exp(-seconds / ToSeconds(this->options.averaging_time))) * (latest - rate);
  return rate;
}

bool EntryDemandTracker::TakeReportDue(Duration period, Instant now) {
  const double rate = this->own.requests_per_second;
  const double change = std::abs(rate - this->reported_rate);
  const bool changed = change > this->options.min_change * this->reported_rate &&
                       change * ToSeconds(this->options.averaging_time) >= kMinChangeRequests;
  if (!changed && now - this->reported_at < period) return false;
  this->reported_rate = rate;
  this->reported_at = now;
  return true;
}

void EntryDemandTracker::OnDemandReport(EntryDemand demand, Duration period, Instant now) {
  if (demand.entry == this->options.entry) return;
  Report& report = this->others[demand.entry];
  report = {.demand = std::move(demand), .period = period, .at = now};
}

std::vector<EntryDemand> EntryDemandTracker::ActiveDemands(Instant now) {
  std::erase_if(this->others,
                [&](const auto& row) { return now - row.second.at > this->options.retention; });
  const auto is_silent = [&](const auto& row) {
    return ToSeconds(now - row.second.at) >
           this->options.report_timeout_periods * ToSeconds(row.second.period);
  };
  const auto silent = std::count_if(this->others.begin(), this->others.end(), is_silent);
  const bool isolated = 2 * static_cast<std::size_t>(silent) > this->others.size();
  std::vector<EntryDemand> active = {this->own};
  for (const auto& row : this->others) {
    if (isolated || !is_silent(row)) active.push_back(row.second.demand);
  }
  double sum = 0;
  for (const EntryDemand& entry : active) sum += entry.requests_per_second;
  const double mean = sum / static_cast<double>(active.size());
  for (const std::string& entry : this->live_entries) {
    if (entry == this->options.entry || this->others.contains(entry)) continue;
    active.push_back({.entry = entry, .requests_per_second = mean});
  }
  return active;
}

}  // namespace savory
