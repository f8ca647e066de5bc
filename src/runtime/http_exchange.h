// One request of a caller and its answer, on the event loop.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"
#include "runtime/http_head.h"

namespace savory {

// Shared by the server and the handler of the request. Answering has no effect once the caller has
// disconnected. A request that is never answered occupies its connection.
class HttpExchange {
 public:
  struct Impl;
  explicit HttpExchange(std::unique_ptr<Impl> impl);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const HttpHead& Head() const;
  const std::string& Body() const;
  // When the first byte of the request arrived.
  Instant ReceivedAt() const;
  // Whether the caller has disconnected, or the answer is complete or aborted.
  bool IsOver() const;

  // Calls `callback` once if the caller disconnects before the answer is complete.
  void OnCallerDisconnected(std::function<void()> callback);
  // Calls `callback` once, when the operating system has accepted all bytes that are unsent now.
  void OnFlushed(std::function<void()> callback);

  // Sends a complete answer. `fields` exclude Content-Length, which is added.
  void Answer(int status, std::span<const HttpField> fields, std::string_view body);
  // Starts an answer of unknown length, sent with chunked transfer encoding.
  void BeginStream(int status, std::span<const HttpField> fields);
  void SendPart(std::string_view bytes);
  void EndStream();
  // Resets the connection, so that the caller cannot take the answer for a complete one.
  void Abort();

  bool HasBegun() const;
  // Bytes of the answer that the operating system has not accepted yet.
  std::size_t UnsentBytes() const;

 private:
  friend class CallerConnection;
  std::unique_ptr<Impl> impl;
};

using SharedExchange = std::shared_ptr<HttpExchange>;

}  // namespace savory
