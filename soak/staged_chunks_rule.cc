#include "soak/staged_chunks_rule.h"

#include <algorithm>
#include <utility>

namespace savory {

void StagedChunksRule::OnStaged(std::string_view upstream, std::uint32_t chunk,
                                std::uint64_t version) {
  this->staged[std::string(upstream)][chunk] = {.version = version};
}

void StagedChunksRule::OnCorrupted(std::string_view upstream, std::uint32_t chunk, Instant now) {
  Chunk& staged = this->staged[std::string(upstream)][chunk];
  if (!staged.corrupt_since) staged.corrupt_since = now;
}

void StagedChunksRule::OnReplaced(std::string_view upstream, std::string_view next) {
  const auto found = this->staged.find(upstream);
  if (found == this->staged.end()) return;
  Chunks kept = std::move(found->second);
  this->staged.erase(found);
  this->staged[std::string(next)] = std::move(kept);
}

void StagedChunksRule::OnAllLost(std::string_view upstream) {
  this->staged.erase(std::string(upstream));
}

std::optional<std::string> StagedChunksRule::FindFault(const Chunks& staged, std::uint32_t number,
                                                       std::uint64_t version, Instant now) const {
  const std::string name = "chunk " + std::to_string(number);
  const auto found = staged.find(number);
  if (found == staged.end()) return name + " missing";
  const Chunk& chunk = found->second;
  if (chunk.version != version) return name + " of version " + std::to_string(chunk.version);
  if (!chunk.corrupt_since || now - *chunk.corrupt_since < this->tolerance) return std::nullopt;
  return name + " bad for " + std::to_string(ToMillis(now - *chunk.corrupt_since)) + " ms";
}

bool StagedChunksRule::OnLoad(std::string_view upstream, std::uint64_t version,
                              std::uint32_t chunks, bool complete, Instant now) {
  BadLoads& bad = this->bad_loads[std::string(upstream)];
  bad.erase(version);
  if (complete) return true;
  const Chunks& staged = this->staged[std::string(upstream)];
  std::string faults;
  for (std::uint32_t number = 0; number < chunks; ++number) {
    const auto fault = this->FindFault(staged, number, version, now);
    if (fault) faults += (faults.empty() ? "" : ", ") + *fault;
  }
  const bool any_corrupt = std::ranges::any_of(
      staged, [](const auto& row) { return row.second.corrupt_since.has_value(); });
  if (faults.empty() && !any_corrupt) faults = "chunks that turned bad unseen";
  if (!faults.empty()) bad[version] = faults;
  return faults.empty();
}

std::optional<std::string> StagedChunksRule::FindBadLoad(std::string_view upstream,
                                                         std::uint64_t version) const {
  const auto loads = this->bad_loads.find(upstream);
  if (loads == this->bad_loads.end()) return std::nullopt;
  const auto found = loads->second.find(version);
  return found == loads->second.end() ? std::nullopt : std::optional(found->second);
}

bool StagedChunksRule::HasStaged(std::string_view upstream, std::uint64_t version,
                                 std::uint32_t chunks) const {
  const auto found = this->staged.find(upstream);
  if (found == this->staged.end()) return false;
  for (std::uint32_t number = 0; number < chunks; ++number) {
    const auto chunk = found->second.find(number);
    if (chunk == found->second.end() || chunk->second.version != version) return false;
  }
  return true;
}

}  // namespace savory
