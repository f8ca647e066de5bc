#include "relay/event_splitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savory {
namespace {

// Guards against forwarding part of an event before another upstream resumes the stream.
TEST(EventSplitterTest, OnlyCompleteEventsAreReturned) {
  EventSplitter splitter;
  EXPECT_TRUE(splitter.Feed("id: 1\ndata: a").empty());
  EXPECT_TRUE(splitter.Feed("b\n").empty());
  const auto events = splitter.Feed("\nid: 2\nda");
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].text, "id: 1\ndata: ab\n\n");
  EXPECT_EQ(events[0].id, 1u);
  EXPECT_EQ(splitter.Remainder(), "id: 2\nda");
}

TEST(EventSplitterTest, LinesMayEndWithCarriageReturns) {
  EventSplitter splitter;
  const auto events = splitter.Feed("id: 7\r\ndata: x\r\n\r\n");
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0].id, 7u);
  EXPECT_TRUE(splitter.Remainder().empty());
}

// Guards against an endless event that exhausts the memory.
TEST(EventSplitterTest, HugeEventsAreReturnedInParts) {
  EventSplitter splitter;
  const std::string chunk(EventSplitter::kMaxEventBytes, 'x');
  EXPECT_TRUE(splitter.Feed(chunk).empty());
  EXPECT_EQ(splitter.Feed("y").size(), 1u);
  EXPECT_TRUE(splitter.Remainder().empty());
}

// Guards against results that depend on how the bytes are split into reads.
RC_GTEST_PROP(EventSplitterTest, AnySplitOfTheBytesGivesTheSameEvents, ()) {
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
  EventSplitter splitter;
  std::string output;
  std::vector<std::uint64_t> ids;
  std::size_t at = 0;
  while (at < stream.size()) {
    const auto step = *rc::gen::inRange<std::size_t>(1, 7);
    for (const StreamEvent& event : splitter.Feed(whole.substr(at, step))) {
      output += event.text;
      if (event.id) ids.push_back(*event.id);
    }
    at += step;
  }
  RC_ASSERT(output + std::string(splitter.Remainder()) == stream);
  RC_ASSERT(ids.size() == static_cast<std::size_t>(count));
}

}  // namespace
}  // namespace savory
