#include "records/record_mirror.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savory {
namespace {

std::vector<std::string> KeysOf(const RecordUpdate& update) {
  std::vector<std::string> keys;
  for (const Record& record : update.records) {
    keys.push_back((record.removed ? "-" : "") + record.key);
  }
  return keys;
}

// Guards against a record reverting to an older value when an older change arrives later from a
// peer.
TEST(RecordMirrorTest, OlderChangesOfAKeyAreIgnored) {
  RecordMirror mirror;
  mirror.Apply({.records = {{.key = "a", .value = "new", .revision = 5}}, .as_of = 5});
  const auto changed =
      mirror.Apply({.records = {{.key = "a", .value = "old", .revision = 3}}, .as_of = 4});
  EXPECT_TRUE(changed.empty());
  EXPECT_EQ(mirror.AsOf(), 5u);
  EXPECT_EQ(mirror.ChangesAfter(0).records.at(0).value, "new");
}

// Guards against a peer that keeps removed records because only live ones are sent to it.
TEST(RecordMirrorTest, RemovalsAreIncludedInUpdates) {
  RecordMirror mirror;
  mirror.Apply({.records = {{.key = "a", .revision = 1}, {.key = "b", .revision = 2}}, .as_of = 2});
  mirror.Apply({.records = {{.key = "a", .revision = 7, .removed = true}}, .as_of = 7});
  EXPECT_EQ(KeysOf(mirror.ChangesAfter(2)), std::vector<std::string>{"-a"});
  EXPECT_EQ(mirror.Size(), 1u);
}

// Guards against a mirror that counts as complete although a push was lost. On kcw-recell-grown,
// entries therefore sent the agents different lists of engines, and no engine loaded a new version.
TEST(RecordMirrorTest, UpdateWithAGapDoesNotAdvanceTheRevision) {
  RecordMirror source;
  RecordMirror behind;
  source.Apply({.records = {{.key = "a", .revision = 1}}, .as_of = 1});
  behind.Apply(source.ChangesAfter(0));
  source.Apply({.records = {{.key = "b", .revision = 2}}, .after = 1, .as_of = 2});
  source.Apply({.records = {{.key = "c", .revision = 3}}, .after = 2, .as_of = 3});
  EXPECT_EQ(behind.Apply(source.ChangesAfter(2)).size(), 1u);
  EXPECT_EQ(behind.AsOf(), 1u);
  behind.Apply(source.ChangesAfter(behind.AsOf()));
  EXPECT_EQ(behind.AsOf(), 3u);
  EXPECT_EQ(behind.Size(), 3u);
}

// Guards against keeping records that a full listing lacks, and against dropping a record that is
// newer than the listing.
TEST(RecordMirrorTest, FullUpdateRemovesUnlistedRecords) {
  RecordMirror mirror;
  mirror.Apply({.records = {{.key = "a", .revision = 1}, {.key = "b", .revision = 9}}, .as_of = 9});
  const auto changed =
      mirror.Apply({.records = {{.key = "c", .revision = 4}}, .as_of = 8, .full = true});
  ASSERT_EQ(changed.size(), 2u);
  EXPECT_EQ(mirror.Size(), 2u);  // b and c
  EXPECT_EQ(mirror.AsOf(), 9u);
}

// Guards against two mirrors that differ after the same changes in a different order, some of them
// applied twice, and against a mirror that cannot catch up from another one.
RC_GTEST_PROP(RecordMirrorTest, OrderAndDuplicatesDoNotMatter, ()) {
  std::vector<Record> changes;
  const auto count = *rc::gen::inRange(1, 30);
  for (int i = 1; i <= count; ++i) {
    changes.push_back({.key = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 5))),
                       .value = std::to_string(i),
                       .revision = static_cast<std::uint64_t>(i),
                       .removed = *rc::gen::arbitrary<bool>()});
  }
  RecordMirror in_order;
  for (const Record& change : changes) {
    in_order.Apply({.records = {change}, .as_of = change.revision});
  }
  RecordMirror shuffled;
  auto order = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, changes.size()));
  for (const std::size_t i : order) shuffled.Apply({.records = {changes[i]}, .as_of = 0});
  shuffled.Apply(in_order.ChangesAfter(shuffled.AsOf()));
  const auto live = [](const RecordMirror& mirror) {
    std::vector<std::string> found;
    for (const Record& record : mirror.ChangesAfter(0).records) {
      if (!record.removed) found.push_back(record.key + record.value);
    }
    return found;
  };
  RC_ASSERT(live(shuffled) == live(in_order));
  RC_ASSERT(shuffled.Size() == in_order.Size());
}

}  // namespace
}  // namespace savory
