// One HTTP call on the event loop, over pooled keep-alive connections.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "runtime/http_head.h"

namespace savory {

// How far a call without a complete answer got.
enum class CallFailure {
  kNotSent,    // no connection was established: the call has certainly not arrived
  kNoAnswer,   // sent, but no byte of an answer was received: the call may have arrived
  kBrokenOff,  // the answer ended early, or its body is malformed
  kMalformed,  // the received bytes are not an HTTP response
  kUnmatched,  // an answer to an earlier call, maybe, or to none: the call may have arrived
};

// Name of `failure` in logs.
std::string_view CallFailureName(CallFailure failure);

// Whose answer it is.
enum class AnswerMatch {
  kThisCall,
  kOtherCall,  // an earlier one on the connection
  kUnknown,    // nothing in it tells
  kNoCall,     // it lacks what every answer to a call has
};

// Name of `match` in logs.
std::string_view AnswerMatchName(AnswerMatch match);

// Receives the answer. A handler may destroy its call in any of these functions; no further one is
// called then.
class HttpCallHandler {
 public:
  virtual ~HttpCallHandler() = default;
  virtual void OnAnswerHead(const HttpHead& head) = 0;
  virtual void OnAnswerBody(std::string_view bytes) = 0;
  virtual void OnAnswerDone() = 0;
  virtual void OnCallFailed(CallFailure failure) = 0;
};

struct HttpCallOptions {
  std::string address;  // IP:PORT
  std::string head;     // complete, including the empty line
  std::string body = {};
  Duration connect_timeout = std::chrono::seconds(1);
  // A pooled connection is reused only if it has been idle for at most this time; zero: always a
  // new one. A peer may close an idle connection while a call is on its way to it, so calls that
  // must not be retried set a short time.
  Duration max_idle = Duration::max();
  bool answer_has_body = true;  // false for HEAD
  // Answers to other calls are discarded. One that nothing identifies is accepted as the first
  // answer on a connection. After another answer it may be a copy of that one, so the call fails,
  // as it does at an answer to no call: what follows can't be told from the rest of that.
  std::function<AnswerMatch(const HttpHead& head)> match = {};
};

// Destroying it cancels the call and closes its connection.
class HttpCall {
 public:
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  // From now on `handler` is told what the call receives. It must outlive the call.
  void PassTo(HttpCallHandler& handler);
  // While paused, no more of the answer is read, so that the peer stops sending it.
  void PauseReading();
  void ResumeReading();

 private:
  friend class HttpConnectionPool;
  friend class PooledConnection;
  struct Impl;
  explicit HttpCall(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
