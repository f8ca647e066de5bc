// standin-service: stand-in for a plain service whose calls must not be repeated.
#include <map>
#include <mutex>
#include <thread>

#include "base/digest.h"
#include "standins/crash_restart.h"
#include "standins/standin_options.h"
#include "standins/standin_server.h"

namespace savory::standins {
namespace {

constexpr std::size_t kMaxKeyLength = 200;
constexpr int kMaxHoldMs = 120'000;
constexpr int kRestartMs = 500;

// Injected faults; each count is the number of upcoming calls that the fault affects.
struct ServiceFaults {
  int die_before = 0;           // crash before the call runs
  int die_after = 0;            // crash after the call ran, before the answer
  int never_answer = 0;         // run, then never answer
  int never_answer_unrun = 0;   // never answer, without running
  int restart_ms = kRestartMs;  // time from a crash to the next start
};

class Service {
 public:
  Service(int latency_ms, std::string crash_word, const nlohmann::json& preserved)
      : latency_ms(latency_ms), crash_word(std::move(crash_word)) {
    this->runs = preserved.value("runs", this->runs);
    this->crashes = preserved.value("crashes", 0);
    this->total = preserved.value("total", std::uint64_t{0});
    this->faults.die_before = preserved.value("die_before", 0);
    this->faults.die_after = preserved.value("die_after", 0);
  }

  void Mount(StandinServer& server) {
    server.Get("/counts",
               [this](const auto&, auto& response) { ReplyJson(response, this->Counts()); });
    server.Post("/admin/fault", [this](const auto& request, auto& response) {
      const nlohmann::json change = ParseJsonBody(request, response);
      if (!change.is_discarded()) this->SetFaults(change, response);
    });
    const auto call = [this](const httplib::Request& request, httplib::Response& response) {
      this->HandleCall(request, response);
    };
    server.Get(".*", call);
    server.Post(".*", call);
    server.Put(".*", call);
    server.Patch(".*", call);
    server.Delete(".*", call);
  }

 private:
  static std::string KeyOf(const httplib::Request& request) {
    std::string key = request.get_header_value("Idempotency-Key");
    if (!key.empty()) return key;
    if (request.body.size() <= kMaxKeyLength) return request.body;
    return Sha256(request.body).Hex();
  }

  // Uses up one of the `remaining` faults; false when there is none.
  bool TakeFault(int& remaining) {
    const std::lock_guard lock(this->mutex);
    if (remaining <= 0) return false;
    --remaining;
    return true;
  }

  std::uint64_t RecordRun(const std::string& key) {
    const std::lock_guard lock(this->mutex);
    ++this->total;
    return ++this->runs[key];
  }

  void HandleCall(const httplib::Request& request, httplib::Response& response) {
    if (this->TakeFault(this->faults.die_before)) this->Crash();
    if (this->TakeFault(this->faults.never_answer_unrun)) {
      return StandinServer::NeverAnswer(kMaxHoldMs);
    }
    const std::string key = KeyOf(request);
    const std::uint64_t run = this->RecordRun(key);
    if (this->TakeFault(this->faults.die_after) || this->HasCrashWord(request)) this->Crash();
    if (this->TakeFault(this->faults.never_answer)) return StandinServer::NeverAnswer(kMaxHoldMs);
    if (this->latency_ms > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(this->latency_ms));
    }
    if (request.has_param("parts")) return Stream(request, key, response);
    ReplyJson(response, {{"method", request.method},
                         {"target", request.target},
                         {"key", key},
                         {"run", run},
                         {"body", request.body}});
  }

  bool HasCrashWord(const httplib::Request& request) const {
    return !this->crash_word.empty() && request.body.find(this->crash_word) != std::string::npos;
  }

  // Answers "KEY NUMBER" lines, one every `part_ms`.
  static void Stream(const httplib::Request& request, const std::string& key,
                     httplib::Response& response) {
    const int parts = std::atoi(request.get_param_value("parts").c_str());
    const int part_ms = std::atoi(request.get_param_value("part_ms").c_str());
    response.set_chunked_content_provider(
        "text/plain", [parts, part_ms, key](std::size_t, httplib::DataSink& sink) {
          for (int i = 0; i < parts; ++i) {
            const std::string line = key + " " + std::to_string(i) + "\n";
            if (!sink.write(line.data(), line.size())) return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(part_ms));
          }
          sink.done();
          return true;
        });
  }

  [[noreturn]] void Crash() {
    const std::lock_guard lock(this->mutex);
    CrashAndRestart({{"runs", this->runs},
                     {"total", this->total},
                     {"crashes", this->crashes + 1},
                     {"die_before", this->faults.die_before},
                     {"die_after", this->faults.die_after}},
                    this->faults.restart_ms);
  }

  nlohmann::json Counts() {
    const std::lock_guard lock(this->mutex);
    std::uint64_t highest = 0;
    for (const auto& [key, count] : this->runs) highest = std::max(highest, count);
    return {{"counts", this->runs},
            {"total", this->total},
            {"highest", highest},
            {"crashes", this->crashes}};
  }

  void SetFaults(const nlohmann::json& change, httplib::Response& response) {
    const std::lock_guard lock(this->mutex);
    ServiceFaults& faults = this->faults;
    faults.die_before = change.value("die_before", faults.die_before);
    faults.die_after = change.value("die_after", faults.die_after);
    faults.never_answer = change.value("never_answer", faults.never_answer);
    faults.never_answer_unrun = change.value("never_answer_unrun", faults.never_answer_unrun);
    faults.restart_ms = change.value("restart_ms", faults.restart_ms);
    this->latency_ms = change.value("latency_ms", this->latency_ms.load());
    ReplyJson(response, nlohmann::json::object());
  }

  std::atomic<int> latency_ms;
  std::string crash_word;  // bodies with this word crash the service after the run; empty: none
  std::mutex mutex;        // guards the fields below
  std::map<std::string, std::uint64_t> runs;
  std::uint64_t total = 0;
  int crashes = 0;
  ServiceFaults faults;
};

}  // namespace
}  // namespace savory::standins

int main(int argc, char** argv) {
  using savory::standins::StandinServer;
  StandinServer::BlockStopSignals();
  const nlohmann::json preserved = savory::standins::TakePreservedState(argc, argv);
  int latency_ms = 0;
  savory::standins::StandinOptions options("standin-service", "plain service for tests");
  options.Add("latency-ms", latency_ms, "time that a call takes, in milliseconds");
  std::string crash_word;
  options.Add("crash-word", crash_word, "bodies with this word crash the service");
  options.ParseOrExit(argc, argv);
  savory::standins::Service service(latency_ms, crash_word, preserved);
  StandinServer server(options.Listen());
  service.Mount(server);
  server.ServeUntilSignal();
}
