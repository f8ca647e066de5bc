#include "direct/entry_settings.h"

#include "base/process_start.h"

namespace savory {
namespace {

constexpr Range kPort = {.low = 1, .high = 65'535};
constexpr Range kSeconds = {.low = 0, .high = 3600};
constexpr Range kMillis = {.low = 0, .high = 3'600'000};
constexpr Range kRatio = {.low = 0, .high = 10};
constexpr Range kMegabits = {.low = 0, .high = 1e6};
constexpr Range kCount = {.low = 0, .high = 1e9};
constexpr std::uint64_t kBytesPerMegabyte = std::uint64_t{1024} * 1024;

}  // namespace

DirectProcessSettings ReadDirectProcess(SettingsReader& reader) {
  DirectProcessSettings settings;
  settings.vm = reader.Text("vm");
  settings.region = reader.Text("region");
  settings.data_centre = reader.Text("data_centre");
  SettingsReader listen = reader.Section("listen");
  settings.peer = listen.Address("peer");
  settings.peer_port = static_cast<std::uint16_t>(listen.Integer("peer_port", kPort));
  settings.metrics = listen.Address("metrics", "");
  for (SettingsReader& row : reader.Rows("data_centres")) {
    settings.regions[row.Text("name")] = row.Text("region");
  }
  settings.log = ReadLogOptions(reader.Section("log"));
  settings.log.vm = settings.vm;
  settings.log.output = LogOutput::kBuffered;
  return settings;
}

DirectEntrySettings ReadDirectEntry(SettingsReader& reader) {
  DirectEntrySettings settings;
  settings.process = ReadDirectProcess(reader);
  SettingsReader listen = reader.Section("listen");
  settings.callers = listen.Address("callers");
  settings.ready = listen.Address("ready");
  settings.store = reader.Address("store");
  settings.seeds = reader.TextList("seeds");
  SettingsReader retry_budget = reader.Section("repeats");
  settings.retry_budget.ratio = retry_budget.Number("ratio", kRatio, settings.retry_budget.ratio);
  settings.retry_budget.slack = retry_budget.Number("slack", kCount, settings.retry_budget.slack);
  settings.retry_budget.window = FromSeconds(retry_budget.Number("window_s", kSeconds, 10));
  SettingsReader cold = reader.Section("cold_requests");
  settings.cold.overrun = cold.Number("overrun", kRatio, 0);
  settings.cold.slack = cold.Number("slack", kCount, 0);
  settings.decides_leaving = reader.Flag("decide_leaving", false);
  settings.region_bytes_per_second = reader.Number("region_mbps", kMegabits, 0) * 1e6 / 8;
  SettingsReader machine = reader.Section("machine");
  settings.memory_bytes =
      static_cast<std::uint64_t>(machine.Integer("memory_mb", kCount, 0)) * kBytesPerMegabyte;
  settings.max_files = static_cast<std::size_t>(machine.Integer("max_files", kCount, 0));
  settings.weights_deadline =
      std::chrono::milliseconds(reader.Integer("weights_deadline_ms", kMillis, 8000));
  settings.upstream_drain =
      std::chrono::milliseconds(reader.Integer("upstream_drain_ms", kMillis, 2000));
  settings.stop_grace = FromSeconds(reader.Number("stop_grace_s", kSeconds, 8));
  return settings;
}

Result<DirectEntrySettings> ReadDirectEntryFile(const std::string& path) {
  auto reader = SettingsReader::FromFile(path);
  if (!reader) return reader.error();
  DirectEntrySettings settings = ReadDirectEntry(reader.value());
  const auto checked = reader.value().Finish();
  if (!checked) return checked.error();
  settings.file = path;
  return settings;
}

}  // namespace savory
