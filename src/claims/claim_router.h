// Chooses the process that writes a claim.
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

// A live entry.
struct EntryAddress {
  std::string vm;
  std::string peer;  // IP:PORT of the peer socket
};

struct ClaimRouterOptions {
  std::string vm;  // of this process
  std::uint32_t shards = 64;
  Duration forward_timeout = std::chrono::milliseconds(500);  // then this process writes itself
  std::size_t max_forwards = 10'000;                          // unanswered; more are not forwarded
  std::size_t max_unused_nonces = 1'000;  // nonces remembered, to release them after a late answer
  std::string nonce_prefix = std::string(8, '\0');  // 8 bytes, unique to this process
};

// ---- events ----

// A request of this process; `claim.nonce` is filled in by the router.
struct LocalClaimRequest {
  ClaimRequest request;
};
struct LocalClaimFinish {
  ClaimFinish finish;
};
struct LocalClaimRelease {
  ClaimRelease release;
};
// The live entries; with this process or without it.
struct EntriesChanged {
  std::vector<EntryAddress> entries;
};
// A message of another entry.
struct ForwardArrived {
  std::string peer;
  wire::ClaimForward forward;
};
struct ForwardAnswered {
  wire::ClaimForwardAnswer answer;
};
// A reply of this process's ClaimBatcher.
struct BatcherReplied {
  ClaimReply reply;
};
// Time has passed; see ClaimRouter::NextTick().
struct ClaimRouterTick {};

using ClaimRouterEvent =
    std::variant<LocalClaimRequest, LocalClaimFinish, LocalClaimRelease, EntriesChanged,
                 ForwardArrived, ForwardAnswered, BatcherReplied, ClaimRouterTick>;

// ---- actions ----

// Feed `event` to this process's ClaimBatcher.
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
// Answers the request of LocalClaimRequest.
struct AnswerLocalRequest {
  std::uint64_t id = 0;
  Result<ClaimAnswer> answer;
};

using ClaimRouterAction =
    std::variant<SubmitToBatcher, SendForward, SendForwardAnswer, AnswerLocalRequest>;

// Sends the claims of one shard to one entry, which groups them into few writes.
//
// That entry is chosen by rendezvous hash among the live entries. It is a hint only: entries may
// disagree about it and messages may be lost, because at-most-once rests on the compare-and-swap
// and the nonce alone. The entry that received the request chooses the nonce and is the only one
// that sends the attempt or removes the nonce. When no answer comes in time it runs the claim in
// its own batcher with the same nonce, which finds the nonce if the other entry has written it. A
// grant that comes later is ignored, or released when the nonce was not granted here. A forwarded
// claim is never forwarded again.
class ClaimRouter {
 public:
  explicit ClaimRouter(ClaimRouterOptions options);

  std::vector<ClaimRouterAction> Handle(const ClaimRouterEvent& event, Instant now);

  // When the next ClaimRouterTick is due; Instant::max() when none is.
  Instant NextTick() const;

 private:
  // What waits for the answer of another entry.
  struct PendingForward {
    ClaimEvent event;
    std::string nonce = {};
    Instant fallback_at = {};
  };
  // Who waits for a reply of the batcher.
  struct Requester {
    std::string peer = {};  // empty: a request of this process
    std::uint64_t id = 0;
    std::optional<std::uint64_t> forward = {};  // the forward that was not answered in time
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

  // Peer of the entry that writes the shard of `key`; empty when it is this process.
  std::string OwnerOf(const Digest& key);
  bool MayForward(const std::string& owner) const;
  void Forward(const std::string& owner, wire::ClaimForward forward, ClaimEvent event);
  void RunClaim(ClaimRequest request, Requester requester);
  void RunLocally(ClaimEvent event);
  void RunExpiredForwards();
  void RememberUnusedNonce(const Requester& requester);
  void ReleaseUnusedNonce(const wire::ClaimForwardAnswer& answer);
  std::string MakeNonce();

  ClaimRouterOptions options;
  std::vector<EntryAddress> entries;
  std::unordered_map<std::uint32_t, std::string> owners;  // peer by shard, filled in when asked
  std::unordered_map<std::uint64_t, PendingForward> pending_forwards;
  std::unordered_map<std::uint64_t, Requester> requesters;  // by id of the request in the batcher
  // Nonces that were not granted after a forward without an answer, and may still be: by forward.
  std::map<std::uint64_t, ClaimRelease> unused_nonces;
  std::uint64_t last_forward_id = 0;
  std::uint64_t last_batcher_id = 0;
  std::uint64_t last_nonce = 0;

  // Set for the duration of Handle().
  Instant now = {};
  std::vector<ClaimRouterAction> actions;
};

}  // namespace savory
