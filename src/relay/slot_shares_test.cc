#include "relay/slot_shares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace savory {
namespace {

// Guards against a slot that belongs to two entries or to none.
RC_GTEST_PROP(SlotSharesTest, EverySlotBelongsToExactlyOneEntry, ()) {
  const auto slots =
      *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 17));
  const auto rates = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 400)));
  const std::vector<double> demands(rates.begin(), rates.end());
  std::vector<std::uint32_t> sum(slots.size(), 0);
  for (std::size_t own = 0; own < demands.size(); ++own) {
    const auto shares = DivideSlots(slots, demands, own);
    for (std::size_t i = 0; i < slots.size(); ++i) sum[i] += shares[i];
  }
  RC_ASSERT(sum == slots);
}

// A data centre with more callers than its engines can serve. Guards against shares that do not
// follow the demand.
TEST(SlotSharesTest, SharesFollowTheDemand) {
  const std::vector<std::uint32_t> slots(30, 12);
  const std::vector<double> demands = {50, 100, 150};
  for (std::size_t own = 0; own < demands.size(); ++own) {
    const auto shares = DivideSlots(slots, demands, own);
    EXPECT_EQ(std::accumulate(shares.begin(), shares.end(), 0u), 60 * (own + 1));
  }
}

// Guards against an entry that gets no slots because it has no callers yet, as after a restart.
TEST(SlotSharesTest, EntryWithoutDemandHasASmallShare) {
  const std::vector<std::uint32_t> slots(30, 12);
  const auto shares = DivideSlots(slots, std::vector<double>{0, 100, 100}, 0);
  const auto total = std::accumulate(shares.begin(), shares.end(), 0u);
  EXPECT_GT(total, 0u);
  EXPECT_LT(total, 12u);
}

// Engines join and leave one at a time. Guards against dividing all slots anew: the requests in
// progress would then occupy slots of other entries.
TEST(SlotSharesTest, AddingAnEngineMovesFewSlots) {
  const std::vector<double> demands(10, 80);
  const std::vector<std::uint32_t> before(40, 12);
  const std::vector<std::uint32_t> after(41, 12);  // one more at the end
  for (std::size_t own = 0; own < demands.size(); ++own) {
    const auto old_shares = DivideSlots(before, demands, own);
    const auto new_shares = DivideSlots(after, demands, own);
    std::uint32_t lost = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
      lost += old_shares[i] > new_shares[i] ? old_shares[i] - new_shares[i] : 0;
    }
    EXPECT_LE(lost, 12u);
  }
}

// Guards against an engine whose load no entry follows, against an entry that does not follow an
// engine of its own share, and against windows that grow with the fleet.
RC_GTEST_PROP(EngineWindowTest, WindowsCoverAllEnginesAndAreBounded, ()) {
  const auto slots =
      *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(1, 17));
  const auto rates = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 400)));
  const auto min_engines = *rc::gen::inRange<std::size_t>(1, 20);
  const std::vector<double> demands(rates.begin(), rates.end());
  std::vector<std::size_t> watchers(slots.size(), 0);
  for (std::size_t own = 0; own < demands.size(); ++own) {
    const IndexRange window = EngineWindow(slots, demands, own, min_engines);
    RC_ASSERT(window.last <= slots.size());
    const auto shares = DivideSlots(slots, demands, own);
    std::size_t own_engines = 0;
    for (std::size_t i = 0; i < slots.size(); ++i) {
      const bool inside = i >= window.first && i < window.last;
      RC_ASSERT(inside || shares[i] == 0);
      own_engines += shares[i] > 0 ? 1 : 0;
      watchers[i] += inside ? 1 : 0;
    }
    const std::size_t most = std::max(3 * std::max<std::size_t>(own_engines, 1), min_engines);
    RC_ASSERT(window.last - window.first <= most);
    RC_ASSERT(window.last - window.first >= std::min(min_engines, slots.size()));
  }
  for (const std::size_t count : watchers) RC_ASSERT(count >= 1);
}

// The planned size: 320 entries before 690 engines. Guards against engines that have to report to
// many entries.
TEST(EngineWindowTest, EngineIsFollowedByFewEntriesAtThePlannedSize) {
  const std::vector<std::uint32_t> slots(690, 8);
  std::vector<double> demands(320);
  for (std::size_t i = 0; i < demands.size(); ++i) demands[i] = 10 + static_cast<double>(i % 7);
  std::vector<std::size_t> watchers(slots.size(), 0);
  for (std::size_t own = 0; own < demands.size(); ++own) {
    const IndexRange window = EngineWindow(slots, demands, own, 16);
    for (std::size_t i = window.first; i < window.last; ++i) ++watchers[i];
  }
  EXPECT_LE(*std::max_element(watchers.begin(), watchers.end()), 18u);
}

// Guards against a window that moves away when one engine of a large fleet leaves.
TEST(EngineWindowTest, RemovingAnEngineMovesAWindowByFewEngines) {
  const std::vector<double> demands(35, 40);
  for (std::size_t own = 0; own < demands.size(); ++own) {
    const auto before = EngineWindow(std::vector<std::uint32_t>(156, 8), demands, own, 16);
    const auto after = EngineWindow(std::vector<std::uint32_t>(155, 8), demands, own, 16);
    const auto distance = [](std::size_t a, std::size_t b) { return a > b ? a - b : b - a; };
    EXPECT_LE(distance(before.first, after.first), 2u);
    EXPECT_LE(distance(before.last, after.last), 2u);
  }
}

}  // namespace
}  // namespace savory
