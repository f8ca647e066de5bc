#include "relay/routing_index.h"

#include <gtest/gtest.h>

#include <chrono>

namespace savory {
namespace {

RoutingRules Rules() {
  RoutingRules rules{.version = 7};
  rules.routes.push_back({.name = "all", .host = "shop.example", .path_prefix = "/"});
  rules.routes.push_back({.name = "jobs", .host = "shop.example", .path_prefix = "/jobs/"});
  rules.routes.push_back(
      {.name = "open", .host = "shop.example", .path_prefix = "/jobs/open/", .auth_exempt = true});
  rules.routes.push_back({.name = "other", .host = "other.example", .path_prefix = "/jobs/"});
  rules.accounts.push_back({.name = "kochi", .api_keys = {"k1", "k2"}});
  return rules;
}

std::string Find(const RoutingIndex& index, std::string_view host, std::string_view target) {
  const RouteRule* route = index.FindRoute(host, target);
  return route == nullptr ? "none" : route->name;
}

// Guards against a match of a shorter prefix, another host, or a prefix that ends inside a path
// segment.
TEST(RoutingIndexTest, LongestPrefixOfTheHostWins) {
  const RoutingIndex index(Rules());
  EXPECT_EQ(Find(index, "shop.example", "/jobs/open/1?x=/jobs/"), "open");
  EXPECT_EQ(Find(index, "Shop.Example:8080", "/jobs/1"), "jobs");
  EXPECT_EQ(Find(index, "shop.example", "/jobs"), "all");
  EXPECT_EQ(Find(index, "shop.example", "/jobsx/1"), "all");
  EXPECT_EQ(Find(index, "other.example", "/jobs/open/1"), "other");
  EXPECT_EQ(Find(index, "other.example", "/1"), "none");
  EXPECT_EQ(Find(index, "unknown.example", "/jobs/1"), "none");
}

// Guards against a key that gives access to another account, and against requiring a key on exempt
// routes.
TEST(RoutingIndexTest, KeysBelongToOneAccount) {
  const RoutingIndex index(Rules());
  EXPECT_EQ(index.FindAccount("k2")->name, "kochi");
  EXPECT_EQ(index.FindAccount("k"), nullptr);
  EXPECT_TRUE(index.NeedsApiKey(*index.FindRoute("shop.example", "/jobs/1")));
  EXPECT_FALSE(index.NeedsApiKey(*index.FindRoute("shop.example", "/jobs/open/1")));
}

// A route table of thousands of routes. Guards against a lookup that scans them.
TEST(RoutingIndexTest, LookupTimeIsIndependentOfTheNumberOfRoutes) {
  RoutingRules rules;
  for (int i = 0; i < 20'000; ++i) {
    rules.routes.push_back({.name = std::to_string(i),
                            .host = "shop.example",
                            .path_prefix = "/r" + std::to_string(i) + "/"});
  }
  const RoutingIndex index(std::move(rules));
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 20'000; ++i) {
    ASSERT_EQ(Find(index, "shop.example", "/r" + std::to_string(i) + "/x"), std::to_string(i));
  }
  // Scanning 20,000 routes for each lookup would take minutes.
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(5));
}

// Guards against interrupting a request that must not run twice so that its engine can load
// weights.
TEST(RoutingIndexTest, PoolIsResumableOnlyIfAllItsRoutesAre) {
  const auto resumes = [](RouteRule other) {
    RoutingRules rules{.version = 1};
    rules.routes.push_back({.name = "chat",
                            .host = "a",
                            .path_prefix = "/chat/",
                            .kind = RequestKind::kStream,
                            .pools = {{.pool = "engines"}},
                            .max_attempts = 2,
                            .resumable = true});
    rules.routes.push_back(std::move(other));
    return RoutingIndex(std::move(rules)).AllRoutesResumable("engines");
  };
  const std::vector<PoolShare> engines = {{.pool = "ledger"}, {.pool = "engines"}};
  EXPECT_TRUE(resumes({.path_prefix = "/other/", .pools = {{.pool = "ledger"}}}));
  EXPECT_TRUE(resumes({.kind = RequestKind::kIdempotent, .pools = engines, .max_attempts = 2}));
  EXPECT_FALSE(resumes({.kind = RequestKind::kNonIdempotent, .pools = engines, .max_attempts = 2}));
  EXPECT_FALSE(resumes({.kind = RequestKind::kStream, .pools = engines, .max_attempts = 2}));
  EXPECT_FALSE(resumes(
      {.kind = RequestKind::kStream, .pools = engines, .max_attempts = 1, .resumable = true}));
}

}  // namespace
}  // namespace savory
