// One HTTP call on the event loop, over connections that are kept and used again.
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

// How far a call got that ended without a whole answer.
enum class CallFailure {
  kNotSent,    // there was no connection: the call has certainly not arrived
  kNoAnswer,   // sent, but no byte of an answer came: it may have arrived
  kBrokenOff,  // the answer ended early
  kMalformed,  // bytes that are no answer in the protocol
};

// Name of `failure` in logs.
std::string_view CallFailureName(CallFailure failure);

// Receives the answer. A handler may destroy its call in any of these; none follows.
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
  std::string head;     // complete, with the empty line
  std::string body = {};
  Duration connect_timeout = std::chrono::seconds(1);
  // A kept connection is used only if its last answer is at most this old; zero: always a new one.
  // A peer may close a connection while a call is on its way to it, so calls that must not be
  // repeated ask for a young one.
  Duration max_idle = Duration::max();
  bool answer_has_body = true;  // false for HEAD
  // An answer for which this returns false belongs to an earlier call on the connection and is
  // dropped.
  std::function<bool(const HttpHead& head)> matches_call = {};
};

// Destroying it cancels the call and closes its connection.
class HttpCall {
 public:
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

 private:
  friend class HttpConnectionPool;
  friend class PooledConnection;
  struct Impl;
  explicit HttpCall(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
