#include "placement/cold_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace savory {

std::vector<std::string> ColdLimits::SetRules(
    std::map<std::string, ColdRule, std::less<>> by_pool) {
  std::vector<std::string> mistaken;
  for (auto& [pool, rule] : by_pool) {
    if (rule.requests_per_second >= 0 && rule.after_start >= Duration(0)) continue;
    const auto former = this->rules.find(pool);
    rule = former == this->rules.end() ? ColdRule() : former->second;
    mistaken.push_back(pool);
  }
  this->rules = std::move(by_pool);
  return mistaken;
}

const ColdRule* ColdLimits::RuleOf(std::string_view pool) const {
  if (this->options.overrun <= 0) return nullptr;
  const auto rule = this->rules.find(pool);
  const bool limited = rule != this->rules.end() && rule->second.requests_per_second > 0;
  return limited ? &rule->second : nullptr;
}

void ColdLimits::SetCold(std::string_view upstream, std::string_view pool, Duration remaining,
                         Instant now) {
  if (this->options.overrun <= 0 || remaining <= Duration(0)) return this->Forget(upstream);
  // The rules may come later: each request looks them up.
  Cold& state = this->cold[std::string(upstream)];
  state.pool = pool;
  state.until = now + remaining;
}

void ColdLimits::AssumeCold(std::string_view upstream, std::string_view pool, Instant now) {
  const ColdRule* rule = this->RuleOf(pool);
  if (rule == nullptr) return;
  Cold& state = this->cold[std::string(upstream)];
  state.pool = pool;
  state.until = std::max(state.until, now + rule->after_start);
}

void ColdLimits::Forget(std::string_view upstream) {
  const auto found = this->cold.find(upstream);
  if (found != this->cold.end()) this->cold.erase(found);
}

void ColdLimits::Expire(Instant now) {
  std::erase_if(this->cold, [now](const auto& row) { return row.second.until <= now; });
}

bool ColdLimits::IsCold(std::string_view upstream, Instant now) const {
  const auto found = this->cold.find(upstream);
  return found != this->cold.end() && now < found->second.until;
}

std::size_t ColdLimits::Allowance(const Cold& state, const ColdShare& share) const {
  const ColdRule* rule = this->RuleOf(state.pool);
  if (rule == nullptr) return std::numeric_limits<std::size_t>::max();
  const double tolerated = rule->requests_per_second;
  if (share.fraction > 0) {
    const double own = std::floor(tolerated * share.fraction);
    return static_cast<std::size_t>(std::max(1.0, own));
  }
  // Entries without a share live on what the bound leaves beside the tolerated rate, of which half
  // is kept.
  const double left = tolerated * (this->options.overrun - 1) + this->options.slack;
  const auto entries = static_cast<double>(std::max<std::size_t>(1, share.entries));
  return static_cast<std::size_t>(std::max(0.0, std::floor(left / 2 / entries)));
}

bool ColdLimits::MaySend(std::string_view upstream, const ColdShare& share, Instant now) const {
  if (this->cold.empty()) return true;
  const auto found = this->cold.find(upstream);
  if (found == this->cold.end() || now >= found->second.until) return true;
  const Duration running = now - this->options.started;
  if (running < this->options.quiet_time) return false;
  const std::deque<Instant>& sent = found->second.sent;
  const Instant begin = now - this->options.window;
  const auto recent =
      std::count_if(sent.begin(), sent.end(), [&](Instant at) { return at > begin; });
  std::size_t allowance = this->Allowance(found->second, share);
  if (running < this->options.window) allowance /= 2;
  return static_cast<std::size_t>(recent) < allowance;
}

void ColdLimits::OnSent(std::string_view upstream, Instant now) {
  const auto found = this->cold.find(upstream);
  if (found == this->cold.end()) return;
  std::deque<Instant>& sent = found->second.sent;
  while (!sent.empty() && sent.front() <= now - this->options.window) sent.pop_front();
  sent.push_back(now);
}

}  // namespace savory
