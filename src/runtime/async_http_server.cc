#include "runtime/async_http_server.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/log.h"
#include "runtime/event_loop.h"
#include "runtime/tcp_connection.h"
#include "runtime/tcp_listener.h"
#include "runtime/unfinished_connection.h"

namespace savory {
namespace {

constexpr Duration kSweepPeriod = std::chrono::milliseconds(250);
// Reading pauses when the buffered input of pipelined requests exceeds this size.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{256} * 1024;
// The next request of a connection waits while more of the answers before it is unsent.
constexpr std::size_t kMaxUnsentBeforeNext = std::size_t{64} * 1024;
// Of a connection without input.
constexpr std::size_t kConnectionBytes = 2048;
constexpr char kRoomRetryAfterSeconds[] = "1";
// A connection that is idle for less is not closed by a stop: a caller that uses connections again
// may have sent its next request before it could learn of the close.
constexpr Duration kReuseTime = std::chrono::milliseconds(500);

struct LocalAnswer {
  int status;
  std::string_view body;
};

LocalAnswer AnswerToParseFailure(HttpParseFailure failure) {
  switch (failure) {
    case HttpParseFailure::kHeaderTooLarge:
      return {431, "request header fields too large\n"};
    case HttpParseFailure::kBodyTooLarge:
      return {413, "request body too large\n"};
    default:
      return {400, "malformed request\n"};
  }
}

}  // namespace

class CallerConnection;

struct HttpExchange::Impl {
  CallerConnection* connection;  // null once the caller has disconnected or the answer is over
  HttpHead head;
  std::string body;
  Instant received_at;
  std::function<void()> on_disconnected = {};
  std::function<void()> on_flushed = {};
  bool begun = false;

  // An answer to HEAD has no body.
  bool IsHead() const { return this->head.method == "HEAD"; }
};

struct AsyncHttpServer::Impl : std::enable_shared_from_this<AsyncHttpServer::Impl> {
  EventLoop& loop;
  AsyncHttpServerOptions options;
  Handler handler;
  InputBudget budget;  // outlives the connections
  std::unique_ptr<TcpListener> listener = {};
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>> connections = {};
  std::vector<std::unique_ptr<CallerConnection>> removed = {};  // destroyed later
  std::optional<Instant> draining_since = {};
  Duration linger = {};
  BodyCheck body_check = {};
  std::uint64_t given_up = 0;
  bool room_scheduled = false;

  Impl(EventLoop& loop, AsyncHttpServerOptions options, Handler handler)
      : loop(loop), options(options), handler(std::move(handler)), budget(options.budget) {}

  void Accept(uv_stream_s* listener);
  void Sweep();
  // Gives up connections until the budget is kept.
  void MakeRoom();
  void ScheduleRoom();
  void LogGivenUp(HolderPhase phase, std::string_view reason);
  void Remove(CallerConnection* connection);
};

class CallerConnection : public TcpHandler {
 public:
  CallerConnection(AsyncHttpServer::Impl& server, uv_stream_s* listener)
      : server(server),
        parser(HttpMessageKind::kRequest, server.options.limits),
        phase_since(server.loop.Now()),
        tcp(server.loop, listener, *this, {.user_timeout = server.options.user_timeout}) {}

  ~CallerConnection() override {
    if (!this->ended) this->KeepAnswer();
    this->server.budget.Remove(this);
  }

  void OnBytes(std::span<const std::byte> bytes) override {
    if (this->closing) return this->Discard(bytes.size());
    if (this->exchange == nullptr && !this->resuming &&
        this->tcp.UnsentBytes() > kMaxUnsentBeforeNext) {
      this->ResumeLater();
    }
    if (this->exchange != nullptr || this->resuming) {
      this->KeepPipelined(bytes);
    } else {
      if (this->phase == Phase::kIdle) this->Enter(Phase::kHead);
      this->parser.Feed(bytes);
      this->Advance();
    }
    this->CountHeld();
    this->server.MakeRoom();
  }

  void OnEnd(TcpEnd) override {
    this->ended = true;
    this->DropExchange();
    this->server.Remove(this);
  }

  void OnFlushed() override {
    this->CountHeld();
    if (std::exchange(this->waits_for_flush, false)) this->ScheduleResume();
    if (this->closing) this->tcp.CloseWhenSent();
    if (this->exchange == nullptr) return;
    const auto callback = std::exchange(StateOf(*this->exchange).on_flushed, nullptr);
    if (callback) callback();
  }

  // Ends the exchange after the caller has disconnected.
  void DropExchange() {
    if (this->exchange == nullptr) return;
    const SharedExchange dropped = std::exchange(this->exchange, nullptr);
    HttpExchange::Impl& state = StateOf(*dropped);
    state.connection = nullptr;
    if (const auto callback = std::exchange(state.on_disconnected, nullptr)) callback();
  }

  void SendHead(int status, std::span<const HttpField> fields, std::string_view framing,
                std::string_view body) {
    std::vector<HttpField> all(fields.begin(), fields.end());
    const std::size_t colon = framing.find(':');
    all.push_back({.name = std::string(framing.substr(0, colon)),
                   .value = std::string(framing.substr(colon + 1))});
    if (this->EndsWithThisAnswer()) {
      this->close_announced = true;
      all.push_back({.name = "Connection", .value = "close"});
    }
    std::string head;
    head.reserve(512);
    AppendResponseHead(head, status, all);
    const std::string_view pieces[] = {head, body};
    this->tcp.Write(pieces);
    this->CountHeld();
  }

  void SendChunk(std::string_view bytes) {
    if (bytes.empty()) return;
    std::array<char, 20> size = {};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    const std::string_view pieces[] = {
        {size.data(), static_cast<std::size_t>(length)}, bytes, "\r\n"};
    this->tcp.Write(pieces);
    this->CountHeld();
  }

  void SendLastChunk() {
    const std::string_view piece = "0\r\n\r\n";
    this->tcp.Write({&piece, 1});
  }

  // The answer is complete; the next request may follow.
  void FinishExchange() {
    const bool keep = this->KeepsOpen();
    const SharedExchange done = std::exchange(this->exchange, nullptr);
    StateOf(*done).connection = nullptr;
    StateOf(*done).on_disconnected = nullptr;
    if (!keep) {
      this->CloseGracefully();
      return;
    }
    this->served = true;
    this->Enter(Phase::kIdle);
    this->parser.Next();
    if (this->parser.IsDone() || this->parser.HasInput() || !this->pipelined.empty()) {
      this->ResumeLater();
    }
    this->CountHeld();
  }

  void AbortExchange() {
    const SharedExchange aborted = std::exchange(this->exchange, nullptr);
    StateOf(*aborted).connection = nullptr;
    StateOf(*aborted).on_disconnected = nullptr;
    this->ended = true;
    this->tcp.Reset();
    this->server.Remove(this);
  }

  std::size_t UnsentBytes() const { return this->tcp.UnsentBytes(); }

  // A request that has begun to arrive keeps the limits that it began under.
  void ApplyLimits() { this->parser.SetLimits(this->server.options.limits); }

  UnfinishedConnection Unfinished() const {
    if (this->ended) return {};
    return {.request = this->parser.HasHead() ? &this->parser.Head() : nullptr,
            .is_answering = this->exchange != nullptr,
            .unsent_bytes = this->tcp.UnsentBytes(),
            .unacknowledged_bytes = this->tcp.UnacknowledgedBytes(),
            .has_unread_input = this->tcp.Pending() == TcpPending::kBytes};
  }

  bool IsBusy() const {
    if (this->ended) return false;
    const bool reads_request = this->phase != Phase::kIdle && !this->closing;
    if (this->exchange != nullptr || reads_request || this->resuming) return true;
    return this->tcp.UnsentBytes() > 0 || this->tcp.UnacknowledgedBytes() > 0;
  }

  // Makes room for others by what this connection holds.
  void GiveUp(std::string_view reason) {
    const HolderPhase given = this->HeldPhase();
    this->server.LogGivenUp(given, reason);
    switch (given) {
      case HolderPhase::kUnfinished:
        this->Refuse(503, "too many unfinished requests\n");
        break;
      case HolderPhase::kPipelining:
        this->refusing = true;
        FreeBytes(this->pipelined);
        this->parser.DropInput();
        this->tcp.ResumeReading();
        break;
      case HolderPhase::kUnread:
      case HolderPhase::kStalled:
        this->ended = true;
        this->tcp.Reset();
        this->DropExchange();
        this->server.Remove(this);
        break;
      default:
        this->EndNow();
    }
    this->CountHeld();
  }

  // Closes at once; what was sent still arrives.
  void EndNow() {
    if (this->ended) return;
    if (this->refusing) {
      this->tcp.DiscardInput();
    } else {
      this->KeepAnswer();
    }
    this->ended = true;
    this->tcp.Close();
    this->DropExchange();
    this->server.Remove(this);
  }

  // Tells the budget what this connection holds.
  void CountHeld() {
    if (this->ended) return this->server.budget.Remove(this);
    const HolderPhase now = this->HeldPhase();
    if (now != this->held_phase) this->held_since = this->server.loop.Now();
    this->held_phase = now;
    std::size_t bytes = kConnectionBytes + this->parser.HeldBytes() + this->body.capacity() +
                        this->pipelined.capacity() + this->tcp.UnsentBytes();
    if (this->exchange != nullptr) bytes += StateOf(*this->exchange).body.capacity();
    this->server.budget.Set(this, {.phase = now, .bytes = bytes, .since = this->held_since});
    if (this->server.budget.IsOver()) this->server.ScheduleRoom();
  }

  // Applies the timeout of the current phase.
  void CheckTimeouts(Instant now) {
    if (this->ended || this->exchange != nullptr) return;
    const Duration waited = now - this->phase_since;
    if (this->closing) return this->CheckClosing(now);
    const AsyncHttpServerOptions& options = this->server.options;
    switch (this->phase) {
      case Phase::kIdle:
        if (waited > options.idle_timeout || this->LingerElapsed(now)) this->CloseIdle();
        return;
      case Phase::kHead:
        if (waited > options.header_timeout) this->Refuse(408, "request head not complete\n");
        return;
      case Phase::kBody:
        if (waited > options.body_timeout) this->Refuse(408, "request body not complete\n");
        return;
    }
  }

 private:
  enum class Phase { kIdle, kHead, kBody };

  static HttpExchange::Impl& StateOf(HttpExchange& given) { return *given.impl; }

  bool LingerElapsed(Instant now) const {
    if (!this->server.draining_since) return false;
    return now - *this->server.draining_since > this->server.linger &&
           now - this->phase_since > kReuseTime;
  }

  // Bytes of answers that the caller has not acknowledged.
  std::size_t BytesLeft() const {
    return this->tcp.UnsentBytes() + this->tcp.UnacknowledgedBytes();
  }

  HolderPhase HeldPhase() const {
    const std::size_t unsent = this->tcp.UnsentBytes();
    if (this->closing) {
      return unsent > 0 && !this->refusing ? HolderPhase::kUnread : HolderPhase::kClosing;
    }
    if (this->exchange != nullptr) {
      const bool more = !this->pipelined.empty() || this->parser.HasInput();
      if (this->refusing) return HolderPhase::kLastAnswer;
      if (more) return HolderPhase::kPipelining;
      return unsent > kMaxUnsentBeforeNext ? HolderPhase::kStalled : HolderPhase::kAnswering;
    }
    if (this->phase == Phase::kHead || this->phase == Phase::kBody) return HolderPhase::kUnfinished;
    if (unsent > 0) return HolderPhase::kUnread;
    if (this->resuming) return HolderPhase::kUnfinished;
    return this->served ? HolderPhase::kIdle : HolderPhase::kFresh;
  }

  // Input that arrives before its turn.
  void KeepPipelined(std::span<const std::byte> bytes) {
    if (this->refusing) return;
    this->pipelined.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    if (this->pipelined.size() > kMaxPipelinedBytes || this->server.budget.IsScarce()) {
      this->tcp.PauseReading();
    }
  }

  // The next request follows when the caller has read enough of the answers before.
  void ResumeLater() {
    this->resuming = true;
    this->waits_for_flush = this->tcp.UnsentBytes() > kMaxUnsentBeforeNext;
    if (!this->waits_for_flush) this->ScheduleResume();
  }

  // Deferred, so that the handler of a request returns before the next one starts.
  void ScheduleResume() {
    const auto resume = [connection = this, weak = std::weak_ptr(this->alive)] {
      if (!weak.expired()) connection->ResumePipelined();
    };
    this->server.loop.After(Duration(0), resume);
  }

  // A request that has arrived, or that may still follow an answer on its way, would be dropped.
  void CloseIdle() {
    if (this->resuming || this->BytesLeft() > 0) return;
    if (this->tcp.Pending() == TcpPending::kBytes) return;
    this->closed_idle = true;
    this->CloseGracefully();
  }

  // The peer has `header_timeout` to close, counted from the last progress of its answer.
  void CheckClosing(Instant now) {
    if (now - this->phase_since <= this->server.options.header_timeout) return;
    const std::size_t left = this->BytesLeft();
    if (left > 0 && left >= this->bytes_left) this->LogUnreadAnswer();
    if (left == 0 || left >= this->bytes_left) return this->Abandon();
    this->bytes_left = left;
    this->phase_since = now;
  }

  void Enter(Phase next) {
    this->phase = next;
    this->phase_since = this->server.loop.Now();
  }

  // A stopping server still answers the requests that had arrived behind the current one.
  bool EndsWithThisAnswer() const {
    if (!this->KeepsOpen()) return true;
    return this->server.draining_since && !this->parser.HasInput() && this->pipelined.empty();
  }

  // A caller that was not told otherwise may send its next request.
  bool KeepsOpen() const {
    return this->parser.Head().keep_alive && !this->refusing && !this->close_announced;
  }

  void ResumePipelined() {
    this->resuming = false;
    if (this->exchange != nullptr || this->closing || this->ended) return;
    this->Enter(Phase::kHead);
    const std::string bytes = std::exchange(this->pipelined, {});
    this->tcp.ResumeReading();
    this->parser.Feed(std::as_bytes(std::span(bytes)));
    this->Advance();
    this->CountHeld();
  }

  void Advance() {
    if (this->parser.Failure() != HttpParseFailure::kNone) {
      const LocalAnswer answer = AnswerToParseFailure(this->parser.Failure());
      this->Refuse(answer.status, answer.body);
      return;
    }
    if (this->parser.HasHead()) this->TakeBody();
    if (this->parser.IsDone()) {
      this->StartExchange();
    } else if (this->parser.HasHead() && this->phase == Phase::kHead) {
      this->Enter(Phase::kBody);
      this->CheckBody();
      if (EqualsIgnoreCase(FieldValue(this->parser.Head().fields, "Expect"), "100-continue")) {
        const std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        this->tcp.Write({&interim, 1});
      }
    }
  }

  void TakeBody() {
    std::string bytes = this->parser.TakeBody();
    if (this->drops_body) return;
    if (this->body.empty()) {
      this->body = std::move(bytes);
    } else {
      this->body += bytes;
    }
  }

  // What the head tells already is judged before the body is kept.
  void CheckBody() {
    const AsyncHttpServer::BodyCheck& check = this->server.body_check;
    this->drops_body = check && !check(this->parser.Head());
    if (this->drops_body) FreeBytes(this->body);
  }

  void StartExchange() {
    if (std::exchange(this->drops_body, false) && this->server.body_check(this->parser.Head())) {
      return this->Refuse(503, "rules changed\n");  // the request would go on without its body
    }
    auto state = std::make_unique<HttpExchange::Impl>(
        HttpExchange::Impl{.connection = this,
                           .head = this->parser.Head(),
                           .body = std::exchange(this->body, {}),
                           .received_at = this->phase_since});
    this->exchange = std::make_shared<HttpExchange>(std::move(state));
    const SharedExchange started = this->exchange;
    this->server.handler(started);
  }

  // The caller was told that the connection is closed, or will learn so.
  void Discard(std::size_t bytes) {
    this->discarded_bytes += bytes;
    if (this->discarded_bytes == bytes) this->LogDiscarded(bytes);
    // Nothing was answered since the close: a reset tells the caller at once that its request,
    // which crossed the close, is not served.
    if (this->closed_idle) this->AbortClosing();
  }

  void LogDiscarded(std::size_t bytes) const {
    LogSampled("bytes_on_closing_connection",
               {{"bytes", bytes},
                {"close_announced", this->close_announced},
                {"closing_for_ms", ToMillis(this->server.loop.Now() - this->phase_since)},
                {"unacknowledged_bytes", this->tcp.UnacknowledgedBytes()}});
  }

  void LogUnreadAnswer() const {
    LogSampled("caller_stopped_reading",
               {{"target", this->parser.Head().target},
                {"unsent_bytes", this->tcp.UnsentBytes()},
                {"unacknowledged_bytes", this->tcp.UnacknowledgedBytes()}});
  }

  // Answers a request that was not read completely, and closes the connection.
  void Refuse(int status, std::string_view body) {
    this->refusing = true;
    FreeBytes(this->body);
    FreeBytes(this->pipelined);
    this->parser.DropInput();
    std::vector<HttpField> fields = {{.name = "Content-Type", .value = "text/plain"}};
    if (status == 503) fields.push_back({.name = "Retry-After", .value = kRoomRetryAfterSeconds});
    this->SendHead(status, fields, "Content-Length:" + std::to_string(body.size()), body);
    this->CloseGracefully();
  }

  // Closes the sending side. The connection ends when the peer closes or after `header_timeout`.
  void CloseGracefully() {
    this->closing = true;
    this->phase_since = this->server.loop.Now();
    this->tcp.CloseWhenSent();
    this->tcp.ResumeReading();
    this->CountHeld();
  }

  // Unread input would make the end of the connection reset it, and an answer on its way is lost
  // with it. Without one, the reset tells the caller that its request was not read.
  void KeepAnswer() {
    if (this->BytesLeft() > 0) this->tcp.DiscardInput();
  }

  void AbortClosing() {
    this->ended = true;
    this->tcp.Reset();
    this->server.Remove(this);
  }

  void Abandon() {
    this->KeepAnswer();
    this->ended = true;
    this->server.Remove(this);
  }

  AsyncHttpServer::Impl& server;
  HttpParser parser;
  Phase phase = Phase::kIdle;
  Instant phase_since;
  SharedExchange exchange = {};
  std::string body = {};
  std::string pipelined = {};
  bool resuming = false;  // ResumePipelined() follows; bytes that arrive before come after its own
  bool waits_for_flush = false;  // then ResumePipelined() follows
  bool drops_body = false;
  bool served = false;  // a request before
  bool refusing = false;
  bool close_announced = false;  // to the caller, in an answer
  bool closing = false;
  bool closed_idle = false;  // the close followed no answer
  // Of the last answer when the closing connection was last checked.
  std::size_t bytes_left = std::numeric_limits<std::size_t>::max();
  std::size_t discarded_bytes = 0;  // that arrived while the connection was closing
  bool ended = false;
  HolderPhase held_phase = HolderPhase::kFresh;
  Instant held_since = {};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  TcpConnection tcp;
};

// ---- HttpExchange ----

HttpExchange::HttpExchange(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
HttpExchange::~HttpExchange() = default;

const HttpHead& HttpExchange::Head() const { return this->impl->head; }
const std::string& HttpExchange::Body() const { return this->impl->body; }
Instant HttpExchange::ReceivedAt() const { return this->impl->received_at; }
bool HttpExchange::IsOver() const { return this->impl->connection == nullptr; }
bool HttpExchange::HasBegun() const { return this->impl->begun; }

void HttpExchange::OnCallerDisconnected(std::function<void()> callback) {
  this->impl->on_disconnected = std::move(callback);
}

void HttpExchange::OnFlushed(std::function<void()> callback) {
  this->impl->on_flushed = std::move(callback);
}

void HttpExchange::Answer(int status, std::span<const HttpField> fields, std::string_view body) {
  if (this->IsOver()) return;
  CallerConnection& connection = *this->impl->connection;
  this->impl->begun = true;
  connection.SendHead(status, fields, "Content-Length:" + std::to_string(body.size()),
                      this->impl->IsHead() ? std::string_view() : body);
  connection.FinishExchange();
}

void HttpExchange::BeginStream(int status, std::span<const HttpField> fields) {
  if (this->IsOver()) return;
  this->impl->begun = true;
  this->impl->connection->SendHead(status, fields, "Transfer-Encoding:chunked", "");
}

void HttpExchange::SendPart(std::string_view bytes) {
  if (!this->IsOver() && !this->impl->IsHead()) this->impl->connection->SendChunk(bytes);
}

void HttpExchange::EndStream() {
  if (this->IsOver()) return;
  if (!this->impl->IsHead()) this->impl->connection->SendLastChunk();
  this->impl->connection->FinishExchange();
}

void HttpExchange::Abort() {
  if (!this->IsOver()) this->impl->connection->AbortExchange();
}

std::size_t HttpExchange::UnsentBytes() const {
  return this->IsOver() ? 0 : this->impl->connection->UnsentBytes();
}

// ---- AsyncHttpServer ----

void AsyncHttpServer::Impl::Remove(CallerConnection* connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) return;
  this->budget.Remove(connection);
  // Destroyed later: this code runs inside a callback of the connection.
  this->removed.push_back(std::move(found->second));
  this->connections.erase(found);
  if (this->removed.size() > 1) return;
  this->loop.After(Duration(0), [weak = this->weak_from_this()] {
    if (const auto strong = weak.lock()) strong->removed.clear();
  });
}

void AsyncHttpServer::Impl::Sweep() {
  const Instant now = this->loop.Now();
  std::vector<CallerConnection*> all;
  all.reserve(this->connections.size());
  for (const auto& [connection, owner] : this->connections) all.push_back(connection);
  for (CallerConnection* connection : all) connection->CheckTimeouts(now);
  this->MakeRoom();
}

void AsyncHttpServer::Impl::Accept(uv_stream_s* listener) {
  auto owner = std::make_unique<CallerConnection>(*this, listener);
  CallerConnection* const connection = owner.get();
  this->connections.emplace(connection, std::move(owner));
  if (this->budget.IsFull()) {
    if (const auto next = this->budget.NextForConnection()) {
      auto* const given = static_cast<CallerConnection*>(const_cast<void*>(*next));
      given->GiveUp("connections");
      given->EndNow();
    } else {
      this->LogGivenUp(HolderPhase::kFresh, "connections");
      return connection->EndNow();
    }
  }
  connection->CountHeld();
}

void AsyncHttpServer::Impl::MakeRoom() {
  while (const auto next = this->budget.NextForBytes()) {
    static_cast<CallerConnection*>(const_cast<void*>(*next))->GiveUp("memory");
  }
}

void AsyncHttpServer::Impl::ScheduleRoom() {
  if (std::exchange(this->room_scheduled, true)) return;
  this->loop.After(Duration(0), [weak = this->weak_from_this()] {
    const auto strong = weak.lock();
    if (!strong) return;
    strong->room_scheduled = false;
    strong->MakeRoom();
  });
}

void AsyncHttpServer::Impl::LogGivenUp(HolderPhase phase, std::string_view reason) {
  ++this->given_up;
  LogSampled("caller_given_up", {{"reason", reason},
                                 {"phase", HolderPhaseName(phase)},
                                 {"held_bytes", this->budget.HeldBytes()},
                                 {"connections", this->connections.size()}});
}

AsyncHttpServer::AsyncHttpServer(EventLoop& loop, AsyncHttpServerOptions options, Handler handler)
    : impl(std::make_shared<Impl>(loop, options, std::move(handler))) {
  loop.Every(kSweepPeriod, [weak = std::weak_ptr(this->impl)] {
    if (const auto strong = weak.lock()) strong->Sweep();
  });
}

AsyncHttpServer::~AsyncHttpServer() = default;

Result<void> AsyncHttpServer::Listen(const std::string& address) {
  Impl& self = *this->impl;
  self.listener = std::make_unique<TcpListener>(self.loop);
  return self.listener->Listen(address, [&self](uv_stream_s* listener) { self.Accept(listener); });
}

void AsyncHttpServer::SetOptions(const AsyncHttpServerOptions& options) {
  this->impl->options = options;
  this->impl->budget.SetOptions(options.budget);
  for (const auto& [connection, owner] : this->impl->connections) connection->ApplyLimits();
}

void AsyncHttpServer::SetBodyCheck(BodyCheck check) { this->impl->body_check = std::move(check); }

void AsyncHttpServer::StartDraining(Duration linger) {
  this->impl->draining_since = this->impl->loop.Now();
  this->impl->linger = linger;
}

std::size_t AsyncHttpServer::Connections() const { return this->impl->connections.size(); }

std::uint64_t AsyncHttpServer::HeldBytes() const { return this->impl->budget.HeldBytes(); }
std::uint64_t AsyncHttpServer::GivenUp() const { return this->impl->given_up; }

std::size_t AsyncHttpServer::BusyConnections() const {
  return static_cast<std::size_t>(
      std::count_if(this->impl->connections.begin(), this->impl->connections.end(),
                    [](const auto& row) { return row.first->IsBusy(); }));
}

std::vector<UnfinishedConnection> AsyncHttpServer::Unfinished() const {
  std::vector<UnfinishedConnection> unfinished;
  for (const auto& [connection, owner] : this->impl->connections) {
    const UnfinishedConnection state = connection->Unfinished();
    if (state.is_answering || state.unsent_bytes > 0 || state.unacknowledged_bytes > 0 ||
        state.has_unread_input) {
      unfinished.push_back(state);
    }
  }
  return unfinished;
}

}  // namespace savory
