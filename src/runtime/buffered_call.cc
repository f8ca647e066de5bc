#include "runtime/buffered_call.h"

#include <memory>
#include <utility>
#include <vector>

#include "base/log.h"
#include "runtime/event_loop.h"
#include "runtime/http_connection_pool.h"

namespace savory {
namespace {

// Longer answers are logged.
constexpr std::size_t kLoggedBytes = std::size_t{64} * 1024;

// Method and target of a request head.
std::string_view RequestLine(std::string_view head) {
  const std::string_view line = head.substr(0, head.find('\r'));
  return line.substr(0, line.rfind(' '));
}

// Holds a reference to itself until the call has ended.
class BufferedCall : public HttpCallHandler, public std::enable_shared_from_this<BufferedCall> {
 public:
  BufferedCall(EventLoop& loop, std::function<void(Result<BufferedAnswer>)> done,
               std::size_t max_answer_bytes)
      : loop(loop), done(std::move(done)), max_answer_bytes(max_answer_bytes) {}

  void Start(HttpConnectionPool& connections, HttpCallOptions options, Duration timeout) {
    this->self = this->shared_from_this();
    this->address = options.address;
    this->request = RequestLine(options.head);
    this->deadline = this->loop.Now() + timeout;
    this->timer = this->loop.After(timeout, [weak = this->weak_from_this()] {
      const auto call = weak.lock();
      if (!call) return;
      call->timer = 0;
      call->LogLong("no end in time");
      call->End(TooLate());
    });
    this->call = connections.Start(std::move(options), *this);
  }

  void OnAnswerHead(const HttpHead& head) override {
    this->answer.status = head.status;
    this->answer.fields = head.fields;
  }
  void OnAnswerBody(std::string_view bytes) override {
    if (this->answer.body.size() + bytes.size() > this->max_answer_bytes) {
      this->LogLong("too long");
      return this->End(Error{.kind = ErrorKind::kMalformed,
                             .detail = "the answer is larger than " +
                                       std::to_string(this->max_answer_bytes) + " bytes"});
    }
    this->answer.body += bytes;
  }
  // After the process or its machine stood still, answers are read before the timers run.
  void OnAnswerDone() override {
    if (this->loop.Now() >= this->deadline) return this->End(TooLate());
    this->End(std::move(this->answer));
  }
  void OnCallFailed(CallFailure failure) override {
    const bool sent = failure != CallFailure::kNotSent;
    this->LogLong(CallFailureName(failure));
    this->End(Error{.kind = sent ? ErrorKind::kTimeout : ErrorKind::kUnavailable,
                    .detail = std::string(CallFailureName(failure))});
  }

 private:
  static Error TooLate() { return {.kind = ErrorKind::kTimeout, .detail = "no answer in time"}; }

  void LogLong(std::string_view reason) const {
    if (this->answer.body.size() <= kLoggedBytes) return;
    Log(LogLevel::kWarn, "answer_given_up",
        {{"call", this->request},
         {"address", this->address},
         {"status", this->answer.status},
         {"reason", reason},
         {"bytes", this->answer.body.size()},
         {"most", this->max_answer_bytes}});
  }

  void End(Result<BufferedAnswer> result) {
    const auto keep = std::exchange(this->self, nullptr);
    if (this->timer != 0) this->loop.Cancel(this->timer);
    this->call.reset();
    std::exchange(this->done, nullptr)(std::move(result));
  }

  EventLoop& loop;
  std::function<void(Result<BufferedAnswer>)> done;
  std::size_t max_answer_bytes;
  std::string address = {};
  std::string request = {};
  std::unique_ptr<HttpCall> call = {};
  EventLoop::TimerId timer = 0;
  Instant deadline = {};
  BufferedAnswer answer = {};
  std::shared_ptr<BufferedCall> self = {};
};

}  // namespace

void StartBufferedCall(EventLoop& loop, HttpConnectionPool& connections, HttpCallOptions options,
                       Duration timeout, std::function<void(Result<BufferedAnswer>)> done,
                       std::size_t max_answer_bytes) {
  std::make_shared<BufferedCall>(loop, std::move(done), max_answer_bytes)
      ->Start(connections, std::move(options), timeout);
}

void StartBufferedGet(EventLoop& loop, HttpConnectionPool& connections,
                      const BufferedGetOptions& options,
                      std::function<void(Result<BufferedAnswer>)> done) {
  std::string head;
  AppendRequestHead(head, "GET", options.target,
                    std::vector<HttpField>{{.name = "Host", .value = options.address}});
  StartBufferedCall(loop, connections,
                    {.address = options.address,
                     .head = std::move(head),
                     .connect_timeout = options.connect_timeout},
                    options.timeout, std::move(done), options.max_answer_bytes);
}

}  // namespace savory
