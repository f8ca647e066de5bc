#include "standins/engine_memory.h"

#include <gtest/gtest.h>

namespace savory::standins {
namespace {

constexpr std::size_t kHalf = EngineMemory::kLayers / 2;

void LoadWhole(EngineMemory& memory, const std::string& manifest, std::uint64_t fence) {
  std::uint64_t load = 0;
  ASSERT_EQ(memory.Accept({.manifest = manifest, .fence = fence}, load), OrderDecision::kStart);
  ASSERT_TRUE(memory.Write(load, EngineMemory::kLayers));
  memory.Finish(load, true);
}

// Guards against WeightsInUse() that reports a fault for consecutive loads, or misses an unfinished
// load.
TEST(EngineMemoryTest, ReportsIncompleteWeightsOnlyDuringLoad) {
  EngineMemory memory(true);
  EXPECT_EQ(memory.WeightsInUse(), "");
  LoadWhole(memory, "one", 1);
  EXPECT_EQ(memory.WeightsInUse(), "one");
  const std::uint64_t generation = memory.Generation();
  std::uint64_t load = 0;
  ASSERT_EQ(memory.Accept({.manifest = "two", .fence = 2}, load), OrderDecision::kStart);
  EXPECT_EQ(memory.WeightsInUse(), "one");
  memory.Write(load, kHalf);
  EXPECT_EQ(memory.WeightsInUse(), "mixed");
  EXPECT_NE(memory.Generation(), generation);
  EXPECT_EQ(memory.Loaded(), "");
  memory.Write(load, EngineMemory::kLayers);
  EXPECT_EQ(memory.WeightsInUse(), "partial");
  memory.Finish(load, true);
  EXPECT_EQ(memory.WeightsInUse(), "two");
}

// Guards against bytes that failed verification but count as loaded.
TEST(EngineMemoryTest, WrongDigestNeverCountsAsLoaded) {
  EngineMemory memory(true);
  std::uint64_t load = 0;
  memory.Accept({.manifest = "one", .fence = 1}, load);
  memory.Write(load, EngineMemory::kLayers);
  memory.Finish(load, false);
  EXPECT_EQ(memory.Loaded(), "");
  EXPECT_EQ(memory.WeightsInUse(), "partial");
}

// Guards against an old fencing number that is accepted although the check is on.
TEST(EngineMemoryTest, RejectsOldFencingNumber) {
  EngineMemory memory(true);
  LoadWhole(memory, "two", 5);
  std::uint64_t load = 0;
  EXPECT_EQ(memory.Accept({.manifest = "one", .fence = 4}, load), OrderDecision::kStaleFence);
  EXPECT_EQ(memory.Loaded(), "two");
  EXPECT_EQ(memory.StaleRejected(), 1u);
  EXPECT_EQ(memory.StaleAccepted(), 0u);
}

// Guards against two loads that overwrite each other without being noticed: the engine reports the
// load that finished last, but its memory mixes both versions.
TEST(EngineMemoryTest, OverlappingLoadsMixWeightsWithoutFenceCheck) {
  EngineMemory memory(false);
  std::uint64_t slow = 0;
  std::uint64_t fast = 0;
  memory.Accept({.manifest = "old", .fence = 1}, slow);
  memory.Write(slow, kHalf);
  memory.Accept({.manifest = "new", .fence = 2}, fast);
  memory.Write(fast, EngineMemory::kLayers);
  memory.Finish(fast, true);
  memory.Write(slow, EngineMemory::kLayers);
  memory.Finish(slow, true);
  EXPECT_EQ(memory.Loaded(), "old");
  EXPECT_EQ(memory.WeightsInUse(), "mixed");
  std::uint64_t load = 0;
  memory.Accept({.manifest = "old", .fence = 1}, load);
  EXPECT_EQ(memory.StaleAccepted(), 1u);
}

}  // namespace
}  // namespace savory::standins
