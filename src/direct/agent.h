// Agent process for an engine that entries reach directly: wires its components together.
#pragma once

#include <memory>

#include "direct/agent_settings.h"

namespace savory {

class EngineControl;
class EventLoop;
class Metrics;
class WeightsSource;

// Interfaces to the engine and the origin, implemented for each platform.
struct DirectAgentAdapter {
  EngineControl& engine;
  WeightsSource& origin;
};

// Reports the engine's state to the entries, distributes weights among the agents and requests the
// engine to load them. Does not access the platform's store: entries send everything that an agent
// needs from it.
class DirectAgent {
 public:
  // The references must outlive the agent.
  DirectAgent(EventLoop& loop, Metrics& metrics, DirectAgentSettings settings,
              DirectAgentAdapter adapter);
  ~DirectAgent();

  // Runs until SIGTERM; returns the exit status.
  int Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
