#include "claims/claim_shard.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <xxhash.h>

#include <vector>

#include "claims/claim_test_util.h"

namespace savory {
namespace {

constexpr std::uint64_t kDaySeconds = 86'400;

wire::Claim ClaimWithNonce(const std::string& key, char nonce) {
  wire::Claim claim = TestClaim(key, "request", "entry-1", 1);
  claim.set_nonce(std::string(ClaimShard::kNonceBytes, nonce));
  claim.set_claimed_unix_s(kTestUnixS);
  return claim;
}

std::string Nonce(char nonce) { return std::string(ClaimShard::kNonceBytes, nonce); }

// A shard with `count` claims, of which every second one is finished.
ClaimShard MakeShard(int count) {
  ClaimShard shard(ClaimShardLimits{});
  for (int i = 0; i < count; ++i) {
    const std::string key = "key-" + std::to_string(i);
    EXPECT_TRUE(shard.Add(ClaimWithNonce(key, 'n')));
    if (i % 2 == 0) shard.Finish(TestKey(key), Nonce('n'), {.status = 200, .body = key});
  }
  return shard;
}

// Guards against decoding a truncated or altered value: a claim lost this way would let its request
// run again.
RC_GTEST_PROP(ClaimShardTest, DamagedValuesAreRefused, ()) {
  std::string bytes = MakeShard(*rc::gen::inRange(1, 20)).Encode();
  const bool cut = *rc::gen::arbitrary<bool>();
  const auto position = *rc::gen::inRange<std::size_t>(1, bytes.size());
  if (cut) {
    bytes.resize(position);
  } else {
    bytes[position] = static_cast<char>(bytes[position] ^ *rc::gen::inRange(1, 256));
  }
  RC_ASSERT(!ClaimShard::Decode(bytes, ClaimShardLimits{}).has_value());
}

// Guards against a crash on bytes that are not a shard, and against accepting them.
RC_GTEST_PROP(ClaimShardTest, ArbitraryBytesAreRefused, (const std::string& bytes)) {
  RC_PRE(!bytes.empty());
  RC_ASSERT(!ClaimShard::Decode(bytes, ClaimShardLimits{}).has_value());
}

// Guards against claims changed by encoding and decoding, and against a wrong result of Bytes().
RC_GTEST_PROP(ClaimShardTest, DecodeReturnsWhatWasEncoded, ()) {
  const ClaimShard shard = MakeShard(*rc::gen::inRange(0, 50));
  const std::string bytes = shard.Encode();
  RC_ASSERT(bytes.size() == shard.Bytes());
  const auto decoded = ClaimShard::Decode(bytes, ClaimShardLimits{});
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(decoded.value().Size() == shard.Size());
  RC_ASSERT(decoded.value().Encode() == bytes);
}

// Encodes `claims` as a value with a valid checksum.
std::string Value(const std::vector<wire::Claim>& claims) {
  wire::ClaimShardValue value;
  for (const wire::Claim& claim : claims) *value.add_claims() = claim;
  const std::string bytes = value.SerializeAsString();
  value.clear_claims();
  value.set_checksum(XXH3_64bits(bytes.data(), bytes.size()));
  return bytes + value.SerializeAsString();
}

// Guards against accepting invalid claims, such as those of a faulty writer, because the checksum
// of their value is valid.
TEST(ClaimShardTest, RefusesInvalidClaimsWithAValidChecksum) {
  const ClaimShardLimits limits;
  const wire::Claim valid = *MakeShard(2).Find(TestKey("key-1"));
  EXPECT_TRUE(ClaimShard::Decode(Value({valid}), limits));
  EXPECT_FALSE(ClaimShard::Decode(Value({valid, valid}), limits));
  wire::Claim without_nonce = valid;
  without_nonce.clear_nonce();
  EXPECT_FALSE(ClaimShard::Decode(Value({without_nonce}), limits));
  wire::Claim short_key = valid;
  short_key.set_key("k");
  EXPECT_FALSE(ClaimShard::Decode(Value({short_key}), limits));
  wire::Claim released = valid;
  released.set_state(wire::CLAIM_NOT_RUN);
  EXPECT_FALSE(ClaimShard::Decode(Value({released}), limits));
}

// Guards against finishing or releasing a claim with a nonce that is not its own.
TEST(ClaimShardTest, OnlyTheMatchingNonceFinishesOrReleases) {
  ClaimShard shard(ClaimShardLimits{});
  ASSERT_TRUE(shard.Add(ClaimWithNonce("k", 'a')));
  EXPECT_FALSE(shard.Finish(TestKey("k"), Nonce('b'), {.status = 200}));
  EXPECT_FALSE(shard.Release(TestKey("k"), Nonce('b')));
  ASSERT_TRUE(shard.Replace(ClaimWithNonce("k", 'b')));
  EXPECT_FALSE(shard.Release(TestKey("k"), Nonce('a')));
  EXPECT_TRUE(shard.Finish(TestKey("k"), Nonce('b'), {.status = 200}));
  EXPECT_FALSE(shard.Release(TestKey("k"), Nonce('b')));
}

// Guards against a value above the size limit, and against a full shard that removes claims to make
// room: it may only drop recorded answers and then refuse new claims.
TEST(ClaimShardTest, FullShardDropsAnswersThenRefusesClaims) {
  ClaimShard shard(ClaimShardLimits{.max_value_bytes = 3000, .max_value_bytes_with_answers = 2000});
  const std::string body(1500, 'x');
  ASSERT_TRUE(shard.Add(ClaimWithNonce("first", 'n')));
  ASSERT_TRUE(shard.Finish(TestKey("first"), Nonce('n'), {.status = 200, .body = body}));
  EXPECT_TRUE(shard.Find(TestKey("first"))->answer_recorded());
  ASSERT_TRUE(shard.Add(ClaimWithNonce("second", 'n')));
  ASSERT_TRUE(shard.Finish(TestKey("second"), Nonce('n'), {.status = 200, .body = body}));
  EXPECT_FALSE(shard.Find(TestKey("second"))->answer_recorded());
  std::size_t added = 0;
  while (shard.Add(ClaimWithNonce("more-" + std::to_string(added), 'n'))) ++added;
  EXPECT_GT(added, 15U);
  EXPECT_LE(shard.Bytes(), 3000U);
  EXPECT_EQ(shard.Size(), added + 2);
  EXPECT_FALSE(shard.Find(TestKey("first"))->answer_recorded());
  EXPECT_EQ(shard.Find(TestKey("first"))->state(), wire::CLAIM_DONE);
}

// Guards against claims that are removed before their retention of one day has passed, or never.
TEST(ClaimShardTest, ClaimsExpireAfterTheRetention) {
  ClaimShard shard = MakeShard(4);
  EXPECT_EQ(shard.Expire(kTestUnixS + kDaySeconds - 1), 0U);
  EXPECT_EQ(shard.Expire(kTestUnixS + kDaySeconds), 4U);
  EXPECT_EQ(shard.Encode(), ClaimShard(ClaimShardLimits{}).Encode());
}

// Guards against recording any part of an answer above the limit of 4,096 bytes.
TEST(ClaimShardTest, LargeAnswersAreNotRecorded) {
  ClaimShard shard(ClaimShardLimits{});
  ASSERT_TRUE(shard.Add(ClaimWithNonce("k", 'n')));
  ASSERT_TRUE(
      shard.Finish(TestKey("k"), Nonce('n'), {.status = 200, .body = std::string(4097, 'x')}));
  EXPECT_FALSE(shard.Find(TestKey("k"))->answer_recorded());
  EXPECT_EQ(shard.Find(TestKey("k"))->status(), 200U);
}

}  // namespace
}  // namespace savory
