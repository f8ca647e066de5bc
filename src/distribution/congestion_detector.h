// When the copying of weights leaves a link to other traffic.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/time.h"

namespace savory {

struct CongestionDetectorOptions {
  Duration probe_period = std::chrono::milliseconds(100);
  // A message through the link that takes longer shows a queue that delays live requests: events
  // of streams must be passed on within 200 ms.
  Duration max_probe_delay = std::chrono::milliseconds(200);
  // What was on its way when the link turned busy has arrived by then, if the link is as wide as
  // its settings say.
  Duration settle = std::chrono::milliseconds(400);
  // The link counts as free again after this time without a long delay.
  Duration busy_duration = std::chrono::seconds(1);
  // Pause, as a multiple of the delay that was seen or of the time of a piece: weights then use
  // about a fifth of the link.
  int pause_factor = 4;
  Duration max_pause = std::chrono::seconds(2);
  // A link counts as narrow for this long after the last long delay: a pause and a piece fit in.
  Duration narrow_duration = std::chrono::seconds(4);
};

enum class LinkState {
  kFree,
  kBusy,    // a queue: one piece at a time each way
  kNarrow,  // a queue although one piece at a time was sent
};

// No I/O. Small messages to different peers and back tell how long the queue of the own link is.
// The shortest of the last delays counts, since the longer ones may be those of the peers' links.
class CongestionDetector {
 public:
  explicit CongestionDetector(CongestionDetectorOptions options = {}) : options(options) {}

  bool ProbeIsDue(Instant now) const { return now >= this->next_probe; }
  // Returns the number of a probe that is sent now.
  std::uint64_t StartProbe(Instant now);
  void OnProbeReply(std::uint64_t number, Instant now);
  // Narrow links: time that the only piece on its way took.
  void OnChunkTransferred(Duration time, Instant now);
  // Looks at the last probes; one without an answer has taken as long as it is under way.
  void Advance(Instant now);

  LinkState State(Instant now) const;
  // Narrow links: weights neither come nor go until then.
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
  std::deque<SentProbe> probes = {};  // the last ones
  Instant busy_since = {};
  Instant busy_until = {};
  Instant narrow_until = {};
  Instant paused_until = {};
};

}  // namespace savory
