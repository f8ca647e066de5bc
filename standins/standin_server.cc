#include "standins/standin_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

namespace savory::standins {
namespace {

constexpr int kIdleTimeoutMs = 600'000;
constexpr int kIoTimeoutMs = 60'000;
constexpr std::size_t kMaxConnections = 2'000;
constexpr int kBacklog = 1024;
constexpr std::size_t kKeepAliveRequests = 1'000'000;
constexpr std::size_t kMaxBodyBytes = 64u << 20;

// Socket of the connection whose handler runs on this thread.
thread_local int current_socket = -1;

bool WaitForEvents(int socket, std::int16_t events, int timeout_ms) {
  pollfd entry = {.fd = socket, .events = events, .revents = 0};
  return poll(&entry, 1, timeout_ms) > 0;
}

// Stream of the HTTP library over one socket.
class SocketStream : public httplib::Stream {
 public:
  explicit SocketStream(int socket) : fd(socket) {}

  bool is_readable() const override { return WaitForEvents(this->fd, POLLIN, 0); }
  bool is_writable() const override { return WaitForEvents(this->fd, POLLOUT, kIoTimeoutMs); }

  ssize_t read(char* data, size_t size) override {
    if (this->consumed == this->filled && !this->Fill()) return this->last_result;
    const size_t count = std::min(size, this->filled - this->consumed);
    std::memcpy(data, this->buffer.data() + this->consumed, count);
    this->consumed += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, size_t size) override {
    if (!this->is_writable()) return -1;
    return send(this->fd, data, size, MSG_NOSIGNAL);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address = {};
    socklen_t length = sizeof(address);
    getpeername(this->fd, reinterpret_cast<sockaddr*>(&address), &length);
    Describe(address, ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_in address = {};
    socklen_t length = sizeof(address);
    getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &length);
    Describe(address, ip, port);
  }
  socket_t socket() const override { return this->fd; }

  // Input that was read ahead and belongs to the next request.
  bool HasBuffered() const { return this->consumed < this->filled; }

 private:
  static void Describe(const sockaddr_in& address, std::string& ip, int& port) {
    std::array<char, INET_ADDRSTRLEN> text = {};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
  }

  bool Fill() {
    this->consumed = 0;
    this->filled = 0;
    this->last_result = -1;
    if (!WaitForEvents(this->fd, POLLIN, kIoTimeoutMs)) return false;
    this->last_result = recv(this->fd, this->buffer.data(), this->buffer.size(), 0);
    if (this->last_result <= 0) return false;
    this->filled = static_cast<size_t>(this->last_result);
    return true;
  }

  int fd;
  std::vector<char> buffer = std::vector<char>(16'384);
  size_t consumed = 0;
  size_t filled = 0;
  ssize_t last_result = 0;
};

// Runs each connection on a thread of its own; waits while kMaxConnections are open.
class ThreadPerConnection : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->running < kMaxConnections; });
    ++this->running;
    std::thread([this, task = std::move(task)] {
      task();
      const std::lock_guard guard(this->mutex);
      --this->running;
      this->changed.notify_all();
    }).detach();
  }

  void shutdown() override {
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->running == 0; });
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t running = 0;
};

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

struct StandinServer::Impl {
  std::string listen;
};

StandinServer::StandinServer(std::string listen)
    : impl(std::make_unique<Impl>(Impl{.listen = std::move(listen)})) {
  this->new_task_queue = [] { return new ThreadPerConnection(); };
  this->set_payload_max_length(kMaxBodyBytes);
  this->set_tcp_nodelay(true);
  this->set_keep_alive_timeout(kIdleTimeoutMs / 1000);
  this->set_keep_alive_max_count(kKeepAliveRequests);
}

StandinServer::~StandinServer() = default;

void StandinServer::BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void StandinServer::ServeUntilSignal() {
  const std::string& listen = this->impl->listen;
  const std::size_t colon = listen.rfind(':');
  if (colon == std::string::npos ||
      !this->bind_to_port(listen.substr(0, colon), std::atoi(listen.substr(colon + 1).c_str()))) {
    std::cerr << "cannot listen on " << listen << '\n';
    _exit(EXIT_FAILURE);
  }
  // The library's backlog of a few connections delays a burst of connects by a second.
  ::listen(this->svr_sock_, kBacklog);
  std::thread([this] { this->listen_after_bind(); }).detach();
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  _exit(EXIT_SUCCESS);
}

bool StandinServer::process_and_close_socket(socket_t sock) {
  current_socket = sock;
  SocketStream stream(sock);
  bool ok = true;
  bool closed = false;
  while (ok && !closed && (stream.HasBuffered() || WaitForEvents(sock, POLLIN, kIdleTimeoutMs))) {
    ok = this->process_request(stream, false, closed, nullptr);
  }
  current_socket = -1;
  shutdown(sock, SHUT_RDWR);
  close(sock);
  return ok;
}

void StandinServer::DropConnection() { shutdown(current_socket, SHUT_RDWR); }

void StandinServer::NeverAnswer(int limit_ms) {
  pollfd entry = {.fd = current_socket, .events = POLLRDHUP, .revents = 0};
  poll(&entry, 1, limit_ms);
  DropConnection();
}

bool StandinServer::CallerDisconnected() {
  pollfd entry = {.fd = current_socket, .events = POLLRDHUP, .revents = 0};
  return poll(&entry, 1, 0) > 0;
}

void ReplyJson(httplib::Response& response, const nlohmann::json& body, int status) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

nlohmann::json ParseJsonBody(const httplib::Request& request, httplib::Response& response) {
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (body.is_object()) return body;
  ReplyJson(response, {{"error", "the body must be a JSON object"}}, 400);
  return nlohmann::json(nlohmann::json::value_t::discarded);
}

}  // namespace savory::standins
