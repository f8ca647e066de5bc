// Power fails everywhere; when the machines are back, entries of another writer, with fields missing,
// lie beside those of the engines. Usage: writer_case FOLDER
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "base/metrics.h"
#include "platform/testing/caller_standin.h"
#include "platform/testing/engine_standin.h"
#include "platform/testing/origin_standin.h"
#include "platform/testing/query.h"
#include "platform/testing/record_writer.h"
#include "platform/testing/store_standin.h"
#include "platform/wire_json.h"
#include "platform/wire_names.h"
#include "review/common-2/harness.h"
#include "runtime/async_http_server.h"
#include "runtime/event_loop.h"
#include "runtime/http_connection_pool.h"

namespace review {
namespace {

using savory::Duration;
using savory::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 2;
constexpr int kEngines = 3;
constexpr std::uint64_t kVersion = 2;
constexpr std::uint32_t kChunks = 48;
constexpr std::uint32_t kChunkBytes = 49152;
constexpr Duration kStartTime = seconds(6);      // traffic before the fault begins after this
constexpr Duration kFaultAt = seconds(14);       // loss of power
constexpr Duration kDownTime = milliseconds(1300);
constexpr Duration kStrayAfter = seconds(5);      // entries of another writer, from the return on
constexpr Duration kRecovery = seconds(12);      // recoveryS
constexpr Duration kJudged = seconds(15);        // requests after that
constexpr Duration kRequestPeriod = milliseconds(100);
constexpr Duration kHeartbeat = milliseconds(1200);

// Serves the digest lists and pieces of weights.
class Origin {
 public:
  Origin(savory::EventLoop& loop, const std::string& address,
         const savory::platform::OriginStandin& weights)
      : loop(loop), address(address), weights(weights) {}

  bool Listen() { return this->server.Listen(this->address).has_value(); }

 private:
  void Serve(savory::HttpExchange& call) {
    const savory::platform::Query query(call.Head().target);
    const std::uint64_t version = query.Has("version") ? query.Number("version") : kVersion;
    if (version != kVersion && version + 1 != kVersion) return call.Answer(404, {}, "");
    if (query.Path().starts_with(savory::platform::kManifestPath)) {
      return this->AnswerList(call, version);
    }
    if (!query.Path().starts_with(savory::platform::kChunkPath)) return call.Answer(404, {}, "");
    const auto piece = static_cast<std::uint32_t>(query.Number("itemCount"));
    call.Answer(200, {}, this->weights.ChunkContent(version, piece));
  }

  void AnswerList(savory::HttpExchange& call, std::uint64_t version) {
    savory::platform::Json body = {{"model", "m"},
                                   {"version", version},
                                   {"chunkBytes", kChunkBytes},
                                   {"layers", 8},
                                   {"digests", savory::platform::Json::array()}};
    for (std::uint32_t i = 0; i < kChunks; ++i) {
      body["digests"].push_back(this->weights.ChunkDigest(version, i).Hex());
    }
    call.Answer(200, {}, body.dump());
  }

  savory::EventLoop& loop;
  std::string address;
  const savory::platform::OriginStandin& weights;
  savory::AsyncHttpServer server{
      this->loop, {}, [this](const savory::SharedExchange& call) { this->Serve(*call); }};
};

struct Counts {
  int sent = 0;
  int served = 0;
};

class Case : public savory::platform::EngineObserver {
 public:
  explicit Case(const std::string& folder) : record(folder + "/record.txt") {}

  int Run() {
    if (!this->store.Listen() || !this->origin.Listen()) return kNotRun;
    this->WriteConfig();
    this->store.Put(savory::platform::WeightsKey("m"),
                    savory::platform::EncodeWeightsWanted("m", kVersion));
    if (!this->StartEngines(kVersion) || !this->StartMachines()) return kNotRun;
    this->loop.Every(kHeartbeat, [this] { this->WriteEngines(); });
    this->loop.After(kStartTime, [this] { this->Request(&this->before); });
    this->loop.After(kFaultAt, [this] { this->LosePower(); });
    this->loop.After(seconds(100), [this] { this->loop.Stop(); });
    this->loop.Run();
    return this->Judge();
  }

  void OnArrived(const savory::platform::ArrivedRequest&) override {}
  void OnRun(const savory::platform::ArrivedRequest& request) override {
    this->record.Line("engine " + request.upstream + ": runs " + request.attempt_id);
  }
  void OnRunEnded(std::string_view) override {}
  void OnLoad(std::string_view upstream, std::uint64_t version, bool complete) override {
    this->record.Line("engine " + std::string(upstream) + ": takes version " +
                      std::to_string(version) + (complete ? "" : ", not all pieces are right"));
  }

 private:
  static int EngineHost(int engine) { return 10 + engine; }

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
    rules.origin = savory::WeightsOrigin{
        .address = this->origin_address, .data_centre = "dc-1", .bytes_per_second = 15e6 / 8};
    this->store.Put(savory::platform::ConfigKey(), savory::platform::EncodeConfig(rules));
  }

  savory::Upstream RecordOf(int engine) const {
    const std::uint64_t version =
        this->engines[engine] ? this->engines[engine]->WeightsVersion() : 0;
    return {.id = "i-" + std::to_string(this->start) + "-" + std::to_string(engine),
            .pool = "chat",
            .address = this->addresses.At(EngineHost(engine), this->engine_port),
            .data_centre = "dc-1",
            .slots = 16,
            .started_unix_ms = 1'800'000'000'000 + this->start * 60'000,
            .weights_version = version,
            .is_engine = true};
  }

  // Engines begin with `version` loaded and staged; 0: they hold nothing.
  bool StartEngines(std::uint64_t version) {
    ++this->start;
    for (int i = 0; i < kEngines; ++i) {
      savory::Upstream upstream = this->RecordOf(i);
      upstream.weights_version = version;
      this->engines[i] = std::make_unique<savory::platform::EngineStandin>(
          this->loop, *this,
          savory::platform::EngineStandinOptions{
              .upstream = upstream, .origin = &this->weights, .work_time = milliseconds(60)});
      for (std::uint32_t piece = 0; version > 0 && piece < kChunks; ++piece) {
        this->engines[i]->Staged()[piece] = this->weights.ChunkContent(version, piece);
      }
      if (!this->engines[i]->Listen()) return false;
    }
    this->WriteEngines();
    return true;
  }

  void WriteEngines() {
    for (int i = 0; i < kEngines; ++i) {
      if (!this->engines[i]) continue;
      const savory::Upstream upstream = this->RecordOf(i);
      this->store.Put(savory::platform::UpstreamKey(upstream.id),
                      savory::platform::EncodeUpstream(upstream));
    }
  }

  // Entries of another writer: `zone`, `slots`, `seqNum`, `models` and `layers` are missing.
  void WriteStrayEntries() {
    for (int i = 0; i < kEngines; ++i) {
      const savory::Upstream engine = this->RecordOf(i);
      const std::string key = savory::platform::UpstreamKey("monitor-" + std::to_string(i + 1));
      const savory::platform::Json entry = {{"service", engine.pool},
                                            {"address", engine.address},
                                            {"state", "ready"},
                                            {"born", engine.started_unix_ms + 5'000}};
      this->store.Put(key, entry.dump());
      this->record.Line("another writer: writes " + key + " " + entry.dump());
    }
  }

  bool StartMachines() {
    for (int i = 0; i < kEntries; ++i) {
      EntrySettings settings{.name = "edge-" + std::to_string(i + 1),
                             .callers = this->EntryAddress(i),
                             .ready = this->addresses.At(i + 1, this->ready_port),
                             .host = this->addresses.Host(i + 1),
                             .peer_port = this->peer_port,
                             .store = this->store_address};
      for (int other = 0; other < kEntries; ++other) {
        settings.seeds.push_back(this->addresses.At(other + 1, this->peer_port));
      }
      if (!this->processes.Start(settings.name, "savoryrouter-platform-entry", Render(settings))) {
        return false;
      }
    }
    for (int i = 0; i < kEngines; ++i) {
      const AgentSettings settings{
          .name = "side-" + std::to_string(i + 1),
          .host = this->addresses.Host(EngineHost(i)),
          .peer_port = this->peer_port,
          .engine = this->addresses.At(EngineHost(i), this->engine_port)};
      if (!this->processes.Start(settings.name, "savoryrouter-platform-agent", Render(settings))) {
        return false;
      }
    }
    this->record.Line("all machines have started");
    return true;
  }

  std::string EntryAddress(int entry) const {
    return this->addresses.At(entry + 1, this->callers_port);
  }

  void LosePower() {
    this->counted = nullptr;
    for (int i = 0; i < kEntries; ++i) this->processes.Kill("edge-" + std::to_string(i + 1));
    for (int i = 0; i < kEngines; ++i) {
      this->processes.Kill("side-" + std::to_string(i + 1));
      const std::string key = savory::platform::UpstreamKey(this->RecordOf(i).id);
      this->engines[i].reset();
      // The entry expires after three silent intervals.
      this->loop.After(3 * kHeartbeat, [this, key] { this->store.Remove(key); });
    }
    this->record.Line("all machines and engines lose power");
    this->loop.After(kDownTime, [this] { this->Return(); });
  }

  void Return() {
    this->failed = !this->StartEngines(0) || !this->StartMachines();
    if (this->failed) return this->loop.Stop();
    this->record.Line("power is back; engines hold nothing");
    if (HasTrouble()) this->loop.After(kStrayAfter, [this] { this->WriteStrayEntries(); });
    this->counted = &this->recovering;
    this->loop.After(kRecovery, [this] {
      this->record.Line("recoveryS is over: requests sent from now on are judged");
      this->counted = &this->after;
    });
    this->loop.After(kRecovery + kJudged, [this] { this->counted = nullptr; });
    this->loop.After(kRecovery + kJudged + seconds(7), [this] { this->loop.Stop(); });
  }

  // Sends a request now and the next ones at `kRequestPeriod`, to the entries in turn.
  void Request(Counts* counts) {
    if (counts != nullptr) this->counted = counts;
    this->loop.After(kRequestPeriod, [this] { this->Request(nullptr); });
    if (this->counted == nullptr) return;
    Counts* const to = this->counted;
    const int number = ++this->requests;
    const std::string id = "request-" + std::to_string(number);
    ++to->sent;
    const savory::platform::CallerRequest request{.entry = this->EntryAddress(number % kEntries),
                                                  .attempt_id = id,
                                                  .host = "chat.example",
                                                  .target = "/chat/x",
                                                  .api_key = "key",
                                                  .body = "body of " + id,
                                                  .time_left = seconds(6)};
    this->record.Line("client: sends " + id + " to " + request.entry);
    savory::platform::StartCall(
        this->loop, this->connections, request,
        [this, to, id](const savory::platform::CallerAnswer& answer) {
          const bool served = answer.state == savory::platform::AnswerState::kComplete &&
                              answer.status == 200 && answer.sealed;
          if (served) ++to->served;
          this->record.Line("client: " + id + " gets " + std::to_string(answer.status) +
                            (served ? ", whole" : ""));
        });
  }

  int Judge() {
    const auto say = [this](std::string_view when, const Counts& counts) {
      this->record.Summary(std::string(when) + ": " + std::to_string(counts.served) + " of " +
                           std::to_string(counts.sent) + " requests served");
    };
    say("before the loss of power", this->before);
    say("within recoveryS of the return", this->recovering);
    say("later", this->after);
    const bool ran = !this->failed && this->before.sent > 0 &&
                     this->before.served * 4 >= this->before.sent && this->after.sent > 0;
    if (!ran) {
      this->record.Summary("NOT RUN: nothing to compare with");
      return kNotRun;
    }
    const bool broken = this->after.served * 4 < this->after.sent;
    this->record.Summary(broken ? "BROKEN: RECOVER" : "HELD: RECOVER");
    return broken ? kBroken : kHeld;
  }

  Record record;
  TemporaryFolder folder;
  Addresses addresses;
  const int store_port = this->addresses.FreePort(20);
  const int origin_port = this->addresses.FreePort(20);
  const int callers_port = this->addresses.FreePort(20);
  const int ready_port = this->addresses.FreePort(20);
  const int engine_port = this->addresses.FreePort(20);
  const int peer_port = this->addresses.FreePort(20);
  const int metrics_port = this->addresses.FreePort(20);  // the one after `peer_port`
  const std::string store_address = this->addresses.At(8, this->store_port);
  const std::string origin_address = this->addresses.At(9, this->origin_port);
  Processes processes{this->folder.Path()};
  savory::EventLoop loop;
  savory::Metrics metrics;
  savory::HttpConnectionPool connections{this->loop, this->metrics, {.max_idle_connections = 0}};
  savory::platform::StoreStandin store{this->loop, {.address = this->store_address}};
  savory::platform::OriginStandin weights{
      this->loop,
      {.address = this->origin_address, .chunks = kChunks, .chunk_bytes = kChunkBytes}};
  Origin origin{this->loop, this->origin_address, this->weights};
  std::unique_ptr<savory::platform::EngineStandin> engines[kEngines];
  int start = 0;
  int requests = 0;
  bool failed = false;
  Counts* counted = nullptr;
  Counts before;
  Counts recovering;
  Counts after;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 2) return review::kNotRun;
  signal(SIGPIPE, SIG_IGN);
  return review::Case(argv[1]).Run();
}
