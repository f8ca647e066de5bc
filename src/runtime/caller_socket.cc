#include "runtime/caller_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace savory {
namespace {

constexpr int kMaxDescriptors = 16'384;
// The kernel assigns the lowest free descriptor, so a long run of unused ones ends the search.
constexpr int kMaxUnusedRun = 512;

bool IsPeerConnected(int fd) {
  char byte = 0;
  const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return true;
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

}  // namespace

CallerSocket::CallerSocket(std::string remote_address, int remote_port, int local_port)
    : remote_address(std::move(remote_address)), remote_port(remote_port), local_port(local_port) {}

bool CallerSocket::Matches(int fd, bool* descriptor_open) const {
  sockaddr_in peer = {};
  socklen_t size = sizeof(peer);
  errno = 0;
  const bool connected = getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
  *descriptor_open = connected || errno != EBADF;
  if (!connected || peer.sin_family != AF_INET) return false;
  if (ntohs(peer.sin_port) != this->remote_port) return false;
  in_addr remote = {};
  if (inet_pton(AF_INET, this->remote_address.c_str(), &remote) != 1) return false;
  if (peer.sin_addr.s_addr != remote.s_addr) return false;
  sockaddr_in own = {};
  size = sizeof(own);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size) != 0) return false;
  return ntohs(own.sin_port) == this->local_port;
}

int CallerSocket::Search() const {
  int unused = 0;
  for (int fd = 0; fd < kMaxDescriptors && unused < kMaxUnusedRun; ++fd) {
    bool descriptor_open = false;
    if (this->Matches(fd, &descriptor_open)) return fd;
    unused = descriptor_open ? 0 : unused + 1;
  }
  return -1;
}

bool CallerSocket::IsConnected() {
  bool descriptor_open = false;
  // The descriptor number may have been reused for another connection.
  const bool known = this->descriptor >= 0 && this->Matches(this->descriptor, &descriptor_open);
  if (!known) this->descriptor = this->Search();
  return this->descriptor >= 0 && IsPeerConnected(this->descriptor);
}

}  // namespace savory
