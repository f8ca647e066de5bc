#include "relay/slot_shares.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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

}  // namespace
}  // namespace savory
