#include "relay/pool_retry_budget.h"

#include <algorithm>

namespace savory {
namespace {

void DropBefore(std::deque<Instant>& times, Instant limit) {
  while (!times.empty() && times.front() < limit) times.pop_front();
}

}  // namespace

PoolRetryBudget::Window& PoolRetryBudget::WindowOf(std::string_view pool, Instant now) {
  auto found = this->windows.find(pool);
  if (found == this->windows.end()) found = this->windows.emplace(pool, Window{}).first;
  const Instant limit = now - this->options.window;
  DropBefore(found->second.requests, limit);
  DropBefore(found->second.retries, limit);
  return found->second;
}

void PoolRetryBudget::OnRequest(std::string_view pool, Instant now) {
  this->WindowOf(pool, now).requests.push_back(now);
}

double PoolRetryBudget::Remaining(std::string_view pool, Instant now) {
  const Window& window = this->WindowOf(pool, now);
  return this->Bound(window) - static_cast<double>(window.retries.size());
}

double PoolRetryBudget::Spare(std::string_view pool, Instant now) {
  const double reserved = this->options.reserved_fraction * this->Bound(this->WindowOf(pool, now));
  return this->Remaining(pool, now) - reserved;
}

double PoolRetryBudget::Bound(const Window& window) const {
  const double bound = this->options.ratio * static_cast<double>(window.requests.size()) +
                       this->options.slack / this->entries;
  return bound * this->options.used_fraction;
}

bool PoolRetryBudget::Take(std::string_view pool, Instant now) {
  if (this->Remaining(pool, now) < 1) return false;
  this->WindowOf(pool, now).retries.push_back(now);
  return true;
}

void PoolRetryBudget::GiveBack(std::string_view pool, Instant taken_at, Instant now) {
  std::deque<Instant>& retries = this->WindowOf(pool, now).retries;
  const auto taken = std::ranges::lower_bound(retries, taken_at);
  if (taken != retries.end() && *taken == taken_at) retries.erase(taken);
}

}  // namespace savory
