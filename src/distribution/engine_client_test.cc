#include "distribution/engine_client.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "runtime/event_loop.h"
#include "runtime/http_server.h"
#include "runtime/workers.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kEngine[] = "127.84.0.2:26961";

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class EngineClientTest : public testing::Test {
 protected:
  EngineClientTest() {
    this->server.Handle("POST", "/v1/load", [this](const HttpRequest& request) {
      this->body = nlohmann::json::parse(request.body, nullptr, false);
      return HttpReply{.status = this->status};
    });
    this->server.Start();
  }

  LoadResponse Load(Duration time_left) {
    LoadResponse response = LoadResponse::kNotSent;
    this->client.Load(StartLoad{.manifest = Sha256("new"),
                                .fence = 7,
                                .deadline = time_left,
                                .not_after = MonotonicClock::now() + time_left},
                      [&](LoadResponse given) {
                        response = given;
                        this->loop.Stop();
                      });
    this->loop.Run();
    return response;
  }

  int status = 202;
  nlohmann::json body = {};
  HttpServer server{{.listen = kEngine, .max_connections = 4}};
  EventLoop loop;
  Workers workers{this->loop, 2};
  EngineClient client{this->workers, kEngine, "127.0.0.1:1"};
};

// Guards against a deadline that an engine counts from when it reads the request: the load then
// begins after the lease if the request is read late.
TEST_F(EngineClientTest, LoadRequestNamesTheTimeAfterWhichItMustNotBegin) {
  const std::int64_t before = UnixMs();
  EXPECT_EQ(this->Load(seconds(9)), LoadResponse::kAccepted);
  const std::int64_t after = UnixMs();
  const std::int64_t not_after = this->body.value("not_after_unix_ms", std::int64_t{0});
  EXPECT_GE(not_after, before + ToMillis(seconds(9)) - 5);
  EXPECT_LE(not_after, after + ToMillis(seconds(9)));
  EXPECT_GT(this->body.value("deadline_ms", 0), 0);
  EXPECT_EQ(this->body.value("fence", 0), 7);
}

// Guards against a refusal that is taken for a request without a reply, which keeps the engine out
// of service, and against the reverse.
TEST_F(EngineClientTest, OnlyRefusalsAreCertain) {
  for (const auto& [answered, expected] :
       {std::pair(202, LoadResponse::kAccepted), std::pair(409, LoadResponse::kStaleFence),
        std::pair(400, LoadResponse::kRefused), std::pair(500, LoadResponse::kUnknown),
        std::pair(503, LoadResponse::kUnknown)}) {
    this->status = answered;
    EXPECT_EQ(this->Load(seconds(9)), expected) << answered;
  }
}

// Guards against a request that is sent when the lease has expired.
TEST_F(EngineClientTest, ExpiredRequestIsNotSent) {
  EXPECT_EQ(this->Load(Duration(0)), LoadResponse::kNotSent);
  EXPECT_TRUE(this->body.is_null());
}

}  // namespace
}  // namespace savory
