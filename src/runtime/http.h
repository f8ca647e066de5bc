// Request and response types of HttpClient and HttpServer.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"

namespace savory {

// Orders header names case-insensitively.
struct HeaderLess {
  bool operator()(std::string_view left, std::string_view right) const;
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
};
using HttpHeaders = std::multimap<std::string, std::string, HeaderLess>;

// Value of the first header `name`, or "".
std::string_view HeaderValue(const HttpHeaders& headers, std::string_view name);

// True for headers that are not forwarded between caller and upstream: hop-by-hop headers and those
// that the HTTP library adds by itself.
bool IsHopByHopHeader(std::string_view name);

// A call by HttpClient.
struct BlockingHttpCall {
  std::string method = "GET";
  std::string target = "/";  // path and query
  HttpHeaders headers = {};
  std::string body = {};
  std::string content_type = "application/octet-stream";
  Duration connect_timeout = std::chrono::seconds(1);
  Duration read_timeout = std::chrono::seconds(10);  // maximum time between two reads
  // Of a body that is not streamed. The call is given up when the answer has more.
  std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
};

// An answer received by HttpClient.
struct HttpAnswer {
  int status = 0;
  HttpHeaders headers = {};
  std::string body = {};
};

// Callbacks for a streamed answer. Returning false cancels the call.
struct HttpStream {
  std::function<bool(const HttpAnswer& head)> on_head = {};
  std::function<bool(std::span<const std::byte> part)> on_part = {};
};

// A request received by HttpServer.
struct HttpRequest {
  std::string method;
  std::string path;    // without the query
  std::string target;  // with the query
  HttpHeaders headers;
  std::multimap<std::string, std::string> query;
  std::string body;
  // False when the caller has closed its connection; each call checks the socket.
  std::function<bool()> is_connected = {};
};

// Writes bytes of a streamed reply; returns false when the caller has disconnected.
using HttpSink = std::function<bool(std::span<const std::byte> part)>;

// Reply of a handler of HttpServer: `body`, or a stream when `stream` is set.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers = {};
  std::string body = {};
  // Called once on the connection's thread. Returning false aborts the reply, so that the caller
  // can tell it from a complete one.
  std::function<bool(const HttpSink& sink)> stream = {};
  // Length of the stream in bytes; 0: unknown, sent with chunked transfer encoding.
  std::size_t stream_length = 0;
};

}  // namespace savory
