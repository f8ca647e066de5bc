// Regions in which a request may be served.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// By default every region is allowed. A value type.
class HomeRegions {
 public:
  HomeRegions() = default;
  // Only these regions; none if `regions` is empty.
  explicit HomeRegions(std::vector<std::string> regions);

  // The regions that both allow.
  HomeRegions And(const HomeRegions& other) const;

  // Whether some region is not allowed.
  bool IsBound() const { return this->regions.has_value(); }
  bool Allows(std::string_view region) const;
  // Sorted; empty if not bound.
  std::span<const std::string> Regions() const;
  // For logs: the regions joined by commas, "any" or "none".
  std::string Text() const;

  bool operator==(const HomeRegions&) const = default;

 private:
  std::optional<std::vector<std::string>> regions = {};  // sorted, without duplicates
};

}  // namespace savory
