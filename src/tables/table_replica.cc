#include "tables/table_replica.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace savory {
namespace {

constexpr std::string_view kWatchKey = "tables-watch";
constexpr std::string_view kRingKey = "tables-ring";

// Call to the service that is in progress.
enum class Call { kNone, kRead, kWatch };

}  // namespace

struct TableReplica::Impl {
  std::string vm;
  TableReplicaOptions options;
  Random& random;

  wire::Tables tables = {};
  std::uint64_t version = 0;          // of the key, as last read
  std::vector<TablePeer> peers = {};  // without this process, in ring order from its successor
  bool watcher = false;
  Instant watcher_since = {};

  bool started = false;
  Call call = Call::kNone;
  bool check_read_in_progress = false;  // a ReadService during a long poll
  Instant next_check = {};
  bool last_call_succeeded = false;
  bool initial_read_pending = true;  // no read has succeeded and no peer has sent tables
  int failures = 0;
  Instant next_call = {};
  Instant pull_deadline = {};  // in the past if no pull is in progress
  // Offer that arrived during a pull; it is pulled if that pull does not deliver its revision.
  std::string deferred_offer_peer = {};
  std::uint64_t deferred_offer_revision = 0;
  Instant next_start_pull = {};

  std::vector<Action> actions = {};

  void Apply(const wire::Tables& received) {
    if (received.revision() <= this->tables.revision()) return;
    this->tables = received;
    this->pull_deadline = {};
    this->initial_read_pending = false;
    this->actions.push_back(Applied{});
    for (const std::string& peer : this->OfferTargets()) {
      this->actions.push_back(SendOffer{.peer = peer, .revision = received.revision()});
    }
  }

  // Returns the ring successor and random other peers.
  std::vector<std::string> OfferTargets() {
    std::vector<std::string> targets;
    if (this->peers.empty() || this->options.fan_out == 0) return targets;
    targets.push_back(this->peers.front().peer);
    for (const std::string& peer : this->RandomPeers(this->options.fan_out)) {
      if (targets.size() == this->options.fan_out) break;
      if (peer != targets.front()) targets.push_back(peer);
    }
    return targets;
  }

  std::vector<std::string> RandomPeers(std::size_t count) {
    std::vector<std::size_t> order(this->peers.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    const std::size_t taken = std::min(count, order.size());
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < taken; ++i) {
      std::swap(order[i], order[i + UniformBelow(this->random, order.size() - i)]);
      chosen.push_back(this->peers[order[i]].peer);
    }
    return chosen;
  }

  // ---- the service ----

  void FinishCall(bool succeeded, Instant now) {
    this->call = Call::kNone;
    this->last_call_succeeded = succeeded;
    if (succeeded) {
      this->failures = 0;
      this->next_call = now;
      return;
    }
    ++this->failures;
    this->next_call = now + this->Backoff();
  }

  // The jitter factor of 0.5 to 1.5 spreads the calls of the watchers after an outage.
  Duration Backoff() {
    const Duration limit =
        this->watcher ? this->options.backoff_max : this->options.start_backoff_max;
    const int doublings = std::min(this->failures - 1, 16);
    const Duration step = std::min(limit, this->options.backoff_first * (1 << doublings));
    const double factor = 0.5 + UniformUnit(this->random);
    return Duration(static_cast<Duration::rep>(static_cast<double>(step.count()) * factor));
  }

  void ApplyAnswer(const std::optional<KvTables>& answer) {
    if (!answer) return;
    this->version = std::max(this->version, answer->version);
    this->Apply(answer->tables);
  }

  // A read precedes the first long poll and follows each failed call: during an outage a read fails
  // quickly, while a long poll would notice the end of the outage only at its own timeout.
  void CallService(Instant now) {
    if (!this->started || this->call != Call::kNone || now < this->next_call) return;
    if (this->check_read_in_progress) return;
    const bool delay_passed = now - this->watcher_since >= this->options.watch_start_delay;
    if (!this->initial_read_pending && !(this->watcher && delay_passed)) return;
    if (this->last_call_succeeded && this->watcher) {
      this->call = Call::kWatch;
      this->ScheduleCheck(now);
      this->actions.push_back(
          WatchService{.after = this->version, .wait = this->options.watch_wait});
      return;
    }
    this->call = Call::kRead;
    this->actions.push_back(ReadService{});
  }

  void ScheduleCheck(Instant now) {
    const double factor = 0.75 + UniformUnit(this->random) / 2;
    this->next_check = now + FromSeconds(ToSeconds(this->options.check_period) * factor);
  }

  void CheckService(Instant now) {
    if (this->call != Call::kWatch || this->check_read_in_progress || now < this->next_check) {
      return;
    }
    this->check_read_in_progress = true;
    this->actions.push_back(ReadService{});
  }

  void PullFromPeersAtStart(Instant now) {
    if (!this->initial_read_pending || this->failures == 0 || now < this->next_start_pull) return;
    this->next_start_pull = now + this->options.pull_timeout;
    for (const std::string& peer : this->RandomPeers(this->options.start_peers)) {
      this->actions.push_back(SendPull{.peer = peer, .above_revision = this->tables.revision()});
    }
  }

  void Pull(const std::string& peer, Instant now) {
    if (now < this->pull_deadline) return;
    this->pull_deadline = now + this->options.pull_timeout;
    this->actions.push_back(SendPull{.peer = peer, .above_revision = this->tables.revision()});
  }

  // ---- peers ----

  void SetPeers(std::vector<TablePeer> members, Instant now) {
    std::string data_centre;
    for (const TablePeer& peer : members) {
      if (peer.vm == this->vm) data_centre = peer.data_centre;
    }
    const bool chosen = this->RankInDataCentre(members, data_centre) < this->options.watchers;
    if (chosen && !this->watcher) this->watcher_since = now;
    this->watcher = chosen;
    const std::uint64_t own = RendezvousScore(kRingKey, this->vm);
    const auto distance_of = [own](const TablePeer& peer) {
      return RendezvousScore(kRingKey, peer.vm) - own;  // distance on the ring, modulo 2^64
    };
    std::erase_if(members, [this](const TablePeer& peer) { return peer.vm == this->vm; });
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t i = 0; i < members.size(); ++i) order.emplace_back(distance_of(members[i]), i);
    std::sort(order.begin(), order.end());
    this->peers.clear();
    for (const auto& [distance, index] : order) this->peers.push_back(std::move(members[index]));
  }

  std::size_t RankInDataCentre(const std::vector<TablePeer>& members,
                               const std::string& data_centre) const {
    const std::uint64_t own = RendezvousScore(kWatchKey, this->vm);
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const TablePeer& peer) {
          return peer.vm != this->vm && peer.data_centre == data_centre &&
                 RendezvousScore(kWatchKey, peer.vm) > own;
        }));
  }

  // ---- events ----

  void On(const Start&, Instant now) {
    this->started = true;
    this->next_call = now;
    // Until the member list is known, this process acts as the only member.
    this->watcher = true;
    this->watcher_since = now;
    this->CallService(now);
  }

  void On(const PeersChanged& event, Instant now) {
    this->SetPeers(event.peers, now);
    this->CallService(now);
  }

  void On(const ReadAnswered& event, Instant now) {
    if (this->check_read_in_progress) {
      this->check_read_in_progress = false;
      this->ScheduleCheck(now);
      if (event.answer.has_value()) this->ApplyAnswer(event.answer.value());
      return;
    }
    this->FinishCall(event.answer.has_value(), now);
    if (event.answer.has_value()) {
      this->initial_read_pending = false;
      this->ApplyAnswer(event.answer.value());
    }
    this->PullFromPeersAtStart(now);
    this->CallService(now);
  }

  void On(const WatchAnswered& event, Instant now) {
    this->FinishCall(event.answer.has_value(), now);
    if (event.answer.has_value()) this->ApplyAnswer(event.answer.value());
    this->CallService(now);
  }

  void On(const OfferArrived& event, Instant now) {
    if (event.revision <= this->tables.revision()) return;
    if (now >= this->pull_deadline) return this->Pull(event.peer, now);
    this->deferred_offer_peer = event.peer;
    this->deferred_offer_revision = event.revision;
  }

  void PullDeferredOffer(Instant now) {
    if (this->deferred_offer_peer.empty() || now < this->pull_deadline) return;
    if (this->deferred_offer_revision > this->tables.revision()) {
      this->Pull(this->deferred_offer_peer, now);
    }
    this->deferred_offer_peer.clear();
  }

  void On(const PullArrived& event, Instant) {
    if (this->tables.revision() <= event.above_revision) return;
    this->actions.push_back(SendPush{.peer = event.peer});
  }

  void On(const PushArrived& event, Instant) { this->Apply(event.tables); }

  void On(const PeerHasHigherRevision& event, Instant now) { this->Pull(event.peer, now); }

  void On(const Tick&, Instant now) {
    this->PullDeferredOffer(now);
    this->PullFromPeersAtStart(now);
    this->CallService(now);
    this->CheckService(now);
  }
};

TableReplica::TableReplica(std::string vm, TableReplicaOptions options, Random& random)
    : impl(new Impl{.vm = std::move(vm), .options = options, .random = random}) {}
TableReplica::~TableReplica() = default;

std::vector<TableReplica::Action> TableReplica::Handle(const Event& event, Instant now) {
  std::visit([this, now](const auto& typed) { this->impl->On(typed, now); }, event);
  return std::exchange(this->impl->actions, {});
}

const wire::Tables& TableReplica::Current() const { return this->impl->tables; }

bool TableReplica::IsWatcher() const { return this->impl->watcher; }

}  // namespace savory
