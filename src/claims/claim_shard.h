// The claims in the value of one shard.
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

struct ClaimShardLimits {
  Duration retention = std::chrono::hours(24);           // of finished and unfinished claims
  std::uint32_t max_recorded_answer_bytes = 4096;        // larger: a retry gets "already done"
  std::uint32_t max_value_bytes = 900'000;               // beyond it, new claims are refused
  std::uint32_t max_value_bytes_with_answers = 450'000;  // beyond it, answers are not recorded
};

// The claims of one shard, stored in one value of the key-value service.
//
// A value is read and written as a whole, so the size of a claim decides how many claims fit in a
// value and how many bytes each write takes. To save space, the stored form keeps 16 bytes of the
// key and 8 of the request's digest, and a finished claim drops its nonce, agent and attempt.
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

  // Parses a value; empty bytes give a shard without claims. Errors: kMalformed for bytes that
  // Encode() does not return: wrong checksum, field sizes or states, or a duplicate key.
  static Result<ClaimShard> Decode(std::string_view bytes, ClaimShardLimits limits);
  std::string Encode() const;

  // The claim of `key` in its stored form, or nullptr.
  const wire::Claim* Find(const Digest& key) const;

  // True if the unfinished claim of (`key`, `nonce`) is present.
  bool HasUnfinished(const Digest& key, std::string_view nonce) const;

  // Adds `claim` as unfinished; its key must not be present. Drops the oldest recorded answers if
  // space is needed. Errors: kClaimShardFull.
  Result<void> Add(const wire::Claim& claim);
  // Replaces the unfinished claim of the same key, which must be present, by `claim`. Errors:
  // kClaimShardFull.
  Result<void> Replace(const wire::Claim& claim);
  // Marks the unfinished claim of (`key`, `nonce`) as done and records `answer` within the limits
  // on its size and on the size of the value. Returns false if there is no such claim.
  bool Finish(const Digest& key, std::string_view nonce, const RecordedAnswer& answer);
  // Removes the unfinished claim of (`key`, `nonce`). Returns false if there is no such claim.
  bool Release(const Digest& key, std::string_view nonce);
  // Removes the claims whose retention has passed and returns their number. `unix_s` is the
  // wall-clock time.
  std::size_t Expire(std::uint64_t unix_s);

  // True if `claim` has the request digest of the stored claim `stored`.
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
  Claims claims;  // in insertion order
  std::unordered_map<std::string, Claims::iterator> by_key;
  std::size_t claim_bytes = 0;  // encoded size of all claims
};

}  // namespace savory
