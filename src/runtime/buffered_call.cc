#include "runtime/buffered_call.h"

#include <memory>
#include <utility>
#include <vector>

#include "base/log.h"
#include "runtime/event_loop.h"
#include "runtime/http_connection_pool.h"
#include "runtime/http_head.h"

namespace savory {
namespace {

// Method and target of a request head.
std::string_view RequestLine(std::string_view head) {
  const std::string_view line = head.substr(0, head.find('\r'));
  return line.substr(0, line.rfind(' '));
}

// Holds a reference to itself until the call has ended.
class BufferedCall : public HttpCallHandler, public std::enable_shared_from_this<BufferedCall> {
 public:
  BufferedCall(EventLoop& loop, const BufferedCallOptions& options,
               std::function<void(Result<BufferedAnswer>)> done)
      : loop(loop), options(options), done(std::move(done)) {}

  void Start(HttpConnectionPool& connections, HttpCallOptions options) {
    this->self = this->shared_from_this();
    this->address = options.address;
    this->request = RequestLine(options.head);
    this->deadline = this->loop.Now() + this->options.timeout;
    this->timer = this->loop.After(this->options.timeout, [weak = this->weak_from_this()] {
      const auto call = weak.lock();
      if (!call) return;
      call->timer = 0;
      call->EndEarly(call->body_bytes == 0 ? TooLate() : Endless());
    });
    this->call = connections.Start(std::move(options), *this);
  }

  // After the process or its machine stood still, answers are read before the timers run.
  void OnAnswerHead(const HttpHead& head) override {
    if (this->loop.Now() >= this->deadline) return this->End(TooLate());
    this->answer.status = head.status;
    this->answer.fields = head.fields;
    const auto announced = ParseDecimal(FieldValue(head.fields, "Content-Length")).value_or(0);
    if (announced > this->options.max_answer_bytes) return this->GiveUp(announced);
    if (!this->options.ignore_body) this->answer.body.reserve(announced);
  }
  void OnAnswerBody(std::string_view bytes) override {
    this->body_bytes += bytes.size();
    if (this->body_bytes > this->options.max_answer_bytes) return this->GiveUp(this->body_bytes);
    if (this->options.ignore_body) return;
    AnswerBudget* const budget = this->options.budget.get();
    if (budget != nullptr && budget->used + bytes.size() > budget->max_bytes) {
      return this->GiveUp(this->body_bytes);
    }
    if (budget != nullptr) budget->used += bytes.size();
    this->held_bytes += bytes.size();
    this->answer.body += bytes;
  }
  void OnAnswerDone() override {
    if (this->loop.Now() >= this->deadline) return this->EndEarly(TooLate());
    this->End(std::move(this->answer));
  }
  void OnCallFailed(CallFailure failure) override {
    this->EndEarly({.kind = KindOf(failure), .detail = std::string(CallFailureName(failure))});
  }

 private:
  static Error TooLate() { return {.kind = ErrorKind::kTimeout, .detail = "no answer in time"}; }

  static Error Endless() {
    return {.kind = ErrorKind::kMalformed, .detail = "the answer did not end in time"};
  }

  static ErrorKind KindOf(CallFailure failure) {
    if (failure == CallFailure::kNotSent) return ErrorKind::kUnavailable;
    return failure == CallFailure::kMalformed ? ErrorKind::kMalformed : ErrorKind::kTimeout;
  }

  // `bytes`: of the body, as announced or read so far.
  void GiveUp(std::uint64_t bytes) {
    Log(LogLevel::kWarn, "answer_too_long",
        {{"call", this->request},
         {"address", this->address},
         {"status", this->answer.status},
         {"bytes", bytes},
         {"most", this->options.max_answer_bytes},
         {"held_by_all", this->options.budget ? this->options.budget->used : this->held_bytes}});
    this->EndEarly({.kind = ErrorKind::kMalformed,
                    .detail = "the answer is larger than " +
                              std::to_string(this->options.max_answer_bytes) +
                              " bytes, or others take too much"});
  }

  // The answer is not complete.
  void EndEarly(Error error) {
    const bool is_enough = this->options.ignore_body && this->answer.status != 0;
    if (is_enough) return this->End(std::move(this->answer));
    this->End(std::move(error));
  }

  void End(Result<BufferedAnswer> result) {
    const auto keep = std::exchange(this->self, nullptr);
    if (this->timer != 0) this->loop.Cancel(this->timer);
    if (this->options.budget) this->options.budget->used -= this->held_bytes;
    this->call.reset();
    std::exchange(this->done, nullptr)(std::move(result));
  }

  EventLoop& loop;
  BufferedCallOptions options;
  std::function<void(Result<BufferedAnswer>)> done;
  std::string address = {};
  std::string request = {};
  std::unique_ptr<HttpCall> call = {};
  EventLoop::TimerId timer = 0;
  Instant deadline = {};
  BufferedAnswer answer = {};
  std::uint64_t body_bytes = 0;  // read
  std::size_t held_bytes = 0;    // kept
  std::shared_ptr<BufferedCall> self = {};
};

}  // namespace

void StartBufferedCall(EventLoop& loop, HttpConnectionPool& connections, HttpCallOptions call,
                       const BufferedCallOptions& options,
                       std::function<void(Result<BufferedAnswer>)> done) {
  std::make_shared<BufferedCall>(loop, options, std::move(done))
      ->Start(connections, std::move(call));
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
                    {.timeout = options.timeout,
                     .max_answer_bytes = options.max_answer_bytes,
                     .budget = options.budget},
                    std::move(done));
}

}  // namespace savory
