#include "direct/agent_settings.h"

#include <algorithm>

namespace savory {
namespace {

constexpr Range kMegabits = {.low = 0.01, .high = 1e6};
constexpr Range kMillis = {.low = 0, .high = 3'600'000};
constexpr Range kSeconds = {.low = 0, .high = 3600};
// Default when the settings give no rate. The links between regions are slower than those of the
// machines and are shared by them.
constexpr double kDefaultRegionMbps = 25;

constexpr Range kMegabytes = {.low = 0, .high = 1e9};
constexpr std::size_t kBytesPerMegabyte = 1'000'000;
// An agent reads up to four chunks from the origin and some from its engine at once, of which each
// may take twice its size while it grows.
constexpr std::size_t kChunkParts = 64;

// `memory_mb`: of the machine; 0 if it is not known.
std::size_t MaxChunkBytes(std::uint64_t memory_mb) {
  if (memory_mb == 0) return kMaxChunkBytes;
  return std::min<std::size_t>(kMaxChunkBytes, memory_mb * kBytesPerMegabyte / kChunkParts);
}

double BytesPerSecond(double megabits) { return megabits * 1e6 / 8; }

}  // namespace

DirectAgentSettings ReadDirectAgent(SettingsReader& reader) {
  DirectAgentSettings settings;
  settings.process = ReadDirectProcess(reader);
  settings.engine = reader.Address("engine");
  settings.link_bytes_per_second = BytesPerSecond(reader.Number("link_mbps", kMegabits));
  settings.region_bytes_per_second =
      BytesPerSecond(reader.Number("region_mbps", kMegabits, kDefaultRegionMbps));
  SettingsReader machine = reader.Section("machine");
  settings.max_chunk_bytes =
      MaxChunkBytes(static_cast<std::uint64_t>(machine.Integer("memory_mb", kMegabytes, 0)));
  settings.weights_deadline =
      std::chrono::milliseconds(reader.Integer("weights_deadline_ms", kMillis, 8000));
  settings.stop_grace = FromSeconds(reader.Number("stop_grace_s", kSeconds, 8));
  return settings;
}

}  // namespace savory
