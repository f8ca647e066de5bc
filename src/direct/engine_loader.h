// Loads copied weights onto this agent's engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "base/time.h"
#include "direct/weights_copier.h"
#include "distribution/engine_rollout.h"

namespace savory {

class EngineControl;
class EventLoop;
class Metrics;

// Executes the actions that EngineRollout decides on. All calls on the loop's thread.
class EngineLoader {
 public:
  // The references must outlive the loader.
  EngineLoader(EventLoop& loop, Metrics& metrics, EngineControl& engine,
               const WeightsCopier& copier, EngineRolloutOptions options);
  ~EngineLoader();

  // `listener` is called when a load request has ended, also without a response of the engine. The
  // engine's state should then be read soon.
  void OnLoadRequestDone(std::function<void()> listener);

  // A verified chunk of `version` is available. `read_back`: the call that read it back from the
  // engine, if one did.
  void AddChunk(std::uint64_t version, std::uint32_t chunk,
                const std::optional<CallTimes>& read_back);
  // `asked`: time at which the state was requested.
  void SetEngineState(const EngineState& state, Instant asked);
  void SetEngineUnreachable();
  // An entry heard from an earlier run of this process that the engine accepts requests with
  // `version`.
  void SetVouched(std::uint64_t version);
  // Executes the actions that are due. Call when the position changes, after SetEngineState() and
  // several times a second.
  void Advance(const RolloutPosition& position);

  // Whether the engine may receive requests.
  bool Accepting() const;
  // Whether the engine's weights are not proven, and nothing but their chunks can prove them.
  bool HasUnknownLoad() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
