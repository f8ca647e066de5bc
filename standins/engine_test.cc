#include "standins/engine.h"

#include <gtest/gtest.h>

#include <thread>

#include "base/digest.h"
#include "runtime/http_client.h"
#include "standins/standin_server.h"

namespace savory::standins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "127.84.0.1";
constexpr int kPort = 26962;
constexpr char kNobody[] = "http://127.0.0.1:1/weights/";  // the load fails if it begins
constexpr int kLateMs = 300;
constexpr int kDeadlineMs = 150;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class EngineTest : public testing::Test {
 protected:
  void Serve(EngineOptions options) {
    this->engine = std::make_unique<Engine>(std::move(options), json::object());
    this->engine->Mount(this->server);
    ASSERT_TRUE(this->server.bind_to_port(kHost, kPort)) << "cannot listen";
    this->listener = std::thread([this] { this->server.listen_after_bind(); });
  }

  void TearDown() override {
    this->client = HttpClient(Address());
    while (this->listener.joinable() && !this->server.is_running()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    this->server.stop();
    if (this->listener.joinable()) this->listener.join();
  }

  static std::string Address() { return std::string(kHost) + ":" + std::to_string(kPort); }

  json Post(const std::string& path, const json& body) {
    const auto answer = this->client.Call({.method = "POST", .target = path, .body = body.dump()});
    return answer ? json::parse(answer.value().body, nullptr, false) : json();
  }

  // Waits until the load has begun or expired, and returns the engine's counts.
  json CountsAfterLoad() {
    const Instant limit = MonotonicClock::now() + seconds(10);
    json counts;
    while (MonotonicClock::now() < limit) {
      const auto answer = this->client.Call({.target = "/admin/stats"});
      if (answer) counts = json::parse(answer.value().body, nullptr, false);
      if (counts.value("orders_expired", 0) + counts.value("load_failures", 0) > 0) break;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return counts;
  }

  // Sends a load request that the engine reads after the time until which it may begin.
  void SendLateRequest() {
    this->Post("/admin/fault", {{"late_loads", 1}, {"late_load_ms", kLateMs}});
    const std::string manifest = Sha256("new").Hex();
    this->Post("/v1/load", {{"manifest", manifest},
                            {"url", kNobody + manifest},
                            {"fence", 1},
                            {"deadline_ms", kDeadlineMs},
                            {"not_after_unix_ms", UnixMs() + kDeadlineMs}});
  }

  std::unique_ptr<Engine> engine;
  StandinServer server{Address()};
  std::thread listener;
  HttpClient client{Address()};
};

// Guards against a load that begins after its lease, because the engine has read the request late.
TEST_F(EngineTest, RequestReadAfterItsTimeDoesNotBegin) {
  this->Serve({});
  this->SendLateRequest();
  const json counts = this->CountsAfterLoad();
  EXPECT_EQ(counts.value("orders_expired", 0), 1);
  EXPECT_EQ(counts.value("load_failures", 0), 0);
}

// Guards against a stand-in that hides what an engine does that counts the deadline from when it
// has read the request.
TEST_F(EngineTest, EngineThatCountsFromReadingBeginsLate) {
  this->Serve({.check_not_after = false});
  this->SendLateRequest();
  const json counts = this->CountsAfterLoad();
  EXPECT_EQ(counts.value("orders_expired", 0), 0);
  EXPECT_EQ(counts.value("load_failures", 0), 1);
}

}  // namespace
}  // namespace savory::standins
