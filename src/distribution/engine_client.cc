#include "distribution/engine_client.h"

#include <nlohmann/json.hpp>

#include "runtime/http_client.h"
#include "runtime/workers.h"

namespace savory {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxStateBytes = std::size_t{256} * 1024;
constexpr Duration kStateTimeout = std::chrono::seconds(1);
constexpr Duration kLoadTimeout = std::chrono::seconds(3);

// Returns a zero digest if the field is absent, null or malformed.
Digest DigestField(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end() || !found->is_string()) return {};
  const Result<Digest> digest = ParseDigest(found->get<std::string>());
  return digest ? digest.value() : Digest{};
}

std::optional<EngineReported> FetchState(HttpClient& client) {
  EngineReported state{.asked = MonotonicClock::now()};
  const auto answer = client.Call(
      {.target = "/v1/state", .read_timeout = kStateTimeout, .max_answer_bytes = kMaxStateBytes});
  if (!answer || answer.value().status != 200) return std::nullopt;
  const json body = json::parse(answer.value().body, nullptr, false);
  if (!body.is_object()) return std::nullopt;
  const auto incarnation = body.find("incarnation");
  if (incarnation != body.end() && incarnation->is_number_unsigned()) {
    state.incarnation = incarnation->get<std::uint64_t>();
  }
  state.loaded = DigestField(body, "loaded");
  state.loading = DigestField(body, "loading");
  return state;
}

std::int64_t UnixMs() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

LoadResponse SendLoad(HttpClient& client, const StartLoad& request, const std::string& address) {
  // Read first: a pause between the two clocks then makes the named time earlier, not later.
  const std::int64_t unix_ms = UnixMs();
  const Instant now = MonotonicClock::now();
  if (now >= request.not_after) return LoadResponse::kNotSent;
  const std::string hex = request.manifest.Hex();
  const json body = {{"manifest", hex},
                     {"url", "http://" + address + "/weights/" + hex},
                     {"fence", request.fence},
                     {"deadline_ms", ToMillis(request.not_after - now)},
                     {"not_after_unix_ms", unix_ms + ToMillis(request.not_after - now)}};
  const auto answer = client.Call({.method = "POST",
                                   .target = "/v1/load",
                                   .body = body.dump(),
                                   .content_type = "application/json",
                                   .read_timeout = kLoadTimeout});
  if (!answer) {
    const bool unsent = answer.error().kind == ErrorKind::kUnavailable;
    return unsent ? LoadResponse::kNotSent : LoadResponse::kUnknown;
  }
  if (answer.value().status == 202) return LoadResponse::kAccepted;
  if (answer.value().status == 409) return LoadResponse::kStaleFence;
  if (answer.value().status / 100 == 4) return LoadResponse::kRefused;
  return LoadResponse::kUnknown;
}

}  // namespace

struct EngineClient::Impl {
  Workers& workers;
  std::string weights_address;
  HttpClient state_client;
  HttpClient load_client;
  bool reading = false;
};

EngineClient::EngineClient(Workers& workers, std::string engine, std::string weights_address)
    : impl(std::make_shared<Impl>(Impl{.workers = workers,
                                       .weights_address = std::move(weights_address),
                                       .state_client = HttpClient(engine),
                                       .load_client = HttpClient(engine)})) {}
EngineClient::~EngineClient() = default;

void EngineClient::ReadState(std::function<void(std::optional<EngineReported>)> done) {
  if (std::exchange(this->impl->reading, true)) return;
  this->impl->workers.RunThen([impl = this->impl] { return FetchState(impl->state_client); },
                              [impl = this->impl, done = std::move(done)](auto state) {
                                impl->reading = false;
                                done(std::move(state));
                              });
}

void EngineClient::Load(const StartLoad& request, std::function<void(LoadResponse)> done) {
  this->impl->workers.RunThen(
      [impl = this->impl, request] {
        return SendLoad(impl->load_client, request, impl->weights_address);
      },
      std::move(done));
}

}  // namespace savory
