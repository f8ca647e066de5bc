#include "relay/entry_demand_tracker.h"

#include <algorithm>
#include <utility>

namespace savory {

EntryDemandTracker::EntryDemandTracker(EntryDemandTrackerOptions given)
    : options(std::move(given)),
      own{.entry = this->options.entry, .data_centre = this->options.data_centre} {}

double EntryDemandTracker::UpdateOwnRate(std::uint64_t requests, Instant now) {
  const std::uint64_t arrived = requests - std::exchange(this->last_request_count, requests);
  const Duration elapsed = now - std::exchange(this->rate_updated_at, now);
  const double seconds =
      std::max(1e-3, ToSeconds(std::min(elapsed, 2 * this->options.report_period)));
  const double latest = static_cast<double>(arrived) / seconds;
  double& rate = this->own.requests_per_second;
  rate += this->options.newest_weight * (latest - rate);
  return rate;
}

void EntryDemandTracker::OnDemandReport(EntryDemand demand, Instant now) {
  if (demand.entry == this->options.entry) return;
  Report& report = this->others[demand.entry];
  report = {.demand = std::move(demand), .at = now};
}

std::vector<EntryDemand> EntryDemandTracker::ActiveDemands(Instant now) {
  std::erase_if(this->others,
                [&](const auto& row) { return now - row.second.at > this->options.retention; });
  const auto is_silent = [&](const auto& row) {
    return now - row.second.at > this->options.report_timeout;
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
