#include "distribution/origin_read_order.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr std::uint32_t kChunks = 48;
constexpr std::uint32_t kChunkBytes = 1000;

// Guards against more chunks being due at a moment than the origin can have sent.
TEST(OriginReadOrderTest, ChunksAreDueAtTheRateOfTheOrigin) {
  OriginReadOrder order(10 * kChunkBytes);  // ten chunks a second
  order.Start(kStart, kChunks, kChunkBytes, [](std::uint32_t) { return true; });
  EXPECT_EQ(order.EarliestRead(0), kStart);
  EXPECT_EQ(order.EarliestRead(3), kStart);
  for (std::uint32_t chunk = 0; chunk < kChunks; ++chunk) {
    EXPECT_LE(order.EarliestRead(chunk), order.ExpectedEnd(chunk));
    const double sent = ToSeconds(order.ExpectedEnd(chunk) - kStart) * 10;
    EXPECT_GE(sent, chunk + 1);
  }
}

// The origin was away while most chunks were missing. Guards against times that count from the
// start of the copy, or that wait for chunks which are there.
TEST(OriginReadOrderTest, ReadsAfterAnOutageStartAnew) {
  OriginReadOrder order(10 * kChunkBytes);
  order.Start(kStart, kChunks, kChunkBytes, [](std::uint32_t) { return true; });
  const Instant back = kStart + seconds(30);
  order.Start(back, kChunks, kChunkBytes, [](std::uint32_t chunk) { return chunk >= 40; });
  EXPECT_EQ(order.EarliestRead(40), back);
  EXPECT_GT(order.EarliestRead(47), back);
  EXPECT_LE(order.ExpectedEnd(47), back + std::chrono::milliseconds(1200));
}

}  // namespace
}  // namespace savory
