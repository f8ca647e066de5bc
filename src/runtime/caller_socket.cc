#include "runtime/caller_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>

namespace savory {
namespace {

constexpr int kMaxDescriptors = 16'384;
// Descriptors are given out from the lowest free number: a run of unused ones ends the table.
constexpr int kMaxUnusedRun = 512;

bool Connects(int fd, const sockaddr_in& remote, int local_port, bool* open) {
  sockaddr_in peer = {};
  socklen_t size = sizeof(peer);
  errno = 0;
  const bool connected = getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
  *open = connected || errno != EBADF;
  if (!connected || peer.sin_family != AF_INET) return false;
  if (peer.sin_port != remote.sin_port || peer.sin_addr.s_addr != remote.sin_addr.s_addr) {
    return false;
  }
  sockaddr_in own = {};
  size = sizeof(own);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size) != 0) return false;
  return ntohs(own.sin_port) == local_port;
}

bool IsOpen(int fd) {
  char byte = 0;
  const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return true;
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

}  // namespace

bool IsCallerConnected(const std::string& remote_address, int remote_port, int local_port) {
  sockaddr_in remote = {};
  remote.sin_port = htons(static_cast<std::uint16_t>(remote_port));
  if (inet_pton(AF_INET, remote_address.c_str(), &remote.sin_addr) != 1) return true;
  int unused = 0;
  for (int fd = 0; fd < kMaxDescriptors && unused < kMaxUnusedRun; ++fd) {
    bool open = false;
    if (Connects(fd, remote, local_port, &open)) return IsOpen(fd);
    unused = open ? 0 : unused + 1;
  }
  return false;
}

}  // namespace savory
