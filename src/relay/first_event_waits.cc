#include "relay/first_event_waits.h"

#include <algorithm>

namespace savory {

void FirstEventWaits::OnWaited(AttemptNumber attempt, Instant sent_at, Instant now) {
  if (this->waiting.erase({sent_at, attempt}) == 0) return;
  this->last = now - sent_at;
  this->last_at = now;
}

void FirstEventWaits::OnGivenUp(AttemptNumber attempt, Instant sent_at, Instant now,
                                Duration lifetime) {
  if (this->waiting.erase({sent_at, attempt}) == 0) return;
  if (now - sent_at < this->Longest(now, lifetime)) return;
  this->last = now - sent_at;
  this->last_at = now;
}

Duration FirstEventWaits::Longest(Instant now, Duration lifetime) const {
  const Duration last = now - this->last_at < lifetime ? this->last : Duration(0);
  if (this->waiting.empty()) return last;
  return std::max(last, now - this->waiting.begin()->first);
}

}  // namespace savory
