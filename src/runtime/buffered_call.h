// HTTP calls that buffer the complete answer.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "runtime/http_call.h"
#include "runtime/http_head.h"

namespace savory {

class EventLoop;
class HttpConnectionPool;

struct BufferedAnswer {
  int status = 0;
  std::vector<HttpField> fields = {};  // of the head
  std::string body = {};
};

// Lists of the platform's store, states of engines and the like are much smaller.
constexpr std::size_t kMaxBufferedAnswerBytes = std::size_t{16} * 1024 * 1024;

// Calls `done` once. Errors: kUnavailable when there is no connection (the call was not sent),
// kTimeout when no complete answer was read within `timeout` or the answer ended early (the call
// may have been executed), kMalformed when the answer exceeds `max_answer_bytes`
// (likewise).
void StartBufferedCall(EventLoop& loop, HttpConnectionPool& connections, HttpCallOptions options,
                       Duration timeout, std::function<void(Result<BufferedAnswer>)> done,
                       std::size_t max_answer_bytes = kMaxBufferedAnswerBytes);

struct BufferedGetOptions {
  std::string address;  // IP:PORT, also sent as Host
  std::string target;   // path and query
  Duration connect_timeout = std::chrono::seconds(1);
  Duration timeout = std::chrono::seconds(1);
  std::size_t max_answer_bytes = kMaxBufferedAnswerBytes;
};

// As above, for a GET without further headers.
void StartBufferedGet(EventLoop& loop, HttpConnectionPool& connections,
                      const BufferedGetOptions& options,
                      std::function<void(Result<BufferedAnswer>)> done);

}  // namespace savory
