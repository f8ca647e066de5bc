#include "placement/placement.h"

#include <algorithm>

namespace savory {

std::string_view PlacementBarName(PlacementBar bar) {
  switch (bar) {
    case PlacementBar::kNone:
      return "none";
    case PlacementBar::kOutsideHomes:
      return "outside-homes";
    case PlacementBar::kEvacuated:
      return "evacuated";
  }
  return "none";
}

std::string_view Placement::RegionOf(std::string_view data_centre) const {
  const auto found = this->options.regions.find(std::string(data_centre));
  return found == this->options.regions.end() ? std::string_view() : found->second;
}

bool Placement::IsKnownRegion(std::string_view region) const {
  return std::ranges::any_of(this->options.regions,
                             [region](const auto& row) { return row.second == region; });
}

bool Placement::SetEvacuated(const std::string& data_centre, bool wanted) {
  if (wanted) return this->evacuated.insert(data_centre).second;
  return this->evacuated.erase(data_centre) > 0;
}

bool Placement::IsEvacuated(std::string_view data_centre) const {
  return this->evacuated.contains(data_centre);
}

PlacementBar Placement::Check(std::string_view data_centre, const HomeRegions& homes) const {
  if (this->IsEvacuated(data_centre)) return PlacementBar::kEvacuated;
  if (!homes.IsBound()) return PlacementBar::kNone;
  const std::string_view region = this->RegionOf(data_centre);
  return !region.empty() && homes.Allows(region) ? PlacementBar::kNone
                                                 : PlacementBar::kOutsideHomes;
}

}  // namespace savory
