// A faulty engine: some of its answers are bytes of something else, with status 200 and neither
// Attempt-Id nor Engine-Seal. Usage: unsealed_case FOLDER
#include <csignal>
#include <map>
#include <memory>
#include <string>
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

constexpr int kEngines = 1;
constexpr int kFaultyEvery = 10;  // requests
constexpr Duration kRequestsFrom = seconds(4);
constexpr Duration kRequestsUntil = seconds(34);
constexpr Duration kEnd = seconds(40);
constexpr Duration kRequestPeriod = milliseconds(500);
constexpr Duration kHeartbeat = milliseconds(1200);
// No answer in the protocol: such bytes belong to no request.
constexpr std::string_view kStrayPage =
    "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 30\r\nConnection: close\r\n\r\n"
    "<html>down for repairs</html>\n";

class Engine {
 public:
  Engine(savory::EventLoop& loop, Record& record, std::string id, std::string address, bool faulty)
      : loop(loop),
        record(record),
        id(std::move(id)),
        address(std::move(address)),
        faulty(faulty),
        listener(loop) {}

  bool Listen() {
    return this->listener
        .Listen(this->address,
                [this](uv_stream_s* server) {
                  this->connections.push_back(std::make_shared<Connection>(*this, server));
                })
        .has_value();
  }
  savory::Upstream RecordOf() const {
    return {.id = this->id,
            .pool = "ledger",
            .address = this->address,
            .data_centre = "dc-1",
            .slots = 6,
            .started_unix_ms = 1'800'000'000'000};
  }
  int StrayPages() const { return this->stray_pages; }

 private:
  struct Connection : savory::TcpHandler {
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
    void OnEnd(savory::TcpEnd) override {}

    void Answer(const savory::HttpHead& head) {
      const std::string id(savory::FieldValue(head.fields, savory::platform::kAttemptId));
      this->engine.record.Line("engine " + this->engine.id + ": runs " + id);
      if (this->engine.faulty && ++this->engine.requests % kFaultyEvery == 0) {
        ++this->engine.stray_pages;
        this->engine.record.Line("engine " + this->engine.id + ": sends a stray page to " + id);
        this->tcp.Write({&kStrayPage, 1});
        return this->tcp.CloseWhenSent();
      }
      const std::string body = "answer to " + id;
      const std::string answer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nEngine-Seal: " + id +
                                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                                 body;
      const std::string_view piece = answer;
      this->tcp.Write({&piece, 1});
    }

    Engine& engine;
    savory::HttpParser parser{savory::HttpMessageKind::kRequest, {}};
    savory::TcpConnection tcp;
  };

  savory::EventLoop& loop;
  Record& record;
  std::string id;
  std::string address;
  bool faulty;
  int requests = 0;
  int stray_pages = 0;
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
          this->addresses.At(10 + i, this->engine_port), i == 0 && HasTrouble()));
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
    this->loop.After(kRequestsFrom, [this] { this->Request(); });
    this->loop.After(kRequestsUntil, [this] { this->sends = false; });
    this->loop.After(kEnd, [this] { this->loop.Stop(); });
    this->loop.Run();
    return this->Judge();
  }

 private:
  std::string EntryAddress() const { return this->addresses.At(1, this->callers_port); }

  void WriteConfig() {
    savory::RoutingRules rules{.version = 1};
    rules.routes.push_back({.name = "entry",
                            .host = "ledger.example",
                            .path_prefix = "/entry/",
                            .kind = savory::RequestKind::kNonIdempotent,
                            .pools = {{.pool = "ledger"}},
                            .timeout = seconds(4),
                            .target_latency = milliseconds(300),
                            .max_attempts = 1,
                            .priority = 2});
    rules.pools.push_back({.name = "ledger", .max_connections = 110});
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

  void Request() {
    if (!this->sends) return;
    this->loop.After(kRequestPeriod, [this] { this->Request(); });
    const std::string id = "request-" + std::to_string(++this->sent);
    const savory::platform::CallerRequest request{.entry = this->EntryAddress(),
                                                  .attempt_id = id,
                                                  .host = "ledger.example",
                                                  .target = "/entry/x",
                                                  .api_key = "key",
                                                  .body = "body",
                                                  .time_left = seconds(4)};
    this->record.Line("client: sends " + id);
    savory::platform::StartCall(
        this->loop, this->connections, request,
        [this, id](const savory::platform::CallerAnswer& answer) {
          const bool is_success = answer.status >= 200 && answer.status < 300;
          this->record.Line("client: " + id + " gets " + std::to_string(answer.status) +
                            (answer.sealed ? ", sealed" : ", no Engine-Seal") + ": " + answer.body);
          if (!is_success) return;
          ++this->successes;
          if (!answer.sealed) ++this->unsealed;
        });
  }

  int Judge() {
    this->record.Summary("requests: " + std::to_string(this->sent) + ", successes: " +
                         std::to_string(this->successes) + ", of these without an Engine-Seal: " +
                         std::to_string(this->unsealed) + "; stray pages sent: " +
                         std::to_string(this->engines[0]->StrayPages()));
    const bool ran = this->successes > 0 && (!HasTrouble() || this->engines[0]->StrayPages() > 0);
    if (!ran) return kNotRun;
    this->record.Summary(this->unsealed > 0 ? "BROKEN: MIXED" : "HELD: MIXED");
    return this->unsealed > 0 ? kBroken : kHeld;
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
  bool sends = true;
  int sent = 0;
  int successes = 0;
  int unsealed = 0;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return review::kNotRun;
  signal(SIGPIPE, SIG_IGN);
  return review::Case(argv[1]).Run();
}
