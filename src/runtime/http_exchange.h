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

// Shared by the server and the handler of the request. After the caller has left, answering does
// nothing. A request that is never answered keeps its connection busy.
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
  // Whether the caller has left, or the answer is complete.
  bool IsOver() const;

  // Calls `listener` once if the caller leaves before the answer is complete.
  void OnCallerDisconnected(std::function<void()> listener);

  // The whole answer. `fields` are without Content-Length.
  void Answer(int status, std::span<const HttpField> fields, std::string_view body);
  // An answer of unknown length, in HTTP chunks.
  void BeginStream(int status, std::span<const HttpField> fields);
  void SendPart(std::string_view bytes);
  void EndStream();
  // Closes the connection so that the caller cannot take the answer for a complete one.
  void Abort();

  bool HasBegun() const;
  // Bytes of the answer that the caller has not taken yet.
  std::size_t UnsentBytes() const;

 private:
  friend class CallerConnection;
  std::unique_ptr<Impl> impl;
};

using SharedExchange = std::shared_ptr<HttpExchange>;

}  // namespace savory
