// What may go where: the upstreams that a request may be sent to, whatever their load.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "placement/cold_limits.h"
#include "placement/home_regions.h"

namespace savory {

struct PlacementOptions {
  std::map<std::string, std::string> regions = {};  // data centre -> region
  ColdLimitOptions cold = {};
};

// Why an upstream may not receive a request.
enum class PlacementBar {
  kNone,
  kOutsideHomes,  // its region is none of the request's homes
  kEvacuated,     // operators want nothing sent to its data centre
};

std::string_view PlacementBarName(PlacementBar bar);

// Performs no I/O. Routing asks it for every upstream and every attempt: first ones, retries and
// resumed streams.
class Placement {
 public:
  explicit Placement(PlacementOptions options = {})
      : options(std::move(options)), cold(this->options.cold) {}

  // Empty if the data centre is not known: no request with homes may go there.
  std::string_view RegionOf(std::string_view data_centre) const;
  bool IsKnownRegion(std::string_view region) const;

  // Operators want nothing sent to the upstreams of `data_centre`, or took that back. Returns
  // whether this is a change. A data centre that is not known yet is remembered, too.
  bool SetEvacuated(const std::string& data_centre, bool evacuated);
  bool IsEvacuated(std::string_view data_centre) const;
  const std::set<std::string, std::less<>>& Evacuated() const { return this->evacuated; }

  // Whether requests with `homes` may go to upstreams of the data centre at all.
  PlacementBar Check(std::string_view data_centre, const HomeRegions& homes) const;
  ColdLimits& Cold() { return this->cold; }
  const ColdLimits& Cold() const { return this->cold; }

 private:
  PlacementOptions options;
  std::set<std::string, std::less<>> evacuated = {};  // data centres
  ColdLimits cold;
};

}  // namespace savory
