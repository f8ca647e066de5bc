// Pool of keep-alive connections to HTTP servers.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/time.h"
#include "runtime/http_call.h"

namespace savory {

class EventLoop;
class Metrics;

struct HttpConnectionPoolOptions {
  // Connections are closed after this time without a call, or earlier when the peer's Keep-Alive
  // header announces a shorter time.
  Duration idle_timeout = std::chrono::seconds(10);
  // A connection is reused only within this fraction of the idle timeout that the peer announces,
  // so that no call is sent while the peer closes the connection.
  double announced_timeout_fraction = 0.7;
  std::size_t max_idle_connections = 64;  // per address
  Duration user_timeout = std::chrono::seconds(2);
  // Called when a peer sent bytes that belong to no call. If it sent an answer twice, late, earlier
  // answers on the connection may belong to the call before theirs, unless calls are matched.
  std::function<void()> on_unmatched_bytes = {};
};

// Must outlive its calls.
class HttpConnectionPool {
 public:
  HttpConnectionPool(EventLoop& loop, Metrics& metrics, HttpConnectionPoolOptions options);
  ~HttpConnectionPool();

  // Starts a call. `handler` must outlive it and is not called before this returns.
  std::unique_ptr<HttpCall> Start(HttpCallOptions options, HttpCallHandler& handler);

  std::size_t IdleConnections() const;

 private:
  friend class HttpCall;
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
