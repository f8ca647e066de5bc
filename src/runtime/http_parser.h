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

// Empties `bytes` and frees their memory, which an assignment keeps.
void FreeBytes(std::string& bytes);

// Parses the messages of one direction of a connection, one after another. Bytes after the end of a
// message are kept for the next one.
class HttpParser {
 public:
  HttpParser(HttpMessageKind kind, HttpLimits limits);
  ~HttpParser();

  void Feed(std::span<const std::byte> bytes);
  // Call after an orderly close by the peer. Completes a response whose body extends to the end of
  // the connection, fails with kTruncated within any other message, and has no effect between
  // messages.
  void FeedEnd();

  bool HasHead() const;
  const HttpHead& Head() const;
  // Body bytes parsed since the last call.
  std::string TakeBody();
  bool IsDone() const;
  HttpParseFailure Failure() const;

  // The response has no body regardless of its head, as in answers to HEAD.
  void SkipBody();

  // Memory of the message that has arrived and of the bytes behind it, with room to grow.
  std::size_t HeldBytes() const;
  // Frees the body and all input. The message can't be completed any more.
  void DropInput();

  // Whether bytes of an unfinished message, or bytes after a finished one, have arrived.
  bool HasInput() const;
  // For the next message, or this one if none of its bytes has arrived.
  void SetLimits(const HttpLimits& limits);
  // Starts the next message with the bytes left over. Requires IsDone(). `skip_body` as
  // SkipBody(), which would come too late for them.
  void Next(bool skip_body = false);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
