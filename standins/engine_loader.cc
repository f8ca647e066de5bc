#include "standins/engine_loader.h"

#include "base/digest.h"
#include "base/sha256_hasher.h"
#include "runtime/http_client.h"
#include "wire/savoryrouter.pb.h"

namespace savory::standins {
namespace {

constexpr std::string_view kScheme = "http://";
constexpr Duration kReadTimeout = std::chrono::seconds(30);

Result<wire::Manifest> ReadManifest(HttpClient& client, const WeightsSource& source) {
  const BlockingHttpCall call = {.target = source.target + "/manifest",
                                 .read_timeout = kReadTimeout};
  BOOST_OUTCOME_TRY(answer, client.Call(call));
  if (answer.status != 200) {
    return Error{.kind = ErrorKind::kNotFound,
                 .detail = "manifest: status " + std::to_string(answer.status)};
  }
  if (Sha256(answer.body).Hex() != source.manifest) {
    return Error{.kind = ErrorKind::kDigestMismatch, .detail = "manifest"};
  }
  wire::Manifest manifest;
  if (!manifest.ParseFromString(answer.body)) {
    return Error{.kind = ErrorKind::kMalformed, .detail = "manifest"};
  }
  return manifest;
}

}  // namespace

Result<WeightsSource> ParseSource(const std::string& url, const std::string& manifest) {
  const std::string rest = url.starts_with(kScheme) ? url.substr(kScheme.size()) : url;
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos || rest.find(':') > slash) {
    return Error{.kind = ErrorKind::kMalformed, .detail = "url: " + url};
  }
  return WeightsSource{
      .address = rest.substr(0, slash), .target = rest.substr(slash), .manifest = manifest};
}

Result<void> PullWeights(const WeightsSource& source, const LoadProgress& progress) {
  HttpClient client(source.address);
  BOOST_OUTCOME_TRY(manifest, ReadManifest(client, source));
  Sha256Hasher hasher;
  std::uint64_t received = 0;
  int status = 0;
  const HttpStream stream = {.on_head =
                                 [&status](const HttpAnswer& head) {
                                   status = head.status;
                                   return status == 200;
                                 },
                             .on_part =
                                 [&](std::span<const std::byte> part) {
                                   hasher.Update(part);
                                   received += part.size();
                                   return progress(received, manifest.size());
                                 }};
  const auto answer = client.Call({.target = source.target, .read_timeout = kReadTimeout}, stream);
  if (!answer) {
    Error error = answer.error();
    error.detail += ", status " + std::to_string(status);
    return error;
  }
  if (received != manifest.size() || hasher.Finish() != DigestFromRaw(manifest.whole_digest())) {
    return Error{.kind = ErrorKind::kDigestMismatch, .detail = "weights"};
  }
  return success();
}

}  // namespace savory::standins
