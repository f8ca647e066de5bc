// The least value that a number had of late.
#pragma once

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace savory {

// Entries learn of changes at different times. So what an entry has just gained may still be in use
// by others; what it had for a while is not. Performs no I/O. Keeps at most as many rows as there
// are different values.
class SteadyShare {
 public:
  explicit SteadyShare(Duration window = std::chrono::milliseconds(1100)) : window(window) {}

  // The number is `value` from now on.
  void Set(std::uint32_t value, Instant now);
  // The least value within the window; 0 until the number has been known for so long.
  std::uint32_t Least(Instant now) const;

 private:
  struct Row {
    std::uint32_t value = 0;
    Instant since = {};  // from when on no value was smaller
  };

  Duration window;
  std::deque<Row> rows = {};  // growing values
};

}  // namespace savory
