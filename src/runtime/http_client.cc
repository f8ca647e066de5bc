#include "runtime/http_client.h"

#include <httplib.h>
#include <strings.h>

#include <set>

#include "runtime/http_head.h"

namespace savory {
namespace {

httplib::Headers ToLibrary(const HttpHeaders& headers) {
  return httplib::Headers(headers.begin(), headers.end());
}

HttpAnswer HeadOf(const httplib::Response& response) {
  return HttpAnswer{.status = response.status,
                    .headers = HttpHeaders(response.headers.begin(), response.headers.end())};
}

// Splits a duration into the two arguments of the library's timeout setters.
std::pair<time_t, time_t> SplitTimeout(Duration timeout) {
  return {timeout.count() / 1'000'000, timeout.count() % 1'000'000};
}

}  // namespace

bool HeaderLess::operator()(std::string_view left, std::string_view right) const {
  const int order = strncasecmp(left.data(), right.data(), std::min(left.size(), right.size()));
  return order != 0 ? order < 0 : left.size() < right.size();
}

std::string_view HeaderValue(const HttpHeaders& headers, std::string_view name) {
  const auto found = headers.find(name);
  if (found == headers.end()) return {};
  return found->second;
}

bool IsHopByHopHeader(std::string_view name) {
  static const std::set<std::string, HeaderLess> kHeaders = {
      "Connection",  "Content-Length",  "Host",    "Keep-Alive", "Transfer-Encoding",
      "TE",          "Accept-Encoding", "Upgrade", "LOCAL_ADDR", "LOCAL_PORT",
      "REMOTE_ADDR", "REMOTE_PORT"};
  return kHeaders.contains(name);
}

struct HttpClient::Impl {
  httplib::Client client;
};

HttpClient::HttpClient(std::string address)
    : impl(std::make_unique<Impl>(Impl{.client = httplib::Client("http://" + address)})) {
  this->impl->client.set_keep_alive(true);
  this->impl->client.set_tcp_nodelay(true);
}

HttpClient::~HttpClient() = default;
HttpClient::HttpClient(HttpClient&&) noexcept = default;
HttpClient& HttpClient::operator=(HttpClient&&) noexcept = default;

Result<HttpAnswer> HttpClient::Call(const BlockingHttpCall& call, const HttpStream& stream) {
  httplib::Client& client = this->impl->client;
  const auto [connect_s, connect_us] = SplitTimeout(call.connect_timeout);
  const auto [read_s, read_us] = SplitTimeout(call.read_timeout);
  client.set_connection_timeout(connect_s, connect_us);
  client.set_read_timeout(read_s, read_us);
  client.set_write_timeout(read_s, read_us);

  httplib::Request request;
  request.method = call.method;
  request.path = call.target;
  request.headers = ToLibrary(call.headers);
  request.body = call.body;
  if (!call.body.empty() && !request.has_header("Content-Type")) {
    request.set_header("Content-Type", call.content_type);
  }
  if (stream.on_head) {
    request.response_handler = [&stream](const httplib::Response& response) {
      return IsHttpStatus(response.status) && stream.on_head(HeadOf(response));
    };
  }
  std::string body;
  bool too_long = false;
  request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
    if (stream.on_part) return stream.on_part(std::as_bytes(std::span(data, size)));
    too_long = body.size() + size > call.max_answer_bytes;
    if (!too_long) body.append(data, size);
    return !too_long;
  };
  const httplib::Result result = client.send(request);
  if (result && IsHttpStatus(result->status)) {
    HttpAnswer answer = HeadOf(*result);
    answer.body = std::move(body);
    return answer;
  }
  if (too_long) {
    return Error{
        .kind = ErrorKind::kMalformed,
        .detail = "the answer is larger than " + std::to_string(call.max_answer_bytes) + " bytes"};
  }
  if (result) return Error{.kind = ErrorKind::kTimeout, .detail = "status outside 100 to 599"};
  const std::string reason = httplib::to_string(result.error());
  if (result.error() == httplib::Error::Connection ||
      result.error() == httplib::Error::ConnectionTimeout) {
    return Error{.kind = ErrorKind::kUnavailable, .detail = reason};
  }
  if (result.error() == httplib::Error::Canceled) {
    return Error{.kind = ErrorKind::kCancelled, .detail = reason};
  }
  return Error{.kind = ErrorKind::kTimeout, .detail = reason};
}

void HttpClient::Cancel() { this->impl->client.stop(); }

}  // namespace savory
