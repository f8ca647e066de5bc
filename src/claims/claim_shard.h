// The value of one claim shard.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/digest.h"
#include "base/error.h"
#include "claims/claim_answer.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// Bounds of one shard's value.
struct ClaimShardLimits {
  Duration retention = std::chrono::hours(24);           // of finished and unfinished claims
  std::uint32_t max_recorded_answer_bytes = 4096;        // larger answers: "already done" only
  std::uint32_t max_value_bytes = 900'000;               // a full shard refuses new claims
  std::uint32_t max_value_bytes_with_answers = 450'000;  // above: answers are not recorded
};

// The claims of one shard, as they are kept in one value of the key-value service.
//
// A value is read and written as a whole, so its size bounds both the claims kept and the bytes of
// each write. The stored form therefore keeps 16 bytes of the key and 8 of the request's digest,
// and a finished claim drops its nonce, agent and attempt.
class ClaimShard {
 public:
  static constexpr std::size_t kKeyBytes = 16;
  static constexpr std::size_t kNonceBytes = 16;
  static constexpr std::size_t kRequestDigestBytes = 8;

  explicit ClaimShard(ClaimShardLimits limits);
  ClaimShard(const ClaimShard& other);
  ClaimShard(ClaimShard&&) = default;
  ClaimShard& operator=(const ClaimShard&) = delete;
  ClaimShard& operator=(ClaimShard&&) = default;
  ~ClaimShard() = default;

  // Reads a value; empty bytes are a shard without claims. Errors: kMalformed for bytes that
  // Encode() cannot have returned: wrong checksum, field sizes or states, or a key twice.
  static Result<ClaimShard> Decode(std::string_view bytes, ClaimShardLimits limits);
  std::string Encode() const;

  // The claim of `key` in its stored form, or nullptr.
  const wire::Claim* Find(const Digest& key) const;

  // True when the unfinished claim of (`key`, `nonce`) is present.
  bool HasUnfinished(const Digest& key, std::string_view nonce) const;

  // Adds `claim` as unfinished; there must be none of its key. Drops the oldest recorded answers
  // when that makes room. Errors: kClaimShardFull.
  Result<void> Add(const wire::Claim& claim);
  // Puts `claim` in the place of the unfinished claim of the same key. Errors: kClaimShardFull.
  Result<void> Replace(const wire::Claim& claim);
  // Marks the unfinished claim of (`key`, `nonce`) as done and records `answer` if its size and the
  // size of the value allow it. Returns false when there is no such claim.
  bool Finish(const Digest& key, std::string_view nonce, const RecordedAnswer& answer);
  // Removes the unfinished claim of (`key`, `nonce`). Returns false when there is no such claim.
  bool Release(const Digest& key, std::string_view nonce);
  // Removes claims older than the retention; returns their number. `unix_s` is the wall clock.
  std::size_t Expire(std::uint64_t unix_s);

  // True when `claim` is of the same request as the stored claim `stored`.
  static bool IsSameRequest(const wire::Claim& stored, const wire::Claim& claim);

  std::size_t Size() const { return this->claims.size(); }
  // Size of Encode(), in bytes.
  std::size_t Bytes() const;

 private:
  using Claims = std::list<wire::Claim>;

  bool Insert(wire::Claim stored);
  void Erase(Claims::iterator position);
  // The unfinished claim of (`key`, `nonce`), or end().
  Claims::iterator FindUnfinished(const Digest& key, std::string_view nonce);
  void DropOldestAnswers(std::size_t max_bytes);

  ClaimShardLimits limits;
  Claims claims;  // in the order of their addition
  std::unordered_map<std::string, Claims::iterator> by_key;
  std::size_t claim_bytes = 0;  // encoded size of all claims
};

}  // namespace savory
