// Decides from whom this agent requests a manifest.
#pragma once

#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"
#include "distribution/origin_ranks.h"

namespace savory {

// Send ManifestPull to `peer` (IP:PORT).
struct PullManifest {
  std::string peer;
};
// GET /manifests/DIGEST at the origin.
struct ReadManifest {};
using ManifestAction = std::variant<PullManifest, ReadManifest>;

struct ManifestFetchOptions {
  std::string vm;
  std::string region;
  std::string origin_region;
  bool always_from_origin = false;  // baseline strategy
  Duration retry = std::chrono::seconds(1);
  Duration fallback = std::chrono::seconds(5);  // after this time any agent reads from the origin
};

// In each region the two highest-ranked agents fetch the manifest into the region: from the origin
// in the origin's region, otherwise from the two agents that read it there. All other agents pull
// it from neighbours. In a large fleet, reads by every agent would add up to more bytes than one
// copy of the weights.
class ManifestFetch {
 public:
  // `random` must outlive the object.
  ManifestFetch(ManifestFetchOptions options, Random& random);

  void Start(Instant now, const Digest& manifest);
  void Stop() { this->wanted = {}; }
  void SetMembers(std::span<const SpreadPeer> members);
  // A read from the origin failed; it is retried after a backoff.
  void OnOriginFailed(Instant now);

  std::vector<ManifestAction> Tick(Instant now);

 private:
  bool ReadsOrigin(Instant now) const;
  void AddPulls(std::vector<ManifestAction>& actions);

  ManifestFetchOptions options;
  Random& random;
  Digest wanted = {};
  Instant started = {};
  Instant next_pull = {};
  Instant next_read = {};
  Duration backoff = {};
  bool is_ranked = false;
  std::vector<std::string> neighbours = {};
  std::vector<std::string> origin_readers =
      {};  // agents of the origin's region that read the manifest
};

}  // namespace savory
