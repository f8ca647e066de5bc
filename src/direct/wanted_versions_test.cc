#include "direct/wanted_versions.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WantedVersionsOptions kOptions = {
    .deadline = seconds(8), .margin = milliseconds(1200), .unknown_grace = milliseconds(2200)};

// Oldest version that engines may serve with at `now`.
std::uint64_t Required(const WantedVersions& versions, Instant now) {
  std::uint64_t required = 0;
  for (const WeightsRule& rule : versions.Rules(kOptions)) {
    if (now >= rule.enforced_at) required = std::max(required, rule.version);
  }
  return required;
}

// Two versions are announced in quick succession and an entry restarts between them. If it knew
// only the second version, it would use engines with weights older than the first one until the
// deadline of the second.
TEST(WantedVersions, RestartedEntryLearnsEarlierVersionFromAgents) {
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

// After a restart of all processes, no process knows the age of the wanted version. It must be
// enforced, but not before the engines have had time to load it.
TEST(WantedVersions, VersionOfUnknownAgeIsEnforcedAfterGrace) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  versions.AddFromStore(3, false, start);
  EXPECT_EQ(Required(versions, start + seconds(2)), 0u);
  EXPECT_EQ(Required(versions, start + seconds(3)), 3u);
}

// A newer version must not postpone the deadline of an older one, and the newest version must not
// go backwards.
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

// A version that only an agent reports, and not the store, must not become the newest one.
TEST(WantedVersions, OnlyStoreAddsNewestVersion) {
  WantedVersions versions;
  EXPECT_FALSE(versions.AddFromAgent(4, Instant(), Instant()));
  EXPECT_EQ(versions.Newest(), 0u);
}

}  // namespace
}  // namespace savory
