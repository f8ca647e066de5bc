// Whether one upstream fails, judged by the requests that were sent to it.
#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/time.h"

namespace savory {

// How an attempt at an upstream ended, as far as it tells about the upstream.
enum class AttemptResult {
  kServed,       // a whole answer
  kErrored,      // an answer with a server error, or one that broke off
  kRefused,      // "not run": full or leaving
  kMisdirected,  // another upstream has the address, or the start that was meant is over
  kUnreachable,  // no connection could be made
  kSilent,       // no answer in the time that the upstream should need
  kCancelled,    // the caller left; says nothing about the upstream
};

struct UpstreamHealthOptions {
  // Weight of the latest attempt in the failure rate: two failures in a row cross the threshold,
  // one among successes does not.
  double newest_weight = 0.25;
  double ejection_threshold = 0.4;
  // Time out of use after the first ejection; doubles up to the limit while attempts go on failing.
  Duration first_ejection = std::chrono::milliseconds(1500);
  Duration max_ejection = std::chrono::seconds(8);
  // An upstream without a connection is often back within a moment (a full accept queue).
  Duration unreachable_ejection = std::chrono::milliseconds(500);
};

// Ejects an upstream whose attempts fail, whatever its health answers say, and lets it return with
// one request at a time until one is served.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(UpstreamHealthOptions options = {}) : options(options) {}

  void OnStarted() { ++this->in_flight; }
  void OnEnded(AttemptResult result, Instant now, Random& random);

  // Whether the upstream may receive a request. `may_probe`: the request may be repeated, so it may
  // try an upstream whose ejection has run out.
  bool MayUse(Instant now, bool may_probe) const;
  bool IsEjected(Instant now) const { return now < this->ejected_until; }
  // Whether it was ejected and has served no request since.
  bool IsHalfOpen() const { return this->half_open; }
  Instant EjectedUntil() const { return this->ejected_until; }
  // Share of recent attempts that failed.
  double FailureRate() const { return this->failure_rate; }

 private:
  void Eject(Duration duration, Instant now, Random& random);

  UpstreamHealthOptions options;
  double failure_rate = 0;
  bool half_open = false;         // since an ejection, until an attempt is served
  int consecutive_ejections = 0;  // in a row
  int in_flight = 0;
  Instant ejected_until = {};
};

}  // namespace savory
