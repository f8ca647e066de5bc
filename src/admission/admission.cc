#include "admission/admission.h"

#include <algorithm>
#include <utility>

namespace savory {
namespace {

// Further changes are left out until the present ones have been taken.
constexpr std::size_t kMaxChanges = 64;

}  // namespace

bool Admission::OnAsked(std::string_view pool, int priority) {
  auto found = this->pools.find(pool);
  if (found == this->pools.end()) {
    found = this->pools.emplace(std::string(pool), PoolRoom(this->options)).first;
  }
  return found->second.OnAsked(priority);
}

void Admission::OnRefused(std::string_view pool, int priority) {
  const auto found = this->pools.find(pool);
  if (found != this->pools.end()) found->second.OnRefused(priority);
}

bool Admission::MayTake(std::string_view pool, int priority, double load) const {
  const auto found = this->pools.find(pool);
  if (found == this->pools.end()) return true;
  const std::optional<double> limit = found->second.LoadLimit(priority);
  return !limit || load < *limit;
}

bool Admission::IsLimited(std::string_view pool, int priority) const {
  const auto found = this->pools.find(pool);
  return found != this->pools.end() && found->second.LoadLimit(priority).has_value();
}

bool Admission::HasSeveralClasses(std::string_view pool) const {
  const auto found = this->pools.find(pool);
  return found != this->pools.end() && found->second.HasSeveralClasses();
}

double Admission::Level(std::string_view pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? 0 : found->second.Level();
}

void Admission::Update(std::span<const PoolDemands* const> others, Instant now) {
  for (auto& [name, room] : this->pools) {
    ClassDemands sum = {};
    for (const PoolDemands* demands : others) {
      const auto found = std::ranges::find(*demands, name, &PoolDemand::pool);
      if (found == demands->end()) continue;
      for (std::size_t i = 0; i < kPriorityClasses; ++i) {
        sum[i].asked += found->classes[i].asked;
        sum[i].lacked += found->classes[i].lacked;
      }
    }
    if (!room.Update(sum, now) || this->changes.size() >= kMaxChanges) continue;
    this->changes.push_back({.pool = name, .level = room.Level(), .lacking = room.LackingClass()});
  }
}

std::vector<AdmissionChange> Admission::TakeChanges() { return std::exchange(this->changes, {}); }

PoolDemands Admission::Own() const {
  PoolDemands demands;
  for (const auto& [name, room] : this->pools) {
    if (demands.size() == kMaxReportedPools) break;
    demands.push_back({.pool = name, .classes = room.Own()});
  }
  return demands;
}

double Admission::AdmittedFraction() const {
  double asked = 0;
  double admitted = 0;
  for (const auto& [name, room] : this->pools) {
    double rate = 0;
    for (const ClassDemand& demand : room.Own()) rate += demand.asked;
    asked += rate;
    admitted += rate * room.AdmittedFraction();
  }
  return asked > 0 ? admitted / asked : 1;
}

}  // namespace savory
