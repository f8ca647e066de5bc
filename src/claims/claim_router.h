// Chooses the entry that writes each claim.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/time.h"
#include "claims/claim_answer.h"
#include "claims/claim_events.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct EntryAddress {
  std::string vm;
  std::string peer;  // IP:PORT of the peer socket
};

struct ClaimRouterOptions {
  std::string vm;  // of this process
  std::uint32_t shards = 64;
  Duration forward_timeout = std::chrono::milliseconds(500);  // then the claim is written here
  std::size_t max_forwards = 10'000;                          // unanswered; more are not forwarded
  std::size_t max_unused_nonces = 1'000;            // nonces kept for release after a late answer
  std::string nonce_prefix = std::string(8, '\0');  // 8 bytes, unique to this process
};

// ---- events ----

// A claim request of this process; the router fills in `claim.nonce`.
struct LocalClaimRequest {
  ClaimRequest request;
};
struct LocalClaimFinish {
  ClaimFinish finish;
};
struct LocalClaimRelease {
  ClaimRelease release;
};
// The live entries. The list may leave out this process.
struct EntriesChanged {
  std::vector<EntryAddress> entries;
};
// A forward received from another entry.
struct ForwardArrived {
  std::string peer;
  wire::ClaimForward forward;
};
struct ForwardAnswered {
  wire::ClaimForwardAnswer answer;
};
// A reply from the ClaimBatcher of this process.
struct BatcherReplied {
  ClaimReply reply;
};
// Sent at the time returned by ClaimRouter::NextTick().
struct ClaimRouterTick {};

using ClaimRouterEvent =
    std::variant<LocalClaimRequest, LocalClaimFinish, LocalClaimRelease, EntriesChanged,
                 ForwardArrived, ForwardAnswered, BatcherReplied, ClaimRouterTick>;

// ---- actions ----

// Passes `event` to the ClaimBatcher of this process.
struct SubmitToBatcher {
  ClaimEvent event;
};
struct SendForward {
  std::string peer;
  wire::ClaimForward forward;
};
struct SendForwardAnswer {
  std::string peer;
  wire::ClaimForwardAnswer answer;
};
// Answers a LocalClaimRequest.
struct AnswerLocalRequest {
  std::uint64_t id = 0;
  Result<ClaimAnswer> answer;
};

using ClaimRouterAction =
    std::variant<SubmitToBatcher, SendForward, SendForwardAnswer, AnswerLocalRequest>;

// Forwards the claims of each shard to the entry that owns the shard, which groups them into fewer
// writes.
//
// The owner is chosen by rendezvous hashing among the live entries. Correctness does not depend on
// it: entries may disagree about the owner and messages may be lost, because only the
// compare-and-swap and the nonce ensure at-most-once. The entry that received the request chooses
// the nonce. Only that entry sends the attempt or decides to remove the nonce. When no answer comes
// in time, it submits the claim to its own batcher with the same nonce, and the batcher finds the
// nonce if the owner has written it. When a late answer arrives, the nonce is released if it was
// not granted here; otherwise the answer is ignored. A forwarded claim is never forwarded again.
class ClaimRouter {
 public:
  explicit ClaimRouter(ClaimRouterOptions options);

  std::vector<ClaimRouterAction> Handle(const ClaimRouterEvent& event, Instant now);

  // When the next ClaimRouterTick is due; Instant::max() when none is.
  Instant NextTick() const;

 private:
  // A claim, outcome or release that waits for the answer of another entry.
  struct PendingForward {
    ClaimEvent event;
    std::string nonce = {};
    Instant fallback_at = {};
  };
  // The origin of a claim that was submitted to the batcher of this process.
  struct Requester {
    std::string peer = {};  // empty: this process
    std::uint64_t id = 0;
    std::optional<std::uint64_t> forward = {};  // the forward that timed out, if any
    Digest key = {};
    std::string nonce = {};
  };

  void On(const LocalClaimRequest& event);
  void On(const LocalClaimFinish& event);
  void On(const LocalClaimRelease& event);
  void On(const EntriesChanged& event);
  void On(const ForwardArrived& event);
  void On(const ForwardAnswered& event);
  void On(const BatcherReplied& event);
  void On(const ClaimRouterTick&) {}

  // Peer of the entry that owns the shard of `key`; empty if this process writes it.
  std::string OwnerOf(const Digest& key);
  bool MayForward(const std::string& owner) const;
  void Forward(const std::string& owner, wire::ClaimForward forward, ClaimEvent event);
  void SubmitClaim(ClaimRequest request, Requester requester);
  void SubmitLocally(ClaimEvent event);
  void SubmitExpiredForwards();
  void RememberUnusedNonce(const Requester& requester);
  void ReleaseUnusedNonce(const wire::ClaimForwardAnswer& answer);
  std::string MakeNonce();

  ClaimRouterOptions options;
  std::vector<EntryAddress> entries;
  std::unordered_map<std::uint32_t, std::string> owners;  // cache of OwnerOf(): peer by shard
  std::unordered_map<std::uint64_t, PendingForward> pending_forwards;
  std::unordered_map<std::uint64_t, Requester> requesters;  // by id of the request in the batcher
  // Nonces that were not granted here after their forward timed out, by the id of the forward. The
  // owner may still write them.
  std::map<std::uint64_t, ClaimRelease> unused_nonces;
  std::uint64_t last_forward_id = 0;
  std::uint64_t last_batcher_id = 0;
  std::uint64_t last_nonce = 0;

  // Valid during Handle().
  Instant now = {};
  std::vector<ClaimRouterAction> actions;
};

}  // namespace savory
