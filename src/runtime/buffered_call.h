// HTTP calls that buffer the complete answer.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
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

// Enough for answers that only tell whether something was done.
constexpr std::size_t kMaxShortAnswerBytes = std::size_t{64} * 1024;

// Bounds the bodies that the calls of one client hold together. A call that would exceed it is
// given up.
struct AnswerBudget {
  std::size_t max_bytes = std::size_t{16} * 1024 * 1024;
  std::size_t used = 0;
};

struct BufferedCallOptions {
  Duration timeout = std::chrono::seconds(1);
  // Of the body. The call is given up as soon as the answer announces or has more.
  std::size_t max_answer_bytes = kMaxShortAnswerBytes;
  // The head says all: no body is kept, and the call succeeds once the head has arrived, even if
  // the body has no end.
  bool ignore_body = false;
  std::shared_ptr<AnswerBudget> budget = {};
};

// Calls `done` once. Errors: kUnavailable when there is no connection (the call was not sent),
// kTimeout when no answer came within the timeout or it ended early (the call may have been
// executed), kMalformed when what was read is no answer, is larger than allowed, or did not end
// within the timeout (likewise).
void StartBufferedCall(EventLoop& loop, HttpConnectionPool& connections, HttpCallOptions call,
                       const BufferedCallOptions& options,
                       std::function<void(Result<BufferedAnswer>)> done);

struct BufferedGetOptions {
  std::string address;  // IP:PORT, also sent as Host
  std::string target;   // path and query
  Duration connect_timeout = std::chrono::seconds(1);
  Duration timeout = std::chrono::seconds(1);
  std::size_t max_answer_bytes = kMaxShortAnswerBytes;
  std::shared_ptr<AnswerBudget> budget = {};
};

// As above, for a GET without further headers.
void StartBufferedGet(EventLoop& loop, HttpConnectionPool& connections,
                      const BufferedGetOptions& options,
                      std::function<void(Result<BufferedAnswer>)> done);

}  // namespace savory
