// Tells failures that come from a load of weights from those that count for an engine's health.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "relay/upstream_health.h"

namespace savory {

struct DoubtfulFailuresOptions {
  // An agent reads its engine's state every 40 ms around a load and reports a change at once.
  Duration report_time = std::chrono::seconds(1);
};

// An engine that refuses requests may be about to load, and breaks off what runs there as it begins
// to; or it refuses them for another reason, and its failures count. A load shows in the report
// after it, as the engine then holds no weights, or newer ones. Until then failures count. One
// start of one engine; performs no I/O.
class DoubtfulFailures {
 public:
  explicit DoubtfulFailures(DoubtfulFailuresOptions options = {}) : options(options) {}

  // An attempt failed at the engine, which holds `weights` by the last word on it. `before`: its
  // health without this failure.
  void OnFailure(const UpstreamHealth& before, std::uint64_t weights, Instant now);
  // A word on the engine names its weights; 0: it holds none. Returns the health without the
  // failures that came from a load; nullopt: none did.
  std::optional<UpstreamHealth> OnWeights(std::uint64_t weights, Instant now);

 private:
  struct Doubt {
    UpstreamHealth before;
    std::uint64_t weights = 0;
    Instant last_at = {};
  };

  bool IsOpen(Instant now) const;

  DoubtfulFailuresOptions options;
  std::optional<Doubt> doubt = {};
};

}  // namespace savory
