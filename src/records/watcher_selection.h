// Decides which processes watch the platform's store on behalf of all.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace savory {

struct WatcherSelectionOptions {
  std::string prefix;  // key prefix of the records
  std::string peer;    // address at which peers reach this process
  // Number of watchers, independent of the number of processes.
  std::size_t max_watchers = 3;
  // A process watches the store itself when the last answer that it knows any watcher to have got
  // is older than this. Above the 1.5 s that pass at most from one answer of a watcher until its
  // peers learn of the next one.
  Duration watcher_timeout = std::chrono::milliseconds(1600);
};

// The platform counts each watch as a call, and its rate limits grow more slowly than the number of
// processes. So only the processes with the highest rendezvous scores for the prefix watch, and
// they forward changes to the others. A process also watches while it hears from no watcher that
// had a recent answer from the store, so the processes need not agree on the set of watchers. Only
// contact of a higher-ranked process counts: otherwise all substitutes of watchers that the store
// refuses would hear from each other and stop at the same time.
class WatcherSelection {
 public:
  explicit WatcherSelection(WatcherSelectionOptions options);

  // Sets the other live processes that mirror the same records.
  void SetPeers(const std::vector<std::string>& peers);
  // `peer` reported that its last answer from the store is `contact_age` old.
  void OnPeerContact(const std::string& peer, Duration contact_age, Instant now);

  // Whether this process, a watcher, forwards a change to `peer`: each peer gets it from one of the
  // watchers that report recent contact, and watchers read it themselves.
  bool ForwardsTo(const std::string& peer, Instant now) const;

  // Whether this process is among the `max_watchers` highest-ranked ones.
  bool IsSelected() const { return this->selected; }
  bool ShouldWatch(Instant now) const;

 private:
  WatcherSelectionOptions options;
  bool selected = true;
  // Other watchers, and when the store last answered them.
  std::map<std::string, Instant> watchers = {};
  // When the store last answered a higher-ranked process.
  Instant last_watcher_contact = {};
};

}  // namespace savory
