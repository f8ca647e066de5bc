// HTTP/1.1 server on the event loop.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "runtime/http_exchange.h"
#include "runtime/http_parser.h"
#include "runtime/input_budget.h"

namespace savory {

class EventLoop;
struct UnfinishedConnection;

struct AsyncHttpServerOptions {
  HttpLimits limits = {};
  // A request whose head is not complete after this time is answered 408.
  Duration header_timeout = std::chrono::seconds(10);
  Duration body_timeout = std::chrono::seconds(30);
  // An idle connection is closed after this time.
  Duration idle_timeout = std::chrono::seconds(60);
  // A caller that leaves sent bytes unacknowledged for this long is treated as disconnected.
  Duration user_timeout = std::chrono::seconds(10);
  // Of all connections together. Callers beyond it that are not done sending are answered 503 and
  // closed, so are those that don't read.
  InputBudgetOptions budget = {};
};

// Serves one request at a time on each connection. The server itself answers requests that violate
// HTTP, the limits or the timeouts (400, 408, 413, 431).
class AsyncHttpServer {
 public:
  using Handler = std::function<void(const SharedExchange& exchange)>;

  AsyncHttpServer(EventLoop& loop, AsyncHttpServerOptions options, Handler handler);
  ~AsyncHttpServer();

  // Errors: kUnavailable when `address` (IP:PORT) is malformed or in use.
  Result<void> Listen(const std::string& address);
  void SetOptions(const AsyncHttpServerOptions& options);
  // `check` tells by the head of a request whether its body is needed. A body that is not needed is
  // read and dropped, and the handler gets the request without it.
  using BodyCheck = std::function<bool(const HttpHead& head)>;
  void SetBodyCheck(BodyCheck check);

  // Answers carry "Connection: close" from now on. Idle connections stay open for `linger`, so that
  // a request that is already on its way still arrives, and are closed then.
  void StartDraining(Duration linger);

  std::size_t Connections() const;
  // Memory that the connections hold for input and unsent answers.
  std::uint64_t HeldBytes() const;
  // Connections that were given up or turned away to stay within the budget.
  std::uint64_t GivenUp() const;
  // Connections with a request that was read in part or not answered in full, or with an answer
  // that the operating system has not accepted yet. A planned stop waits until there are none.
  std::size_t BusyConnections() const;
  // Connections that would lose something if the process exited now. The heads are valid until the
  // loop runs again.
  std::vector<UnfinishedConnection> Unfinished() const;

 private:
  friend class CallerConnection;
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
