// Detects congestion of an agent's link, so that transfers of weights give way to requests.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace savory {

struct CongestionDetectorOptions {
  Duration probe_period = std::chrono::milliseconds(100);
  // A longer delay of a probe shows a queue that delays live requests: stream events must be
  // forwarded within 200 ms.
  Duration max_probe_delay = std::chrono::milliseconds(200);
  // Transfers in flight when the link became busy have finished after this time, if the link has
  // its configured rate.
  Duration settle = std::chrono::milliseconds(400);
  // The link is considered free again after this time without a long delay.
  Duration busy_duration = std::chrono::seconds(1);
  // Length of a pause, as a multiple of the measured delay or of the transfer time of a chunk. With
  // 4, weights use about a fifth of the link.
  int pause_factor = 4;
  Duration max_pause = std::chrono::seconds(2);
  // A link is considered narrow for this long after the last long delay; a pause and a chunk
  // transfer fit into it.
  Duration narrow_duration = std::chrono::seconds(4);
};

enum class LinkState {
  kFree,
  kBusy,    // a queue was detected: one chunk at a time in each direction
  kNarrow,  // a queue was detected although only one chunk at a time was sent
};

// Performs no I/O. The round-trip times of small probes to different peers show the queueing delay
// of this agent's link. The shortest of the most recent delays is used, since longer ones may be
// caused by the links of the peers.
class CongestionDetector {
 public:
  explicit CongestionDetector(CongestionDetectorOptions options = {}) : options(options) {}

  bool ProbeIsDue(Instant now) const { return now >= this->next_probe; }
  // Records a probe that is sent now, and returns its number.
  std::uint64_t StartProbe(Instant now);
  void OnProbeReply(std::uint64_t number, Instant now);
  // On a narrow link: `time` is the transfer time of the only chunk in flight.
  void OnChunkTransferred(Duration time, Instant now);
  // Evaluates the last probes. An unanswered probe counts with the time since it was sent.
  void Advance(Instant now);

  LinkState State(Instant now) const;
  // On a narrow link no weights are transferred in either direction until this time.
  Instant PausedUntil() const { return this->paused_until; }
  void Reset();

 private:
  struct SentProbe {
    std::uint64_t number = 0;
    Instant at = {};
    std::optional<Duration> delay = {};
  };

  void OnQueueDetected(Duration delay, Instant sent, Instant now);
  void Pause(Duration delay, Instant now);

  CongestionDetectorOptions options;
  std::uint64_t next_number = 1;
  Instant next_probe = {};
  std::deque<SentProbe> probes = {};  // the most recent ones
  Instant busy_since = {};
  Instant busy_until = {};
  Instant narrow_until = {};
  Instant paused_until = {};
};

}  // namespace savory
