// What the callers of each priority ask for and lack, as entries report it to each other.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace savory {

// Priorities are counted in this many classes: the last one holds all that are less urgent.
inline constexpr std::size_t kPriorityClasses = 8;
// Entries report at most this many pools to each other.
inline constexpr std::size_t kMaxReportedPools = 8;

std::size_t PriorityClass(int priority);

// First attempts of one class at one entry, or at all of them.
struct ClassDemand {
  double asked = 0;   // per second
  double lacked = 0;  // refused, per second

  bool operator==(const ClassDemand&) const = default;
};

using ClassDemands = std::array<ClassDemand, kPriorityClasses>;  // most urgent first

struct PoolDemand {
  std::string pool = {};
  ClassDemands classes = {};

  bool operator==(const PoolDemand&) const = default;
};

using PoolDemands = std::vector<PoolDemand>;

}  // namespace savory
