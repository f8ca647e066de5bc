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

// Load numbers.
struct BatchLoad {
  int running = 0;
  int queued = 0;
};

// Gives a slot to the waiting request of the highest priority, and to the oldest among equals.
// Thread-safe.
class EngineBatch {
 public:
  explicit EngineBatch(BatchOptions options);

  enum class Entry { kRunning, kFull, kGivenUp };

  // Waits for a slot; `given_up` is asked every 100 ms and after Wake().
  Entry Enter(int priority, const std::function<bool()>& given_up);
  void Leave();
  // Lets waiting requests ask `given_up` again.
  void Wake();

  BatchLoad Current() const;
  // Load as it was `load_lag` ago.
  BatchLoad Reported();

 private:
  struct Record {
    Instant at;
    BatchLoad load;
  };

  BatchLoad CurrentLocked() const;
  void NoteLocked();

  BatchOptions options;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::set<std::pair<int, std::uint64_t>> waiting;  // negated priority, arrival
  std::uint64_t arrivals = 0;
  int running = 0;
  std::deque<Record> history;
};

}  // namespace savory::standins
