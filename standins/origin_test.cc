#include "standins/origin.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "standins/origin_files.h"
#include "standins/rate_limiter.h"

namespace savory::standins {
namespace {

constexpr std::size_t kFileBytes = 100'000;

class OriginTest : public testing::Test {
 protected:
  OriginTest() {
    std::string pattern = testing::TempDir() + "/origin-XXXXXX";
    this->directory = mkdtemp(pattern.data());
    this->path = this->directory + "/weights";
    std::string bytes(kFileBytes, '\0');
    for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<char>(i * 7);
    std::ofstream(this->path, std::ios::binary) << bytes;
    this->content = bytes;
  }
  ~OriginTest() override { std::filesystem::remove_all(this->directory); }

  std::string directory;
  std::string path;
  std::string content;
};

// Guards against bytes that are counted but not sent, or sent but not counted.
TEST_F(OriginTest, CountsExactlyTheBytesTakenByTheCaller) {
  Origin origin({});
  const auto file = OriginFile::Open(this->path);
  std::string received;
  const ByteSink take = [&received](std::string_view block) {
    received += block;
    return true;
  };
  EXPECT_TRUE(origin.SendRange(*file, {}, {.offset = 1'000, .length = 50'000}, take));
  EXPECT_EQ(received, this->content.substr(1'000, 50'000));
  EXPECT_EQ(origin.Stats()["bytes_sent"], 50'000);

  std::size_t taken = 0;
  const ByteSink hang_up = [&taken](std::string_view block) {
    if (taken > 0) return false;
    taken += block.size();
    return true;
  };
  EXPECT_FALSE(origin.SendRange(*file, {}, {.offset = 0, .length = kFileBytes}, hang_up));
  EXPECT_EQ(origin.Stats()["bytes_sent"], 50'000 + taken);
}

// Guards against an injected corruption without effect: the unchanged data would pass every
// digest check.
TEST_F(OriginTest, CorruptionChangesOneByte) {
  Origin origin({});
  const auto file = OriginFile::Open(this->path);
  std::string received;
  origin.SendRange(*file, {.corrupt = true}, {.offset = 0, .length = kFileBytes},
                   [&received](std::string_view block) {
                     received += block;
                     return true;
                   });
  std::size_t different = 0;
  for (std::size_t i = 0; i < kFileBytes; ++i) different += received[i] != this->content[i] ? 1 : 0;
  EXPECT_EQ(different, 1u);
}

// Guards against a replaced version that keeps its ETag or appears in a transfer in progress.
TEST_F(OriginTest, ReplacementChangesETagButNotOpenFiles) {
  const auto before = OriginFile::Open(this->path);
  ASSERT_TRUE(ReplaceContent(this->path));
  const auto after = OriginFile::Open(this->path);
  EXPECT_NE(before->ETag(), after->ETag());
  EXPECT_EQ(after->Size(), kFileBytes);
  EXPECT_EQ(before->Read(0, kFileBytes), this->content);
  EXPECT_NE(after->Read(0, kFileBytes), this->content);
}

// Guards against an origin that exceeds its configured rate and makes every strategy look faster.
TEST(RateLimiterTest, TransfersTogetherStayAtTheRate) {
  RateLimiter limiter(1e6);
  const Instant start = Instant() + std::chrono::hours(1);
  Instant last = start;
  for (int i = 0; i < 100; ++i) last = limiter.Reserve(10'000, start);
  // The last of 100 blocks starts after the time of 99 blocks, less the 10 ms of unused time.
  EXPECT_EQ(last - start, std::chrono::milliseconds(980));
  const Instant later = last + std::chrono::seconds(5);
  limiter.Reserve(10'000, later);
  EXPECT_EQ(limiter.Reserve(10'000, later) - later, Duration(0));
  EXPECT_EQ(limiter.Reserve(10'000, later) - later, std::chrono::milliseconds(10));
}

}  // namespace
}  // namespace savory::standins
