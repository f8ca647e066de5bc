#include "runtime/peer_transport.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string_view>
#include <thread>

#include "base/metrics.h"
#include "runtime/event_loop.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

constexpr char kOwn[] = "127.0.0.1:27110";
constexpr char kOther[] = "127.0.0.1:27111";
constexpr int kMinQueue = 4096;

wire::Envelope Offer(std::uint64_t as_of) {
  wire::Envelope message;
  message.mutable_records_offer()->set_as_of(as_of);
  return message;
}

// Delivers `count` messages one at a time, so that none waits, to a peer that is gone afterwards.
void DeliverAndLosePeer(PeerTransport& own, int count) {
  EventLoop loop;
  Metrics metrics;
  PeerTransport other(loop, metrics, {.listen = kOther, .vm = "other"});
  int received = 0;
  const auto send = [&own] { EXPECT_TRUE(own.Send(kOther, Lane::kControl, Offer(1))); };
  other.Subscribe(wire::Envelope::kRecordsOffer, [&](const wire::Envelope&, auto) {
    if (++received == count) return loop.Stop();
    send();
  });
  send();
  loop.After(std::chrono::seconds(20), [&loop] { loop.Stop(); });
  loop.Run();
  ASSERT_EQ(received, count);
}

// Guards against a peer address that cannot be connected to, as one with zero bytes in it: ZeroMQ
// throws, which ended the process and ended it again after each restart.
TEST(PeerTransportTest, BadAddressesDropTheMessageOnly) {
  EventLoop loop;
  Metrics metrics;
  PeerTransport own(loop, metrics, {.listen = kOwn, .vm = "own"});
  PeerTransport other(loop, metrics, {.listen = kOther, .vm = "other"});
  std::uint64_t received = 0;
  other.Subscribe(wire::Envelope::kRecordsOffer, [&](const wire::Envelope& message, auto) {
    received = message.records_offer().as_of();
    loop.Stop();
  });
  using std::string_view_literals::operator""sv;
  for (const std::string_view bad :
       {"127.0.0.9\0\0:80"sv, ""sv, "x"sv, "127.0.0.1:99999"sv, "no host:1"sv}) {
    EXPECT_FALSE(own.Send(bad, Lane::kControl, Offer(1))) << bad;
  }
  EXPECT_TRUE(own.Send(kOther, Lane::kControl, Offer(2)));
  loop.After(std::chrono::seconds(5), [&loop] { loop.Stop(); });
  loop.Run();
  EXPECT_EQ(received, 2u);
}

// Guards against delivered messages that take places in the queue: ZeroMQ frees the places only in
// batches. A stopping agent dropped parts of an answer while its entry stood still.
TEST(PeerTransportTest, DeliveredMessagesLeaveTheWholeQueueFree) {
  for (const int delivered : {1, 2047, 4095}) {
    SCOPED_TRACE(delivered);
    EventLoop loop;
    Metrics metrics;
    PeerTransport own(loop, metrics, {.listen = kOwn, .vm = "own"});
    DeliverAndLosePeer(own, delivered);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));  // the connection has ended
    int queued = 0;
    while (queued <= 2 * kMinQueue && own.Send(kOther, Lane::kControl, Offer(1))) ++queued;
    EXPECT_GE(queued, kMinQueue);
    EXPECT_LE(queued, 2 * kMinQueue);
  }
}

}  // namespace
}  // namespace savory
