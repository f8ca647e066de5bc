#include "claims/claim_router.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "claims/claim_batcher.h"

namespace savory {
namespace {

// An unknown name gives kClaimUnavailable, which also means "not run".
ErrorKind ErrorKindFor(std::string_view name) {
  for (const ErrorKind kind : {ErrorKind::kClaimShardFull, ErrorKind::kKeyReused}) {
    if (AnswerFor(kind).name == name) return kind;
  }
  return ErrorKind::kClaimUnavailable;
}

wire::ClaimForwardAnswer ForwardAnswerOf(const Result<ClaimAnswer>& answer) {
  wire::ClaimForwardAnswer message;
  if (!answer) {
    message.set_outcome(wire::CLAIM_FORWARD_REFUSED);
    message.set_error(std::string(AnswerFor(answer.error().kind).name));
  } else if (const auto* found = std::get_if<ClaimFound>(&answer.value())) {
    message.set_outcome(wire::CLAIM_FORWARD_FOUND);
    *message.mutable_found() = found->claim;
  } else {
    message.set_outcome(wire::CLAIM_FORWARD_GRANTED);
  }
  return message;
}

wire::ClaimForward MakeForward(wire::ClaimForwardKind kind, const Digest& key,
                               const std::string& nonce) {
  wire::ClaimForward forward;
  forward.set_kind(kind);
  forward.mutable_claim()->set_key(std::string(key.View()));
  forward.mutable_claim()->set_nonce(nonce);
  return forward;
}

// Entries send only keys and nonces of these sizes.
bool IsValid(const wire::Claim& claim) {
  return claim.key().size() == Digest::kSize && claim.nonce().size() == ClaimShard::kNonceBytes;
}

}  // namespace

ClaimRouter::ClaimRouter(ClaimRouterOptions options) : options(std::move(options)) {
  assert(this->options.nonce_prefix.size() == ClaimShard::kNonceBytes / 2);
}

std::vector<ClaimRouterAction> ClaimRouter::Handle(const ClaimRouterEvent& event, Instant now) {
  this->now = now;
  this->SubmitExpiredForwards();
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  return std::exchange(this->actions, {});
}

Instant ClaimRouter::NextTick() const {
  Instant next = Instant::max();
  for (const auto& [id, waiting] : this->pending_forwards) {
    next = std::min(next, waiting.fallback_at);
  }
  return next;
}

void ClaimRouter::On(const LocalClaimRequest& event) {
  ClaimRequest request = event.request;
  request.claim.set_nonce(this->MakeNonce());
  const std::string owner = this->OwnerOf(DigestFromRaw(request.claim.key()));
  if (!this->MayForward(owner)) {
    const Requester requester{.id = request.id};
    this->SubmitClaim(std::move(request), requester);
    return;
  }
  wire::ClaimForward forward;
  forward.set_kind(wire::CLAIM_FORWARD_CLAIM);
  *forward.mutable_claim() = request.claim;
  forward.set_replaces(request.replaces);
  // The deadline counts from the arrival of the forward. The other entry therefore stops writing
  // the claim at about the time when this one submits it to its own batcher.
  const Duration left =
      std::clamp(request.deadline - this->now, Duration(0), this->options.forward_timeout);
  forward.set_deadline_ms(static_cast<std::uint32_t>(ToMillis(left)));
  request.may_be_written = true;
  this->Forward(owner, std::move(forward), std::move(request));
}

void ClaimRouter::On(const LocalClaimFinish& event) {
  const ClaimFinish& finish = event.finish;
  const std::string owner = this->OwnerOf(finish.key);
  if (!this->MayForward(owner)) return this->SubmitLocally(finish);
  wire::ClaimForward forward = MakeForward(wire::CLAIM_FORWARD_FINISH, finish.key, finish.nonce);
  forward.mutable_claim()->set_status(finish.answer.status);
  forward.mutable_claim()->set_answer_recorded(finish.answer.record);
  if (finish.answer.record) {
    forward.mutable_claim()->set_content_type(finish.answer.content_type);
    forward.mutable_claim()->set_answer(finish.answer.body);
  }
  this->Forward(owner, std::move(forward), finish);
}

void ClaimRouter::On(const LocalClaimRelease& event) {
  const ClaimRelease& release = event.release;
  const std::string owner = this->OwnerOf(release.key);
  if (!this->MayForward(owner)) return this->SubmitLocally(release);
  this->Forward(owner, MakeForward(wire::CLAIM_FORWARD_RELEASE, release.key, release.nonce),
                release);
}

void ClaimRouter::On(const EntriesChanged& event) {
  this->entries = event.entries;
  this->owners.clear();
}

void ClaimRouter::On(const ForwardArrived& event) {
  const wire::ClaimForward& forward = event.forward;
  const wire::Claim& claim = forward.claim();
  if (!IsValid(claim)) return;
  if (forward.kind() == wire::CLAIM_FORWARD_CLAIM) {
    this->SubmitClaim(
        ClaimRequest{.claim = claim,
                     .replaces = forward.replaces(),
                     .deadline = this->now + std::chrono::milliseconds(forward.deadline_ms()),
                     .forwarded = true},
        Requester{.peer = event.peer, .id = forward.request_id(), .nonce = claim.nonce()});
    return;
  }
  const Digest key = DigestFromRaw(claim.key());
  if (forward.kind() == wire::CLAIM_FORWARD_FINISH) {
    this->SubmitLocally(ClaimFinish{.key = key,
                                    .nonce = claim.nonce(),
                                    .answer = {.status = claim.status(),
                                               .content_type = claim.content_type(),
                                               .body = claim.answer(),
                                               .record = claim.answer_recorded()}});
  } else {
    this->SubmitLocally(ClaimRelease{.key = key, .nonce = claim.nonce()});
  }
  wire::ClaimForwardAnswer answer;
  answer.set_request_id(forward.request_id());
  answer.set_nonce(claim.nonce());
  answer.set_outcome(wire::CLAIM_FORWARD_ACCEPTED);
  this->actions.emplace_back(SendForwardAnswer{.peer = event.peer, .answer = std::move(answer)});
}

void ClaimRouter::On(const ForwardAnswered& event) {
  const auto found = this->pending_forwards.find(event.answer.request_id());
  if (found == this->pending_forwards.end()) return this->ReleaseUnusedNonce(event.answer);
  if (found->second.nonce != event.answer.nonce()) return;
  const PendingForward waiting = std::move(found->second);
  this->pending_forwards.erase(found);
  const auto* request = std::get_if<ClaimRequest>(&waiting.event);
  if (request == nullptr) return;
  AnswerLocalRequest reply{.id = request->id,
                           .answer = Error{.kind = ErrorKindFor(event.answer.error()),
                                           .detail = "refused by another entry"}};
  if (event.answer.outcome() == wire::CLAIM_FORWARD_GRANTED) {
    reply.answer = ClaimAnswer(ClaimGranted{.nonce = request->claim.nonce()});
  } else if (event.answer.outcome() == wire::CLAIM_FORWARD_FOUND) {
    reply.answer = ClaimAnswer(ClaimFound{.claim = event.answer.found()});
  } else if (reply.answer.error().kind == ErrorKind::kClaimUnavailable) {
    // The other entry may have written the nonce without getting a reply.
    this->SubmitLocally(
        ClaimRelease{.key = DigestFromRaw(request->claim.key()), .nonce = request->claim.nonce()});
  }
  this->actions.emplace_back(std::move(reply));
}

void ClaimRouter::On(const BatcherReplied& event) {
  const auto found = this->requesters.find(event.reply.id);
  assert(found != this->requesters.end());
  const Requester requester = std::move(found->second);
  this->requesters.erase(found);
  if (requester.peer.empty()) {
    const Result<ClaimAnswer>& answer = event.reply.answer;
    if (!answer || !std::holds_alternative<ClaimGranted>(answer.value())) {
      this->RememberUnusedNonce(requester);
    }
    this->actions.emplace_back(
        AnswerLocalRequest{.id = requester.id, .answer = event.reply.answer});
    return;
  }
  wire::ClaimForwardAnswer answer = ForwardAnswerOf(event.reply.answer);
  answer.set_request_id(requester.id);
  answer.set_nonce(requester.nonce);
  this->actions.emplace_back(
      SendForwardAnswer{.peer = requester.peer, .answer = std::move(answer)});
}

std::string ClaimRouter::OwnerOf(const Digest& key) {
  if (this->entries.empty()) return "";
  const std::uint32_t shard = ClaimBatcher::ShardOf(key, this->options.shards);
  const auto [owner, added] = this->owners.try_emplace(shard);
  if (!added) return owner->second;
  const std::string name = "claims/" + std::to_string(shard);
  const auto best =
      std::max_element(this->entries.begin(), this->entries.end(),
                       [&](const EntryAddress& a, const EntryAddress& b) {
                         return RendezvousScore(name, a.vm) < RendezvousScore(name, b.vm);
                       });
  if (best->vm != this->options.vm) owner->second = best->peer;
  return owner->second;
}

bool ClaimRouter::MayForward(const std::string& owner) const {
  return !owner.empty() && this->pending_forwards.size() < this->options.max_forwards;
}

void ClaimRouter::Forward(const std::string& owner, wire::ClaimForward forward, ClaimEvent event) {
  const std::uint64_t id = ++this->last_forward_id;
  forward.set_request_id(id);
  Instant fallback_at = this->now + this->options.forward_timeout;
  if (const auto* request = std::get_if<ClaimRequest>(&event)) {
    fallback_at = std::min(fallback_at, request->deadline);
  }
  this->pending_forwards.emplace(id, PendingForward{.event = std::move(event),
                                                    .nonce = forward.claim().nonce(),
                                                    .fallback_at = fallback_at});
  this->actions.emplace_back(SendForward{.peer = owner, .forward = std::move(forward)});
}

void ClaimRouter::SubmitClaim(ClaimRequest request, Requester requester) {
  request.id = ++this->last_batcher_id;
  this->requesters.emplace(request.id, std::move(requester));
  this->SubmitLocally(std::move(request));
}

void ClaimRouter::SubmitLocally(ClaimEvent event) {
  this->actions.emplace_back(SubmitToBatcher{.event = std::move(event)});
}

void ClaimRouter::SubmitExpiredForwards() {
  std::vector<std::uint64_t> due;
  for (const auto& [id, waiting] : this->pending_forwards) {
    if (waiting.fallback_at <= this->now) due.push_back(id);
  }
  std::sort(due.begin(), due.end());
  for (const std::uint64_t id : due) {
    ClaimEvent event = std::move(this->pending_forwards.at(id).event);
    this->pending_forwards.erase(id);
    if (auto* request = std::get_if<ClaimRequest>(&event)) {
      const Requester requester{.id = request->id,
                                .forward = id,
                                .key = DigestFromRaw(request->claim.key()),
                                .nonce = request->claim.nonce()};
      this->SubmitClaim(std::move(*request), requester);
    } else {
      this->SubmitLocally(std::move(event));
    }
  }
}

void ClaimRouter::RememberUnusedNonce(const Requester& requester) {
  if (!requester.forward) return;
  this->unused_nonces.emplace(*requester.forward,
                              ClaimRelease{.key = requester.key, .nonce = requester.nonce});
  if (this->unused_nonces.size() > this->options.max_unused_nonces) {
    this->unused_nonces.erase(this->unused_nonces.begin());
  }
}

void ClaimRouter::ReleaseUnusedNonce(const wire::ClaimForwardAnswer& answer) {
  const auto found = this->unused_nonces.find(answer.request_id());
  if (found == this->unused_nonces.end() || found->second.nonce != answer.nonce()) return;
  this->SubmitLocally(found->second);
  this->unused_nonces.erase(found);
}

std::string ClaimRouter::MakeNonce() {
  std::string nonce = this->options.nonce_prefix;
  const std::uint64_t number = ++this->last_nonce;
  for (int shift = 56; shift >= 0; shift -= 8) {
    nonce.push_back(static_cast<char>(number >> shift & 0xff));
  }
  return nonce;
}

}  // namespace savory
