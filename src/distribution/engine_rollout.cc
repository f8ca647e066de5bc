#include "distribution/engine_rollout.h"

#include <algorithm>

namespace savory {

void EngineRollout::SetTarget(const std::string& wanted_model, std::uint64_t wanted_version,
                              std::uint32_t chunk_count, Instant since,
                              const RolloutPosition& next) {
  this->model = wanted_model;
  this->version = wanted_version;
  this->known_since = since;
  this->position = next;
  this->chunks.assign(chunk_count, Chunk());
  this->ReturnToStaging();
}

void EngineRollout::SetKnownSince(Instant since) {
  if (since >= this->known_since) return;
  const Duration earlier_by = this->known_since - since;
  this->known_since = since;
  if (!this->scheduled_at) return;
  *this->scheduled_at -= FromSeconds(ToSeconds(earlier_by) * this->ScheduledPart());
}

double EngineRollout::ScheduledPart() const {
  return static_cast<double>(this->position.rank) / static_cast<double>(this->position.engines);
}

void EngineRollout::ReturnToStaging() {
  this->step = Step::kStaging;
  this->scheduled_at.reset();
  this->verified_again = false;
}

void EngineRollout::OnChunkAvailable(std::uint32_t chunk) {
  if (chunk >= this->chunks.size()) return;
  Chunk& found = this->chunks[chunk];
  if (found.state == ChunkState::kMissing) found.state = ChunkState::kHeld;
}

void EngineRollout::OnEngineState(const EngineState& state, Instant asked) {
  // A state that was requested before the load was does not show the load.
  if (this->step == Step::kLoading && asked <= this->result_received) return;
  const bool restarted = this->engine && (this->engine->started_unix_ms != state.started_unix_ms ||
                                          state.accepted_loads < this->engine->accepted_loads);
  this->engine = state;
  this->engine_state_asked = asked;
  if (restarted && this->step > Step::kWaiting) this->ReturnToStaging();
  // The load has completed, or it never started.
  if (this->step == Step::kLoading && !state.busy) this->ReturnToStaging();
}

void EngineRollout::OnEngineUnreachable() {
  this->engine.reset();
  if (this->step > Step::kWaiting) this->ReturnToStaging();
}

void EngineRollout::OnChunkStaged(std::uint64_t of_version, std::uint32_t chunk, bool stored,
                                  CallTimes times) {
  this->calls -= (this->calls > 0 ? 1 : 0);
  if (of_version != this->version || chunk >= this->chunks.size()) return;
  this->chunks[chunk].state = stored ? ChunkState::kStaged : ChunkState::kHeld;
  this->chunks[chunk].verified_at = times.answered;
  if (stored) this->chunks[chunk].correct_at = times.sent;
  if (!stored) this->stage_retry_at = times.answered + this->options.stage_retry;
}

void EngineRollout::OnStagedChunkVerified(std::uint64_t of_version, std::uint32_t chunk,
                                          bool intact, CallTimes times) {
  this->OnChunkStaged(of_version, chunk, intact, times);
  // The engine responded, so a corrupt chunk is staged again without delay.
  this->stage_retry_at = {};
}

void EngineRollout::OnLoadRequestResult(LoadRequestResult result, Instant now) {
  if (this->step != Step::kRequesting) return;
  this->result_received = now;
  switch (result) {
    case LoadRequestResult::kAccepted:
    case LoadRequestResult::kAlreadyLoaded:
    // Without a response, the engine's number of accepted loads shows later whether it accepted.
    case LoadRequestResult::kUnknown:
      this->step = Step::kLoading;
      return;
    case LoadRequestResult::kRefused:
      this->retry_at = now + this->options.request_retry;
      this->ReturnToStaging();
      return;
  }
}

void EngineRollout::OnUnmatchedAnswer() {
  for (Chunk& chunk : this->chunks) chunk.verified_at = {};
}

Instant EngineRollout::StagedCorrectAt(std::uint32_t chunk) const {
  return chunk < this->chunks.size() ? this->chunks[chunk].correct_at : Instant();
}

Duration EngineRollout::OldestStagedAge(Instant now) const {
  Duration oldest = Duration(0);
  for (const Chunk& chunk : this->chunks) oldest = std::max(oldest, now - chunk.correct_at);
  return oldest;
}

bool EngineRollout::AllRecentlyVerified(Instant now) const {
  return std::all_of(this->chunks.begin(), this->chunks.end(), [this, now](const Chunk& chunk) {
    return now - chunk.verified_at <= this->options.max_staged_age;
  });
}

bool EngineRollout::IsDone() const {
  return this->engine && !this->engine->busy && this->version > 0 &&
         this->engine->weights_version >= this->version;
}

bool EngineRollout::AllStaged() const {
  return !this->chunks.empty() &&
         std::all_of(this->chunks.begin(), this->chunks.end(),
                     [](const Chunk& chunk) { return chunk.state == ChunkState::kStaged; });
}

void EngineRollout::StageChunks(std::vector<RolloutAction>& actions) {
  for (std::uint32_t i = 0; i < this->chunks.size(); ++i) {
    if (this->calls >= this->options.max_stage_calls) return;
    if (this->chunks[i].state != ChunkState::kHeld) continue;
    this->chunks[i].state = ChunkState::kStaging;
    ++this->calls;
    actions.push_back(StageChunk{.chunk = i});
  }
}

void EngineRollout::BeginVerifying(Instant now) {
  this->step = Step::kVerifying;
  this->verify_before = now - this->options.max_unverified_age;
}

void EngineRollout::VerifyStagedChunks(std::vector<RolloutAction>& actions) {
  for (std::uint32_t i = 0; i < this->chunks.size(); ++i) {
    if (this->calls >= this->options.max_stage_calls) return;
    Chunk& chunk = this->chunks[i];
    if (chunk.state != ChunkState::kStaged) continue;
    if (chunk.verified_at > this->verify_before) continue;
    chunk.state = ChunkState::kVerifying;
    ++this->calls;
    actions.push_back(VerifyStagedChunk{.chunk = i});
  }
}

bool EngineRollout::IsSettled(Instant now) const {
  if (now < this->settle_until) return false;
  if (this->engine->weights_version == 0) return true;
  const bool queue_is_empty =
      this->engine_state_asked >= this->settle_until && this->engine->waiting == 0;
  if (!this->position.may_interrupt) {
    return queue_is_empty || now >= this->settle_until + this->options.max_queue_drain;
  }
  const bool few = queue_is_empty && this->engine->running <= this->options.max_interrupted;
  return few || now >= this->settle_until + this->options.max_drain;
}

std::vector<RolloutAction> EngineRollout::Advance(Instant now) {
  std::vector<RolloutAction> actions;
  if (this->version == 0 || !this->engine || this->IsDone()) return actions;
  if (this->step == Step::kRequesting || this->step == Step::kLoading) return actions;
  if (now >= this->stage_retry_at) this->StageChunks(actions);
  if (!this->AllStaged() && this->step < Step::kVerifying) return actions;
  const bool has_no_weights = this->engine->weights_version == 0;
  if (this->step == Step::kStaging) {
    this->step = Step::kWaiting;
    if (!this->scheduled_at) {
      const Instant end =
          this->known_since + this->options.deadline - this->options.last_load_before;
      const Duration window = std::max(Duration(0), end - now);
      this->scheduled_at = now + FromSeconds(ToSeconds(window) * this->ScheduledPart());
    }
  }
  if (this->step == Step::kWaiting) {
    const bool due = has_no_weights || now >= *this->scheduled_at;
    if (!due || now < this->retry_at || this->engine->busy) return actions;
    this->BeginVerifying(now);
  }
  if (this->step == Step::kVerifying) {
    this->VerifyStagedChunks(actions);
    if (!this->AllStaged()) return actions;
    this->step = Step::kSettling;
    const Duration settle = has_no_weights ? Duration(0) : this->options.settle;
    if (!this->verified_again) this->settle_until = now + settle;
  }
  if (this->step == Step::kSettling && !this->IsSettled(now)) return actions;
  // Once only: reading all chunks back takes a slow engine longer than their age may be.
  if (!this->verified_again && !this->AllRecentlyVerified(now)) {
    this->verified_again = true;
    this->BeginVerifying(now);
    this->VerifyStagedChunks(actions);
    return actions;
  }
  this->step = Step::kRequesting;
  actions.push_back(SendLoadRequest{.request = {.model = this->model,
                                                .version = this->version,
                                                .accepted_loads = this->engine->accepted_loads,
                                                .interrupt = this->position.may_interrupt}});
  return actions;
}

}  // namespace savory
