#include "distribution/engine_rollout.h"

#include <algorithm>
#include <utility>

namespace savory {

void EngineRollout::SetTarget(const std::string& wanted_model, std::uint64_t wanted_version,
                              std::uint32_t chunk_count, Instant since,
                              const RolloutPosition& next) {
  this->model = wanted_model;
  this->version = wanted_version;
  this->known_since = since;
  this->position = next;
  std::vector<Chunk> former = std::exchange(this->chunks, std::vector<Chunk>(chunk_count));
  for (std::size_t i = 0; i < std::min(former.size(), this->chunks.size()); ++i) {
    const StagedChunk& staged = former[i].staged;
    StagedChunk& next_staged = this->chunks[i].staged;
    next_staged.older_upload_given_up =
        std::max(staged.upload_given_up, staged.older_upload_given_up);
    next_staged.older_upload_in_progress =
        staged.older_upload_in_progress || former[i].state == ChunkState::kStaging;
  }
  this->UpdateEvidence([](LoadEvidence& evidence) { evidence.OnReplaced(); });
  if (this->HasUnknownLoad()) this->RestartUnknownEvidence();
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

void EngineRollout::OnEngineState(const EngineState& state, CallTimes times) {
  // A state that was requested before the load was does not show the load.
  if (this->step == Step::kLoading && times.sent <= this->result_received) return;
  const bool restarted =
      this->last_state && (this->last_state->started_unix_ms != state.started_unix_ms ||
                           state.accepted_loads < this->last_state->accepted_loads);
  if (restarted) this->OnEngineRestarted();
  if (!this->last_state) {
    this->accounted_loads = state.accepted_loads;
    const bool has_loaded = state.accepted_loads > 0 && (state.busy || state.weights_version > 0);
    if (has_loaded) this->OnUnknownLoad(times.answered);
  }
  if (!this->engine) this->last_silence = times.answered;
  this->engine = state;
  this->last_state = state;
  this->engine_state_asked = times.sent;
  if (state.accepted_loads > this->accounted_loads) {
    this->accounted_loads = state.accepted_loads;
    this->loaded_version_known = false;
    this->OnLoadAccepted(this->evidence_since_state, times.answered);
    this->unanswered_request = false;
  }
  this->evidence_since_state = this->EvidenceSince(times.sent);
  if (!state.busy) this->OnLoadedVersion(state.weights_version);
  this->OnVouched(this->vouched_version);
  // The load has completed, or it never started.
  if (this->step == Step::kLoading && !state.busy) this->ReturnToStaging();
}

void EngineRollout::OnEngineRestarted() {
  // The calls in progress ended with the engine's connections, and chunks may have been lost.
  this->accounted_loads = 0;
  this->request_ended_with_engine = this->request_in_progress;
  this->unanswered_request = false;
  this->unproven_load.reset();
  this->proven_load.reset();
  for (Chunk& chunk : this->chunks) {
    chunk.staged.correct_at = {};
    chunk.staged.upload_given_up = {};
    chunk.staged.older_upload_given_up = {};
    chunk.staged.older_upload_in_progress = false;
  }
  if (this->evidence_since_state) this->evidence_since_state->OnAnswersDoubted();
  if (this->step > Step::kWaiting) this->ReturnToStaging();
}

void EngineRollout::OnEngineUnreachable() {
  this->engine.reset();
  if (this->step > Step::kWaiting) this->ReturnToStaging();
}

void EngineRollout::OnChunkStaged(std::uint64_t of_version, std::uint32_t chunk, StageResult result,
                                  CallTimes times) {
  this->calls -= (this->calls > 0 ? 1 : 0);
  if (chunk >= this->chunks.size()) return;
  Chunk& staged = this->chunks[chunk];
  if (of_version != this->version) {
    // Even if it was answered: the order of calls on two connections is not known.
    staged.staged.older_upload_given_up = times.answered;
    staged.staged.older_upload_in_progress = false;
    return;
  }
  if (result == StageResult::kUnknown) {
    staged.staged.upload_given_up = times.answered;
    this->last_silence = times.answered;
  }
  if (result == StageResult::kStored) return this->MarkStaged(chunk, times);
  if (result == StageResult::kNoCopy) {
    // A newer version may replace this one, which can't be completed.
    this->chunks[chunk].state = ChunkState::kMissing;
    return this->ReturnToStaging();
  }
  staged.state = ChunkState::kHeld;
  this->stage_retry_at = times.answered + this->options.stage_retry;
}

void EngineRollout::OnChunkFound(std::uint32_t chunk, CallTimes times) {
  if (chunk >= this->chunks.size() || this->chunks[chunk].state != ChunkState::kHeld) return;
  this->MarkStaged(chunk, times);
  this->UpdateEvidence(
      [&](LoadEvidence& evidence) { evidence.OnReadBack(chunk, times.sent, true); });
  this->CheckProof();
}

void EngineRollout::MarkStaged(std::uint32_t chunk, CallTimes times) {
  this->chunks[chunk].state = ChunkState::kStaged;
  this->chunks[chunk].staged.staged_by = times.answered;
  this->chunks[chunk].staged.correct_at = times.sent;
}

void EngineRollout::OnStagedChunkVerified(std::uint64_t of_version, std::uint32_t chunk,
                                          ReadBackResult result, CallTimes times) {
  this->calls -= (this->calls > 0 ? 1 : 0);
  if (of_version != this->version || chunk >= this->chunks.size()) return;
  Chunk& verified = this->chunks[chunk];
  if (result == ReadBackResult::kUnread) {
    const bool proves = this->unproven_load && this->unproven_load->NeedsReading(chunk);
    verified.state = proves ? ChunkState::kStaged : ChunkState::kHeld;
    this->proof_retry_at = times.answered + this->options.stage_retry;
    this->stage_retry_at = times.answered + this->options.stage_retry;
    this->last_silence = times.answered;
    // Without it, the engine serves on with its old weights.
    if (this->verified_again && this->step == Step::kVerifying) this->ReturnToStaging();
    return;
  }
  const bool intact = result == ReadBackResult::kIntact;
  verified.state = intact ? ChunkState::kStaged : ChunkState::kHeld;
  if (intact) verified.staged.correct_at = times.sent;
  if (intact) verified.staged.staged_by = std::min(verified.staged.staged_by, times.answered);
  this->UpdateEvidence(
      [=](LoadEvidence& evidence) { evidence.OnReadBack(chunk, times.sent, intact); });
  this->CheckProof();
  // The engine responded, so a corrupt chunk is staged again without delay.
  this->stage_retry_at = {};
}

void EngineRollout::OnLoadRequestResult(LoadRequestResult result, Instant now) {
  this->request_in_progress = false;
  if (std::exchange(this->request_ended_with_engine, false)) return;
  this->result_received = now;
  switch (result) {
    case LoadRequestResult::kAccepted:
      this->accounted_loads = std::max(this->accounted_loads, this->requested_after + 1);
      this->unanswered_request = false;
      this->loaded_version_known = true;
      this->OnLoadAccepted(this->evidence_since_request, now);
      this->step = Step::kLoading;
      return;
    case LoadRequestResult::kUnknown:
      // The engine's number of accepted loads shows later whether it accepted.
      this->unanswered_request = this->accounted_loads <= this->requested_after;
      this->last_silence = now;
      this->step = Step::kLoading;
      return;
    case LoadRequestResult::kAlreadyLoaded:
      this->retry_at = now + this->options.request_retry;
      this->step = Step::kLoading;
      return;
    case LoadRequestResult::kRefused:
      this->retry_at = now + this->options.request_retry;
      this->ReturnToStaging();
      return;
  }
}

void EngineRollout::OnUnloadRequestResult(LoadRequestResult result, Instant now) {
  const bool refused =
      result == LoadRequestResult::kRefused || result == LoadRequestResult::kAlreadyLoaded;
  if (refused) this->unload_retry_at = now + this->options.unload_retry;
  this->OnLoadRequestResult(refused ? LoadRequestResult::kRefused : result, now);
}

void EngineRollout::OnUnmatchedAnswer(Instant now) {
  for (Chunk& chunk : this->chunks) chunk.staged.correct_at = {};
  const bool is_recent =
      this->proven_load && now - this->proven_load->AcceptedBy() <= this->options.unmatched_time;
  if (!this->unproven_load && is_recent) this->unproven_load = this->proven_load;
  this->UpdateEvidence([](LoadEvidence& evidence) { evidence.OnAnswersDoubted(); });
  // The last state may be a copy of an earlier one.
  if (this->evidence_since_state) this->evidence_since_state->OnReplaced();
}

std::uint32_t EngineRollout::UnprovenChunks() const {
  return this->unproven_load ? this->unproven_load->UnprovenChunks() : 0;
}

LoadEvidence EngineRollout::EvidenceSince(Instant after) const {
  std::vector<StagedChunk> staged;
  staged.reserve(this->chunks.size());
  for (const Chunk& chunk : this->chunks) {
    StagedChunk& copy = staged.emplace_back(chunk.staged);
    // A hung engine carries calls out when it answers again.
    for (Instant* given_up : {&copy.upload_given_up, &copy.older_upload_given_up}) {
      if (*given_up != Instant()) *given_up = std::max(*given_up, this->last_silence);
    }
  }
  return {staged, after, this->options.evidence};
}

template <typename Update>
void EngineRollout::UpdateEvidence(Update update) {
  if (this->evidence_since_state) update(*this->evidence_since_state);
  if (this->evidence_since_request) update(*this->evidence_since_request);
  if (this->proven_load) update(*this->proven_load);
  if (this->unproven_load) update(*this->unproven_load);
}

void EngineRollout::OnLoadAccepted(std::optional<LoadEvidence> evidence, Instant now) {
  if (this->version == 0 || !evidence) return this->OnUnknownLoad(now);
  // No state was read since the chunks are known.
  const bool has_request = this->request_in_progress || this->unanswered_request;
  if (evidence->ChunkCount() == 0 && has_request) evidence = this->evidence_since_request;
  if (evidence->ChunkCount() != this->chunks.size()) {
    evidence = this->EvidenceSince(now);
    evidence->OnReplaced();
  }
  this->proven_load.reset();
  this->is_earlier_load = false;
  this->unproven_load = std::move(evidence);
  this->unproven_load->OnAccepted(now);
  this->CheckProof();
}

void EngineRollout::OnUnknownLoad(Instant now) {
  this->proven_load.reset();
  this->is_earlier_load = true;
  this->loaded_version_known = true;
  this->unproven_load = this->EvidenceSince(now);
  this->unproven_load->OnReplaced();
  this->unproven_load->OnAccepted(now);
  this->RestartUnknownEvidence();
}

void EngineRollout::RestartUnknownEvidence() {
  const bool is_of_target = this->engine && this->engine->weights_version == this->version;
  const Instant accepted_by = this->unproven_load->AcceptedBy();
  const std::vector<StagedChunk> staged(this->chunks.size(), StagedChunk{.staged_by = Instant()});
  this->unproven_load = LoadEvidence(staged, accepted_by, this->options.evidence);
  this->unproven_load->OnAccepted(accepted_by);
  if (!is_of_target) this->unproven_load->OnReplaced();
}

void EngineRollout::OnVouched(std::uint64_t vouched) {
  this->vouched_version = std::max(this->vouched_version, vouched);
  if (!this->HasUnknownLoad() || !this->engine || this->engine->busy) return;
  if (this->vouched_version == 0 || this->vouched_version != this->engine->weights_version) return;
  this->unproven_load.reset();
}

void EngineRollout::OnLoadedVersion(std::uint64_t loaded) {
  if (!this->unproven_load || this->loaded_version_known) return;
  this->loaded_version_known = true;
  if (loaded != this->version) this->unproven_load->OnReplaced();
  this->CheckProof();
}

void EngineRollout::CheckProof() {
  if (!this->unproven_load || !this->loaded_version_known) return;
  if (this->unproven_load->IsProven()) {
    this->proven_load = std::exchange(this->unproven_load, std::nullopt);
  }
}

Instant EngineRollout::StagedCorrectAt(std::uint32_t chunk) const {
  return chunk < this->chunks.size() ? this->chunks[chunk].staged.correct_at : Instant();
}

Duration EngineRollout::OldestStagedAge(Instant now) const {
  Duration oldest = Duration(0);
  for (const Chunk& chunk : this->chunks) oldest = std::max(oldest, now - chunk.staged.correct_at);
  return oldest;
}

bool EngineRollout::IsDone() const {
  return this->engine && !this->engine->busy && this->version > 0 &&
         this->engine->weights_version >= this->version && !this->IsDoubtful();
}

bool EngineRollout::MayReplace() const {
  const bool are_held = std::ranges::none_of(
      this->chunks, [](const Chunk& chunk) { return chunk.state == ChunkState::kMissing; });
  const bool awaits_proof =
      this->version > 0 && are_held && this->unproven_load && this->unproven_load->CanBeProven();
  return this->IsDone() || (this->step < Step::kVerifying && !awaits_proof);
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
    this->chunks[i].staged.staged_by = Instant::max();
    ++this->calls;
    this->UpdateEvidence([i](LoadEvidence& evidence) { evidence.OnUpload(i); });
    actions.push_back(StageChunk{.chunk = i});
  }
}

template <typename Predicate>
void EngineRollout::ReadBackChunks(Predicate is_due, std::vector<RolloutAction>& actions) {
  for (std::uint32_t i = 0; i < this->chunks.size(); ++i) {
    if (this->calls >= this->options.max_stage_calls) return;
    const ChunkState state = this->chunks[i].state;
    if ((state != ChunkState::kStaged && state != ChunkState::kHeld) || !is_due(i)) continue;
    this->chunks[i].state = ChunkState::kVerifying;
    ++this->calls;
    actions.push_back(VerifyStagedChunk{.chunk = i});
  }
}

void EngineRollout::BeginVerifying(Instant now) {
  this->step = Step::kVerifying;
  this->verify_before = now - this->options.max_unverified_age;
}

void EngineRollout::VerifyStagedChunks(std::vector<RolloutAction>& actions) {
  const auto is_due = [this](std::uint32_t chunk) {
    const Chunk& staged = this->chunks[chunk];
    return staged.state == ChunkState::kStaged && staged.staged.correct_at < this->verify_before;
  };
  this->ReadBackChunks(is_due, actions);
}

bool EngineRollout::ProveLoad(Instant now, std::vector<RolloutAction>& actions) {
  if (!this->unproven_load) return false;
  if (this->unproven_load->CanBeProven()) {
    const auto is_due = [this](std::uint32_t chunk) {
      return this->unproven_load->NeedsReading(chunk);
    };
    if (now >= this->proof_retry_at) this->ReadBackChunks(is_due, actions);
    return true;
  }
  if (this->step == Step::kLoading || this->engine->busy) return true;
  // Weights of an older version are replaced by those of the wanted one.
  if (this->engine->weights_version < this->version) return false;
  const bool may_be_vouched =
      this->is_earlier_load && now - this->unproven_load->AcceptedBy() < this->options.vouch_wait;
  if (may_be_vouched || now < this->unload_retry_at) return true;
  EngineLoadRequest request = this->MakeRequest();
  request.version = this->engine->weights_version;
  request.interrupt = true;
  this->BeginRequest(now);
  this->evidence_since_request->OnReplaced();
  actions.push_back(SendUnloadRequest{.request = request});
  return true;
}

void EngineRollout::BeginRequest(Instant now) {
  this->step = Step::kRequesting;
  this->request_in_progress = true;
  this->requested_after = this->engine->accepted_loads;
  this->evidence_since_request = this->EvidenceSince(now);
}

EngineLoadRequest EngineRollout::MakeRequest() const {
  return {.model = this->model,
          .version = this->version,
          .accepted_loads = this->engine->accepted_loads,
          .interrupt = this->position.may_interrupt};
}

bool EngineRollout::IsSettled(Instant now) const {
  if (now < this->settle_until) return false;
  if (this->engine->weights_version == 0 || this->IsDoubtful()) return true;
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
  if (this->request_in_progress || this->ProveLoad(now, actions)) return actions;
  if (this->step == Step::kLoading) return actions;
  if (now >= this->stage_retry_at) this->StageChunks(actions);
  if (!this->AllStaged() && this->step < Step::kVerifying) return actions;
  const bool out_of_service = this->engine->weights_version == 0 || this->IsDoubtful();
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
    const bool due = out_of_service || now >= *this->scheduled_at;
    if (!due || now < this->retry_at || this->engine->busy) return actions;
    this->BeginVerifying(now);
  }
  if (this->step == Step::kVerifying) {
    this->VerifyStagedChunks(actions);
    if (!this->AllStaged()) return actions;
    this->step = Step::kSettling;
    const Duration settle = out_of_service ? Duration(0) : this->options.settle;
    if (!this->verified_again) this->settle_until = now + settle;
  }
  if (this->step == Step::kSettling && !this->IsSettled(now)) return actions;
  // Queued requests begin as soon as the load is done, before it can be proven by reading.
  const bool needs_reading = this->OldestStagedAge(now) > this->options.max_staged_age;
  if (this->verified_again && needs_reading && this->engine->waiting > 0) return actions;
  // Once only: reading all chunks back takes a slow engine longer than their age may be.
  if (!this->verified_again && needs_reading) {
    this->verified_again = true;
    this->BeginVerifying(now);
    this->VerifyStagedChunks(actions);
    return actions;
  }
  this->BeginRequest(now);
  actions.push_back(SendLoadRequest{.request = this->MakeRequest()});
  return actions;
}

}  // namespace savory
