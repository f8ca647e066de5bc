#include "relay/pool_retry_budget.h"

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
  const double bound = this->options.ratio * static_cast<double>(window.requests.size()) +
                       this->options.slack / this->entries;
  return bound * this->options.used_fraction - static_cast<double>(window.retries.size());
}

bool PoolRetryBudget::Take(std::string_view pool, Instant now) {
  if (this->Remaining(pool, now) < 1) return false;
  this->WindowOf(pool, now).retries.push_back(now);
  return true;
}

}  // namespace savory
