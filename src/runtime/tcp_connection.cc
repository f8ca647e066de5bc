#include "runtime/tcp_connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <uv.h>

#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "runtime/event_loop.h"
#include "runtime/socket_address.h"
#include "runtime/uncaught.h"

namespace savory {
namespace {

// Maximum bytes of one read; larger messages arrive in several calls.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
// Reads of one DiscardInput(): more than a receive buffer holds.
constexpr int kMaxDiscardingReads = 256;
constexpr std::size_t kMaxPieces = 16;  // buffers in one uv_try_write()
// Keepalive probes detect a silent connection after about three seconds, the time within which
// machines are expected to reach each other again after a disruption.
constexpr unsigned kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 2;

// Shared by all connections: the bytes of a read are delivered before the next read starts.
std::array<char, kReadBytes>& ReadBuffer() {
  static thread_local std::array<char, kReadBytes> buffer;
  return buffer;
}

struct WriteRequest {
  uv_write_t request = {};
  std::string bytes;
};

}  // namespace

struct TcpConnection::Impl {
  uv_tcp_t tcp = {};
  uv_connect_t connect = {};
  uv_shutdown_t shutdown = {};
  EventLoop& loop;
  TcpHandler* handler;  // null once no call may follow
  TcpOptions options;
  EventLoop::TimerId connect_timer = 0;
  bool connected = false;
  bool closing = false;
  bool closed = false;  // libuv has closed the handle
  bool owned = true;    // the TcpConnection exists
  bool end_when_sent = false;
  bool end_sent = false;  // the close of the sending side, which counts as an unacknowledged byte
  Instant connect_deadline = {};
  std::string before_connect = {};  // written before the connection was established

  Impl(EventLoop& loop, TcpHandler& handler, const TcpOptions& options)
      : loop(loop), handler(&handler), options(options) {
    uv_tcp_init(loop.Native(), &this->tcp);
    this->tcp.data = this;
  }

  uv_stream_t* Stream() { return reinterpret_cast<uv_stream_t*>(&this->tcp); }

  void Connect(const std::string& address) {
    const std::optional<sockaddr_in> target = ParseSocketAddress(address);
    this->connect.data = this;
    const auto on_connect = [](uv_connect_t* request, int status) {
      auto* self = static_cast<Impl*>(request->data);
      RunGuarded("connect", [self, status] { self->OnConnect(status); });
    };
    const bool started =
        target.has_value() &&
        uv_tcp_connect(&this->connect, &this->tcp, reinterpret_cast<const sockaddr*>(&*target),
                       on_connect) == 0;
    const Duration wait = started ? this->options.connect_timeout : Duration(0);
    this->connect_deadline = this->loop.Now() + this->options.connect_timeout;
    this->connect_timer = this->loop.After(wait, [this] {
      this->connect_timer = 0;
      this->End(TcpEnd::kUnreachable);
    });
  }

  void OnConnect(int status) {
    if (this->handler == nullptr) return;
    if (status != 0) {
      this->End(status == UV_ECONNREFUSED ? TcpEnd::kRefused : TcpEnd::kUnreachable);
      return;
    }
    // After the process or its machine stood still, this may come before the timer runs.
    if (this->loop.Now() >= this->connect_deadline) return this->End(TcpEnd::kUnreachable);
    this->Start();
    if (!this->before_connect.empty()) {
      const std::string bytes = std::exchange(this->before_connect, {});
      const std::string_view piece = bytes;
      this->Write({&piece, 1});
    }
    if (this->handler != nullptr) this->handler->OnConnected();
  }

  void Start() {
    this->connected = true;
    if (this->connect_timer != 0) this->loop.Cancel(std::exchange(this->connect_timer, 0));
    uv_tcp_nodelay(&this->tcp, 1);
    uv_os_fd_t descriptor = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&this->tcp), &descriptor) == 0) {
      const auto timeout_ms = static_cast<unsigned>(ToMillis(this->options.user_timeout));
      setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
      // Probes detect a connection that becomes silent while nothing is sent on it.
      uv_tcp_keepalive(&this->tcp, 1, kKeepaliveIdleSeconds);
      setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepaliveIntervalSeconds,
                 sizeof(kKeepaliveIntervalSeconds));
      setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &kKeepaliveProbes, sizeof(kKeepaliveProbes));
    }
    this->Read();
  }

  void Read() {
    uv_read_start(
        this->Stream(),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          *buffer = uv_buf_init(ReadBuffer().data(), kReadBytes);
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
          auto* self = static_cast<Impl*>(stream->data);
          RunGuarded("read", [=] { self->OnRead(count, buffer->base); });
        });
  }

  // libuv reports end of stream for an orderly close, but also when a reset follows the last bytes;
  // another read distinguishes the two.
  bool WasReset() { return this->Peek() != 0; }

  // Result of a recv() that takes nothing; -1 also when there is no socket.
  ssize_t Peek() {
    uv_os_fd_t descriptor = -1;
    errno = 0;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&this->tcp), &descriptor) != 0) return -1;
    char byte = 0;
    return recv(descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  }

  TcpPending Pending() {
    if (!this->connected) return TcpPending::kNothing;
    const ssize_t count = this->Peek();
    if (count > 0) return TcpPending::kBytes;
    const bool nothing = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return nothing ? TcpPending::kNothing : TcpPending::kEnd;
  }

  void OnRead(ssize_t count, const char* data) {
    if (this->handler == nullptr || count == 0) return;
    if (count < 0) {
      this->End(count == UV_EOF && !this->WasReset() ? TcpEnd::kClosed : TcpEnd::kReset);
      return;
    }
    this->handler->OnBytes(
        {reinterpret_cast<const std::byte*>(data), static_cast<std::size_t>(count)});
  }

  void Write(std::span<const std::string_view> pieces) {
    if (this->closing) return;
    if (!this->connected) {
      for (const std::string_view piece : pieces) this->before_connect += piece;
      return;
    }
    const std::size_t taken = this->TryWrite(pieces);
    this->WriteRest(pieces, taken);
  }

  std::size_t TryWrite(std::span<const std::string_view> pieces) {
    std::array<uv_buf_t, kMaxPieces> buffers;
    std::size_t count = 0;
    for (const std::string_view piece : pieces.first(std::min(pieces.size(), kMaxPieces))) {
      if (piece.empty()) continue;
      buffers[count++] =
          uv_buf_init(const_cast<char*>(piece.data()), static_cast<unsigned>(piece.size()));
    }
    if (count == 0) return 0;
    const int written = uv_try_write(this->Stream(), buffers.data(), static_cast<unsigned>(count));
    return written > 0 ? static_cast<std::size_t>(written) : 0;
  }

  void WriteRest(std::span<const std::string_view> pieces, std::size_t taken) {
    auto* rest = new WriteRequest;
    for (const std::string_view piece : pieces) {
      const std::size_t skipped = std::min(taken, piece.size());
      taken -= skipped;
      rest->bytes += piece.substr(skipped);
    }
    if (rest->bytes.empty()) {
      delete rest;
      return;
    }
    rest->request.data = rest;
    const uv_buf_t buffer =
        uv_buf_init(rest->bytes.data(), static_cast<unsigned>(rest->bytes.size()));
    const auto on_written = [](uv_write_t* request, int status) {
      auto* self = static_cast<Impl*>(request->handle->data);
      delete static_cast<WriteRequest*>(request->data);
      RunGuarded("write", [self, status] { self->OnWritten(status); });
    };
    if (uv_write(&rest->request, this->Stream(), &buffer, 1, on_written) != 0) delete rest;
  }

  void OnWritten(int status) {
    if (this->handler == nullptr) return;
    if (status != 0) {
      this->End(TcpEnd::kReset);
      return;
    }
    if (uv_stream_get_write_queue_size(this->Stream()) == 0) this->handler->OnFlushed();
  }

  void CloseWhenSent() {
    if (!this->connected || this->closing || this->end_when_sent) return;
    this->end_when_sent = true;
    uv_shutdown(&this->shutdown, this->Stream(), [](uv_shutdown_t* request, int status) {
      static_cast<Impl*>(request->handle->data)->end_sent = status == 0;
    });
  }

  void End(TcpEnd end) {
    if (this->handler == nullptr) return;
    TcpHandler* const last = std::exchange(this->handler, nullptr);
    last->OnEnd(end);
  }

  void Close() {
    if (std::exchange(this->closing, true)) return;
    this->handler = nullptr;
    if (this->connect_timer != 0) this->loop.Cancel(std::exchange(this->connect_timer, 0));
    uv_close(reinterpret_cast<uv_handle_t*>(&this->tcp),
             [](uv_handle_t* handle) { static_cast<Impl*>(handle->data)->OnClosed(); });
  }

  // After Reset(), libuv closes the handle before the owner destroys the connection.
  void OnClosed() {
    this->closed = true;
    if (!this->owned) delete this;
  }

  void Release() {
    this->owned = false;
    if (this->closed) {
      delete this;
    } else {
      this->Close();
    }
  }
};

TcpConnection::TcpConnection(EventLoop& loop, const std::string& address, TcpHandler& handler,
                             const TcpOptions& options)
    : impl(new Impl(loop, handler, options)) {
  this->impl->Connect(address);
}

TcpConnection::TcpConnection(EventLoop& loop, uv_stream_s* server, TcpHandler& handler,
                             const TcpOptions& options)
    : impl(new Impl(loop, handler, options)) {
  if (uv_accept(server, this->impl->Stream()) == 0) {
    this->impl->Start();
    return;
  }
  // The accept failed. Reported later, since the constructor must not call the handler.
  this->impl->connect_timer = loop.After(Duration(0), [self = this->impl] {
    self->connect_timer = 0;
    self->End(TcpEnd::kReset);
  });
}

TcpConnection::~TcpConnection() { this->impl->Release(); }

void TcpConnection::Write(std::span<const std::string_view> pieces) { this->impl->Write(pieces); }

std::size_t TcpConnection::UnsentBytes() const {
  return uv_stream_get_write_queue_size(this->impl->Stream()) + this->impl->before_connect.size();
}

std::size_t TcpConnection::UnacknowledgedBytes() const {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&this->impl->tcp), &descriptor) != 0) return 0;
  int bytes = 0;
  if (ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes <= 0) return 0;
  return static_cast<std::size_t>(bytes) - (this->impl->end_sent ? 1 : 0);
}

TcpPending TcpConnection::Pending() const { return this->impl->Pending(); }

void TcpConnection::PauseReading() { uv_read_stop(this->impl->Stream()); }

void TcpConnection::ResumeReading() {
  if (this->impl->connected && !this->impl->closing) this->impl->Read();
}

void TcpConnection::CloseWhenSent() { this->impl->CloseWhenSent(); }

void TcpConnection::DiscardInput() {
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&this->impl->tcp), &descriptor) != 0) return;
  std::array<char, kReadBytes>& buffer = ReadBuffer();
  for (int i = 0; i < kMaxDiscardingReads; ++i) {
    if (recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT) <= 0) return;
  }
}

void TcpConnection::Close() { this->impl->Close(); }

void TcpConnection::Reset() {
  Impl& self = *this->impl;
  if (self.closing) return;
  self.handler = nullptr;
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&self.tcp), &descriptor) == 0) {
    const linger now = {.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  }
  self.Close();
}

}  // namespace savory
