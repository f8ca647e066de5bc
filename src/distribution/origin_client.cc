#include "distribution/origin_client.h"

#include <oneapi/tbb/concurrent_queue.h>

#include <charconv>

#include "runtime/http_client.h"
#include "runtime/workers.h"

namespace savory {
namespace {

// Longest gap between two parts of a response; after a longer one the read fails as stalled.
constexpr Duration kReadTimeout = std::chrono::seconds(3);
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

std::string RangeText(std::uint64_t offset, std::uint64_t length) {
  return "bytes=" + std::to_string(offset) + "-" + std::to_string(offset + length - 1);
}

BlockingHttpCall RangeCall(const std::string& name, std::uint64_t offset, std::uint64_t length) {
  return BlockingHttpCall{.target = "/weights/" + name,
                          .headers = {{"Range", RangeText(offset, length)}},
                          .read_timeout = kReadTimeout};
}

Duration RetryAfter(const HttpHeaders& headers) {
  const std::string_view text = HeaderValue(headers, "Retry-After");
  int seconds = 0;
  const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (code != std::errc() || end != text.data() + text.size() || seconds <= 0) {
    return kDefaultRetryAfter;
  }
  return std::min<Duration>(kMaxRetryAfter, std::chrono::seconds(seconds));
}

// Returns the error for a response that does not carry the requested range.
Error StatusError(const HttpAnswer& answer) {
  Error error{.detail = "origin responded with HTTP status " + std::to_string(answer.status)};
  if (answer.status == 429) {
    error.kind = ErrorKind::kRateLimitedByStore;
    error.retry_after = RetryAfter(answer.headers);
  } else if (answer.status == 404) {
    error.kind = ErrorKind::kNotFound;
  } else if (answer.status == 416) {
    error.kind = ErrorKind::kDigestMismatch;
  }
  return error;
}

OriginRead ReadRange(HttpClient& client, const Manifest& manifest, std::uint32_t chunk) {
  const ChunkRange range = manifest.RangeOf(chunk);
  auto bytes = std::make_shared<std::vector<std::byte>>();
  bytes->reserve(range.length);
  OriginRead read;
  HttpAnswer head;
  const HttpStream stream{.on_head =
                              [&head, &manifest, &range](const HttpAnswer& answer) {
                                head = answer;
                                return answer.status == 206 ||
                                       (answer.status == 200 && range.length == manifest.Size());
                              },
                          .on_part =
                              [&](std::span<const std::byte> part) {
                                read.bytes += part.size();
                                if (bytes->size() + part.size() > range.length) return false;
                                bytes->insert(bytes->end(), part.begin(), part.end());
                                return true;
                              }};
  const auto answer =
      client.Call(RangeCall(manifest.WeightsName(), range.offset, range.length), stream);
  read.etag = HeaderValue(head.headers, "ETag");
  if (!answer) {
    const bool refused = answer.error().kind == ErrorKind::kCancelled;
    read.error = refused ? StatusError(head) : answer.error();
    return read;
  }
  read.chunk = VerifiedChunk::Verify(manifest, chunk, std::move(bytes));
  if (!read.chunk) {
    read.error =
        Error{.kind = ErrorKind::kDigestMismatch,
              .detail = "chunk " + std::to_string(chunk) + " of " + manifest.WeightsName() +
                        " does not have the digest given in the manifest"};
  }
  return read;
}

Result<Manifest> FetchManifest(HttpClient& client, const Digest& digest) {
  BOOST_OUTCOME_TRY(answer,
                    client.Call(BlockingHttpCall{.target = "/manifests/" + digest.Hex(),
                                                 .read_timeout = kReadTimeout,
                                                 .max_answer_bytes = Manifest::kMaxContentBytes}));
  if (answer.status != 200) return StatusError(answer);
  return Manifest::Parse(answer.body, digest);
}

Result<std::string> FetchETag(HttpClient& client, const std::string& name) {
  BOOST_OUTCOME_TRY(answer, client.Call(RangeCall(name, 0, 1)));
  if (answer.status != 206 && answer.status != 200) return StatusError(answer);
  return std::string(HeaderValue(answer.headers, "ETag"));
}

}  // namespace

struct OriginClient::Impl {
  Workers& workers;
  std::string address;
  oneapi::tbb::concurrent_queue<std::shared_ptr<HttpClient>> idle = {};

  // Runs `call(client)` on a worker thread with a pooled client.
  template <typename Call, typename Done>
  static void Run(const std::shared_ptr<Impl>& impl, Call call, Done done) {
    impl->workers.RunThen(
        [impl, call = std::move(call)] {
          std::shared_ptr<HttpClient> client;
          if (!impl->idle.try_pop(client)) client = std::make_shared<HttpClient>(impl->address);
          auto result = call(*client);
          impl->idle.push(std::move(client));
          return result;
        },
        std::move(done));
  }
};

OriginClient::OriginClient(Workers& workers, std::string address)
    : impl(std::make_shared<Impl>(Impl{.workers = workers, .address = std::move(address)})) {}
OriginClient::~OriginClient() = default;

void OriginClient::ReadChunk(std::shared_ptr<const Manifest> manifest, std::uint32_t chunk,
                             std::function<void(OriginRead)> done) {
  Impl::Run(
      this->impl,
      [manifest = std::move(manifest), chunk](HttpClient& client) {
        return ReadRange(client, *manifest, chunk);
      },
      std::move(done));
}

void OriginClient::ReadManifest(const Digest& digest, std::function<void(Result<Manifest>)> done) {
  Impl::Run(
      this->impl, [digest](HttpClient& client) { return FetchManifest(client, digest); },
      std::move(done));
}

void OriginClient::ReadETag(const std::string& name,
                            std::function<void(Result<std::string>)> done) {
  Impl::Run(
      this->impl, [name](HttpClient& client) { return FetchETag(client, name); }, std::move(done));
}

}  // namespace savory
