// Random numbers. The generator is passed into decision logic, so that tests can fix its seed.
#pragma once

#include <cstdint>
#include <random>

namespace savory {

using Random = std::mt19937_64;

// Uniform integer in [0, bound); `bound` must be positive.
inline std::uint64_t UniformBelow(Random& random, std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

// Uniform number in [0, 1).
inline double UniformUnit(Random& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

}  // namespace savory
