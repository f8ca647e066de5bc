#include "relay/event_cutter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savory {
namespace {

// Guards against half an event that reaches a caller before another upstream goes on.
TEST(EventCutterTest, OnlyWholeEventsAreGiven) {
  EventCutter cutter;
  EXPECT_TRUE(cutter.Feed("id: 1\ndata: a").empty());
  EXPECT_TRUE(cutter.Feed("b\n").empty());
  const auto events = cutter.Feed("\nid: 2\nda");
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].text, "id: 1\ndata: ab\n\n");
  EXPECT_EQ(events[0].id, 1u);
  EXPECT_EQ(cutter.Rest(), "id: 2\nda");
}

TEST(EventCutterTest, LinesMayEndWithCarriageReturns) {
  EventCutter cutter;
  const auto events = cutter.Feed("id: 7\r\ndata: x\r\n\r\n");
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].id, 7u);
  EXPECT_TRUE(cutter.Rest().empty());
}

// Guards against an endless event filling the memory.
TEST(EventCutterTest, HugeEventsArePassedOnInPieces) {
  EventCutter cutter;
  const std::string piece(EventCutter::kMaxEventBytes, 'x');
  EXPECT_TRUE(cutter.Feed(piece).empty());
  EXPECT_EQ(cutter.Feed("y").size(), 1u);
  EXPECT_TRUE(cutter.Rest().empty());
}

// Guards against events that depend on how the bytes arrive.
RC_GTEST_PROP(EventCutterTest, AnyCutOfTheBytesGivesTheSameEvents, ()) {
  std::string stream;
  const auto count = *rc::gen::inRange(0, 6);
  for (int i = 0; i < count; ++i) {
    const std::string end = *rc::gen::element<std::string>("\n", "\r\n");
    stream.append("id: ").append(std::to_string(i)).append(end);
    stream.append("data: ").append(*rc::gen::inRange<std::size_t>(0, 9), 'z');
    stream.append(end).append(end);
  }
  stream += *rc::gen::element<std::string>("", "id: 99\n", "data: rest");
  const std::string_view whole = stream;
  EventCutter cutter;
  std::string given;
  std::vector<std::uint64_t> ids;
  std::size_t at = 0;
  while (at < stream.size()) {
    const auto step = *rc::gen::inRange<std::size_t>(1, 7);
    for (const StreamEvent& event : cutter.Feed(whole.substr(at, step))) {
      given += event.text;
      if (event.id) ids.push_back(*event.id);
    }
    at += step;
  }
  RC_ASSERT(given + std::string(cutter.Rest()) == stream);
  RC_ASSERT(ids.size() == static_cast<std::size_t>(count));
}

}  // namespace
}  // namespace savory
