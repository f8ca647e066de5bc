// HTTP server for callers, operators and the local engine.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "runtime/http.h"

namespace savory {

struct HttpServerOptions {
  std::string listen;     // IP:PORT
  int max_requests = 64;  // handled at the same time; one thread each
  int max_waiting = 64;   // connections that wait for a thread; more are closed
};

// Handlers run on the server's threads, several at a time.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest& request)>;

  explicit HttpServer(HttpServerOptions options);
  // Stops and waits for running handlers.
  ~HttpServer();

  // Serves `pattern` (a regular expression of the whole path). Call before
  // Start(). `method`: GET, POST, PUT, PATCH, DELETE, or "*" for all of them.
  void Handle(const std::string& method, const std::string& pattern, Handler handler);

  // Binds and serves on a thread of its own. Aborts the process when the
  // address is in use.
  void Start();
  // Closes the listener, lets running handlers finish, and waits for them.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
