#include "apps/request_load.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "runtime/http_client.h"

namespace savory {
namespace {

constexpr Duration kCallerTimeout = std::chrono::seconds(40);
constexpr Duration kRetryDelay = std::chrono::seconds(2);
constexpr int kMaxConnectAttempts = 5;
constexpr Duration kMaxIdleTime = std::chrono::seconds(2);
constexpr Duration kDirectCallInterval = std::chrono::milliseconds(20);

ReportedOutcome ParseOutcome(std::string_view name) {
  if (name == "answered") return ReportedOutcome::kAnswered;
  if (name == "not-run" || name == "refused-by-limit") return ReportedOutcome::kNotRun;
  if (name == "rejected") return ReportedOutcome::kRejected;
  return ReportedOutcome::kUnknown;
}

BlockingHttpCall MakeCall(const RequestRecord& request) {
  BlockingHttpCall call = {
      .method = "POST",
      .target = (request.non_idempotent ? "/book?k=" : "/read?k=") + request.key,
      .headers = {{"X-Account", request.account}},
      .body = request.key,
      .read_timeout = kCallerTimeout};
  if (request.poison) {
    call.target = "/read?k=poison";
    call.body = "poison";
  }
  if (request.stream_parts > 0) {
    call.target += "&parts=" + std::to_string(request.stream_parts) +
                   "&part_ms=" + std::to_string(request.part_ms);
  }
  if (request.keyed) call.headers.emplace("Idempotency-Key", request.key);
  return call;
}

bool IsAnswerTo(const RequestRecord& request, const HttpAnswer& answer) {
  if (request.stream_parts > 0) {
    std::string expected;
    for (int i = 0; i < request.stream_parts; ++i) {
      expected += request.key + " " + std::to_string(i) + "\n";
    }
    return answer.status == 200 && answer.body == expected;
  }
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  return answer.status == 200 && body.is_object() && body.value("key", "") == request.key &&
         body.value("body", "") == request.key &&
         body.value("target", "") == MakeCall(request).target;
}

}  // namespace

RequestLoad::RequestLoad(std::function<std::string()> choose_entry, bool keep_alive)
    : choose_entry(std::move(choose_entry)), keep_alive(keep_alive) {}

void RequestLoad::Run(const std::vector<LoadSource>& sources, Duration length) {
  this->start = MonotonicClock::now();
  std::vector<std::atomic<int>> next(sources.size());
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < sources.size(); ++i) {
    for (int caller = 0; caller < sources[i].callers; ++caller) {
      callers.emplace_back([this, &sources, &next, i, end = this->start + length] {
        this->RunCaller(sources[i], static_cast<int>(i), next[i], end);
      });
    }
  }
  for (std::thread& caller : callers) caller.join();
  this->ended.store(true);
}

void RequestLoad::RunCaller(const LoadSource& source, int source_index, std::atomic<int>& next,
                            Instant end) {
  // Connections by entry address; a load balancer keeps connections to every entry.
  std::map<std::string, PersistentClient> clients;
  while (true) {
    const int number = next.fetch_add(1);
    const Instant send_at = this->start + FromSeconds(number / source.rate);
    if (send_at >= end) return;
    std::this_thread::sleep_for(send_at - MonotonicClock::now());
    // The fractional parts of the multiples of the golden ratio spread the non-idempotent and the
    // keyed requests evenly over the sequence.
    const double spread = number * 0.6180339887 - static_cast<int>(number * 0.6180339887);
    RequestRecord request = {
        .key = source.account + "-" + std::to_string(source_index) + "-" + std::to_string(number),
        .account = source.account,
        .poison = source.poison,
        .stream_parts = source.stream_parts,
        .part_ms = source.part_ms};
    request.non_idempotent = spread < source.non_idempotent;
    request.keyed = spread < source.non_idempotent * source.keyed;
    request = this->Send(std::move(request), clients);
    const bool should_retry = request.keyed && (request.outcome == ReportedOutcome::kUnknown ||
                                                request.outcome == ReportedOutcome::kNoAnswer);
    this->AddRecord(request);
    if (!should_retry) continue;
    std::this_thread::sleep_for(kRetryDelay);
    request.is_retry = true;
    this->AddRecord(this->Send(std::move(request), clients));
  }
}

RequestRecord RequestLoad::Send(RequestRecord request,
                                std::map<std::string, PersistentClient>& clients) {
  request.sent = MonotonicClock::now();
  request.outcome = ReportedOutcome::kNoAnswer;
  request.error.clear();
  for (int attempt = 0; attempt < kMaxConnectAttempts; ++attempt) {
    const std::string address = this->choose_entry();
    PersistentClient& persistent = clients[address];
    const bool reconnect = !this->keep_alive || persistent.client == nullptr ||
                           request.sent - persistent.last_used > kMaxIdleTime;
    if (reconnect) {
      persistent.client = std::make_unique<HttpClient>(address);
    }
    const auto answer = persistent.client->Call(MakeCall(request));
    persistent.last_used = MonotonicClock::now();
    if (!answer.has_value()) persistent.client.reset();
    request.ended = MonotonicClock::now();
    request.millis = ToSeconds(request.ended - request.sent) * 1e3;
    if (answer.has_value()) {
      request.outcome = ParseOutcome(HeaderValue(answer.value().headers, "X-Savoryrouter-Outcome"));
      const auto body = nlohmann::json::parse(answer.value().body, nullptr, false);
      if (body.is_object()) request.error = body.value("error", "");
      const bool answered = request.outcome == ReportedOutcome::kAnswered && request.error.empty();
      request.wrong_answer = answered && !IsAnswerTo(request, answer.value());
      return request;
    }
    request.error = answer.error().detail;
    // Without a connection the request was certainly not sent, so it may go to the next entry, as a
    // load balancer would do.
    if (answer.error().kind != ErrorKind::kUnavailable) return request;
  }
  return request;
}

void RequestLoad::AddRecord(RequestRecord request) {
  const std::scoped_lock lock(this->mutex);
  this->records.push_back(std::move(request));
}

void RequestLoad::MeasureDirectCalls(const std::vector<std::string>& services) {
  std::vector<HttpClient> clients;
  clients.reserve(services.size());
  for (const std::string& service : services) clients.emplace_back(service);
  for (std::size_t i = 0; !this->ended.load(); ++i) {
    const std::string key = "direct-" + std::to_string(i);
    const Instant sent = MonotonicClock::now();
    const auto answer =
        HttpClient(services[i % services.size()])
            .Call(MakeCall({.key = key, .account = "direct", .non_idempotent = true}));
    const double millis = ToSeconds(MonotonicClock::now() - sent) * 1e3;
    if (answer.has_value()) this->direct_millis.push_back(millis);
    std::this_thread::sleep_for(kDirectCallInterval);
  }
}

double QuantileOf(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

}  // namespace savory
