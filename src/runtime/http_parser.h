// Incremental parser of HTTP/1.1 messages.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "runtime/http_head.h"

namespace savory {

enum class HttpMessageKind { kRequest, kResponse };

enum class HttpParseFailure {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kTruncated,  // the peer closed in the middle of a message
};

struct HttpLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 8 * 1024 * 1024;
};

// Parses the messages of one direction of a connection, one after another. Bytes after the end of a
// message are kept for the next one.
class HttpParser {
 public:
  HttpParser(HttpMessageKind kind, HttpLimits limits);
  ~HttpParser();

  void Feed(std::span<const std::byte> bytes);
  // The peer closed in order. Completes a response that ends with its connection; otherwise
  // nothing, or kTruncated in the middle of a message.
  void FeedEnd();

  bool HasHead() const;
  const HttpHead& Head() const;
  // The body as far as it was parsed since the last call.
  std::string TakeBody();
  bool IsDone() const;
  HttpParseFailure Failure() const;

  // The response has no body whatever its head says (answer to HEAD).
  void SkipBody();

  // Whether any byte of the current message, or after a finished one, has arrived.
  bool HasInput() const;
  // Begins the next message with the bytes that are left. Call when IsDone().
  void Next();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
