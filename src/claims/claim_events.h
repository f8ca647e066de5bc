// Events and actions of ClaimBatcher.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "base/digest.h"
#include "base/error.h"
#include "base/time.h"
#include "claims/claim_answer.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// ---- events ----

// Claims `claim.key`. `id` is unique among unanswered requests. An empty `claim.nonce` is filled in
// by the batcher. `replaces`: nonce of an unfinished claim of the same key whose attempt is known
// never to run; empty otherwise.
struct ClaimRequest {
  std::uint64_t id = 0;
  wire::Claim claim = {};
  std::string replaces = {};
  Instant deadline = {};  // then the answer is kClaimUnavailable
  // Another process may have written the nonce; it is removed if the claim is refused.
  bool may_be_written = false;
  // The request of another process, which may find the nonce by itself and send the attempt. Only
  // that process may remove the nonce: a removal here would let the request run twice.
  bool forwarded = false;
};
// Records the outcome of a granted claim.
struct ClaimFinish {
  Digest key = {};
  std::string nonce = {};
  RecordedAnswer answer = {};
};
// Removes a claim that certainly did not run. A request of the same nonce that is not yet answered
// is answered kClaimUnavailable.
struct ClaimRelease {
  Digest key = {};
  std::string nonce = {};
};
// Results of a read: the value (empty bytes and version 0 when the key is absent), or none.
struct ClaimReadDone {
  std::uint32_t shard = 0;
  std::string bytes = {};
  std::uint64_t version = 0;
};
struct ClaimReadFailed {
  std::uint32_t shard = 0;
};
// Results of a compare-and-swap.
enum class ClaimWriteResult {
  kWritten,
  kConflict,        // another version was found
  kUnavailable,     // the service refused the call
  kOutcomeUnknown,  // no reply: the write may take effect, now or later
};
struct ClaimWriteDone {
  std::uint32_t shard = 0;
  ClaimWriteResult result = ClaimWriteResult::kWritten;
  std::uint64_t version = 0;  // of the written value, with kWritten
};
// Time has passed; see ClaimBatcher::NextTick().
struct ClaimTick {};

using ClaimEvent = std::variant<ClaimRequest, ClaimFinish, ClaimRelease, ClaimReadDone,
                                ClaimReadFailed, ClaimWriteDone, ClaimTick>;

// ---- actions ----

struct ClaimRead {
  std::uint32_t shard = 0;
};
struct ClaimWrite {
  std::uint32_t shard = 0;
  std::string bytes = {};
  std::uint64_t expected = 0;  // version; 0: the key is absent
};
// Answers the request `id`. Errors: kClaimUnavailable, kClaimShardFull (both "not run"),
// kKeyReused.
struct ClaimReply {
  std::uint64_t id = 0;
  Result<ClaimAnswer> answer;
};

using ClaimAction = std::variant<ClaimRead, ClaimWrite, ClaimReply>;

}  // namespace savory
