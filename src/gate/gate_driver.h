// Connects UpstreamGate to the network and to the local upstream.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/digest.h"
#include "base/settings.h"
#include "runtime/node.h"

namespace savory {

enum class UpstreamKind { kEngine, kPlainService };

struct GateDriverOptions {
  std::string upstream;  // IP:PORT
  UpstreamKind kind = UpstreamKind::kEngine;
  int max_running = 64;  // concurrent calls to the upstream
  int max_queued = 64;   // attempts queued in the agent
};

// Reads the section `gate`. Errors are recorded in `reader`.
GateDriverOptions ReadGateOptions(SettingsReader reader);

// Not thread-safe: to be called on the event loop's thread only.
class GateDriver {
 public:
  GateDriver(Node& node, GateDriverOptions options);
  ~GateDriver();

  void Start();

  // Sets the manifest that the engine serves. While `ready` is false, new attempts are refused as
  // "not run". Plain services are ready from the start.
  void SetReady(const Digest& serving, bool ready);
  // Whether no attempt is running or queued.
  bool IsIdle() const;

  // Refuses new attempts, reports to the entries that this agent is leaving, and calls `done` after
  // the last attempt has ended.
  void Drain(std::function<void()> done);

  // Calls `listener` with the size of each request body and of each part of an answer's body.
  void OnRequestBytes(std::function<void(std::uint64_t bytes)> listener);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
