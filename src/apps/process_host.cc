#include "apps/process_host.h"

#include <csignal>
#include <cstdlib>
#include <future>
#include <random>
#include <thread>

#include "base/log.h"
#include "base/metrics.h"
#include "membership/membership_driver.h"
#include "runtime/event_loop.h"
#include "runtime/http_server.h"
#include "runtime/kv_client.h"
#include "runtime/peer_transport.h"
#include "runtime/workers.h"
#include "tables/table_driver.h"

namespace savory {
namespace {

constexpr std::chrono::seconds kLoopCallTimeout(1);
constexpr Duration kGaugePeriod = std::chrono::seconds(1);
// An entry that stands still for longer is disconnected by the transport anyway.
constexpr Duration kMaxSendTimeAtExit = std::chrono::seconds(5);
// Small, because only the engine and operators' tools call the operator port.
constexpr int kOperatorThreads = 16;

// One thread waits for these signals, so that no signal handler interrupts the event loop.
sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

void BlockSignals() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

HttpReply TextReply(int status, std::string text) {
  return HttpReply{.status = status, .content_type = "text/plain", .body = std::move(text)};
}

TablePeer ToTablePeer(const Member& member) {
  return TablePeer{.vm = member.vm, .peer = member.peer, .data_centre = member.data_centre};
}

}  // namespace

struct ProcessHost::Impl {
  ProcessSettings settings;
  Metrics metrics;
  Random random{std::random_device{}()};
  EventLoop loop;
  Workers workers;
  PeerTransport peers;
  KvClient kv;
  Node node;
  HttpServer operator_server;
  std::function<bool()> ready_check = [] { return true; };
  std::function<void(std::function<void()>)> drain = [](const auto& done) { done(); };
  bool stopping = false;

  explicit Impl(const ProcessSettings& settings)
      : settings(settings),
        workers(loop, settings.workers),
        peers(loop, metrics,
              {.listen = settings.identity.peer,
               .bind = settings.peer_bind,
               .vm = settings.identity.vm,
               .incarnation = settings.identity.incarnation}),
        kv(workers, metrics, settings.kv, settings.kv_timeout),
        node{.identity = settings.identity,
             .loop = loop,
             .peers = peers,
             .workers = workers,
             .kv = kv,
             .metrics = metrics,
             .random = random},
        operator_server({.listen = settings.operator_listen, .max_connections = kOperatorThreads}) {
  }

  void UpdateGauges() {
    const TransportTotals bytes = this->peers.Totals();
    const auto set = [this](std::string_view labels, std::uint64_t value) {
      this->metrics.GaugeFor("savory_peer_bytes", labels).Set(static_cast<double>(value));
    };
    set(R"(lane="control",direction="sent")", bytes.control_sent);
    set(R"(lane="control",direction="received")", bytes.control_received);
    set(R"(lane="bulk",direction="sent")", bytes.bulk_sent);
    set(R"(lane="bulk",direction="received")", bytes.bulk_received);
  }

  // The last parts of an agent's answers may wait for an entry that stands still for a moment.
  void SendLastMessages() {
    if (!this->settings.identity.agent || this->peers.CloseWhenSent(kMaxSendTimeAtExit)) return;
    Log(LogLevel::kWarn, "messages_discarded", {{"after_ms", ToMillis(kMaxSendTimeAtExit)}});
  }

  void StartDrain() {
    if (this->stopping) return;
    this->stopping = true;
    Log(LogLevel::kInfo, "drain_started");
    this->drain([this] { this->loop.Stop(); });
  }

  void WaitForSignals() {
    const sigset_t signals = HandledSignals();
    while (true) {
      int received = 0;
      sigwait(&signals, &received);
      this->loop.Post([this, received] { this->OnSignal(received); });
    }
  }

  // The settings file is read at the start only.
  void OnSignal(int received) {
    if (received != SIGHUP) return this->StartDrain();
    Log(LogLevel::kInfo, "settings_unchanged");
  }
};

ProcessHost::ProcessHost(const ProcessSettings& settings) {
  BlockSignals();
  ConfigureLog(settings.log);
  this->impl = std::make_unique<Impl>(settings);
  HttpServer& server = this->impl->operator_server;
  server.Handle("GET", "/metrics", [this](const HttpRequest&) {
    return TextReply(200, this->impl->metrics.Render());
  });
  server.Handle("GET", "/healthz", [this](const HttpRequest&) {
    const std::string answer = this->RunOnLoop([] { return std::string("ok\n"); });
    return answer.empty() ? TextReply(503, "the event loop does not answer\n")
                          : TextReply(200, answer);
  });
  server.Handle("GET", "/readyz", [this](const HttpRequest&) {
    const std::string answer = this->RunOnLoop([this] {
      const bool ready = !this->impl->stopping && this->impl->ready_check();
      return std::string(ready ? "ready\n" : "not ready\n");
    });
    return TextReply(answer == "ready\n" ? 200 : 503, answer);
  });
  this->impl->loop.Every(kGaugePeriod, [this] { this->impl->UpdateGauges(); });
}

ProcessHost::~ProcessHost() = default;

Node& ProcessHost::SharedNode() { return this->impl->node; }

HttpServer& ProcessHost::OperatorServer() { return this->impl->operator_server; }

std::string ProcessHost::RunOnLoop(std::function<std::string()> callback) {
  auto promise = std::make_shared<std::promise<std::string>>();
  auto future = promise->get_future();
  this->impl->loop.Post(
      [promise, callback = std::move(callback)] { promise->set_value(callback()); });
  if (future.wait_for(kLoopCallTimeout) != std::future_status::ready) return {};
  return future.get();
}

void ProcessHost::SetReadyCheck(std::function<bool()> ready) {
  this->impl->ready_check = std::move(ready);
}

void ProcessHost::OnStop(std::function<void(std::function<void()> done)> drain) {
  this->impl->drain = std::move(drain);
}

void ProcessHost::Connect(MembershipDriver& members, TableDriver& tables) {
  const auto update_peers = [&members, &tables] {
    std::vector<TablePeer> peers;
    for (const Member& member : members.Members()) peers.push_back(ToTablePeer(member));
    tables.SetPeers(std::move(peers));
  };
  update_peers();
  members.OnChange(update_peers);
  members.OnHigherRevision([&tables](const Member& peer) { tables.PullFrom(peer.peer); });
  tables.OnChange(
      [&members](const wire::Tables& current) { members.SetTablesRevision(current.revision()); });
}

void ProcessHost::Run() {
  this->impl->operator_server.Start();
  std::thread([this] { this->impl->WaitForSignals(); }).detach();
  Log(LogLevel::kInfo, "started",
      {{"peer", this->impl->settings.identity.peer},
       {"operator", this->impl->settings.operator_listen},
       {"incarnation", this->impl->settings.identity.incarnation}});
  this->impl->loop.Run();
  this->impl->SendLastMessages();
  Log(LogLevel::kInfo, "stopped");
  // Exits without joining the workers: long polls of the key-value service may last several
  // seconds, and nothing depends on their end.
  std::quick_exit(EXIT_SUCCESS);
}

}  // namespace savory
