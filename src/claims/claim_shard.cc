#include "claims/claim_shard.h"

#include <xxhash.h>

#include <cassert>
#include <iterator>
#include <utility>

namespace savory {
namespace {

// Protobuf tag of ClaimShardValue.checksum: field 2, wire type 1 (64 bits).
constexpr char kChecksumTag = 0x11;
constexpr std::size_t kChecksumFieldBytes = 1 + sizeof(std::uint64_t);

std::string EncodeChecksum(std::string_view claims) {
  const std::uint64_t checksum = XXH3_64bits(claims.data(), claims.size());
  std::string field(1, kChecksumTag);
  for (unsigned shift = 0; shift < 64; shift += 8) {
    field.push_back(static_cast<char>(checksum >> shift & 0xff));
  }
  return field;
}

std::string StoredKey(std::string_view key) {
  return std::string(key.substr(0, ClaimShard::kKeyBytes));
}

// Encoded size of `claim` in the value, including its tag and length.
std::size_t EncodedBytes(const wire::Claim& claim) {
  const std::size_t size = claim.ByteSizeLong();
  std::size_t length_bytes = 1;
  for (std::size_t rest = size >> 7; rest > 0; rest >>= 7) ++length_bytes;
  return 1 + length_bytes + size;
}

wire::Claim StoredForm(const wire::Claim& claim) {
  wire::Claim stored = claim;
  stored.set_key(StoredKey(claim.key()));
  stored.set_request_digest(claim.request_digest().substr(0, ClaimShard::kRequestDigestBytes));
  stored.set_state(wire::CLAIM_PENDING);
  return stored;
}

bool HasValidDigest(const wire::Claim& claim) {
  const std::size_t size = claim.request_digest().size();
  return size == 0 || size == ClaimShard::kRequestDigestBytes;
}

bool IsValidStored(const wire::Claim& claim) {
  if (claim.key().size() != ClaimShard::kKeyBytes || !HasValidDigest(claim)) return false;
  if (claim.state() == wire::CLAIM_PENDING) return claim.nonce().size() == ClaimShard::kNonceBytes;
  return claim.state() == wire::CLAIM_DONE && claim.nonce().empty();
}

Error Malformed(std::string detail) {
  return Error{.kind = ErrorKind::kMalformed, .detail = std::move(detail)};
}

}  // namespace

ClaimShard::ClaimShard(ClaimShardLimits limits) : limits(limits) {}

ClaimShard::ClaimShard(const ClaimShard& other) : limits(other.limits) {
  for (const wire::Claim& claim : other.claims) this->Insert(claim);
}

Result<ClaimShard> ClaimShard::Decode(std::string_view bytes, ClaimShardLimits limits) {
  ClaimShard shard(limits);
  if (bytes.empty()) return shard;
  if (bytes.size() < kChecksumFieldBytes) return Malformed("the claim shard is cut off");
  const std::string_view claims = bytes.substr(0, bytes.size() - kChecksumFieldBytes);
  if (EncodeChecksum(claims) != bytes.substr(claims.size())) {
    return Malformed("the checksum of the claim shard is wrong");
  }
  wire::ClaimShardValue value;
  if (!value.ParseFromArray(claims.data(), static_cast<int>(claims.size()))) {
    return Malformed("the claim shard cannot be parsed");
  }
  for (wire::Claim& claim : *value.mutable_claims()) {
    if (!IsValidStored(claim)) return Malformed("a claim of the shard is invalid");
    if (!shard.Insert(std::move(claim))) return Malformed("the claim shard holds a key twice");
  }
  return shard;
}

std::string ClaimShard::Encode() const {
  std::string bytes;
  bytes.reserve(this->Bytes());
  wire::ClaimShardValue one;
  for (const wire::Claim& claim : this->claims) {
    one.clear_claims();
    *one.add_claims() = claim;
    one.AppendToString(&bytes);
  }
  bytes += EncodeChecksum(bytes);
  return bytes;
}

const wire::Claim* ClaimShard::Find(const Digest& key) const {
  const auto found = this->by_key.find(StoredKey(key.View()));
  return found == this->by_key.end() ? nullptr : &*found->second;
}

bool ClaimShard::HasUnfinished(const Digest& key, std::string_view nonce) const {
  const wire::Claim* claim = this->Find(key);
  return claim != nullptr && claim->state() == wire::CLAIM_PENDING && claim->nonce() == nonce;
}

Result<void> ClaimShard::Add(const wire::Claim& claim) {
  wire::Claim stored = StoredForm(claim);
  assert(IsValidStored(stored));
  const std::size_t added = EncodedBytes(stored);
  const std::size_t room = this->limits.max_value_bytes;
  if (this->Bytes() + added > room) this->DropOldestAnswers(room < added ? 0 : room - added);
  if (this->Bytes() + added > room) {
    return Error{.kind = ErrorKind::kClaimShardFull, .detail = "the claim shard is full"};
  }
  const bool inserted = this->Insert(std::move(stored));
  assert(inserted);
  static_cast<void>(inserted);
  return success();
}

Result<void> ClaimShard::Replace(const wire::Claim& claim) {
  const auto found = this->by_key.find(StoredKey(claim.key()));
  assert(found != this->by_key.end());
  wire::Claim replaced = *found->second;
  this->Erase(found->second);
  auto added = this->Add(claim);
  if (!added) this->Insert(std::move(replaced));
  return added;
}

bool ClaimShard::Finish(const Digest& key, std::string_view nonce, const RecordedAnswer& answer) {
  const auto position = this->FindUnfinished(key, nonce);
  if (position == this->claims.end()) return false;
  wire::Claim& claim = *position;
  this->claim_bytes -= EncodedBytes(claim);
  claim.set_state(wire::CLAIM_DONE);
  claim.clear_nonce();
  claim.clear_agent_vm();
  claim.clear_agent_peer();
  claim.clear_agent_incarnation();
  claim.clear_attempt();
  claim.set_status(answer.status);
  const bool recorded =
      answer.record &&
      answer.body.size() + answer.content_type.size() <= this->limits.max_recorded_answer_bytes &&
      this->Bytes() + answer.body.size() < this->limits.max_value_bytes_with_answers;
  if (recorded) {
    claim.set_content_type(answer.content_type);
    claim.set_answer(answer.body);
    claim.set_answer_recorded(true);
  }
  this->claim_bytes += EncodedBytes(claim);
  return true;
}

bool ClaimShard::Release(const Digest& key, std::string_view nonce) {
  const auto position = this->FindUnfinished(key, nonce);
  if (position == this->claims.end()) return false;
  this->Erase(position);
  return true;
}

std::size_t ClaimShard::Expire(std::uint64_t unix_s) {
  const auto retention = static_cast<std::uint64_t>(ToSeconds(this->limits.retention));
  std::size_t removed = 0;
  for (auto next = this->claims.begin(); next != this->claims.end();) {
    const auto position = next++;
    if (position->claimed_unix_s() + retention > unix_s) continue;
    this->Erase(position);
    ++removed;
  }
  return removed;
}

bool ClaimShard::IsSameRequest(const wire::Claim& stored, const wire::Claim& claim) {
  return stored.request_digest() == claim.request_digest().substr(0, kRequestDigestBytes);
}

std::size_t ClaimShard::Bytes() const { return this->claim_bytes + kChecksumFieldBytes; }

bool ClaimShard::Insert(wire::Claim stored) {
  const auto [found, added] = this->by_key.try_emplace(stored.key());
  if (!added) return false;
  this->claim_bytes += EncodedBytes(stored);
  found->second = this->claims.insert(this->claims.end(), std::move(stored));
  return true;
}

void ClaimShard::Erase(Claims::iterator position) {
  this->claim_bytes -= EncodedBytes(*position);
  this->by_key.erase(position->key());
  this->claims.erase(position);
}

ClaimShard::Claims::iterator ClaimShard::FindUnfinished(const Digest& key, std::string_view nonce) {
  if (!this->HasUnfinished(key, nonce)) return this->claims.end();
  return this->by_key.at(StoredKey(key.View()));
}

void ClaimShard::DropOldestAnswers(std::size_t max_bytes) {
  for (wire::Claim& claim : this->claims) {
    if (this->Bytes() <= max_bytes) return;
    if (!claim.answer_recorded()) continue;
    this->claim_bytes -= EncodedBytes(claim);
    claim.clear_content_type();
    claim.clear_answer();
    claim.clear_answer_recorded();
    this->claim_bytes += EncodedBytes(claim);
  }
}

}  // namespace savory
