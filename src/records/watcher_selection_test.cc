#include "records/watcher_selection.h"

#include <gtest/gtest.h>

#include <set>

#include "base/digest.h"

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

WatcherSelection SelectionOf(const std::vector<std::string>& all, std::size_t self) {
  WatcherSelection selection({.prefix = "op/", .peer = all[self]});
  std::vector<std::string> others = all;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
  selection.SetPeers(others);
  return selection;
}

// Guards against a number of watchers, and thus of store calls, that grows with the number of
// processes, and against having no watcher.
TEST(WatcherSelectionTest, NumberOfWatchersIsIndependentOfFleetSize) {
  for (const int size : {1, 2, 3, 5, 40, 320}) {
    const std::vector<std::string> all = Peers(size);
    std::size_t found = 0;
    for (std::size_t i = 0; i < all.size(); ++i) found += SelectionOf(all, i).IsSelected() ? 1 : 0;
    EXPECT_EQ(found, std::min<std::size_t>(3, all.size()));
  }
}

// Guards against a process that relies on watchers that are down, or that respond to their peers
// but are refused by the store.
TEST(WatcherSelectionTest, ProcessWatchesWithoutARecentWatcher) {
  const std::vector<std::string> all = Peers(20);
  std::size_t other = 0;
  while (SelectionOf(all, other).IsSelected()) ++other;
  WatcherSelection selection = SelectionOf(all, other);
  EXPECT_TRUE(selection.ShouldWatch(kStart));
  std::size_t watcher = 0;
  while (!SelectionOf(all, watcher).IsSelected()) ++watcher;
  selection.OnPeerContact(all[watcher], milliseconds(900), kStart);
  EXPECT_FALSE(selection.ShouldWatch(kStart + milliseconds(600)));
  EXPECT_TRUE(selection.ShouldWatch(kStart + milliseconds(800)));
  selection.OnPeerContact(all[watcher], milliseconds(2000), kStart + milliseconds(1400));
  EXPECT_TRUE(selection.ShouldWatch(kStart + milliseconds(1500)));
  // A process that would watch only as a substitute for this one is no reason to stop.
  std::size_t lowest = 0;
  for (std::size_t i = 1; i < all.size(); ++i) {
    if (RendezvousScore("op/", all[i]) < RendezvousScore("op/", all[lowest])) lowest = i;
  }
  ASSERT_NE(lowest, other);
  selection.OnPeerContact(all[lowest], milliseconds(100), kStart + milliseconds(1500));
  EXPECT_TRUE(selection.ShouldWatch(kStart + milliseconds(1500)));
}

// All watchers lose the store silently and go on to report the growing age of their last answer.
// Guards against counting from the receipt of these reports: a withdrawn key was in use for over 2
// s.
TEST(WatcherSelectionTest, ReportsOfAnOldAnswerDoNotPostponeWatching) {
  const std::vector<std::string> all = Peers(5);
  std::size_t other = 0;
  while (SelectionOf(all, other).IsSelected()) ++other;
  WatcherSelection selection = SelectionOf(all, other);
  for (int age = 0; age <= 1500; age += 500) {
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (!SelectionOf(all, i).IsSelected()) continue;
      selection.OnPeerContact(all[i], milliseconds(age), kStart + milliseconds(age));
    }
  }
  EXPECT_FALSE(selection.ShouldWatch(kStart + milliseconds(1500)));
  EXPECT_TRUE(selection.ShouldWatch(kStart + milliseconds(1700)));
}

// A large config changes in quick succession. Guards against each process getting it from every
// watcher, and against a process that gets it from none because its watcher is cut off.
TEST(WatcherSelectionTest, EachProcessGetsAChangeFromOneWatcher) {
  const std::vector<std::string> all = Peers(30);
  std::vector<std::size_t> watchers;
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (SelectionOf(all, i).IsSelected()) watchers.push_back(i);
  }
  ASSERT_EQ(watchers.size(), 3u);
  for (const std::size_t cut_off : {all.size(), watchers[0], watchers[2]}) {
    std::vector<std::size_t> sources(all.size(), 0);
    for (const std::size_t watcher : watchers) {
      if (watcher == cut_off) continue;
      WatcherSelection selection = SelectionOf(all, watcher);
      for (const std::size_t other : watchers) {
        if (other != watcher && other != cut_off) {
          selection.OnPeerContact(all[other], milliseconds(100), kStart);
        }
      }
      for (std::size_t to = 0; to < all.size(); ++to) {
        const bool forwards = to != watcher && selection.ForwardsTo(all[to], kStart);
        sources[to] += forwards ? 1 : 0;
      }
    }
    for (std::size_t to = 0; to < all.size(); ++to) {
      const bool reads = std::count(watchers.begin(), watchers.end(), to) > 0 && to != cut_off;
      EXPECT_EQ(sources[to], reads ? 0u : 1u) << to;
    }
  }
}

// The store refuses all watchers. Guards against substitutes that hear from each other and all
// stop.
TEST(WatcherSelectionTest, OneSubstituteKeepsWatching) {
  const std::vector<std::string> all = Peers(12);
  std::vector<WatcherSelection> selections;
  for (std::size_t i = 0; i < all.size(); ++i) selections.push_back(SelectionOf(all, i));
  Instant now = kStart;
  for (int round = 0; round < 20; ++round, now += milliseconds(500)) {
    std::vector<std::size_t> watching;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (!selections[i].IsSelected() && selections[i].ShouldWatch(now)) watching.push_back(i);
    }
    EXPECT_EQ(watching.size(), round == 0 ? all.size() - 3 : 1);
    for (const std::size_t from : watching) {
      for (std::size_t to = 0; to < all.size(); ++to) {
        if (to != from) selections[to].OnPeerContact(all[from], milliseconds(100), now);
      }
    }
  }
}

}  // namespace
}  // namespace savory
