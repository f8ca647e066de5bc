// Keeps a RecordMirror up to date, from the store or from peers that watch it.
#pragma once

#include <cstddef>
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
  std::string peer;  // IP:PORT at which peers reach this process
  // Longest wait of one watch call. A longer one saves calls, which the platform counts; but only a
  // completed call shows the peers that the store still answers this process.
  Duration watch_wait = std::chrono::milliseconds(800);
  // Pause between two watch calls, so that one call returns several changes in quick succession.
  Duration watch_pause = std::chrono::milliseconds(150);
  Duration min_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::seconds(1);
  // Interval at which a process announces its revision: watchers to all peers, the others to one
  // random peer.
  Duration offer_period = std::chrono::milliseconds(500);
  // Interval at which a process that is not watching checks whether it must start to.
  Duration watcher_check_period = std::chrono::milliseconds(200);
  // A process that is not watching asks the store once when it has heard for this long of no
  // process that the store answers. So it learns of a change in time when the watchers are lost.
  Duration probe_after = std::chrono::milliseconds(800);
  // A peer is asked for changes only after this mirror has been behind for this long, because the
  // store notifies some watchers slightly later than others.
  Duration behind_grace = std::chrono::milliseconds(250);
  // A mirror that is still behind after this time does not get what its peers send it: it watches
  // the store itself for `own_watch_time`. By then a silent connection has been replaced.
  Duration max_behind = std::chrono::milliseconds(600);
  Duration own_watch_time = std::chrono::seconds(10);
  // When the store comes back from an older copy, what this process knows is kept for so long where
  // the copy contradicts it. Those who wrote the lost changes write them again within that time.
  Duration era_hold_time = std::chrono::seconds(10);
  // See EraHold::NewerRecord; optional.
  std::function<bool(const Record& known, const Record& listed)> is_newer = {};
  // Longer updates go over the connection for bulk. Most go over the one that offers take too: if
  // that one is silent, the peer hears no offers, either, and watches the store itself.
  std::size_t max_control_bytes = std::size_t{64} * 1024;
};

// All methods are called on the event loop's thread.
class RecordSync {
 public:
  // Called with the records that changed.
  using Listener = std::function<void(std::span<const Record> changed)>;

  // Called with the store's era when it has come back from an older copy.
  using EraListener = std::function<void(std::uint64_t era)>;

  // The references must outlive the object.
  RecordSync(EventLoop& loop, PeerTransport& peers, RecordStore& store, Metrics& metrics,
             Random& random, RecordSyncOptions options);
  ~RecordSync();

  void OnChange(Listener listener);
  void OnEra(EraListener listener);
  void Start();
  // Sets the addresses of the other processes that mirror the same records.
  void SetPeers(std::vector<std::string> peers);

  // When the last outage of the store ended, judged from what this process and its peers saw; the
  // epoch if none is known. Becomes earlier, or the epoch, when a peer saw the store answer before.
  Instant OutageEnd() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
