#include "apps/process_settings.h"

#include "base/process_start.h"

namespace savory {
namespace {

constexpr Range kKvTimeoutRangeMs = {.low = 10, .high = 60'000};
constexpr Range kWorkerRange = {.low = 4, .high = 1024};
constexpr int kDefaultEntryWorkers = 32;
// Each attempt at an engine occupies one worker for as long as its stream lasts.
constexpr int kDefaultAgentWorkers = 160;

}  // namespace

ProcessSettings ReadProcessSettings(SettingsReader& reader, bool agent) {
  ProcessSettings settings;
  settings.identity.vm = reader.Text("vm");
  settings.identity.region = reader.Text("region");
  settings.identity.data_centre = reader.Text("data_centre");
  settings.identity.agent = agent;
  settings.identity.incarnation = MakeIncarnation();
  if (agent) settings.identity.service = reader.Section("upstream").Text("service");

  SettingsReader listen = reader.Section("listen");
  settings.identity.peer = listen.Address("peer");
  settings.peer_bind = listen.Address("peer_bind", "");
  settings.operator_listen = listen.Address("operator");

  SettingsReader platform = reader.Section("platform");
  settings.kv = platform.Address("kv");
  settings.kv_timeout =
      std::chrono::milliseconds(platform.Integer("kv_timeout_ms", kKvTimeoutRangeMs, 1000));

  settings.membership = ReadMembershipOptions(reader.Section("membership"));
  settings.membership.vm_list = platform.Address("vm_list", "");
  settings.log = ReadLogOptions(reader.Section("log"));
  settings.log.vm = settings.identity.vm;
  settings.workers = static_cast<int>(
      reader.Integer("workers", kWorkerRange, agent ? kDefaultAgentWorkers : kDefaultEntryWorkers));
  return settings;
}

}  // namespace savory
