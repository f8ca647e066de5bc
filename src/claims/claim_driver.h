// At-most-once claims over the key-value service.
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
  Duration batch_delay = std::chrono::milliseconds(5);      // collects claims of one shard
  Duration outcome_delay = std::chrono::milliseconds(500);  // waits for a claim to share its write
  Duration confirm_deadline = std::chrono::seconds(2);      // then the caller is told "not run"
  Duration retention = std::chrono::hours(24);              // of finished and unfinished claims
  std::uint32_t max_recorded_answer_bytes = 4096;           // larger answers: "already done" only
  Duration forward_timeout = std::chrono::milliseconds(500);  // to another entry; then written here
  std::uint32_t max_value_bytes = 900'000;                    // a full shard refuses new claims
  std::uint32_t max_value_bytes_with_answers = 450'000;       // above: answers are not recorded
};

// Reads the section `claims`; errors stay in `reader`.
ClaimDriverOptions ReadClaimOptions(SettingsReader reader);

// All calls on the loop's thread.
class ClaimDriver {
 public:
  ClaimDriver(Node& node, ClaimDriverOptions options);
  ~ClaimDriver();

  // The live entries, after each change of the member list. Claims of one shard are then grouped by
  // one of them; before the first call, and with an empty list, this process writes them itself.
  void SetEntries(std::vector<EntryAddress> entries);

  // Key of a claim: digest of the client account and its idempotency key.
  static Digest KeyOf(std::string_view account, std::string_view idempotency_key);

  // Claims `claim.key` for the agent and attempt named in `claim`; the nonce is filled in here.
  // Errors: kClaimUnavailable (not confirmed in time; the nonce is discarded), kClaimShardFull,
  // kKeyReused (the key was used with another request).
  void Claim(wire::Claim claim, std::function<void(Result<ClaimAnswer>)> done);

  // Replaces the unfinished claim of `found`, whose attempt is known never to run.
  void Replace(wire::Claim claim, const wire::Claim& found,
               std::function<void(Result<ClaimAnswer>)> done);

  // Records the outcome of a granted claim; retried until it is written or the claim is gone.
  void Finish(const Digest& key, const std::string& nonce, RecordedAnswer answer);
  // Records that a granted claim certainly did not run; the key may then be claimed again.
  void Release(const Digest& key, const std::string& nonce);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
