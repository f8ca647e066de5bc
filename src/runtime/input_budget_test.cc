#include "runtime/input_budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace savory {
namespace {

using std::chrono::milliseconds;

// Stands for connections.
const std::array<char, 64> kIds = {};

InputBudget::Id Id(std::size_t number) { return &kIds[number]; }
Instant At(int ms) { return Instant(milliseconds(ms)); }

// A crowd of bodies that stop short, and a caller that sends its own meanwhile.
TEST(InputBudgetTest, OldestUnfinishedRequestsMakeRoomForALaterCaller) {
  InputBudget budget({.max_bytes = 1000});
  for (std::size_t i = 0; i < 10; ++i) {
    budget.Set(Id(i), {HolderPhase::kUnfinished, 100, At(static_cast<int>(i))});
  }
  EXPECT_EQ(budget.NextForBytes(), std::nullopt);
  budget.Set(Id(20), {HolderPhase::kUnfinished, 50, At(20)});
  EXPECT_EQ(budget.NextForBytes(), Id(0));
}

// A small request that is slow is not ended for the memory that others hold.
TEST(InputBudgetTest, HolderOfLittleIsNotTheCause) {
  InputBudget budget({.max_bytes = 1000});
  budget.Set(Id(0), {HolderPhase::kUnfinished, 10, At(0)});
  budget.Set(Id(1), {HolderPhase::kUnfinished, 600, At(1)});
  budget.Set(Id(2), {HolderPhase::kUnfinished, 600, At(2)});
  EXPECT_EQ(budget.NextForBytes(), Id(1));
}

// Whole requests that wait for an upstream hold all of the budget: none of them is lost.
TEST(InputBudgetTest, WholeRequestsAreKept) {
  InputBudget budget({.max_bytes = 1000, .max_connections = 2});
  budget.Set(Id(0), {HolderPhase::kAnswering, 900, At(0)});
  budget.Set(Id(1), {HolderPhase::kAnswering, 900, At(0)});
  EXPECT_EQ(budget.NextForBytes(), std::nullopt);
  EXPECT_EQ(budget.NextForConnection(), std::nullopt);
  EXPECT_TRUE(budget.IsFull());
}

// Many connections that send nothing, or stop in their head, beside callers between two requests.
TEST(InputBudgetTest, ConnectionsBetweenRequestsAreGivenUpLast) {
  InputBudget budget({.max_connections = 4});
  budget.Set(Id(0), {HolderPhase::kIdle, 0, At(0)});
  budget.Set(Id(1), {HolderPhase::kFresh, 0, At(1)});
  budget.Set(Id(2), {HolderPhase::kUnfinished, 0, At(2)});
  EXPECT_EQ(budget.NextForConnection(), std::nullopt);
  budget.Set(Id(3), {HolderPhase::kClosing, 0, At(3)});
  for (const std::size_t next : {3, 2, 1, 0}) {
    EXPECT_EQ(budget.NextForConnection(), Id(next));
    budget.Remove(Id(next));
    budget.Set(Id(next + 10), {HolderPhase::kAnswering, 0, At(9)});
  }
  EXPECT_EQ(budget.NextForConnection(), std::nullopt);
}

// Callers that send on behind a request that waits, on all connections.
TEST(InputBudgetTest, CallersThatSendOnDoNotKeepOthersOut) {
  InputBudget budget({.max_bytes = 1000, .max_connections = 3});
  budget.Set(Id(0), {HolderPhase::kPipelining, 900, At(0)});
  budget.Set(Id(1), {HolderPhase::kLastAnswer, 900, At(1)});
  budget.Set(Id(2), {HolderPhase::kAnswering, 900, At(2)});
  EXPECT_EQ(budget.NextForBytes(), Id(0));
  EXPECT_EQ(budget.NextForConnection(), Id(1));
  budget.Set(Id(1), {HolderPhase::kAnswering, 900, At(1)});
  EXPECT_EQ(budget.NextForConnection(), Id(0));
}

// Machines that are small, large or not known.
TEST(InputBudgetTest, OneRequestFitsOnEachMachine) {
  EXPECT_EQ(BudgetOfMachine(0, 0, 4000).max_bytes, 0u);
  EXPECT_EQ(BudgetOfMachine(0, 0, 4000).max_connections, 0u);
  EXPECT_EQ(BudgetOfMachine(1000, 0, 4000).max_bytes, 8000u);
  EXPECT_EQ(BudgetOfMachine(160'000, 4100, 4000).max_bytes, 40'000u);
  EXPECT_EQ(BudgetOfMachine(0, 4100, 0).max_connections, 1950u);
  EXPECT_EQ(BudgetOfMachine(0, 1, 0).max_connections, 1u);
}

// Any crowd: giving up what is named, until nothing is, leaves only whole requests or fits.
RC_GTEST_PROP(InputBudgetProperty, GivingUpMakesRoom, ()) {
  InputBudget budget({.max_bytes = 1000, .max_connections = 16});
  std::uint64_t kept = 0;
  for (std::size_t i = 0; i < kIds.size(); ++i) {
    const auto phase = static_cast<HolderPhase>(*rc::gen::inRange(0, 9));
    const bool holds = phase != HolderPhase::kFresh && phase != HolderPhase::kIdle;
    const std::size_t bytes = holds ? *rc::gen::inRange<std::size_t>(0, 200) : 0;
    if (phase == HolderPhase::kAnswering || phase == HolderPhase::kLastAnswer) kept += bytes;
    budget.Set(Id(i), {phase, bytes, At(*rc::gen::inRange(0, 100))});
  }
  while (const auto next = budget.NextForBytes()) {
    RC_ASSERT(budget.PhaseOf(*next) != HolderPhase::kAnswering);
    budget.Remove(*next);
  }
  RC_ASSERT(budget.HeldBytes() <= std::max<std::uint64_t>(1000, kept));
}

}  // namespace
}  // namespace savory
