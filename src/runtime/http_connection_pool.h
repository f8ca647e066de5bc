// Connections to HTTP servers, kept for further calls.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "base/time.h"
#include "runtime/http_call.h"

namespace savory {

class EventLoop;
class Metrics;

struct HttpConnectionPoolOptions {
  // Kept connections are closed after this time without a call, or earlier when the peer announces
  // a shorter one.
  Duration idle_timeout = std::chrono::seconds(10);
  // A peer's announced idle timeout is used up to this part, so that no call meets its close.
  double announced_timeout_fraction = 0.7;
  std::size_t max_idle_connections = 64;  // for each address
  Duration user_timeout = std::chrono::seconds(2);
};

// Must outlive its calls.
class HttpConnectionPool {
 public:
  HttpConnectionPool(EventLoop& loop, Metrics& metrics, HttpConnectionPoolOptions options);
  ~HttpConnectionPool();

  // Starts a call. No call of `handler`, which must outlive the call, is made before this returns.
  std::unique_ptr<HttpCall> Start(HttpCallOptions options, HttpCallHandler& handler);

  std::size_t IdleConnections() const;

 private:
  friend class HttpCall;
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
