// Named load patterns for the fleet model, modelled on the days with the heaviest load.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "loadmodel/fleet_model.h"

namespace savory {

struct LoadPattern {
  std::string_view name;
  std::string_view summary;
};

std::span<const LoadPattern> LoadPatterns();

// Sizes of the fleet that a pattern runs on: "small", "medium" and "large".
inline constexpr std::string_view kFleetSizes[] = {"small", "medium", "large"};

// Returns the options of a run; nullopt if no pattern has this name or no fleet this size.
std::optional<FleetModelOptions> FindLoadPattern(std::string_view name, std::string_view fleet,
                                                 std::uint64_t seed);

}  // namespace savory
