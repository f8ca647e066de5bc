#include "placement/home_regions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savory {

HomeRegions::HomeRegions(std::vector<std::string> given) {
  std::sort(given.begin(), given.end());
  given.erase(std::unique(given.begin(), given.end()), given.end());
  this->regions = std::move(given);
}

HomeRegions HomeRegions::And(const HomeRegions& other) const {
  if (!this->regions) return other;
  if (!other.regions) return *this;
  std::vector<std::string> both;
  std::set_intersection(this->regions->begin(), this->regions->end(), other.regions->begin(),
                        other.regions->end(), std::back_inserter(both));
  return HomeRegions(std::move(both));
}

bool HomeRegions::Allows(std::string_view region) const {
  return !this->regions || std::binary_search(this->regions->begin(), this->regions->end(), region);
}

std::span<const std::string> HomeRegions::Regions() const {
  return this->regions ? std::span<const std::string>(*this->regions)
                       : std::span<const std::string>();
}

std::string HomeRegions::Text() const {
  if (!this->regions) return "any";
  if (this->regions->empty()) return "none";
  std::string text;
  for (const std::string& region : *this->regions) {
    if (!text.empty()) text += ',';
    text += region;
  }
  return text;
}

}  // namespace savory
