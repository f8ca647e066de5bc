#include "direct/engine_loader.h"

#include <variant>

#include "base/log.h"
#include "base/metrics.h"
#include "distribution/engine_control.h"
#include "distribution/manifest.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"

namespace savory {
namespace {

std::string_view OrderAnswerName(OrderAnswer answer) {
  switch (answer) {
    case OrderAnswer::kBegun:
      return "begun";
    case OrderAnswer::kInEffect:
      return "in-effect";
    case OrderAnswer::kRefused:
      return "refused";
    case OrderAnswer::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace

struct EngineLoader::Impl : GuardedCallbacks<EngineLoader::Impl> {
  EventLoop& loop;
  EngineControl& engine;
  const WeightsCopier& copier;
  Counter& orders;
  EngineRollout rollout;
  VersionCopy loading = {};  // the version that `rollout` loads onto the engine
  RolloutTurn turn = {};
  std::uint32_t running = 0;
  std::function<void()> on_order_answered = {};

  Impl(EventLoop& loop, Metrics& metrics, EngineControl& engine, const WeightsCopier& copier,
       EngineRolloutOptions options)
      : loop(loop),
        engine(engine),
        copier(copier),
        orders(metrics.CounterFor("savory_load_orders_total")),
        rollout(options) {}

  bool IsWhole(const VersionCopy& version) const {
    const WeightsCopy* copy =
        version.manifest == nullptr ? nullptr : this->copier.Find(*version.manifest);
    return copy != nullptr && copy->IsWhole();
  }

  // Replaces the version of the rollout by the newest copied one if there is no rollout yet, the
  // rollout is done, the newer copy is complete, or the older copy is incomplete and thus abandoned
  // by the copier.
  void AdoptNewestVersion() {
    const std::optional<VersionCopy>& newest = this->copier.Newest();
    if (!newest || newest->version <= this->rollout.Version()) return;
    if (!this->rollout.MayReplace()) return;
    const bool adopt = this->rollout.Version() == 0 || this->rollout.IsDone() ||
                       this->IsWhole(*newest) || !this->IsWhole(this->loading);
    if (!adopt) return;
    this->loading = *newest;
    const std::uint32_t chunk_count = newest->manifest->ChunkCount();
    this->rollout.Want(newest->model, newest->version, chunk_count, newest->wanted_since,
                       this->turn);
    const WeightsCopy* copy = this->copier.Find(*newest->manifest);
    for (std::uint32_t i = 0; copy != nullptr && i < chunk_count; ++i) {
      if (copy->Holds(i)) this->rollout.PieceHeld(i);
    }
  }

  void Advance(const RolloutTurn& next) {
    this->turn = next;
    this->AdoptNewestVersion();
    this->rollout.SetTurn(next);
    for (const RolloutAction& action : this->rollout.Advance(this->loop.Now())) {
      std::visit([this](const auto& item) { this->Execute(item); }, action);
    }
  }

  void Execute(const StagePiece& action) {
    const std::uint64_t version = this->loading.version;
    const WeightsCopy* copy = this->copier.Find(*this->loading.manifest);
    if (copy == nullptr || !copy->Holds(action.piece)) {
      this->rollout.PieceStaged(version, action.piece, false, this->loop.Now());
      return;
    }
    const auto done = [this, version, chunk = action.piece](const Result<void>& stored) {
      if (!stored) {
        Log(LogLevel::kWarn, "stage_failed",
            {{"version", version}, {"piece", chunk}, {"reason", Describe(stored.error())}});
      }
      this->rollout.PieceStaged(version, chunk, stored.has_value(), this->loop.Now());
      if (stored) this->Advance(this->turn);
    };
    this->engine.Stage(this->loading.model, action.piece,
                       std::string(AsText(*copy->chunks[action.piece])), this->Guarded(done));
  }

  void Execute(const CheckPiece& action) {
    const auto done = [this, source = this->loading.manifest, version = this->loading.version,
                       chunk = action.piece](const Result<std::string>& bytes) {
      const bool intact =
          bytes.has_value() && Sha256(AsBytes(bytes.value())) == source->DigestOf(chunk);
      if (!intact) {
        Log(LogLevel::kWarn, "staged_piece_bad", {{"version", version}, {"piece", chunk}});
      }
      this->rollout.PieceChecked(version, chunk, intact, this->loop.Now());
      this->Advance(this->turn);
    };
    this->engine.ReadStaged(this->loading.model, action.piece, this->Guarded(done));
  }

  void Execute(const OrderWeights& action) {
    this->orders.Add();
    Log(LogLevel::kInfo, "load_ordered",
        {{"version", action.order.version},
         {"orders", action.order.orders},
         {"known_for_ms", ToMillis(this->loop.Now() - this->loading.wanted_since)},
         {"rank", this->turn.rank},
         {"engines", this->turn.engines},
         {"running", this->running},
         {"interrupt", action.order.interrupt}});
    const auto done = [this, version = action.order.version](OrderAnswer answer) {
      Log(LogLevel::kInfo, "load_answered",
          {{"version", version}, {"answer", OrderAnswerName(answer)}});
      this->rollout.OrderAnswered(answer, this->loop.Now());
      if (this->on_order_answered) this->on_order_answered();
    };
    this->engine.OrderLoad(action.order, this->Guarded(done));
  }
};

EngineLoader::EngineLoader(EventLoop& loop, Metrics& metrics, EngineControl& engine,
                           const WeightsCopier& copier, EngineRolloutOptions options)
    : impl(std::make_shared<Impl>(loop, metrics, engine, copier, options)) {}
EngineLoader::~EngineLoader() = default;

void EngineLoader::OnOrderAnswered(std::function<void()> listener) {
  this->impl->on_order_answered = std::move(listener);
}

void EngineLoader::ChunkHeld(std::uint64_t version, std::uint32_t chunk, bool staged) {
  this->impl->AdoptNewestVersion();
  if (version != this->impl->rollout.Version()) return;
  this->impl->rollout.PieceHeld(chunk);
  if (staged) this->impl->rollout.PieceStaged(version, chunk, true, this->impl->loop.Now());
}

void EngineLoader::EngineSeen(const EngineState& state, Instant asked) {
  this->impl->running = state.running;
  this->impl->rollout.EngineSeen(state, asked);
}

void EngineLoader::EngineLost() { this->impl->rollout.EngineLost(); }
void EngineLoader::Advance(const RolloutTurn& turn) { this->impl->Advance(turn); }
bool EngineLoader::Accepting() const { return this->impl->rollout.Accepting(); }

}  // namespace savory
