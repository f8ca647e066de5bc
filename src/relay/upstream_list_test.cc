#include "relay/upstream_list.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));

// Guards against losing every upstream for two seconds when the store returns after an outage in
// which the entries lapsed.
TEST(UpstreamListTest, LapsedEntriesStayUntilTheyCanBeBack) {
  UpstreamList list;
  list.Set({.id = "a"});
  list.Set({.id = "b"});
  EXPECT_FALSE(list.Remove("a", kStart + milliseconds(100), kStart));
  EXPECT_FALSE(list.Remove("b", kStart + milliseconds(100), kStart));
  list.Set({.id = "b"});
  EXPECT_TRUE(list.TakeExpired(kStart + seconds(2)).empty());
  EXPECT_EQ(list.TakeExpired(kStart + milliseconds(2300)), std::vector<std::string>{"a"});
  EXPECT_EQ(list.All().size(), 1u);
}

// Guards against sending to an upstream that was removed for good a while after the store returned:
// kcw-recell trouble-1 broke DRAIN when the grace counted from the removal.
TEST(UpstreamListTest, GraceEndsWithTheReturnOfTheStore) {
  UpstreamList list;
  list.Set({.id = "a"});
  EXPECT_FALSE(list.Remove("a", kStart + milliseconds(2100), kStart));
  EXPECT_EQ(list.TakeExpired(kStart + milliseconds(2200)), std::vector<std::string>{"a"});
  list.Set({.id = "b"});
  EXPECT_TRUE(list.Remove("b", kStart + milliseconds(2300), kStart));
}

// Guards against a grace when the store was never away.
TEST(UpstreamListTest, RemovalCountsAtOnceWithoutAnOutage) {
  UpstreamList list;
  list.Set({.id = "a"});
  EXPECT_TRUE(list.Remove("a", kStart, Instant()));
}

}  // namespace
}  // namespace savory
