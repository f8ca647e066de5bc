#include "direct/crash_archive.h"

#include <gtest/gtest.h>

#include "crashes/crash_causes.h"
#include "records/record_store.h"
#include "runtime/event_loop.h"

namespace savory {
namespace {

class FakeStore : public RecordStore {
 public:
  void List(const std::string&, Callback) override {}
  void Watch(const std::string&, std::uint64_t, Duration, Callback) override {}
  void Put(const std::string& key, const std::string&, Duration,
           std::function<void(Result<std::uint64_t>)> done) override {
    this->keys.push_back(key);
    this->answers.push_back(std::move(done));
  }

  std::vector<std::string> keys = {};
  std::vector<std::function<void(Result<std::uint64_t>)>> answers = {};
};

// The news of the era comes twice, once for each prefix, and before a late answer of the old one.
// Guards against refusals that the store lost for good, and against ones that are written twice.
TEST(CrashArchiveTest, LostRefusalsAreWrittenAgainOnce) {
  EventLoop loop;
  FakeStore store;
  CrashArchive archive(loop, store, {});
  const std::vector<CrashRecord> records(1);
  const auto save = [&](const std::string& text) {
    archive.Save({.all_of = {Sha256(text)}}, records);
  };
  save("a");
  save("b");
  save("c");
  ASSERT_EQ(store.keys.size(), 3u);
  store.answers[0](std::uint64_t{0});
  store.answers[1](std::uint64_t{1});
  archive.OnEra(1);
  archive.OnEra(1);
  ASSERT_EQ(store.keys.size(), 4u);
  EXPECT_EQ(store.keys[3], store.keys[0]);
  store.answers[2](std::uint64_t{0});
  ASSERT_EQ(store.keys.size(), 5u);
  EXPECT_EQ(store.keys[4], store.keys[2]);
  store.answers[3](std::uint64_t{1});
  store.answers[4](std::uint64_t{1});
  archive.OnEra(1);
  EXPECT_EQ(store.keys.size(), 5u);
}

}  // namespace
}  // namespace savory
