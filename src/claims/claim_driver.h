// At-most-once claims in the key-value service.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "base/error.h"
#include "base/settings.h"
#include "claims/claim_answer.h"
#include "claims/claim_router.h"
#include "runtime/node.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct ClaimDriverOptions {
  std::uint32_t shards = 64;
  Duration batch_delay = std::chrono::milliseconds(5);      // to group claims of one shard
  Duration outcome_delay = std::chrono::milliseconds(500);  // to share a write with claims
  Duration confirm_deadline = std::chrono::seconds(2);  // then the claim is refused as "not run"
  Duration retention = std::chrono::hours(24);          // of finished and unfinished claims
  std::uint32_t max_recorded_answer_bytes = 4096;       // larger: a retry gets "already done"
  Duration forward_timeout = std::chrono::milliseconds(500);  // then the claim is written here
  std::uint32_t max_value_bytes = 900'000;  // per shard; beyond it, new claims are refused
  std::uint32_t max_value_bytes_with_answers = 450'000;  // beyond it, answers are not recorded
};

// Reads the section `claims`. Errors are collected in `reader`.
ClaimDriverOptions ReadClaimOptions(SettingsReader reader);

// Runs ClaimBatcher and ClaimRouter over the key-value service and the peer transport. All calls
// must be made on the loop's thread.
class ClaimDriver {
 public:
  ClaimDriver(Node& node, ClaimDriverOptions options);
  ~ClaimDriver();

  // Sets the live entries; called after each change of the member list. The claims of each shard
  // are then grouped by one of these entries. Before the first call, and with an empty list, this
  // process writes its claims itself.
  void SetEntries(std::vector<EntryAddress> entries);

  // Key of a claim: a digest of the client account and its idempotency key.
  static Digest KeyOf(std::string_view account, std::string_view idempotency_key);

  // Claims `claim.key` for the agent and attempt named in `claim`; fills in the nonce. Errors:
  // kClaimUnavailable (not confirmed, so the nonce is never granted), kClaimShardFull, kKeyReused
  // (the key was used with another request).
  void Claim(wire::Claim claim, std::function<void(Result<ClaimAnswer>)> done);

  // Replaces the unfinished claim `found`. The caller must know that its attempt never runs.
  void Replace(wire::Claim claim, const wire::Claim& found,
               std::function<void(Result<ClaimAnswer>)> done);

  // Records the outcome of a granted claim. Retries until it is written, another entry has
  // accepted it, or the claim no longer exists. Drops the oldest outcomes if too many wait.
  void Finish(const Digest& key, const std::string& nonce, RecordedAnswer answer);
  // Removes a granted claim whose attempt did not and will not run. Its key can then be claimed
  // again.
  void Release(const Digest& key, const std::string& nonce);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
