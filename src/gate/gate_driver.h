// Runs the gate in front of the local upstream.
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
  int max_running = 64;  // attempts sent to the upstream at the same time
  int max_queued = 64;   // attempts waiting in the agent
};

// Reads the section `gate`; errors stay in `reader`.
GateDriverOptions ReadGateOptions(SettingsReader reader);

// All calls on the loop's thread.
class GateDriver {
 public:
  GateDriver(Node& node, GateDriverOptions options);
  ~GateDriver();

  void Start();

  // The manifest that the engine serves. While `ready` is false new attempts are refused as "not
  // run". Plain services are ready from the start.
  void SetReady(const Digest& serving, bool ready);
  // True when no attempt runs or waits.
  bool IsIdle() const;

  // Refuses new attempts, reports leaving to the entries, and calls `done` when none runs.
  void Drain(std::function<void()> done);

  // Calls `listener` with the body bytes of requests and answers as they pass.
  void OnRequestBytes(std::function<void(std::uint64_t bytes)> listener);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
