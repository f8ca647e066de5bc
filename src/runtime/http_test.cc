#include <gtest/gtest.h>

#include "base/digest.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"

namespace savory {
namespace {

constexpr char kAddress[] = "127.0.0.1:26901";

HttpReply StreamOf(int parts, bool complete) {
  return HttpReply{.content_type = "text/plain", .stream = [=](const HttpSink& sink) {
                     for (int i = 0; i < parts; ++i) sink(AsBytes("part "));
                     return complete;
                   }};
}

class HttpTest : public ::testing::Test {
 protected:
  HttpTest() : server({.listen = kAddress, .max_connections = 4}) {
    this->server.Handle("GET", "/complete", [](const HttpRequest&) { return StreamOf(3, true); });
    this->server.Handle("GET", "/broken", [](const HttpRequest&) { return StreamOf(3, false); });
    this->server.Start();
  }

  HttpServer server;
};

// Guards against an answer that ends early being taken for a complete one.
TEST_F(HttpTest, BrokenStreamIsAnError) {
  const auto answer = HttpClient(kAddress).Call({.target = "/broken"});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind, ErrorKind::kTimeout);
}

TEST_F(HttpTest, CompleteStreamArrivesWhole) {
  const auto answer = HttpClient(kAddress).Call({.target = "/complete"});
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.value().body, "part part part ");
}

// Guards against a call that was never sent being reported as possibly executed.
TEST_F(HttpTest, RefusedConnectionIsUnavailable) {
  const auto answer = HttpClient("127.0.0.1:26902").Call({});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind, ErrorKind::kUnavailable);
}

// Guards against a consumer that stops reading being reported as a failure of the server.
TEST_F(HttpTest, ConsumerCanCancel) {
  const auto answer = HttpClient(kAddress).Call(
      {.target = "/complete"}, {.on_part = [](std::span<const std::byte>) { return false; }});
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind, ErrorKind::kCancelled);
}

// Guards against an answer without end that is kept in memory.
TEST_F(HttpTest, AnswerLongerThanAllowedIsGivenUp) {
  const BlockingHttpCall fitting{.target = "/complete", .max_answer_bytes = 15};
  EXPECT_TRUE(HttpClient(kAddress).Call(fitting));
  const BlockingHttpCall tight{.target = "/complete", .max_answer_bytes = 14};
  const auto answer = HttpClient(kAddress).Call(tight);
  ASSERT_FALSE(answer);
  EXPECT_EQ(answer.error().kind, ErrorKind::kMalformed);
}

// Guards against header lookups that depend on the case of the name.
TEST(HttpHeadersTest, NamesIgnoreCase) {
  const HttpHeaders headers = {{"Retry-After", "2"}};
  EXPECT_EQ(HeaderValue(headers, "retry-after"), "2");
  EXPECT_EQ(HeaderValue(headers, "retry"), "");
}

}  // namespace
}  // namespace savory
