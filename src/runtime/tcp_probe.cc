#include "runtime/tcp_probe.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "runtime/socket_address.h"

namespace savory {
namespace {

bool Connects(int fd, const sockaddr_in& target, Duration timeout) {
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0) return true;
  if (errno != EINPROGRESS) return false;
  pollfd item = {fd, POLLOUT, 0};
  if (poll(&item, 1, static_cast<int>(ToMillis(timeout))) != 1) return false;
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

}  // namespace

bool AcceptsConnections(const std::string& address, Duration timeout) {
  const std::optional<sockaddr_in> target = ParseSocketAddress(address);
  if (!target) return false;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  const bool connected = Connects(fd, *target, timeout);
  close(fd);
  return connected;
}

}  // namespace savory
