// Keeps this process's replica of the tables in step with the fleet.
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

// All calls on the loop's thread.
class TableDriver {
 public:
  explicit TableDriver(Node& node);
  ~TableDriver();

  // Reads the key-value service, or three peers when it is away, and then follows changes.
  void Start();

  // Revision 0 without routes and pools until the first tables arrive.
  const wire::Tables& Current() const;

  // Calls `listener` after each applied revision; revisions only grow.
  void OnChange(std::function<void(const wire::Tables& tables)> listener);

  // The live members, this process included; decides who watches the service and who is told.
  void SetPeers(std::vector<TablePeer> peers);
  // Asks `peer` (IP:PORT) for its tables; used when a peer reports a higher revision.
  void PullFrom(std::string_view peer);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
