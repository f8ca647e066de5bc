// Settings of the agent process for an engine that entries reach directly.
#pragma once

#include <cstddef>
#include <string>

#include "base/settings.h"
#include "base/time.h"
#include "direct/entry_settings.h"
#include "distribution/engine_control.h"

namespace savory {

struct DirectAgentSettings {
  DirectProcessSettings process;
  std::string engine;                    // IP:PORT of the engine on this machine
  double link_bytes_per_second = 1e6;    // of this machine, in each direction
  double region_bytes_per_second = 3e6;  // between two regions, shared by all traffic
  // Larger chunks of weights are refused: several are read at once.
  std::size_t max_chunk_bytes = kMaxChunkBytes;
  Duration weights_deadline = std::chrono::seconds(8);
  // Not used: the agent exits at once on SIGTERM.
  Duration stop_grace = std::chrono::seconds(8);
};

DirectAgentSettings ReadDirectAgent(SettingsReader& reader);

}  // namespace savory
