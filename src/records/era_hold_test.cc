#include "records/era_hold.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace savory {
namespace {

constexpr Duration kGrace = std::chrono::seconds(10);

Instant At(int second) { return Instant() + std::chrono::seconds(second); }

std::string ValueOf(const RecordMirror& mirror, const std::string& key) {
  const auto found = mirror.Records().find(key);
  return found == mirror.Records().end() || found->second.removed ? "" : found->second.value;
}

Record Row(const std::string& key, const std::string& value, std::uint64_t revision) {
  return {.key = key, .value = value, .revision = revision};
}

class EraHoldTest : public ::testing::Test {
 protected:
  // Everything is known up to revision 20; the store comes back from its copy at 15 and lost that
  // `config` was changed, that `joined` joined and that `left` left.
  EraHoldTest() {
    this->hold.ApplyAnswer(
        {.records = {Row("config", "old", 3), Row("left", "l", 4)}, .as_of = 10, .full = true},
        At(0));
    this->hold.ApplyAnswer({.records = {Row("config", "new", 17),
                                        Row("joined", "j", 18),
                                        {.key = "left", .revision = 19, .removed = true}},
                            .after = 10,
                            .as_of = 20},
                           At(0));
  }
  std::vector<Record> List(std::uint64_t era, std::uint64_t as_of, std::vector<Record> records,
                           int second) {
    return this->hold.ApplyAnswer(
        {.records = std::move(records), .as_of = as_of, .full = true, .era = era}, At(second));
  }
  std::string State() const {
    return ValueOf(this->mirror, "config") + "," + ValueOf(this->mirror, "joined") + "," +
           ValueOf(this->mirror, "left");
  }

  RecordMirror mirror;
  EraHold hold{this->mirror, kGrace};
};

// Guards against settings that revert, an upstream that returns after it left, and one that is lost
// after it joined, until those who wrote these write them again, or the grace is over.
TEST_F(EraHoldTest, NothingRevertsInTheGraceAndTheStoreCountsAfterIt) {
  EXPECT_TRUE(this->List(1, 15, {Row("config", "old", 3), Row("left", "l", 4)}, 100).empty());
  EXPECT_EQ(this->State(), "new,j,");
  EXPECT_EQ(this->hold.Kept(), 3u);
  EXPECT_EQ(this->mirror.Position(), (RecordPosition{.era = 1, .revision = 15}));
  this->hold.ApplyAnswer(
      {.records = {Row("config", "newer", 16)}, .after = 15, .as_of = 16, .era = 1}, At(101));
  EXPECT_EQ(this->State(), "newer,j,") << "a change that is watched counts at once";
  EXPECT_TRUE(this->hold.Settle(At(109)).empty());
  EXPECT_EQ(this->hold.Settle(At(110)).size(), 2u);
  EXPECT_EQ(this->State(), "newer,,l");
}

// The lost changes were written again with the same values. Guards against listeners that take that
// for news (a cold upstream would begin its warm-up again).
TEST_F(EraHoldTest, WritingAgainIsNoNews) {
  this->List(1, 15, {Row("config", "old", 3), Row("left", "l", 4)}, 100);
  const auto changed =
      this->hold.ApplyAnswer({.records = {Row("config", "new", 16),
                                          Row("joined", "j", 17),
                                          {.key = "left", .revision = 18, .removed = true}},
                              .after = 15,
                              .as_of = 18,
                              .era = 1},
                             At(101));
  EXPECT_TRUE(changed.empty());
  EXPECT_TRUE(this->hold.Settle(At(110)).empty());
  EXPECT_EQ(this->State(), "new,j,");
}

// Guards against a revision that was given out again and is taken for the one that is known, and
// against one that went on beyond what is known and is taken for an older one.
TEST_F(EraHoldTest, RevisionsGivenOutAgainCountIfTheyMustBeNewer) {
  this->List(1, 25,
             {Row("config", "newest", 17), Row("joined", "j2", 24), Row("left", "l2", 22),
              Row("late", "x", 23)},
             100);
  EXPECT_EQ(this->State(), "newest,j2,l2");
  EXPECT_EQ(ValueOf(this->mirror, "late"), "x");
}

// An upstream restarted between the store's return and the listing. Guards against its old start
// that counts for the whole grace, so that ends of upstreams are not understood.
TEST(EraHoldNewerTest, ValuesThatTellTheirAgeCountAtOnce) {
  RecordMirror mirror;
  EraHold hold(mirror, kGrace, [](const Record& known, const Record& listed) {
    return listed.value > known.value;
  });
  hold.ApplyAnswer({.records = {Row("a", "5", 8), Row("b", "5", 9)}, .as_of = 20, .full = true},
                   At(0));
  hold.ApplyAnswer(
      {.records = {Row("a", "6", 7), Row("b", "4", 3)}, .as_of = 12, .full = true, .era = 1},
      At(1));
  EXPECT_EQ(ValueOf(mirror, "a"), "6");
  EXPECT_EQ(ValueOf(mirror, "b"), "5");
}

// The second copy may be from before the first return, where higher revisions are older. Guards
// against a second return that reverts what was kept at the first one.
TEST_F(EraHoldTest, TwoErasInARowRevertNothing) {
  this->List(1, 15, {Row("config", "old", 3), Row("left", "l", 4)}, 100);
  this->hold.ApplyAnswer(
      {.records = {Row("config", "newer", 16)}, .after = 15, .as_of = 16, .era = 1}, At(101));
  this->List(2, 19, {Row("config", "new", 17), Row("joined", "j", 18)}, 105);
  EXPECT_EQ(this->State(), "newer,j,");
  EXPECT_TRUE(this->hold.Settle(At(110)).empty()) << "the grace begins again";
  this->hold.Settle(At(115));
  EXPECT_EQ(this->State(), "new,j,");
}

// Guards against answers of an older era that come late and revert a record, and against changes
// that are applied on top of an era that was not listed.
TEST_F(EraHoldTest, AnswersOfOtherErasAreIgnored) {
  const RecordUpdate newer{.records = {Row("config", "x", 30)}, .after = 20, .as_of = 30, .era = 1};
  EXPECT_TRUE(this->hold.ApplyAnswer(newer, At(100)).empty());
  this->List(1, 15, {Row("config", "new", 14)}, 100);
  const RecordUpdate late{.records = {Row("config", "y", 99)}, .after = 20, .as_of = 99};
  EXPECT_TRUE(this->hold.ApplyAnswer(late, At(100)).empty());
  EXPECT_TRUE(this->hold.ApplyPeerUpdate(late).empty());
  EXPECT_EQ(this->State(), "new,j,");
}

// The history is forgotten during the grace. Guards against changes of the new era between the two
// listings that are kept back until the grace is over.
TEST_F(EraHoldTest, LaterListingsOfTheEraShowWhatChanged) {
  this->List(1, 15, {Row("config", "old", 3), Row("left", "l", 4), Row("joined", "j", 5)}, 100);
  this->List(1, 18, {Row("config", "newer", 17), Row("left", "l", 4)}, 102);
  EXPECT_EQ(this->State(), "newer,,");
}

// ---- a store whose writers write again what it lost, and processes that mirror it ----

struct Write {
  std::string key;
  int serial = 0;  // order in time; the value
  bool removed = false;
  std::uint64_t revision = 0;
};

struct ModelStore {
  std::uint64_t era = 0;
  std::uint64_t revision = 1;
  int serial = 0;
  std::vector<Write> log = {};                  // of this era and the copy that it began with
  std::map<std::string, Write> truth = {};      // as the writers know it
  std::vector<std::vector<Write>> copies = {};  // the logs of the last steps

  void Put(Write write) {
    write.revision = ++this->revision;
    this->log.push_back(write);
    this->truth[write.key] = write;
  }
  void WriteNew(const std::string& key, bool removed) {
    this->Put({.key = key, .serial = ++this->serial, .removed = removed});
  }
  std::map<std::string, Write> Items() const {
    std::map<std::string, Write> items;
    for (const Write& write : this->log) items[write.key] = write;
    return items;
  }
  void Return(std::size_t copy) {
    this->log = this->copies[copy];
    this->revision = this->log.empty() ? 1 : this->log.back().revision;
    ++this->era;
  }
  void WriteAgain() {
    const auto items = this->Items();
    for (const auto& [key, write] : std::map(this->truth)) {
      const auto found = items.find(key);
      const bool there = found != items.end() && !found->second.removed;
      if (write.removed ? there : !there || found->second.serial != write.serial) this->Put(write);
    }
  }
  static Record Encode(const Write& write) {
    return {.key = write.key,
            .value = write.removed ? "" : std::to_string(write.serial),
            .revision = write.revision,
            .removed = write.removed};
  }
  RecordUpdate Answer(RecordPosition after, bool full) const {
    RecordUpdate update{
        .after = after.revision, .as_of = this->revision, .full = full, .era = this->era};
    if (full) {
      for (const auto& [key, write] : this->Items()) {
        if (!write.removed) update.records.push_back(Encode(write));
      }
      return update;
    }
    for (const Write& write : this->log) {
      if (write.revision > after.revision) update.records.push_back(Encode(write));
    }
    return update;
  }
};

struct MirrorProcess {
  RecordMirror mirror = {};
  EraHold hold{mirror, kGrace};
  std::map<std::string, int> seen = {};  // serial of the latest state of each key

  void Read(const ModelStore& store, Instant now) {
    const RecordPosition position = this->mirror.Position();
    const bool list = position == RecordPosition() || position.era != store.era ||
                      position.revision > store.revision;
    this->hold.ApplyAnswer(store.Answer(position, list), now);
  }
  void Tell(MirrorProcess& peer, RecordPosition after) const {
    if (this->mirror.Position() == RecordPosition()) return;
    peer.hold.ApplyPeerUpdate(this->hold.ChangesAfter(after));
  }
  // `removals`: serials of each key's removals.
  void CheckNothingReverted(const std::map<std::string, std::set<int>>& removals) {
    for (const auto& [key, record] : this->mirror.Records()) {
      const int before = this->seen.contains(key) ? this->seen[key] : 0;
      // A process that has just started may hear from its peers of something else.
      if (record.revision == 0) continue;
      if (!record.removed) {
        RC_ASSERT(std::stoi(record.value) >= before);
        this->seen[key] = std::stoi(record.value);
      } else if (before > 0 && (!removals.contains(key) || !removals.at(key).contains(before))) {
        RC_ASSERT(removals.contains(key));
        const auto removal = removals.at(key).upper_bound(before);
        RC_ASSERT(removal != removals.at(key).end());
        this->seen[key] = *removal;
      }
    }
  }
};

// Copies up to seven seconds old, also in a row, between processes that read, miss answers, restart
// and tell each other what they know in any order. Guards against any record that reverts at any
// process that knew it, and against processes that do not agree with the store in the end.
RC_GTEST_PROP(EraHoldProperty, NothingRevertsAndAllAgreeInTheEnd, ()) {
  ModelStore store;
  std::vector<std::unique_ptr<MirrorProcess>> processes;
  processes.reserve(3);
  for (int i = 0; i < 3; ++i) processes.push_back(std::make_unique<MirrorProcess>());
  std::map<std::string, std::set<int>> removals;
  int second = 100;
  int write_again_at = 0;
  const int steps = *rc::gen::inRange(5, 80);
  for (int step = 0; step < steps; ++step) {
    ++second;
    store.copies.push_back(store.log);
    if (store.copies.size() > 7) store.copies.erase(store.copies.begin());
    const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
    const int action = *rc::gen::inRange(0, 10);
    if (action < 4) {
      const bool removed = action == 0 && store.truth.contains(key);
      store.WriteNew(key, removed);
      if (removed) removals[key].insert(store.serial);
    } else if (action == 4) {
      store.Return(*rc::gen::inRange<std::size_t>(0, store.copies.size()));
      write_again_at = second + *rc::gen::inRange(1, 4);
    } else if (action == 5) {
      processes[static_cast<std::size_t>(*rc::gen::inRange(0, 3))] =
          std::make_unique<MirrorProcess>();
    }
    if (second == write_again_at) store.WriteAgain();
    for (std::size_t i = 0; i < processes.size(); ++i) {
      MirrorProcess& process = *processes[i];
      if (*rc::gen::inRange(0, 3) > 0) process.Read(store, At(second));
      MirrorProcess& peer = *processes[(i + 1) % processes.size()];
      const bool all = *rc::gen::arbitrary<bool>();
      process.Tell(peer, all ? RecordPosition() : peer.mirror.Position());
      process.hold.Settle(At(second));
      for (const auto& each : processes) each->CheckNothingReverted(removals);
    }
  }
  store.WriteAgain();
  for (int i = 0; i < 2; ++i) {
    second += 30;
    for (const auto& process : processes) {
      process->Read(store, At(second));
      process->hold.Settle(At(second + 20));
      process->Read(store, At(second + 20));
      process->CheckNothingReverted(removals);
    }
  }
  for (const auto& process : processes) {
    for (const auto& [key, write] : store.Items()) {
      RC_ASSERT(ValueOf(process->mirror, key) ==
                (write.removed ? "" : std::to_string(write.serial)));
    }
  }
}

}  // namespace
}  // namespace savory
