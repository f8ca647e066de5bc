// Synchronizes this process's replica of the tables with the key-value service and with peers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "runtime/node.h"
#include "tables/table_peer.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

// Not thread-safe: all calls must come from the event loop's thread.
class TableDriver {
 public:
  explicit TableDriver(Node& node);
  ~TableDriver();

  // Reads the tables from the key-value service, or from up to three peers while the service is
  // unavailable, and then follows changes.
  void Start();

  // Until the first tables arrive: revision 0, without routes and pools.
  const wire::Tables& Current() const;

  // Calls `listener` after each applied revision. Revisions only increase.
  void OnChange(std::function<void(const wire::Tables& tables)> listener);

  // Sets the live members, including this process. They determine which processes watch the
  // service and which peers are offered new revisions.
  void SetPeers(std::vector<TablePeer> peers);
  // Requests the tables from `peer` (IP:PORT), which has stated a higher revision.
  void PullFrom(std::string_view peer);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
