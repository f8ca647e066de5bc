// Which processes watch the platform's store for all.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace savory {

struct WatchDutyOptions {
  std::string prefix;  // of the records
  std::string peer;    // this process
  // Processes that watch, whatever the size of the fleet.
  std::size_t watchers = 3;
  // A process whose last answer of the store is older than this does not count as a watcher.
  Duration longest_contact = std::chrono::milliseconds(1600);
  // Without word of a watcher for this long a process watches for itself.
  Duration longest_silence = std::chrono::milliseconds(1300);
};

// Watches are calls that the platform counts, and its rates grow more slowly than the fleet. The
// processes that rank highest for the prefix watch and tell the others; a process that hears of no
// watcher with a recent answer of the store watches too, so nobody has to agree on who it is.
class WatchDuty {
 public:
  explicit WatchDuty(WatchDutyOptions options);

  // The other live processes that keep the same records.
  void SetPeers(const std::vector<std::string>& peers);
  // `peer` said that its last answer of the store is `contact` old.
  void HeardFrom(const std::string& peer, Duration contact, Instant now);

  // Whether this process is one of the watchers.
  bool IsChosen() const { return this->chosen; }
  bool MustWatch(Instant now) const;

 private:
  WatchDutyOptions options;
  bool chosen = true;
  Instant last_word = {};  // of a watcher with a recent answer
};

}  // namespace savory
