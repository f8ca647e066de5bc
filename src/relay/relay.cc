#include "relay/relay.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "base/histogram.h"
#include "base/log.h"
#include "base/metrics.h"
#include "relay/attempt_plan.h"
#include "relay/event_cutter.h"
#include "relay/relay_codec.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/http_connection_pool.h"

namespace savory {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(10);
// With less time left a request is not sent: its answer could not reach the caller.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);

// Callers leave different parts of their time to a first try, but not less than this.
constexpr double kFirstTryLeft = 0.82;
// Statuses from here on are errors of the upstream.
constexpr int kServerError = 500;

bool IsEventStream(const HttpHead& head) {
  return FieldValue(head.fields, "Content-Type").starts_with("text/event-stream");
}

AttemptResult ResultOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return AttemptResult::kUnreachable;
    case AttemptEnd::kNotRun:
      return AttemptResult::kRefused;
    case AttemptEnd::kSilent:
      return AttemptResult::kSilent;
    case AttemptEnd::kServerError:
    case AttemptEnd::kNoAnswer:
    case AttemptEnd::kBrokenOff:
      return AttemptResult::kErrored;
  }
  return AttemptResult::kErrored;
}

}  // namespace

class RelayedRequest;

struct Relay::Impl : GuardedCallbacks<Relay::Impl> {
  EventLoop& loop;
  HttpConnectionPool& upstreams;
  const RelayCodec& codec;
  Metrics& metrics;
  RelayOptions options;
  Random& random;
  Dispatcher dispatcher;
  RepeatBudget budget;
  SharedRouting rules = {};
  bool stopping = false;
  AttemptNumber next_attempt = 1;
  std::map<RelayedRequest*, std::shared_ptr<RelayedRequest>> requests = {};
  std::map<AttemptNumber, RelayedRequest*> waiting = {};
  bool poll_scheduled = false;
  // Longest time left that callers of a route told; a shorter one shows a caller that came back.
  TextMap<Duration> longest_time_left = {};

  Impl(EventLoop& loop, HttpConnectionPool& upstreams, const RelayCodec& codec, Metrics& metrics,
       Random& random, RelayOptions given)
      : loop(loop),
        upstreams(upstreams),
        codec(codec),
        metrics(metrics),
        options(std::move(given)),
        random(random),
        dispatcher(this->options.dispatcher, random),
        budget(this->options.budget) {}

  void SchedulePoll();
  void Poll();
  // Tells the dispatcher, and logs what it believes of the upstream from now on.
  void ReportEnd(AttemptNumber attempt, AttemptResult result);
  bool IsReturned(const RouteRule& route, std::optional<Duration> time_left);
  void AnswerOwn(HttpExchange& exchange, int status, std::string_view attempt_id,
                 std::string_view reason, std::optional<Duration> retry_after);
};

// One request of a caller, from its arrival to its answer.
class RelayedRequest : public HttpCallHandler, public GuardedCallbacks<RelayedRequest> {
 public:
  RelayedRequest(Relay::Impl& relay, SharedExchange exchange, CallerTerms terms,
                 SharedRouting rules, const RouteRule& route, std::string account, int priority)
      : relay(relay),
        exchange(std::move(exchange)),
        terms(std::move(terms)),
        rules(std::move(rules)),
        route(route),
        account(std::move(account)),
        priority(priority),
        arrived(this->exchange->ReceivedAt()) {
    this->history = {.kind = route.kind,
                     .resumable = route.resumable,
                     .max_attempts = std::max(1u, route.max_attempts)};
  }

  void Start() {
    this->pool = this->PickPool();
    const Instant now = this->relay.loop.Now();
    this->deadline = this->arrived + this->terms.time_left.value_or(this->route.timeout);
    this->timeout = std::min(this->deadline, this->arrived + this->route.timeout);
    this->last_event = this->terms.last_event_id;
    this->returned = this->relay.IsReturned(this->route, this->terms.time_left);
    this->relay.budget.OnRequest(this->pool, now);
    this->exchange->OnCallerDisconnected(this->Guarded([this] { this->OnCallerDisconnected(); }));
    this->timer =
        this->relay.loop.After(this->timeout - now, this->Guarded([this] { this->OnTimeout(); }));
    this->Submit();
  }

  void OnVerdict(const DispatchVerdict& verdict) {
    std::visit([this](const auto& decision) { this->Do(decision); }, verdict.decision);
  }

  // ---- the upstream's answer ----

  void OnAnswerHead(const HttpHead& head) override {
    const UpstreamAnswer answer = this->relay.codec.DecodeAnswer(head);
    if (answer.load) {
      this->relay.dispatcher.AddLoad(this->target.upstream, *answer.load, this->relay.loop.Now());
    }
    this->answer_status = head.status;
    this->answer_not_run = answer.not_run;
    this->answer_misdirected = answer.misdirected;
    this->answer_streams = head.status == 200 && IsEventStream(head);
    if (!this->history.delivered) {
      this->answer_fields = this->relay.codec.EncodeAnswer(head);
      this->answer_body.clear();
    }
    // An upstream that goes on with a stream must do so as a stream.
    if (this->history.delivered && !this->answer_streams && !answer.not_run) {
      this->answer_unusable = true;
    }
    this->WatchSilence(this->FirstByteLimit());
  }

  void OnAnswerBody(std::string_view bytes) override {
    if (this->answer_unusable || this->answer_not_run) return;
    if (this->answer_streams) {
      this->PassEvents(bytes);
      return;
    }
    if (this->exchange->HasBegun()) {
      this->exchange->SendPart(bytes);
      this->CheckReader();
      return;
    }
    this->answer_body += bytes;
    if (this->answer_body.size() > this->relay.options.max_kept_answer) {
      this->NoteFirstPart();
      this->exchange->BeginStream(this->answer_status, this->answer_fields);
      this->exchange->SendPart(std::exchange(this->answer_body, {}));
    }
  }

  void OnAnswerDone() override {
    this->call.reset();
    if (this->answer_not_run) {
      this->EndAttempt(AttemptEnd::kNotRun);
    } else if (this->answer_unusable || (this->answer_streams && !this->cutter.Rest().empty())) {
      this->EndAttempt(AttemptEnd::kBrokenOff);
    } else if (this->answer_status >= kServerError && !this->exchange->HasBegun()) {
      this->EndAttempt(AttemptEnd::kServerError);
    } else {
      this->Complete();
    }
  }

  void OnCallFailed(CallFailure failure) override {
    const auto keep = this->shared_from_this();
    this->call.reset();
    switch (failure) {
      case CallFailure::kNotSent:
        return this->EndAttempt(AttemptEnd::kNotSent);
      case CallFailure::kNoAnswer:
        return this->EndAttempt(AttemptEnd::kNoAnswer);
      case CallFailure::kBrokenOff:
        // The refusal itself was read; only its text broke off.
        return this->EndAttempt(this->answer_not_run ? AttemptEnd::kNotRun
                                                     : AttemptEnd::kBrokenOff);
      case CallFailure::kMalformed:
        return this->EndAttempt(AttemptEnd::kNoAnswer);
    }
  }

 private:
  std::string PickPool() {
    if (this->route.pools.empty()) return {};
    std::uint64_t total = 0;
    for (const PoolShare& share : this->route.pools) total += share.weight;
    if (total == 0) return this->route.pools.front().pool;
    std::uint64_t place = UniformBelow(this->relay.random, total);
    for (const PoolShare& share : this->route.pools) {
      if (place < share.weight) return share.pool;
      place -= share.weight;
    }
    return this->route.pools.back().pool;
  }

  void Submit() {
    this->attempt = this->relay.next_attempt++;
    DispatchRequest request{.attempt = this->attempt,
                            .pool = this->pool,
                            .arrived = this->arrived,
                            .target = this->route.target_latency,
                            .deadline = this->timeout,
                            .priority = this->priority,
                            .prompt_tokens = this->terms.prompt_tokens,
                            .answer_tokens = this->terms.answer_tokens,
                            .returned = this->returned,
                            .begun = this->history.delivered || this->history.may_have_run > 0,
                            .may_repeat = MayRunAgain(this->history),
                            .avoided = this->avoided};
    if (this->route.kind == RepeatKind::kStream) request.max_pause = this->route.max_pause;
    this->OnVerdict(this->relay.dispatcher.Submit(std::move(request), this->relay.loop.Now()));
  }

  void Do(const KeepWaiting&) {
    this->relay.waiting[this->attempt] = this;
    this->relay.SchedulePoll();
  }

  void Do(const RefuseRequest& refusal) {
    this->decision = refusal;
    if (this->history.delivered) {
      this->Finish("broken-off", 0);
      this->exchange->Abort();
    } else if (this->history.may_have_run > 0) {
      this->AnswerOwn(502, "no upstream left", {});
    } else {
      this->AnswerOwn(503, refusal.kind == ErrorKind::kNoUpstream ? "no upstream" : "overloaded",
                      refusal.retry_after);
    }
  }

  void Do(const SendTo& chosen) {
    const Instant now = this->relay.loop.Now();
    const Duration left = this->timeout - now;
    this->target = chosen;
    this->sent_at = now;
    this->ResetAnswer();
    if (left < kMinTimeLeft) {
      this->relay.ReportEnd(this->attempt, AttemptResult::kCancelled);
      this->attempt = 0;
      this->OnTimeout();
      return;
    }
    ++this->attempts;
    this->avoided.push_back(chosen.upstream);
    const std::string& body = this->exchange->Body();
    HttpCallOptions options{
        .address = chosen.address,
        .head = this->relay.codec.EncodeRequest(this->exchange->Head(),
                                                UpstreamTerms{.time_left = left,
                                                              .upstream_id = chosen.upstream,
                                                              .account = this->account,
                                                              .priority = this->UpstreamPriority(),
                                                              .last_event_id = this->last_event,
                                                              .body_bytes = body.size()}),
        .body = body,
        .connect_timeout = std::min(left, this->relay.options.connect_timeout),
        .answer_has_body = this->exchange->Head().method != "HEAD",
        .matches_call = [this](const HttpHead& head) {
          return this->relay.codec.BelongsTo(head, this->terms.attempt_id);
        }};
    if (!MayRunAgain(this->history)) options.max_idle = this->relay.options.young_connection;
    this->call = this->relay.upstreams.Start(std::move(options), *this);
    this->WatchSilence(this->FirstByteLimit());
  }

  int UpstreamPriority() const {
    const PoolRule* rule = this->rules->FindPool(this->pool);
    const bool to_engine = rule != nullptr && rule->engine;
    return to_engine ? EngineQueuePriority(this->history, this->returned) : this->priority;
  }

  void ResetAnswer() {
    this->cutter = EventCutter();
    this->answer_not_run = false;
    this->answer_misdirected = false;
    this->answer_unusable = false;
    this->answer_streams = false;
    this->first_event_seen = false;
  }

  // ---- streams ----

  void PassEvents(std::string_view bytes) {
    for (const StreamEvent& event : this->cutter.Feed(bytes)) {
      // An upstream that goes on may repeat events that were delivered.
      if (event.id && this->last_event && *event.id <= *this->last_event) continue;
      if (!this->first_event_seen) {
        this->first_event_seen = true;
        this->relay.dispatcher.OnFirstEvent(this->attempt);
      }
      if (!this->exchange->HasBegun()) {
        this->NoteFirstPart();
        this->exchange->BeginStream(this->answer_status, this->answer_fields);
      }
      this->history.delivered = true;
      this->exchange->SendPart(event.text);
      if (event.id) this->last_event = event.id;
    }
    if (this->CheckReader() && this->first_event_seen) this->WatchSilence(this->PauseLimit());
  }

  // Returns false when the request is over because the caller does not read.
  bool CheckReader() {
    if (this->exchange->UnsentBytes() <= this->relay.options.max_unsent) return true;
    this->CancelCall(AttemptResult::kCancelled);
    this->exchange->Abort();
    this->Finish("caller-too-slow", 0);
    return false;
  }

  void NoteFirstPart() { this->first_part = this->relay.loop.Now() - this->arrived; }

  // ---- silence ----

  Duration FirstByteLimit() const {
    if (!MayRunAgain(this->history)) return Duration::max();
    const Duration target = this->route.target_latency;
    return this->target.predicted +
           FromSeconds(ToSeconds(target) * this->relay.options.silent_targets);
  }

  Duration PauseLimit() const {
    if (!MayRunAgain(this->history)) return Duration::max();
    return FromSeconds(ToSeconds(this->route.max_pause) * this->relay.options.silent_pauses);
  }

  // One timer serves all pauses of a request: it looks at `silent_at` when it runs out.
  void WatchSilence(Duration limit) {
    if (limit == Duration::max()) {
      this->silent_at.reset();
      return;
    }
    const Instant now = this->relay.loop.Now();
    this->silent_at = now + limit;
    if (this->silence_timer_due && *this->silence_timer_due <= *this->silent_at) return;
    this->StartSilenceTimer(*this->silent_at);
  }

  void StartSilenceTimer(Instant due) {
    if (this->silence_timer != 0) this->relay.loop.Cancel(this->silence_timer);
    this->silence_timer_due = due;
    this->silence_timer = this->relay.loop.After(due - this->relay.loop.Now(),
                                                 this->Guarded([this] { this->OnSilenceTimer(); }));
  }

  void OnSilenceTimer() {
    this->silence_timer = 0;
    this->silence_timer_due.reset();
    if (this->finished || !this->silent_at || !this->call) return;
    if (this->relay.loop.Now() < *this->silent_at) {
      this->StartSilenceTimer(*this->silent_at);
      return;
    }
    this->silent_at.reset();
    // Giving up an upstream is worth it only if another one may be asked.
    const bool may_retry = this->history.may_have_run + 1 < this->history.max_attempts &&
                           this->relay.budget.Left(this->pool, this->relay.loop.Now()) >= 1;
    if (!may_retry) return;
    this->call.reset();
    this->EndAttempt(AttemptEnd::kSilent);
  }

  // ---- ends ----

  void EndAttempt(AttemptEnd end) {
    const Instant now = this->relay.loop.Now();
    this->silent_at.reset();
    const bool misdirected = end == AttemptEnd::kNotRun && this->answer_misdirected;
    this->relay.ReportEnd(this->attempt, misdirected ? AttemptResult::kMisdirected : ResultOf(end));
    this->attempt = 0;
    this->last_end = end;
    const bool certain = end == AttemptEnd::kNotSent || end == AttemptEnd::kNotRun;
    ++(certain ? this->history.not_run : this->history.may_have_run);
    const bool in_time = this->timeout - now > kMinTimeLeft;
    const NextStep wanted = PlanNext(this->history, end, in_time);
    // A call that was not sent arrived nowhere, so its repeat is the first arrival.
    const bool granted = wanted != NextStep::kRetry || end == AttemptEnd::kNotSent ||
                         this->relay.budget.Take(this->pool, now);
    this->LogAttempt(end, granted);
    this->Take(granted ? wanted : PlanNext(this->history, end, false));
  }

  void Take(NextStep step) {
    switch (step) {
      case NextStep::kRetry:
        this->Submit();
        return;
      case NextStep::kAnswerNotRun:
        this->AnswerOwn(503, "upstreams refused", this->RefusalReturn());
        return;
      case NextStep::kAnswerUnknown:
        this->AnswerOwn(502, "no whole answer", {});
        return;
      case NextStep::kForwardError:
        this->Complete();
        return;
      case NextStep::kBreak:
        this->Finish("broken-off", 0);
        this->exchange->Abort();
        return;
    }
  }

  Duration RefusalReturn() {
    const DispatcherOptions& options = this->relay.options.dispatcher;
    return options.shortest_return +
           FromSeconds(ToSeconds(options.longest_return - options.shortest_return) *
                       UniformUnit(this->relay.random));
  }

  // The upstream's answer is whole.
  void Complete() {
    const auto keep = this->shared_from_this();
    if (this->attempt != 0) {
      this->relay.ReportEnd(this->attempt, AttemptResult::kServed);
      this->attempt = 0;
    }
    if (!this->exchange->HasBegun() && !this->first_part) this->NoteFirstPart();
    this->Finish(this->answer_status >= kServerError ? "server-error" : "served",
                 this->answer_status);
    if (this->exchange->HasBegun()) {
      this->exchange->EndStream();
    } else if (this->answer_streams) {
      this->exchange->BeginStream(this->answer_status, this->answer_fields);
      this->exchange->EndStream();
    } else {
      this->exchange->Answer(this->answer_status, this->answer_fields, this->answer_body);
    }
  }

  void AnswerOwn(int status, std::string_view reason, std::optional<Duration> retry_after) {
    const auto keep = this->shared_from_this();
    this->Finish(reason, status);
    this->relay.AnswerOwn(*this->exchange, status, this->terms.attempt_id, reason, retry_after);
  }

  // The time that the caller or the route allows has passed.
  void OnTimeout() {
    if (this->finished) return;
    const auto keep = this->shared_from_this();
    this->timer = 0;
    const Instant now = this->relay.loop.Now();
    // A stream that flows is not kept waiting: it goes on until its caller gives up.
    if (this->history.delivered && this->call && now < this->deadline) {
      this->timeout = this->deadline;
      this->timer = this->relay.loop.After(this->deadline - now,
                                           this->Guarded([this] { this->OnTimeout(); }));
      return;
    }
    const bool may_have_run = this->call != nullptr || this->history.may_have_run > 0;
    this->CancelCall(AttemptResult::kSilent);
    if (this->exchange->HasBegun()) {
      this->Finish("out-of-time", 0);
      this->exchange->Abort();
    } else if (may_have_run) {
      this->AnswerOwn(504, "out of time", {});
    } else {
      this->AnswerOwn(503, "out of time", this->RefusalReturn());
    }
  }

  void OnCallerDisconnected() {
    if (this->finished) return;
    const auto keep = this->shared_from_this();
    this->CancelCall(AttemptResult::kCancelled);
    this->Finish("caller-gone", 0);
  }

  void CancelCall(AttemptResult result) {
    this->call.reset();
    if (this->attempt == 0) return;
    if (this->relay.waiting.erase(this->attempt) > 0) {
      this->relay.dispatcher.Withdraw(this->attempt);
    } else {
      this->relay.ReportEnd(this->attempt, result);
    }
    this->attempt = 0;
  }

  // ---- records ----

  void LogAttempt(AttemptEnd end, bool granted) {
    Log(LogLevel::kInfo, "attempt_failed",
        {{"request", this->terms.attempt_id},
         {"upstream", this->target.upstream},
         {"end", AttemptEndName(end)},
         {"status", this->answer_status},
         {"sent_ms_ago", ToMillis(this->relay.loop.Now() - this->sent_at)},
         {"attempts", this->attempts},
         {"repeat_granted", granted},
         {"delivered", this->history.delivered}});
  }

  void Finish(std::string_view outcome, int status);
  void LogEnd(std::string_view outcome, int status, Instant now) const;

  Relay::Impl& relay;
  SharedExchange exchange;
  CallerTerms terms;
  SharedRouting rules;  // keeps `route` alive
  const RouteRule& route;
  std::string account;
  int priority;
  Instant arrived;
  Instant deadline = {};  // of the caller
  Instant timeout = {};   // the earlier one of the caller's deadline and the route's timeout
  std::string pool = {};
  RequestHistory history = {};
  bool returned = false;
  bool finished = false;

  // The attempt in progress.
  AttemptNumber attempt = 0;  // 0: none
  SendTo target = {};
  Instant sent_at = {};
  std::unique_ptr<HttpCall> call = {};
  EventCutter cutter = {};
  bool first_event_seen = false;

  // The answer.
  int answer_status = 0;
  bool answer_not_run = false;
  bool answer_misdirected = false;
  bool answer_streams = false;
  bool answer_unusable = false;
  std::vector<HttpField> answer_fields = {};  // of the first upstream that began to answer
  std::string answer_body = {};
  std::optional<std::uint64_t> last_event = {};  // delivered, or named by the caller
  std::optional<Duration> first_part = {};

  std::vector<std::string> avoided = {};
  int attempts = 0;
  std::optional<AttemptEnd> last_end = {};
  std::optional<RefuseRequest> decision = {};
  EventLoop::TimerId timer = 0;
  EventLoop::TimerId silence_timer = 0;
  std::optional<Instant> silence_timer_due = {};
  std::optional<Instant> silent_at = {};

  friend struct Relay::Impl;
};

void RelayedRequest::Finish(std::string_view outcome, int status) {
  if (std::exchange(this->finished, true)) return;
  const Instant now = this->relay.loop.Now();
  if (this->timer != 0) this->relay.loop.Cancel(this->timer);
  if (this->silence_timer != 0) this->relay.loop.Cancel(this->silence_timer);
  const std::string labels = "account=\"" + LabelValue(this->account) + "\",class=\"" +
                             LabelValue(this->route.name) + "\"";
  this->relay.metrics
      .CounterFor("savory_requests_total", labels + ",outcome=\"" + std::string(outcome) + "\"")
      .Add();
  if (this->first_part) {
    this->relay.metrics.HistogramFor("savory_first_part_seconds", labels)
        .Observe(ToSeconds(*this->first_part));
  }
  this->LogEnd(outcome, status, now);
  // Erased last: the map may hold the last reference.
  this->relay.requests.erase(this);
}

void RelayedRequest::LogEnd(std::string_view outcome, int status, Instant now) const {
  // What decided: the upstream that was chosen, or the best one of those that had no room.
  const RefuseRequest* refusal = this->decision ? &*this->decision : nullptr;
  const std::initializer_list<LogField> fields = {
      {"request", this->terms.attempt_id},
      {"route", this->route.name},
      {"account", this->account},
      {"pool", this->pool},
      {"rules", this->rules->Version()},
      {"prompt_tokens", this->terms.prompt_tokens},
      {"answer_tokens", this->terms.answer_tokens},
      {"outcome", outcome},
      {"status", status},
      {"attempts", this->attempts},
      {"upstream", refusal ? refusal->best : this->target.upstream},
      {"usable", refusal ? static_cast<std::int64_t>(refusal->usable) : -1},
      {"share", refusal ? static_cast<std::int64_t>(refusal->share) : -1},
      {"confirmed", refusal ? static_cast<std::int64_t>(refusal->confirmed) : -1},
      {"own", refusal ? static_cast<std::int64_t>(refusal->own) : -1},
      {"borrowable", refusal ? static_cast<std::int64_t>(refusal->borrowable) : -1},
      {"weights", this->target.weights_version},
      {"load", refusal ? refusal->load : this->target.load},
      {"load_age_ms", ToMillis(refusal ? refusal->report_age : this->target.report_age)},
      {"predicted_ms", ToMillis(refusal ? refusal->predicted : this->target.predicted)},
      {"first_ms", this->first_part ? ToMillis(*this->first_part) : -1},
      {"total_ms", ToMillis(now - this->arrived)},
      {"time_left_ms", this->terms.time_left ? ToMillis(*this->terms.time_left) : -1},
      {"returned", this->returned},
      {"last_end", this->last_end ? AttemptEndName(*this->last_end) : "none"}};
  // Under load only some successes are written, but every other end is.
  if (outcome == "served") return LogSampled("request_done", fields);
  Log(LogLevel::kInfo, "request_done", fields);
}

void Relay::Impl::SchedulePoll() {
  if (this->poll_scheduled || this->dispatcher.Waiting() == 0) return;
  this->poll_scheduled = true;
  this->loop.After(kPollPeriod, this->Guarded([this] {
    this->poll_scheduled = false;
    this->Poll();
    this->SchedulePoll();
  }));
}

void Relay::Impl::Poll() {
  for (const DispatchVerdict& verdict : this->dispatcher.Poll(this->loop.Now())) {
    const auto found = this->waiting.find(verdict.attempt);
    if (found == this->waiting.end()) {
      this->ReportEnd(verdict.attempt, AttemptResult::kCancelled);
      continue;
    }
    const auto request = this->requests.at(found->second);
    this->waiting.erase(found);
    request->OnVerdict(verdict);
  }
}

void Relay::Impl::ReportEnd(AttemptNumber attempt, AttemptResult result) {
  const auto change = this->dispatcher.OnEnded(attempt, result, this->loop.Now());
  if (!change) return;
  if (change->ejected) {
    Log(LogLevel::kWarn, "upstream_ejected",
        {{"upstream", change->upstream},
         {"failure_rate", change->failure_rate},
         {"for_ms", ToMillis(change->ejected_for)}});
  } else {
    Log(LogLevel::kInfo, "upstream_serves_again", {{"upstream", change->upstream}});
  }
}

bool Relay::Impl::IsReturned(const RouteRule& route, std::optional<Duration> time_left) {
  if (!time_left) return false;
  Duration& longest = this->longest_time_left[route.name];
  longest = std::max(longest, *time_left);
  return ToSeconds(*time_left) < ToSeconds(longest) * kFirstTryLeft;
}

void Relay::Impl::AnswerOwn(HttpExchange& exchange, int status, std::string_view attempt_id,
                            std::string_view reason, std::optional<Duration> retry_after) {
  std::vector<HttpField> fields = this->codec.EncodeOwnAnswer(attempt_id, retry_after);
  fields.push_back({.name = "Content-Type", .value = "text/plain"});
  exchange.Answer(status, fields, std::string(reason) + "\n");
}

Relay::Relay(EventLoop& loop, HttpConnectionPool& upstreams, const RelayCodec& codec,
             Metrics& metrics, Random& random, RelayOptions options)
    : impl(std::make_shared<Impl>(loop, upstreams, codec, metrics, random, std::move(options))) {}
Relay::~Relay() = default;

void Relay::Serve(const SharedExchange& exchange) {
  Impl& self = *this->impl;
  const HttpHead& head = exchange->Head();
  CallerTerms terms = self.codec.DecodeRequest(head);
  const auto refuse = [&](int status, std::string_view reason,
                          std::optional<Duration> retry_after) {
    self.metrics
        .CounterFor("savory_requests_rejected_total", "status=\"" + std::to_string(status) + "\"")
        .Add();
    Log(LogLevel::kInfo, "request_rejected",
        {{"request", terms.attempt_id},
         {"status", status},
         {"reason", reason},
         {"host", FieldValue(head.fields, "Host")},
         {"target", head.target},
         {"rules", self.rules ? self.rules->Version() : 0}});
    self.AnswerOwn(*exchange, status, terms.attempt_id, reason, retry_after);
  };
  if (self.stopping) return refuse(503, "stopping", Duration(0));
  if (!self.rules) return refuse(503, "no rules known", self.options.unconfigured_return);
  const RouteRule* route = self.rules->FindRoute(FieldValue(head.fields, "Host"), head.target);
  if (route == nullptr) return refuse(404, "no route", {});
  const AccountRule* account = self.rules->FindAccount(terms.api_key);
  if (account == nullptr && self.rules->NeedsApiKey(*route)) {
    return refuse(401, "unknown API key", {});
  }
  const bool has_priority = account != nullptr && account->priority >= 0;
  const auto request =
      std::make_shared<RelayedRequest>(self, exchange, std::move(terms), self.rules, *route,
                                       account == nullptr ? std::string() : account->name,
                                       has_priority ? account->priority : route->priority);
  self.requests.emplace(request.get(), request);
  request->Start();
}

void Relay::SetRules(SharedRouting rules) {
  this->impl->dispatcher.SetRules(rules);
  this->impl->rules = std::move(rules);
}

Dispatcher& Relay::Places() { return this->impl->dispatcher; }
RepeatBudget& Relay::Repeats() { return this->impl->budget; }
void Relay::StopAccepting() { this->impl->stopping = true; }
std::size_t Relay::InProgress() const { return this->impl->requests.size(); }

}  // namespace savory
