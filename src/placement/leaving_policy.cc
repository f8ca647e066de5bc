#include "placement/leaving_policy.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace savory {
namespace {

// A request without room counts with this strain, however far it is from fitting.
constexpr double kMaxStrain = 1.5;
// Traffic that may be sent ahead of the link's bandwidth.
constexpr double kLinkBurstSeconds = 0.2;

// In [-0.5, 0.5), the same at each start of the entry.
double PositionOf(const std::string& entry) {
  return static_cast<double>(std::hash<std::string>()(entry) % 1024) / 1024 - 0.5;
}

}  // namespace

std::string_view LeavingReasonName(LeavingReason reason) {
  switch (reason) {
    case LeavingReason::kStays:
      return "stays";
    case LeavingReason::kNoneNear:
      return "none-near";
    case LeavingReason::kNearFull:
      return "near-full";
    case LeavingReason::kNearLate:
      return "near-late";
    case LeavingReason::kOwnShare:
      return "own-share";
    case LeavingReason::kPays:
      return "pays";
  }
  return "stays";
}

LeavingPolicy::LeavingPolicy(LeavingOptions given)
    : options(std::move(given)),
      easy(this->options.easy_strain +
           this->options.entry_spread * PositionOf(this->options.entry)) {}

void LeavingPolicy::SetWays(const std::vector<DataCentreWay>& ways) {
  if (!this->options.enabled) return;
  this->delays.clear();
  for (const DataCentreWay& way : ways) {
    if (way.from == way.to) continue;
    if (way.from == this->options.data_centre) this->delays[way.to] = way.delay;
    if (way.to == this->options.data_centre) this->delays[way.from] = way.delay;
  }
}

std::optional<Duration> LeavingPolicy::RoundTrip(std::string_view data_centre) const {
  const auto found = this->delays.find(data_centre);
  if (found == this->delays.end()) return std::nullopt;
  return 2 * found->second;
}

std::string_view LeavingPolicy::RegionOf(std::string_view data_centre) const {
  const auto found = this->regions.find(std::string(data_centre));
  return found == this->regions.end() ? std::string_view() : found->second;
}

bool LeavingPolicy::IsOtherRegion(std::string_view data_centre) const {
  return this->RegionOf(data_centre) != this->RegionOf(this->options.data_centre);
}

LeavingPolicy::PoolState& LeavingPolicy::StateOf(std::string_view pool) {
  const auto found = this->pools.find(pool);
  return found != this->pools.end() ? found->second : this->pools[std::string(pool)];
}

double LeavingPolicy::PartOf(std::string_view pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? 0 : found->second.part;
}

void LeavingPolicy::AddStrain(PoolState& state, double strain, Instant now) const {
  const double bounded = std::min(strain, kMaxStrain);
  if (!state.strain_at) {
    state.strain = bounded;
    state.step_due = now + this->options.step_period;
  } else {
    const Duration passed = std::min(now - *state.strain_at, this->options.strain_time);
    const double rest = std::exp(-ToSeconds(passed) / ToSeconds(this->options.strain_time));
    state.strain = state.strain * rest + bounded * (1 - rest);
  }
  state.strain_at = now;
  if (now < state.step_due) return;
  state.step_due = now + this->options.step_period;
  if (state.strain > this->easy) state.part = std::min(1.0, state.part + this->options.step);
  if (state.strain < this->options.calm_strain) {
    state.part = std::max(0.0, state.part - this->options.step);
  }
}

bool LeavingPolicy::Stays(std::string_view pool, const SideOffer& near, Instant now) {
  if (near.usable) {
    const double strain = near.has_room ? near.strain : std::max(near.strain, 1.0);
    this->AddStrain(this->StateOf(pool), strain, now);
  }
  const bool may_take = near.owned || near.load <= this->options.borrow_load;
  return near.has_room && near.strain <= this->easy && may_take;
}

LeavingReason LeavingPolicy::Decide(std::string_view pool, const SideOffer& near,
                                    const SideOffer& far, std::size_t bytes, double draw,
                                    Instant now) {
  if (!near.usable) return far.usable ? LeavingReason::kNoneNear : LeavingReason::kStays;
  if (!far.has_room) return LeavingReason::kStays;
  if (!near.has_room) {
    if (!this->HasWidth(far.data_centre, bytes, 1, now)) return LeavingReason::kStays;
    return near.strain > this->options.late_strain ? LeavingReason::kNearLate
                                                   : LeavingReason::kNearFull;
  }
  if (!this->HasWidth(far.data_centre, bytes, this->options.preference_link_part, now)) {
    return LeavingReason::kStays;
  }
  if (!near.owned && far.owned && near.load > this->options.borrow_load) {
    return LeavingReason::kOwnShare;
  }
  const double price =
      this->options.price + (this->IsOtherRegion(far.data_centre) ? this->options.region_price : 0);
  if (near.strain <= this->easy || near.strain - far.strain <= price) return LeavingReason::kStays;
  if (near.strain > 1) return LeavingReason::kNearLate;
  return draw < this->PartOf(pool) ? LeavingReason::kPays : LeavingReason::kStays;
}

double LeavingPolicy::LinkBytesPerSecond() const {
  return this->options.region_bytes_per_second /
         static_cast<double>(std::max<std::size_t>(1, this->entries));
}

bool LeavingPolicy::HasWidth(std::string_view data_centre, std::size_t bytes, double part,
                             Instant now) const {
  if (this->options.region_bytes_per_second <= 0 || !this->IsOtherRegion(data_centre)) return true;
  const auto link = this->links.find(this->RegionOf(data_centre));
  if (link == this->links.end()) return true;
  const double rate = this->LinkBytesPerSecond();
  const double unsent =
      std::max(0.0, link->second.used_bytes - rate * part * ToSeconds(now - link->second.at));
  return unsent == 0 || unsent + static_cast<double>(bytes) <= rate * part * kLinkBurstSeconds;
}

void LeavingPolicy::OnLeft(std::string_view pool, std::string_view data_centre,
                           LeavingReason reason, std::size_t bytes, Instant now) {
  if (this->options.region_bytes_per_second > 0 && this->IsOtherRegion(data_centre)) {
    LinkState& link = this->links[std::string(this->RegionOf(data_centre))];
    const double sent = this->LinkBytesPerSecond() * ToSeconds(now - link.at);
    link.used_bytes = std::max(0.0, link.used_bytes - sent) + static_cast<double>(bytes);
    link.at = now;
  }
  PoolState& state = this->StateOf(pool);
  if (!state.episode) {
    state.episode = LeavingChange{.pool = std::string(pool), .began = true, .reason = reason};
    state.announced = false;
    state.began_at = now;
  }
  ++state.episode->left;
  state.last_left = now;
}

std::vector<LeavingChange> LeavingPolicy::TakeChanges(Instant now) {
  std::vector<LeavingChange> changes;
  for (auto& [name, state] : this->pools) {
    if (!state.episode) continue;
    state.episode->strain = state.strain;
    state.episode->lasted = state.last_left - state.began_at;
    if (!state.announced) {
      state.announced = true;
      changes.push_back(*state.episode);
    }
    if (now - state.last_left < this->options.episode_end) continue;
    state.episode->began = false;
    changes.push_back(*std::move(state.episode));
    state.episode.reset();
  }
  return changes;
}

}  // namespace savory
