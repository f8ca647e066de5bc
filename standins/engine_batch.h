// Slots of the engine stand-in's continuous batch.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <utility>

#include "base/time.h"

namespace savory::standins {

struct BatchOptions {
  int max_running = 16;
  int max_queued = 256;
  Duration load_lag = {};  // age of the reported load numbers
};

struct BatchLoad {
  int running = 0;
  int queued = 0;
};

// Gives a slot to the waiting request of the highest priority, and to the oldest among equals.
// Thread-safe.
class EngineBatch {
 public:
  explicit EngineBatch(BatchOptions options);

  enum class Admission { kRunning, kQueueFull, kCancelled };

  // Waits for a slot; checks `is_cancelled` every 100 ms and after Wake().
  Admission Acquire(int priority, const std::function<bool()>& is_cancelled);
  void Release();
  // Makes waiting requests check `is_cancelled` again.
  void Wake();

  BatchLoad Current() const;
  // Load as it was `load_lag` ago.
  BatchLoad Reported();

 private:
  struct LoadSample {
    Instant at;
    BatchLoad load;
  };

  BatchLoad CurrentLocked() const;
  void RecordLocked();

  BatchOptions options;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::set<std::pair<int, std::uint64_t>> waiting;  // negated priority, arrival
  std::uint64_t arrivals = 0;
  int running = 0;
  std::deque<LoadSample> history;
};

}  // namespace savory::standins
