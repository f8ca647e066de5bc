#include "runtime/tcp_listener.h"

#include <netinet/in.h>
#include <uv.h>

#include <utility>

#include "runtime/event_loop.h"
#include "runtime/socket_address.h"
#include "runtime/uncaught.h"

namespace savory {
namespace {

// Pending connections; large enough for a burst from the clients of one data centre.
constexpr int kBacklog = 1024;

}  // namespace

struct TcpListener::Impl {
  uv_tcp_t tcp = {};
  OnConnection on_connection;
  bool closing = false;

  void Close() {
    if (std::exchange(this->closing, true)) return;
    uv_close(reinterpret_cast<uv_handle_t*>(&this->tcp),
             [](uv_handle_t* handle) { delete static_cast<Impl*>(handle->data); });
  }
};

TcpListener::TcpListener(EventLoop& loop) : impl(new Impl) {
  uv_tcp_init(loop.Native(), &this->impl->tcp);
  this->impl->tcp.data = this->impl;
}

TcpListener::~TcpListener() { this->Close(); }

Result<void> TcpListener::Listen(const std::string& address, OnConnection on_connection) {
  Impl& self = *this->impl;
  self.on_connection = std::move(on_connection);
  const std::optional<sockaddr_in> parsed = ParseSocketAddress(address);
  int status = parsed ? 0 : UV_EINVAL;
  if (status == 0) {
    status = uv_tcp_bind(&self.tcp, reinterpret_cast<const sockaddr*>(&*parsed), 0);
  }
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(&self.tcp), kBacklog,
                       [](uv_stream_t* server, int error) {
                         if (error != 0) return;
                         auto* self = static_cast<Impl*>(server->data);
                         RunGuarded("accept", [self, server] { self->on_connection(server); });
                       });
  }
  if (status == 0) return success();
  return Error{.kind = ErrorKind::kUnavailable,
               .detail = "listen on " + address + ": " + uv_strerror(status)};
}

void TcpListener::Close() {
  if (this->impl == nullptr) return;
  this->impl->Close();
  this->impl = nullptr;
}

}  // namespace savory
