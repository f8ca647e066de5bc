// How long the parts of an entry's start took, until requests are served.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace savory {

enum class StartStep {
  kRules,         // the routing rules are known
  kUpstreams,     // the first upstream is listed
  kEngineReport,  // the first report of an engine that accepts requests
  kReady,         // the load balancer was told that the entry is ready
  kFirstRequest,  // a caller's request was read
  kFirstServed,   // a request was served
};
inline constexpr std::size_t kStartSteps = 6;

std::string_view StartStepName(StartStep step);

struct StartTimelineOptions {
  // Requests are served again when this fraction of those that ended within `window` were.
  double served_fraction = 0.25;
  Duration window = std::chrono::seconds(1);
  Duration give_up = std::chrono::seconds(15);  // the timeline is reported anyway then
};

// Performs no I/O.
class StartTimeline {
 public:
  explicit StartTimeline(Instant started, StartTimelineOptions options = {})
      : options(options), started(started) {}

  // Only the first time of each step counts.
  void Mark(StartStep step, Instant now);
  void OnRequestEnd(bool served, Instant now);

  // Time from the start to the step; nullopt: not reached.
  std::optional<Duration> At(StartStep step) const;
  // From the start until requests were served again.
  std::optional<Duration> ServingAgain() const { return this->serving_again; }
  // True once: when requests are served again, or when the time for that is over.
  bool TakeReport(Instant now);

 private:
  struct EndedRequest {
    Instant at = {};
    bool served = false;
  };

  StartTimelineOptions options;
  Instant started;
  std::array<std::optional<Duration>, kStartSteps> steps = {};
  std::optional<Duration> serving_again = {};
  bool reported = false;
  std::deque<EndedRequest> recent = {};
  std::size_t recent_served = 0;
};

}  // namespace savory
