// Buffer of log lines for a descriptor that may not accept them immediately.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "base/time.h"

namespace savory {

// Bounded: lines that do not fit are dropped and counted. Once the buffer is less than half full, a
// line with the counts is added. Thread-safe.
class LogBuffer {
 public:
  explicit LogBuffer(std::size_t max_bytes) : max_bytes(max_bytes) {}

  // Adds `line`, which must not end in a newline.
  void Add(std::string_view line);
  // Counts a line that was left out by sampling.
  void CountSkipped();
  // Writes as much as `descriptor` accepts without blocking; it must be in non-blocking mode.
  void WriteTo(int descriptor);
  // Writes everything, and waits up to `limit` while `descriptor` accepts nothing. Returns whether
  // the buffer is empty.
  bool WriteAllTo(int descriptor, Duration limit);

  std::size_t Bytes() const;
  std::uint64_t Dropped() const;

 private:
  void AddCounts();

  std::size_t max_bytes;
  mutable std::mutex mutex;
  std::string lines;
  std::uint64_t dropped = 0;             // for lack of space, in total
  std::uint64_t dropped_unreported = 0;  // since the last line with the counts
  std::uint64_t skipped_unreported = 0;
};

}  // namespace savory
