// Which processes watch the platform's store for all.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace savory {

struct WatcherSelectionOptions {
  std::string prefix;  // of the records
  std::string peer;    // this process
  // Processes that watch, whatever the size of the fleet.
  std::size_t max_watchers = 3;
  // A process whose last answer of the store is older than this does not count as a watcher.
  Duration max_contact_age = std::chrono::milliseconds(1600);
  // Without word of a watcher for this long a process watches for itself.
  Duration watcher_timeout = std::chrono::milliseconds(1300);
};

// Watches are calls that the platform counts, and its rates grow more slowly than the fleet. The
// processes that rank highest for the prefix watch and tell the others; a process that hears of no
// watcher with a recent answer of the store watches too, so nobody has to agree on who it is.
class WatcherSelection {
 public:
  explicit WatcherSelection(WatcherSelectionOptions options);

  // The other live processes that keep the same records.
  void SetPeers(const std::vector<std::string>& peers);
  // `peer` said that its last answer of the store is `contact` old.
  void OnPeerContact(const std::string& peer, Duration contact, Instant now);

  // Whether this process is one of the watchers.
  bool IsSelected() const { return this->selected; }
  bool ShouldWatch(Instant now) const;

 private:
  WatcherSelectionOptions options;
  bool selected = true;
  Instant last_watcher_contact = {};  // of a watcher with a recent answer
};

}  // namespace savory
