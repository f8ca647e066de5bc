#include "gate/upstream_call.h"

#include <utility>

#include "runtime/http_client.h"

namespace savory {

UpstreamCall::UpstreamCall(std::unique_ptr<HttpClient> client, BlockingHttpCall call,
                           UpstreamCallListener listener)
    : client(std::move(client)), call(std::move(call)), listener(std::move(listener)) {}

UpstreamCall::~UpstreamCall() = default;

void UpstreamCall::Run() {
  if (this->cancelled.load()) {
    this->listener.on_end(CallResult::kCancelled);
    return;
  }
  const HttpStream stream = {.on_head =
                                 [this](const HttpAnswer& head) {
                                   if (this->cancelled.load()) return false;
                                   this->listener.on_head(head);
                                   return true;
                                 },
                             .on_part =
                                 [this](std::span<const std::byte> part) {
                                   if (this->cancelled.load()) return false;
                                   this->listener.on_part({part.begin(), part.end()});
                                   return true;
                                 }};
  const Result<HttpAnswer> answer = this->client->Call(this->call, stream);
  if (answer.has_value()) {
    this->listener.on_end(CallResult::kComplete);
    return;
  }
  if (answer.error().kind == ErrorKind::kUnavailable) {
    this->listener.on_end(CallResult::kNotSent);
    return;
  }
  this->listener.on_end(this->cancelled.load() ? CallResult::kCancelled : CallResult::kBroken);
}

void UpstreamCall::Cancel() {
  this->cancelled.store(true);
  this->client->Cancel();
}

std::unique_ptr<HttpClient> UpstreamCall::TakeClient() { return std::move(this->client); }

}  // namespace savory
