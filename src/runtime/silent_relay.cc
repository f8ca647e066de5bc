#include "runtime/silent_relay.h"

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

#include "base/digest.h"

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

// Forwards the bytes that are readable at `from` to `to`. Returns false when a connection has
// ended.
bool ForwardBytes(int from, int to) {
  std::array<char, 65536> buffer = {};
  const ssize_t received = recv(from, buffer.data(), buffer.size(), 0);
  if (received <= 0) return false;
  for (ssize_t sent = 0; sent < received;) {
    const ssize_t count =
        send(to, buffer.data() + sent, static_cast<std::size_t>(received - sent), MSG_NOSIGNAL);
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
  this->acceptor = std::thread([this] { this->AcceptConnections(); });
}

void SilentRelay::Silence(double share, std::uint64_t seed) {
  this->share.store(share);
  this->seed.store(seed);
  this->generation.fetch_add(1);
}

bool SilentRelay::IsChosen(std::size_t number) const {
  const std::uint64_t score = RendezvousScore(std::to_string(this->seed.load()),
                                              this->target + "#" + std::to_string(number));
  return static_cast<double>(score >> 11) * 0x1p-53 < this->share.load();
}

SilentRelay::~SilentRelay() {
  this->stopping.store(true);
  this->acceptor.join();
  close(this->listener);
}

void SilentRelay::AcceptConnections() {
  std::vector<std::thread> forwarders;
  while (!this->stopping.load()) {
    pollfd item = {.fd = this->listener, .events = POLLIN, .revents = 0};
    if (poll(&item, 1, kPollMs) != 1) continue;
    const int client_fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    const int target_fd = ConnectTo(this->target);
    if (client_fd < 0 || target_fd < 0) {
      if (client_fd >= 0) close(client_fd);
      if (target_fd >= 0) close(target_fd);
      continue;
    }
    SetNoDelay(client_fd);
    SetNoDelay(target_fd);
    forwarders.emplace_back([this, client_fd, target_fd, number = forwarders.size(),
                             generation_at_open = this->generation.load()] {
      this->ForwardConnection(client_fd, target_fd, number, generation_at_open);
    });
  }
  for (std::thread& forwarder : forwarders) forwarder.join();
}

void SilentRelay::ForwardConnection(int client_fd, int target_fd, std::size_t number,
                                    int generation_at_open) const {
  bool open = true;
  while (open && !this->stopping.load()) {
    std::array<pollfd, 2> items = {pollfd{.fd = client_fd, .events = POLLIN, .revents = 0},
                                   pollfd{.fd = target_fd, .events = POLLIN, .revents = 0}};
    // A silenced connection stays open until the relay is destroyed, like one through a failed
    // middlebox.
    const bool silent = this->generation.load() != generation_at_open && this->IsChosen(number);
    const int ready = silent ? poll(nullptr, 0, kPollMs) : poll(items.data(), 2, kPollMs);
    if (ready <= 0) continue;
    if (items[0].revents != 0) open = ForwardBytes(client_fd, target_fd);
    if (open && items[1].revents != 0) open = ForwardBytes(target_fd, client_fd);
  }
  close(client_fd);
  close(target_fd);
}

}  // namespace savory
