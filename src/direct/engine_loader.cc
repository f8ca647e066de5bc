#include "direct/engine_loader.h"

#include <algorithm>
#include <variant>

#include "base/log.h"
#include "base/metrics.h"
#include "distribution/engine_control.h"
#include "distribution/manifest.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"

namespace savory {
namespace {

std::string_view LoadRequestResultName(LoadRequestResult result) {
  switch (result) {
    case LoadRequestResult::kAccepted:
      return "begun";
    case LoadRequestResult::kAlreadyLoaded:
      return "in-effect";
    case LoadRequestResult::kRefused:
      return "refused";
    case LoadRequestResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// Whether the engine may still carry out the call, or has done so.
bool MayBeCarriedOut(const Error& error) {
  return error.kind == ErrorKind::kTimeout || error.kind == ErrorKind::kMalformed;
}

StageResult StageResultOf(const Result<void>& stored) {
  if (stored) return StageResult::kStored;
  return MayBeCarriedOut(stored.error()) ? StageResult::kUnknown : StageResult::kNotStored;
}

ReadBackResult ReadBackResultOf(const Result<std::string>& bytes, const Digest& expected) {
  if (!bytes) {
    const bool missing = bytes.error().kind == ErrorKind::kNotFound;
    return missing ? ReadBackResult::kCorrupt : ReadBackResult::kUnread;
  }
  return Sha256(AsBytes(bytes.value())) == expected ? ReadBackResult::kIntact
                                                    : ReadBackResult::kCorrupt;
}

}  // namespace

struct EngineLoader::Impl : GuardedCallbacks<EngineLoader::Impl> {
  EventLoop& loop;
  EngineControl& engine;
  const WeightsCopier& copier;
  Counter& load_requests;
  EngineRollout rollout;
  VersionCopy target = {};  // the version that `rollout` loads onto the engine
  RolloutPosition position = {};
  std::uint32_t running = 0;
  std::uint64_t loaded_version = 0;  // as the engine's last state has it
  std::uint64_t accepted_loads = 0;  // as the engine's last state has it
  Duration slowest_call = {};        // of those about chunks, since the last load request
  std::uint32_t calls_given_up = 0;  // likewise
  std::optional<Instant> last_load_request = {};
  bool was_doubtful = false;
  std::function<void()> on_load_request_done = {};

  Impl(EventLoop& loop, Metrics& metrics, EngineControl& engine, const WeightsCopier& copier,
       EngineRolloutOptions options)
      : loop(loop),
        engine(engine),
        copier(copier),
        load_requests(metrics.CounterFor("savory_load_orders_total")),
        rollout(options) {}

  CallTimes TimesSince(Instant sent) const { return {.sent = sent, .answered = this->loop.Now()}; }

  // The engine may still carry out a call that was given up.
  void OnCallDone(std::string_view call, std::optional<std::uint32_t> chunk, CallTimes times,
                  bool given_up) {
    this->slowest_call = std::max(this->slowest_call, times.answered - times.sent);
    if (!given_up) return;
    ++this->calls_given_up;
    Log(LogLevel::kWarn, "engine_call_given_up",
        {{"call", call},
         {"version", this->target.version},
         {"piece", chunk ? std::to_string(*chunk) : "none"},
         {"took_ms", ToMillis(times.answered - times.sent)}});
  }

  // Tells a load that the engine shows from the one that was requested last.
  void LogNewLoads(const EngineState& state) {
    const bool is_new = state.accepted_loads > this->accepted_loads;
    this->accepted_loads = state.accepted_loads;
    if (!is_new) return;
    const Instant now = this->loop.Now();
    Log(LogLevel::kInfo, "load_seen",
        {{"orders", state.accepted_loads},
         {"weights", state.weights_version},
         {"busy", state.busy},
         {"ordered_ms_ago",
          this->last_load_request ? ToMillis(now - *this->last_load_request) : -1},
         {"oldest_piece_ms", ToMillis(this->rollout.OldestStagedAge(now))}});
  }

  // Requests reach the engine again only when its weights are proven.
  void LogDoubt() {
    if (this->rollout.IsDoubtful() == this->was_doubtful) return;
    this->was_doubtful = !this->was_doubtful;
    Log(this->was_doubtful ? LogLevel::kWarn : LogLevel::kInfo,
        this->was_doubtful ? "weights_doubtful" : "weights_proven",
        {{"version", this->target.version},
         {"orders", this->accepted_loads},
         {"pieces", this->rollout.UnprovenChunks()},
         {"unanswered", this->rollout.HasUnansweredRequest()},
         {"earlier_run", this->rollout.HasUnknownLoad()}});
  }

  void OnUnmatchedAnswer() {
    Log(LogLevel::kWarn, "engine_answer_unmatched", {{"version", this->target.version}});
    this->rollout.OnUnmatchedAnswer(this->loop.Now());
  }

  bool HasCompleteCopy(const VersionCopy& version) const {
    const WeightsCopy* copy =
        version.manifest == nullptr ? nullptr : this->copier.Find(*version.manifest);
    return copy != nullptr && copy->IsComplete();
  }

  // The copier has left the target for an older version that the engine does not hold yet.
  bool MayGoBackTo(const VersionCopy& older) const {
    return !this->HasCompleteCopy(this->target) && this->loaded_version < older.version;
  }

  // Makes the copier's newest version the target of the rollout if there is no rollout yet, the
  // rollout is done, the newer copy is complete, or the older copy is incomplete and thus abandoned
  // by the copier. Does nothing while a load is in progress or about to be requested.
  void AdoptNewestVersion() {
    const std::optional<VersionCopy>& newest = this->copier.Newest();
    if (!newest || newest->version == this->rollout.Version()) return;
    if (newest->version < this->rollout.Version() && !this->MayGoBackTo(*newest)) return;
    if (!this->rollout.MayReplace()) return;
    const bool adopt = this->rollout.Version() == 0 || this->rollout.IsDone() ||
                       this->HasCompleteCopy(*newest) || !this->HasCompleteCopy(this->target);
    if (!adopt) return;
    this->target = *newest;
    const std::uint32_t chunk_count = newest->manifest->ChunkCount();
    this->rollout.SetTarget(newest->model, newest->version, chunk_count, newest->wanted_since,
                            this->position);
    const WeightsCopy* copy = this->copier.Find(*newest->manifest);
    for (std::uint32_t i = 0; copy != nullptr && i < chunk_count; ++i) {
      if (copy->Holds(i)) this->rollout.OnChunkAvailable(i);
    }
  }

  // An agent may learn later that a version was announced earlier than it assumed.
  void UpdateWantedSince() {
    const std::optional<VersionCopy>& newest = this->copier.Newest();
    if (!newest || newest->version != this->target.version) return;
    this->target.wanted_since = newest->wanted_since;
    this->rollout.SetKnownSince(newest->wanted_since);
  }

  void Advance(const RolloutPosition& next) {
    this->position = next;
    this->AdoptNewestVersion();
    this->UpdateWantedSince();
    this->rollout.SetPosition(next);
    for (const RolloutAction& action : this->rollout.Advance(this->loop.Now())) {
      std::visit([this](const auto& item) { this->Execute(item); }, action);
    }
    this->LogDoubt();
  }

  void Execute(const StageChunk& action) {
    const std::uint64_t version = this->target.version;
    const WeightsCopy* copy = this->copier.Find(*this->target.manifest);
    if (copy == nullptr || !copy->Holds(action.chunk)) {
      this->rollout.OnChunkStaged(version, action.chunk, StageResult::kNoCopy,
                                  this->TimesSince(this->loop.Now()));
      return;
    }
    const auto done = [this, version, chunk = action.chunk,
                       sent = this->loop.Now()](const Result<void>& stored) {
      const CallTimes times = this->TimesSince(sent);
      this->OnCallDone("upload", chunk, times, !stored && MayBeCarriedOut(stored.error()));
      if (!stored) {
        Log(LogLevel::kWarn, "stage_failed",
            {{"version", version}, {"piece", chunk}, {"reason", Describe(stored.error())}});
      }
      this->rollout.OnChunkStaged(version, chunk, StageResultOf(stored), times);
      if (stored) this->Advance(this->position);
    };
    this->engine.Stage(this->target.model, action.chunk,
                       std::string(AsText(*copy->chunks[action.chunk])), this->Guarded(done));
  }

  void Execute(const VerifyStagedChunk& action) {
    const auto done = [this, source = this->target.manifest, version = this->target.version,
                       chunk = action.chunk,
                       sent = this->loop.Now()](const Result<std::string>& bytes) {
      const CallTimes times = this->TimesSince(sent);
      this->OnCallDone("read-back", chunk, times, !bytes && MayBeCarriedOut(bytes.error()));
      const ReadBackResult read_back = ReadBackResultOf(bytes, source->DigestOf(chunk));
      if (read_back != ReadBackResult::kIntact) {
        Log(LogLevel::kWarn, "staged_piece_bad",
            {{"version", version},
             {"piece", chunk},
             {"reason", bytes ? std::string("digest") : Describe(bytes.error())},
             {"good_ms_ago", ToMillis(times.sent - this->rollout.StagedCorrectAt(chunk))}});
      }
      this->rollout.OnStagedChunkVerified(version, chunk, read_back, times);
      this->Advance(this->position);
    };
    this->engine.ReadStaged(this->target.model, action.chunk, this->target.manifest->ChunkSize(),
                            this->Guarded(done));
  }

  void Execute(const SendLoadRequest& action) {
    this->load_requests.Add();
    const Instant now = this->loop.Now();
    this->last_load_request = now;
    Log(LogLevel::kInfo, "load_ordered",
        {{"version", action.request.version},
         {"orders", action.request.accepted_loads},
         {"known_for_ms", ToMillis(now - this->target.wanted_since)},
         {"oldest_piece_ms", ToMillis(this->rollout.OldestStagedAge(now))},
         {"slowest_call_ms", ToMillis(this->slowest_call)},
         {"calls_given_up", this->calls_given_up},
         {"rank", this->position.rank},
         {"engines", this->position.engines},
         {"running", this->running},
         {"interrupt", action.request.interrupt}});
    this->slowest_call = {};
    this->calls_given_up = 0;
    const auto done = [this, version = action.request.version, now](LoadRequestResult result) {
      const CallTimes times = this->TimesSince(now);
      Log(LogLevel::kInfo, "load_answered",
          {{"version", version},
           {"answer", LoadRequestResultName(result)},
           {"took_ms", ToMillis(times.answered - times.sent)},
           {"oldest_piece_ms", ToMillis(this->rollout.OldestStagedAge(times.answered))}});
      this->rollout.OnLoadRequestResult(result, times.answered);
      this->OnRequestDone();
    };
    this->engine.RequestLoad(action.request, this->Guarded(done));
  }

  void Execute(const SendUnloadRequest& action) {
    this->load_requests.Add();
    Log(LogLevel::kWarn, "unload_ordered",
        {{"version", action.request.version},
         {"orders", action.request.accepted_loads},
         {"pieces", this->rollout.UnprovenChunks()},
         {"running", this->running}});
    const auto done = [this, version = action.request.version](LoadRequestResult result) {
      Log(LogLevel::kInfo, "unload_answered",
          {{"version", version}, {"answer", LoadRequestResultName(result)}});
      this->rollout.OnUnloadRequestResult(result, this->loop.Now());
      this->OnRequestDone();
    };
    this->engine.RequestUnload(action.request, this->Guarded(done));
  }

  void OnRequestDone() {
    this->LogDoubt();
    if (this->on_load_request_done) this->on_load_request_done();
  }
};

EngineLoader::EngineLoader(EventLoop& loop, Metrics& metrics, EngineControl& engine,
                           const WeightsCopier& copier, EngineRolloutOptions options)
    : impl(std::make_shared<Impl>(loop, metrics, engine, copier, options)) {
  engine.OnUnmatchedAnswer(
      this->impl->Guarded([self = this->impl.get()] { self->OnUnmatchedAnswer(); }));
}
EngineLoader::~EngineLoader() = default;

void EngineLoader::OnLoadRequestDone(std::function<void()> listener) {
  this->impl->on_load_request_done = std::move(listener);
}

void EngineLoader::AddChunk(std::uint64_t version, std::uint32_t chunk,
                            const std::optional<CallTimes>& read_back) {
  this->impl->AdoptNewestVersion();
  if (version != this->impl->rollout.Version()) return;
  this->impl->rollout.OnChunkAvailable(chunk);
  if (read_back) this->impl->rollout.OnChunkFound(chunk, *read_back);
}

void EngineLoader::SetEngineState(const EngineState& state, Instant asked) {
  this->impl->running = state.running;
  this->impl->loaded_version = state.weights_version;
  this->impl->LogNewLoads(state);
  this->impl->rollout.OnEngineState(state, this->impl->TimesSince(asked));
  this->impl->LogDoubt();
}

void EngineLoader::SetEngineUnreachable() { this->impl->rollout.OnEngineUnreachable(); }
void EngineLoader::Advance(const RolloutPosition& position) { this->impl->Advance(position); }
void EngineLoader::SetVouched(std::uint64_t version) {
  this->impl->rollout.OnVouched(version);
  this->impl->LogDoubt();
}
bool EngineLoader::HasUnknownLoad() const { return this->impl->rollout.HasUnknownLoad(); }
bool EngineLoader::Accepting() const { return this->impl->rollout.Accepting(); }

}  // namespace savory
