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

ColdLimits::Cold& ColdLimits::StateOf(std::string_view upstream) {
  if (const auto found = this->cold.find(upstream); found != this->cold.end()) return found->second;
  if (this->cold.size() >= this->options.max_upstreams) {
    const auto first =
        std::ranges::min_element(this->cold, {}, [](const auto& row) { return row.second.until; });
    if (first != this->cold.end()) this->cold.erase(first);
  }
  return this->cold[std::string(upstream)];
}

void ColdLimits::SetCold(std::string_view upstream, Duration remaining, Instant now) {
  if (this->options.overrun <= 0) return;
  const auto found = this->cold.find(upstream);
  if (found != this->cold.end()) {
    found->second.until = now + std::max(remaining, Duration(0));
  } else if (remaining > Duration(0)) {
    this->StateOf(upstream).until = now + remaining;
  }
}

void ColdLimits::OnRecord(std::string_view upstream, Duration remaining, Instant now) {
  if (this->options.overrun <= 0 || remaining <= Duration(0)) return;
  Cold& state = this->StateOf(upstream);
  state.until = std::max(state.until, now + remaining);
}

void ColdLimits::OnDataCentreReturned(std::string_view data_centre, Instant now) {
  if (this->options.overrun <= 0) return;
  const bool is_full = this->returned.size() >= this->options.max_data_centres;
  if (is_full && !this->returned.contains(data_centre)) {
    this->returned.erase(
        std::ranges::min_element(this->returned, {}, [](const auto& row) { return row.second; }));
  }
  this->returned.insert_or_assign(std::string(data_centre), now);
}

void ColdLimits::Expire(Instant now) {
  // What was sent counts until the end of the window, as the upstream may be cold again before.
  std::erase_if(this->cold, [&](const auto& row) {
    const std::deque<Instant>& sent = row.second.sent;
    const bool counts = !sent.empty() && sent.back() > now - this->options.window;
    return row.second.until <= now && !counts;
  });
}

Instant ColdLimits::UntilOf(const ColdUpstream& upstream) const {
  Instant until = {};
  if (const auto found = this->cold.find(upstream.id); found != this->cold.end()) {
    until = found->second.until;
  }
  const auto back = this->returned.find(upstream.data_centre);
  if (back == this->returned.end()) return until;
  const ColdRule* rule = this->RuleOf(upstream.pool);
  return rule == nullptr ? until : std::max(until, back->second + rule->after_start);
}

bool ColdLimits::IsCold(const ColdUpstream& upstream, Instant now) const {
  return now < this->UntilOf(upstream);
}

std::size_t ColdLimits::Allowance(const ColdRule* rule, const ColdShare& share) const {
  if (rule == nullptr) return std::numeric_limits<std::size_t>::max();
  const double tolerated = rule->requests_per_second;
  const double left = tolerated * (this->options.overrun - 1) + this->options.slack;
  if (share.fraction > 0 || share.gained > 0) {
    const double held = std::floor(tolerated * share.fraction);
    const double all = std::floor(tolerated * (share.fraction + share.gained));
    return static_cast<std::size_t>(std::max({1.0, held, std::min(all, std::floor(left / 4))}));
  }
  // Entries without a share live on what the bound leaves beside the tolerated rate, of which half
  // is kept.
  const auto entries = static_cast<double>(std::max<std::size_t>(1, share.entries));
  return static_cast<std::size_t>(std::max(0.0, std::floor(left / 2 / entries)));
}

bool ColdLimits::MaySend(const ColdUpstream& upstream, const ColdShare& share, Instant now) const {
  if ((this->cold.empty() && this->returned.empty()) || !this->IsCold(upstream, now)) return true;
  const Duration running = now - this->options.started;
  if (running < this->options.quiet_time) return false;
  std::size_t allowance = this->Allowance(this->RuleOf(upstream.pool), share);
  if (running < this->options.window) allowance /= 2;
  const auto found = this->cold.find(upstream.id);
  if (found == this->cold.end()) return allowance > 0;
  const Instant begin = now - this->options.window;
  const auto recent =
      std::ranges::count_if(found->second.sent, [&](Instant at) { return at > begin; });
  return static_cast<std::size_t>(recent) < allowance;
}

void ColdLimits::OnSent(const ColdUpstream& upstream, Instant now) {
  if (this->RuleOf(upstream.pool) == nullptr) return;
  std::deque<Instant>& sent = this->StateOf(upstream.id).sent;
  while (!sent.empty() && sent.front() <= now - this->options.window) sent.pop_front();
  sent.push_back(now);
}

}  // namespace savory
