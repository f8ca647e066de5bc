#include "apps/silent_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>
#include <vector>

namespace savory {
namespace {

constexpr int kPollMs = 50;
constexpr int kBacklog = 128;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int ConnectTo(const std::string& target) {
  const sockaddr_in address =
      LoopbackAddress(std::atoi(target.substr(target.rfind(':') + 1).c_str()));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) return fd;
  close(fd);
  return -1;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Moves what `from` has to `to`; false at the end of the connection.
bool Move(int from, int to) {
  std::array<char, 65536> buffer = {};
  const ssize_t got = recv(from, buffer.data(), buffer.size(), 0);
  if (got <= 0) return false;
  for (ssize_t sent = 0; sent < got;) {
    const ssize_t count =
        send(to, buffer.data() + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += count;
  }
  return true;
}

}  // namespace

SilentRelay::SilentRelay(int port, std::string target)
    : target(std::move(target)), listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = LoopbackAddress(port);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    std::abort();
  }
  listen(this->listener, kBacklog);
  this->acceptor = std::thread([this] { this->Accept(); });
}

SilentRelay::~SilentRelay() {
  this->stopping.store(true);
  this->acceptor.join();
  close(this->listener);
}

void SilentRelay::Accept() {
  std::vector<std::thread> carriers;
  while (!this->stopping.load()) {
    pollfd item = {.fd = this->listener, .events = POLLIN, .revents = 0};
    if (poll(&item, 1, kPollMs) != 1) continue;
    const int near = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    const int far = ConnectTo(this->target);
    if (near < 0 || far < 0) {
      if (near >= 0) close(near);
      if (far >= 0) close(far);
      continue;
    }
    SetNoDelay(near);
    SetNoDelay(far);
    carriers.emplace_back(
        [this, near, far, born = this->generation.load()] { this->Carry(near, far, born); });
  }
  for (std::thread& carrier : carriers) carrier.join();
}

void SilentRelay::Carry(int near, int far, int born) const {
  bool open = true;
  while (open && !this->stopping.load()) {
    std::array<pollfd, 2> items = {pollfd{.fd = near, .events = POLLIN, .revents = 0},
                                   pollfd{.fd = far, .events = POLLIN, .revents = 0}};
    // A silent connection is kept open until the end, like one behind a failed middlebox.
    const bool silent = this->generation.load() != born;
    const int ready = silent ? poll(nullptr, 0, kPollMs) : poll(items.data(), 2, kPollMs);
    if (ready <= 0) continue;
    if (items[0].revents != 0) open = Move(near, far);
    if (open && items[1].revents != 0) open = Move(far, near);
  }
  close(near);
  close(far);
}

}  // namespace savory
