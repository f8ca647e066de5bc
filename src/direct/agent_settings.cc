#include "direct/agent_settings.h"

namespace savory {
namespace {

constexpr Range kMegabits = {.low = 0.01, .high = 1e6};
constexpr Range kMillis = {.low = 0, .high = 3'600'000};
constexpr Range kSeconds = {.low = 0, .high = 3600};
// Default when the settings give no rate. The links between regions are slower than those of the
// machines and are shared by them.
constexpr double kDefaultRegionMbps = 25;

double BytesPerSecond(double megabits) { return megabits * 1e6 / 8; }

}  // namespace

DirectAgentSettings ReadDirectAgent(SettingsReader& reader) {
  DirectAgentSettings settings;
  settings.process = ReadDirectProcess(reader);
  settings.engine = reader.Address("engine");
  settings.link_bytes_per_second = BytesPerSecond(reader.Number("link_mbps", kMegabits));
  settings.region_bytes_per_second =
      BytesPerSecond(reader.Number("region_mbps", kMegabits, kDefaultRegionMbps));
  settings.weights_deadline =
      std::chrono::milliseconds(reader.Integer("weights_deadline_ms", kMillis, 8000));
  settings.stop_grace = FromSeconds(reader.Number("stop_grace_s", kSeconds, 8));
  return settings;
}

}  // namespace savory
