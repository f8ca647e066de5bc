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
  kRefused,      // never established: nothing listens at the address
  kUnreachable,  // never established for another reason: no answer, no route, malformed address
  kClosed,       // orderly close by the peer
  kReset,        // it failed: reset, or no acknowledgement in time
};

// Input that has arrived but was not delivered yet.
enum class TcpPending { kNothing, kBytes, kEnd };

// Receives the events of a connection. A handler may destroy the connection in any call.
class TcpHandler {
 public:
  virtual ~TcpHandler() = default;
  virtual void OnConnected() {}
  // `bytes` is valid during the call only.
  virtual void OnBytes(std::span<const std::byte> bytes) = 0;
  // No further call follows.
  virtual void OnEnd(TcpEnd end) = 0;
  // Everything written has been handed to the operating system.
  virtual void OnFlushed() {}
};

struct TcpOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // The connection is reset when sent bytes stay unacknowledged for this long, which detects
  // network partitions and silent peers.
  Duration user_timeout = std::chrono::seconds(3);
};

class TcpConnection {
 public:
  // Connects to `address` (IP:PORT). `handler` must outlive the connection; neither constructor
  // calls it before returning.
  TcpConnection(EventLoop& loop, const std::string& address, TcpHandler& handler,
                const TcpOptions& options);
  // Accepts a pending connection of the listening `server`.
  TcpConnection(EventLoop& loop, uv_stream_s* server, TcpHandler& handler,
                const TcpOptions& options);
  // Closes the connection, with a reset if input is unread; no handler call follows.
  ~TcpConnection();

  // Writes `pieces` in order. Bytes that the operating system does not accept yet are queued in
  // memory.
  void Write(std::span<const std::string_view> pieces);
  // Bytes written that the operating system has not accepted yet.
  std::size_t UnsentBytes() const;
  // Bytes that the operating system has accepted and the peer has not acknowledged. 0 if the system
  // doesn't tell.
  std::size_t UnacknowledgedBytes() const;

  // Looks at the socket itself, ahead of the loop. A connection that is not established has none.
  TcpPending Pending() const;

  // While paused, no bytes are read and the peer's close is not detected.
  void PauseReading();
  void ResumeReading();

  // Closes the sending side once all written bytes are sent. The handler still gets OnEnd() when
  // the peer closes.
  void CloseWhenSent();
  // Reads and drops what has arrived, so that destroying the connection does not reset it: a reset
  // takes sent bytes that the peer has not got yet with it.
  void DiscardInput();
  // Closes at once and frees the descriptor; no handler call follows. Sent bytes still arrive
  // unless input is unread.
  void Close();
  // Closes with a reset, so that the peer cannot take the bytes received so far for a complete
  // message.
  void Reset();

 private:
  struct Impl;
  Impl* impl;  // freed when this is destroyed and libuv has closed it
};

}  // namespace savory
