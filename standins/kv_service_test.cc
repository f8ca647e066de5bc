#include "standins/kv_service.h"

#include <gtest/gtest.h>

#include "standins/kv_store.h"

namespace savory::standins {
namespace {

HttpRequest Put(const std::string& key, const std::string& version, std::string body) {
  return HttpRequest{.method = "PUT",
                     .path = "/kv/" + key,
                     .target = "/kv/" + key,
                     .headers = {{"If-Version", version}},
                     .query = {},
                     .body = std::move(body)};
}

HttpRequest Get(const std::string& key, std::multimap<std::string, std::string> query = {}) {
  return HttpRequest{.method = "GET",
                     .path = "/kv/" + key,
                     .target = "/kv/" + key,
                     .headers = {},
                     .query = std::move(query),
                     .body = {}};
}

// Guards against a lost reply whose write is not applied, or applied twice: the stand-in would then
// hide faults in the handling of claims and edits.
TEST(KvServiceTest, WriteWithLostReplyIsAppliedExactlyOnce) {
  KvService service;
  service.SetFaults({{"lose_replies", 1}, {"key_prefix", "claims/"}});
  EXPECT_EQ(service.Handle(Put("tables", "0", "t")).delivery, Delivery::kAnswer);
  EXPECT_EQ(service.Handle(Put("claims/1", "0", "a")).delivery, Delivery::kClose);
  const KvAnswer read = service.Handle(Get("claims/1"));
  EXPECT_EQ(read.reply.body, "a");
  EXPECT_EQ(HeaderValue(read.reply.headers, "X-Version"), "1");
  const KvAnswer repeat = service.Handle(Put("claims/1", "0", "a"));
  EXPECT_EQ(repeat.delivery, Delivery::kAnswer);
  EXPECT_EQ(repeat.reply.status, 409);
  EXPECT_EQ(service.Stats()["lost_replies"], 1);
}

// Guards against calls that take effect during an outage.
TEST(KvServiceTest, OutageChangesNothing) {
  KvService service;
  service.SetFaults({{"outage", true}});
  EXPECT_EQ(service.Handle(Put("tables", "0", "t")).reply.status, 503);
  service.SetFaults({{"outage", false}});
  EXPECT_EQ(service.Handle(Get("tables")).reply.status, 404);
}

// Guards against claim shards that exceed the platform's limit on a value.
TEST(KvServiceTest, RefusesValuesAboveOneMegabyte) {
  KvService service;
  const std::string largest(KvStore::kMaxValueBytes, 'x');
  EXPECT_EQ(service.Handle(Put("a", "0", largest)).reply.status, 200);
  EXPECT_EQ(service.Handle(Put("b", "0", largest + "x")).reply.status, 413);
}

// Guards against uncounted calls: the check of the call budget relies on these counts.
TEST(KvServiceTest, CountsEachCallOnce) {
  KvService service;
  service.Handle(Put("a", "0", "x"));
  service.Handle(Put("a", "0", "x"));
  service.Handle(Get("a"));
  service.Handle(Get("a", {{"after", "0"}, {"wait_ms", "1000"}}));
  EXPECT_EQ(service.Handle(Get("a", {{"after", "1"}, {"wait_ms", "0"}})).reply.status, 304);
  service.Handle(HttpRequest{.method = "POST",
                             .path = "/lease/l",
                             .target = "/lease/l",
                             .headers = {},
                             .query = {},
                             .body = R"({"holder": "h", "ttl_ms": 9})"});
  const nlohmann::json stats = service.Stats();
  EXPECT_EQ(stats["writes"], 2);
  EXPECT_EQ(stats["reads"], 1);
  EXPECT_EQ(stats["watches"], 2);
  EXPECT_EQ(stats["lease_calls"], 1);
  EXPECT_EQ(stats["total"], 6);
}

}  // namespace
}  // namespace savory::standins
