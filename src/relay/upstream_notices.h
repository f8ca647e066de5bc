// What upstreams said of themselves in their answers: that they are leaving, or for how long they
// want no requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time.h"
#include "relay/routing_index.h"

namespace savory {

struct UpstreamNoticesOptions {
  // Upstreams remembered at a time. If there are more, the oldest notice is forgotten.
  std::size_t max_upstreams = 4096;
  // A notice of leaving is forgotten after this time. It is far longer than any upstream takes to
  // shut down, and bounds the harm of a wrong notice.
  Duration leaving_lifetime = std::chrono::hours(1);
  // An end of a wait that moves by less than this is no change: answers sent at the same time
  // arrive at different times.
  Duration min_wait_change = std::chrono::milliseconds(250);
};

// One start of an upstream. After a restart, an upstream may have the same id.
struct UpstreamStart {
  std::string_view id;
  std::int64_t started_unix_ms = 0;  // 0: unknown
};

// Knows only what was said to this entry, whatever the platform's list of upstreams says: an older
// reading of the list or a removal from it clears nothing. A notice applies to the start that gave
// it and to earlier ones, and is cleared by a later one. Performs no I/O.
class UpstreamNotices {
 public:
  explicit UpstreamNotices(UpstreamNoticesOptions options = {}) : options(options) {}

  // Both return whether this was not known before.
  bool AddLeaving(const UpstreamStart& start, Instant now);
  bool AddWait(const UpstreamStart& start, Duration wait, Instant now);

  bool IsLeaving(const UpstreamStart& start, Instant now) const;
  // Until when the upstream wants no requests; `now` or earlier: it accepts them.
  Instant WaitEnd(const UpstreamStart& start) const;
  // Whether the upstream wants requests.
  bool MayUse(const UpstreamStart& start, Instant now) const;

  std::size_t Size() const { return this->notices.size(); }

 private:
  struct Notice {
    std::int64_t started_unix_ms = 0;
    Instant changed_at = {};
    Instant leaving_until = {};  // the notice of leaving is forgotten; epoch: there is none
    Instant wait_end = {};
  };

  // Returns nullptr if the notice comes from an earlier start than the one known.
  Notice* Find(const UpstreamStart& start, Instant now);
  const Notice* FindApplying(const UpstreamStart& start) const;
  void ForgetOldest();

  UpstreamNoticesOptions options;
  TextMap<Notice> notices = {};  // by id
};

}  // namespace savory
