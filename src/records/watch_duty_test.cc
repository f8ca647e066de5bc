#include "records/watch_duty.h"

#include <gtest/gtest.h>

#include <set>

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));

std::vector<std::string> Peers(int count) {
  std::vector<std::string> peers;
  peers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) peers.push_back("10.0.0." + std::to_string(i) + ":7700");
  return peers;
}

WatchDuty DutyOf(const std::vector<std::string>& all, std::size_t self) {
  WatchDuty duty({.prefix = "op/", .peer = all[self]});
  std::vector<std::string> others = all;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
  duty.SetPeers(others);
  return duty;
}

// Guards against calls of the store that grow with the fleet, and against a fleet without watchers.
TEST(WatchDutyTest, TheSameFewProcessesWatchInAnyFleet) {
  for (const int size : {1, 2, 3, 5, 40, 320}) {
    const std::vector<std::string> all = Peers(size);
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < all.size(); ++i) chosen += DutyOf(all, i).IsChosen() ? 1 : 0;
    EXPECT_EQ(chosen, std::min<std::size_t>(3, all.size()));
  }
}

// Guards against a process that goes on trusting watchers which are gone, or which the store turns
// away while they still answer.
TEST(WatchDutyTest, SilenceOrOldContactMakesAProcessWatch) {
  const std::vector<std::string> all = Peers(20);
  std::size_t other = 0;
  while (DutyOf(all, other).IsChosen()) ++other;
  WatchDuty duty = DutyOf(all, other);
  EXPECT_TRUE(duty.MustWatch(kStart));
  duty.HeardFrom(all[0], milliseconds(900), kStart);
  EXPECT_FALSE(duty.MustWatch(kStart + milliseconds(1200)));
  EXPECT_TRUE(duty.MustWatch(kStart + milliseconds(1400)));
  duty.HeardFrom(all[0], milliseconds(2000), kStart + milliseconds(1400));
  EXPECT_TRUE(duty.MustWatch(kStart + milliseconds(1500)));
}

}  // namespace
}  // namespace savory
