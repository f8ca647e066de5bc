#include "standins/kv_store.h"

#include <gtest/gtest.h>

namespace savory::standins {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTtl = milliseconds(1000);
const Instant kStart = Instant() + std::chrono::hours(1);

// Guards against a stand-in that overwrites a newer version and so hides lost edits.
TEST(KvStoreTest, WritesOnlyAtTheExpectedVersion) {
  KvStore store;
  EXPECT_TRUE(store.CompareAndSwap("tables", "a", 0).written);
  const SwapResult late = store.CompareAndSwap("tables", "b", 0);
  EXPECT_FALSE(late.written);
  EXPECT_EQ(late.version, 1u);
  EXPECT_EQ(store.Find("tables")->bytes, "a");
  EXPECT_EQ(store.CompareAndSwap("tables", "b", 1).version, 2u);
}

// Guards against a lease that is held beyond its TTL: it would hide a holder that acts too late.
TEST(KvStoreTest, LeaseExpiresExactlyAtItsTtl) {
  KvStore store;
  const auto first = store.Acquire("load/p/0", "a", kTtl, kStart);
  ASSERT_TRUE(first);
  EXPECT_FALSE(store.Acquire("load/p/0", "b", kTtl, kStart + kTtl - milliseconds(1)));
  EXPECT_FALSE(store.Renew("load/p/0", "a", *first, kTtl, kStart + kTtl));
  const auto second = store.Acquire("load/p/0", "b", kTtl, kStart + kTtl);
  ASSERT_TRUE(second);
  EXPECT_GT(*second, *first);
  EXPECT_EQ(store.HeldLeases(kStart + kTtl), 1u);
}

// Guards against a paused holder that renews or releases the lease of its successor.
TEST(KvStoreTest, OldFenceNeitherRenewsNorReleases) {
  KvStore store;
  const auto old_fence = store.Acquire("load/p/0", "a", kTtl, kStart);
  const Instant later = kStart + 2 * kTtl;
  const auto fence = store.Acquire("load/p/0", "b", kTtl, later);
  EXPECT_FALSE(store.Renew("load/p/0", "a", *old_fence, kTtl, later));
  EXPECT_FALSE(store.Release("load/p/0", "a", *old_fence, later));
  EXPECT_FALSE(store.Renew("load/p/0", "b", *old_fence, kTtl, later));
  EXPECT_TRUE(store.Renew("load/p/0", "b", *fence, kTtl, later));
}

// Guards against fencing numbers that repeat after a release or on a second lease.
TEST(KvStoreTest, FencingNumbersIncreaseAcrossLeases) {
  KvStore store;
  std::uint64_t last = 0;
  for (const char* name : {"load/p/0", "load/p/1", "load/p/0"}) {
    const auto fence = store.Acquire(name, "a", kTtl, kStart);
    ASSERT_TRUE(fence);
    EXPECT_GT(*fence, last);
    last = *fence;
    EXPECT_TRUE(store.Release(name, "a", *fence, kStart));
  }
}

}  // namespace
}  // namespace savory::standins
