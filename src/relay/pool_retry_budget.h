// Bounds the attempts beyond the first, summed over all entries.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "base/time.h"
#include "relay/routing_index.h"

namespace savory {

struct PoolRetryBudgetOptions {
  // Over all entries: in every window, repeats to a pool are at most `ratio` x requests + `slack`.
  double ratio = 0.2;
  double slack = 100;
  Duration window = std::chrono::seconds(10);
  // Part of the bound that is used. The rest covers entries that do not know of each other yet.
  double used_fraction = 0.75;
};

// The bound holds without a coordinator: each entry counts its own requests and repeats in a
// sliding window and takes an equal part of the slack.
class PoolRetryBudget {
 public:
  explicit PoolRetryBudget(PoolRetryBudgetOptions options) : options(options) {}

  // Live entries, this one included.
  void SetEntries(std::uint32_t entries) { this->entries = std::max(1u, entries); }
  void OnRequest(std::string_view pool, Instant now);
  // Takes one repeat; false when the budget is used up.
  bool Take(std::string_view pool, Instant now);
  // Repeats that Take() would still grant.
  double Remaining(std::string_view pool, Instant now);

 private:
  struct Window {
    std::deque<Instant> requests;
    std::deque<Instant> retries;
  };

  Window& WindowOf(std::string_view pool, Instant now);

  PoolRetryBudgetOptions options;
  std::uint32_t entries = 1;
  TextMap<Window> windows = {};
};

}  // namespace savory
