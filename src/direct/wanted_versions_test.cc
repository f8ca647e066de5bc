#include "direct/wanted_versions.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WantedVersionsOptions kOptions = {
    .deadline = seconds(8), .margin = milliseconds(1200), .unknown_grace = milliseconds(2200)};

// Oldest version that may serve at `now`.
std::uint64_t Required(const WantedVersions& versions, Instant now) {
  std::uint64_t required = 0;
  for (const WeightsRule& rule : versions.Rules(kOptions)) {
    if (now >= rule.enforced_at) required = std::max(required, rule.version);
  }
  return required;
}

// Pattern: two versions named in quick succession, and an entry that restarts between them.
// Guards against an entry that knows the second one only, and uses engines with weights from before
// the first one until the second one's deadline.
TEST(WantedVersions, RestartedEntryLearnsTheEarlierVersion) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  versions.AddFromStore(3, false, start);
  EXPECT_TRUE(versions.AddFromAgent(3, start - seconds(1), start));
  EXPECT_EQ(Required(versions, start + seconds(1)), 0u);
  EXPECT_TRUE(versions.AddFromAgent(2, start - seconds(9), start));
  EXPECT_EQ(Required(versions, start + seconds(1)), 2u);
  EXPECT_EQ(Required(versions, start + seconds(6)), 3u);
  EXPECT_FALSE(versions.AddFromAgent(2, start, start));
}

// Pattern: everything restarts. Guards against a version that nobody knows the age of being
// enforced before the engines can have it, or never.
TEST(WantedVersions, VersionOfUnknownAgeIsEnforcedAfterTheGrace) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  versions.AddFromStore(3, false, start);
  EXPECT_EQ(Required(versions, start + seconds(2)), 0u);
  EXPECT_EQ(Required(versions, start + seconds(3)), 3u);
}

// Guards against an older deadline that a newer version puts off, and against versions that go
// back.
TEST(WantedVersions, EachVersionKeepsItsDeadline) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  versions.AddFromStore(2, true, start);
  versions.AddFromStore(3, true, start + seconds(4));
  versions.AddFromStore(2, true, start + seconds(5));
  EXPECT_EQ(versions.Newest(), 3u);
  EXPECT_EQ(Required(versions, start + milliseconds(6700)), 0u);
  EXPECT_EQ(Required(versions, start + milliseconds(6900)), 2u);
  EXPECT_EQ(Required(versions, start + milliseconds(10'900)), 3u);
}

// Guards against an agent's word for a version that the store has not named.
TEST(WantedVersions, OnlyTheStoreNamesANewestVersion) {
  WantedVersions versions;
  EXPECT_FALSE(versions.AddFromAgent(4, Instant(), Instant()));
  EXPECT_EQ(versions.Newest(), 0u);
}

}  // namespace
}  // namespace savory
