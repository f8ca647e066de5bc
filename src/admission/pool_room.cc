#include "admission/pool_room.h"

#include <algorithm>
#include <cmath>

namespace savory {
namespace {

// Classes with fewer requests per second are not asked for.
constexpr double kMinRate = 0.2;

}  // namespace

std::size_t PriorityClass(int priority) {
  return static_cast<std::size_t>(std::clamp(priority, 0, static_cast<int>(kPriorityClasses) - 1));
}

bool PoolRoom::OnAsked(int priority) {
  const std::size_t index = PriorityClass(priority);
  this->counts[index].asked += 1;
  double& credit = this->credit[index];
  credit += this->options.floor;
  if (credit < 1) return false;
  credit -= 1;
  return true;
}

void PoolRoom::OnRefused(int priority) { this->counts[PriorityClass(priority)].lacked += 1; }

void PoolRoom::UpdateOwnRates(Duration elapsed) {
  const double seconds = std::max(1e-3, ToSeconds(elapsed));
  const double weight = 1 - std::exp(-seconds / ToSeconds(this->options.averaging_time));
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    this->own[i].asked += weight * (this->counts[i].asked / seconds - this->own[i].asked);
    this->own[i].lacked += weight * (this->counts[i].lacked / seconds - this->own[i].lacked);
  }
  this->counts = {};
}

bool PoolRoom::Update(const ClassDemands& others, Instant now) {
  if (now - this->updated_at < this->options.update_period) return false;
  this->UpdateOwnRates(std::min<Duration>(now - this->updated_at, std::chrono::seconds(2)));
  this->updated_at = now;
  ClassDemands all = this->own;
  double asked = 0;
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    all[i].asked += others[i].asked;
    all[i].lacked += others[i].lacked;
    asked += all[i].asked;
    this->present[i] = all[i].asked > kMinRate;
  }
  this->asking = static_cast<std::size_t>(std::ranges::count(this->present, true));
  const double before = this->level;
  this->lacking = {};
  if (this->asking < 2) {
    this->level = 0;
    return before > 0;
  }
  // The largest lack among the `count` most urgent classes.
  const auto lack_of = [&](std::size_t count) {
    double most = 0;
    for (std::size_t i = 0; i < kPriorityClasses && count > 0; ++i) {
      if (!this->present[i]) continue;
      --count;
      if (all[i].asked < this->options.min_share * asked) continue;
      const double lack = all[i].lacked / all[i].asked;
      if (lack > this->options.high && !this->lacking) this->lacking = i;
      most = std::max(most, lack);
    }
    return most;
  };
  const auto most = static_cast<double>(this->asking - 1);
  this->level = std::min(this->level, most);
  const auto taken = static_cast<std::size_t>(this->level);
  const double lack = lack_of(this->asking - 1 - std::min(taken, this->asking - 1));
  if (lack > this->options.high) {
    this->level = std::min(most, this->level + this->options.max_rise * std::min(1.0, 4 * lack));
  } else if (this->level > 0) {
    const auto whole = static_cast<std::size_t>(std::ceil(this->level)) - 1;
    if (lack_of(this->asking - 1 - whole) < this->options.low) {
      this->level = std::max(0.0, this->level - this->options.max_fall);
    }
  }
  return std::ceil(before) != std::ceil(this->level);
}

double PoolRoom::TakenOf(std::size_t index) const {
  if (this->level <= 0) return 0;
  const auto less_urgent = std::count(
      this->present.begin() + static_cast<std::ptrdiff_t>(index) + 1, this->present.end(), true);
  return std::clamp(this->level - static_cast<double>(less_urgent), 0.0, 1.0);
}

std::optional<double> PoolRoom::LoadLimit(int priority) const {
  const double taken = this->TakenOf(PriorityClass(priority));
  if (taken <= 0) return std::nullopt;
  return std::lerp(this->options.widest_limit, this->options.narrowest_limit, taken);
}

double PoolRoom::AdmittedFraction() const {
  double asked = 0;
  double admitted = 0;
  for (std::size_t i = 0; i < kPriorityClasses; ++i) {
    asked += this->own[i].asked;
    admitted += this->own[i].asked * (1 - this->TakenOf(i) * (1 - this->options.floor));
  }
  return asked > 0 ? admitted / asked : 1;
}

}  // namespace savory
