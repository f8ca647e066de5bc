#include "distribution/load_evidence.h"

#include <algorithm>

namespace savory {

LoadEvidence::LoadEvidence(std::span<const StagedChunk> staged, Instant after,
                           LoadEvidenceOptions options)
    : options(options) {
  const auto is_pending = [&](Instant given_up) {
    return given_up != Instant() && after < given_up + this->options.late_call_time;
  };
  for (const StagedChunk& chunk : staged) {
    const bool was_staged = chunk.staged_by <= after;
    const bool may_be_repaired = is_pending(chunk.upload_given_up);
    this->chunks.push_back(
        {.correct_at = was_staged ? chunk.correct_at : Instant(),
         .needs_later_reading = !may_be_repaired && (chunk.older_upload_in_progress ||
                                                     is_pending(chunk.older_upload_given_up)),
         .closed = !was_staged || may_be_repaired});
  }
}

void LoadEvidence::OnReadBack(std::uint32_t index, Instant sent, bool intact) {
  if (index >= this->chunks.size()) return;
  Chunk& chunk = this->chunks[index];
  if (chunk.closed) return;
  if (!intact) {
    chunk.closed = true;
  } else {
    chunk.correct_at = std::max(chunk.correct_at, sent);
  }
}

void LoadEvidence::OnUpload(std::uint32_t chunk) {
  if (chunk < this->chunks.size()) this->chunks[chunk].closed = true;
}

void LoadEvidence::OnAnswersDoubted() {
  for (Chunk& chunk : this->chunks) chunk.correct_at = {};
}

void LoadEvidence::OnReplaced() {
  for (Chunk& chunk : this->chunks) chunk = {.closed = true};
}

bool LoadEvidence::IsProven(const Chunk& chunk) const {
  if (chunk.correct_at >= this->accepted_by) return true;
  return !chunk.needs_later_reading &&
         this->accepted_by - chunk.correct_at <= this->options.max_corrupt_time;
}

bool LoadEvidence::IsProven() const { return !this->chunks.empty() && this->UnprovenChunks() == 0; }

bool LoadEvidence::CanBeProven() const {
  return std::ranges::none_of(
      this->chunks, [this](const Chunk& chunk) { return chunk.closed && !this->IsProven(chunk); });
}

bool LoadEvidence::NeedsReading(std::uint32_t chunk) const {
  return chunk < this->chunks.size() && !this->chunks[chunk].closed &&
         !this->IsProven(this->chunks[chunk]);
}

std::uint32_t LoadEvidence::UnprovenChunks() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      this->chunks, [this](const Chunk& chunk) { return !this->IsProven(chunk); }));
}

}  // namespace savory
