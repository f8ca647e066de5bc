// savoryrouter-entry: the daemon of an entry VM.

#include "apps/daemon_main.h"
#include "apps/process_host.h"
#include "apps/process_settings.h"
#include "apps/status.h"
#include "claims/claim_driver.h"
#include "membership/membership_driver.h"
#include "routing/entry_driver.h"
#include "runtime/http_server.h"
#include "tables/table_driver.h"

namespace savory {
namespace {

struct EntrySettings {
  ProcessSettings process;
  EntryDriverOptions requests;
  ClaimDriverOptions claims;
};

EntrySettings ReadEntrySettings(SettingsReader& reader) {
  EntrySettings settings;
  settings.process = ReadProcessSettings(reader, false);
  settings.requests = ReadEntryOptions(reader.Section("requests"));
  settings.requests.http = reader.Section("listen").Address("http");
  settings.claims = ReadClaimOptions(reader.Section("claims"));
  return settings;
}

// Returns the entries to which claims may be forwarded. Suspected entries are left out, because a
// claim that is forwarded to a dead entry waits for the forward timeout.
std::vector<EntryAddress> LiveEntries(const MembershipDriver& members) {
  std::vector<EntryAddress> entries;
  for (const Member& member : members.Members()) {
    if (member.role != MemberRole::kEntry || member.state != MemberState::kAlive) continue;
    entries.push_back({.vm = member.vm, .peer = member.peer});
  }
  return entries;
}

// Owns the drivers of an entry and connects them.
class Entry {
 public:
  explicit Entry(const EntrySettings& settings)
      : host(settings.process),
        members(this->host.SharedNode(), settings.process.membership),
        tables(this->host.SharedNode()),
        claims(this->host.SharedNode(), settings.claims),
        requests(this->host.SharedNode(), this->members, this->claims, settings.requests) {
    this->host.Connect(this->members, this->tables);
    this->tables.OnChange(
        [this](const wire::Tables& current) { this->requests.ApplyTables(current); });
    this->members.OnChange([this] { this->claims.SetEntries(LiveEntries(this->members)); });
    this->host.SetReadyCheck([this] { return this->tables.Current().revision() > 0; });
    this->host.OnStop([this](std::function<void()> done) {
      this->leaving = true;
      this->members.Leave();
      this->requests.Drain(std::move(done));
    });
    this->ServeOperators();
  }

  [[noreturn]] void Run() {
    this->members.Start();
    this->tables.Start();
    this->requests.Start();
    this->host.Run();
  }

 private:
  void ServeOperators() {
    HttpServer& server = this->host.OperatorServer();
    server.Handle("GET", "/status", [this](const HttpRequest&) {
      return HttpReply{.body = this->host.RunOnLoop([this] { return this->RenderOwnStatus(); })};
    });
    server.Handle("GET", "/refusals", [this](const HttpRequest&) {
      return HttpReply{.content_type = "application/json", .body = this->host.RunOnLoop([this] {
                         return this->requests.RenderRefusals();
                       })};
    });
    server.Handle("POST", "/refusals/lift", [this](const HttpRequest& request) {
      const std::string lifted = this->host.RunOnLoop([this, &request]() -> std::string {
        return this->requests.LiftRefusal(request.body) ? "lifted" : "";
      });
      return HttpReply{.status = lifted.empty() ? 404 : 200};
    });
    server.Handle("GET", "/", [this](const HttpRequest&) {
      return HttpReply{
          .content_type = "text/html; charset=utf-8",
          .body = this->host.RunOnLoop([this] { return RenderFleetPage(this->members); })};
    });
  }

  std::string RenderOwnStatus() {
    const std::uint64_t revision = this->tables.Current().revision();
    return RenderStatus(this->host.SharedNode().identity, this->members,
                        {.tables_revision = revision,
                         .ready = revision > 0 && !this->leaving,
                         .leaving = this->leaving});
  }

  ProcessHost host;
  MembershipDriver members;
  TableDriver tables;
  ClaimDriver claims;
  EntryDriver requests;
  bool leaving = false;
};

}  // namespace
}  // namespace savory

int main(int argc, char** argv) {
  return savory::RunDaemon<savory::EntrySettings>(
      argc, argv, "savoryrouter-entry", "routes callers' requests to upstreams",
      savory::ReadEntrySettings,
      [](const savory::EntrySettings& settings) -> int { savory::Entry(settings).Run(); });
}
