// Fakes and helpers for the tests of claims.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "base/golden_test_util.h"
#include "claims/claim_batcher.h"

namespace savory {

inline constexpr std::uint64_t kTestUnixS = 1'800'000'000;

inline Digest TestKey(std::string_view name) { return Sha256(name); }

inline wire::Claim TestClaim(std::string_view key, std::string_view request, std::string_view vm,
                             std::uint64_t sequence) {
  wire::Claim claim;
  claim.set_key(std::string(TestKey(key).View()));
  claim.set_request_digest(std::string(Sha256(request).View()));
  claim.set_agent_vm("agent-1");
  claim.set_agent_peer("127.0.0.1:17001");
  claim.set_agent_incarnation(1);
  claim.mutable_attempt()->set_entry_vm(std::string(vm));
  claim.mutable_attempt()->set_entry_incarnation(1);
  claim.mutable_attempt()->set_sequence(sequence);
  return claim;
}

// In-memory key-value service with compare-and-swap.
class FakeKv {
 public:
  ClaimReadDone Read(std::uint32_t shard) {
    ++this->reads;
    const Value& value = this->values[shard];
    return {.shard = shard, .bytes = value.bytes, .version = value.version};
  }

  ClaimWriteDone Write(const ClaimWrite& write) {
    ++this->writes;
    Value& value = this->values[write.shard];
    if (value.version != write.expected) {
      ++this->conflicts;
      return {.shard = write.shard, .result = ClaimWriteResult::kConflict};
    }
    value.bytes = write.bytes;
    ++value.version;
    this->written_bytes += write.bytes.size();
    return {.shard = write.shard, .result = ClaimWriteResult::kWritten, .version = value.version};
  }

  // Decodes the value of `shard`; fails the test if it is malformed.
  ClaimShard Shard(std::uint32_t shard) {
    auto decoded = ClaimShard::Decode(this->values[shard].bytes, ClaimShardLimits{});
    EXPECT_TRUE(decoded.has_value());
    return decoded ? std::move(decoded.value()) : ClaimShard(ClaimShardLimits{});
  }

  struct Value {
    std::string bytes;
    std::uint64_t version = 0;
  };
  std::map<std::uint32_t, Value> values;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t written_bytes = 0;
};

}  // namespace savory
