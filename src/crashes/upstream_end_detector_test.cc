#include "crashes/upstream_end_detector.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));

UpstreamProcess Process(std::int64_t started = 1000) {
  return {.id = "u1", .address = "10.0.0.1:80", .started_unix_ms = started};
}

CrashSuspect Request(std::string_view name) { return {.fingerprint = Sha256(name)}; }

// Number of suspects in the only action, an UpstreamEnded; 0 if there is none.
std::size_t Suspects(const std::vector<UpstreamEndAction>& actions) {
  if (actions.size() != 1) return 0;
  const auto* ended = std::get_if<UpstreamEnded>(&actions.front());
  return ended == nullptr ? 0 : ended->suspects.size();
}

class UpstreamEndDetectorTest : public ::testing::Test {
 protected:
  // Two requests lose their connections; only the first causes a probe.
  void LoseTwo() {
    const auto first = this->detector.OnConnectionLost(Process(), Request("a"), kStart);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<ProbeUpstreamProcess>(first.front()));
    EXPECT_TRUE(this->detector.OnConnectionLost(Process(), Request("b"), kStart).empty());
  }

  UpstreamEndDetector detector;
};

// Guards against missing the end of an upstream, and against leaving out requests whose connections
// are noticed to be lost after it.
TEST_F(UpstreamEndDetectorTest, RefusedConnectionProvesTheEnd) {
  this->LoseTwo();
  EXPECT_EQ(Suspects(this->detector.OnProbed(Process(), ProbeResult::kRefused, kStart)), 2U);
  EXPECT_EQ(Suspects(this->detector.OnConnectionLost(Process(), Request("c"), kStart)), 1U);
  EXPECT_TRUE(this->detector.OnProbed(Process(), ProbeResult::kRefused, kStart).empty());
}

// Guards against taking a reset or a cut for the end of the upstream.
TEST_F(UpstreamEndDetectorTest, LostConnectionsAloneProveNothing) {
  this->LoseTwo();
  EXPECT_TRUE(this->detector.OnProbed(Process(), ProbeResult::kAccepted, kStart).empty());
  EXPECT_TRUE(this->detector.OnProbed(Process(), ProbeResult::kUndecided, kStart).empty());
  EXPECT_TRUE(this->detector.OnListed(Process(), kStart).empty());
  this->detector.OnAnswered("u1", 1000);
  EXPECT_FALSE(this->detector.HasSuspicion());
  EXPECT_TRUE(this->detector.OnListed(Process(2000), kStart).empty());
}

// Guards against missing an end that is listed first, and against forgetting what ran at the later
// start.
TEST_F(UpstreamEndDetectorTest, LossAfterALaterStartProvesTheEnd) {
  EXPECT_EQ(Suspects(this->detector.OnLostAfterEnd(Process(500), Request("c"), kStart)), 1U);
  EXPECT_FALSE(this->detector.HasSuspicion());
  this->LoseTwo();
  EXPECT_EQ(Suspects(this->detector.OnLostAfterEnd(Process(500), Request("c"), kStart)), 1U);
  EXPECT_EQ(Suspects(this->detector.OnListed(Process(2000), kStart)), 2U);
  EXPECT_EQ(Suspects(this->detector.OnLostAfterEnd(Process(), Request("d"), kStart)), 1U);
}

// Guards against missing an end because answers that were sent before it are read late.
TEST_F(UpstreamEndDetectorTest, AnswersBeforeTheProbeProveNothing) {
  this->LoseTwo();
  this->detector.OnAnswered("u1", 1000);
  EXPECT_EQ(Suspects(this->detector.OnProbed(Process(), ProbeResult::kRefused, kStart)), 2U);
}

// Guards against missing the end of an upstream that is back before the probe, under its former id
// or another one.
TEST_F(UpstreamEndDetectorTest, LaterStartProvesTheEnd) {
  this->LoseTwo();
  this->detector.OnProbed(Process(), ProbeResult::kAccepted, kStart);
  UpstreamProcess other = Process(2000);
  other.id = "u2";
  other.address = "10.0.0.2:80";
  EXPECT_TRUE(this->detector.OnListed(other, kStart).empty());
  other.address = Process().address;
  EXPECT_EQ(Suspects(this->detector.OnListed(other, kStart + seconds(3))), 2U);
  EXPECT_TRUE(this->detector.OnListed(Process(2000), kStart + seconds(3)).empty());
}

// Guards against a restart long after a lost connection that counts as its cause, and against
// suspicions without a bound.
TEST_F(UpstreamEndDetectorTest, SuspicionsExpireAndAreBounded) {
  this->LoseTwo();
  EXPECT_TRUE(this->detector.OnListed(Process(2000), kStart + seconds(8)).empty());
  EXPECT_FALSE(this->detector.HasSuspicion());
  UpstreamEndDetector bounded({.max_upstreams = 1, .max_requests = 2});
  for (int i = 0; i < 5; ++i) {
    bounded.OnConnectionLost(Process(), Request(std::to_string(i)), kStart);
  }
  UpstreamProcess other = Process();
  other.id = "u2";
  EXPECT_TRUE(bounded.OnConnectionLost(other, Request("x"), kStart).empty());
  EXPECT_EQ(Suspects(bounded.OnProbed(Process(), ProbeResult::kRefused, kStart)), 2U);
}

}  // namespace
}  // namespace savory
