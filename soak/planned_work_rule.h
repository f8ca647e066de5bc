// Which requests may be lost around planned work on an entry VM.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "soak/request_trace.h"

namespace savory {

struct PlannedWorkLimits {
  Duration grace = std::chrono::milliseconds(8000);  // from SIGTERM to SIGKILL
  // A stop counts as going on for this long after the grace period.
  Duration after_grace = std::chrono::milliseconds(1000);
  // A request that was passed to no upstream may be lost for this long after its last byte.
  Duration loss_slack = std::chrono::milliseconds(200);
  // Requests that were sent so long after SIGTERM may be cut if an upstream works on them in the
  // last part of the grace period.
  Duration sent_in_time = std::chrono::milliseconds(3000);
  double last_part = 1.0 / 6;
  // Requests sent up to this time after SIGHUP count.
  Duration reload_time = std::chrono::milliseconds(2000);
};

class PlannedWorkRule {
 public:
  explicit PlannedWorkRule(PlannedWorkLimits limits) : limits(limits) {}

  void OnStopping(std::string_view vm, Instant now);
  void OnReloading(std::string_view vm, Instant now);
  // The entry VM gets little processor time, which is no disruption.
  void OnSqueezed(std::string_view vm, Instant now, Duration duration);

  // Describes the loss if the request, whose answer has ended early, should have been answered in
  // spite of planned work. `undisrupted`: nothing unplanned happened to it on its way.
  std::optional<std::string> FindLoss(const SentRequest& sent, const RequestTrace& trace,
                                      const platform::CallerAnswer& answer, Instant ended,
                                      bool undisrupted) const;

 private:
  struct Signal {
    std::string_view name;
    Instant at = {};
  };
  struct Squeeze {
    Instant from = {};
    Instant until = {};
  };
  struct Entry {
    std::vector<Instant> stops = {};
    std::vector<Instant> reloads = {};
    std::vector<Squeeze> squeezes = {};
  };

  // The planned work that must not have ended the request early.
  std::optional<Signal> FindCause(const Entry& entry, const SentRequest& sent,
                                  const RequestTrace& trace, Instant ended) const;
  bool IsExcusedAtEnd(const SentRequest& sent, const RequestTrace& trace, Instant stop) const;

  PlannedWorkLimits limits;
  std::map<std::string, Entry, std::less<>> entries = {};
};

}  // namespace savory
