// An agent beside an engine that entries reach directly: composition of its parts.
#pragma once

#include <memory>

#include "direct/agent_settings.h"

namespace savory {

class EngineControl;
class EventLoop;
class Metrics;
class WeightsSource;

// What an adapter to a platform provides.
struct DirectAgentAdapter {
  EngineControl& engine;
  WeightsSource& origin;
};

// Reports the engine's state to the entries, spreads weights among the agents and orders the engine
// to take them. Makes no calls of the platform's store: the entries tell what it needs to know.
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
