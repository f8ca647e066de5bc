// Decides from an agent's calls whether its engine loaded correct chunks.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/time.h"

namespace savory {

// What calls have shown about one staged chunk.
struct StagedChunk {
  // When its upload was answered, or the call that found it staged. Instant::max(): not staged.
  Instant staged_by = Instant::max();
  // When the last call was sent that showed the chunk to be correct.
  Instant correct_at = {};
  // When an upload was given up, which the engine may still carry out: of the same bytes, which
  // could repair the chunk after the load, or of an older version, which replace it.
  Instant upload_given_up = {};
  Instant older_upload_given_up = {};
  bool older_upload_in_progress = false;
};

struct LoadEvidenceOptions {
  // Weights may be used if none of their chunks had been corrupt for longer than this when the
  // engine accepted the load. The platform allows 3 s; the rest is for clocks of different speeds.
  Duration max_corrupt_time = std::chrono::milliseconds(2900);
  // An engine that answers has carried out the calls that were given up this long before.
  Duration late_call_time = std::chrono::seconds(5);
};

// An engine loads what is staged when it accepts the load request. An agent does not see that
// moment: it knows one before it, when it sent the request or when a state was requested that did
// not show the load yet, and one after it, when it handled the first answer that showed the load.
// In between, both may have been paused and calls may have waited. So a chunk counts as loaded
// correctly only if it was correct throughout, or until at most `max_corrupt_time` before the later
// moment. Reading chunks back after the load proves the former without any bound on time.
class LoadEvidence {
 public:
  // The load began after `after`, `chunks` being what is known then.
  LoadEvidence(std::span<const StagedChunk> chunks, Instant after, LoadEvidenceOptions options);

  // A call that was sent at `sent` read the chunk back.
  void OnReadBack(std::uint32_t chunk, Instant sent, bool intact);
  // The chunk is being uploaded again, so later readings tell nothing about the load.
  void OnUpload(std::uint32_t chunk);
  // Answers may belong to other calls, and what was read to another time.
  void OnAnswersDoubted();
  // Chunks of another version are staged from now on.
  void OnReplaced();
  // The load was accepted before `by`.
  void OnAccepted(Instant by) { this->accepted_by = by; }
  Instant AcceptedBy() const { return this->accepted_by; }

  // All chunks were loaded correctly. False if no chunk is known.
  bool IsProven() const;
  // False if no further reading can prove it.
  bool CanBeProven() const;
  // Reading the chunk back again can contribute to the proof.
  bool NeedsReading(std::uint32_t chunk) const;
  std::uint32_t UnprovenChunks() const;
  std::size_t ChunkCount() const { return this->chunks.size(); }

 private:
  struct Chunk {
    Instant correct_at = {};
    bool needs_later_reading = false;  // only one after the load counts
    bool closed = false;               // later readings tell nothing about the load
  };

  bool IsProven(const Chunk& chunk) const;

  LoadEvidenceOptions options;
  Instant accepted_by = {};
  std::vector<Chunk> chunks = {};
};

}  // namespace savory
