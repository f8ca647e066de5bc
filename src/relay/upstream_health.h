// Outlier ejection for one upstream, based on the outcome of the requests sent to it.
#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/time.h"

namespace savory {

// Outcome of an attempt, as far as it says something about the upstream.
enum class AttemptResult {
  kServed,       // a complete answer
  kErrored,      // an answer with a server error, or a truncated one
  kRefused,      // the upstream did not run it: it is full or shutting down
  kMisdirected,  // another upstream, or a later start of this one, has the address
  kUnreachable,  // no connection could be opened
  kSilent,       // no answer within the expected time
  kCancelled,    // the caller disconnected; says nothing about the upstream
};

// Whether it counts against the upstream.
bool IsFailure(AttemptResult result);

struct UpstreamHealthOptions {
  // Weight of the latest attempt in the failure rate. Two failures in a row exceed the threshold, a
  // single one among successes does not.
  double newest_weight = 0.25;
  double ejection_threshold = 0.4;
  // Duration of the first ejection. It doubles up to the limit while attempts keep failing.
  Duration first_ejection = std::chrono::milliseconds(1500);
  Duration max_ejection = std::chrono::seconds(8);
  // An upstream that refuses connections often recovers soon (full accept queue).
  Duration unreachable_ejection = std::chrono::milliseconds(500);
  // Requests that must not be retried are sent to a half-open upstream this long after the end of
  // the ejection. By then no other request has tried it: its service may have none.
  Duration unsafe_probe_delay = std::chrono::milliseconds(1500);
};

// Ejects an upstream whose attempts fail, regardless of its health checks. After the ejection it is
// half open: it receives one request at a time until one succeeds.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(UpstreamHealthOptions options = {}) : options(options) {}

  void OnStarted() { ++this->in_flight; }
  // The ends of the attempts that go on will not be told.
  void ForgetInFlight() { this->in_flight = 0; }
  void OnEnded(AttemptResult result, Instant now, Random& random);
  // Goes back to the health `before` some of the results. Attempts in flight stay counted.
  void TakeBack(const UpstreamHealth& before);

  // Whether the upstream may receive a request. `may_probe`: the request may be retried, so it may
  // be sent to a half-open upstream at once.
  bool MayUse(Instant now, bool may_probe) const;
  bool IsEjected(Instant now) const { return now < this->ejected_until; }
  // Whether it was ejected and no attempt has succeeded since.
  bool IsHalfOpen() const { return this->half_open; }
  Instant EjectedUntil() const { return this->ejected_until; }
  // Exponentially weighted fraction of failed attempts.
  double FailureRate() const { return this->failure_rate; }

 private:
  void Eject(Duration duration, Instant now, Random& random);

  UpstreamHealthOptions options;
  double failure_rate = 0;
  bool half_open = false;  // from an ejection until an attempt succeeds
  int consecutive_ejections = 0;
  int in_flight = 0;
  Instant ejected_until = {};
};

}  // namespace savory
