// Listening TCP socket on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"

struct uv_stream_s;

namespace savory {

class EventLoop;

class TcpListener {
 public:
  // Called for each pending connection; accept it with TcpConnection(loop, server, ...).
  using OnConnection = std::function<void(uv_stream_s* server)>;

  explicit TcpListener(EventLoop& loop);
  ~TcpListener();

  // Binds `address` (IP:PORT). Errors: kUnavailable when it is malformed or in use.
  Result<void> Listen(const std::string& address, OnConnection on_connection);
  // Stops accepting connections.
  void Close();

 private:
  struct Impl;
  Impl* impl;  // owned by libuv until its close callback has run
};

}  // namespace savory
