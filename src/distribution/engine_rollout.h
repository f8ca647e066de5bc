// Brings one engine to the wanted version of its weights: staging, order, and its turn among
// others.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "distribution/engine_control.h"

namespace savory {

struct EngineRolloutOptions {
  // From the naming of a version on, engines have this long; later they get no requests.
  Duration deadline = std::chrono::seconds(8);
  // The last turn comes this long before the deadline, when entries stop using older weights.
  Duration last_load_before = std::chrono::milliseconds(1200);
  // Staged pieces can turn bad where they lie: those that have lain longer are read back before the
  // order.
  Duration max_unverified_age = std::chrono::milliseconds(1800);
  std::size_t max_stage_calls = 2;
  // From the word to the entries that the engine takes no more requests until the last ones on
  // their way have arrived.
  Duration settle = std::chrono::milliseconds(30);
  // Requests that wait in the engine's queue when the order comes stand still until the load is
  // done: they get this long to begin.
  Duration max_queue_drain = std::chrono::milliseconds(600);
  // Engines whose requests may be interrupted: the load begins when so few run, or after this time.
  // The last ones take longer than all others together: from the order to the new version engines
  // of kcw-recell-grown were out of service for 1.9 s on the mean, and 0.3 s of it is the load.
  std::uint32_t max_interrupted = 3;
  Duration max_drain = std::chrono::milliseconds(1200);
  Duration request_retry = std::chrono::milliseconds(250);
  // After a piece that the engine did not take, until the next one is offered: an engine that went
  // down is away for longer.
  Duration stage_retry = std::chrono::milliseconds(250);
};

// Place of this engine among those that take the version.
struct RolloutPosition {
  std::size_t rank = 0;
  std::size_t engines = 1;
  // Every request at the engine goes on at another one when it is broken off.
  bool may_interrupt = false;
};

// ---- actions ----

struct StageChunk {
  std::uint32_t chunk = 0;
};
// Read the piece back and compare it with its digest.
struct VerifyStagedChunk {
  std::uint32_t chunk = 0;
};
struct SendLoadRequest {
  EngineLoadRequest request;
};
using RolloutAction = std::variant<StageChunk, VerifyStagedChunk, SendLoadRequest>;

// No I/O. Engines take a version at different times between the moment that their pieces are there
// and the deadline, because each is out of service until its running requests have ended. An engine
// without weights takes them at once. At most one order is in progress; its number of accepted
// orders is sent along, so that a repeat of an order cannot begin a second load.
class EngineRollout {
 public:
  explicit EngineRollout(EngineRolloutOptions options) : options(options) {}

  // A version to take, of which `pieces` pieces will be there.
  void SetTarget(const std::string& model, std::uint64_t version, std::uint32_t chunks,
                 Instant known_since, const RolloutPosition& position);
  void SetPosition(const RolloutPosition& next) { this->position = next; }
  // A verified piece of the wanted version is in memory.
  void OnChunkAvailable(std::uint32_t chunk);
  // `asked`: when the state was asked for.
  void OnEngineState(const EngineState& state, Instant asked);
  void OnEngineUnreachable();
  void OnChunkStaged(std::uint64_t version, std::uint32_t chunk, bool stored, Instant now);
  void OnStagedChunkVerified(std::uint64_t version, std::uint32_t chunk, bool intact, Instant now);
  void OnLoadRequestResult(LoadRequestResult answer, Instant now);

  // What is due. Call after each event and some times a second.
  std::vector<RolloutAction> Advance(Instant now);

  // Whether the engine may receive requests.
  bool Accepting() const { return this->step < Step::kSettling; }
  bool IsDone() const;
  // Whether a newer version may replace the wanted one: its order was not given, nor is about to
  // be.
  bool MayReplace() const { return this->IsDone() || this->step < Step::kVerifying; }
  std::uint64_t Version() const { return this->version; }
  // Time of this engine's turn; nullopt while pieces are missing.
  std::optional<Instant> ScheduledAt() const { return this->scheduled_at; }

 private:
  enum class Step { kStaging, kWaiting, kVerifying, kSettling, kRequesting, kLoading };
  enum class ChunkState { kMissing, kHeld, kStaging, kStaged, kVerifying };

  struct Chunk {
    ChunkState state = ChunkState::kMissing;
    Instant verified_at = {};  // when it was staged or checked last
  };

  bool AllStaged() const;
  void StageChunks(std::vector<RolloutAction>& actions);
  void VerifyStagedChunks(Instant now, std::vector<RolloutAction>& actions);
  bool IsSettled(Instant now) const;
  void Restart();

  EngineRolloutOptions options;
  std::string model = {};
  std::uint64_t version = 0;
  Instant known_since = {};
  RolloutPosition position = {};
  std::vector<Chunk> chunks = {};
  std::size_t calls = 0;  // staging and checking calls in progress
  std::optional<EngineState> engine = {};
  Instant engine_state_asked = {};
  Step step = Step::kStaging;
  std::optional<Instant> scheduled_at = {};
  Instant settle_until = {};
  Instant retry_at = {};
  Instant stage_retry_at = {};
  Instant result_received = {};
};

}  // namespace savory
