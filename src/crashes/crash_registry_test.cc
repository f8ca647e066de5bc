#include "crashes/crash_registry.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <set>

namespace savory {
namespace {

constexpr std::size_t kEntries = 320;
constexpr Instant kStart = Instant(std::chrono::hours(1));

CrashRecordReceived Crash(const std::string& request, const std::string& vm,
                          std::uint64_t incarnation) {
  return {{.fingerprint = Sha256(request), .upstream = vm, .upstream_incarnation = incarnation}};
}

// Guards against refusing a request after a single crash, also if it is reported twice, and against
// refusing other requests.
TEST(CrashRegistryTest, TwoDistinctCrashesRefuseTheFingerprint) {
  Random random(1);
  CrashRegistry registry({}, random);
  registry.Handle(Crash("bad", "vm-1", 1), kStart);
  registry.Handle(Crash("bad", "vm-1", 1), kStart);
  registry.Handle(Crash("other", "vm-1", 1), kStart);
  EXPECT_FALSE(registry.IsRefused(Sha256("bad"), kStart));
  registry.Handle(Crash("bad", "vm-1", 2), kStart);
  EXPECT_TRUE(registry.IsRefused(Sha256("bad"), kStart));
  EXPECT_FALSE(registry.IsRefused(Sha256("other"), kStart));
  EXPECT_FALSE(registry.IsRefused(Sha256("unknown"), kStart));
}

// Guards against refusing a request that twice ran beside the one that crashes its upstreams.
TEST(CrashRegistryTest, AmbiguousSuspectsAreNotRefusedYet) {
  Random random(1);
  CrashRegistry registry({}, random);
  for (const char* vm : {"vm-1", "vm-2"}) {
    registry.Handle(Crash("bad", vm, 1), kStart);
    registry.Handle(Crash("innocent", vm, 1), kStart);
  }
  EXPECT_FALSE(registry.IsRefused(Sha256("bad"), kStart));
  registry.Handle(Crash("bad", "vm-3", 1), kStart);
  EXPECT_TRUE(registry.IsRefused(Sha256("bad"), kStart));
  EXPECT_FALSE(registry.IsRefused(Sha256("innocent"), kStart));
}

// Guards against refusing a frequent request that ran during unrelated crashes: an upstream
// answered it in between. Reports of those crashes may arrive later.
TEST(CrashRegistryTest, AnsweredRequestIsNoSuspectOfEarlierCrashes) {
  Random random(1);
  CrashRegistry registry({}, random);
  registry.Handle(CrashPeersChanged{.peers = {"p1"}}, kStart);
  registry.Handle(Crash("often", "vm-1", 1), kStart);
  const Instant answered = kStart + std::chrono::seconds(1);
  const auto actions = registry.Handle(RequestServed{.fingerprint = Sha256("often")}, answered);
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::get<CrashForward>(actions.front()).record.served);
  CrashRecordReceived late = Crash("often", "vm-2", 1);
  late.record.age = std::chrono::seconds(1);
  registry.Handle(late, answered + std::chrono::milliseconds(500));
  registry.Handle(Crash("often", "vm-3", 1), answered + std::chrono::milliseconds(500));
  EXPECT_FALSE(registry.IsRefused(Sha256("often"), answered + std::chrono::milliseconds(500)));
  EXPECT_TRUE(registry.Handle(RequestServed{.fingerprint = Sha256("unknown")}, answered).empty());
}

// Guards against an entry that never learns of crashes it missed while it was down or cut off, and
// against all entries sending it the same.
TEST(CrashRegistryTest, EntriesThatMissedRecordsGetThemFromAFew) {
  Random random(1);
  constexpr std::size_t knowing_entries = 40;
  constexpr Duration later = std::chrono::minutes(1);
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i <= knowing_entries; ++i) addresses.push_back("e" + std::to_string(i));
  CrashRegistry restarted({.self = addresses.back()}, random);
  const CrashDigestReceived empty{.peer = addresses.back(),
                                  .digest = restarted.SharedDigest(kStart)};
  std::size_t senders = 0;
  for (std::size_t i = 0; i < knowing_entries; ++i) {
    CrashRegistry knowing({.self = addresses[i]}, random);
    std::vector<std::string> others = addresses;
    std::erase(others, addresses[i]);
    knowing.Handle(CrashPeersChanged{.peers = others}, kStart);
    knowing.Handle(Crash("bad", "vm-1", 1), kStart);
    knowing.Handle(Crash("bad", "vm-2", 1), kStart);
    knowing.Handle(Crash("once", "vm-2", 1), kStart);
    const auto actions = knowing.Handle(empty, kStart + later);
    senders += actions.empty() ? 0 : 1;
    EXPECT_LE(actions.size(), 2U);  // one crash alone refuses nothing
    for (const CrashAction& action : actions) {
      const CrashRecord& record = std::get<CrashForward>(action).record;
      EXPECT_EQ(record.age, later);
      EXPECT_TRUE(restarted.Handle(CrashRecordReceived{record}, kStart + later).empty());
    }
    if (!actions.empty()) {
      EXPECT_EQ(restarted.SharedDigest(kStart + later), knowing.SharedDigest(kStart + later));
    }
  }
  EXPECT_EQ(senders, CrashRegistryOptions().resync_peers);
  const Instant end = kStart + CrashRegistryOptions().refusal_duration;
  EXPECT_TRUE(restarted.IsRefused(Sha256("bad"), end - Duration(1)));
  EXPECT_FALSE(restarted.IsRefused(Sha256("bad"), end));
}

// Guards against a refusal that ends early or never, and against records that never expire.
TEST(CrashRegistryTest, RefusalExpiresAfterTenMinutes) {
  Random random(1);
  CrashRegistry registry({}, random);
  registry.Handle(Crash("bad", "vm-1", 1), kStart);
  const Instant second_crash = kStart + std::chrono::minutes(5);
  registry.Handle(Crash("bad", "vm-2", 1), second_crash);
  const Instant end = second_crash + std::chrono::minutes(10);
  registry.Handle(CrashTick{}, end - Duration(1));
  EXPECT_TRUE(registry.IsRefused(Sha256("bad"), end - Duration(1)));
  EXPECT_FALSE(registry.IsRefused(Sha256("bad"), end));
  registry.Handle(CrashTick{}, end);
  EXPECT_EQ(registry.Fingerprints(), 0U);
}

// Guards against memory use that grows with the number of crashing requests.
TEST(CrashRegistryTest, MemoryIsBounded) {
  Random random(1);
  CrashRegistry registry({.max_fingerprints = 100}, random);
  for (int i = 0; i < 1000; ++i) registry.Handle(Crash(std::to_string(i), "vm-1", 1), kStart);
  EXPECT_EQ(registry.Fingerprints(), 100U);
  registry.Handle(Crash("999", "vm-2", 1), kStart);
  EXPECT_TRUE(registry.IsRefused(Sha256("999"), kStart));
}

// Guards against an entry that forwards a record more than once or beyond the maximum hops.
TEST(CrashRegistryTest, OnlyNewRecordsAreForwarded) {
  Random random(1);
  CrashRegistry registry({}, random);
  registry.Handle(CrashPeersChanged{.peers = {"p1", "p2", "p3", "p4", "p5", "p6"}}, kStart);
  CrashRecordReceived crash = Crash("bad", "vm-1", 1);
  const auto actions = registry.Handle(crash, kStart);
  std::set<std::string> peers;
  for (const CrashAction& action : actions) {
    const auto& forward = std::get<CrashForward>(action);
    peers.insert(forward.peer);
    EXPECT_EQ(forward.record.hops, 1U);
  }
  EXPECT_EQ(peers.size(), 4U);
  EXPECT_TRUE(registry.Handle(crash, kStart).empty());
  crash = Crash("bad", "vm-2", 1);
  crash.record.hops = 6;
  EXPECT_TRUE(registry.Handle(crash, kStart).empty());
  EXPECT_TRUE(registry.IsRefused(Sha256("bad"), kStart));
}

// Guards against a storm of messages when many requests are suspects at once: in a small fleet,
// each record is sent once to each entry.
TEST(CrashRegistryTest, SmallFleetsGetEachRecordOnce) {
  Random random(1);
  CrashRegistry detecting({.self = "e0"}, random);
  CrashRegistry receiving({.self = "e1"}, random);
  detecting.Handle(CrashPeersChanged{.peers = {"e1", "e2", "e3", "e4", "e5", "e6"}}, kStart);
  receiving.Handle(CrashPeersChanged{.peers = {"e0", "e2", "e3", "e4", "e5", "e6"}}, kStart);
  const auto sent = detecting.Handle(Crash("bad", "vm-1", 1), kStart);
  ASSERT_EQ(sent.size(), 6U);
  const CrashRecord& record = std::get<CrashForward>(sent.front()).record;
  EXPECT_TRUE(receiving.Handle(CrashRecordReceived{record}, kStart).empty());
  EXPECT_EQ(receiving.Fingerprints(), 1U);
}

// Guards against records that do not spread. Two crashes of a request are reported to one entry; at
// least 90 % of 320 entries must then refuse it.
TEST(CrashRegistryTest, RecordsReachNinetyPercentOfEntries) {
  Random random(1);
  std::vector<std::unique_ptr<CrashRegistry>> fleet;
  std::vector<std::string> peers;
  for (std::size_t i = 0; i < kEntries; ++i) peers.push_back(std::to_string(i));
  for (std::size_t i = 0; i < kEntries; ++i) {
    fleet.push_back(std::make_unique<CrashRegistry>(CrashRegistryOptions{}, random));
    std::vector<std::string> others = peers;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
    fleet.back()->Handle(CrashPeersChanged{.peers = others}, kStart);
  }
  std::deque<CrashForward> messages;
  for (const char* vm : {"vm-1", "vm-2"}) {
    messages.push_back({.peer = "0", .record = Crash("bad", vm, 1).record});
  }
  std::size_t sent = 0;
  while (!messages.empty()) {
    const CrashForward message = messages.front();
    messages.pop_front();
    ++sent;
    CrashRegistry& entry = *fleet[std::stoul(message.peer)];
    for (const CrashAction& action : entry.Handle(CrashRecordReceived{message.record}, kStart)) {
      messages.push_back(std::get<CrashForward>(action));
    }
  }
  std::size_t refusing = 0;
  for (const auto& entry : fleet) refusing += entry->IsRefused(Sha256("bad"), kStart) ? 1 : 0;
  EXPECT_GE(refusing, kEntries * 9 / 10);
  EXPECT_LE(sent, 2 * (4 * kEntries + 1));
}

}  // namespace
}  // namespace savory
