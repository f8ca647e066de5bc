#include "crashes/crash_causes.h"

#include <algorithm>
#include <iterator>

namespace savory {
namespace {

using Crashes = std::vector<UpstreamIncarnation>;

bool Overlap(const Crashes& a, const Crashes& b) {
  return std::ranges::any_of(
      a, [&b](const auto& crash) { return std::ranges::binary_search(b, crash); });
}

// How many crashes speak for the candidate.
std::size_t WeightOf(const CrashCandidate& candidate, const CrashCauseOptions& options) {
  const std::size_t discount = candidate.was_sound ? options.sound_discount : 0;
  return candidate.crashes.size() - std::min(candidate.crashes.size(), discount);
}

void RemoveCrashes(std::vector<CrashCandidate>& candidates, const Crashes& explained) {
  for (CrashCandidate& candidate : candidates) {
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
                                                const Crashes& crashes,
                                                const CrashSuspects& suspects) {
  std::vector<std::vector<Digest>> sets;
  for (const UpstreamIncarnation& crash : crashes) {
    const auto found = suspects.find(crash);
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
Crashes CommonCrashes(const CrashCause& cause, std::span<const CrashCandidate> candidates) {
  Crashes common;
  for (const Digest& digest : cause.all_of) {
    const auto found = std::ranges::find(candidates, digest, &CrashCandidate::digest);
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
bool HasBetterCause(const Crashes& crashes, std::span<const CrashCandidate> candidates,
                    const CrashCauseOptions& options) {
  return std::ranges::any_of(candidates, [&](const CrashCandidate& candidate) {
    return WeightOf(candidate, options) > crashes.size() &&
           std::ranges::includes(candidate.crashes, crashes);
  });
}

// Drops causes whose crashes are nearly all explained by others with more.
void DropExplained(std::vector<CrashCause>& causes, const CrashCauseOptions& options) {
  const std::vector<CrashCause> all = causes;
  std::erase_if(causes, [&](const CrashCause& cause) {
    const auto left = std::ranges::count_if(cause.crashes, [&](const auto& crash) {
      return std::ranges::none_of(all, [&](const CrashCause& other) {
        return other.crashes.size() > cause.crashes.size() &&
               std::ranges::binary_search(other.crashes, crash);
      });
    });
    return static_cast<std::size_t>(left) < options.crash_threshold;
  });
}

std::vector<Digest> OpenDigests(const std::vector<CrashCandidate>& candidates,
                                const CrashCauseOptions& options) {
  std::vector<Digest> digests;
  for (const CrashCandidate& candidate : candidates) {
    if (WeightOf(candidate, options) < options.crash_threshold) continue;
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
  std::vector<CrashCandidate> rest(candidates.begin(), candidates.end());
  // Crashes that several candidates explain equally well are set aside, not explained.
  std::vector<CrashCandidate> unexplained = rest;
  for (const CrashCause& before : proved_before) {
    const Crashes crashes = CommonCrashes(before, candidates);
    const bool is_kept = crashes.size() >= options.certain_threshold &&
                         !HasBetterCause(crashes, candidates, options);
    if (!is_kept) continue;
    causes.proved.push_back({.all_of = before.all_of, .crashes = crashes});
    RemoveCrashes(unexplained, crashes);
    RemoveCrashes(rest, crashes);
  }
  while (true) {
    const auto weight_of = [&](const CrashCandidate& row) { return WeightOf(row, options); };
    const auto best = std::ranges::max_element(rest, {}, weight_of);
    if (best == rest.end() || weight_of(*best) < options.crash_threshold) break;
    const std::size_t weight = weight_of(*best);
    const Crashes crashes = best->crashes;
    std::vector<Digest> equal;
    bool has_rival = false;
    for (const CrashCandidate& candidate : rest) {
      if (weight_of(candidate) != weight) continue;
      if (candidate.crashes == crashes) {
        equal.push_back(candidate.digest);
      } else {
        has_rival = has_rival || Overlap(candidate.crashes, crashes);
      }
    }
    std::ranges::sort(equal);
    std::vector<std::vector<Digest>> sets = SplitByRequest(equal, crashes, suspects);
    const bool is_certain = weight >= options.certain_threshold;
    if (is_certain || (sets.size() == 1 && !has_rival)) {
      for (std::vector<Digest>& set : sets) {
        causes.proved.push_back({.all_of = std::move(set), .crashes = crashes});
      }
      RemoveCrashes(unexplained, crashes);
    }
    RemoveCrashes(rest, crashes);
  }
  DropExplained(causes.proved, options);
  causes.open = OpenDigests(unexplained, options);
  return causes;
}

}  // namespace savory
