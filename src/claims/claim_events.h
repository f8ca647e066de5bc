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

// Claims `claim.key`. `id` must be unique among unanswered requests. The batcher fills in an empty
// `claim.nonce`. `replaces` is empty, or the nonce of an unfinished claim of the same key whose
// attempt is known never to run.
struct ClaimRequest {
  std::uint64_t id = 0;
  wire::Claim claim = {};
  std::string replaces = {};
  Instant deadline = {};  // after it, the reply is kClaimUnavailable
  // True if another process may have written the nonce, which is then removed if the claim is
  // refused.
  bool may_be_written = false;
  // True for the request of another process. That process may find the nonce by itself and send the
  // attempt, so only it may remove the nonce: a removal here could let the request run twice.
  bool forwarded = false;
};
// Records the outcome of a granted claim.
struct ClaimFinish {
  Digest key = {};
  std::string nonce = {};
  RecordedAnswer answer = {};
};
// Removes a claim whose attempt did not and will not run. If a request with the same nonce still
// waits, it is answered kClaimUnavailable.
struct ClaimRelease {
  Digest key = {};
  std::string nonce = {};
};
// Result of a successful read. An absent key has empty bytes and version 0.
struct ClaimReadDone {
  std::uint32_t shard = 0;
  std::string bytes = {};
  std::uint64_t version = 0;
};
struct ClaimReadFailed {
  std::uint32_t shard = 0;
};
// Result of a compare-and-swap.
enum class ClaimWriteResult {
  kWritten,
  kConflict,        // the value has another version
  kUnavailable,     // the service refused the call
  kOutcomeUnknown,  // no reply: the write may have taken effect or may do so later
};
struct ClaimWriteDone {
  std::uint32_t shard = 0;
  ClaimWriteResult result = ClaimWriteResult::kWritten;
  std::uint64_t version = 0;  // of the written value; set with kWritten
};
// Sent at the time returned by ClaimBatcher::NextTick().
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
  std::uint64_t expected = 0;  // version of the value to replace; 0: the key is absent
};
// Answers the request `id`. Errors: kClaimUnavailable, kClaimShardFull (both "not run"),
// kKeyReused.
struct ClaimReply {
  std::uint64_t id = 0;
  Result<ClaimAnswer> answer;
};

using ClaimAction = std::variant<ClaimRead, ClaimWrite, ClaimReply>;

}  // namespace savory
