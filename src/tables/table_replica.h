// This process's copy of the tables, as a class without I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/random.h"
#include "base/time.h"
#include "tables/table_peer.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct TableReplicaOptions {
  Duration watch_wait = std::chrono::seconds(10);  // of one long poll
  // Reads beside a running long poll, times 0.75 to 1.25: the connection of a poll can go silent,
  // and the end of the poll alone would show that only after 11 s.
  Duration check_period = std::chrono::seconds(2);
  // Retry of a failed call: doubled from `backoff_first` up to `backoff_max`, times 0.5 to 1.5. The
  // maximum keeps an edit within 3 s of the end of an outage.
  Duration backoff_first = std::chrono::milliseconds(200);
  Duration backoff_max = std::chrono::seconds(1);
  Duration start_backoff_max = std::chrono::seconds(8);  // of a process that does not watch
  Duration pull_timeout = std::chrono::milliseconds(500);
  // A process that ranks among the watchers starts to watch after this time, so that one whose
  // member list is still filling at its start makes no call.
  Duration watcher_settle = std::chrono::seconds(2);
  std::size_t watchers = 2;     // in each data centre
  std::size_t fan_out = 4;      // peers told of a new revision
  std::size_t start_peers = 3;  // peers asked when the service is away at the start
};

// Applies only higher revisions, whatever their source and order. A new revision is offered to
// `fan_out` peers, one of them the successor in a ring over all members, so that the offers reach
// every member even when the random ones miss it; whoever lacks it pulls it.
class TableReplica {
 public:
  // Value of the key `tables`.
  struct KvTables {
    wire::Tables tables = {};
    std::uint64_t version = 0;
  };

  // Events.
  struct Start {};
  struct PeersChanged {
    std::vector<TablePeer> peers;  // this process included
  };
  // Answer to ReadService; nullopt when the key is absent.
  struct ReadAnswered {
    Result<std::optional<KvTables>> answer;
  };
  // Answer to WatchService; nullopt when nothing new came.
  struct WatchAnswered {
    Result<std::optional<KvTables>> answer;
  };
  struct OfferArrived {
    std::string peer;  // IP:PORT
    std::uint64_t revision = 0;
  };
  struct PullArrived {
    std::string peer;
    std::uint64_t above_revision = 0;
  };
  struct PushArrived {
    wire::Tables tables;
  };
  // A ping told that `peer` has a higher revision.
  struct PeerHasHigherRevision {
    std::string peer;
  };
  struct Tick {};
  using Event = std::variant<Start, PeersChanged, ReadAnswered, WatchAnswered, OfferArrived,
                             PullArrived, PushArrived, PeerHasHigherRevision, Tick>;

  // Actions.
  struct ReadService {};
  struct WatchService {
    std::uint64_t after = 0;  // version
    Duration wait = {};
  };
  struct SendOffer {
    std::string peer;
    std::uint64_t revision = 0;
  };
  struct SendPull {
    std::string peer;
    std::uint64_t above_revision = 0;
  };
  // Sends the current tables.
  struct SendPush {
    std::string peer;
  };
  // Current() has a new revision.
  struct Applied {};
  using Action = std::variant<ReadService, WatchService, SendOffer, SendPull, SendPush, Applied>;

  // `vm`: name of this process's VM. `random` must outlive this object.
  TableReplica(std::string vm, TableReplicaOptions options, Random& random);
  ~TableReplica();

  // Handles one event. Call with Tick at least every 100 ms.
  std::vector<Action> Handle(const Event& event, Instant now);

  const wire::Tables& Current() const;
  // True when this process watches the service for its data centre.
  bool IsWatcher() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
