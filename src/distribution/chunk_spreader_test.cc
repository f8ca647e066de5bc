#include "distribution/chunk_spreader.h"

#include <gtest/gtest.h>

#include <cstdio>

#include "distribution/spread_harness.h"

namespace savory {
namespace {

using std::chrono::seconds;

constexpr double kMaxTimeRatio = 1.25;
constexpr double kMaxCopies = 1.05;
constexpr double kMaxCopiesUnderFaults = 1.5;

HarnessOptions FleetOf32() {
  return HarnessOptions{.agents = 32, .chunks = 384, .link = 64 * 1024, .origin_rate = 128 * 1024};
}

// Guards against a loss of the targets for time and origin bytes.
TEST(ChunkSpreader, MeetsTheTargetsWithoutFaults) {
  for (const bool favour_origin_bytes : {false, true}) {
    HarnessOptions options = FleetOf32();
    options.favour_origin_bytes = favour_origin_bytes;
    SpreadHarness harness(options);
    harness.StartAll();
    ASSERT_TRUE(harness.RunUntilWhole(seconds(60)));
    std::printf("ratio %.3f copies %.3f control %zu\n", harness.Seconds() / harness.BoundSeconds(),
                harness.OriginCopies(), harness.control_messages);
    EXPECT_LE(harness.Seconds() / harness.BoundSeconds(), kMaxTimeRatio);
    EXPECT_LE(harness.OriginCopies(), kMaxCopies);
  }
}

}  // namespace
}  // namespace savory
