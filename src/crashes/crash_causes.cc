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

std::vector<Digest> DigestsWithAtLeast(const std::vector<CrashCandidate>& candidates,
                                       std::size_t crashes) {
  std::vector<Digest> digests;
  for (const CrashCandidate& candidate : candidates) {
    if (candidate.crashes.size() >= crashes) digests.push_back(candidate.digest);
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
                            const CrashSuspects& suspects, const CrashCauseOptions& options) {
  CrashCauses causes;
  std::vector<CrashCandidate> rest(candidates.begin(), candidates.end());
  // Crashes that several candidates explain equally well are set aside, not explained.
  std::vector<CrashCandidate> unexplained = rest;
  while (true) {
    const auto best = std::ranges::max_element(
        rest, {}, [](const CrashCandidate& candidate) { return candidate.crashes.size(); });
    if (best == rest.end() || best->crashes.size() < options.crash_threshold) break;
    const Crashes crashes = best->crashes;
    std::vector<Digest> equal;
    bool has_rival = false;
    for (const CrashCandidate& candidate : rest) {
      if (candidate.crashes == crashes) {
        equal.push_back(candidate.digest);
      } else if (candidate.crashes.size() == crashes.size()) {
        has_rival = has_rival || Overlap(candidate.crashes, crashes);
      }
    }
    std::ranges::sort(equal);
    std::vector<std::vector<Digest>> sets = SplitByRequest(equal, crashes, suspects);
    const bool is_certain = crashes.size() >= options.certain_threshold;
    if (is_certain || (sets.size() == 1 && !has_rival)) {
      for (std::vector<Digest>& set : sets) {
        causes.proved.push_back({.all_of = std::move(set), .crashes = crashes});
      }
      RemoveCrashes(unexplained, crashes);
    }
    RemoveCrashes(rest, crashes);
  }
  causes.open = DigestsWithAtLeast(unexplained, options.crash_threshold);
  return causes;
}

}  // namespace savory
