#include "runtime/kv_connection.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "runtime/http_client.h"

namespace savory {
namespace {

using nlohmann::json;

std::uint64_t VersionOf(const HttpAnswer& answer) {
  const std::string_view text = HeaderValue(answer.headers, "X-Version");
  std::uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

Error UnexpectedStatus(int status) {
  return Error{.kind = ErrorKind::kUnavailable,
               .detail = "the key-value service answered " + std::to_string(status)};
}

// A write whose connection failed may have taken effect; one that was never
// sent has not.
Error WriteError(const Error& error) {
  if (error.kind == ErrorKind::kUnavailable) return error;
  return Error{.kind = ErrorKind::kWriteOutcomeUnknown, .detail = error.detail};
}

}  // namespace

struct KvConnection::Impl {
  HttpClient client;
  Duration timeout;

  BlockingHttpCall MakeCall(std::string method, std::string target, std::string body = {}) const {
    return BlockingHttpCall{.method = std::move(method),
                            .target = std::move(target),
                            .body = std::move(body),
                            .connect_timeout = this->timeout,
                            .read_timeout = this->timeout};
  }

  Result<std::optional<KvValue>> ReadValue(const BlockingHttpCall& call) {
    BOOST_OUTCOME_TRY(answer, this->client.Call(call));
    if (answer.status == 404 || answer.status == 304) return std::optional<KvValue>();
    if (answer.status != 200) return UnexpectedStatus(answer.status);
    return std::optional(KvValue{.bytes = answer.body, .version = VersionOf(answer)});
  }

  Result<HttpAnswer> Write(const BlockingHttpCall& call) {
    auto answer = this->client.Call(call);
    if (!answer) return WriteError(answer.error());
    // The service, or a proxy in front of it, can answer 5xx after the write took effect.
    if (answer.value().status >= 500) {
      return WriteError(Error{.kind = ErrorKind::kTimeout,
                              .detail = UnexpectedStatus(answer.value().status).detail});
    }
    return answer;
  }
};

KvConnection::KvConnection(std::string address, Duration timeout)
    : impl(std::make_unique<Impl>(
          Impl{.client = HttpClient(std::move(address)), .timeout = timeout})) {}
KvConnection::~KvConnection() = default;

Result<std::optional<KvValue>> KvConnection::Read(std::string_view key) {
  return this->impl->ReadValue(this->impl->MakeCall("GET", "/kv/" + std::string(key)));
}

Result<std::optional<KvValue>> KvConnection::Watch(std::string_view key, std::uint64_t after,
                                                   Duration wait) {
  BlockingHttpCall call =
      this->impl->MakeCall("GET", "/kv/" + std::string(key) + "?after=" + std::to_string(after) +
                                      "&wait_ms=" + std::to_string(ToMillis(wait)));
  call.read_timeout = wait + this->impl->timeout;
  return this->impl->ReadValue(call);
}

Result<KvSwap> KvConnection::CompareAndSwap(std::string_view key, std::string_view bytes,
                                            std::uint64_t expected) {
  BlockingHttpCall call =
      this->impl->MakeCall("PUT", "/kv/" + std::string(key), std::string(bytes));
  call.headers.emplace("If-Version", std::to_string(expected));
  BOOST_OUTCOME_TRY(answer, this->impl->Write(call));
  if (answer.status != 200 && answer.status != 409) return UnexpectedStatus(answer.status);
  return KvSwap{.written = answer.status == 200, .version = VersionOf(answer)};
}

Result<std::uint64_t> KvConnection::AcquireLease(std::string_view name, std::string_view holder,
                                                 Duration ttl) {
  const json body = {{"holder", holder}, {"ttl_ms", ToMillis(ttl)}};
  BOOST_OUTCOME_TRY(answer, this->impl->Write(this->impl->MakeCall(
                                "POST", "/lease/" + std::string(name), body.dump())));
  if (answer.status == 409) return Error{.kind = ErrorKind::kLeaseHeld};
  const json reply = json::parse(answer.body, nullptr, false);
  if (answer.status != 200 || !reply.is_object() || !reply.contains("fence")) {
    return UnexpectedStatus(answer.status);
  }
  return reply.value("fence", std::uint64_t{0});
}

Result<void> KvConnection::RenewLease(std::string_view name, std::string_view holder,
                                      std::uint64_t fence, Duration ttl) {
  const json body = {{"holder", holder}, {"fence", fence}, {"ttl_ms", ToMillis(ttl)}};
  BOOST_OUTCOME_TRY(answer, this->impl->Write(this->impl->MakeCall(
                                "PUT", "/lease/" + std::string(name), body.dump())));
  if (answer.status == 200) return success();
  if (answer.status == 409 || answer.status == 404) return Error{.kind = ErrorKind::kLeaseLost};
  return UnexpectedStatus(answer.status);
}

Result<void> KvConnection::ReleaseLease(std::string_view name, std::string_view holder,
                                        std::uint64_t fence) {
  const std::string target = "/lease/" + std::string(name) + "?holder=" + std::string(holder) +
                             "&fence=" + std::to_string(fence);
  BOOST_OUTCOME_TRY(answer, this->impl->Write(this->impl->MakeCall("DELETE", target)));
  if (answer.status == 200) return success();
  if (answer.status == 409 || answer.status == 404) return Error{.kind = ErrorKind::kLeaseLost};
  return UnexpectedStatus(answer.status);
}

}  // namespace savory
