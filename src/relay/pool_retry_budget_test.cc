#include "relay/pool_retry_budget.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));

// The upstreams of a pool fail for many seconds and every entry tries to retry everything. Guards
// against more retries in any window than the entries may send together.
TEST(PoolRetryBudgetTest, BoundHoldsOverAllEntriesInEveryWindow) {
  constexpr int entries = 5;
  const PoolRetryBudgetOptions options{.ratio = 0.2, .slack = 100};
  std::vector<PoolRetryBudget> budgets(entries, PoolRetryBudget(options));
  std::vector<Instant> requests;
  std::vector<Instant> retries;
  for (int ms = 0; ms < 40'000; ms += 5) {
    const Instant now = kStart + milliseconds(ms);
    for (int entry = 0; entry < entries; ++entry) {
      PoolRetryBudget& budget = budgets[static_cast<std::size_t>(entry)];
      budget.SetEntries(entries);
      if ((ms / 5 + entry) % 4 != 0) continue;  // 250 requests a second over all entries
      budget.OnRequest("pool", now);
      requests.push_back(now);
      while (budget.Take("pool", now)) retries.push_back(now);
    }
  }
  for (Instant begin = kStart; begin < kStart + seconds(30); begin += milliseconds(100)) {
    const auto within = [&](const std::vector<Instant>& times) {
      return std::count_if(times.begin(), times.end(), [&](Instant time) {
        return time >= begin && time < begin + options.window;
      });
    };
    EXPECT_LE(static_cast<double>(within(retries)),
              options.ratio * static_cast<double>(within(requests)) + options.slack);
  }
}

// Guards against one pool using another pool's budget.
TEST(PoolRetryBudgetTest, PoolsHaveSeparateBudgets) {
  PoolRetryBudget budget({.slack = 4, .used_fraction = 1});
  int granted = 0;
  while (budget.Take("a", kStart)) ++granted;
  EXPECT_EQ(granted, 4);
  EXPECT_TRUE(budget.Take("b", kStart));
}

}  // namespace
}  // namespace savory
