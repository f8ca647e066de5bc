// How long requests wait at one upstream for their first event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "base/time.h"
#include "relay/dispatch_types.h"

namespace savory {

// A prediction knows neither the way to an upstream nor that its machine stands still; the requests
// that are there do. Performs no I/O.
class FirstEventWaits {
 public:
  void OnSent(AttemptNumber attempt, Instant sent_at) { this->waiting.emplace(sent_at, attempt); }
  // The first event arrived.
  void OnWaited(AttemptNumber attempt, Instant sent_at, Instant now);
  // The attempt was given up without a first event: others wait at least as long.
  void OnGivenUp(AttemptNumber attempt, Instant sent_at, Instant now, Duration lifetime);
  // The attempt ended and says nothing about the wait of others.
  void OnEnded(AttemptNumber attempt, Instant sent_at) { this->waiting.erase({sent_at, attempt}); }

  // The longest of what the oldest waiting request has waited so far and what the last one waited,
  // unless that is longer ago than `lifetime`.
  Duration Longest(Instant now, Duration lifetime) const;

 private:
  std::set<std::pair<Instant, AttemptNumber>> waiting = {};
  Duration last = {};
  Instant last_at = {};
};

}  // namespace savory
