// One TCP connection on the event loop.
#pragma once

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"

struct uv_stream_s;

namespace savory {

class EventLoop;

// How a connection ended.
enum class TcpEnd {
  kRefused,  // it was never established; nothing was sent
  kClosed,   // the peer closed it in order
  kReset,    // it broke: reset, or no acknowledgement in time
};

// Receives what happens on a connection. A handler may destroy the connection in any call.
class TcpHandler {
 public:
  virtual ~TcpHandler() = default;
  virtual void OnConnected() {}
  // `bytes` is valid during the call only.
  virtual void OnBytes(std::span<const std::byte> bytes) = 0;
  // The last call.
  virtual void OnEnd(TcpEnd end) = 0;
  // Everything written has been handed to the operating system.
  virtual void OnFlushed() {}
};

struct TcpOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // Sent bytes without an acknowledgement for this long reset the connection, which finds peers
  // behind a partition and connections that went silent.
  Duration user_timeout = std::chrono::seconds(3);
};

class TcpConnection {
 public:
  // Connects to `address` (IP:PORT). `handler` must outlive the connection. Both constructors
  // return before any call of the handler.
  TcpConnection(EventLoop& loop, const std::string& address, TcpHandler& handler,
                const TcpOptions& options);
  // Accepts a connection that waits at the listening `server`.
  TcpConnection(EventLoop& loop, uv_stream_s* server, TcpHandler& handler,
                const TcpOptions& options);
  // Closes the connection; no handler call follows. Unread input resets it.
  ~TcpConnection();

  // Writes `pieces` one after another. Bytes that the peer does not take yet are kept in memory.
  void Write(std::span<const std::string_view> pieces);
  // Bytes written that the operating system has not taken yet.
  std::size_t UnsentBytes() const;

  // While paused no bytes are read, and an end is not noticed.
  void PauseReading();
  void ResumeReading();

  // Sends what is written, then closes the sending side. The handler still sees the peer's end.
  void CloseWhenSent();
  // Closes with a reset, so that the peer cannot take the bytes so far for a complete message.
  void Reset();

 private:
  struct Impl;
  Impl* impl;  // freed when this is destroyed and libuv has closed it
};

}  // namespace savory
