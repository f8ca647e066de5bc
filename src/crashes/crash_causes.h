// Finds the requests, and parts of prompts, that explain why upstreams ended.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "crashes/crash_suspect.h"

namespace savory {

// An upstream's id and incarnation.
using UpstreamIncarnation = std::pair<std::string, std::uint64_t>;
// The requests that ran at each upstream when it ended.
using CrashSuspects = std::map<UpstreamIncarnation, std::vector<CrashSuspect>>;

// A fingerprint or a part, and the crashes of which it may be the cause.
struct CrashCandidate {
  Digest digest = {};
  std::vector<UpstreamIncarnation> crashes = {};  // sorted
  // It was answered before, and may have become guilty only since; or so many requests have it that
  // it runs at most crashes in any case.
  bool is_doubtful = false;
};

// Requests that have each of `all_of`, as fingerprint or part, end the upstreams that run them.
// There are several if they were only seen together.
struct CrashCause {
  std::vector<Digest> all_of = {};                // sorted
  std::vector<UpstreamIncarnation> crashes = {};  // that it explains, sorted

  bool Has(const CrashSuspect& request) const;
};

struct CrashCauseOptions {
  std::size_t crash_threshold = 2;    // crashes that prove a cause if nothing else explains them
  std::size_t certain_threshold = 3;  // crashes that prove it also beside others
  std::size_t max_causes = 64;        // looked for at a time
  std::size_t doubtful_discount = 2;  // crashes that count for nothing if it is doubtful
};

struct CrashCauses {
  std::vector<CrashCause> proved = {};
  // Digests, sorted, with `crash_threshold` crashes that no proved cause explains.
  std::vector<Digest> open = {};
};

// Keeps the causes that were certain before, unless a candidate explains the same crashes and more:
// over a long time, what runs beside several causes collects some crashes of each. Otherwise looks
// for the fewest causes that explain all crashes: the candidate with the most crashes first, then
// the one with the most of the rest; what is doubtful, less the discount, only for what nothing
// else explains. A request that ran beside the guilty ones, even at several crashes, explains none
// that they don't. `candidates` are those with at least `crash_threshold` crashes.
CrashCauses FindCrashCauses(std::span<const CrashCandidate> candidates,
                            const CrashSuspects& suspects,
                            std::span<const CrashCause> proved_before,
                            const CrashCauseOptions& options);

}  // namespace savory
