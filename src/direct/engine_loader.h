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

  // Called when the engine answered a load order; its state should then be read soon.
  void OnLoadRequestDone(std::function<void()> listener);

  void AddChunk(std::uint64_t version, std::uint32_t chunk, bool staged);
  void SetEngineState(const EngineState& state, Instant asked);
  void SetEngineUnreachable();
  void Advance(const RolloutPosition& position);

  // Whether the engine may receive requests.
  bool Accepting() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
