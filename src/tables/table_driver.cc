#include "tables/table_driver.h"

#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "runtime/event_loop.h"
#include "runtime/kv_client.h"
#include "runtime/peer_transport.h"
#include "tables/table_keys.h"
#include "tables/table_replica.h"

namespace savory {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);

// A value that does not parse counts as a failed call, so the replica keeps its current tables.
Result<std::optional<TableReplica::KvTables>> Decode(const Result<std::optional<KvValue>>& answer) {
  if (!answer) return answer.error();
  if (!answer.value()) return std::optional<TableReplica::KvTables>();
  TableReplica::KvTables decoded{.version = answer.value()->version};
  if (!decoded.tables.ParseFromString(answer.value()->bytes)) {
    return Error{.kind = ErrorKind::kMalformed,
                 .detail = "the value of the key tables is not a valid Tables message"};
  }
  return std::optional(std::move(decoded));
}

}  // namespace

struct TableDriver::Impl {
  Node& node;
  TableReplica core;
  std::vector<std::function<void(const wire::Tables&)>> listeners = {};
  Gauge& revision;
  Gauge& watching;
  // Expires with the driver, so that callbacks which arrive later are ignored.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  void Handle(const TableReplica::Event& event) {
    for (const TableReplica::Action& action : this->core.Handle(event, this->node.loop.Now())) {
      std::visit([this](const auto& typed) { this->Do(typed); }, action);
    }
    this->watching.Set(this->core.IsWatcher() ? 1 : 0);
  }

  void Do(const TableReplica::ReadService&) {
    this->node.kv.Read(std::string(kTablesKey),
                       [this, guard = std::weak_ptr(this->alive)](const auto& answer) {
                         if (guard.expired()) return;
                         this->Handle(TableReplica::ReadAnswered{.answer = Decode(answer)});
                       });
  }

  void Do(const TableReplica::WatchService& watch) {
    this->node.kv.Watch(std::string(kTablesKey), watch.after, watch.wait,
                        [this, guard = std::weak_ptr(this->alive)](const auto& answer) {
                          if (guard.expired()) return;
                          this->Handle(TableReplica::WatchAnswered{.answer = Decode(answer)});
                        });
  }

  void Do(const TableReplica::SendOffer& offer) {
    wire::Envelope message;
    message.mutable_tables_offer()->set_revision(offer.revision);
    this->node.peers.Send(offer.peer, Lane::kControl, std::move(message));
  }

  void Do(const TableReplica::SendPull& pull) {
    wire::Envelope message;
    message.mutable_tables_pull()->set_above_revision(pull.above_revision);
    this->node.peers.Send(pull.peer, Lane::kControl, std::move(message));
  }

  void Do(const TableReplica::SendPush& push) {
    wire::Envelope message;
    *message.mutable_tables_push()->mutable_tables() = this->core.Current();
    this->node.peers.Send(push.peer, Lane::kControl, std::move(message));
  }

  void Do(const TableReplica::Applied&) {
    const wire::Tables& tables = this->core.Current();
    this->revision.Set(static_cast<double>(tables.revision()));
    Log(LogLevel::kInfo, "tables_applied",
        {{"revision", tables.revision()}, {"author", tables.author()}});
    for (const auto& listener : this->listeners) listener(tables);
  }

  void Subscribe() {
    PeerTransport& peers = this->node.peers;
    peers.Subscribe(wire::Envelope::kTablesOffer, [this](const wire::Envelope& message, auto) {
      this->Handle(TableReplica::OfferArrived{.peer = message.from_peer(),
                                              .revision = message.tables_offer().revision()});
    });
    peers.Subscribe(wire::Envelope::kTablesPull, [this](const wire::Envelope& message, auto) {
      this->Handle(TableReplica::PullArrived{
          .peer = message.from_peer(), .above_revision = message.tables_pull().above_revision()});
    });
    peers.Subscribe(wire::Envelope::kTablesPush, [this](const wire::Envelope& message, auto) {
      this->Handle(TableReplica::PushArrived{.tables = message.tables_push().tables()});
    });
  }
};

TableDriver::TableDriver(Node& node)
    : impl(new Impl{.node = node,
                    .core = TableReplica(node.identity.vm, TableReplicaOptions{}, node.random),
                    .revision = node.metrics.GaugeFor("savory_tables_revision"),
                    .watching = node.metrics.GaugeFor("savory_tables_watcher")}) {}
TableDriver::~TableDriver() = default;

void TableDriver::Start() {
  this->impl->Subscribe();
  this->impl->Handle(TableReplica::Start{});
  this->impl->node.loop.Every(kTick,
                              [impl = this->impl.get()] { impl->Handle(TableReplica::Tick{}); });
}

const wire::Tables& TableDriver::Current() const { return this->impl->core.Current(); }

void TableDriver::OnChange(std::function<void(const wire::Tables& tables)> listener) {
  this->impl->listeners.push_back(std::move(listener));
}

void TableDriver::SetPeers(std::vector<TablePeer> peers) {
  this->impl->Handle(TableReplica::PeersChanged{.peers = std::move(peers)});
}

void TableDriver::PullFrom(std::string_view peer) {
  this->impl->Handle(TableReplica::PeerHasHigherRevision{.peer = std::string(peer)});
}

}  // namespace savory
