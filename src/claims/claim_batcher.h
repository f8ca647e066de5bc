// Groups the claims of one entry into compare-and-swap calls.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"
#include "claims/claim_events.h"
#include "claims/claim_shard.h"

namespace savory {

struct ClaimBatcherOptions {
  std::uint32_t shards = 64;
  Duration batch_delay = std::chrono::milliseconds(5);       // to group claims of one shard
  Duration outcome_delay = std::chrono::milliseconds(500);   // to share a write with claims
  Duration conflict_backoff = std::chrono::milliseconds(5);  // upper bound; doubled per conflict
  Duration max_conflict_backoff = std::chrono::milliseconds(200);
  Duration outage_backoff = std::chrono::milliseconds(50);  // upper bound; doubled per failure
  Duration max_outage_backoff = std::chrono::seconds(1);
  std::uint32_t failures_until_outage = 3;  // in a row; then new claims are refused at once
  std::uint32_t max_calls = 16;             // in flight, over all shards
  std::uint32_t max_waiting_claims = 256;   // per shard; more are refused
  // Bounds the outcomes and releases that wait to be written. Beyond it, the shard with the most of
  // them drops its oldest outcome, or its oldest release if it has no outcome.
  std::size_t max_unwritten = 10'000;
  // Total size of the answers in waiting outcomes. An outcome beyond it keeps only its status.
  std::size_t max_unwritten_answer_bytes = 4'000'000;
  Duration cache_retention = std::chrono::seconds(5);  // of the value of an idle shard
  ClaimShardLimits limits = {};
  std::string nonce_prefix = std::string(8, '\0');  // 8 bytes, unique to this process
};

// At-most-once claims of one process in a key-value service with compare-and-swap.
//
// The version of a shard's value acts as a fencing token. Each write names the version that it was
// computed from, so it takes effect only if no other write came in between. Once a higher version
// has been seen, a write whose reply was lost can no longer take effect. A claim is granted only
// after its nonce was confirmed, by the reply to the write or by reading it back. A claim that is
// not confirmed before its deadline is answered kClaimUnavailable and its nonce is never granted
// afterwards. If the nonce may have been written, a release of it stays queued until the claim was
// removed or can no longer appear.
//
// Each shard has at most one call in flight; requests that arrive meanwhile share the next write.
// After `failures_until_outage` failed calls in a row, new claims are refused at once. When the
// backoff has passed, one claim at a time is accepted to probe the service. Outcomes are kept
// during the outage, within `max_unwritten`. An outcome that is dropped leaves its claim
// unfinished; a retry of that request is then resolved by a query to the agent.
//
// Capacity (docs/decisions/claims.md), with E entries, S shards, R claims/s in the whole fleet and
// batch delay d: if every entry writes its own claims, they cost about 2R writes/s and 2R reads/s.
// At 0.84 claims/s per entry, this exceeds the service's rates from somewhere between E = 80 and
// E = 160. With forwarding (ClaimRouter) they cost about S / (d + S/R) writes/s. An unfinished
// claim takes 103 bytes, a finished one 41 without its answer. A value of 900 kB therefore holds
// 21,949 finished claims, and the S shards hold S times as many.
class ClaimBatcher {
 public:
  // `random` must outlive this object.
  ClaimBatcher(ClaimBatcherOptions options, Random& random);

  // `unix_s` is the wall-clock time, used only to date claims and to expire them.
  std::vector<ClaimAction> Handle(const ClaimEvent& event, Instant now, std::uint64_t unix_s);

  // When the next ClaimTick is due; Instant::max() when none is.
  Instant NextTick() const;

  // Shard of `key`: its first 8 bytes as a big-endian number, modulo `shards`.
  static std::uint32_t ShardOf(const Digest& key, std::uint32_t shards);

  // True after `failures_until_outage` failed calls in a row.
  bool InOutage() const;
  // Number of outcomes and releases that wait to be written.
  std::size_t Unwritten() const;
  // Number of outcomes and releases dropped because more than `max_unwritten` were waiting.
  std::uint64_t Dropped() const { return this->dropped; }
  // Number of shards whose value could not be decoded when it was last read.
  std::size_t DamagedShards() const;

  // Returns the state as text, for tests.
  std::string DebugState() const;

 private:
  // A claim that has no reply yet.
  struct PendingClaim {
    std::uint64_t id = 0;
    wire::Claim claim = {};
    std::string replaces = {};
    Instant arrived_at = {};
    Instant ready_at = {};
    Instant deadline = {};
    // The reply if the write in flight succeeds.
    std::optional<Result<ClaimAnswer>> answer_if_written = {};
    bool answered = false;
    bool forwarded = false;
    bool may_be_written = false;              // a write with its nonce may have succeeded
    std::uint64_t sent_expected_version = 0;  // by the latest such write
  };
  // An outcome that is not yet recorded.
  struct PendingFinish {
    Digest key = {};
    std::string nonce = {};
    RecordedAnswer answer = {};
    Instant arrived_at = {};
    Instant ready_at = {};
    bool in_write = false;
  };
  // A nonce whose removal is not yet confirmed.
  struct PendingRelease {
    Digest key = {};
    std::string nonce = {};
    Instant arrived_at = {};
    Instant ready_at = {};
    bool in_write = false;
    // A write that expected `sent_expected_version` may still add the nonce, until the value has a
    // higher version.
    bool may_appear = false;
    std::uint64_t sent_expected_version = 0;
  };
  enum class Call { kNone, kRead, kWrite };
  struct Shard {
    Call call = Call::kNone;
    Instant call_started = {};
    // The value at `version`, plus the changes of a write in flight.
    std::optional<ClaimShard> cached = {};
    std::uint64_t version = 0;
    Instant cached_as_of = {};  // `cached` was current at this time or later
    bool just_read = false;     // after the latest write
    bool must_read = false;
    std::uint64_t written_version = 0;  // of the latest write of this process
    bool uncontended = false;           // the last read returned `written_version`
    bool damaged = false;
    std::uint32_t consecutive_conflicts = 0;
    Instant backoff_until = {};
    Instant last_used = {};
    std::vector<PendingClaim> claims = {};
    std::vector<PendingFinish> finishes = {};
    std::vector<PendingRelease> releases = {};

    bool IsIdle() const;
    // Time of its next call; Instant::max() when nothing waits.
    Instant Due() const;
    bool NeedsRead() const;
  };

  void On(const ClaimRequest& event);
  void On(const ClaimFinish& event);
  void On(const ClaimRelease& event);
  void On(const ClaimReadDone& event);
  void On(const ClaimReadFailed& event);
  void On(const ClaimWriteDone& event);
  void On(const ClaimTick&) {}

  Shard& ShardFor(const Digest& key);
  // The error of a new claim that must be refused at once, if any.
  std::optional<Error> RefusalFor(const Shard& shard, Instant deadline) const;
  void Reply(std::uint64_t id, Result<ClaimAnswer> answer);
  void RefuseUnavailable(std::uint64_t id, std::string detail);
  std::string MakeNonce();

  // Refuses the claims whose deadline has passed.
  void ExpireClaims();
  // For a claim that is not granted: queues the removal of its nonce if that may be stored now or
  // later.
  void ReleaseIfWritten(Shard& shard, const PendingClaim& pending);
  // Refuses the claims of all shards without a call in flight.
  void RefuseWaitingClaims();
  void RefuseClaims(Shard& shard, std::string_view detail);
  void DropExcessUnwritten();
  void DropOldest(Shard& shard);

  void CallEnded(Shard& shard);
  void CallFailed();
  bool MayCall() const;
  void StartDueCalls();
  void StartCall(std::uint32_t number, Shard& shard);
  void EvictIdleShards();
  void StartRead(std::uint32_t number, Shard& shard);
  void StartWrite(std::uint32_t number, Shard& shard);
  void WriteConfirmed(Shard& shard, std::uint64_t version);
  void WriteNotConfirmed(Shard& shard);

  // Applies the waiting claims, outcomes and releases to the cached value. Those that need no write
  // are answered and removed. Returns true when the value must be written.
  bool Apply(Shard& shard);
  bool ApplyReleases(Shard& shard, std::unordered_set<Digest>& changed_keys);
  bool ApplyFinishes(Shard& shard, std::unordered_set<Digest>& changed_keys);
  bool ApplyClaims(Shard& shard, std::unordered_set<Digest>& changed_keys);
  bool ApplyClaim(Shard& shard, PendingClaim& pending, std::unordered_set<Digest>& changed_keys);
  // Answers a claim whose key is already claimed. The answer waits for the next write or read if
  // `found` was changed by this batch or may be out of date.
  void AnswerTakenKey(Shard& shard, PendingClaim& pending, const wire::Claim& found,
                      bool key_changed);
  // Returns a random duration in [d / 2, d), where d is `base` doubled `doublings` times, at most
  // `max`.
  Duration JitteredBackoff(Duration base, Duration max, std::uint32_t doublings);

  ClaimBatcherOptions options;
  Random& random;
  std::map<std::uint32_t, Shard> shards;  // shards in use, by number
  std::uint64_t last_nonce = 0;
  std::uint32_t calls_in_flight = 0;
  std::uint32_t consecutive_failures = 0;
  Instant retry_at = {};
  std::uint32_t next_shard = 0;            // where StartDueCalls() starts
  std::size_t unwritten_answer_bytes = 0;  // in waiting outcomes
  std::uint64_t dropped = 0;

  // Valid during Handle().
  Instant now = {};
  std::uint64_t unix_s = 0;
  std::vector<ClaimAction> actions;
};

}  // namespace savory
