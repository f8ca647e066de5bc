#include "distribution/weights_server.h"

#include "distribution/manifest.h"
#include "runtime/http_server.h"

namespace savory {
namespace {

constexpr std::string_view kPrefix = "/weights/";
constexpr std::size_t kHexDigits = 2 * Digest::kSize;

HttpReply NotFound() {
  return HttpReply{.status = 404, .body = "{\"error\":\"these weights are not held whole\"}\n"};
}

}  // namespace

void WeightsServer::Mount(HttpServer& server) {
  server.Handle("GET", "/weights/[0-9a-f]{64}",
                [this](const HttpRequest& request) { return this->ServeWeights(request); });
  server.Handle("GET", "/weights/[0-9a-f]{64}/manifest",
                [this](const HttpRequest& request) { return this->ServeManifest(request); });
}

void WeightsServer::Publish(std::span<const WeightsCopy> copies) {
  const std::scoped_lock lock(this->mutex);
  std::map<Digest, std::shared_ptr<const WeightsCopy>> next;
  for (const WeightsCopy& copy : copies) {
    if (!copy.IsComplete()) continue;
    const Digest& id = copy.manifest->Id();
    const auto found = this->complete.find(id);
    next.emplace(id, found != this->complete.end() ? found->second
                                                   : std::make_shared<const WeightsCopy>(copy));
  }
  this->complete = std::move(next);
}

std::shared_ptr<const WeightsCopy> WeightsServer::Find(std::string_view hex) const {
  const Result<Digest> digest = ParseDigest(hex);
  if (!digest) return nullptr;
  const std::scoped_lock lock(this->mutex);
  const auto found = this->complete.find(digest.value());
  return found != this->complete.end() ? found->second : nullptr;
}

HttpReply WeightsServer::ServeWeights(const HttpRequest& request) const {
  const auto copy = this->Find(request.path.substr(kPrefix.size(), kHexDigits));
  if (!copy) return NotFound();
  return HttpReply{.content_type = "application/octet-stream",
                   .stream =
                       [copy](const HttpSink& sink) {
                         for (const SharedChunk& chunk : copy->chunks) {
                           if (!sink(std::span<const std::byte>(*chunk))) return false;
                         }
                         return true;
                       },
                   .stream_length = copy->manifest->Size()};
}

HttpReply WeightsServer::ServeManifest(const HttpRequest& request) const {
  const auto copy = this->Find(request.path.substr(kPrefix.size(), kHexDigits));
  if (!copy) return NotFound();
  return HttpReply{.content_type = "application/octet-stream", .body = copy->manifest->Content()};
}

}  // namespace savory
