#include "crashes/crash_causes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace savory {
namespace {

// Indices of crashes, sorted. Comparing those is much faster than comparing ids of upstreams.
using Crashes = std::vector<std::uint32_t>;

// CrashCandidate with indices.
struct Candidate {
  Digest digest = {};
  Crashes crashes = {};
  bool is_doubtful = false;
};

// The crashes of all candidates, by index.
class CrashIndex {
 public:
  explicit CrashIndex(std::span<const CrashCandidate> candidates) {
    for (const CrashCandidate& candidate : candidates) {
      this->all.insert(this->all.end(), candidate.crashes.begin(), candidate.crashes.end());
    }
    std::ranges::sort(this->all);
    this->all.erase(std::unique(this->all.begin(), this->all.end()), this->all.end());
  }

  Crashes IndicesOf(std::span<const UpstreamIncarnation> crashes) const {
    Crashes indices;
    for (const UpstreamIncarnation& crash : crashes) {
      const auto found = std::ranges::lower_bound(this->all, crash);
      indices.push_back(static_cast<std::uint32_t>(found - this->all.begin()));
    }
    return indices;
  }

  const UpstreamIncarnation& At(std::uint32_t index) const { return this->all[index]; }

  std::vector<UpstreamIncarnation> CrashesAt(const Crashes& indices) const {
    std::vector<UpstreamIncarnation> crashes;
    for (const std::uint32_t index : indices) crashes.push_back(this->all[index]);
    return crashes;
  }

 private:
  std::vector<UpstreamIncarnation> all = {};
};

bool Overlap(const Crashes& a, const Crashes& b) {
  return std::ranges::any_of(
      a, [&b](const auto& crash) { return std::ranges::binary_search(b, crash); });
}

// How many crashes speak for the candidate, of `unexplained` ones. What is doubtful runs
// beside causes as often as it is requested. If it is guilty, it runs at most of the crashes.
std::size_t WeightOf(const Candidate& candidate, std::size_t unexplained,
                     const CrashCauseOptions& options) {
  const std::size_t crashes = candidate.crashes.size();
  if (!candidate.is_doubtful) return crashes;
  if (2 * crashes < unexplained) return 0;
  return crashes - std::min(crashes, options.doubtful_discount);
}

void RemoveCrashes(std::vector<Candidate>& candidates, const Crashes& explained) {
  for (Candidate& candidate : candidates) {
    std::erase_if(candidate.crashes, [&explained](const auto& crash) {
      return std::ranges::binary_search(explained, crash);
    });
  }
}

// What `request` has of `digests`, sorted.
std::vector<Digest> SharedDigests(const CrashSuspect& request, const std::vector<Digest>& digests) {
  std::vector<Digest> shared;
  const auto add = [&](const Digest& digest) {
    if (std::ranges::binary_search(digests, digest)) shared.push_back(digest);
  };
  add(request.fingerprint);
  for (const Digest& part : request.parts) add(part);
  std::ranges::sort(shared);
  shared.erase(std::unique(shared.begin(), shared.end()), shared.end());
  return shared;
}

// Splits `digests`, all of which have the same crashes, into the sets that occur together in one
// request. A set that another one contains is left out.
std::vector<std::vector<Digest>> SplitByRequest(const std::vector<Digest>& digests,
                                                const Crashes& crashes, const CrashIndex& index,
                                                const CrashSuspects& suspects) {
  std::vector<std::vector<Digest>> sets;
  for (const std::uint32_t crash : crashes) {
    const auto found = suspects.find(index.At(crash));
    if (found == suspects.end()) continue;
    for (const CrashSuspect& request : found->second) {
      std::vector<Digest> shared = SharedDigests(request, digests);
      if (!shared.empty()) sets.push_back(std::move(shared));
    }
  }
  std::ranges::sort(sets, {}, [](const auto& set) { return set.size(); });
  std::ranges::reverse(sets);
  std::vector<std::vector<Digest>> largest;
  for (std::vector<Digest>& set : sets) {
    const bool contained = std::ranges::any_of(
        largest, [&set](const auto& other) { return std::ranges::includes(other, set); });
    if (!contained) largest.push_back(std::move(set));
  }
  return largest;
}

// The crashes of which each digest of the cause is a suspect; none if one has no candidate.
Crashes CommonCrashes(const CrashCause& cause, std::span<const Candidate> candidates) {
  Crashes common;
  for (const Digest& digest : cause.all_of) {
    const auto found = std::ranges::find(candidates, digest, &Candidate::digest);
    if (found == candidates.end()) return {};
    if (digest == cause.all_of.front()) {
      common = found->crashes;
      continue;
    }
    Crashes both;
    std::ranges::set_intersection(common, found->crashes, std::back_inserter(both));
    common = std::move(both);
  }
  return common;
}

// Whether a candidate explains all of `crashes` and more.
bool HasBetterCause(const Crashes& crashes, std::span<const Candidate> candidates) {
  return std::ranges::any_of(candidates, [&](const Candidate& candidate) {
    return !candidate.is_doubtful && candidate.crashes.size() > crashes.size() &&
           std::ranges::includes(candidate.crashes, crashes);
  });
}

bool IsDoubtful(const CrashCause& cause, std::span<const Candidate> candidates) {
  return std::ranges::any_of(cause.all_of, [&](const Digest& digest) {
    const auto found = std::ranges::find(candidates, digest, &Candidate::digest);
    return found != candidates.end() && found->is_doubtful;
  });
}

// Drops causes whose crashes are nearly all explained by others with more. The first `kept` causes
// were certain before: several that end upstreams at the same time also end them together, so these
// are dropped only if they are doubtful, or others explain all of their crashes.
void DropExplained(std::vector<CrashCause>& causes, std::size_t kept,
                   std::span<const Candidate> candidates, const CrashCauseOptions& options) {
  const std::vector<CrashCause> all = std::exchange(causes, {});
  for (std::size_t i = 0; i < all.size(); ++i) {
    const CrashCause& cause = all[i];
    const auto left = std::ranges::count_if(cause.crashes, [&](const auto& crash) {
      return std::ranges::none_of(all, [&](const CrashCause& other) {
        return other.crashes.size() > cause.crashes.size() &&
               std::ranges::binary_search(other.crashes, crash);
      });
    });
    const bool is_certain = i < kept && !IsDoubtful(cause, candidates);
    const std::size_t needed = is_certain ? 1 : options.crash_threshold;
    if (static_cast<std::size_t>(left) >= needed) causes.push_back(cause);
  }
}

std::vector<Digest> OpenDigests(const std::vector<Candidate>& candidates, std::size_t unexplained,
                                const CrashCauseOptions& options) {
  std::vector<Digest> digests;
  for (const Candidate& candidate : candidates) {
    if (WeightOf(candidate, unexplained, options) < options.crash_threshold) continue;
    digests.push_back(candidate.digest);
  }
  std::ranges::sort(digests);
  return digests;
}

}  // namespace

bool CrashCause::Has(const CrashSuspect& request) const {
  return std::ranges::all_of(this->all_of, [&request](const Digest& digest) {
    return digest == request.fingerprint ||
           std::ranges::find(request.parts, digest) != request.parts.end();
  });
}

CrashCauses FindCrashCauses(std::span<const CrashCandidate> candidates,
                            const CrashSuspects& suspects,
                            std::span<const CrashCause> proved_before,
                            const CrashCauseOptions& options) {
  CrashCauses causes;
  const CrashIndex index(candidates);
  std::vector<Candidate> rest;
  for (const CrashCandidate& candidate : candidates) {
    rest.push_back({.digest = candidate.digest,
                    .crashes = index.IndicesOf(candidate.crashes),
                    .is_doubtful = candidate.is_doubtful});
  }
  const std::vector<Candidate> all = rest;
  // Crashes that several candidates explain equally well are set aside, not explained.
  std::vector<Candidate> open = rest;
  std::size_t unexplained = suspects.size();
  for (const CrashCause& before : proved_before) {
    const Crashes crashes = CommonCrashes(before, all);
    const bool is_kept =
        crashes.size() >= options.certain_threshold && !HasBetterCause(crashes, all);
    if (!is_kept) continue;
    causes.proved.push_back({.all_of = before.all_of, .crashes = index.CrashesAt(crashes)});
    unexplained -= std::min(unexplained, crashes.size());
    RemoveCrashes(open, crashes);
    RemoveCrashes(rest, crashes);
  }
  const std::size_t kept = causes.proved.size();
  // What is doubtful is looked at only for what nothing else explains.
  bool with_doubtful = false;
  for (std::size_t round = 0; round < options.max_causes; ++round) {
    const auto weight_of = [&](const Candidate& row) {
      return row.is_doubtful && !with_doubtful ? 0 : WeightOf(row, unexplained, options);
    };
    const auto best = std::ranges::max_element(rest, {}, weight_of);
    if (best == rest.end() || weight_of(*best) < options.crash_threshold) {
      if (std::exchange(with_doubtful, true)) break;
      continue;
    }
    const std::size_t weight = weight_of(*best);
    const Crashes crashes = best->crashes;
    std::vector<Digest> equal;
    bool has_rival = false;
    for (const Candidate& candidate : rest) {
      if (weight_of(candidate) != weight) continue;
      if (candidate.crashes == crashes) {
        equal.push_back(candidate.digest);
      } else {
        has_rival = has_rival || Overlap(candidate.crashes, crashes);
      }
    }
    std::ranges::sort(equal);
    std::vector<std::vector<Digest>> sets = SplitByRequest(equal, crashes, index, suspects);
    const bool is_certain = weight >= options.certain_threshold;
    if (is_certain || (sets.size() == 1 && !has_rival)) {
      for (std::vector<Digest>& set : sets) {
        causes.proved.push_back({.all_of = std::move(set), .crashes = index.CrashesAt(crashes)});
      }
      unexplained -= std::min(unexplained, crashes.size());
      RemoveCrashes(open, crashes);
    }
    RemoveCrashes(rest, crashes);
  }
  DropExplained(causes.proved, kept, all, options);
  causes.open = OpenDigests(open, unexplained, options);
  return causes;
}

}  // namespace savory
