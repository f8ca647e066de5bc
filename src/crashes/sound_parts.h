// Remembers which parts of prompts were answered lately.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "base/digest.h"
#include "base/time.h"

namespace savory {

struct SoundPartsOptions {
  std::size_t max_parts = 8192;  // the one that was answered longest ago is dropped
  // Minimum time between two messages to the other entries on one part.
  Duration announce_period = std::chrono::seconds(1);
};

// Most parts are answered all the time, so they are remembered even while nothing is known against
// them: the entry that suspects one may be another.
class SoundParts {
 public:
  explicit SoundParts(SoundPartsOptions options) : options(options) {}

  // The part was answered at `at`. Returns whether that is later than known before.
  bool Add(const Digest& part, Instant at);
  // The last answer; the epoch if none is known.
  Instant AnsweredAt(const Digest& part) const;
  // Whether the others may be told of the part now. If so, not again for a while.
  bool TakeAnnouncement(const Digest& part, Instant now);
  std::size_t size() const { return this->rows.size(); }

 private:
  struct Row {
    Digest part;
    Instant answered_at = {};
    Instant announced_at = {};
  };
  using Rows = std::list<Row>;

  SoundPartsOptions options;
  Rows rows = {};  // the least recently answered first
  std::unordered_map<Digest, Rows::iterator> by_part = {};
};

}  // namespace savory
