#include "direct/wanted_versions.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

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

// An entry that was paused or refused by the store learns of a version late. If it counted the
// deadline from then, it would use outdated engines after the deadline, although the agents know
// the earlier time.
TEST(WantedVersions, EarlierTimeOfAgentsCorrectsLateEntry) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  versions.AddFromStore(2, true, start + seconds(5));
  EXPECT_TRUE(versions.AddFromAgent(2, start, start + seconds(6)));
  EXPECT_FALSE(versions.AddFromAgent(2, start + seconds(1), start + seconds(6)));
  EXPECT_EQ(Required(versions, start + milliseconds(6700)), 0u);
  EXPECT_EQ(Required(versions, start + milliseconds(6900)), 2u);
  EXPECT_EQ(versions.Rules(kOptions).front().deadline, start + kOptions.deadline);
}

// The same when the agents' reports arrive before the store's record.
TEST(WantedVersions, TimeReportedBeforeTheRecordCounts) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  EXPECT_FALSE(versions.AddFromAgent(2, start, start + seconds(1)));
  EXPECT_EQ(versions.Newest(), 0u);
  versions.AddFromStore(2, true, start + seconds(5));
  EXPECT_EQ(Required(versions, start + milliseconds(6900)), 2u);
}

// A version of unknown age is enforced after a grace. A process that learned of it much later must
// not postpone that.
TEST(WantedVersions, LateTimeDoesNotReplaceUnknownAge) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  versions.AddFromStore(2, false, start);
  EXPECT_FALSE(versions.AddFromAgent(2, start + seconds(2), start + seconds(2)));
  EXPECT_EQ(Required(versions, start + seconds(3)), 2u);
}

// Whatever the order and the delay of the times that an entry learns, a version is enforced no
// later than the earliest of them demands.
RC_GTEST_PROP(WantedVersionsProperty, EarliestTimeCounts, ()) {
  const Instant start = Instant(std::chrono::hours(1));
  const auto ages = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9000));
  const auto store_at = *rc::gen::inRange<std::size_t>(0, ages.size() + 1);
  const bool is_new = *rc::gen::arbitrary<bool>();
  WantedVersions versions;
  Instant now = start;
  Instant earliest = Instant::max();
  for (std::size_t i = 0; i <= ages.size(); ++i) {
    now += milliseconds(*rc::gen::inRange(0, 3000));
    if (i == store_at) {
      versions.AddFromStore(2, is_new, now);
      earliest = std::min(earliest, now);
    }
    if (i == ages.size()) break;
    versions.AddFromAgent(2, now - milliseconds(ages[i]), now);
    earliest = std::min(earliest, now - milliseconds(ages[i]));
  }
  RC_ASSERT(versions.Newest() == 2u);
  RC_ASSERT(versions.Rules(kOptions).front().enforced_at <=
            earliest + kOptions.deadline - kOptions.margin);
}

// A process learned of a version of unknown age late, and another version has followed. Guards
// against the time of that process postponing the deadline of the earlier version.
TEST(WantedVersions, LateTimeOfAFollowedVersionDoesNotReplaceUnknownAge) {
  const Instant start = Instant(std::chrono::hours(1));
  WantedVersions versions;
  versions.AddFromStore(2, false, start);
  versions.AddFromStore(3, true, start + seconds(1));
  versions.AddFromAgent(2, start + seconds(3), start + seconds(3));
  EXPECT_EQ(Required(versions, start + milliseconds(2300)), 2u);
  versions.AddFromAgent(2, start - seconds(1), start + seconds(4));
  EXPECT_EQ(versions.WantedSince(2), start - seconds(1));
}

// A version that only an agent reports, and not the store, must not become the newest one.
TEST(WantedVersions, OnlyStoreAddsNewestVersion) {
  WantedVersions versions;
  EXPECT_FALSE(versions.AddFromAgent(4, Instant(), Instant()));
  EXPECT_EQ(versions.Newest(), 0u);
}

}  // namespace
}  // namespace savory
