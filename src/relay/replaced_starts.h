// Remembers which starts of upstreams ended, though their connections may not be noticed as lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace savory {

struct UpstreamStart;

// A later start of an upstream takes the place of one that was listed as staying: that process has
// ended. The connections to it may be noticed as lost afterwards, e.g. by an entry that was paused
// meanwhile. Performs no I/O.
class ReplacedStarts {
 public:
  // Beyond `max_starts`, the oldest ones are forgotten.
  explicit ReplacedStarts(std::size_t max_starts = 1024) : max_starts(max_starts) {}

  void Add(const UpstreamStart& start);
  bool Contains(const UpstreamStart& start) const;

 private:
  struct Row {
    std::string id;
    std::int64_t started_unix_ms = 0;
  };

  std::size_t max_starts;
  std::deque<Row> rows = {};  // oldest first
};

}  // namespace savory
