// Engines in trouble: their reports have no end. Usage: endless_case FOLDER
#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include "base/metrics.h"
#include "platform/testing/caller_standin.h"
#include "platform/testing/record_writer.h"
#include "platform/testing/store_standin.h"
#include "platform/wire_names.h"
#include "review/common-2/harness.h"
#include "runtime/event_loop.h"
#include "runtime/http_connection_pool.h"
#include "runtime/http_parser.h"
#include "runtime/tcp_connection.h"
#include "runtime/tcp_listener.h"

namespace review {
namespace {

using savory::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 3;
constexpr int kInTrouble = 2;                  // of these
constexpr std::int64_t kMemoryKb = 128 * 1024;  // memoryMb of a side machine
constexpr int kEndsOfFault = 3;                // of each machine, at two machines
constexpr Duration kTroubleAt = seconds(8);
constexpr Duration kTroubleTime = seconds(45);
constexpr Duration kEnd = seconds(60);
constexpr Duration kRestartDelay = milliseconds(500);
constexpr Duration kRequestPeriod = milliseconds(200);
constexpr Duration kHeartbeat = milliseconds(1200);
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;
constexpr int kPiecesAtOnce = 16;

// Serves requests and the calls of its agent. In trouble, it answers a report with a sound head and
// bytes without end until the caller closes; requests are served as before.
class Engine {
 public:
  Engine(savory::EventLoop& loop, Record& record, std::string id, std::string address)
      : loop(loop), record(record), id(std::move(id)), address(std::move(address)), listener(loop) {}

  bool Listen() {
    return this->listener
        .Listen(this->address,
                [this](uv_stream_s* server) {
                  this->connections.push_back(std::make_shared<Connection>(*this, server));
                })
        .has_value();
  }
  void SetTrouble(bool next) { this->in_trouble = next; }
  savory::Upstream RecordOf() const {
    return {.id = this->id,
            .pool = "chat",
            .address = this->address,
            .data_centre = "dc-1",
            .slots = 16,
            .started_unix_ms = 1'800'000'000'000,
            .weights_version = 1,
            .is_engine = true};
  }
  int EndlessReports() const { return this->endless_reports; }

 private:
  struct Connection : savory::TcpHandler, std::enable_shared_from_this<Connection> {
    Connection(Engine& engine, uv_stream_s* server)
        : engine(engine), tcp(engine.loop, server, *this, {}) {}

    void OnBytes(std::span<const std::byte> bytes) override {
      this->parser.Feed(bytes);
      while (this->parser.IsDone()) {
        const savory::HttpHead head = this->parser.Head();
        this->parser.Next();
        this->Answer(head);
      }
    }
    void OnEnd(savory::TcpEnd) override {
      if (this->endless) {
        this->engine.record.Line("engine " + this->engine.id + ": its caller closes after " +
                                 std::to_string(this->sent >> 20) + " MB");
      }
      this->endless = false;
      this->ended = true;
    }
    void OnFlushed() override { this->Continue(); }

    void Send(std::string_view text) { this->tcp.Write({&text, 1}); }

    void SendSized(std::string_view status, const std::string& fields, const std::string& body) {
      this->Send("HTTP/1.1 " + std::string(status) + "\r\n" + fields +
                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void Answer(const savory::HttpHead& head) {
      if (head.target == savory::platform::kReportPath) return this->Report();
      if (head.target.starts_with("/-/")) return this->SendSized("404 Not Found", "", "");
      const std::string id(savory::FieldValue(head.fields, savory::platform::kAttemptId));
      const std::string fields = "Attempt-Id: " + id + "\r\nEngine-Seal: seal\r\n" +
                                 "Weight-Versions: 1\r\n";
      this->engine.record.Line("engine " + this->engine.id + ": runs " + id);
      this->SendSized("200 OK", fields + "Content-Type: text/event-stream\r\n",
                      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    void Report() {
      if (this->engine.in_trouble) {
        ++this->engine.endless_reports;
        this->Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n");
        this->endless = true;
        return this->Continue();
      }
      this->SendSized("200 OK", "Content-Type: application/json\r\n",
                      R"({"phase":"hybrid","models":[{"name":"m","version":1,"adapters":[]}],)"
                      R"("layers":[{"from":0,"target":8,"version":1}],"busy":false,"seqNum":0,)"
                      R"("queueDepth":0,"activeRequests":0,"kvUsed":0,"kvTotal":685000,)"
                      R"("handles":0,"pace":1.0,"born":1800000000000})");
    }

    // Writes until the operating system takes no more.
    void Continue() {
      static const std::string piece(kPieceBytes, 'x');
      for (int i = 0; this->endless && i < kPiecesAtOnce; ++i) {
        if (this->tcp.UnsentBytes() > 0) return;
        this->Send(piece);
        this->sent += piece.size();
      }
      if (!this->endless) return;
      this->engine.loop.After(Duration(0), [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->endless && self->tcp.UnsentBytes() == 0) self->Continue();
      });
    }

    Engine& engine;
    savory::HttpParser parser{savory::HttpMessageKind::kRequest, {}};
    bool endless = false;
    bool ended = false;
    std::size_t sent = 0;
    savory::TcpConnection tcp;
  };

  savory::EventLoop& loop;
  Record& record;
  std::string id;
  std::string address;
  bool in_trouble = false;
  int endless_reports = 0;
  savory::TcpListener listener;
  std::vector<std::shared_ptr<Connection>> connections = {};
};

class Case {
 public:
  explicit Case(const std::string& folder) : record(folder + "/record.txt") {}

  int Run() {
    for (int i = 0; i < kEngines; ++i) {
      this->engines.push_back(std::make_unique<Engine>(
          this->loop, this->record, "i-" + std::to_string(i + 1),
          this->addresses.At(10 + i, this->engine_port)));
      if (!this->engines.back()->Listen()) return kNotRun;
    }
    if (!this->store.Listen()) return kNotRun;
    this->WriteConfig();
    this->WriteEngines();
    this->loop.Every(kHeartbeat, [this] { this->WriteEngines(); });
    const EntrySettings entry{.name = "edge-1",
                              .callers = this->EntryAddress(),
                              .ready = this->addresses.At(1, this->ready_port),
                              .host = this->addresses.Host(1),
                              .peer_port = this->peer_port,
                              .store = this->store_address};
    if (!this->processes.Start(entry.name, "savoryrouter-platform-entry", Render(entry))) {
      return kNotRun;
    }
    for (int i = 0; i < kEngines; ++i) {
      if (!this->StartAgent(i)) return kNotRun;
    }
    this->loop.Every(milliseconds(5), [this] { this->KeepMemoryLimit(); });
    this->loop.After(seconds(4), [this] { this->Request(); });
    if (HasTrouble()) {
      this->loop.After(kTroubleAt, [this] { this->SetTrouble(true); });
      this->loop.After(kTroubleAt + kTroubleTime, [this] { this->SetTrouble(false); });
    }
    this->loop.After(kEnd, [this] { this->loop.Stop(); });
    this->loop.Run();
    return this->Judge();
  }

 private:
  std::string EntryAddress() const { return this->addresses.At(1, this->callers_port); }
  static std::string AgentName(int agent) { return "side-" + std::to_string(agent + 1); }

  void WriteConfig() {
    savory::RoutingRules rules{.version = 1};
    rules.routes.push_back({.name = "chat",
                            .host = "chat.example",
                            .path_prefix = "/chat/",
                            .kind = savory::RequestKind::kStream,
                            .pools = {{.pool = "chat"}},
                            .timeout = seconds(6),
                            .target_latency = milliseconds(400),
                            .max_pause = milliseconds(300),
                            .max_attempts = 2,
                            .priority = 1,
                            .resumable = true});
    rules.pools.push_back({.name = "chat",
                           .max_connections = 264,
                           .engine = savory::EngineRates{.slots = 16},
                           .models = {"m"}});
    rules.accounts.push_back({.name = "tenant", .api_keys = {"key"}, .priority = 1});
    this->store.Put(savory::platform::ConfigKey(), savory::platform::EncodeConfig(rules));
  }

  void WriteEngines() {
    for (const auto& engine : this->engines) {
      const savory::Upstream upstream = engine->RecordOf();
      this->store.Put(savory::platform::UpstreamKey(upstream.id),
                      savory::platform::EncodeUpstream(upstream));
    }
  }

  bool StartAgent(int agent) {
    const AgentSettings settings{.name = AgentName(agent),
                                 .host = this->addresses.Host(10 + agent),
                                 .peer_port = this->peer_port,
                                 .engine = this->addresses.At(10 + agent, this->engine_port)};
    this->record.Line("platform: starts " + settings.name);
    return this->processes.Start(settings.name, "savoryrouter-platform-agent", Render(settings));
  }

  void SetTrouble(bool next) {
    for (int i = 0; i < kInTrouble; ++i) this->engines[i]->SetTrouble(next);
    this->record.Line(next ? "i-1 and i-2: reports have no end from now on" : "reports are sound");
  }

  // As the platform does: a process that exceeds its memory is killed and started again.
  void KeepMemoryLimit() {
    for (int i = 0; i < kEngines; ++i) {
      const std::string name = AgentName(i);
      const std::int64_t peak = this->processes.PeakKb(name);
      this->peaks[i] = std::max(this->peaks[i], peak);
      if (peak <= kMemoryKb) continue;
      ++this->ends[i];
      this->record.Line("platform: kills " + name + ", which has used " + std::to_string(peak) +
                        " kB of " + std::to_string(kMemoryKb));
      this->processes.Kill(name);
      this->loop.After(kRestartDelay, [this, i] { this->StartAgent(i); });
    }
  }

  void Request() {
    this->loop.After(kRequestPeriod, [this] { this->Request(); });
    const std::string id = "request-" + std::to_string(++this->sent);
    const savory::platform::CallerRequest request{.entry = this->EntryAddress(),
                                                  .attempt_id = id,
                                                  .host = "chat.example",
                                                  .target = "/chat/x",
                                                  .api_key = "key",
                                                  .body = "body",
                                                  .time_left = seconds(6)};
    savory::platform::StartCall(
        this->loop, this->connections, request,
        [this, id](const savory::platform::CallerAnswer& answer) {
          this->record.Line("client: " + id + " gets " + std::to_string(answer.status));
          if (answer.state == savory::platform::AnswerState::kComplete && answer.status == 200) {
            ++this->served;
          }
        });
  }

  int Judge() {
    int ended = 0;
    for (int i = 0; i < kEngines; ++i) {
      this->record.Summary(AgentName(i) + ": killed " + std::to_string(this->ends[i]) +
                           " times for its memory, peak " + std::to_string(this->peaks[i]) +
                           " kB of " + std::to_string(kMemoryKb) + "; its engine sent " +
                           std::to_string(this->engines[i]->EndlessReports()) +
                           " reports without end");
      if (this->ends[i] >= kEndsOfFault) ++ended;
    }
    this->record.Summary("requests served: " + std::to_string(this->served) + " of " +
                         std::to_string(this->sent));
    const bool ran = this->served > 0 && this->peaks[kEngines - 1] > 0;
    if (!ran) return kNotRun;
    const bool broken = ended >= 2;
    this->record.Summary(broken ? "BROKEN: Fault" : "HELD: Fault");
    return broken ? kBroken : kHeld;
  }

  Record record;
  TemporaryFolder folder;
  Addresses addresses;
  const int store_port = this->addresses.FreePort(20);
  const int callers_port = this->addresses.FreePort(20);
  const int ready_port = this->addresses.FreePort(20);
  const int engine_port = this->addresses.FreePort(20);
  const int peer_port = this->addresses.FreePort(20);
  const int metrics_port = this->addresses.FreePort(20);  // the one after `peer_port`
  const std::string store_address = this->addresses.At(8, this->store_port);
  Processes processes{this->folder.Path()};
  savory::EventLoop loop;
  savory::Metrics metrics;
  savory::HttpConnectionPool connections{this->loop, this->metrics, {.max_idle_connections = 0}};
  savory::platform::StoreStandin store{this->loop, {.address = this->store_address}};
  std::vector<std::unique_ptr<Engine>> engines = {};
  int ends[kEngines] = {};
  std::int64_t peaks[kEngines] = {};
  int sent = 0;
  int served = 0;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return review::kNotRun;
  signal(SIGPIPE, SIG_IGN);
  return review::Case(argv[1]).Run();
}
