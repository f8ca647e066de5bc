// State machine without I/O for this process's copy of the tables.
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
  Duration watch_wait = std::chrono::seconds(10);  // duration of one long poll
  // Period of the reads during a long poll, with a jitter factor of 0.75 to 1.25. When the
  // connection of the poll goes silent, the poll itself would reveal that only after 11 s.
  Duration check_period = std::chrono::seconds(2);
  // Wait after a failed call: doubles from `backoff_first` up to `backoff_max`, with a jitter
  // factor of 0.5 to 1.5. The maximum lets edits arrive within 3 s after the end of an outage.
  Duration backoff_first = std::chrono::milliseconds(200);
  Duration backoff_max = std::chrono::seconds(1);
  // Replaces `backoff_max` in processes that are not watchers, which call only at their start.
  Duration start_backoff_max = std::chrono::seconds(8);
  Duration pull_timeout = std::chrono::milliseconds(500);
  // Delay between becoming a watcher and the first call as a watcher. At its start a process knows
  // few members and ranks among the watchers; the delay gives the list time to fill.
  Duration watch_start_delay = std::chrono::seconds(2);
  std::size_t watchers = 2;     // in each data centre
  std::size_t fan_out = 4;      // peers that are offered a new revision
  std::size_t start_peers = 3;  // peers asked if the service is unavailable at the start
};

// Applies only revisions higher than the current one, whatever their source and order. Offers each
// new revision to `fan_out` peers, which pull it if they lack it. One of them is the successor in a
// ring over all members, so that the offers reach every member even if the random choices miss it;
// the others are random.
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
    std::vector<TablePeer> peers;  // including this process
  };
  // Result of ReadService; nullopt if the key is absent.
  struct ReadAnswered {
    Result<std::optional<KvTables>> answer;
  };
  // Result of WatchService; nullopt if the key did not change.
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
  // A ping stated that `peer` has a higher revision.
  struct PeerHasHigherRevision {
    std::string peer;
  };
  struct Tick {};
  using Event = std::variant<Start, PeersChanged, ReadAnswered, WatchAnswered, OfferArrived,
                             PullArrived, PushArrived, PeerHasHigherRevision, Tick>;

  // Actions.
  struct ReadService {};
  struct WatchService {
    std::uint64_t after = 0;  // version of the key
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

  // `vm` is the VM of this process. `random` must outlive this object.
  TableReplica(std::string vm, TableReplicaOptions options, Random& random);
  ~TableReplica();

  // Handles one event. Call with Tick at least every 100 ms.
  std::vector<Action> Handle(const Event& event, Instant now);

  const wire::Tables& Current() const;
  // True if this process is one of the watchers of its data centre.
  bool IsWatcher() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
