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
// A change of what a class lacks by this fraction of what it asks for is reported at once.
constexpr double kMinLackChange = 0.1;

bool HasLackChanged(const PoolDemands& now, const PoolDemands& before) {
  return std::ranges::any_of(now, [&](const PoolDemand& pool) {
    const auto known = std::ranges::find(before, pool.pool, &PoolDemand::pool);
    for (std::size_t i = 0; i < kPriorityClasses; ++i) {
      const double lacked = known == before.end() ? 0 : known->classes[i].lacked;
      const double change = std::abs(pool.classes[i].lacked - lacked);
      if (change > 1 && change > kMinLackChange * pool.classes[i].asked) return true;
    }
    return false;
  });
}

}  // namespace

EntryDemandTracker::EntryDemandTracker(EntryDemandTrackerOptions given)
    : options(std::move(given)),
      own{.entry = this->options.entry, .data_centre = this->options.data_centre} {}

double EntryDemandTracker::UpdateOwnRate(std::uint64_t requests, Instant now) {
  const std::uint64_t arrived = requests - std::exchange(this->last_request_count, requests);
  const Duration elapsed = now - std::exchange(this->rate_updated_at, now);
  const double seconds = std::max(1e-3, ToSeconds(std::min(elapsed, kMaxMeasuredTime)));
  const double latest = static_cast<double>(arrived) / seconds;
  this->rate +=
      (1 - std::exp(-seconds / ToSeconds(this->options.averaging_time))) * (latest - this->rate);
  this->own.requests_per_second = this->rate;
  return this->rate;
}

void EntryDemandTracker::SetOwnPools(PoolDemands pools, double counted_fraction) {
  this->own.pools = std::move(pools);
  this->own.requests_per_second = this->rate * counted_fraction;
}

bool EntryDemandTracker::TakeReportDue(Duration period, Instant now) {
  const double rate = this->own.requests_per_second;
  const double change = std::abs(rate - this->reported_rate);
  const bool changed = change > this->options.min_change * this->reported_rate &&
                       change * ToSeconds(this->options.averaging_time) >= kMinChangeRequests;
  const bool lack_changed = HasLackChanged(this->own.pools, this->reported_pools);
  if (!changed && !lack_changed && now - this->reported_at < period) return false;
  this->reported_rate = rate;
  this->reported_pools = this->own.pools;
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
    const bool silent_now = is_silent(row);
    if (silent_now && !isolated) continue;
    active.push_back(row.second.demand);
    // An old report says nothing of what callers lack now.
    if (silent_now) active.back().pools.clear();
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
