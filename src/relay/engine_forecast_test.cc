#include "relay/engine_forecast.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

EngineRates Rates() {
  return {.slots = 16,
          .step = Duration(7400),
          .step_per_request = Duration(39),
          .step_per_1000_context = Duration(20),
          .steps_per_event = 6,
          .prefill_tokens_per_second = 31'900,
          .attention_seconds_per_million_pairs = 0.000733,
          .mean_prompt_tokens = 972,
          .mean_answer_tokens = 106};
}

// Computed by hand from the published rates: six steps of 7.4 ms, and with 16 requests 0.039 ms for
// each of them and 0.02 ms for each of 16 x 1.025 thousand tokens of context.
TEST(EngineForecastTest, EventTimeFollowsThePublishedRates) {
  EXPECT_NEAR(ToSeconds(EventTime(Rates(), 0)), 0.0444, 1e-4);
  EXPECT_NEAR(ToSeconds(EventTime(Rates(), 16)), 0.0501, 2e-4);
}

// A request takes 106 / 6 events of 50 ms, and 16 prompts of 31 ms are processed meanwhile; the
// engine has 16 slots.
TEST(EngineForecastTest, SlotIntervalIsTheServiceTimeDividedByTheSlots) {
  EXPECT_NEAR(ToSeconds(SlotInterval(Rates())), 0.086, 0.004);
}

// Guards against forecasting the same latency for an engine that is full, slow or processing
// prompts as for a free one.
TEST(EngineForecastTest, FirstEventIsLaterOnABusyEngine) {
  const Duration free = Forecast(Rates(), {}, 970).first_event;
  EXPECT_NEAR(ToSeconds(free), 0.0448 + 0.0308, 2e-3);
  const Duration prefilling =
      Forecast(Rates(), {.requests = 4, .prefill_tokens = 3190}, 970).first_event;
  EXPECT_GT(prefilling, free + std::chrono::milliseconds(100));
  const Duration full = Forecast(Rates(), {.requests = 18}, 970).first_event;
  EXPECT_GT(full, free + 2 * SlotInterval(Rates()));
  const Duration slow = Forecast(Rates(), {.pace = 5}, 970).first_event;
  EXPECT_NEAR(ToSeconds(slow), 5 * ToSeconds(free), 1e-3);
}

}  // namespace
}  // namespace savory
