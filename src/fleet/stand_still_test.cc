// An entry whose machine stands still, and reads afterwards what was sent to it before.
#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <vector>

#include "base/digest.h"
#include "base/metrics.h"
#include "fleet/entry_links.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace {

// How long the machine appears to have stood still, in seconds.
std::atomic<std::int64_t> stood_still_seconds = 0;

}  // namespace

// Replaces the C library's function in this test program.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(syscall(SYS_clock_gettime, clock, time));
  if (clock == CLOCK_BOOTTIME) time->tv_sec += stood_still_seconds;
  return result;
}

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t kPeerPort = 27123;
constexpr char kPool[] = "chat";
// Messages of this program arrive within this time.
constexpr auto kDelivery = milliseconds(100);

std::string Host(int number) { return "127.79.1." + std::to_string(number); }
std::string PeerAt(int number) { return Host(number) + ":" + std::to_string(kPeerPort); }

// One entry, and the sockets of an agent and of another entry, which say what the test wants.
class StandStillTest : public ::testing::Test {
 protected:
  StandStillTest() {
    this->links.SetEngines({{.id = "e",
                             .pool = kPool,
                             .address = Host(3) + ":80",
                             .data_centre = "dc",
                             .is_engine = true}});
    this->links.OnEntriesChange([this](const auto&) { ++this->changes; });
    this->other.Subscribe(
        wire::Envelope::kEntryStatus, [this](const wire::Envelope& message, auto) {
          for (const wire::EngineAvailability& row : message.entry_status().engines()) {
            this->passed_on_as_refusing.push_back(row.refusing());
          }
        });
    this->links.Start();
  }

  // Ends early when the machine stands still.
  void RunFor(Duration time) {
    this->loop.After(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  void SendAgentStatus(bool refusing) {
    wire::Envelope message;
    message.mutable_engine_status()->set_refusing(refusing);
    this->agent.Send(this->self, Lane::kControl, std::move(message));
  }

  void SendEntryStatus() {
    wire::Envelope message;
    message.mutable_entry_status()->set_period_ms(1000);
    this->other.Send(this->self, Lane::kControl, std::move(message));
  }

  static int FirstResponsible() {
    return RendezvousScore(PeerAt(3), PeerAt(1)) > RendezvousScore(PeerAt(3), PeerAt(2)) ? 1 : 2;
  }

  EventLoop loop;
  Metrics metrics;
  const int number = FirstResponsible();
  const std::string self = PeerAt(number);
  PeerTransport transport{loop, metrics, {.listen = self, .vm = Host(number)}};
  PeerTransport other{loop, metrics, {.listen = PeerAt(3 - number), .vm = Host(3 - number)}};
  PeerTransport agent{loop, metrics, {.listen = PeerAt(3), .vm = Host(3)}};
  EntryLinks links{
      loop,
      transport,
      metrics,
      {.presence = {.self = self, .seeds = {PeerAt(3 - number)}}, .peer_port = kPeerPort}};
  std::vector<bool> passed_on_as_refusing = {};
  int changes = 0;
};

// An agent serves, then refuses requests; the entry reads both words after a stand-still. Guards
// against passing the first one on as if it were true now.
TEST_F(StandStillTest, OnlyTheLastOfTheWordsReadAfterItIsPassedOn) {
  this->SendEntryStatus();
  this->SendAgentStatus(false);
  this->RunFor(milliseconds(600));
  ASSERT_FALSE(this->passed_on_as_refusing.empty());
  EXPECT_FALSE(this->passed_on_as_refusing.back());
  // The posted task and both messages are ready in the same turn of the loop.
  this->loop.After(Duration(0), [this] {
    this->loop.Post([this] {
      stood_still_seconds += 4;
      this->passed_on_as_refusing.clear();
    });
    this->SendAgentStatus(false);
    this->SendAgentStatus(true);
    std::this_thread::sleep_for(kDelivery);
  });
  this->RunFor(milliseconds(400));
  this->RunFor(milliseconds(400));
  ASSERT_FALSE(this->passed_on_as_refusing.empty());
  for (const bool refusing : this->passed_on_as_refusing) EXPECT_TRUE(refusing);
}

// The status of another entry arrives while this one stands still, or as it ends. Guards against
// taking the other one for gone, and its part of what they share, before the status is read.
TEST_F(StandStillTest, EntryWhoseStatusIsNotReadYetIsNotGone) {
  this->SendEntryStatus();
  this->RunFor(milliseconds(400));
  ASSERT_EQ(this->changes, 1);
  this->loop.Post([this] {
    this->SendEntryStatus();
    std::this_thread::sleep_for(kDelivery);
    stood_still_seconds += 20;
  });
  this->RunFor(milliseconds(400));
  this->RunFor(milliseconds(400));
  EXPECT_EQ(this->changes, 1);
}

}  // namespace
}  // namespace savory
