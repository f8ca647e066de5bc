#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <thread>

#include "base/metrics.h"
#include "runtime/async_http_server.h"
#include "runtime/buffered_call.h"
#include "runtime/event_loop.h"
#include "runtime/http_client.h"
#include "runtime/http_connection_pool.h"
#include "runtime/tcp_connection.h"
#include "runtime/tcp_listener.h"
#include "runtime/unfinished_connection.h"

namespace savory {
namespace {

constexpr int kPort = 26911;
constexpr char kAddress[] = "127.0.0.1:26911";
constexpr std::size_t kEndlessBlockBytes = 16384;
// The operating system accepts this much at once, a caller's receive buffer does not.
constexpr std::size_t kLargeBytes = 400'000;
// More than the operating system accepts at once.
constexpr std::size_t kHugeBytes = 16'000'000;

// Collects the answer of one call.
class Collector : public HttpCallHandler {
 public:
  explicit Collector(EventLoop& loop) : loop(loop) {}
  void OnAnswerHead(const HttpHead& head) override { this->status = head.status; }
  void OnAnswerBody(std::string_view bytes) override { this->body += bytes; }
  void OnAnswerDone() override {
    this->done = true;
    this->loop.Stop();
  }
  void OnCallFailed(CallFailure reason) override {
    this->failure = reason;
    this->loop.Stop();
  }

  EventLoop& loop;
  int status = 0;
  std::string body = {};
  bool done = false;
  std::optional<CallFailure> failure = {};
};

int ListenAt(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = {.sin_family = AF_INET,
                               .sin_port = htons(static_cast<std::uint16_t>(port)),
                               .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
                               .sin_zero = {}};
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  EXPECT_EQ(bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  EXPECT_EQ(listen(listener, 8), 0);
  return listener;
}

// A peer that accepts one connection and replies to each read with the next of `answers`.
class RawPeer {
 public:
  enum class End { kClose, kReset, kStayOpen };

  RawPeer(int port, std::vector<std::string> answers, End end,
          Duration reset_delay = std::chrono::milliseconds(50), Duration answer_delay = {})
      : reset_delay(reset_delay),
        answer_delay(answer_delay),
        thread([this, answers, end] { this->Serve(answers, end); }) {
    const sockaddr_in address = {.sin_family = AF_INET,
                                 .sin_port = htons(static_cast<std::uint16_t>(port)),
                                 .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
                                 .sin_zero = {}};
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    EXPECT_EQ(bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
              0);
    EXPECT_EQ(listen(this->listener, 8), 0);
    this->ready = true;
  }
  ~RawPeer() {
    shutdown(this->listener, SHUT_RDWR);
    if (this->accepted >= 0) shutdown(this->accepted, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

 private:
  void Serve(const std::vector<std::string>& answers, End end) {
    while (!this->ready) std::this_thread::yield();
    const int peer = accept(this->listener, nullptr, nullptr);
    if (peer < 0) return;
    this->accepted = peer;
    char buffer[4096];
    for (const std::string& answer : answers) {
      if (read(peer, buffer, sizeof(buffer)) <= 0) break;
      std::this_thread::sleep_for(this->answer_delay);
      (void)!write(peer, answer.data(), answer.size());
    }
    if (end == End::kReset) {
      std::this_thread::sleep_for(this->reset_delay);
      const linger now = {.l_onoff = 1, .l_linger = 0};
      setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    if (end == End::kStayOpen) (void)!read(peer, buffer, sizeof(buffer));
    this->accepted = -1;
    close(peer);
  }

  Duration reset_delay;
  Duration answer_delay;
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  std::atomic<bool> ready = false;
  std::atomic<int> accepted = -1;
  std::thread thread;
};

// A peer that accepts one connection, reads a request, and then writes without end.
class EndlessPeer {
 public:
  EndlessPeer(int port, std::string begin, std::string repeated)
      : begin(std::move(begin)), thread([this, repeated] { this->Serve(repeated); }) {
    const sockaddr_in address = {.sin_family = AF_INET,
                                 .sin_port = htons(static_cast<std::uint16_t>(port)),
                                 .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
                                 .sin_zero = {}};
    const int on = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    EXPECT_EQ(bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
              0);
    EXPECT_EQ(listen(this->listener, 8), 0);
    this->ready = true;
  }
  ~EndlessPeer() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

 private:
  void Serve(const std::string& repeated) {
    while (!this->ready) std::this_thread::yield();
    const int peer = accept(this->listener, nullptr, nullptr);
    if (peer < 0) return;
    char buffer[4096];
    if (read(peer, buffer, sizeof(buffer)) > 0 &&
        send(peer, this->begin.data(), this->begin.size(), MSG_NOSIGNAL) > 0) {
      std::string block;
      while (block.size() < kEndlessBlockBytes) block += repeated;
      while (send(peer, block.data(), block.size(), MSG_NOSIGNAL) > 0) {
      }
    }
    close(peer);
  }

  std::string begin;
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  std::atomic<bool> ready = false;
  std::thread thread;
};

AnswerMatch MatchSecondCall(const HttpHead& head) {
  return FieldValue(head.fields, "Call") == "2" ? AnswerMatch::kThisCall : AnswerMatch::kOtherCall;
}

class AsyncHttpTest : public ::testing::Test {
 protected:
  HttpCallOptions CallTo(const std::string& address, const std::string& target,
                         const std::string& body = "") {
    std::string head;
    AppendRequestHead(
        head, body.empty() ? "GET" : "POST", target,
        std::vector<HttpField>{{.name = "Host", .value = "test"},
                               {.name = "Content-Length", .value = std::to_string(body.size())}});
    return {.address = address, .head = head, .body = body};
  }

  // Runs one call to its end.
  Collector Call(HttpCallOptions options) {
    Collector collector(this->loop);
    const auto call = this->pool.Start(std::move(options), collector);
    const auto limit = this->loop.After(std::chrono::seconds(5), [this] {
      ADD_FAILURE() << "the call did not end within 5 s";
      this->loop.Stop();
    });
    this->loop.Run();
    this->loop.Cancel(limit);
    return collector;
  }

  EventLoop loop;
  Metrics metrics;
  HttpConnectionPool pool{loop, metrics, {}};
};

// A caller that decides when it reads.
class SlowCaller {
 public:
  explicit SlowCaller(const std::string& target, std::string_view fields = "",
                      int receive_buffer = 4096) {
    setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    const sockaddr_in address = {.sin_family = AF_INET,
                                 .sin_port = htons(kPort),
                                 .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
                                 .sin_zero = {}};
    EXPECT_EQ(connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
              0);
    this->Send("GET " + target + " HTTP/1.1\r\nHost: test\r\n" + std::string(fields) + "\r\n");
  }
  ~SlowCaller() { close(this->socket); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  // Returns the number of bytes that were accepted.
  std::size_t Send(std::string_view bytes) {
    const ssize_t sent =
        send(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  // Reads what has arrived, up to `max_bytes`.
  void Read(std::size_t max_bytes) {
    std::array<char, 65536> buffer = {};
    while (max_bytes > 0) {
      const ssize_t count =
          recv(this->socket, buffer.data(), std::min(max_bytes, buffer.size()), MSG_DONTWAIT);
      if (count < 0 && errno != EAGAIN) this->reset = true;
      if (count == 0) this->ended = true;
      if (count <= 0) return;
      this->received.append(buffer.data(), static_cast<std::size_t>(count));
      max_bytes -= static_cast<std::size_t>(count);
    }
  }

  std::string received = {};
  bool ended = false;
  bool reset = false;

 private:
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
};

class AsyncHttpServerTest : public AsyncHttpTest {
 protected:
  AsyncHttpServerTest() { EXPECT_TRUE(this->server.Listen(kAddress).has_value()); }

  void Handle(const SharedExchange& exchange) {
    ++this->requests;
    const std::string& target = exchange->Head().target;
    if (target == "/stream" || target == "/broken") {
      exchange->BeginStream(200, {});
      exchange->SendPart("one ");
      exchange->SendPart("two");
      if (target == "/stream") {
        exchange->EndStream();
      } else {
        exchange->Abort();
      }
      return;
    }
    if (target == "/hold") {
      this->held = exchange;
      return;
    }
    if (target == "/begin") {
      this->held = exchange;
      exchange->BeginStream(200, {});
      exchange->SendPart("begun ");
      return;
    }
    if (target == "/large") return exchange->Answer(200, {}, std::string(kLargeBytes, 'x'));
    if (target == "/huge") return exchange->Answer(200, {}, std::string(kHugeBytes, 'x'));
    if (target == "/release") this->held->Answer(200, {}, "held");
    const std::vector<HttpField> fields = {{.name = "Target", .value = target}};
    exchange->Answer(200, fields, "echo " + exchange->Body());
  }

  void RunFor(Duration time) {
    this->loop.After(time, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  // Runs `task` right before a sweep of the server, without reading any socket in between: the loop
  // is blocked until both are due. To be called right after the server was created.
  void RunBeforeSweep(EventLoop::Task task) {
    this->loop.After(std::chrono::milliseconds(200), [] { usleep(80'000); });
    this->loop.After(std::chrono::milliseconds(225), std::move(task));
  }

  // Reads `bytes_per_step` every 10 ms until the connection ends or nothing more comes.
  void ReadSlowly(SlowCaller& caller, std::size_t bytes_per_step) {
    for (int i = 0; i < 500 && !caller.ended && !caller.reset; ++i) {
      caller.Read(bytes_per_step);
      this->RunFor(std::chrono::milliseconds(10));
    }
  }

  int requests = 0;
  SharedExchange held = {};
  AsyncHttpServer server{
      loop, {}, [this](const SharedExchange& exchange) { this->Handle(exchange); }};
};

// Guards against a body that is modified or truncated on its way to the handler or the caller.
TEST_F(AsyncHttpServerTest, LargeBodiesArriveWhole) {
  const std::string body(3'000'000, 'x');
  const Collector answer = this->Call(this->CallTo(kAddress, "/echo", body));
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body.size(), body.size() + 5);
}

// Guards against an aborted answer being taken for a complete one.
TEST_F(AsyncHttpServerTest, AbortedStreamIsNotComplete) {
  EXPECT_TRUE(this->Call(this->CallTo(kAddress, "/stream")).done);
  const Collector broken = this->Call(this->CallTo(kAddress, "/broken"));
  EXPECT_FALSE(broken.done);
  EXPECT_TRUE(broken.failure.has_value());
}

// Guards against the parts of a stream, or its end, being sent to a caller of HEAD, who takes them
// for the answer to its next request.
TEST_F(AsyncHttpServerTest, AnswerToHeadHasNoBody) {
  int unmatched = 0;
  HttpConnectionPool callers{
      this->loop, this->metrics, {.on_unmatched_bytes = [&unmatched] { ++unmatched; }}};
  Collector collector(this->loop);
  const auto call = callers.Start({.address = kAddress,
                                   .head = "HEAD /stream HTTP/1.1\r\nHost: test\r\n\r\n",
                                   .answer_has_body = false},
                                  collector);
  this->loop.Run();
  this->loop.After(std::chrono::milliseconds(10), [this] { this->loop.Stop(); });
  this->loop.Run();
  EXPECT_EQ(collector.status, 200);
  EXPECT_EQ(unmatched, 0);
}

// Guards against opening a connection for every call: upstreams limit new connections.
TEST_F(AsyncHttpServerTest, ConnectionsAreReused) {
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(this->Call(this->CallTo(kAddress, "/echo")).done);
  EXPECT_EQ(this->metrics.CounterFor("savory_upstream_connections_opened_total").Value(), 1u);
  EXPECT_EQ(this->server.Connections(), 1u);
}

// Guards against the second of two pipelined requests being lost.
TEST_F(AsyncHttpServerTest, PipelinedRequestsAreServedInOrder) {
  const std::string request = "GET /echo HTTP/1.1\r\nHost: test\r\n\r\n";
  HttpCallOptions options = {.address = kAddress, .head = request + request};
  EXPECT_TRUE(this->Call(options).done);
  this->loop.After(std::chrono::milliseconds(20), [this] { this->loop.Stop(); });
  this->loop.Run();
  EXPECT_EQ(this->requests, 2);
}

// Writes requests without waiting for the answers.
class PipeliningClient : public TcpHandler {
 public:
  explicit PipeliningClient(EventLoop& loop) : tcp(loop, kAddress, *this, {}) {}
  void Send(const std::string& target) {
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n";
    const std::string_view piece = request;
    this->tcp.Write({&piece, 1});
  }
  void OnBytes(std::span<const std::byte> bytes) override {
    this->answers.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
  }
  void OnEnd(TcpEnd) override { this->ended = true; }

  std::string answers = {};
  bool ended = false;

 private:
  TcpConnection tcp;
};

// The answer to the first request ends in the same turn of the loop in which the third one arrives.
// Guards against answers that change places: a caller takes another request's answer for its own.
TEST_F(AsyncHttpServerTest, AnswersOfPipelinedRequestsKeepTheirOrder) {
  PipeliningClient caller(this->loop);
  PipeliningClient other(this->loop);
  caller.Send("/hold");
  this->RunFor(std::chrono::milliseconds(50));
  caller.Send("/second");
  other.Send("/first-use");
  this->RunFor(std::chrono::milliseconds(50));
  other.Send("/release");
  caller.Send("/third");
  this->RunFor(std::chrono::milliseconds(50));
  const std::size_t second = caller.answers.find("/second");
  ASSERT_NE(second, std::string::npos) << caller.answers;
  EXPECT_LT(caller.answers.find("held"), second);
  EXPECT_LT(second, caller.answers.find("/third"));
  EXPECT_NE(caller.answers.find("/third"), std::string::npos);
}

// The process is told to stop while a request waits behind another one. Guards against a request
// that was read and is dropped without an answer.
TEST_F(AsyncHttpServerTest, StoppingServerAnswersPipelinedRequests) {
  PipeliningClient caller(this->loop);
  caller.Send("/hold");
  this->RunFor(std::chrono::milliseconds(50));
  caller.Send("/second");
  this->RunFor(std::chrono::milliseconds(50));
  this->server.StartDraining(std::chrono::seconds(2));
  this->held->Answer(200, {}, "held");
  this->RunFor(std::chrono::milliseconds(50));
  const std::size_t second = caller.answers.find("/second");
  ASSERT_NE(second, std::string::npos) << caller.answers;
  // Only the last answer asks the caller to close.
  const std::size_t close = caller.answers.find("Connection: close");
  EXPECT_GT(close, second);
  EXPECT_EQ(caller.answers.find("Connection: close", close + 1), std::string::npos);
}

// The head of a stream was sent before the stop, so it does not announce the close. Guards against
// a caller's next request that is read and dropped as it crosses the close.
TEST_F(AsyncHttpServerTest, StoppingServerAnswersTheRequestAfterAnUnannouncedEnd) {
  PipeliningClient caller(this->loop);
  PipeliningClient silent(this->loop);
  for (PipeliningClient* client : {&silent, &caller}) {
    client->Send("/begin");
    this->RunFor(std::chrono::milliseconds(50));
    if (client == &silent) this->held->EndStream();
  }
  this->server.StartDraining(std::chrono::milliseconds(0));
  this->held->EndStream();
  caller.Send("/next");
  EXPECT_EQ(this->server.BusyConnections(), 0u);
  this->RunFor(std::chrono::milliseconds(50));
  EXPECT_NE(caller.answers.find("Target: /next"), std::string::npos) << caller.answers;
  EXPECT_NE(caller.answers.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(caller.ended);
  this->RunFor(std::chrono::milliseconds(1000));
  EXPECT_TRUE(silent.ended);
}

// Idle connections are due to be closed when the answer ends that a request waits behind. Guards
// against dropping a request that was read.
TEST_F(AsyncHttpServerTest, StoppingServerKeepsAConnectionWithAPipelinedRequest) {
  PipeliningClient caller(this->loop);
  caller.Send("/hold");
  caller.Send("/second");
  this->server.StartDraining(std::chrono::milliseconds(0));
  this->RunBeforeSweep([this] {
    this->server.SetOptions({.idle_timeout = std::chrono::milliseconds(0)});
    this->held->Answer(200, {}, "held");
  });
  this->RunFor(std::chrono::milliseconds(400));
  EXPECT_NE(caller.answers.find("Target: /second"), std::string::npos) << caller.answers;
}

// A request has arrived on an idle connection that is due to be closed, and the loop has been too
// busy to read it. Guards against reading it after the close, and dropping it.
TEST_F(AsyncHttpServerTest, IdleConnectionWithAnUnreadRequestIsNotClosed) {
  SlowCaller caller("/first");
  this->RunBeforeSweep([this, &caller] {
    this->server.SetOptions({.idle_timeout = std::chrono::milliseconds(0)});
    caller.Send("GET /second HTTP/1.1\r\nHost: test\r\n\r\n");
  });
  this->RunFor(std::chrono::milliseconds(400));
  caller.Read(kLargeBytes);
  EXPECT_NE(caller.received.find("Target: /second"), std::string::npos) << caller.received;
}

// A stopping server has closed an idle connection, and its caller does not look before it sends.
// Guards against a caller that waits for an answer to a request that was read and dropped.
TEST_F(AsyncHttpServerTest, RequestAfterTheCloseOfAnIdleConnectionIsReset) {
  SlowCaller caller("/first");
  this->RunFor(std::chrono::milliseconds(50));
  this->server.StartDraining(std::chrono::milliseconds(0));
  this->RunFor(std::chrono::milliseconds(1000));
  caller.Send("GET /second HTTP/1.1\r\nHost: test\r\n\r\n");
  this->RunFor(std::chrono::milliseconds(50));
  EXPECT_EQ(this->server.Connections(), 0u);
}

// Guards against an exit while the operating system still has a part of an answer: a byte from the
// caller after it resets the connection, and the rest is lost.
TEST_F(AsyncHttpServerTest, UnacknowledgedAnswerKeepsAStoppingServerBusy) {
  SlowCaller caller("/large");
  this->RunFor(std::chrono::milliseconds(100));
  this->server.StartDraining(std::chrono::milliseconds(0));
  EXPECT_EQ(this->server.BusyConnections(), 1u);
  EXPECT_EQ(this->server.Unfinished().at(0).unsent_bytes, 0u);
  this->ReadSlowly(caller, kLargeBytes);
  EXPECT_GT(caller.received.size(), kLargeBytes);
  EXPECT_EQ(this->server.BusyConnections(), 0u);
}

// The answer announced the close, and its caller takes longer to read it than `header_timeout`.
// Guards against an answer that is cut by the server's own limit for the peer's close.
TEST_F(AsyncHttpServerTest, ClosingConnectionIsNotCutWhileTheCallerReads) {
  this->server.SetOptions({.header_timeout = std::chrono::milliseconds(100)});
  SlowCaller caller("/huge", "Connection: close\r\n", 200'000);
  this->ReadSlowly(caller, 100'000);
  EXPECT_GT(caller.received.size(), kHugeBytes);
  EXPECT_FALSE(caller.reset);
  EXPECT_TRUE(caller.ended);
}

// A byte has arrived, but was not read, when the server ends while an answer is on its way. Guards
// against a close that resets the connection, so that the rest of the answer is lost.
TEST_F(AsyncHttpTest, UnreadInputDoesNotResetAnAnswerAtTheEnd) {
  auto server = std::make_unique<AsyncHttpServer>(
      this->loop, AsyncHttpServerOptions(), [](const SharedExchange& exchange) {
        exchange->Answer(200, {}, std::string(kLargeBytes, 'x'));
      });
  ASSERT_TRUE(server->Listen(kAddress).has_value());
  SlowCaller caller("/");
  this->loop.After(std::chrono::milliseconds(100), [this] { this->loop.Stop(); });
  this->loop.Run();
  EXPECT_EQ(server->Unfinished().size(), 1u);
  caller.Send("G");
  server.reset();
  for (int i = 0; i < 1000 && !caller.ended && !caller.reset; ++i) {
    caller.Read(kLargeBytes);
    usleep(1000);
  }
  EXPECT_GT(caller.received.size(), kLargeBytes);
  EXPECT_FALSE(caller.reset);
}

// Reading was paused, as too much had arrived behind the request. Guards against a connection that
// stays so once it is closing: the caller can't finish its writing, and is reset in the end.
TEST_F(AsyncHttpServerTest, ClosingConnectionReadsOnAfterAPause) {
  SlowCaller caller("/hold", "Connection: close\r\n");
  this->RunFor(std::chrono::milliseconds(20));
  std::string rest;
  rest.resize(20'000'000, 'y');
  const auto send_for = [&](int steps) {
    for (int i = 0; i < steps && !rest.empty(); ++i) {
      rest.erase(0, caller.Send(rest));
      this->RunFor(std::chrono::milliseconds(1));
    }
  };
  send_for(100);
  EXPECT_FALSE(rest.empty());
  this->held->Answer(200, {}, "held");
  send_for(500);
  EXPECT_TRUE(rest.empty()) << rest.size();
  caller.Read(kLargeBytes);
  EXPECT_TRUE(caller.received.ends_with("held"));
}

// Guards against an incomplete request occupying its connection indefinitely.
TEST_F(AsyncHttpServerTest, IncompleteHeadIsAnswered408) {
  this->server.SetOptions({.header_timeout = std::chrono::milliseconds(50)});
  const Collector answer = this->Call({.address = kAddress, .head = "GET /echo HTTP/1.1\r\n"});
  EXPECT_EQ(answer.status, 408);
}

// Guards against a new configuration that counts on new connections only: a caller that keeps its
// connection was refused what the configuration in force allows.
TEST_F(AsyncHttpServerTest, NewLimitsCountOnKeptConnections) {
  const std::string head = "POST /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 5000\r\n\r\n";
  this->server.SetOptions({.limits = {.max_body_bytes = 100}});
  EXPECT_EQ(
      this->Call({.address = kAddress, .head = "GET /echo HTTP/1.1\r\nHost: test\r\n\r\n"}).status,
      200);
  this->server.SetOptions({.limits = {.max_body_bytes = 10'000}});
  const Collector larger =
      this->Call({.address = kAddress, .head = head, .body = std::string(5000, 'x')});
  EXPECT_EQ(larger.status, 200);
  EXPECT_EQ(this->server.Connections(), 1u);
  this->server.SetOptions({.limits = {.max_body_bytes = 100}});
  const Collector refused =
      this->Call({.address = kAddress, .head = head, .body = std::string(5000, 'x')});
  EXPECT_EQ(refused.status, 413);
}

// ---- callers that hold too much together ----

constexpr char kTenBytes[] = "Content-Length: 10\r\n";

// A body that the handler refuses by its head is not kept, and its connection serves on.
TEST_F(AsyncHttpServerTest, BodyThatIsNotNeededIsDropped) {
  this->server.SetBodyCheck([](const HttpHead& head) { return head.target != "/unknown"; });
  SlowCaller caller("/unknown", kTenBytes);
  this->RunFor(std::chrono::milliseconds(20));
  caller.Send("0123456789GET /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 3\r\n\r\n");
  this->RunFor(std::chrono::milliseconds(20));
  caller.Send("abc");
  this->RunFor(std::chrono::milliseconds(20));
  caller.Read(4096);
  EXPECT_EQ(this->requests, 2);
  EXPECT_EQ(caller.received.find("0123456789"), std::string::npos) << caller.received;
  EXPECT_TRUE(caller.received.ends_with("echo abc")) << caller.received;
}

// The rules change while a body arrives that was not needed by the old ones. Guards against a
// request that is served without its body.
TEST_F(AsyncHttpServerTest, RequestWhoseBodyWasDroppedIsNotServed) {
  bool needed = false;
  this->server.SetBodyCheck([&needed](const HttpHead&) { return needed; });
  SlowCaller caller("/echo", kTenBytes);
  this->RunFor(std::chrono::milliseconds(20));
  needed = true;
  caller.Send("0123456789");
  this->RunFor(std::chrono::milliseconds(20));
  caller.Read(4096);
  EXPECT_TRUE(caller.received.starts_with("HTTP/1.1 503")) << caller.received;
  EXPECT_NE(caller.received.find("Retry-After"), std::string::npos);
  EXPECT_EQ(this->requests, 0);
}

// Unfinished requests take all connections: the oldest is told that it has not run, and a later
// caller is served.
TEST_F(AsyncHttpServerTest, OldestUnfinishedRequestMakesRoomForALaterCaller) {
  this->server.SetOptions({.budget = {.max_connections = 2}});
  SlowCaller first("/echo", kTenBytes);
  this->RunFor(std::chrono::milliseconds(20));
  SlowCaller second("/echo", kTenBytes);
  this->RunFor(std::chrono::milliseconds(20));
  SlowCaller later("/echo");
  this->RunFor(std::chrono::milliseconds(20));
  for (SlowCaller* caller : {&first, &second, &later}) caller->Read(4096);
  EXPECT_TRUE(first.received.starts_with("HTTP/1.1 503")) << first.received;
  EXPECT_TRUE(second.received.empty()) << second.received;
  EXPECT_TRUE(later.received.starts_with("HTTP/1.1 200")) << later.received;
  EXPECT_EQ(this->server.GivenUp(), 1u);
  EXPECT_EQ(this->server.Connections(), 2u);
}

// All connections wait for whole requests. None of them is lost for one more caller.
TEST_F(AsyncHttpServerTest, WholeRequestsAreNotGivenUp) {
  this->server.SetOptions({.budget = {.max_connections = 1}});
  SlowCaller waiting("/hold");
  this->RunFor(std::chrono::milliseconds(20));
  SlowCaller more("/echo");
  this->RunFor(std::chrono::milliseconds(20));
  more.Read(4096);
  EXPECT_TRUE(more.ended || more.reset);
  EXPECT_TRUE(more.received.empty()) << more.received;
  this->held->Answer(200, {}, "held");
  this->RunFor(std::chrono::milliseconds(20));
  waiting.Read(4096);
  EXPECT_TRUE(waiting.received.ends_with("held")) << waiting.received;
}

// Input behind a request is given up for memory: the request keeps its whole answer, and its caller
// learns that nothing follows.
TEST_F(AsyncHttpServerTest, RequestKeepsItsAnswerWhenTheInputBehindItIsGivenUp) {
  this->server.SetOptions({.budget = {.max_bytes = 50'000}});
  SlowCaller caller("/hold");
  this->RunFor(std::chrono::milliseconds(20));
  caller.Send("POST /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 200000\r\n\r\n" +
              std::string(100'000, 'x'));
  this->RunFor(std::chrono::milliseconds(50));
  EXPECT_LT(this->server.HeldBytes(), 50'000u);
  this->held->Answer(200, {}, "held");
  this->RunFor(std::chrono::milliseconds(50));
  caller.Read(4096);
  EXPECT_NE(caller.received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(caller.received.ends_with("held")) << caller.received;
  EXPECT_TRUE(caller.ended);
  EXPECT_EQ(this->requests, 1);
}

// Guards against answers that pile up for a caller that sends requests and doesn't read.
TEST_F(AsyncHttpServerTest, NextRequestWaitsUntilTheAnswersBeforeItAreRead) {
  SlowCaller caller("/huge");
  caller.Send("GET /echo HTTP/1.1\r\nHost: test\r\n\r\n");
  this->RunFor(std::chrono::milliseconds(100));
  EXPECT_EQ(this->requests, 1);
  for (int i = 0; i < 200 && this->requests < 2; ++i) {
    caller.Read(kHugeBytes);
    this->RunFor(std::chrono::milliseconds(10));
  }
  this->RunFor(std::chrono::milliseconds(50));
  caller.Read(kHugeBytes);
  EXPECT_TRUE(caller.received.ends_with("echo ")) << caller.received.size();
}

// Guards against request smuggling: a request with two framings must not be parsed one way here and
// another way by the upstream.
TEST_F(AsyncHttpServerTest, ContradictoryFramingIsRefused) {
  const Collector answer =
      this->Call({.address = kAddress,
                  .head = "POST /echo HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"});
  EXPECT_EQ(answer.status, 400);
  EXPECT_EQ(this->requests, 0);
}

// The process is stopped while a request is half read. Guards against an exit that cuts it off: its
// connection is busy until the answer was handed to the operating system.
TEST_F(AsyncHttpServerTest, HalfReadRequestKeepsAStoppingServerBusy) {
  struct Client : TcpHandler {
    void OnBytes(std::span<const std::byte> bytes) override {
      this->answer.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    }
    void OnEnd(TcpEnd) override {}
    std::string answer = {};
  };
  Client heads;
  Client bodies;
  TcpConnection half_head(this->loop, kAddress, heads, {});
  TcpConnection half_body(this->loop, kAddress, bodies, {});
  const auto write = [](TcpConnection& to, std::string_view text) { to.Write({&text, 1}); };
  write(half_head, "GET / HTTP/1.1\r\nHost: te");
  write(half_body, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nab");
  const auto at = [this](int ms, EventLoop::Task task) {
    this->loop.After(std::chrono::milliseconds(ms), std::move(task));
  };
  at(30, [&] {
    this->server.StartDraining(std::chrono::milliseconds(0));
    EXPECT_EQ(this->server.BusyConnections(), 2u);
  });
  at(400, [&] {
    EXPECT_EQ(this->server.BusyConnections(), 2u);
    write(half_head, "st\r\n\r\n");
    write(half_body, "cd");
  });
  at(450, [&] {
    EXPECT_EQ(this->server.BusyConnections(), 0u);
    this->loop.Stop();
  });
  this->loop.Run();
  EXPECT_TRUE(heads.answer.ends_with("echo ")) << heads.answer;
  EXPECT_TRUE(bodies.answer.ends_with("echo abcd")) << bodies.answer;
}

// Guards against an answer without a length being taken for complete although a reset truncated it.
TEST_F(AsyncHttpTest, AnswerUntilCloseNeedsAnOrderlyClose) {
  const std::string answer = "HTTP/1.1 200 OK\r\n\r\nsome bytes";
  {
    RawPeer peer(26912, {answer}, RawPeer::End::kClose);
    const Collector collector = this->Call(this->CallTo("127.0.0.1:26912", "/"));
    EXPECT_TRUE(collector.done);
    EXPECT_EQ(collector.body, "some bytes");
  }
  RawPeer peer(26913, {answer}, RawPeer::End::kReset);
  const Collector collector = this->Call(this->CallTo("127.0.0.1:26913", "/"));
  EXPECT_EQ(collector.failure, CallFailure::kBrokenOff);
}

// Guards against a reset that arrives together with the last bytes being taken for an orderly
// close.
TEST_F(AsyncHttpTest, ResetAfterUnreadBytesIsNotAnOrderlyClose) {
  RawPeer peer(26916, {"HTTP/1.1 200 OK\r\n\r\nsome bytes"}, RawPeer::End::kReset,
               std::chrono::milliseconds(0), std::chrono::milliseconds(20));
  // Blocks the loop while the bytes and the reset arrive.
  this->loop.After(std::chrono::milliseconds(10), [] { usleep(60'000); });
  const Collector collector = this->Call(this->CallTo("127.0.0.1:26916", "/"));
  EXPECT_EQ(collector.failure, CallFailure::kBrokenOff);
}

// Guards against bytes after a complete answer being taken for the next call's answer.
TEST_F(AsyncHttpTest, ConnectionWithStrayBytesIsNotReused) {
  RawPeer peer(26914,
               {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
                "Content-Length: 5\r\n\r\nwrong"},
               RawPeer::End::kStayOpen);
  const Collector first = this->Call(this->CallTo("127.0.0.1:26914", "/"));
  EXPECT_EQ(first.body, "ok");
  EXPECT_EQ(this->pool.IdleConnections(), 0u);
}

// A second copy of an answer, or the end of the connection, has arrived, but the loop has not read
// it when the next call starts. Guards against a call on a connection that is of no use any more.
TEST_F(AsyncHttpTest, ConnectionWithUnreadInputIsNotReused) {
  const std::string answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";
  for (const bool closes : {false, true}) {
    int reported = 0;
    HttpConnectionPool reporting{
        this->loop, this->metrics, {.on_unmatched_bytes = [&reported] { ++reported; }}};
    int listener = ListenAt(26924);
    Collector first(this->loop);
    const auto call = reporting.Start(this->CallTo("127.0.0.1:26924", "/"), first);
    int peer = -1;
    this->loop.After(std::chrono::milliseconds(10), [&] {
      peer = accept(listener, nullptr, nullptr);
      (void)!write(peer, answer.data(), answer.size());
    });
    this->loop.Run();
    EXPECT_EQ(reporting.IdleConnections(), 1u);
    if (closes) shutdown(peer, SHUT_WR);
    if (!closes) (void)!write(peer, answer.data(), answer.size());
    usleep(10'000);
    const auto before =
        this->metrics.CounterFor("savory_upstream_connections_opened_total").Value();
    Collector second(this->loop);
    const auto next = reporting.Start(this->CallTo("127.0.0.1:26924", "/"), second);
    EXPECT_EQ(this->metrics.CounterFor("savory_upstream_connections_opened_total").Value(),
              before + 1);
    EXPECT_EQ(reported, closes ? 0 : 1);
    close(peer);
    close(listener);
  }
}

// Guards against waiting for a body that an answer to HEAD never has, or ending the process, when
// another answer arrives just before it.
TEST_F(AsyncHttpTest, HeadAnswerBehindAnotherAnswerHasNoBody) {
  const std::string answer = "HTTP/1.1 200 OK\r\nCall: 2\r\nContent-Length: 5\r\n\r\n";
  int port = 26925;
  for (const std::string before : {"HTTP/1.1 100 Continue\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 9\r\n\r\n"}) {
    RawPeer peer(port, {before + answer}, RawPeer::End::kStayOpen);
    HttpCallOptions options = this->CallTo("127.0.0.1:" + std::to_string(port++), "/");
    options.answer_has_body = false;
    options.match = &MatchSecondCall;
    const Collector collector = this->Call(std::move(options));
    EXPECT_TRUE(collector.done);
    EXPECT_EQ(collector.body, "");
  }
}

// An answer to another call ends with its connection. Guards against a call that then waits until
// its deadline.
TEST_F(AsyncHttpTest, AnswerOfAnotherCallUntilCloseIsNoAnswer) {
  RawPeer peer(26927, {"HTTP/1.1 200 OK\r\nCall: 1\r\n\r\nwrong"}, RawPeer::End::kClose);
  HttpCallOptions options = this->CallTo("127.0.0.1:26927", "/");
  options.match = &MatchSecondCall;
  const Collector collector = this->Call(std::move(options));
  EXPECT_EQ(collector.failure, CallFailure::kNoAnswer);
}

// Guards against SIGPIPE ending the process when a caller disconnects while its answer is written.
TEST_F(AsyncHttpServerTest, WritingToClosedConnectionDoesNotEndProcess) {
  std::signal(SIGPIPE, SIG_DFL);
  EventLoop other;  // the constructor of a loop ignores SIGPIPE
  SharedExchange kept;
  AsyncHttpServer slow{this->loop, {}, [&](const SharedExchange& exchange) { kept = exchange; }};
  ASSERT_TRUE(slow.Listen("127.0.0.1:26917").has_value());
  Collector collector(this->loop);
  auto call = this->pool.Start(this->CallTo("127.0.0.1:26917", "/"), collector);
  this->loop.After(std::chrono::milliseconds(30), [&] {
    call.reset();
    usleep(20'000);  // the close arrives before the loop polls the connection
    kept->BeginStream(200, {});
    for (int i = 0; i < 50; ++i) {
      kept->SendPart(std::string(1000, 'x'));
      usleep(1000);
    }
    this->loop.Stop();
  });
  this->loop.Run();
  EXPECT_TRUE(kept->HasBegun());
}

// Guards against a use after free when the owner keeps a reset connection after libuv has closed
// its handle. `make test-asan` detects it; it crashed 1 of 54 runs of the soak with faults.
TEST_F(AsyncHttpTest, ResetConnectionMayOutliveItsHandle) {
  struct Ignore : TcpHandler {
    void OnBytes(std::span<const std::byte>) override {}
    void OnEnd(TcpEnd) override {}
  } handler;
  TcpListener listener(this->loop);
  std::unique_ptr<TcpConnection> accepted;
  const auto listening = listener.Listen("127.0.0.1:26918", [&](uv_stream_s* server) {
    accepted = std::make_unique<TcpConnection>(this->loop, server, handler, TcpOptions{});
  });
  ASSERT_TRUE(listening.has_value());
  TcpConnection connection(this->loop, "127.0.0.1:26918", handler, {});
  this->loop.After(std::chrono::milliseconds(20), [&] { connection.Reset(); });
  this->loop.After(std::chrono::milliseconds(60), [&] {
    const std::string_view late = "late";
    connection.Write({&late, 1});
    EXPECT_EQ(connection.UnsentBytes(), 0u);
    this->loop.Stop();
  });
  this->loop.Run();
}

// A call is given up while its peer stands still, with part of the request on the way. Guards
// against a system that goes on to deliver the rest, so that the peer carries the request out as it
// wakes.
TEST_F(AsyncHttpTest, CallThatIsGivenUpIsNotDeliveredLater) {
  const int listener = ListenAt(kPort);
  const int receive_bytes = 4096;
  setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
  Collector collector(this->loop);
  auto call = this->pool.Start({.address = kAddress,
                                .head = "POST /run HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                        std::to_string(kLargeBytes) + "\r\n\r\n",
                                .body = std::string(kLargeBytes, 'x')},
                               collector);
  this->loop.After(std::chrono::milliseconds(200), [&] { call.reset(); });
  this->loop.After(std::chrono::milliseconds(300), [this] { this->loop.Stop(); });
  this->loop.Run();
  ASSERT_FALSE(collector.failure.has_value());
  const int peer = accept(listener, nullptr, nullptr);
  std::size_t received = 0;
  std::array<char, 65536> buffer;
  for (ssize_t count = 1; count > 0; received += static_cast<std::size_t>(count)) {
    count = std::max<ssize_t>(0, read(peer, buffer.data(), buffer.size()));
  }
  EXPECT_LT(received, kLargeBytes);
  close(peer);
  close(listener);
}

// Guards against a late answer to an earlier call being delivered to a later one.
TEST_F(AsyncHttpTest, AnswerOfAnotherCallIsDropped) {
  RawPeer peer(26915,
               {"HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 5\r\n\r\nwrong"
                "HTTP/1.1 200 OK\r\nCall: 2\r\nContent-Length: 5\r\n\r\nright"},
               RawPeer::End::kStayOpen);
  HttpCallOptions options = this->CallTo("127.0.0.1:26915", "/");
  options.match = &MatchSecondCall;
  const Collector collector = this->Call(std::move(options));
  EXPECT_EQ(collector.body, "right");
}

// Guards against a call that reads interim answers until its deadline.
TEST_F(AsyncHttpTest, EndlessInterimAnswersAreMalformed) {
  EndlessPeer peer(26920, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\n");
  const Collector collector = this->Call(this->CallTo("127.0.0.1:26920", "/"));
  EXPECT_EQ(collector.failure, CallFailure::kMalformed);
}

// Guards against a call that drops the body of an answer to another call until its deadline.
TEST_F(AsyncHttpTest, EndlessAnswerOfAnotherCallIsMalformed) {
  EndlessPeer peer(26921, "HTTP/1.1 200 OK\r\nCall: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                   "1\r\na\r\n");
  HttpCallOptions options = this->CallTo("127.0.0.1:26921", "/");
  options.match = &MatchSecondCall;
  const Collector collector = this->Call(std::move(options));
  EXPECT_EQ(collector.failure, CallFailure::kMalformed);
}

// Guards against memory that grows until a call that buffers its answer times out.
TEST_F(AsyncHttpTest, EndlessBodyOfABufferedAnswerIsMalformed) {
  EndlessPeer peer(26922, "HTTP/1.1 200 OK\r\n\r\n", "bytes without end ");
  std::optional<Result<BufferedAnswer>> answer;
  StartBufferedCall(this->loop, this->pool, this->CallTo("127.0.0.1:26922", "/"),
                    {.timeout = std::chrono::seconds(20)}, [&](Result<BufferedAnswer> result) {
                      answer = std::move(result);
                      this->loop.Stop();
                    });
  this->loop.Run();
  ASSERT_TRUE(answer.has_value());
  ASSERT_FALSE(answer->has_value());
  EXPECT_EQ(answer->error().kind, ErrorKind::kMalformed);
}

// The process stands still while the answers to two calls arrive, so that the second one is read
// long after its time. Guards against a late answer being taken for a timely one because it is read
// before the call's timer runs.
TEST_F(AsyncHttpTest, AnswerThatIsReadTooLateIsATimeout) {
  const auto timeout = std::chrono::milliseconds(700);
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
  const auto delay = std::chrono::milliseconds(100);
  RawPeer first(26929, {answer}, RawPeer::End::kStayOpen, {}, delay);
  RawPeer second(26930, {answer}, RawPeer::End::kStayOpen, {}, delay);
  std::vector<Result<BufferedAnswer>> results;
  const auto done = [&](Result<BufferedAnswer> result) {
    results.push_back(std::move(result));
    if (results.size() == 2) return this->loop.Stop();
    std::this_thread::sleep_for(timeout);
  };
  for (const char* address : {"127.0.0.1:26929", "127.0.0.1:26930"}) {
    StartBufferedCall(this->loop, this->pool, this->CallTo(address, "/"), {.timeout = timeout},
                      done);
  }
  // Both answers arrive meanwhile and are read in one turn of the loop.
  this->loop.After(delay / 2, [delay] { std::this_thread::sleep_for(2 * delay); });
  this->loop.Run();
  ASSERT_EQ(results.size(), 2u);
  ASSERT_TRUE(results[0].has_value());
  EXPECT_EQ(results[0].value().body, "one");
  ASSERT_FALSE(results[1].has_value());
  EXPECT_EQ(results[1].error().kind, ErrorKind::kTimeout);
}

// A peer sends a second copy of an answer while the next call waits on the connection, and nothing
// in the answers tells them apart. Guards against a mix-up that the caller does not learn of.
TEST_F(AsyncHttpTest, LateSecondCopyOfAnAnswerIsReported) {
  const auto answer = [](const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body;
  };
  RawPeer peer(26923, {answer("one"), answer("one") + answer("two")}, RawPeer::End::kStayOpen);
  int reported = 0;
  HttpConnectionPool reporting{
      this->loop, this->metrics, {.on_unmatched_bytes = [&reported] { ++reported; }}};
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(reported, 0);
    Collector collector(this->loop);
    const auto call = reporting.Start(this->CallTo("127.0.0.1:26923", "/"), collector);
    this->loop.Run();
    EXPECT_EQ(collector.body, "one");
  }
  EXPECT_EQ(reported, 1);
  EXPECT_EQ(reporting.IdleConnections(), 0u);
}

// Guards against an empty answer of the blocking client when its peer stops anywhere in the head.
TEST_F(AsyncHttpTest, BlockingClientFailsWhenTheHeadStops) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t bytes = 0; bytes < head.size(); ++bytes) {
    RawPeer peer(26928, {head.substr(0, bytes)}, RawPeer::End::kClose);
    const auto answer = HttpClient("127.0.0.1:26928").Call({});
    EXPECT_FALSE(answer) << bytes;
  }
}

// Guards against a refused connection being reported as a call that may have arrived.
TEST_F(AsyncHttpTest, RefusedConnectionIsReportedAsNotSent) {
  const Collector collector = this->Call(this->CallTo("127.0.0.1:26919", "/"));
  EXPECT_EQ(collector.failure, CallFailure::kNotSent);
}

}  // namespace
}  // namespace savory
