// Log lines on their way to a descriptor that may not take them at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace savory {

// Bounded: lines that do not fit are counted, and the count is written as a line of its own as soon
// as there is room. Thread-safe.
class LogBuffer {
 public:
  explicit LogBuffer(std::size_t max_bytes) : max_bytes(max_bytes) {}

  // Adds `line`, without its line end.
  void Add(std::string_view line);
  // Counts a line that was left out on purpose.
  void CountSkipped();
  // Writes as much as `descriptor` takes without blocking, which must be in non-blocking mode.
  void WriteTo(int descriptor);

  std::size_t Bytes() const;
  std::uint64_t Dropped() const;

 private:
  void AddCounts();

  std::size_t max_bytes;
  mutable std::mutex mutex;
  std::string lines;
  std::uint64_t dropped = 0;             // for lack of room, in all
  std::uint64_t dropped_unreported = 0;  // not written as a line yet
  std::uint64_t skipped_unreported = 0;
};

}  // namespace savory
