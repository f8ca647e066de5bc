// savoryrouter-agent: the daemon beside each upstream.

#include <optional>

#include "apps/daemon_main.h"
#include "apps/process_host.h"
#include "apps/process_settings.h"
#include "apps/status.h"
#include "base/log.h"
#include "distribution/distribution_driver.h"
#include "gate/gate_driver.h"
#include "membership/membership_driver.h"
#include "runtime/http_server.h"
#include "tables/pool_members.h"
#include "tables/table_driver.h"

namespace savory {
namespace {

struct AgentSettings {
  ProcessSettings process;
  GateDriverOptions gate;
  std::optional<DistributionDriverOptions> distribution;  // engines only
};

AgentSettings ReadAgentSettings(SettingsReader& reader) {
  AgentSettings settings;
  settings.process = ReadProcessSettings(reader, true);
  settings.gate = ReadGateOptions(reader.Section("gate"));
  if (settings.gate.kind == UpstreamKind::kPlainService) return settings;
  settings.distribution = ReadDistributionOptions(reader.Section("distribution"));
  // The engine fetches its weights from the operator port of its agent.
  settings.distribution->weights_address = settings.process.operator_listen;
  return settings;
}

// Owns the drivers of an agent and connects them.
class Agent {
 public:
  explicit Agent(const AgentSettings& settings)
      : host(settings.process),
        members(this->host.SharedNode(), settings.process.membership),
        tables(this->host.SharedNode()),
        gate(this->host.SharedNode(), settings.gate) {
    if (settings.distribution) {
      this->distribution.emplace(this->host.SharedNode(), this->members, *settings.distribution);
    }
    this->host.Connect(this->members, this->tables);
    this->ConnectGate();
    this->ConnectDistribution();
    this->ServeOperators();
  }

  [[noreturn]] void Run() {
    this->members.Start();
    this->tables.Start();
    this->gate.Start();
    if (this->distribution) this->distribution->Start();
    this->host.Run();
  }

 private:
  void SetReady(const Digest& serving, bool is_ready) {
    this->ready = is_ready;
    this->gate.SetReady(serving, is_ready);
    this->members.SetReady(serving, is_ready);
  }

  void ConnectGate() {
    if (!this->distribution) this->SetReady(Digest{}, true);
    this->host.SetReadyCheck([this] { return this->ready; });
    this->host.OnStop([this](std::function<void()> done) {
      this->leaving = true;
      this->members.Leave();
      this->gate.Drain(std::move(done));
    });
  }

  void ConnectDistribution() {
    if (!this->distribution) return;
    this->distribution->Mount(this->host.OperatorServer());
    this->distribution->SetIdleCheck([this] { return this->gate.IsIdle(); });
    this->distribution->OnReadyChange(
        [this](const Digest& serving, bool is_ready) { this->SetReady(serving, is_ready); });
    this->gate.OnRequestBytes(
        [this](std::uint64_t bytes) { this->distribution->AddRequestBytes(bytes); });
    this->tables.OnChange([this](const wire::Tables& current) { this->ApplyTables(current); });
  }

  void ApplyTables(const wire::Tables& current) {
    const NodeIdentity& identity = this->host.SharedNode().identity;
    const wire::Pool* pool = FindPoolOf(current, identity.vm, identity.service);
    this->distribution->ApplyPool(pool == nullptr ? wire::Pool() : *pool);
  }

  void ServeOperators() {
    this->host.OperatorServer().Handle("GET", "/status", [this](const HttpRequest&) {
      return HttpReply{.body = this->host.RunOnLoop([this] { return this->RenderOwnStatus(); })};
    });
  }

  std::string RenderOwnStatus() {
    return RenderStatus(
        this->host.SharedNode().identity, this->members,
        {.tables_revision = this->tables.Current().revision(),
         .ready = this->ready,
         .leaving = this->leaving,
         .rollout = this->distribution ? this->distribution->Status() : RolloutStatus{}});
  }

  ProcessHost host;
  MembershipDriver members;
  TableDriver tables;
  GateDriver gate;
  std::optional<DistributionDriver> distribution;
  bool ready = false;
  bool leaving = false;
};

}  // namespace
}  // namespace savory

int main(int argc, char** argv) {
  return savory::RunDaemon<savory::AgentSettings>(
      argc, argv, "savoryrouter-agent",
      "distributes weights and controls the requests to the upstream beside it",
      savory::ReadAgentSettings,
      [](const savory::AgentSettings& settings) -> int { savory::Agent(settings).Run(); });
}
