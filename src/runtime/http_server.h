// HTTP server with one thread for each connection, for callers, operators and the local engine.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "runtime/http.h"

namespace savory {

struct HttpServerOptions {
  std::string listen;  // IP:PORT
  // Connections served at the same time, one thread each. A connection occupies its thread while it
  // is open, and callers beyond this number wait for a free thread. Handlers must therefore reject
  // excess load well below this number, or callers get no answer at all.
  int max_connections = 64;
  // An idle connection is closed after this time, which frees its thread.
  Duration keep_alive = std::chrono::seconds(5);
};

// Handlers run on the server's threads, several at a time.
class HttpServer {
 public:
  using Handler = std::function<HttpReply(const HttpRequest& request)>;

  explicit HttpServer(HttpServerOptions options);
  // Stops and waits for running handlers.
  ~HttpServer();

  // Serves `pattern` (a regular expression for the complete path). Call before Start(). `method`:
  // GET, POST, PUT, PATCH, DELETE, or "*" for all of them.
  void Handle(const std::string& method, const std::string& pattern, Handler handler);

  // Binds the address and serves on a separate thread. Exits the process when the address is in
  // use.
  void Start();
  // Closes the listener, lets running handlers finish, and waits for them.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
