#include "relay/agent_words.h"

#include <gtest/gtest.h>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr UpstreamStart kStart = {.id = "a", .started_unix_ms = 7};
constexpr char kAddress[] = "10.0.0.1:80";

EngineReport Report(bool accepting) {
  return {.address = kAddress, .accepting = accepting, .weights_version = 1};
}

EngineAvailability PassedOn(bool accepting) {
  return {.address = kAddress, .accepting = accepting, .weights_version = 1};
}

// Guards against memory that grows with each engine whose agent refuses requests.
TEST(AgentWordsTest, OldestRefusalIsForgottenBeyondTheLimit) {
  AgentWords words({.max_engines = 2});
  Instant now = Instant(seconds(1));
  for (const char* id : {"a", "b", "a", "c"}) {
    now += seconds(1);
    words.AddReport({.id = id}, Report(false), 1, now);
  }
  EXPECT_EQ(words.Size(), 2u);
  EXPECT_TRUE(words.IsRefusing({.id = "a"}, now));
  EXPECT_FALSE(words.IsRefusing({.id = "b"}, now));
  EXPECT_TRUE(words.IsRefusing({.id = "c"}, now));
}

// The list of upstreams is read in an older state. Guards against a refusal that is lost by it, and
// one of an earlier start that counts for a later one.
TEST(AgentWordsTest, RefusalAppliesToItsStartAndEarlierReadingsOfTheList) {
  AgentWords words;
  const Instant now = Instant(seconds(1));
  words.AddReport(kStart, Report(false), 1, now);
  EXPECT_TRUE(words.IsRefusing({.id = "a", .started_unix_ms = 6}, now));
  EXPECT_FALSE(words.IsRefusing({.id = "a", .started_unix_ms = 8}, now));
  words.AddReport({.id = "a", .started_unix_ms = 6}, Report(true), 1, now);
  EXPECT_TRUE(words.IsRefusing(kStart, now));
  words.AddReport(kStart, Report(true), 1, now);
  EXPECT_FALSE(words.IsRefusing(kStart, now));
  EXPECT_EQ(words.Size(), 0u);
}

// An agent refuses requests, serves again and is silent, while another entry still passes on the
// refusal. Guards against an engine that is lost by a word older than the agent's last one, and
// against the loss of a refusal that the agent's silence may hide.
TEST(AgentWordsTest, LaterOfTheWordsHeardFromBothCounts) {
  AgentWords words;
  Instant now = Instant(seconds(1));
  words.AddPassedOn(kStart, PassedOn(false), 1, now);
  words.AddReport(kStart, Report(true), 1, now);
  EXPECT_FALSE(words.IsRefusing(kStart, now));
  now += milliseconds(10);
  words.AddPassedOn(kStart, PassedOn(false), 1, now);
  EXPECT_TRUE(words.IsRefusing(kStart, now));
  words.AddPassedOn(kStart, PassedOn(true), 1, now);
  EXPECT_FALSE(words.IsRefusing(kStart, now));
}

// An agent refuses requests before a load, and again as the load is not proven. Guards against an
// older word, passed on from between the two, that ends the second refusal.
TEST(AgentWordsTest, NewerRefusalIsNotEndedByAnOlderWordOfTheSameWeights) {
  AgentWords words;
  const Instant now = Instant(seconds(1));
  words.AddReport(kStart, Report(false), 1, now);
  words.AddReport(kStart, Report(false), 2, now + seconds(1));
  words.AddPassedOn(kStart, {.address = kAddress, .weights_version = 2}, 2, now + seconds(2));
  EXPECT_TRUE(words.IsRefusing(kStart, now + seconds(2)));
}

}  // namespace
}  // namespace savory
