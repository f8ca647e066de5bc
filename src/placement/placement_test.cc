#include "placement/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace savory {
namespace {

Placement ThreeRegions() {
  return Placement({.regions = {{"dc-a", "north"}, {"dc-b", "south"}, {"dc-c", "west"}}});
}

TEST(PlacementTest, WithoutHomesEveryDataCentreIsAllowed) {
  const Placement placement = ThreeRegions();
  EXPECT_EQ(placement.Check("dc-a", {}), PlacementBar::kNone);
  EXPECT_EQ(placement.Check("dc-unknown", {}), PlacementBar::kNone);
}

// Guards against a request that leaves its homes for a data centre whose region is not known.
TEST(PlacementTest, HomesExcludeOtherAndUnknownRegions) {
  const Placement placement = ThreeRegions();
  const HomeRegions homes({"south", "west"});
  EXPECT_EQ(placement.Check("dc-a", homes), PlacementBar::kOutsideHomes);
  EXPECT_EQ(placement.Check("dc-b", homes), PlacementBar::kNone);
  EXPECT_EQ(placement.Check("dc-c", homes), PlacementBar::kNone);
  EXPECT_EQ(placement.Check("dc-unknown", homes), PlacementBar::kOutsideHomes);
}

// Guards against an empty set of common homes that is taken for "any region".
TEST(PlacementTest, RouteAndAccountWithoutACommonHomeAllowNothing) {
  const HomeRegions both = HomeRegions({"north"}).And(HomeRegions({"south"}));
  EXPECT_TRUE(both.IsBound());
  EXPECT_EQ(both.Text(), "none");
  for (const char* data_centre : {"dc-a", "dc-b", "dc-c"}) {
    EXPECT_EQ(ThreeRegions().Check(data_centre, both), PlacementBar::kOutsideHomes);
  }
}

// Operators empty several data centres in a row and take one back, also ones not known here.
TEST(PlacementTest, EvacuationsAreIndependentAndIdempotent) {
  Placement placement = ThreeRegions();
  EXPECT_TRUE(placement.SetEvacuated("dc-a", true));
  EXPECT_FALSE(placement.SetEvacuated("dc-a", true));
  EXPECT_TRUE(placement.SetEvacuated("dc-new", true));
  EXPECT_TRUE(placement.SetEvacuated("dc-b", true));
  EXPECT_TRUE(placement.SetEvacuated("dc-a", false));
  EXPECT_FALSE(placement.SetEvacuated("dc-a", false));
  EXPECT_EQ(placement.Check("dc-a", {}), PlacementBar::kNone);
  EXPECT_EQ(placement.Check("dc-b", HomeRegions({"south"})), PlacementBar::kEvacuated);
  EXPECT_EQ(placement.Check("dc-new", {}), PlacementBar::kEvacuated);
}

RC_GTEST_PROP(PlacementProperty, BothHomesBind,
              (std::vector<std::string> one, std::vector<std::string> other)) {
  const HomeRegions both = HomeRegions(one).And(HomeRegions(other));
  std::vector<std::string> all = one;
  all.insert(all.end(), other.begin(), other.end());
  for (const std::string& region : all) {
    RC_ASSERT(both.Allows(region) ==
              (HomeRegions(one).Allows(region) && HomeRegions(other).Allows(region)));
  }
}

}  // namespace
}  // namespace savory
