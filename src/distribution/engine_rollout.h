// Brings one engine to the wanted version of its weights: stages the chunks, waits for the engine's
// scheduled time in the staggered rollout, drains the engine and requests the load.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "distribution/engine_control.h"
#include "distribution/load_evidence.h"

namespace savory {

struct EngineRolloutOptions {
  // An engine that has not loaded a version this long after its publication receives no more
  // requests.
  Duration deadline = std::chrono::seconds(8);
  // The last engine is scheduled this long before the deadline, at which entry VMs stop using older
  // weights.
  Duration last_load_before = std::chrono::milliseconds(1200);
  // Staged chunks can become corrupt: those staged or verified longer ago than this are read back
  // before the load is requested.
  Duration max_unverified_age = std::chrono::milliseconds(800);
  std::size_t max_stage_calls = 2;
  // If a chunk was staged or verified longer ago than this when the engine is ready to load, chunks
  // are verified once more. The rest of the time that the evidence allows is for the load request
  // and its answer.
  Duration max_staged_age = std::chrono::milliseconds(2200);
  LoadEvidenceOptions evidence = {};
  // After the entry VMs were told that the engine accepts no more requests, time for requests in
  // flight to arrive.
  Duration settle = std::chrono::milliseconds(30);
  // Requests that are still queued at the engine when it accepts the load wait until the load is
  // done. They get this long to start before the load is requested.
  Duration max_queue_drain = std::chrono::milliseconds(600);
  // For engines whose requests may be interrupted: the load begins when at most this many run, or
  // after `max_drain`. The last few requests take longer than all others together, and
  // several times as long as the load itself.
  std::uint32_t max_interrupted = 3;
  Duration max_drain = std::chrono::milliseconds(1200);
  Duration request_retry = std::chrono::milliseconds(250);
  // Delay before the next chunk is staged after one that the engine did not store. An engine that
  // went down is unavailable for longer than this.
  Duration stage_retry = std::chrono::milliseconds(250);
  // An answer that belongs to no call makes a load doubtful that was accepted this long before.
  Duration unmatched_time = std::chrono::seconds(1);
  // Entries greet their agents every two seconds: one of them may vouch for the weights that an
  // earlier run of this process loaded.
  Duration vouch_wait = std::chrono::milliseconds(2200);
  // Delay before weights that may be corrupt are unloaded, after the engine refused to.
  Duration unload_retry = std::chrono::seconds(1);
};

// Position of this engine in the staggered rollout of a version.
struct RolloutPosition {
  std::size_t rank = 0;
  std::size_t engines = 1;
  // Every interrupted request of the engine can resume at another engine.
  bool may_interrupt = false;
};

// ---- actions ----

struct StageChunk {
  std::uint32_t chunk = 0;
};
// Read the staged chunk back and compare it with its digest.
struct VerifyStagedChunk {
  std::uint32_t chunk = 0;
};
struct SendLoadRequest {
  EngineLoadRequest request;
};
// Makes the engine give up its weights, which may be corrupt, so that it can load them again.
struct SendUnloadRequest {
  EngineLoadRequest request;  // with the version to give up
};
using RolloutAction =
    std::variant<StageChunk, VerifyStagedChunk, SendLoadRequest, SendUnloadRequest>;

// Performs no I/O. Engines load a version at different times between the arrival of their chunks
// and the deadline, because each is out of service until its running requests have ended. An engine
// without weights loads at once. At most one load request is in progress. It carries the engine's
// number of accepted loads, so that a repeated request cannot start a second load.
//
// The engine may load later than it is asked to, and chunks may become corrupt meanwhile. So it
// receives requests again only when its load is known and its chunks are proven to have been
// correct. While a load request is unanswered it receives none, and the request is sent again. If
// the proof fails, the weights are unloaded and loaded again.
class EngineRollout {
 public:
  explicit EngineRollout(EngineRolloutOptions options) : options(options) {}

  // Sets the version to load, which has `chunks` chunks. `known_since` is the time at which the
  // version became known; the deadline counts from it.
  void SetTarget(const std::string& model, std::uint64_t version, std::uint32_t chunks,
                 Instant known_since, const RolloutPosition& position);
  // Corrects the time at which the version became known. A scheduled load moves with the deadline;
  // a later time than the one before is ignored.
  void SetKnownSince(Instant since);
  void SetPosition(const RolloutPosition& next) { this->position = next; }
  // A verified chunk of the wanted version is in memory.
  void OnChunkAvailable(std::uint32_t chunk);
  void OnEngineState(const EngineState& state, CallTimes times);
  void OnEngineUnreachable();
  // An upload has ended.
  void OnChunkStaged(std::uint64_t version, std::uint32_t chunk, StageResult result,
                     CallTimes times);
  // An earlier run of this process staged the chunk: it was read back intact.
  void OnChunkFound(std::uint32_t chunk, CallTimes times);
  void OnStagedChunkVerified(std::uint64_t version, std::uint32_t chunk, ReadBackResult result,
                             CallTimes times);
  void OnLoadRequestResult(LoadRequestResult result, Instant now);
  void OnUnloadRequestResult(LoadRequestResult result, Instant now);
  // Some answers of the engine may belong to other calls: every staged chunk must be read back.
  void OnUnmatchedAnswer(Instant now);
  // An earlier run of this process had the engine accept requests with `version`.
  void OnVouched(std::uint64_t version);

  // Returns the actions that are due. Call after each event and several times a second.
  std::vector<RolloutAction> Advance(Instant now);

  // Whether the engine may receive requests.
  bool Accepting() const {
    return this->step < Step::kSettling && !this->verified_again && !this->IsDoubtful();
  }
  // The engine's weights may be corrupt, or it may load any moment, as a request is unanswered.
  bool IsDoubtful() const { return this->unanswered_request || this->unproven_load.has_value(); }
  // The load was requested by an earlier run of this process, which may have ended before it was
  // proven.
  bool HasUnknownLoad() const { return this->unproven_load && this->is_earlier_load; }
  bool HasUnansweredRequest() const { return this->unanswered_request; }
  // Chunks of the engine's load that are not known to have been correct; 0: none, or no such load.
  std::uint32_t UnprovenChunks() const;
  bool IsDone() const;
  // Whether a newer version may replace the wanted one: no load of it is in progress or about to be
  // requested, and none waits for its proof.
  bool MayReplace() const;
  std::uint64_t Version() const { return this->version; }
  // Time scheduled for this engine's load; nullopt until all chunks have been staged.
  std::optional<Instant> ScheduledAt() const { return this->scheduled_at; }
  // Time since the call was sent that last showed a staged chunk to be correct, of the chunk for
  // which it is longest.
  Duration OldestStagedAge(Instant now) const;
  // When the call was sent that last showed the chunk to be correct.
  Instant StagedCorrectAt(std::uint32_t chunk) const;

 private:
  enum class Step { kStaging, kWaiting, kVerifying, kSettling, kRequesting, kLoading };
  enum class ChunkState { kMissing, kHeld, kStaging, kStaged, kVerifying };

  struct Chunk {
    ChunkState state = ChunkState::kMissing;
    StagedChunk staged = {};
  };

  void MarkStaged(std::uint32_t chunk, CallTimes times);
  // Part of the time until the last load at which this engine's load is scheduled.
  double ScheduledPart() const;
  bool AllStaged() const;
  void StageChunks(std::vector<RolloutAction>& actions);
  // Of the chunks in memory for which `is_due`.
  template <typename Predicate>
  void ReadBackChunks(Predicate is_due, std::vector<RolloutAction>& actions);
  void BeginVerifying(Instant now);
  void VerifyStagedChunks(std::vector<RolloutAction>& actions);
  bool IsSettled(Instant now) const;
  void ReturnToStaging();
  EngineLoadRequest MakeRequest() const;
  void BeginRequest(Instant now);

  // ---- the proof of the load ----

  LoadEvidence EvidenceSince(Instant after) const;
  // Calls `update` with all evidence that a call may add to.
  template <typename Update>
  void UpdateEvidence(Update update);
  void OnEngineRestarted();
  // The engine has accepted a load, as the evidence has it.
  void OnLoadAccepted(std::optional<LoadEvidence> evidence, Instant now);
  void OnLoadedVersion(std::uint64_t loaded);
  // The engine has loaded, and nothing is known about the chunks.
  void OnUnknownLoad(Instant now);
  // Once the chunks of the loaded version are known, they can be read back.
  void RestartUnknownEvidence();
  void CheckProof();
  // Whether the load still has to be proven or replaced. Adds the actions for it.
  bool ProveLoad(Instant now, std::vector<RolloutAction>& actions);

  EngineRolloutOptions options;
  std::string model = {};
  std::uint64_t version = 0;
  Instant known_since = {};
  RolloutPosition position = {};
  std::vector<Chunk> chunks = {};
  std::size_t calls = 0;  // StageChunk and VerifyStagedChunk in progress
  std::optional<EngineState> engine = {};
  Instant engine_state_asked = {};
  std::optional<EngineState> last_state = {};  // kept while the engine is unreachable
  std::uint64_t accounted_loads = 0;           // accepted loads that have been dealt with
  // For a load that began after the last state that did not show it was requested.
  std::optional<LoadEvidence> evidence_since_state = {};
  // For a load that began after the request in progress was sent.
  std::optional<LoadEvidence> evidence_since_request = {};
  // Of the engine's last load, until it is proven, and then.
  std::optional<LoadEvidence> unproven_load = {};
  std::optional<LoadEvidence> proven_load = {};
  bool is_earlier_load = false;  // requested by an earlier run of this process
  std::uint64_t vouched_version = 0;
  bool loaded_version_known = false;  // of that load; another one's evidence says nothing about it
  std::uint64_t requested_after = 0;  // accepted loads when the last request was sent
  bool request_in_progress = false;
  bool request_ended_with_engine = false;  // the engine restarted while it was in progress
  bool unanswered_request = false;         // was given up, and may still be carried out
  Instant unload_retry_at = {};
  Instant proof_retry_at = {};
  Instant last_silence = {};  // a call was given up, or the engine answered again after that
  Step step = Step::kStaging;
  Instant verify_before = {};   // chunks verified earlier are due
  bool verified_again = false;  // since the scheduled time
  std::optional<Instant> scheduled_at = {};
  Instant settle_until = {};
  Instant retry_at = {};
  Instant stage_retry_at = {};
  Instant result_received = {};
};

}  // namespace savory
