#include "membership/membership.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <tuple>

#include "membership/member_update.h"
#include "membership/update_queue.h"

namespace savory {
namespace {

// Each update is sent kRetransmitFactor * log2(members) times. With 3, an update reaches every
// member although some messages are lost.
constexpr double kRetransmitFactor = 3;
// Pings per period to listed VMs that are not members yet.
constexpr std::size_t kCandidatePings = 3;
// Pings per period to suspects found by this process and to leaving members that do not answer.
constexpr std::size_t kSuspectPings = 10;
// Pings per received page of a peer's list to members that are dead here but not at the peer.
constexpr std::size_t kDisputedPings = 20;
constexpr std::size_t kJoinPeers = 3;
constexpr Duration kRelayTimeout = std::chrono::seconds(2);

// Precedence of states with the same (incarnation, update). Only the member itself can return to a
// lower one, with a higher `update`.
int Rank(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kLeaving:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 0;
}

bool IsNewer(const Member& left, const Member& right) {
  return std::tuple(left.incarnation, left.update, Rank(left.state)) >
         std::tuple(right.incarnation, right.update, Rank(right.state));
}

struct MemberRecord {
  Member member;
  Instant suspected_at = {};
  Instant dead_at = {};
  bool suspected_locally = false;        // by an unanswered ping of this process
  bool leaving_unresponsive = false;     // a leaving member that did not answer a ping
  bool listed_leaving = false;           // the VM list says "leaving"
  std::uint64_t listed_incarnation = 0;  // incarnation when "leaving" was first read
};

// The ping of the current period, which decides whether its target is suspected.
struct Probe {
  std::string vm;
  std::string peer;
  std::uint64_t sequence = 0;
  Instant sent_at = {};
  bool indirect = false;
};

// A ping sent on behalf of another member.
struct RelayedPing {
  std::string requester;  // IP:PORT
  std::uint64_t sequence = 0;
  std::string target;
  Instant expires = {};
};

}  // namespace

struct Membership::Impl {
  Member self;
  MembershipOptions options;
  Random& random;

  std::map<std::string, MemberRecord, std::less<>> records = {};  // without this process
  std::vector<Member> view = {};
  bool view_stale = true;
  bool change_pending = true;

  UpdateQueue updates = {};
  std::vector<std::string> leaving_to_push = {};  // just became leaving; sent at the next tick

  std::vector<std::string> ping_round = {};  // members still to be pinged, last one first
  std::vector<std::string> dead_ping_round = {};
  std::optional<Probe> probe = std::nullopt;
  std::map<std::uint64_t, RelayedPing> relayed_pings = {};
  std::uint64_t sequence = 0;

  std::map<std::string, std::string, std::less<>> candidates = {};  // listed VMs: name -> peer
  std::vector<std::string> seeds = {};
  bool joined = false;
  std::string full_sync_peer = {};  // peer whose whole list is being read
  std::string sync_cursor = {};

  std::optional<Instant> last_tick = std::nullopt;
  Instant next_ping = {};
  Instant next_dead_ping = {};
  Instant next_sync = {};
  Instant next_full_sync = {};

  std::vector<Action> actions = {};

  // ---- sending ----

  void Send(const std::string& peer, wire::Envelope message) {
    if (peer.empty() || peer == this->self.peer) return;
    this->actions.push_back(SendMessage{.peer = peer, .message = std::move(message)});
  }

  // Adds the update of this process, then that of the member `about` if it is known, then queued
  // ones.
  template <typename Message>
  void AddUpdates(Message& message, std::string_view about = {}) {
    *message.add_updates() = ToUpdate(this->self);
    std::size_t room = this->options.max_updates - 1;
    const auto named = this->records.find(about);
    if (named != this->records.end()) {
      *message.add_updates() = ToUpdate(named->second.member);
      --room;
    }
    for (const std::string& vm : this->updates.Take(room)) {
      const auto found = this->records.find(vm);
      if (found != this->records.end() && vm != about) {
        *message.add_updates() = ToUpdate(found->second.member);
      }
    }
  }

  // Returns `vm` if it is suspect or dead here, otherwise an empty name. A message to that member
  // then carries this state, so that the member can refute it.
  std::string_view VmIfSuspectOrDead(std::string_view vm) const {
    const auto found = this->records.find(vm);
    if (found == this->records.end()) return {};
    const MemberState state = found->second.member.state;
    const bool doubtful = state == MemberState::kSuspect || state == MemberState::kDead;
    return doubtful ? vm : std::string_view();
  }

  // With `number` 0, the receiver sends no acknowledgement.
  void SendPing(const std::string& peer, std::string_view vm, std::uint64_t number) {
    wire::Envelope message;
    wire::Ping& ping = *message.mutable_ping();
    ping.set_sequence(number);
    ping.set_tables_revision(this->self.tables_revision);
    this->AddUpdates(ping, this->VmIfSuspectOrDead(vm));
    this->Send(peer, std::move(message));
  }

  void SendPull(const std::string& peer, const std::string& after) {
    wire::Envelope message;
    message.mutable_members_pull()->set_after_vm(after);
    this->Send(peer, std::move(message));
  }

  // ---- state ----

  std::size_t RetransmitCount() const {
    const double members = static_cast<double>(this->records.size() + 2);
    return static_cast<std::size_t>(std::ceil(kRetransmitFactor * std::log2(members)));
  }

  void QueueUpdate(const Member& member) {
    this->updates.Push(member.vm, this->RetransmitCount(), member.state != MemberState::kAlive);
  }

  void MarkChanged() {
    this->view_stale = true;
    this->change_pending = true;
  }

  void Store(MemberRecord& record, const Member& member, Instant now) {
    record.member = member;
    record.suspected_locally = false;
    record.leaving_unresponsive = false;
    if (member.state == MemberState::kSuspect) record.suspected_at = now;
    if (member.state == MemberState::kDead) record.dead_at = now;
    this->MarkChanged();
  }

  void SetState(MemberRecord& record, MemberState state, Instant now) {
    Member changed = record.member;
    changed.state = state;
    this->Store(record, changed, now);
    this->QueueUpdate(changed);
  }

  void Refute(const Member& reported) {
    if (reported.incarnation > this->self.incarnation) return;
    const bool same_incarnation = reported.incarnation == this->self.incarnation;
    const bool current = same_incarnation && reported.update >= this->self.update;
    if (current && (reported.state != this->self.state || reported.update > this->self.update)) {
      this->self.update = reported.update + 1;
      this->MarkChanged();
    }
  }

  void Insert(const Member& member, Instant now) {
    MemberRecord record;
    this->Store(record, member, now);
    this->records.emplace(member.vm, std::move(record));
    this->candidates.erase(member.vm);
    const auto place = static_cast<std::ptrdiff_t>(
        UniformBelow(this->random, static_cast<std::uint64_t>(this->ping_round.size()) + 1));
    this->ping_round.insert(this->ping_round.begin() + place, member.vm);
  }

  // Stores `reported` if it is newer than the known record. With `queue_updates`, also queues it
  // for other members.
  void Merge(const Member& reported, Instant now, bool queue_updates) {
    if (reported.vm.empty() || reported.peer.empty()) return;
    if (reported.vm == this->self.vm) return this->Refute(reported);
    const auto found = this->records.find(reported.vm);
    if (found == this->records.end()) {
      // A late message must not restore a dead member that was already removed.
      if (reported.state == MemberState::kDead) return;
      this->Insert(reported, now);
    } else {
      if (!IsNewer(reported, found->second.member)) return;
      this->Store(found->second, reported, now);
    }
    if (reported.state == MemberState::kLeaving) this->leaving_to_push.push_back(reported.vm);
    if (queue_updates) this->QueueUpdate(reported);
  }

  template <typename Updates>
  void MergeAll(const Updates& received, Instant now, bool queue_updates) {
    for (const wire::MemberUpdate& update : received) {
      this->Merge(FromUpdate(update), now, queue_updates);
    }
  }

  bool IsDead(std::string_view vm) const {
    const auto found = this->records.find(vm);
    return found != this->records.end() && found->second.member.state == MemberState::kDead;
  }

  void RecordRevision(const wire::Envelope& message, std::uint64_t revision) {
    const auto found = this->records.find(message.from_vm());
    if (found == this->records.end()) return;
    if (found->second.member.tables_revision != revision) this->view_stale = true;
    found->second.member.tables_revision = revision;
    if (revision <= this->self.tables_revision) return;
    this->actions.push_back(HigherRevisionSeen{.vm = message.from_vm()});
  }

  // Merges the updates of a message. If its sender was dead here and is alive now, as after a
  // partition, asks it for its whole list, since it probably knows other live members that are dead
  // here.
  template <typename Message>
  void MergeMessage(const wire::Envelope& envelope, const Message& message, Instant now) {
    const bool was_dead = this->IsDead(envelope.from_vm());
    this->MergeAll(message.updates(), now, true);
    if (!was_dead || this->IsDead(envelope.from_vm()) || now < this->next_full_sync) return;
    this->next_full_sync = now + this->options.dead_ping_period;
    this->full_sync_peer = envelope.from_peer();
    this->SendPull(this->full_sync_peer, "");
  }

  // ---- messages ----

  void OnPing(const wire::Envelope& envelope, Instant now) {
    const wire::Ping& ping = envelope.ping();
    this->MergeMessage(envelope, ping, now);
    this->RecordRevision(envelope, ping.tables_revision());
    if (ping.sequence() == 0) return;
    wire::Envelope answer;
    wire::PingAck& ack = *answer.mutable_ping_ack();
    ack.set_sequence(ping.sequence());
    ack.set_tables_revision(this->self.tables_revision);
    this->AddUpdates(ack, this->VmIfSuspectOrDead(envelope.from_vm()));
    this->Send(envelope.from_peer(), std::move(answer));
  }

  void OnPingAck(const wire::Envelope& envelope, Instant now) {
    const wire::PingAck& ack = envelope.ping_ack();
    this->MergeMessage(envelope, ack, now);
    if (ack.target_vm().empty()) this->RecordRevision(envelope, ack.tables_revision());
    const auto sender = this->records.find(envelope.from_vm());
    if (sender != this->records.end()) sender->second.leaving_unresponsive = false;
    if (this->probe && this->probe->sequence == ack.sequence()) this->probe.reset();
    const auto relayed_ping = this->relayed_pings.find(ack.sequence());
    if (relayed_ping == this->relayed_pings.end()) return;
    wire::Envelope answer;
    wire::PingAck& relayed_ack = *answer.mutable_ping_ack();
    relayed_ack.set_sequence(relayed_ping->second.sequence);
    relayed_ack.set_target_vm(relayed_ping->second.target);
    relayed_ack.set_tables_revision(this->self.tables_revision);
    this->AddUpdates(relayed_ack, relayed_ping->second.target);
    this->Send(relayed_ping->second.requester, std::move(answer));
    this->relayed_pings.erase(relayed_ping);
  }

  void OnPingRequest(const wire::Envelope& envelope, Instant now) {
    const wire::PingRequest& request = envelope.ping_request();
    this->MergeMessage(envelope, request, now);
    const std::uint64_t number = ++this->sequence;
    this->relayed_pings.emplace(number, RelayedPing{.requester = envelope.from_peer(),
                                                    .sequence = request.sequence(),
                                                    .target = request.target_vm(),
                                                    .expires = now + kRelayTimeout});
    this->SendPing(request.target_peer(), request.target_vm(), number);
  }

  void OnMembersPull(const wire::Envelope& envelope) {
    wire::Envelope answer;
    wire::MembersPush& push = *answer.mutable_members_push();
    *push.add_updates() = ToUpdate(this->self);
    auto next = this->records.upper_bound(envelope.members_pull().after_vm());
    std::size_t room = this->options.page_members;
    for (; next != this->records.end() && room > 0; ++next) {
      if (next->second.member.state == MemberState::kDead) continue;
      *push.add_updates() = ToUpdate(next->second.member);
      push.set_last_vm(next->first);
      --room;
    }
    if (next == this->records.end()) push.clear_last_vm();
    this->Send(envelope.from_peer(), std::move(answer));
  }

  void OnMembersPush(const wire::Envelope& envelope, Instant now) {
    const wire::MembersPush& push = envelope.members_push();
    this->PingDisputed(push);
    this->MergeAll(push.updates(), now, false);
    const bool complete = push.last_vm().empty();
    if (complete) this->joined = true;
    if (this->full_sync_peer != envelope.from_peer()) {
      this->sync_cursor = push.last_vm();
      return;
    }
    if (complete) {
      this->full_sync_peer.clear();
      return;
    }
    this->SendPull(this->full_sync_peer, push.last_vm());
  }

  // Pings members that are dead here but not at the peer. A live one refutes with a higher
  // `update`.
  void PingDisputed(const wire::MembersPush& push) {
    std::vector<std::string> disputed;
    for (const wire::MemberUpdate& update : push.updates()) {
      const auto found = this->records.find(update.vm());
      if (found == this->records.end()) continue;
      const Member& known = found->second.member;
      if (known.state == MemberState::kDead && known.incarnation == update.incarnation() &&
          known.update >= update.update()) {
        disputed.push_back(update.vm());
      }
    }
    std::shuffle(disputed.begin(), disputed.end(), this->random);
    if (disputed.size() > kDisputedPings) disputed.resize(kDisputedPings);
    for (const std::string& vm : disputed) {
      this->SendPing(this->records.find(vm)->second.member.peer, vm, ++this->sequence);
    }
  }

  // ---- timers ----

  std::vector<std::string> RandomMembers(std::size_t count, std::string_view except) {
    std::vector<std::string> names;
    for (const auto& [vm, record] : this->records) {
      if (record.member.state != MemberState::kDead && vm != except) names.push_back(vm);
    }
    // Partial Fisher-Yates shuffle.
    const std::size_t taken = std::min(count, names.size());
    for (std::size_t i = 0; i < taken; ++i) {
      std::swap(names[i], names[i + UniformBelow(this->random, names.size() - i)]);
    }
    names.resize(taken);
    return names;
  }

  // Takes the next member from the shuffled round `names` and refills it when it is empty. Returns
  // an empty name if there is no such member.
  std::string NextInRound(std::vector<std::string>& names, bool dead) {
    for (int pass = 0; pass < 2; ++pass) {
      while (!names.empty()) {
        std::string vm = std::move(names.back());
        names.pop_back();
        if (this->records.contains(vm) && this->IsDead(vm) == dead) return vm;
      }
      for (const auto& [vm, record] : this->records) {
        if ((record.member.state == MemberState::kDead) == dead) names.push_back(vm);
      }
      std::shuffle(names.begin(), names.end(), this->random);
    }
    return {};
  }

  // A paused process reads no answers. After a pause, the current probe and the relayed pings are
  // therefore dropped, and all suspicions are extended by the length of the pause.
  void CompensateForPause(Instant now) {
    if (!this->last_tick || now - *this->last_tick <= this->options.pause_threshold) return;
    const Duration gap = now - *this->last_tick;
    this->probe.reset();
    this->relayed_pings.clear();
    for (auto& [vm, record] : this->records) record.suspected_at += gap;
    this->next_ping = now + this->options.ack_timeout;
  }

  void PingIndirectly(Instant now) {
    if (!this->probe || this->probe->indirect) return;
    if (now - this->probe->sent_at < this->options.ack_timeout) return;
    this->probe->indirect = true;
    for (const std::string& vm :
         this->RandomMembers(this->options.indirect_pings, this->probe->vm)) {
      wire::Envelope message;
      wire::PingRequest& request = *message.mutable_ping_request();
      request.set_sequence(this->probe->sequence);
      request.set_target_vm(this->probe->vm);
      request.set_target_peer(this->probe->peer);
      this->AddUpdates(request);
      this->Send(this->records.find(vm)->second.member.peer, std::move(message));
    }
  }

  void EndProbe(Instant now) {
    if (!this->probe) return;
    const auto found = this->records.find(this->probe->vm);
    this->probe.reset();
    if (found == this->records.end()) return;
    MemberRecord& record = found->second;
    if (record.member.state == MemberState::kAlive) {
      this->SetState(record, MemberState::kSuspect, now);
      record.suspected_locally = true;
    }
    if (record.member.state == MemberState::kLeaving && !record.leaving_unresponsive) {
      record.leaving_unresponsive = true;
      record.suspected_at = now;
    }
  }

  void StartProbe(Instant now) {
    const std::string vm = this->NextInRound(this->ping_round, false);
    if (vm.empty()) return;
    const std::string& peer = this->records.find(vm)->second.member.peer;
    this->probe = Probe{.vm = vm, .peer = peer, .sequence = ++this->sequence, .sent_at = now};
    this->SendPing(peer, vm, this->probe->sequence);
  }

  void PingSuspects() {
    std::size_t room = kSuspectPings;
    for (const auto& [vm, record] : this->records) {
      if (room == 0) return;
      if (!record.suspected_locally && !record.leaving_unresponsive) continue;
      this->SendPing(record.member.peer, vm, ++this->sequence);
      --room;
    }
  }

  void PingCandidates() {
    std::vector<std::pair<std::string, std::string>> rows(this->candidates.begin(),
                                                          this->candidates.end());
    std::shuffle(rows.begin(), rows.end(), this->random);
    if (rows.size() > kCandidatePings) rows.resize(kCandidatePings);
    for (const auto& [vm, peer] : rows) this->SendPing(peer, vm, ++this->sequence);
  }

  // Asks seeds, listed VMs and known members for their lists until one list was read to the end.
  void Join() {
    if (this->joined) return;
    std::vector<std::string> peers = this->seeds;
    for (const auto& [vm, peer] : this->candidates) peers.push_back(peer);
    for (const auto& [vm, record] : this->records) peers.push_back(record.member.peer);
    std::shuffle(peers.begin(), peers.end(), this->random);
    if (peers.size() > kJoinPeers) peers.resize(kJoinPeers);
    for (const std::string& peer : peers) this->SendPull(peer, "");
    if (!peers.empty()) this->full_sync_peer = peers.front();
  }

  void RunPingPeriod(Instant now) {
    if (now < this->next_ping) return;
    this->EndProbe(now);
    this->StartProbe(now);
    this->PingSuspects();
    this->PingCandidates();
    this->Join();
    this->next_ping = now + this->options.ping_period;
  }

  void PingDead(Instant now) {
    if (now < this->next_dead_ping) return;
    this->next_dead_ping = now + this->options.dead_ping_period;
    const std::string vm = this->NextInRound(this->dead_ping_round, true);
    if (vm.empty()) return;
    this->SendPing(this->records.find(vm)->second.member.peer, vm, ++this->sequence);
  }

  void Sync(Instant now) {
    if (now < this->next_sync) return;
    this->next_sync = now + this->options.sync_period;
    for (const std::string& vm : this->RandomMembers(1, "")) {
      this->SendPull(this->records.find(vm)->second.member.peer, this->sync_cursor);
    }
  }

  void ExpireSuspectsAndDead(Instant now) {
    for (auto row = this->records.begin(); row != this->records.end();) {
      MemberRecord& record = row->second;
      const bool suspected =
          record.member.state == MemberState::kSuspect || record.leaving_unresponsive;
      if (suspected && now - record.suspected_at >= this->options.suspicion) {
        this->SetState(record, MemberState::kDead, now);
      }
      const bool expired = record.member.state == MemberState::kDead &&
                           now - record.dead_at >= this->options.dead_retention;
      if (!expired) {
        ++row;
        continue;
      }
      this->updates.Remove(row->first);
      row = this->records.erase(row);
    }
  }

  void PushLeaving() {
    if (this->leaving_to_push.empty()) return;
    for (const std::string& vm : this->leaving_to_push) {
      const auto found = this->records.find(vm);
      if (found != this->records.end()) this->QueueUpdate(found->second.member);
    }
    this->leaving_to_push.clear();
    for (const std::string& vm : this->RandomMembers(this->options.leave_fan_out, "")) {
      this->SendPing(this->records.find(vm)->second.member.peer, vm, 0);
    }
  }

  void OnTick(Instant now) {
    this->CompensateForPause(now);
    this->last_tick = now;
    std::erase_if(this->relayed_pings,
                  [now](const auto& row) { return row.second.expires <= now; });
    this->PingIndirectly(now);
    this->ExpireSuspectsAndDead(now);
    this->RunPingPeriod(now);
    this->PingDead(now);
    this->Sync(now);
    this->PushLeaving();
    if (this->change_pending) this->actions.push_back(MembersChanged{});
    this->change_pending = false;
  }

  // ---- other events ----

  Duration RandomOffset(Duration period) {
    return Duration(UniformBelow(this->random, static_cast<std::uint64_t>(period.count())));
  }

  void On(const Start& event, Instant now) {
    this->seeds = event.seeds;
    // Random offsets keep processes that start together from sending at the same times.
    this->next_ping = now + this->RandomOffset(this->options.ping_period);
    this->next_dead_ping = now + this->RandomOffset(this->options.dead_ping_period);
    this->next_sync = now + this->RandomOffset(this->options.sync_period);
    this->Join();
  }

  void On(const MessageArrived& event, Instant now) {
    const wire::Envelope& message = event.message;
    switch (message.body_case()) {
      case wire::Envelope::kPing:
        return this->OnPing(message, now);
      case wire::Envelope::kPingAck:
        return this->OnPingAck(message, now);
      case wire::Envelope::kPingRequest:
        return this->OnPingRequest(message, now);
      case wire::Envelope::kMembersPull:
        return this->OnMembersPull(message);
      case wire::Envelope::kMembersPush:
        return this->OnMembersPush(message, now);
      default:
        return;
    }
  }

  // The VM list lags behind. Its "leaving" therefore applies only to the incarnation for which it
  // was first read: a process that was restarted on a VM of the same name is not leaving.
  void On(const VmListArrived& event, Instant) {
    this->candidates.clear();
    for (const ListedVm& listed : event.vms) {
      if (listed.vm == this->self.vm) continue;
      const auto found = this->records.find(listed.vm);
      if (found == this->records.end()) {
        this->candidates.emplace(listed.vm, listed.peer);
        continue;
      }
      MemberRecord& record = found->second;
      if (listed.leaving && !record.listed_leaving) {
        record.listed_incarnation = record.member.incarnation;
      }
      if (listed.leaving != record.listed_leaving) this->MarkChanged();
      record.listed_leaving = listed.leaving;
    }
    this->Join();
  }

  void On(const ReadyChanged& event, Instant) {
    if (this->self.ready == event.ready && this->self.loaded_manifest == event.loaded_manifest) {
      return;
    }
    this->self.ready = event.ready;
    this->self.loaded_manifest = event.loaded_manifest;
    ++this->self.update;
    this->MarkSelfChanged();
  }

  void On(const RevisionChanged& event, Instant) {
    this->self.tables_revision = event.revision;
    this->view_stale = true;
  }

  void On(const LeaveOrdered&, Instant) {
    if (this->self.state == MemberState::kLeaving) return;
    this->self.state = MemberState::kLeaving;
    ++this->self.update;
    this->MarkSelfChanged();
    for (const std::string& vm : this->RandomMembers(this->options.leave_fan_out, "")) {
      this->SendPing(this->records.find(vm)->second.member.peer, vm, 0);
    }
  }

  void On(const Tick&, Instant now) { this->OnTick(now); }

  // Each message with updates includes the update of this process, so that one is not queued.
  void MarkSelfChanged() { this->MarkChanged(); }

  // ---- view ----

  Member WithListedState(const MemberRecord& record) const {
    Member member = record.member;
    const bool listed = record.listed_leaving && record.listed_incarnation == member.incarnation;
    if (listed && member.state != MemberState::kDead) member.state = MemberState::kLeaving;
    return member;
  }

  void RebuildView() {
    if (!this->view_stale) return;
    this->view_stale = false;
    this->view.clear();
    this->view.push_back(this->self);
    for (const auto& [vm, record] : this->records) {
      if (record.member.state != MemberState::kDead) {
        this->view.push_back(this->WithListedState(record));
      }
    }
    std::sort(this->view.begin(), this->view.end(),
              [](const Member& left, const Member& right) { return left.vm < right.vm; });
  }
};

Membership::Membership(Member self, MembershipOptions options, Random& random)
    : impl(std::make_unique<Impl>(
          Impl{.self = std::move(self), .options = options, .random = random})) {
  this->impl->RebuildView();
}
Membership::~Membership() = default;

std::vector<Membership::Action> Membership::Handle(const Event& event, Instant now) {
  std::visit([this, now](const auto& typed) { this->impl->On(typed, now); }, event);
  this->impl->RebuildView();
  return std::exchange(this->impl->actions, {});
}

const std::vector<Member>& Membership::Members() const { return this->impl->view; }

const Member* Membership::Find(std::string_view vm) const {
  const auto& view = this->impl->view;
  const auto found = std::lower_bound(
      view.begin(), view.end(), vm,
      [](const Member& member, std::string_view name) { return member.vm < name; });
  return found != view.end() && found->vm == vm ? &*found : nullptr;
}

std::size_t Membership::DeadCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->impl->records.begin(), this->impl->records.end(),
                    [](const auto& row) { return row.second.member.state == MemberState::kDead; }));
}

}  // namespace savory
