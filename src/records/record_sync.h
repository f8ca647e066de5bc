// Keeps a mirror up to date from the store or from peers that watch it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "records/record_mirror.h"

namespace savory {

class EventLoop;
class Metrics;
class PeerTransport;
class RecordStore;

struct RecordSyncOptions {
  std::string prefix;
  std::string peer;  // IP:PORT of this process
  // Longest wait of one watch. Each watch is a call that the platform counts; its end shows the
  // others that the store still answers this process.
  Duration watch_wait = std::chrono::milliseconds(1000);
  // Pause between two watches: changes in quick succession arrive together.
  Duration watch_pause = std::chrono::milliseconds(150);
  Duration min_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::seconds(1);
  // Processes that watch tell all others this often how far they are; the others tell one.
  Duration offer_period = std::chrono::milliseconds(500);
  // Pause of a process that does not watch between two looks at whether it must.
  Duration watcher_check_period = std::chrono::milliseconds(200);
  // A peer is asked when it stays ahead for this long: the store is a little slower to tell some.
  Duration behind_grace = std::chrono::milliseconds(250);
};

// All calls on the loop's thread.
class RecordSync {
 public:
  // Called with the records that changed.
  using Listener = std::function<void(std::span<const Record> changed)>;

  // The references must outlive the object.
  RecordSync(EventLoop& loop, PeerTransport& peers, RecordStore& store, Metrics& metrics,
             Random& random, RecordSyncOptions options);
  ~RecordSync();

  void OnChange(Listener listener);
  void Start();
  // Peer addresses of the other processes that keep this mirror.
  void SetPeers(std::vector<std::string> peers);

  // Since when the store can be reached again after it could not, here or at the peer that watched
  // it last; the epoch when it always could.
  Instant ReachableSince() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
