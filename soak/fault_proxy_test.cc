#include "soak/fault_proxy.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "base/digest.h"
#include "runtime/event_loop.h"
#include "runtime/tcp_connection.h"
#include "runtime/tcp_listener.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr char kListen[] = "127.86.0.1:27611";
constexpr char kTarget[] = "127.86.0.2:27611";

struct Peer : TcpHandler {
  std::string received = {};
  std::optional<TcpEnd> end = {};

  void OnBytes(std::span<const std::byte> bytes) override { this->received += AsText(bytes); }
  void OnEnd(TcpEnd ended) override { this->end = ended; }
};

class FaultProxyTest : public ::testing::Test {
 protected:
  FaultProxyTest() {
    EXPECT_TRUE(this->listener
                    .Listen(kTarget,
                            [this](uv_stream_s* server) {
                              this->accepted = std::make_unique<TcpConnection>(
                                  this->loop, server, this->target, TcpOptions{});
                            })
                    .has_value());
    EXPECT_TRUE(this->proxy.Listen().has_value());
    this->connection =
        std::make_unique<TcpConnection>(this->loop, kListen, this->client, TcpOptions{});
  }

  void RunFor(Duration duration) {
    this->loop.After(duration, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  void Send(std::string_view bytes) {
    this->connection->Write({&bytes, 1});
    this->RunFor(milliseconds(50));
  }

  EventLoop loop;
  TcpListener listener{this->loop};
  FaultProxy proxy{this->loop, kListen, kTarget};
  Peer client;
  Peer target;
  std::unique_ptr<TcpConnection> accepted = {};
  std::unique_ptr<TcpConnection> connection = {};
};

// Guards against soak runs in which a stopped machine does not get what it would get as it wakes.
TEST_F(FaultProxyTest, KeepsBytesAndOrderlyCloseWhileItHolds) {
  this->Send("a");
  this->proxy.Hold();
  this->Send("b");
  this->Send("c");
  this->connection->CloseWhenSent();
  this->RunFor(milliseconds(50));
  EXPECT_EQ(this->target.received, "a");
  EXPECT_FALSE(this->target.end.has_value());
  this->proxy.Release();
  this->RunFor(milliseconds(50));
  EXPECT_EQ(this->target.received, "abc");
  EXPECT_EQ(this->target.end, TcpEnd::kClosed);
}

// Guards against soak runs in which a stopped machine gets more than it would get as it wakes.
TEST_F(FaultProxyTest, ResetTakesAwayWhatIsHeld) {
  this->Send("a");
  this->proxy.Hold();
  this->Send("b");
  this->connection->Reset();
  this->RunFor(milliseconds(50));
  this->proxy.Release();
  this->RunFor(milliseconds(50));
  EXPECT_EQ(this->target.received, "a");
  EXPECT_EQ(this->target.end, TcpEnd::kReset);
}

}  // namespace
}  // namespace savory
