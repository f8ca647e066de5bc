#include "runtime/http_server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <cstdlib>
#include <thread>

#include "base/log.h"
#include "runtime/caller_socket.h"
#include "runtime/thread_pool.h"

namespace savory {
namespace {

constexpr std::size_t kMaxBodyBytes = 64u << 20;
constexpr std::size_t kKeepAliveRequests = 100'000;
constexpr time_t kReadTimeoutSeconds = 30;

// The library's default backlog of 5 refuses connections when callers arrive in bursts.
constexpr int kListenBacklog = 512;

class Server : public httplib::Server {
 public:
  // Call after the socket is bound.
  void EnlargeBacklog() { ::listen(this->svr_sock_, kListenBacklog); }
};

// One thread for each open connection, started on demand: an entry allows hundreds of connections,
// and starting a thread for each of them up front exhausted the threads of a machine that runs many
// entries.
class ConnectionThreads : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(int max_threads) : threads(max_threads) {}

  void enqueue(std::function<void()> task) override {  // NOLINT(readability-identifier-naming)
    this->threads.Run(std::move(task));
  }
  void shutdown() override { this->threads.Join(); }  // NOLINT(readability-identifier-naming)

 private:
  ThreadPool threads;
};

HttpRequest FromLibrary(const httplib::Request& request) {
  const auto socket =
      std::make_shared<CallerSocket>(request.remote_addr, request.remote_port, request.local_port);
  return HttpRequest{.method = request.method,
                     .path = request.path,
                     .target = request.target,
                     .headers = HttpHeaders(request.headers.begin(), request.headers.end()),
                     .query = std::multimap<std::string, std::string>(request.params.begin(),
                                                                      request.params.end()),
                     .body = request.body,
                     .is_connected = [socket] { return socket->IsConnected(); }};
}

void SetStream(HttpReply reply, httplib::Response& response) {
  auto shared = std::make_shared<HttpReply>(std::move(reply));
  const auto run = [shared](httplib::DataSink& sink) {
    return shared->stream([&sink](std::span<const std::byte> part) {
      return sink.write(reinterpret_cast<const char*>(part.data()), part.size());
    });
  };
  if (shared->stream_length > 0) {
    response.set_content_provider(
        shared->stream_length, shared->content_type,
        [run](std::size_t, std::size_t, httplib::DataSink& sink) { return run(sink); });
    return;
  }
  response.set_chunked_content_provider(shared->content_type,
                                        [run](std::size_t, httplib::DataSink& sink) {
                                          if (!run(sink)) return false;
                                          sink.done();
                                          return true;
                                        });
}

void ToLibrary(HttpReply reply, httplib::Response& response) {
  response.status = reply.status;
  for (const auto& [name, value] : reply.headers) response.headers.emplace(name, value);
  if (reply.stream) {
    SetStream(std::move(reply), response);
    return;
  }
  response.set_content(reply.body, reply.content_type);
}

}  // namespace

struct HttpServer::Impl {
  explicit Impl(HttpServerOptions options) : options(std::move(options)) {}

  HttpServerOptions options;
  Server server = {};
  std::thread thread = {};
};

HttpServer::HttpServer(HttpServerOptions options)
    : impl(std::make_unique<Impl>(std::move(options))) {
  httplib::Server& server = this->impl->server;
  const int threads = this->impl->options.max_connections;
  server.new_task_queue = [threads] { return new ConnectionThreads(threads); };
  server.set_payload_max_length(kMaxBodyBytes);
  server.set_keep_alive_timeout(this->impl->options.keep_alive / std::chrono::seconds(1));
  server.set_keep_alive_max_count(kKeepAliveRequests);
  server.set_read_timeout(kReadTimeoutSeconds);
  server.set_tcp_nodelay(true);
}

HttpServer::~HttpServer() { this->Stop(); }

void HttpServer::Handle(const std::string& method, const std::string& pattern, Handler handler) {
  const auto adapter = [handler = std::move(handler)](const httplib::Request& request,
                                                      httplib::Response& response) {
    ToLibrary(handler(FromLibrary(request)), response);
  };
  httplib::Server& server = this->impl->server;
  const bool all = method == "*";
  if (all || method == "GET") server.Get(pattern, adapter);
  if (all || method == "POST") server.Post(pattern, adapter);
  if (all || method == "PUT") server.Put(pattern, adapter);
  if (all || method == "PATCH") server.Patch(pattern, adapter);
  if (all || method == "DELETE") server.Delete(pattern, adapter);
}

void HttpServer::Start() {
  const std::string& listen = this->impl->options.listen;
  const std::size_t colon = listen.rfind(':');
  const int port = std::atoi(listen.substr(colon + 1).c_str());
  if (!this->impl->server.bind_to_port(listen.substr(0, colon), port)) {
    Log(LogLevel::kError, "http_bind_failed", {{"address", listen}});
    std::exit(EXIT_FAILURE);
  }
  this->impl->server.EnlargeBacklog();
  this->impl->thread = std::thread([this] { this->impl->server.listen_after_bind(); });
  // The library ignores stop() until its thread accepts connections.
  while (!this->impl->server.is_running()) std::this_thread::yield();
}

void HttpServer::Stop() {
  if (!this->impl->thread.joinable()) return;
  this->impl->server.stop();
  this->impl->thread.join();
}

}  // namespace savory
