#include "runtime/http_connection_pool.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/metrics.h"
#include "runtime/event_loop.h"
#include "runtime/http_parser.h"
#include "runtime/tcp_connection.h"

namespace savory {
namespace {

constexpr Duration kSweepPeriod = std::chrono::seconds(1);
constexpr HttpLimits kAnswerLimits = {.max_header_bytes = 64 * 1024,
                                      .max_body_bytes = std::uint64_t{1} << 40};

// A call fails when more interim answers, answers to other calls, or bytes of these precede its own
// answer: the peer might send them without end.
constexpr int kMaxDiscardedAnswers = 16;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{1024} * 1024;

// Longer idle timeouts are cut to this.
constexpr std::uint64_t kMaxAnnouncedSeconds = 3600;
constexpr std::string_view kTimeoutParameter = "timeout=";

// Idle timeout in a Keep-Alive field ("timeout=5, max=100"), or nullopt.
std::optional<Duration> AnnouncedIdleTimeout(const HttpHead& head) {
  std::string_view list = FieldValue(head.fields, "Keep-Alive");
  const std::size_t found = list.find(kTimeoutParameter);
  if (found == std::string_view::npos) return std::nullopt;
  list.remove_prefix(found + kTimeoutParameter.size());
  const auto seconds = ParseDecimal(list.substr(0, list.find_first_not_of("0123456789")));
  if (!seconds) return std::nullopt;
  return std::chrono::seconds(std::min<std::uint64_t>(*seconds, kMaxAnnouncedSeconds));
}

}  // namespace

// One connection; owned by its call while it serves one, otherwise by the pool.
class PooledConnection : public TcpHandler {
 public:
  PooledConnection(EventLoop& loop, const std::string& address, const TcpOptions& options,
                   std::function<void()> on_unmatched_bytes)
      : address(address),
        on_unmatched_bytes(std::move(on_unmatched_bytes)),
        tcp(loop, address, *this, options) {}

  void OnConnected() override { this->connected = true; }
  // Whether the idle connection has neither ended nor received bytes, also since the loop last read
  // from it.
  bool IsQuiet();
  void OnBytes(std::span<const std::byte> bytes) override;
  void OnEnd(TcpEnd end) override;

  std::string address;
  std::function<void()> on_unmatched_bytes;
  HttpParser parser{HttpMessageKind::kResponse, kAnswerLimits};
  HttpCall::Impl* call = nullptr;
  bool connected = false;
  bool has_answered = false;  // an earlier answer arrived on it
  bool ended = false;
  bool paused = false;
  Instant idle_since = {};
  Instant usable_until = {};
  TcpConnection tcp;
};

struct HttpCall::Impl {
  std::weak_ptr<HttpConnectionPool::Impl> pool;
  HttpCallHandler* handler;
  std::function<AnswerMatch(const HttpHead& head)> match;
  bool answer_has_body;
  std::unique_ptr<PooledConnection> connection = {};
  bool head_delivered = false;
  bool discarding = false;  // the current message is interim (1xx) or answers an earlier call
  int discarded_answers = 0;
  std::size_t discarded_bytes = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  void OnInput();
  void Fail(CallFailure failure);

 private:
  // DeliverHead() and DeliverBody() return false when the call has failed or the handler has
  // destroyed it.
  bool DeliverHead(const std::weak_ptr<bool>& guard);
  bool DeliverBody(const std::weak_ptr<bool>& guard);
  bool HandleDone();
  void RejectUnmatched(const HttpHead& head, AnswerMatch match);
  bool DiscardsTooMuch() const {
    return this->discarded_answers > kMaxDiscardedAnswers ||
           this->discarded_bytes > kMaxDiscardedBytes;
  }
};

struct HttpConnectionPool::Impl {
  EventLoop& loop;
  HttpConnectionPoolOptions options;
  Counter& opened;
  Counter& reused;
  Counter& stray;
  std::map<std::string, std::vector<std::unique_ptr<PooledConnection>>, std::less<>> idle = {};
  std::vector<std::unique_ptr<PooledConnection>> ended = {};

  Impl(EventLoop& loop, Metrics& metrics, HttpConnectionPoolOptions options)
      : loop(loop),
        options(std::move(options)),
        opened(metrics.CounterFor("savory_upstream_connections_opened_total")),
        reused(metrics.CounterFor("savory_upstream_connections_reused_total")),
        stray(metrics.CounterFor("savory_upstream_stray_answers_total")) {}

  // The most recently used idle connection that `call` may reuse, or null.
  std::unique_ptr<PooledConnection> TakeIdle(const HttpCallOptions& call) {
    const auto found = this->idle.find(call.address);
    if (found == this->idle.end() || call.max_idle <= Duration(0)) return nullptr;
    auto& list = found->second;
    const Instant now = this->loop.Now();
    while (!list.empty()) {
      std::unique_ptr<PooledConnection> last = std::move(list.back());
      list.pop_back();
      if (last->ended || now >= last->usable_until) continue;
      if (now - last->idle_since > call.max_idle) {
        list.push_back(std::move(last));
        return nullptr;
      }
      if (last->IsQuiet()) return last;
    }
    return nullptr;
  }

  void AddIdle(std::unique_ptr<PooledConnection> connection) {
    auto& list = this->idle[connection->address];
    const Instant now = this->loop.Now();
    Duration usable = this->options.idle_timeout;
    if (const auto announced = AnnouncedIdleTimeout(connection->parser.Head())) {
      usable = std::min(
          usable, FromSeconds(ToSeconds(*announced) * this->options.announced_timeout_fraction));
    }
    connection->call = nullptr;
    connection->idle_since = now;
    connection->usable_until = now + usable;
    connection->parser.Next();
    list.push_back(std::move(connection));
    if (list.size() > this->options.max_idle_connections) list.erase(list.begin());
  }

  void Sweep() {
    const Instant now = this->loop.Now();
    for (auto& [address, list] : this->idle) {
      std::erase_if(
          list, [now](const auto& entry) { return entry->ended || now >= entry->usable_until; });
    }
    std::erase_if(this->idle, [](const auto& row) { return row.second.empty(); });
  }
};

bool PooledConnection::IsQuiet() {
  const TcpPending pending = this->tcp.Pending();
  if (pending == TcpPending::kBytes && this->on_unmatched_bytes) this->on_unmatched_bytes();
  return pending == TcpPending::kNothing;
}

void PooledConnection::OnBytes(std::span<const std::byte> bytes) {
  if (this->call == nullptr) {
    // Unsolicited bytes belong to no call, so the connection is not reused.
    if (!std::exchange(this->ended, true) && this->on_unmatched_bytes) this->on_unmatched_bytes();
    return;
  }
  this->parser.Feed(bytes);
  this->call->OnInput();
}

void PooledConnection::OnEnd(TcpEnd end) {
  this->ended = true;
  if (this->call == nullptr) return;
  if (end == TcpEnd::kRefused || end == TcpEnd::kUnreachable) {
    this->call->Fail(CallFailure::kNotSent);
    return;
  }
  if (end == TcpEnd::kClosed && this->parser.HasHead() && !this->call->discarding) {
    this->parser.FeedEnd();
    if (this->parser.IsDone()) {
      this->call->OnInput();
      return;
    }
  }
  const bool answered =
      this->call->head_delivered || (this->parser.HasInput() && !this->call->discarding);
  this->call->Fail(answered ? CallFailure::kBrokenOff : CallFailure::kNoAnswer);
}

bool HttpCall::Impl::DeliverHead(const std::weak_ptr<bool>& guard) {
  const HttpHead& head = this->connection->parser.Head();
  const bool interim = head.status < 200;
  const AnswerMatch match = !interim && this->match ? this->match(head) : AnswerMatch::kThisCall;
  const bool may_be_earlier = match == AnswerMatch::kUnknown && this->connection->has_answered;
  if (may_be_earlier || match == AnswerMatch::kNoCall) {
    this->RejectUnmatched(head, match);
    return false;
  }
  if (match == AnswerMatch::kUnknown) {
    LogSampled("upstream_answer_unidentified",
               {{"address", this->connection->address}, {"status", head.status}});
  }
  this->discarding = interim || match == AnswerMatch::kOtherCall;
  if (this->discarding) {
    ++this->discarded_answers;
    if (!interim) {
      if (const auto owner = this->pool.lock()) owner->stray.Add();
    }
    return true;
  }
  this->head_delivered = true;
  this->handler->OnAnswerHead(head);
  return !guard.expired();
}

void HttpCall::Impl::RejectUnmatched(const HttpHead& head, AnswerMatch match) {
  if (const auto owner = this->pool.lock()) owner->stray.Add();
  Log(LogLevel::kWarn, "upstream_answer_unmatched",
      {{"address", this->connection->address},
       {"status", head.status},
       {"match", AnswerMatchName(match)},
       {"first_on_connection", !this->connection->has_answered}});
  this->Fail(CallFailure::kUnmatched);
}

bool HttpCall::Impl::DeliverBody(const std::weak_ptr<bool>& guard) {
  const std::string body = this->connection->parser.TakeBody();
  if (this->discarding) this->discarded_bytes += body.size();
  if (body.empty() || this->discarding) return true;
  this->handler->OnAnswerBody(body);
  return !guard.expired();
}

// Returns true when the finished message was discarded and the call still waits for its answer.
bool HttpCall::Impl::HandleDone() {
  HttpParser& parser = this->connection->parser;
  if (parser.Head().status >= 200) this->connection->has_answered = true;
  if (std::exchange(this->discarding, false)) {
    parser.Next(!this->answer_has_body);
    return true;
  }
  std::unique_ptr<PooledConnection> done = std::move(this->connection);
  done->call = nullptr;
  if (std::exchange(done->paused, false)) done->tcp.ResumeReading();
  const bool reusable = !done->ended && done->parser.Head().keep_alive &&
                        !done->parser.HasInput() && done->tcp.UnsentBytes() == 0;
  if (const auto owner = this->pool.lock()) {
    if (done->parser.HasInput() && done->on_unmatched_bytes) done->on_unmatched_bytes();
    if (reusable) {
      owner->AddIdle(std::move(done));
    } else {
      // Destroyed later: this code runs inside a callback of the connection.
      owner->ended.push_back(std::move(done));
      owner->loop.After(Duration(0), [weak = std::weak_ptr(owner)] {
        if (const auto strong = weak.lock()) strong->ended.clear();
      });
    }
  }
  this->handler->OnAnswerDone();
  return false;
}

void HttpCall::Impl::OnInput() {
  const std::weak_ptr<bool> guard = this->alive;
  for (;;) {
    HttpParser& parser = this->connection->parser;
    if (parser.HasHead() && !this->head_delivered && !this->discarding &&
        !this->DeliverHead(guard)) {
      return;
    }
    if (parser.HasHead() && !this->DeliverBody(guard)) return;
    if (parser.Failure() != HttpParseFailure::kNone || this->DiscardsTooMuch()) {
      this->Fail(this->head_delivered ? CallFailure::kBrokenOff : CallFailure::kMalformed);
      return;
    }
    if (!parser.IsDone() || !this->HandleDone()) return;
  }
}

void HttpCall::Impl::Fail(CallFailure failure) {
  this->connection->call = nullptr;
  this->connection->ended = true;
  this->handler->OnCallFailed(failure);
}

HttpCall::HttpCall(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}

HttpCall::~HttpCall() {
  if (!this->impl->connection) return;
  this->impl->connection->call = nullptr;
  // After an orderly close, the system would go on to deliver what the system of a peer that stands
  // still has not taken yet, and the peer would carry it out. What lies there already is read
  // first.
  this->impl->connection->tcp.Reset();
}

void HttpCall::PassTo(HttpCallHandler& handler) { this->impl->handler = &handler; }

void HttpCall::PauseReading() {
  PooledConnection* const connection = this->impl->connection.get();
  if (connection == nullptr || std::exchange(connection->paused, true)) return;
  connection->tcp.PauseReading();
}

void HttpCall::ResumeReading() {
  PooledConnection* const connection = this->impl->connection.get();
  if (connection == nullptr || !std::exchange(connection->paused, false)) return;
  connection->tcp.ResumeReading();
}

HttpConnectionPool::HttpConnectionPool(EventLoop& loop, Metrics& metrics,
                                       HttpConnectionPoolOptions options)
    : impl(std::make_shared<Impl>(loop, metrics, std::move(options))) {
  const auto sweep = [weak = std::weak_ptr(this->impl)] {
    if (const auto strong = weak.lock()) strong->Sweep();
  };
  loop.Every(kSweepPeriod, sweep);
}

HttpConnectionPool::~HttpConnectionPool() = default;

std::unique_ptr<HttpCall> HttpConnectionPool::Start(HttpCallOptions options,
                                                    HttpCallHandler& handler) {
  Impl& self = *this->impl;
  std::unique_ptr<PooledConnection> connection = self.TakeIdle(options);
  if (connection) {
    self.reused.Add();
  } else {
    self.opened.Add();
    connection =
        std::make_unique<PooledConnection>(self.loop, options.address,
                                           TcpOptions{.connect_timeout = options.connect_timeout,
                                                      .user_timeout = self.options.user_timeout},
                                           self.options.on_unmatched_bytes);
  }
  if (!options.answer_has_body) connection->parser.SkipBody();
  const std::string_view pieces[] = {options.head, options.body};
  connection->tcp.Write(pieces);
  auto call =
      std::make_unique<HttpCall::Impl>(HttpCall::Impl{.pool = this->impl,
                                                      .handler = &handler,
                                                      .match = std::move(options.match),
                                                      .answer_has_body = options.answer_has_body,
                                                      .connection = std::move(connection)});
  call->connection->call = call.get();
  return std::unique_ptr<HttpCall>(new HttpCall(std::move(call)));
}

std::size_t HttpConnectionPool::IdleConnections() const {
  std::size_t total = 0;
  for (const auto& [address, list] : this->impl->idle) total += list.size();
  return total;
}

std::string_view AnswerMatchName(AnswerMatch match) {
  switch (match) {
    case AnswerMatch::kThisCall:
      return "this-call";
    case AnswerMatch::kOtherCall:
      return "other-call";
    case AnswerMatch::kUnknown:
      return "unknown";
    case AnswerMatch::kNoCall:
      return "no-call";
  }
  return "unknown";
}

std::string_view CallFailureName(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return "not-sent";
    case CallFailure::kNoAnswer:
      return "no-answer";
    case CallFailure::kBrokenOff:
      return "broken-off";
    case CallFailure::kMalformed:
      return "malformed";
    case CallFailure::kUnmatched:
      return "unmatched";
  }
  return "unknown";
}

}  // namespace savory
