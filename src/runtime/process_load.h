// Measures what this process costs: processor time, wake-ups and messages to other processes.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace savory {

class EventLoop;
class Gauge;
class Metrics;
class PeerTransport;

// Updates the series savory_process_* and logs what was spent since the last line.
class ProcessLoad {
 public:
  // The references must outlive the object.
  ProcessLoad(EventLoop& loop, Metrics& metrics, const PeerTransport& peers);

  // Logs one line for each `period` from now on. The object must live as long as the loop runs.
  void Start(Duration period);

 private:
  struct Totals {
    Duration user = {};
    Duration system = {};
    std::uint64_t wakeups = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t control_bytes = 0;
  };

  Totals Measure() const;
  void LogSinceLast();

  EventLoop& loop;
  const PeerTransport& peers;
  Gauge& user_seconds;
  Gauge& system_seconds;
  Gauge& wakeups;
  Totals last = {};
};

}  // namespace savory
