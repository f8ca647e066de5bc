#include "standins/engine.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "base/digest.h"
#include "base/error.h"
#include "standins/crash_restart.h"
#include "standins/engine_loader.h"
#include "standins/engine_memory.h"
#include "standins/standin_server.h"

namespace savory::standins {
namespace {

using nlohmann::json;

constexpr int kDefaultParts = 4;
constexpr std::size_t kPrefixDigits = 16;  // hexadecimal digits of the digest in each part
constexpr std::size_t kMaxTokens = 200'000;

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

void SleepMs(int ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Times until which a load may begin; 0: not named.
struct LoadLimits {
  int deadline_ms = 0;  // counted from when the engine has read the order
  std::uint64_t not_after_unix_ms = 0;
};

// A parsed generation request.
struct Prompt {
  std::string text = {};
  std::string token = {};  // echoed in every part
  int parts = kDefaultParts;
  int part_ms = 0;
  int resume_from = 0;
  int priority = 0;
  std::string id = {};
};

int HeaderInteger(const httplib::Request& request, const char* name) {
  return std::atoi(request.get_header_value(name).c_str());
}

// The product does not interpret the body. A body that is no JSON object is the prompt itself.
Prompt ParsePrompt(const httplib::Request& request, int part_ms) {
  Prompt prompt = {.text = request.body, .part_ms = part_ms};
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_object()) {
    prompt.text = body.value("prompt", "");
    prompt.token = body.value("token", "");
    prompt.parts = body.value("parts", prompt.parts);
    prompt.part_ms = body.value("part_ms", prompt.part_ms);
  }
  if (prompt.token.empty()) prompt.token = Sha256(request.body).Hex().substr(0, kPrefixDigits);
  prompt.resume_from = HeaderInteger(request, "X-Resume-From");
  prompt.priority = HeaderInteger(request, "X-Priority");
  prompt.id = request.get_header_value("X-Request-Id");
  return prompt;
}

}  // namespace

// One answer in progress.
struct Answer {
  Prompt prompt;
  std::uint64_t generation = 0;
  bool inconsistent = false;
  std::atomic<bool> cancelled = false;
  std::atomic<bool> running = false;
};

struct Engine::Impl {
  Impl(EngineOptions engine_options, const json& preserved)
      : options(std::move(engine_options)),
        batch(this->options.batch),
        memory(this->options.check_fence),
        incarnation(std::max(UnixMs(), preserved.value("incarnation", std::uint64_t{0}) + 1)),
        stats(preserved.value("stats", json::object())),
        runs(preserved.value("runs", std::map<std::string, std::uint64_t>())) {}

  void Increment(const char* name) {
    const std::lock_guard lock(this->mutex);
    this->stats[name] = this->stats.value(name, std::uint64_t{0}) + 1;
  }

  [[noreturn]] void Crash() {
    this->Increment("crashes");
    const std::lock_guard lock(this->mutex);
    this->AddMemoryStats();
    CrashAndRestart(
        {{"incarnation", this->incarnation}, {"stats", this->stats}, {"runs", this->runs}},
        this->options.restart_ms);
  }

  // Adds the counts of this incarnation's memory to those of earlier ones.
  void AddMemoryStats() {
    this->stats["stale_orders_accepted"] = this->StaleAccepted();
    this->stats["stale_orders_rejected"] = this->StaleRejected();
  }
  std::uint64_t StaleAccepted() const {
    return this->stats.value("stale_orders_accepted", std::uint64_t{0}) +
           this->memory.StaleAccepted();
  }
  std::uint64_t StaleRejected() const {
    return this->stats.value("stale_orders_rejected", std::uint64_t{0}) +
           this->memory.StaleRejected();
  }

  // ---- load orders ----

  // Plays load requests that are read late: their callers may have given them up.
  void SetFault(const httplib::Request& request, httplib::Response& response) {
    const json body = ParseJsonBody(request, response);
    if (body.is_discarded()) return;
    const std::lock_guard lock(this->mutex);
    this->late_loads = body.value("late_loads", this->late_loads);
    this->late_load_ms = body.value("late_load_ms", this->late_load_ms);
    ReplyJson(response, {{"late_loads", this->late_loads}, {"late_load_ms", this->late_load_ms}});
  }

  // Time until the next load request is read.
  int TakeLateness() {
    const std::lock_guard lock(this->mutex);
    if (this->late_loads <= 0) return 0;
    --this->late_loads;
    return this->late_load_ms;
  }

  void AcceptLoadOrder(const httplib::Request& request, httplib::Response& response) {
    SleepMs(this->TakeLateness());
    const json body = ParseJsonBody(request, response);
    if (body.is_discarded()) return;
    const EngineOrder order = {.manifest = body.value("manifest", ""),
                               .fence = body.value("fence", std::uint64_t{0})};
    const auto source = ParseSource(body.value("url", ""), order.manifest);
    if (!source || !ParseDigest(order.manifest)) {
      return ReplyJson(response, {{"error", "manifest or url is malformed"}}, 400);
    }
    std::uint64_t load = 0;
    OrderDecision decision = OrderDecision::kStart;
    {
      const std::lock_guard lock(this->mutex);
      decision = this->memory.Accept(order, load);
    }
    if (decision == OrderDecision::kStaleFence) {
      return ReplyJson(response, {{"error", "old fence"}}, 409);
    }
    ReplyJson(response, json::object(), 202);
    if (decision == OrderDecision::kNothingToDo) return;
    const LoadLimits limits = {
        .deadline_ms = body.value("deadline_ms", 0),
        .not_after_unix_ms = body.value("not_after_unix_ms", std::uint64_t{0})};
    std::thread([this, source = source.value(), load, limits] {
      this->Load(source, load, limits);
    }).detach();
  }

  bool IsExpired(const LoadLimits& limits) const {
    const bool named = this->options.check_not_after && limits.not_after_unix_ms > 0;
    if (named && UnixMs() >= limits.not_after_unix_ms) return true;
    return limits.deadline_ms > 0 && this->options.order_delay_ms > limits.deadline_ms;
  }

  void Load(const WeightsSource& source, std::uint64_t load, const LoadLimits& limits) {
    SleepMs(this->options.order_delay_ms);
    if (this->IsExpired(limits)) {
      this->Increment("orders_expired");
      return this->EndLoad(load, false);
    }
    std::size_t paced_layers = 0;
    const auto pulled =
        PullWeights(source, [this, load, &paced_layers](std::uint64_t bytes, std::uint64_t total) {
          const std::size_t layer =
              total == 0 ? EngineMemory::kLayers : bytes * EngineMemory::kLayers / total;
          for (; paced_layers < layer; ++paced_layers) {
            SleepMs(this->options.load_ms / static_cast<int>(EngineMemory::kLayers));
          }
          const std::lock_guard lock(this->mutex);
          return this->memory.Write(load, std::max<std::size_t>(layer, 1));
        });
    this->Increment(pulled ? "loads" : "load_failures");
    this->EndLoad(load, pulled.has_value(), pulled ? "" : Describe(pulled.error()));
  }

  void EndLoad(std::uint64_t load, bool verified, std::string detail = "") {
    const std::lock_guard lock(this->mutex);
    this->memory.Finish(load, verified);
    this->load_error = std::move(detail);
  }

  // ---- answers ----

  void Generate(const httplib::Request& request, httplib::Response& response) {
    auto answer = std::make_shared<Answer>();
    answer->prompt = ParsePrompt(request, this->options.part_ms);
    const std::string& word = this->options.crash_word;
    if (!word.empty() && answer->prompt.text.find(word) != std::string::npos) this->Crash();
    this->Register(answer);
    const auto is_cancelled = [answer] {
      return answer->cancelled.load() || StandinServer::CallerDisconnected();
    };
    const EngineBatch::Admission admission =
        this->batch.Acquire(answer->prompt.priority, is_cancelled);
    if (admission != EngineBatch::Admission::kRunning) {
      this->Unregister(answer);
      this->Increment(admission == EngineBatch::Admission::kQueueFull ? "refused" : "cancelled");
      return ReplyJson(response, {{"error", "not run"}},
                       admission == EngineBatch::Admission::kQueueFull ? 503 : 499);
    }
    const std::string weights = this->BeginAnswer(*answer);
    if (weights.empty()) {
      this->EndAnswer(answer);
      return ReplyJson(response, {{"error", "no weights"}}, 503);
    }
    response.set_header("X-Weights", weights);
    response.set_header("X-Request-Id", answer->prompt.id);
    response.set_chunked_content_provider(
        "text/plain",
        [this, answer](std::size_t, httplib::DataSink& sink) {
          return this->Stream(*answer, sink);
        },
        [this, answer](bool) { this->EndAnswer(answer); });
  }

  void Register(const std::shared_ptr<Answer>& answer) {
    const std::lock_guard lock(this->mutex);
    this->answers.emplace(answer->prompt.id, answer);
  }

  void Unregister(const std::shared_ptr<Answer>& answer) {
    const std::lock_guard lock(this->mutex);
    const auto [first, last] = this->answers.equal_range(answer->prompt.id);
    for (auto i = first; i != last; ++i) {
      if (i->second != answer) continue;
      this->answers.erase(i);
      return;
    }
  }

  void EndAnswer(const std::shared_ptr<Answer>& answer) {
    this->Unregister(answer);
    this->batch.Release();
  }

  // Returns the weights in use; "" when there are none.
  std::string BeginAnswer(Answer& answer) {
    const std::lock_guard lock(this->mutex);
    answer.generation = this->memory.Generation();
    std::string weights = this->memory.WeightsInUse();
    if (!weights.empty() && this->runs.size() < kMaxTokens) ++this->runs[answer.prompt.token];
    return weights;
  }

  // Formats one part of an answer: number, token and the weights in use.
  std::string FormatPart(Answer& answer, int number) {
    const std::lock_guard lock(this->mutex);
    const std::string weights = this->memory.WeightsInUse();
    answer.inconsistent = answer.inconsistent || weights.size() != 2 * Digest::kSize ||
                          answer.generation != this->memory.Generation();
    return std::to_string(number) + " " + answer.prompt.token + " " +
           weights.substr(0, kPrefixDigits) + "\n";
  }

  bool Stream(Answer& answer, httplib::DataSink& sink) {
    const Prompt& prompt = answer.prompt;
    SleepMs(this->options.first_part_ms);
    bool complete = true;
    for (int i = prompt.resume_from; complete && i < prompt.parts; ++i) {
      if (i > prompt.resume_from) SleepMs(prompt.part_ms);
      const std::string part = this->FormatPart(answer, i);
      complete = !answer.cancelled && sink.write(part.data(), part.size());
    }
    if (answer.inconsistent) this->Increment("bad_serves");
    if (!complete) {
      this->Increment(answer.cancelled ? "cancelled" : "abandoned");
      return false;
    }
    this->Increment("generated");
    sink.done();
    return true;
  }

  void Cancel(const httplib::Request& request, httplib::Response& response) {
    const json body = ParseJsonBody(request, response);
    if (body.is_discarded()) return;
    int found = 0;
    {
      const std::lock_guard lock(this->mutex);
      const auto [first, last] = this->answers.equal_range(body.value("id", ""));
      for (auto i = first; i != last; ++i, ++found) i->second->cancelled = true;
    }
    this->batch.Wake();
    ReplyJson(response, {{"cancelled", found}}, found > 0 ? 200 : 404);
  }

  // ---- status ----

  json State() {
    const BatchLoad load = this->batch.Reported();
    const std::lock_guard lock(this->mutex);
    return {{"incarnation", this->incarnation},  {"loaded", this->memory.Loaded()},
            {"loading", this->memory.Loading()}, {"fence", this->memory.Fence()},
            {"running", load.running},           {"queued", load.queued},
            {"load_error", this->load_error}};
  }

  json Stats() {
    const BatchLoad load = this->batch.Current();
    const std::lock_guard lock(this->mutex);
    json body = this->stats;
    for (const char* name : {"generated", "cancelled", "abandoned", "refused", "loads",
                             "load_failures", "orders_expired", "bad_serves", "crashes"}) {
      if (!body.contains(name)) body[name] = 0;
    }
    body["stale_orders_accepted"] = this->StaleAccepted();
    body["stale_orders_rejected"] = this->StaleRejected();
    body["incarnation"] = this->incarnation;
    body["weights_in_use"] = this->memory.WeightsInUse();
    body["running"] = load.running;
    body["queued"] = load.queued;
    return body;
  }

  json Runs() {
    const std::lock_guard lock(this->mutex);
    return this->runs;
  }

  EngineOptions options;
  EngineBatch batch;
  std::mutex mutex;  // guards the fields below
  EngineMemory memory;
  std::uint64_t incarnation;
  json stats;
  std::string load_error;
  int late_loads = 0;  // the next load requests, each of which is read late
  int late_load_ms = 0;
  std::multimap<std::string, std::shared_ptr<Answer>> answers;
  std::map<std::string, std::uint64_t> runs;
};

Engine::Engine(EngineOptions options, const json& preserved)
    : impl(std::make_unique<Impl>(std::move(options), preserved)) {}
Engine::~Engine() = default;

void Engine::Mount(StandinServer& server) {
  Impl& self = *this->impl;
  server.Post("(/.*)?/v1/generate",
              [&self](const auto& request, auto& response) { self.Generate(request, response); });
  server.Post("/v1/cancel",
              [&self](const auto& request, auto& response) { self.Cancel(request, response); });
  server.Post("/v1/load", [&self](const auto& request, auto& response) {
    self.AcceptLoadOrder(request, response);
  });
  server.Get("/v1/state",
             [&self](const auto&, auto& response) { ReplyJson(response, self.State()); });
  server.Get("/admin/stats",
             [&self](const auto&, auto& response) { ReplyJson(response, self.Stats()); });
  server.Get("/admin/runs",
             [&self](const auto&, auto& response) { ReplyJson(response, self.Runs()); });
  server.Post("/admin/fault",
              [&self](const auto& request, auto& response) { self.SetFault(request, response); });
  server.Post("/admin/crash", [&self](const auto&, auto&) { self.Crash(); });
}

}  // namespace savory::standins
