// Groups claims of one entry into compare-and-swap calls.
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
  Duration batch_delay = std::chrono::milliseconds(5);       // collects claims of one shard
  Duration outcome_delay = std::chrono::milliseconds(500);   // waits for a claim to share its write
  Duration conflict_backoff = std::chrono::milliseconds(5);  // upper end; doubled by each conflict
  Duration max_conflict_backoff = std::chrono::milliseconds(200);
  Duration outage_backoff = std::chrono::milliseconds(50);  // upper end; doubled by each failure
  Duration max_outage_backoff = std::chrono::seconds(1);
  std::uint32_t failures_until_outage =
      3;                                   // failed calls in a row, then claims are refused at once
  std::uint32_t max_calls = 16;            // in flight, over all shards
  std::uint32_t max_waiting_claims = 256;  // of one shard; more are refused
  // Outcomes and releases that wait to be written; beyond it, the oldest one of the shard that has
  // the most is dropped.
  std::size_t max_unwritten = 10'000;
  std::size_t max_unwritten_answer_bytes = 4'000'000;  // of these outcomes; more are only "done"
  Duration cache_retention = std::chrono::seconds(5);  // a value without use is forgotten
  ClaimShardLimits limits = {};
  std::string nonce_prefix = std::string(8, '\0');  // 8 bytes, unique to this process
};

// At-most-once claims of one process over values with compare-and-swap.
//
// The version of a shard's value is the fence: a write names the version that it was computed from,
// so it takes effect only if nobody wrote in between, and a write whose reply was lost is dead once
// a higher version has been seen. A claim is granted only after its nonce was confirmed, either by
// the reply to the write or by reading it back. A claim that is not confirmed before its deadline
// is answered kClaimUnavailable; its nonce is never granted afterwards, and a release of it stays
// until the claim was removed or can no longer appear.
//
// Each shard has at most one call in flight; requests that arrive meanwhile share the next write.
// After `failures_until_outage` failed calls in a row new claims are refused at once, except for
// one at a time that probes the service when the backoff has passed. Outcomes are kept through the
// outage, within `max_unwritten`; an outcome that is dropped leaves the claim unfinished, so a
// repeat is settled by a query to the agent.
//
// Capacity (docs/decisions/claims.md): with E entries, S shards, R claims/s of the fleet and batch
// delay d, entries that all write directly cost about 2R writes/s and 2R reads/s, which breaks
// between E = 80 and 160 at 0.84 claims/s each. With forwarding (ClaimRouter) the cost is about
// S / (d + S/R) writes/s. An unfinished claim takes 103 bytes, a finished one 41 without its
// answer, so a value of 900 kB keeps 21,949 finished claims, and the fleet S times as many.
class ClaimBatcher {
 public:
  // `random` must outlive this object.
  ClaimBatcher(ClaimBatcherOptions options, Random& random);

  // `unix_s` is the wall clock, which only dates claims and expires them.
  std::vector<ClaimAction> Handle(const ClaimEvent& event, Instant now, std::uint64_t unix_s);

  // When the next ClaimTick is due; Instant::max() when none is.
  Instant NextTick() const;

  // Shard of `key`: its first 8 bytes, big endian, modulo `shards`.
  static std::uint32_t ShardOf(const Digest& key, std::uint32_t shards);

  // True while the service is considered down.
  bool InOutage() const;
  // Outcomes and releases that wait to be written.
  std::size_t Unwritten() const;
  // Outcomes and releases dropped because there were more than `max_unwritten`.
  std::uint64_t Dropped() const { return this->dropped; }
  // Shards whose value could not be decoded when it was last read.
  std::size_t DamagedShards() const;

  // The whole state in one text, for tests.
  std::string DebugState() const;

 private:
  // A claim that is not yet answered.
  struct PendingClaim {
    std::uint64_t id = 0;
    wire::Claim claim = {};
    std::string replaces = {};
    Instant arrived_at = {};
    Instant ready_at = {};
    Instant deadline = {};
    std::optional<Result<ClaimAnswer>> answer_if_written =
        {};  // to give if the write in flight succeeds
    bool answered = false;
    bool forwarded = false;
    bool may_be_written = false;              // its nonce was in a write that may have taken effect
    std::uint64_t sent_expected_version = 0;  // version expected by the latest such write
  };
  // An outcome to record.
  struct PendingFinish {
    Digest key = {};
    std::string nonce = {};
    RecordedAnswer answer = {};
    Instant arrived_at = {};
    Instant ready_at = {};
    bool in_write = false;
  };
  // A nonce to remove.
  struct PendingRelease {
    Digest key = {};
    std::string nonce = {};
    Instant arrived_at = {};
    Instant ready_at = {};
    bool in_write = false;
    // A write that expected `sent_expected_version` may still add the nonce; a higher version rules
    // it out.
    bool may_appear = false;
    std::uint64_t sent_expected_version = 0;
  };
  enum class Call { kNone, kRead, kWrite };
  struct Shard {
    Call call = Call::kNone;
    Instant call_started = {};
    std::optional<ClaimShard> cached =
        {};  // value of `version`, with the changes of a write in flight
    std::uint64_t version = 0;
    Instant cached_as_of = {};  // `base` was current at this time or later
    bool just_read = false;     // and not used for a write since
    bool must_read = false;
    std::uint64_t written_version = 0;  // by the latest write of this process
    bool uncontended = false;           // nobody else wrote between its latest two uses
    bool damaged = false;
    std::uint32_t consecutive_conflicts = 0;  // in a row
    Instant backoff_until = {};
    Instant last_used = {};
    std::vector<PendingClaim> claims = {};
    std::vector<PendingFinish> finishes = {};
    std::vector<PendingRelease> releases = {};

    bool IsIdle() const;
    // When its next call is due; Instant::max() when it has nothing to do.
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
  // Why a new claim is refused at once, if it is.
  std::optional<Error> RefusalFor(const Shard& shard, Instant deadline) const;
  void Reply(std::uint64_t id, Result<ClaimAnswer> answer);
  void RefuseUnavailable(std::uint64_t id, std::string detail);
  std::string MakeNonce();

  // Answers the claims whose deadline has passed.
  void ExpireClaims();
  // Sees to it that the nonce of a claim that was not granted is removed if it was written.
  void ReleaseIfWritten(Shard& shard, const PendingClaim& pending);
  // Refuses the claims of every shard that has no call in flight.
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

  // Applies what waits to the base; true when the result must be written. What the base settles
  // without a write is answered and removed.
  bool Apply(Shard& shard);
  bool ApplyReleases(Shard& shard, std::unordered_set<Digest>& changed_keys);
  bool ApplyFinishes(Shard& shard, std::unordered_set<Digest>& changed_keys);
  bool ApplyClaims(Shard& shard, std::unordered_set<Digest>& changed_keys);
  bool ApplyClaim(Shard& shard, PendingClaim& pending, std::unordered_set<Digest>& changed_keys);
  // The answer to a claim whose key is taken; final unless the claim found may have changed.
  void AnswerTakenKey(Shard& shard, PendingClaim& pending, const wire::Claim& found,
                      bool key_changed);
  // Uniform in [half, whole) of `base` doubled `doublings` times, at most `max`.
  Duration JitteredBackoff(Duration base, Duration max, std::uint32_t doublings);

  ClaimBatcherOptions options;
  Random& random;
  std::map<std::uint32_t, Shard> shards;  // those in use
  std::uint64_t last_nonce = 0;
  std::uint32_t calls_in_flight = 0;
  std::uint32_t consecutive_failures = 0;  // calls in a row
  Instant retry_at = {};
  std::uint32_t next_shard = 0;            // the first one considered by Pump()
  std::size_t unwritten_answer_bytes = 0;  // of outcomes that wait
  std::uint64_t dropped = 0;

  // Set for the duration of Handle().
  Instant now = {};
  std::uint64_t unix_s = 0;
  std::vector<ClaimAction> actions;
};

}  // namespace savory
