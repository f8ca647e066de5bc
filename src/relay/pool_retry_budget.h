// Bounds the number of retries to each pool, summed over all entries.
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
  // Over all entries, retries to a pool in any window are at most `ratio` x requests + `slack`.
  double ratio = 0.2;
  double slack = 100;
  Duration window = std::chrono::seconds(10);
  // Fraction of the bound that is used. The rest covers entries that do not know of each other yet.
  double used_fraction = 0.75;
  // Fraction of what is used that Spare() leaves to retries without which an answer is lost.
  double reserved_fraction = 0.3;
};

// The bound holds without coordination: each entry counts its own requests and retries in a sliding
// window and uses an equal part of the slack.
class PoolRetryBudget {
 public:
  explicit PoolRetryBudget(PoolRetryBudgetOptions options) : options(options) {}

  // Sets the number of live entries, this one included.
  void SetEntries(std::uint32_t entries) { this->entries = std::max(1u, entries); }
  void OnRequest(std::string_view pool, Instant now);
  // Consumes one retry; returns false if the budget is exhausted.
  bool Take(std::string_view pool, Instant now);
  // Returns a retry taken at `taken_at` that was not sent.
  void GiveBack(std::string_view pool, Instant taken_at, Instant now);
  // Number of retries that Take() would still grant.
  double Remaining(std::string_view pool, Instant now);
  // The same for retries that can be done without.
  double Spare(std::string_view pool, Instant now);

 private:
  struct Window {
    std::deque<Instant> requests;
    std::deque<Instant> retries;
  };

  Window& WindowOf(std::string_view pool, Instant now);
  double Bound(const Window& window) const;

  PoolRetryBudgetOptions options;
  std::uint32_t entries = 1;
  TextMap<Window> windows = {};
};

}  // namespace savory
