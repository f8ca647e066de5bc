#include "claims/claim_batcher.h"

#include <algorithm>
#include <cassert>
#include <sstream>
#include <utility>

namespace savory {
namespace {

constexpr std::uint32_t kMaxDoublings = 16;

Digest KeyOf(const wire::Claim& claim) { return DigestFromRaw(claim.key()); }

Error Unavailable(std::string_view detail, std::optional<Duration> retry_after = std::nullopt) {
  return Error{.kind = ErrorKind::kClaimUnavailable,
               .detail = std::string(detail),
               .retry_after = retry_after};
}

std::size_t AnswerBytes(const RecordedAnswer& answer) {
  return answer.body.size() + answer.content_type.size();
}

bool IsGrant(const Result<ClaimAnswer>& answer) {
  return answer.has_value() && std::holds_alternative<ClaimGranted>(answer.value());
}

}  // namespace

bool ClaimBatcher::Shard::IsIdle() const {
  return this->claims.empty() && this->finishes.empty() && this->releases.empty();
}

Instant ClaimBatcher::Shard::Due() const {
  Instant due = Instant::max();
  for (const PendingClaim& pending : this->claims) due = std::min(due, pending.ready_at);
  for (const PendingFinish& pending : this->finishes) due = std::min(due, pending.ready_at);
  for (const PendingRelease& pending : this->releases) due = std::min(due, pending.ready_at);
  return std::max(due, this->backoff_until);
}

bool ClaimBatcher::Shard::NeedsRead() const {
  if (!this->cached || this->must_read) return true;
  // While other processes write this shard too, a write from a cached value is likely to conflict.
  return !this->uncontended && !this->just_read;
}

ClaimBatcher::ClaimBatcher(ClaimBatcherOptions options, Random& random)
    : options(std::move(options)), random(random) {
  assert(this->options.nonce_prefix.size() == ClaimShard::kNonceBytes / 2);
}

std::vector<ClaimAction> ClaimBatcher::Handle(const ClaimEvent& event, Instant now,
                                              std::uint64_t unix_s) {
  this->now = now;
  this->unix_s = unix_s;
  this->ExpireClaims();
  std::visit([this](const auto& typed) { this->On(typed); }, event);
  this->StartDueCalls();
  return std::exchange(this->actions, {});
}

Instant ClaimBatcher::NextTick() const {
  Instant next = Instant::max();
  const bool blocked = this->calls_in_flight >= this->options.max_calls ||
                       (this->InOutage() && this->calls_in_flight > 0);
  for (const auto& [number, shard] : this->shards) {
    for (const PendingClaim& pending : shard.claims) next = std::min(next, pending.deadline);
    if (shard.call != Call::kNone) continue;
    if (shard.IsIdle()) {
      next = std::min(next, shard.last_used + this->options.cache_retention);
    } else if (!blocked) {
      next = std::min(next, std::max(shard.Due(), this->retry_at));
    }
  }
  return next;
}

std::uint32_t ClaimBatcher::ShardOf(const Digest& key, std::uint32_t shards) {
  std::uint64_t head = 0;
  for (std::size_t i = 0; i < sizeof(head); ++i) head = head << 8 | key.bytes[i];
  return static_cast<std::uint32_t>(head % shards);
}

bool ClaimBatcher::InOutage() const {
  return this->consecutive_failures >= this->options.failures_until_outage;
}

std::size_t ClaimBatcher::Unwritten() const {
  std::size_t count = 0;
  for (const auto& [number, shard] : this->shards) {
    count += shard.finishes.size() + shard.releases.size();
  }
  return count;
}

std::size_t ClaimBatcher::DamagedShards() const {
  return static_cast<std::size_t>(
      std::count_if(this->shards.begin(), this->shards.end(),
                    [](const auto& row) { return row.second.damaged; }));
}

// ---- events ----

std::optional<Error> ClaimBatcher::RefusalFor(const Shard& shard, Instant deadline) const {
  if (this->InOutage() && (this->now < this->retry_at || this->calls_in_flight > 0)) {
    return Unavailable("the key-value service is unavailable",
                       std::max(this->retry_at - this->now, this->options.outage_backoff));
  }
  if (deadline <= this->now) return Unavailable("the deadline has passed");
  if (shard.claims.size() >= this->options.max_waiting_claims) {
    return Unavailable("too many claims wait", this->options.outage_backoff);
  }
  if (shard.damaged && this->now < shard.backoff_until) {
    return Unavailable("the value of the claim shard is damaged");
  }
  return std::nullopt;
}

void ClaimBatcher::On(const ClaimRequest& event) {
  const bool probe = this->InOutage();
  Shard& shard = this->ShardFor(KeyOf(event.claim));
  PendingClaim pending{.id = event.id,
                       .claim = event.claim,
                       .replaces = event.replaces,
                       .arrived_at = this->now,
                       .ready_at = this->now + (probe ? Duration(0) : this->options.batch_delay),
                       .deadline = event.deadline,
                       .forwarded = event.forwarded,
                       .may_be_written = event.may_be_written};
  if (pending.claim.nonce().empty()) pending.claim.set_nonce(this->MakeNonce());
  pending.claim.set_claimed_unix_s(this->unix_s);
  if (auto error = this->RefusalFor(shard, event.deadline)) {
    this->Reply(event.id, std::move(*error));
    this->ReleaseIfWritten(shard, pending);
    this->DropExcessUnwritten();
    return;
  }
  shard.claims.push_back(std::move(pending));
}

void ClaimBatcher::On(const ClaimFinish& event) {
  Shard& shard = this->ShardFor(event.key);
  PendingFinish pending{.key = event.key,
                        .nonce = event.nonce,
                        .answer = event.answer,
                        .arrived_at = this->now,
                        .ready_at = this->now + this->options.outcome_delay};
  RecordedAnswer& answer = pending.answer;
  const std::size_t bytes = AnswerBytes(answer);
  if (!answer.record || bytes > this->options.limits.max_recorded_answer_bytes ||
      this->unwritten_answer_bytes + bytes > this->options.max_unwritten_answer_bytes) {
    answer = RecordedAnswer{.status = answer.status, .record = false};
  }
  this->unwritten_answer_bytes += AnswerBytes(answer);
  shard.finishes.push_back(std::move(pending));
  this->DropExcessUnwritten();
}

void ClaimBatcher::On(const ClaimRelease& event) {
  Shard& shard = this->ShardFor(event.key);
  const auto matching = std::find_if(
      shard.claims.begin(), shard.claims.end(),
      [&](const PendingClaim& pending) { return pending.claim.nonce() == event.nonce; });
  if (matching != shard.claims.end()) {
    this->Reply(matching->id, Unavailable("the claim was released"));
    this->ReleaseIfWritten(shard, *matching);
    shard.claims.erase(matching);
    return;
  }
  shard.releases.push_back(PendingRelease{.key = event.key,
                                          .nonce = event.nonce,
                                          .arrived_at = this->now,
                                          .ready_at = this->now + this->options.batch_delay});
  this->DropExcessUnwritten();
}

void ClaimBatcher::On(const ClaimReadDone& event) {
  Shard& shard = this->shards.at(event.shard);
  assert(shard.call == Call::kRead);
  this->CallEnded(shard);
  this->consecutive_failures = 0;
  auto decoded = ClaimShard::Decode(event.bytes, this->options.limits);
  shard.damaged = !decoded;
  if (!decoded) {
    shard.backoff_until = this->now + this->options.max_outage_backoff;
    this->RefuseClaims(shard, "the value of the claim shard is damaged");
    return;
  }
  shard.cached = std::move(decoded.value());
  shard.version = event.version;
  shard.cached_as_of = shard.call_started;
  shard.must_read = false;
  shard.just_read = true;
  shard.uncontended = event.version == shard.written_version;
}

void ClaimBatcher::On(const ClaimReadFailed& event) {
  Shard& shard = this->shards.at(event.shard);
  assert(shard.call == Call::kRead);
  this->CallEnded(shard);
  this->CallFailed();
}

void ClaimBatcher::On(const ClaimWriteDone& event) {
  Shard& shard = this->shards.at(event.shard);
  assert(shard.call == Call::kWrite);
  this->CallEnded(shard);
  switch (event.result) {
    case ClaimWriteResult::kWritten:
      this->consecutive_failures = 0;
      this->WriteConfirmed(shard, event.version);
      return;
    case ClaimWriteResult::kConflict:
      this->consecutive_failures = 0;
      this->WriteNotConfirmed(shard);
      shard.backoff_until = this->now + this->JitteredBackoff(this->options.conflict_backoff,
                                                              this->options.max_conflict_backoff,
                                                              shard.consecutive_conflicts);
      ++shard.consecutive_conflicts;
      return;
    case ClaimWriteResult::kUnavailable:
    case ClaimWriteResult::kOutcomeUnknown:
      this->WriteNotConfirmed(shard);
      this->CallFailed();
      return;
  }
}

// ---- claims that are not granted ----

ClaimBatcher::Shard& ClaimBatcher::ShardFor(const Digest& key) {
  Shard& shard = this->shards[ShardOf(key, this->options.shards)];
  shard.last_used = this->now;
  return shard;
}

void ClaimBatcher::Reply(std::uint64_t id, Result<ClaimAnswer> answer) {
  this->actions.emplace_back(ClaimReply{.id = id, .answer = std::move(answer)});
}

std::string ClaimBatcher::MakeNonce() {
  std::string nonce = this->options.nonce_prefix;
  const std::uint64_t number = ++this->last_nonce;
  for (int shift = 56; shift >= 0; shift -= 8) {
    nonce.push_back(static_cast<char>(number >> shift & 0xff));
  }
  return nonce;
}

void ClaimBatcher::ExpireClaims() {
  for (auto& [number, shard] : this->shards) {
    for (PendingClaim& pending : shard.claims) {
      if (this->now < pending.deadline) continue;
      this->Reply(pending.id, Unavailable("the claim was not confirmed in time"));
      this->ReleaseIfWritten(shard, pending);
      pending.answered = true;
    }
    std::erase_if(shard.claims, [](const PendingClaim& pending) { return pending.answered; });
  }
  this->DropExcessUnwritten();
}

void ClaimBatcher::ReleaseIfWritten(Shard& shard, const PendingClaim& pending) {
  if (!pending.may_be_written || pending.forwarded) return;
  const bool ruled_out = shard.cached && shard.version > pending.sent_expected_version;
  if (ruled_out && !shard.cached->HasUnfinished(KeyOf(pending.claim), pending.claim.nonce())) {
    return;
  }
  shard.releases.push_back(PendingRelease{.key = KeyOf(pending.claim),
                                          .nonce = pending.claim.nonce(),
                                          .arrived_at = this->now,
                                          .ready_at = this->now + this->options.batch_delay,
                                          .may_appear = true,
                                          .sent_expected_version = pending.sent_expected_version});
}

void ClaimBatcher::RefuseWaitingClaims() {
  for (auto& [number, shard] : this->shards) {
    if (shard.call != Call::kNone) continue;
    this->RefuseClaims(shard, "the key-value service is unavailable");
  }
}

void ClaimBatcher::RefuseClaims(Shard& shard, std::string_view detail) {
  for (const PendingClaim& pending : shard.claims) {
    this->Reply(pending.id, Unavailable(detail, this->options.outage_backoff));
    this->ReleaseIfWritten(shard, pending);
  }
  shard.claims.clear();
  this->DropExcessUnwritten();
}

void ClaimBatcher::DropExcessUnwritten() {
  for (std::size_t count = this->Unwritten(); count > this->options.max_unwritten; --count) {
    const auto largest = std::max_element(
        this->shards.begin(), this->shards.end(), [](const auto& a, const auto& b) {
          return a.second.finishes.size() + a.second.releases.size() <
                 b.second.finishes.size() + b.second.releases.size();
        });
    this->DropOldest(largest->second);
    ++this->dropped;
  }
}

void ClaimBatcher::DropOldest(Shard& shard) {
  if (shard.finishes.empty()) {
    shard.releases.erase(shard.releases.begin());
    return;
  }
  this->unwritten_answer_bytes -= AnswerBytes(shard.finishes.front().answer);
  shard.finishes.erase(shard.finishes.begin());
}

// ---- calls ----

void ClaimBatcher::CallEnded(Shard& shard) {
  shard.call = Call::kNone;
  shard.last_used = this->now;
  --this->calls_in_flight;
}

void ClaimBatcher::CallFailed() {
  this->retry_at = this->now + this->JitteredBackoff(this->options.outage_backoff,
                                                     this->options.max_outage_backoff,
                                                     this->consecutive_failures);
  ++this->consecutive_failures;
  if (this->InOutage()) this->RefuseWaitingClaims();
}

bool ClaimBatcher::MayCall() const {
  if (this->calls_in_flight >= this->options.max_calls) return false;
  if (this->consecutive_failures == 0) return true;
  if (this->now < this->retry_at) return false;
  return !this->InOutage() || this->calls_in_flight == 0;
}

void ClaimBatcher::StartDueCalls() {
  // Starts after the shard of the latest call, so that no shard uses up all calls.
  std::vector<std::uint32_t> order;
  const auto middle = this->shards.lower_bound(this->next_shard);
  for (auto row = middle; row != this->shards.end(); ++row) order.push_back(row->first);
  for (auto row = this->shards.begin(); row != middle; ++row) order.push_back(row->first);
  for (const std::uint32_t number : order) {
    if (!this->MayCall()) break;
    this->StartCall(number, this->shards.at(number));
  }
  this->EvictIdleShards();
}

void ClaimBatcher::StartCall(std::uint32_t number, Shard& shard) {
  if (shard.call != Call::kNone || this->now < shard.Due()) return;
  if (shard.NeedsRead()) {
    this->StartRead(number, shard);
    return;
  }
  if (this->Apply(shard)) {
    this->StartWrite(number, shard);
  } else if (shard.must_read) {
    this->StartRead(number, shard);
  }
}

void ClaimBatcher::EvictIdleShards() {
  std::erase_if(this->shards, [this](const auto& row) {
    const Shard& shard = row.second;
    return shard.call == Call::kNone && shard.IsIdle() &&
           shard.last_used + this->options.cache_retention <= this->now;
  });
}

void ClaimBatcher::StartRead(std::uint32_t number, Shard& shard) {
  shard.call = Call::kRead;
  shard.call_started = this->now;
  shard.cached.reset();
  ++this->calls_in_flight;
  this->next_shard = number + 1;
  this->actions.emplace_back(ClaimRead{.shard = number});
}

void ClaimBatcher::StartWrite(std::uint32_t number, Shard& shard) {
  for (PendingClaim& pending : shard.claims) {
    if (!pending.answer_if_written || !IsGrant(*pending.answer_if_written)) continue;
    pending.may_be_written = true;
    pending.sent_expected_version = shard.version;
  }
  shard.call = Call::kWrite;
  shard.call_started = this->now;
  shard.just_read = false;
  ++this->calls_in_flight;
  this->next_shard = number + 1;
  this->actions.emplace_back(
      ClaimWrite{.shard = number, .bytes = shard.cached->Encode(), .expected = shard.version});
}

void ClaimBatcher::WriteConfirmed(Shard& shard, std::uint64_t version) {
  shard.version = version;
  shard.written_version = version;
  shard.cached_as_of = shard.call_started;
  shard.consecutive_conflicts = 0;
  for (PendingClaim& pending : shard.claims) {
    if (!pending.answer_if_written) continue;
    const bool granted = IsGrant(*pending.answer_if_written);
    this->Reply(pending.id, std::move(*pending.answer_if_written));
    if (!granted) this->ReleaseIfWritten(shard, pending);
    pending.answered = true;
  }
  std::erase_if(shard.claims, [](const PendingClaim& pending) { return pending.answered; });
  std::erase_if(shard.releases, [](const PendingRelease& pending) { return pending.in_write; });
  std::erase_if(shard.finishes, [this](const PendingFinish& pending) {
    if (!pending.in_write) return false;
    this->unwritten_answer_bytes -= AnswerBytes(pending.answer);
    return true;
  });
}

void ClaimBatcher::WriteNotConfirmed(Shard& shard) {
  shard.cached.reset();
  shard.uncontended = false;
  for (PendingClaim& pending : shard.claims) pending.answer_if_written.reset();
  for (PendingFinish& pending : shard.finishes) pending.in_write = false;
  for (PendingRelease& pending : shard.releases) pending.in_write = false;
}

// ---- applying requests to the cached value ----

bool ClaimBatcher::Apply(Shard& shard) {
  std::unordered_set<Digest> changed_keys;
  shard.cached->Expire(this->unix_s);
  bool changed = this->ApplyReleases(shard, changed_keys);
  changed = this->ApplyFinishes(shard, changed_keys) || changed;
  changed = this->ApplyClaims(shard, changed_keys) || changed;
  if (changed) return true;
  // The remaining requests can only be resolved by a newer value.
  for (PendingClaim& pending : shard.claims) pending.answer_if_written.reset();
  shard.must_read = !shard.IsIdle();
  shard.just_read = false;
  return false;
}

bool ClaimBatcher::ApplyReleases(Shard& shard, std::unordered_set<Digest>& changed_keys) {
  bool changed = false;
  std::erase_if(shard.releases, [&](PendingRelease& pending) {
    const bool released = shard.cached->Release(pending.key, pending.nonce);
    if (released) changed_keys.insert(pending.key);
    // A delayed write that expected this version may still take effect. Writing the next version
    // makes it fail.
    const bool may_appear = pending.may_appear && shard.version <= pending.sent_expected_version;
    pending.in_write = released || may_appear;
    changed = changed || pending.in_write;
    if (pending.in_write) return false;
    // The nonce is absent. If a delayed write could add it, the value now has a higher version than
    // that write expects, so the nonce stays absent. Otherwise the cached value must be no
    // older than the release.
    return pending.may_appear || shard.cached_as_of >= pending.arrived_at;
  });
  return changed;
}

bool ClaimBatcher::ApplyFinishes(Shard& shard, std::unordered_set<Digest>& changed_keys) {
  bool changed = false;
  std::erase_if(shard.finishes, [&](PendingFinish& pending) {
    pending.in_write = shard.cached->Finish(pending.key, pending.nonce, pending.answer);
    if (pending.in_write) {
      changed_keys.insert(pending.key);
      changed = true;
      return false;
    }
    if (shard.cached_as_of < pending.arrived_at) return false;
    // The outcome was recorded before, or the claim no longer exists.
    this->unwritten_answer_bytes -= AnswerBytes(pending.answer);
    return true;
  });
  return changed;
}

bool ClaimBatcher::ApplyClaims(Shard& shard, std::unordered_set<Digest>& changed_keys) {
  bool changed = false;
  for (PendingClaim& pending : shard.claims) {
    changed = this->ApplyClaim(shard, pending, changed_keys) || changed;
  }
  std::erase_if(shard.claims, [](const PendingClaim& pending) { return pending.answered; });
  return changed;
}

bool ClaimBatcher::ApplyClaim(Shard& shard, PendingClaim& pending,
                              std::unordered_set<Digest>& changed_keys) {
  const Digest key = KeyOf(pending.claim);
  const wire::Claim* found = shard.cached->Find(key);
  if (found != nullptr && found->nonce() == pending.claim.nonce()) {
    if (changed_keys.contains(key)) {  // added by a duplicate in this batch
      pending.answer_if_written = ClaimAnswer(ClaimGranted{.nonce = pending.claim.nonce()});
      return false;
    }
    // An earlier write of this nonce took effect, but its reply was lost.
    this->Reply(pending.id, ClaimAnswer(ClaimGranted{.nonce = pending.claim.nonce()}));
    pending.answered = true;
    return false;
  }
  const bool replaces = found != nullptr && found->state() == wire::CLAIM_PENDING &&
                        found->nonce() == pending.replaces;
  if (found != nullptr && (!replaces || !ClaimShard::IsSameRequest(*found, pending.claim))) {
    this->AnswerTakenKey(shard, pending, *found, changed_keys.contains(key));
    return false;
  }
  auto added = replaces ? shard.cached->Replace(pending.claim) : shard.cached->Add(pending.claim);
  if (!added) {
    this->Reply(pending.id, added.error());
    this->ReleaseIfWritten(shard, pending);
    pending.answered = true;
    return false;
  }
  pending.answer_if_written = ClaimAnswer(ClaimGranted{.nonce = pending.claim.nonce()});
  changed_keys.insert(key);
  return true;
}

void ClaimBatcher::AnswerTakenKey(Shard& shard, PendingClaim& pending, const wire::Claim& found,
                                  bool key_changed) {
  wire::Claim claim = found;
  claim.set_key(pending.claim.key());
  Result<ClaimAnswer> answer = ClaimAnswer(ClaimFound{.claim = std::move(claim)});
  if (!ClaimShard::IsSameRequest(found, pending.claim)) {
    answer = Error{.kind = ErrorKind::kKeyReused,
                   .detail = "the idempotency key was used with another request"};
  }
  // A finished claim never changes. An unfinished one may have changed if the value was last known
  // to be current before this request arrived.
  const bool current =
      found.state() == wire::CLAIM_DONE || shard.cached_as_of >= pending.arrived_at;
  if (key_changed || !current) {
    pending.answer_if_written = std::move(answer);
    return;
  }
  this->Reply(pending.id, std::move(answer));
  this->ReleaseIfWritten(shard, pending);
  pending.answered = true;
}

Duration ClaimBatcher::JitteredBackoff(Duration base, Duration max, std::uint32_t doublings) {
  const Duration whole = std::min(max, base * (1 << std::min(doublings, kMaxDoublings)));
  if (whole.count() < 2) return whole;
  const auto half = static_cast<std::uint64_t>(whole.count() / 2);
  return Duration(static_cast<Duration::rep>(half + UniformBelow(this->random, half)));
}

std::string ClaimBatcher::DebugState() const {
  std::ostringstream out;
  out << "calls=" << this->calls_in_flight << " failures=" << this->consecutive_failures << '\n';
  for (const auto& [number, shard] : this->shards) {
    out << "shard=" << number << " call=" << static_cast<int>(shard.call)
        << " version=" << (shard.cached ? static_cast<std::int64_t>(shard.version) : -1)
        << " must_read=" << shard.must_read << " just_read=" << shard.just_read
        << " uncontended=" << shard.uncontended << " conflicts=" << shard.consecutive_conflicts
        << '\n';
    if (shard.cached) out << shard.cached->Encode() << '\n';
    for (const PendingClaim& pending : shard.claims) {
      out << "claim " << pending.id << ' ' << pending.may_be_written
          << pending.sent_expected_version << ' ' << pending.answer_if_written.has_value() << '\n';
    }
    for (const PendingFinish& pending : shard.finishes) {
      out << "finish " << pending.nonce << ' ' << pending.in_write << '\n';
    }
    for (const PendingRelease& pending : shard.releases) {
      out << "release " << pending.nonce << ' ' << pending.in_write << pending.may_appear
          << pending.sent_expected_version << '\n';
    }
  }
  return out.str();
}

}  // namespace savory
