// The list of upstreams. Those whose records expired during a store outage are kept for a grace
// period.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "relay/upstream.h"

namespace savory {

struct UpstreamListOptions {
  // After a store outage, a live upstream whose record expired registers again within about two
  // seconds. A removal in this period takes effect at its end.
  Duration store_return_grace = std::chrono::milliseconds(2200);
  // A removal is deferred for at most this long, whatever is taken for an outage.
  Duration max_deferral = std::chrono::milliseconds(2200);
};

// Effect of a new or changed record of an upstream.
struct UpstreamListChange {
  bool superseded = false;    // a later start has the address, so the record is ignored
  std::string replaced = {};  // id of the earlier start at the address, now removed
};

// Performs no I/O; the caller acts on the results.
class UpstreamList {
 public:
  explicit UpstreamList(UpstreamListOptions options = {}) : options(options) {}
  void SetOptions(UpstreamListOptions given) { this->options = given; }

  // If two upstreams have the same address, the one that started earlier is dropped: its process
  // has ended, but its record expires only after a time-out.
  UpstreamListChange Set(const Upstream& upstream);
  // Returns true if the upstream was removed now; otherwise it is unknown or its removal is
  // deferred to the end of the grace period. `outage_end`: end of the last store outage; the epoch
  // if none is known.
  bool Remove(const std::string& id, Instant now, Instant outage_end);
  // Removes the upstreams whose removal is deferred no longer and returns their ids. If the outage
  // turned out to be none, that is all of them.
  std::vector<std::string> TakeExpired(Instant now, Instant outage_end);
  bool IsRemovalDeferred(const std::string& id) const {
    return this->pending_removals.contains(id);
  }

  const std::map<std::string, Upstream>& All() const { return this->upstreams; }

 private:
  // Returns the upstream at `address` unless its id is `id`; nullptr if there is none.
  const Upstream* OtherAt(const std::string& address, const std::string& id) const;
  void Erase(const std::string& id);
  bool InGrace(Instant now, Instant outage_end) const;

  UpstreamListOptions options;
  std::map<std::string, Upstream> upstreams = {};
  std::map<std::string, Instant> pending_removals = {};     // id -> when it was removed
  std::unordered_map<std::string, std::string> id_at = {};  // by address
};

}  // namespace savory
