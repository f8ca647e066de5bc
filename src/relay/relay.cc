#include "relay/relay.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "base/histogram.h"
#include "base/log.h"
#include "base/metrics.h"
#include "crashes/prompt_parts.h"
#include "crashes/refusal_report.h"
#include "crashes/request_fingerprint.h"
#include "relay/answer_times.h"
#include "relay/attempt_plan.h"
#include "relay/caller_returns.h"
#include "relay/event_splitter.h"
#include "relay/relay_codec.h"
#include "relay/request_explanation.h"
#include "relay/request_terms.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/http_connection_pool.h"
#include "runtime/restartable_timer.h"

namespace savory {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(10);
// A request with less time left is not sent, as its answer could not reach the caller in time.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(5);

// A retry after a lost connection waits until the upstream has been probed, so that what is learned
// of its end counts for the retry.
constexpr Duration kCrashVerdictTime = std::chrono::milliseconds(30);
// How often a request whose upstream is silent looks for another one.
constexpr Duration kSilenceRecheck = std::chrono::milliseconds(50);
// How often a begun answer asks for the retry budget while it is used up.
constexpr Duration kBudgetRecheck = std::chrono::milliseconds(50);
// Retry-After of a request whose copy may be ending an upstream at the moment.
constexpr Duration kCopyRetryAfter = std::chrono::seconds(1);
// Lowest HTTP status that is a server error.
constexpr int kMinServerErrorStatus = 500;

bool IsEventStream(const HttpHead& head) {
  return FieldValue(head.fields, "Content-Type").starts_with("text/event-stream");
}

bool EndsWithConnection(const HttpHead& head) {
  return FindField(head.fields, "Content-Length") == nullptr &&
         FindField(head.fields, "Transfer-Encoding") == nullptr;
}

bool LostConnection(AttemptEnd end) {
  return end == AttemptEnd::kNoAnswer || end == AttemptEnd::kBrokenOff;
}

AttemptResult ResultOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return AttemptResult::kUnreachable;
    case AttemptEnd::kNotRun:
      return AttemptResult::kRefused;
    case AttemptEnd::kSilent:
      return AttemptResult::kSilent;
    case AttemptEnd::kWithdrawn:
      return AttemptResult::kCancelled;
    case AttemptEnd::kServerError:
    case AttemptEnd::kNoAnswer:
    case AttemptEnd::kBrokenOff:
    case AttemptEnd::kNotAnswered:
      return AttemptResult::kErrored;
  }
  return AttemptResult::kErrored;
}

}  // namespace

class RelayedRequest;

// An attempt whose upstream fell silent in the middle of a stream. It is kept while another
// upstream is tried, as it may go on.
struct SilentAttempt {
  AttemptNumber attempt = 0;
  SendTo target = {};
  Instant sent_at = {};
  Instant last_bytes_at = {};
  std::unique_ptr<HttpCall> call = {};
  EventSplitter splitter = {};
  int answer_status = 0;
  bool ends_with_connection = false;
  bool streams_soundly = false;
  std::optional<Instant> first_event_at = {};
};

// Receives what the call of a SilentAttempt does.
class SilentCallHandler : public HttpCallHandler {
 public:
  explicit SilentCallHandler(RelayedRequest& request) : request(request) {}
  void OnAnswerHead(const HttpHead&) override {}  // received before
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerDone() override;
  void OnCallFailed(CallFailure failure) override;

 private:
  RelayedRequest& request;
};

struct Relay::Impl : GuardedCallbacks<Relay::Impl> {
  EventLoop& loop;
  HttpConnectionPool& upstreams;
  const RelayCodec& codec;
  Metrics& metrics;
  Counter& withdrawn;
  Counter& overdue;  // answers that began on outdated weights
  RelayOptions options;
  Random& random;
  Dispatcher dispatcher;
  PoolRetryBudget budget;
  CrashGuard crashes;
  SharedRouting rules = {};
  bool stopping = false;
  Instant stop_end = Instant::max();  // of a planned stop
  std::optional<Instant> stopping_since = {};
  AnswerTimes answer_times = AnswerTimes();
  EndListener on_end = {};
  AttemptNumber next_attempt = 1;
  std::map<RelayedRequest*, std::shared_ptr<RelayedRequest>> requests = {};
  std::map<AttemptNumber, RelayedRequest*> waiting = {};
  bool poll_scheduled = false;
  std::size_t buffered_bytes = 0;  // of the answers in all requests
  CallerReturns returns = CallerReturns();

  Impl(EventLoop& loop, HttpConnectionPool& upstreams, const RelayCodec& codec, Metrics& metrics,
       Random& random, RelayOptions given)
      : loop(loop),
        upstreams(upstreams),
        codec(codec),
        metrics(metrics),
        withdrawn(metrics.CounterFor("savory_attempts_withdrawn_total")),
        overdue(metrics.CounterFor("savory_answers_overdue_total")),
        options(std::move(given)),
        random(random),
        dispatcher(this->options.dispatcher, random),
        budget(this->options.budget),
        crashes(loop, metrics, random, this->options.crashes) {
    this->crashes.OnRefusal([this] { this->RefuseCrashing(); });
  }

  void SchedulePoll();
  void Poll();
  void WithdrawOutdated();
  // Ends the attempts of requests that are refused from now on and wait at an upstream.
  void RefuseCrashing();
  void EndAll();
  // Reports the result to the dispatcher and logs when the upstream is ejected or usable again.
  void ReportEnd(AttemptNumber attempt, AttemptResult result);
  // Passes what an answer said of its upstream on to the dispatcher and logs what is new.
  void CountLeft(LeavingReason reason);
  void TakeNotices(const SendTo& sent, std::string_view request, const UpstreamAnswer& answer,
                   int status);
  bool IsCallerRetry(const RouteRule& route, std::optional<Duration> time_left) const;
  // The longest time of the route's recent answers, also of those that are not complete yet;
  // nullopt if none is complete.
  std::optional<Duration> LongestAnswer(std::string_view route) const;
  void AnswerLocally(HttpExchange& exchange, int status, std::string_view attempt_id,
                     std::string_view reason, std::optional<Duration> retry_after);
};

// One request of a caller, from its arrival to the end of its answer.
class RelayedRequest : public HttpCallHandler, public GuardedCallbacks<RelayedRequest> {
 public:
  RelayedRequest(Relay::Impl& relay, SharedExchange exchange, CallerMetadata metadata,
                 SharedRouting rules, const RouteRule& route, const AccountRule* account)
      : relay(relay),
        exchange(std::move(exchange)),
        metadata(std::move(metadata)),
        rules(std::move(rules)),
        route(route),
        account(account == nullptr ? std::string() : account->name),
        priority(PriorityOf(route, account)),
        homes(HomesOf(route, account)),
        arrived(this->exchange->ReceivedAt()) {
    for (const std::string& id : this->metadata.prompt_parts) {
      this->suspect.parts.push_back(PromptPartDigest(id));
    }
    this->history = FirstHistoryOf(route);
  }

  void Start() {
    this->pool = this->PickPool();
    const Instant now = this->relay.loop.Now();
    this->deadline = this->arrived + this->metadata.time_left.value_or(this->route.timeout);
    this->timeout = std::min(this->deadline, this->arrived + this->route.timeout);
    this->last_event = this->metadata.last_event_id;
    this->is_caller_retry = this->metadata.time_left &&
                            this->relay.returns.IsReturn(this->route.name, this->route.timeout,
                                                         *this->metadata.time_left, now);
    this->relay.budget.OnRequest(this->pool, now);
    this->silence.emplace(this->relay.loop, this->Guarded([this] { this->OnSilence(); }));
    this->exchange->OnCallerDisconnected(this->Guarded([this] { this->OnCallerDisconnected(); }));
    this->timer =
        this->relay.loop.After(this->timeout - now, this->Guarded([this] { this->OnTimeout(); }));
    this->relay.crashes.OnArrived(this->suspect.parts);
    if (this->CrashesUpstreams()) return this->RefuseCrashing();
    if (this->EndsAfterStop()) return this->RefuseAtStop();
    this->Submit();
  }

  void OnVerdict(const DispatchVerdict& verdict) {
    std::visit([this](const auto& decision) { this->Apply(decision); }, verdict.decision);
  }

  // ---- the upstream's answer ----

  void OnAnswerHead(const HttpHead& head) override {
    this->NoteBytes();
    const UpstreamAnswer answer = this->relay.codec.DecodeAnswer(head);
    if (answer.load) {
      this->relay.dispatcher.AddLoad(this->target.upstream, *answer.load, this->relay.loop.Now());
    }
    this->relay.TakeNotices(this->target, this->metadata.attempt_id, answer, head.status);
    if (answer.weights_version) this->NoteWeights(*answer.weights_version);
    if (!answer.misdirected) {
      this->relay.crashes.OnAnswered(this->target.upstream, this->target.started_unix_ms);
    }
    this->answer_status = head.status;
    this->answer_not_run = answer.not_run;
    this->answer_misdirected = answer.misdirected;
    this->answer_streams = head.status == 200 && IsEventStream(head);
    // The head of a stream may come before it begins.
    if (!this->answer_streams && !answer.not_run) {
      this->relay.dispatcher.OnFirstEvent(this->attempt, this->relay.loop.Now());
    }
    this->ends_with_connection = EndsWithConnection(head);
    this->ignored_bytes = 0;
    if (!this->history.delivered) {
      this->answer_fields = this->relay.codec.EncodeAnswer(head);
      this->answer_body.clear();
      this->CountBuffered();
    }
    // An upstream that resumes a stream must answer with a stream.
    if (this->history.delivered && !this->answer_streams && !answer.not_run) {
      this->answer_unusable = true;
    }
    if (!answer.not_run && this->relay.codec.PromisesNotRun(head.status)) {
      this->answer_unusable = true;
    }
    this->SetSilenceLimit(this->FirstByteLimit());
  }

  void OnAnswerBody(std::string_view bytes) override {
    this->NoteBytes();
    if (this->answer_unusable || this->answer_not_run) return this->Ignore(bytes);
    if (this->answer_streams) {
      this->ForwardEvents(bytes);
      return;
    }
    if (this->exchange->HasBegun()) {
      this->exchange->SendPart(bytes);
      this->LimitUnsent();
      return;
    }
    this->answer_body += bytes;
    this->CountBuffered();
    const RelayOptions& options = this->relay.options;
    if (this->answer_body.size() > options.max_buffered_answer ||
        this->relay.buffered_bytes > options.max_buffered_answers) {
      this->RecordFirstPart();
      this->exchange->BeginStream(this->answer_status, this->answer_fields);
      this->exchange->SendPart(std::exchange(this->answer_body, {}));
      this->CountBuffered();
      this->history.delivered = true;
      this->history.resumable = false;
      this->LimitUnsent();
    }
  }

  void OnAnswerDone() override {
    const auto keep = this->shared_from_this();
    this->call.reset();
    if (this->answer_not_run) {
      this->EndAttempt(AttemptEnd::kNotRun);
    } else if (this->answer_unusable || this->StreamStopped()) {
      if (this->ends_with_connection) this->OnConnectionLost();
      this->EndAttempt(AttemptEnd::kBrokenOff);
    } else if (this->answer_status >= kMinServerErrorStatus && !this->exchange->HasBegun()) {
      this->EndAttempt(AttemptEnd::kServerError);
    } else {
      this->Complete();
    }
  }

  // ---- the answer of an upstream that fell silent ----

  void OnSilentBody(std::string_view bytes) {
    const auto keep = this->shared_from_this();
    this->relay.dispatcher.OnAnswerBytes(this->silent_attempt->attempt, this->relay.loop.Now());
    EventSplitter splitter = this->silent_attempt->splitter;
    const std::vector<StreamEvent> events = splitter.Feed(bytes);
    // Bytes of an unfinished event, and comments, are no progress.
    if (std::ranges::all_of(events, &StreamEvent::only_comments)) {
      this->silent_attempt->splitter = std::move(splitter);
      return;
    }
    this->ReturnToSilent("goes-on");
    this->OnAnswerBody(bytes);
  }

  void OnSilentDone() {
    const auto keep = this->shared_from_this();
    this->ReturnToSilent("goes-on");
    this->OnAnswerDone();
  }

  // Only the other upstream is left.
  void OnSilentFailed(CallFailure failure) {
    const SilentAttempt& failed = *this->silent_attempt;
    if (failure == CallFailure::kNoAnswer || failure == CallFailure::kBrokenOff) {
      this->OnConnectionLost(failed.target, failed.streams_soundly);
    }
    this->LeaveSilent("broken-off", AttemptResult::kErrored);
  }

  void OnCallFailed(CallFailure failure) override {
    const auto keep = this->shared_from_this();
    this->call.reset();
    if (failure == CallFailure::kNoAnswer || failure == CallFailure::kBrokenOff) {
      this->OnConnectionLost();
    }
    switch (failure) {
      case CallFailure::kNotSent:
        return this->EndAttempt(AttemptEnd::kNotSent);
      case CallFailure::kNoAnswer:
        return this->EndAttempt(AttemptEnd::kNoAnswer);
      case CallFailure::kBrokenOff:
        // The head said that the request was not run; only the body was truncated.
        return this->EndAttempt(this->answer_not_run ? AttemptEnd::kNotRun
                                                     : AttemptEnd::kBrokenOff);
      case CallFailure::kMalformed:
      case CallFailure::kUnmatched:
        return this->EndAttempt(AttemptEnd::kNotAnswered);
    }
  }

 private:
  std::string PickPool() {
    if (this->route.pools.empty()) return {};
    std::uint64_t total = 0;
    for (const PoolShare& share : this->route.pools) total += share.weight;
    if (total == 0) return this->route.pools.front().pool;
    std::uint64_t draw = UniformBelow(this->relay.random, total);
    for (const PoolShare& share : this->route.pools) {
      if (draw < share.weight) return share.pool;
      draw -= share.weight;
    }
    return this->route.pools.back().pool;
  }

  // ---- requests that end upstreams ----

  // As identified if it is sent again, or another one with a part of its prompt.
  const CrashSuspect& Suspect() {
    if (this->suspect.fingerprint.IsZero()) {
      const HttpHead& head = this->exchange->Head();
      this->suspect.fingerprint =
          RequestFingerprint({this->account, head.method, head.target, this->exchange->Body()});
    }
    return this->suspect;
  }

  bool CrashesUpstreams() {
    return this->relay.crashes.HasSuspects() && this->relay.crashes.IsRefused(this->Suspect());
  }

  void OnConnectionLost() { this->OnConnectionLost(this->target, this->streams_soundly); }

  void OnConnectionLost(const SendTo& lost, bool streamed_soundly) {
    const UpstreamStart start{.id = lost.upstream, .started_unix_ms = lost.started_unix_ms};
    const Dispatcher& dispatcher = this->relay.dispatcher;
    const bool was_replaced = dispatcher.WasReplaced(start, this->relay.loop.Now());
    // One that leaves may close its connections.
    if (!was_replaced && !dispatcher.IsExpectedToStay(start, this->relay.loop.Now())) return;
    if (streamed_soundly) return;
    this->relay.crashes.OnConnectionLost(
        {.id = lost.upstream, .address = lost.address, .started_unix_ms = lost.started_unix_ms},
        this->Suspect(), this->metadata.attempt_id, this->metadata.prompt_parts, was_replaced);
  }

  // Whether the request, or a part of its prompt, ran at two upstreams that ended, and another
  // such request is at an upstream now. That one shows whether it ends a third.
  bool MustAwaitCopy() {
    CrashGuard& crashes = this->relay.crashes;
    if (!crashes.HasSuspects()) return false;
    const std::vector<Digest> suspicions = crashes.StrongSuspicions(this->Suspect());
    if (suspicions.empty()) return false;
    return std::ranges::any_of(this->relay.requests, [&](const auto& row) {
      RelayedRequest& other = *row.second;
      if (&other == this || !other.call || other.streams_soundly) return false;
      const std::vector<Digest> others = crashes.StrongSuspicions(other.Suspect());
      return std::ranges::find_first_of(suspicions, others) != suspicions.end();
    });
  }

  // Whether the request lost the connection to an upstream, and it, or another one with a part of
  // its prompt, had run at one that ended before.
  bool IsRepeatedSuspect(AttemptEnd end) {
    return LostConnection(end) && !this->streams_soundly && this->relay.crashes.HasSuspects() &&
           this->relay.crashes.IsSuspect(this->Suspect());
  }

  // The upstream has streamed an answer for a while: nothing in the request ends it.
  void NoteSoundStream() {
    if (this->streams_soundly) return;
    const Instant now = this->relay.loop.Now();
    if (!this->first_event_at) this->first_event_at = now;
    if (now - *this->first_event_at < kSoundStreamTime) return;
    this->streams_soundly = true;
    this->relay.crashes.OnServed({.parts = this->suspect.parts});
  }

  // Ends an attempt that has not begun if the request is refused by now.
  void RefuseIfCrashing() {
    const bool waits = !this->finished && this->call && !this->first_event_seen;
    if (!waits || !this->CrashesUpstreams()) return;
    const auto keep = this->shared_from_this();
    this->CancelCall(AttemptResult::kCancelled);
    ++this->history.may_have_run;
    this->RefuseCrashing();
  }

  // Answers a request that is not sent, or not sent again, as it ends the upstreams that run it.
  void RefuseCrashing() {
    const auto refusal = this->relay.crashes.RefusalOf(this->Suspect());
    if (!refusal) return this->RefuseCrashing(kCopyRetryAfter);
    const Duration remaining = std::max(kCopyRetryAfter, refusal->end - this->relay.loop.Now());
    LogSampled("request_refused", {{"request", this->metadata.attempt_id},
                                   {"cause", CauseName(refusal->cause)},
                                   {"parts", this->relay.crashes.PartIds(refusal->cause)},
                                   {"crashes", refusal->cause.crashes.size()},
                                   {"for_ms", ToMillis(remaining)},
                                   {"attempts", this->attempts}});
    this->RefuseCrashing(remaining);
  }
  void RefuseCrashing(Duration retry_after) {
    if (this->silent_attempt) return this->ReturnToSilent("request-crashes-upstream");
    const auto keep = this->shared_from_this();
    const std::string_view reason = AnswerFor(ErrorKind::kRequestCrashesUpstream).name;
    if (this->history.delivered) {
      this->Finish(reason, 0);
      this->exchange->Abort();
    } else if (this->history.may_have_run > 0) {
      this->AnswerLocally(502, reason, {});
    } else {
      this->AnswerLocally(503, reason, retry_after);
    }
  }

  // ---- planned stop ----

  // Whether a request that has not run yet might be cut off by the end of the process.
  bool EndsAfterStop() const {
    if (this->relay.stop_end == Instant::max()) return false;
    const auto usual = this->relay.LongestAnswer(this->route.name);
    return savory::EndsAfterStop(this->history, this->timeout, usual, this->relay.stop_end,
                                 this->relay.loop.Now());
  }

  // Time since the request was sent to the upstream where it is now.
  Duration AttemptAge() const {
    return this->call ? this->relay.loop.Now() - this->sent_at : Duration(0);
  }

  void RefuseAtStop() { this->AnswerLocally(503, "stopping", Duration(0)); }

  void EndNow() {
    if (this->finished) return;
    const auto keep = this->shared_from_this();
    const bool may_have_run = this->call != nullptr || this->history.may_have_run > 0;
    this->LogStopEnd();
    this->CancelCall(AttemptResult::kCancelled);
    if (this->exchange->HasBegun()) {
      this->Finish("stopped", 0);
      this->exchange->Abort();
    } else if (may_have_run) {
      this->AnswerLocally(504, "stopped", {});
    } else {
      this->RefuseAtStop();
    }
  }

  void Submit() {
    this->attempt = this->relay.next_attempt++;
    const bool rerun = this->history.delivered || this->history.may_have_run > 0;
    this->OnVerdict(
        this->relay.dispatcher.Submit(this->MakeDispatchRequest(rerun), this->relay.loop.Now()));
  }

  DispatchRequest MakeDispatchRequest(bool rerun) const {
    return {.attempt = this->attempt,
            .pool = this->pool,
            .arrived = this->arrived,
            .target = this->route.target_latency,
            .deadline = this->timeout,
            .caller_deadline = this->deadline,
            .priority = this->priority,
            .prompt_tokens = this->metadata.prompt_tokens,
            .answer_tokens = this->metadata.answer_tokens,
            .max_pause = MaxPauseOf(this->route),
            .is_caller_retry = this->is_caller_retry,
            .rerun = rerun,
            .answer_begun = this->history.delivered,
            .may_probe = MayRerun(this->history),
            .avoided = this->avoided,
            .tries = this->tries,
            .only_former = this->history.may_have_run >= this->history.max_attempts,
            .homes = this->homes,
            .body_bytes = this->exchange->Body().size()};
  }

  void Apply(const KeepWaiting&) {
    this->relay.waiting[this->attempt] = this;
    this->relay.SchedulePoll();
  }

  void Apply(const RefuseRequest& refusal) {
    if (this->silent_attempt) return this->ReturnToSilent("no-other");
    this->refusal = refusal;
    if (refusal.limited) {
      this->relay.metrics
          .CounterFor("savory_refused_for_more_urgent_total",
                      "priority=\"" + std::to_string(PriorityClass(this->priority)) + "\"")
          .Add();
    }
    if (this->history.delivered) {
      this->Finish("broken-off", 0);
      this->exchange->Abort();
    } else if (this->history.may_have_run > 0) {
      this->AnswerLocally(502, "no upstream left", {});
    } else {
      this->AnswerLocally(503, RefusalReason(refusal.kind), refusal.retry_after);
    }
  }

  void Apply(const SendTo& chosen) {
    const Instant now = this->relay.loop.Now();
    const Duration left = this->timeout - now;
    this->target = chosen;
    this->sent_at = now;
    this->last_bytes_at = now;
    this->ResetAnswer();
    if (this->CrashesUpstreams()) {
      this->relay.ReportEnd(this->attempt, AttemptResult::kCancelled);
      this->attempt = 0;
      this->RefuseCrashing();
      return;
    }
    if (this->MustAwaitCopy()) {
      Log(LogLevel::kInfo, "suspect_awaits_copy", {{"request", this->metadata.attempt_id}});
      this->relay.ReportEnd(this->attempt, AttemptResult::kCancelled);
      this->attempt = 0;
      this->RefuseCrashing(kCopyRetryAfter);
      return;
    }
    if (this->EndsAfterStop()) {
      this->relay.ReportEnd(this->attempt, AttemptResult::kCancelled);
      this->attempt = 0;
      this->RefuseAtStop();
      return;
    }
    if (left < kMinTimeLeft) {
      this->relay.ReportEnd(this->attempt, AttemptResult::kCancelled);
      this->attempt = 0;
      this->OnTimeout();
      return;
    }
    if (!this->UseGrant(now)) {
      this->relay.ReportEnd(this->attempt, AttemptResult::kCancelled);
      this->attempt = 0;
      this->AwaitBudget(now);
      return;
    }
    ++this->attempts;
    this->relay.CountLeft(chosen.left);
    this->avoided.push_back(chosen.upstream);
    const std::string& body = this->exchange->Body();
    HttpCallOptions options{
        .address = chosen.address,
        .head = this->relay.codec.EncodeRequest(
            this->exchange->Head(), UpstreamMetadata{.time_left = left,
                                                     .upstream_id = chosen.upstream,
                                                     .account = this->account,
                                                     .priority = this->UpstreamPriority(),
                                                     .last_event_id = this->last_event,
                                                     .body_bytes = body.size()}),
        .body = body,
        .connect_timeout = std::min(left, this->relay.options.connect_timeout),
        .answer_has_body = this->exchange->Head().method != "HEAD",
        .match = [this](const HttpHead& head) {
          return this->relay.codec.MatchAnswer(head, this->metadata.attempt_id);
        }};
    if (!MayRerun(this->history)) options.max_idle = this->relay.options.max_idle_non_retryable;
    // Answers to a request without an id cannot be told from others.
    if (this->metadata.attempt_id.empty()) options.max_idle = Duration(0);
    // A copy of the answer to an earlier attempt there would have the same id.
    if (std::ranges::find(this->tried_addresses, chosen.address) != this->tried_addresses.end()) {
      options.max_idle = Duration(0);
    }
    this->tried_addresses.push_back(chosen.address);
    this->call = this->relay.upstreams.Start(std::move(options), *this);
    this->SetSilenceLimit(this->FirstByteLimit());
  }

  int UpstreamPriority() const {
    const PoolRule* rule = this->rules->FindPool(this->pool);
    const bool to_engine = rule != nullptr && rule->engine;
    return to_engine ? EngineQueuePriority(this->history, this->is_caller_retry) : this->priority;
  }

  void ResetAnswer() {
    this->splitter = EventSplitter();
    this->answer_not_run = false;
    this->answer_misdirected = false;
    this->answer_unusable = false;
    this->answer_streams = false;
    this->ends_with_connection = false;
    this->first_event_seen = false;
    this->first_event_at.reset();
    this->streams_soundly = false;
  }

  // ---- streams ----

  void ForwardEvents(std::string_view bytes) {
    bool progress = false;  // bytes of an unfinished event, and comments, are none
    for (const StreamEvent& event : this->splitter.Feed(bytes)) {
      progress = progress || !event.only_comments;
      // A resuming upstream may repeat events that were already sent.
      if (event.id && this->last_event && *event.id <= *this->last_event) continue;
      this->first_event_seen = true;
      // An engine may send comments to requests that wait in its queue.
      if (!event.only_comments) {
        if (!this->first_event_at) {
          this->relay.dispatcher.OnFirstEvent(this->attempt, this->relay.loop.Now());
        }
        this->LeaveSilent("other-goes-on", AttemptResult::kSilent);
        this->NoteSoundStream();
      }
      if (!this->exchange->HasBegun()) {
        this->RecordFirstPart();
        this->exchange->BeginStream(this->answer_status, this->answer_fields);
      }
      this->history.delivered = true;
      this->exchange->SendPart(event.text);
      if (event.id) this->last_event = event.id;
      // An upstream that resumes after `last_event` would repeat a later event that has no id.
      if (!event.only_comments) this->history.resumable = this->route.resumable && event.id;
    }
    if (this->LimitUnsent() && progress) this->SetSilenceLimit(this->PauseLimit());
  }

  void NoteBytes() {
    this->last_bytes_at = this->relay.loop.Now();
    this->relay.dispatcher.OnAnswerBytes(this->attempt, this->last_bytes_at);
  }

  // The upstream may send bytes without end.
  void Ignore(std::string_view bytes) {
    this->ignored_bytes += bytes.size();
    if (this->ignored_bytes <= this->relay.options.max_ignored_bytes) return;
    const auto keep = this->shared_from_this();
    this->call.reset();
    LogSampled("answer_given_up", {{"attempt", this->metadata.attempt_id},
                                   {"upstream", this->target.upstream},
                                   {"status", this->answer_status},
                                   {"bytes", this->ignored_bytes}});
    this->EndAttempt(this->answer_not_run ? AttemptEnd::kNotRun : AttemptEnd::kBrokenOff);
  }

  void CountBuffered() {
    this->relay.buffered_bytes += this->answer_body.size() - this->counted_bytes;
    this->counted_bytes = this->answer_body.size();
  }

  // Reads no more of the answer until the caller has read what was sent. Returns false if the
  // request was ended or reading is paused.
  bool LimitUnsent() {
    if (!this->CheckUnsent()) return false;
    if (this->exchange->UnsentBytes() <= this->relay.options.pause_unsent_bytes) return true;
    this->call->PauseReading();
    this->SetSilenceLimit(Duration::max());
    this->exchange->OnFlushed([weak = this->weak_from_this()] {
      const auto self = weak.lock();
      if (!self || !self->call) return;
      self->call->ResumeReading();
      self->SetSilenceLimit(self->answer_streams ? self->PauseLimit() : self->FirstByteLimit());
    });
    return false;
  }

  // Returns false if the request was ended because the caller does not read.
  bool CheckUnsent() {
    if (this->exchange->UnsentBytes() <= this->relay.options.max_unsent_bytes) return true;
    this->CancelCall(AttemptResult::kCancelled);
    this->exchange->Abort();
    this->Finish("caller-too-slow", 0);
    return false;
  }

  void RecordFirstPart() { this->first_part = this->relay.loop.Now() - this->arrived; }

  // Whether the stream ended inside an event or, where only the end of the connection ends it,
  // before its first one.
  bool StreamStopped() const {
    if (!this->answer_streams) return false;
    const bool lacks_event = this->ends_with_connection && !this->first_event_seen;
    return lacks_event || !this->splitter.Remainder().empty();
  }

  // ---- silent upstreams ----

  Duration FirstByteLimit() const {
    if (!MayRerun(this->history)) return Duration::max();
    const Duration target = this->route.target_latency;
    return this->target.predicted +
           FromSeconds(ToSeconds(target) * this->relay.options.first_byte_timeout_factor);
  }

  Duration PauseLimit() const {
    if (!MayRerun(this->history)) return Duration::max();
    return FromSeconds(ToSeconds(this->route.max_pause) * this->relay.options.pause_timeout_factor);
  }

  void SetSilenceLimit(Duration limit) {
    if (limit == Duration::max()) return this->silence->Clear();
    this->silence->Set(limit);
  }

  // The upstream may go on: the request leaves it only when another one can take it now.
  void OnSilence() {
    // The limit may have been set before the answer began.
    if (this->finished || !this->call || !MayRerun(this->history)) return;
    if (!this->CouldLeaveUpstream()) return this->silence->Set(kSilenceRecheck);
    // An attempt that has not begun could begin late, or be refused.
    if (this->first_event_at) return this->TryAnotherUpstream();
    this->call.reset();
    this->EndAttempt(AttemptEnd::kSilent);
  }

  // The other one may refuse the request or fall silent too, and the silent one may go on:
  // whichever sends the next event serves the rest.
  void TryAnotherUpstream() {
    const Instant now = this->relay.loop.Now();
    if (!this->TakeBudget(now)) return this->silence->Set(kSilenceRecheck);
    Log(LogLevel::kInfo, "silent_upstream_kept",
        {{"request", this->metadata.attempt_id},
         {"upstream", this->target.upstream},
         {"silent_ms", ToMillis(now - this->last_bytes_at)},
         {"attempts", this->attempts}});
    this->silence->Clear();
    ++this->history.may_have_run;
    this->NoteTry(AttemptEnd::kSilent, true);
    this->silent_attempt = SilentAttempt{.attempt = std::exchange(this->attempt, 0),
                                         .target = this->target,
                                         .sent_at = this->sent_at,
                                         .last_bytes_at = this->last_bytes_at,
                                         .call = std::move(this->call),
                                         .splitter = std::exchange(this->splitter, EventSplitter()),
                                         .answer_status = this->answer_status,
                                         .ends_with_connection = this->ends_with_connection,
                                         .streams_soundly = this->streams_soundly,
                                         .first_event_at = this->first_event_at};
    this->silent_attempt->call->PassTo(this->silent_handler);
    this->Submit();
  }

  // Gives up what the request does at another upstream, if anything.
  void ReturnToSilent(std::string_view reason) {
    if (this->call) ++this->history.may_have_run;
    this->CancelCall(AttemptResult::kCancelled);
    this->GiveBackGrant(this->relay.loop.Now());
    this->LogSilent("silent_upstream_resumed", reason);
    SilentAttempt kept = std::move(*this->silent_attempt);
    this->silent_attempt.reset();
    --this->history.may_have_run;
    this->ResetAnswer();
    this->attempt = kept.attempt;
    this->target = std::move(kept.target);
    this->sent_at = kept.sent_at;
    this->last_bytes_at = kept.last_bytes_at;
    this->splitter = std::move(kept.splitter);
    this->answer_status = kept.answer_status;
    this->ends_with_connection = kept.ends_with_connection;
    this->streams_soundly = kept.streams_soundly;
    this->first_event_at = kept.first_event_at;
    this->answer_streams = true;
    this->first_event_seen = true;
    this->call = std::move(kept.call);
    this->call->PassTo(*this);
    this->SetSilenceLimit(this->PauseLimit());
  }

  void LeaveSilent(std::string_view reason, AttemptResult result) {
    if (!this->silent_attempt) return;
    this->LogSilent("silent_upstream_left", reason);
    const SilentAttempt left = std::move(*this->silent_attempt);
    this->silent_attempt.reset();
    this->relay.ReportEnd(left.attempt, result);
  }

  void LogSilent(std::string_view event, std::string_view reason) const {
    Log(LogLevel::kInfo, event,
        {{"request", this->metadata.attempt_id},
         {"upstream", this->silent_attempt->target.upstream},
         {"reason", reason},
         {"silent_ms", ToMillis(this->relay.loop.Now() - this->silent_attempt->last_bytes_at)}});
  }

  // Whether the request would be sent to another upstream at once if it left its own.
  bool CouldLeaveUpstream() {
    const Instant now = this->relay.loop.Now();
    const bool may_retry = this->history.may_have_run + 1 < this->history.max_attempts &&
                           this->timeout - now > kMinTimeLeft &&
                           this->relay.budget.Spare(this->pool, now) >= 1;
    if (!may_retry || this->CrashesUpstreams() || this->MustAwaitCopy()) return false;
    DispatchRequest request = this->MakeDispatchRequest(true);
    std::erase_if(request.tries, [this](const EngineTry& other) {
      return other.upstream == this->target.upstream;
    });
    return this->relay.dispatcher.CouldSend(request, now);
  }

  // The caller of a request that must not run twice could not be told whether it ran: it is left
  // there.
  void WithdrawOutdated(const OutdatedAttempt& outdated) {
    if (this->finished || !this->call) return;
    if (this->route.kind != RequestKind::kStream && !MayRerun(this->history)) return;
    Log(LogLevel::kInfo, "attempt_withdrawn",
        {{"request", this->metadata.attempt_id},
         {"upstream", outdated.upstream},
         {"listed", outdated.listed},
         {"weights", outdated.held},
         {"wanted", outdated.wanted},
         {"deadline_in_ms", ToMillis(outdated.time_left)},
         {"sent_ms_ago", ToMillis(this->relay.loop.Now() - this->sent_at)}});
    this->relay.withdrawn.Add();
    this->call.reset();
    this->EndAttempt(AttemptEnd::kWithdrawn);
  }

  // ---- end of attempts and of the request ----

  void EndAttempt(AttemptEnd end) {
    const Instant now = this->relay.loop.Now();
    this->silence->Clear();
    const bool misdirected = end == AttemptEnd::kNotRun && this->answer_misdirected;
    this->relay.ReportEnd(this->attempt, misdirected ? AttemptResult::kMisdirected : ResultOf(end));
    this->attempt = 0;
    this->last_end = end;
    const bool certainly_not_run = end == AttemptEnd::kNotSent || end == AttemptEnd::kNotRun;
    ++(certainly_not_run ? this->history.not_run : this->history.may_have_run);
    this->NoteTry(end, !certainly_not_run);
    if (this->silent_attempt) {
      this->LogAttempt(end, false);
      return this->ReturnToSilent("other-failed");
    }
    const bool in_time = this->timeout - now > kMinTimeLeft;
    const bool may_retry = in_time && !this->IsRepeatedSuspect(end);
    if (in_time && !may_retry) {
      Log(LogLevel::kInfo, "suspect_not_retried",
          {{"request", this->metadata.attempt_id}, {"upstream", this->target.upstream}});
    }
    const NextStep planned = PlanNext(this->history, end, may_retry);
    // A request that was not sent reached no upstream, so its retry does not use the budget.
    const bool granted =
        planned != NextStep::kRetry || end == AttemptEnd::kNotSent || this->TakeBudget(now);
    this->LogAttempt(end, granted);
    if (!granted && this->history.delivered) return this->AwaitBudget(now);
    const NextStep next = granted ? planned : PlanNext(this->history, end, false);
    const bool awaits_verdict =
        next == NextStep::kRetry && LostConnection(end) && !this->streams_soundly;
    if (!awaits_verdict) return this->Execute(next);
    this->relay.loop.After(kCrashVerdictTime, this->Guarded([this, next] {
      if (!this->finished) this->Execute(next);
    }));
  }

  bool TakeBudget(Instant now) {
    if (!this->relay.budget.Take(this->pool, now)) return false;
    this->unsent_grant = now;
    return true;
  }

  void GiveBackGrant(Instant now) {
    if (!this->unsent_grant) return;
    this->relay.budget.GiveBack(this->pool, *this->unsent_grant, now);
    this->unsent_grant.reset();
  }

  // A retry counts in the window in which it is sent: it may have waited since it was granted.
  bool UseGrant(Instant now) {
    if (!this->unsent_grant) return true;
    this->GiveBackGrant(now);
    if (!this->TakeBudget(now)) return false;
    this->unsent_grant.reset();
    return true;
  }

  // Until the request's time is up.
  void AwaitBudget(Instant since) {
    this->relay.loop.After(kBudgetRecheck, this->Guarded([this, since] {
      // The request may have returned to a silent upstream.
      if (this->finished || this->call) return;
      const Instant now = this->relay.loop.Now();
      if (!this->TakeBudget(now)) return this->AwaitBudget(since);
      Log(LogLevel::kInfo, "resume_granted",
          {{"request", this->metadata.attempt_id}, {"waited_ms", ToMillis(now - since)}});
      this->Execute(NextStep::kRetry);
    }));
  }

  void NoteTry(AttemptEnd end, bool may_have_run) {
    EngineTry sent{.upstream = this->target.upstream,
                   .weights_version = this->target.weights_version,
                   .may_have_run = may_have_run};
    const auto former = std::ranges::find(this->tries, sent.upstream, &EngineTry::upstream);
    if (former != this->tries.end()) {
      sent.may_have_run = sent.may_have_run || former->may_have_run;
      this->tries.erase(former);
    }
    this->tries.push_back(sent);
    if (!may_have_run) return;
    const auto is_back_soon = [this](const EngineTry& other) {
      return other.may_have_run &&
             this->relay.dispatcher.ReplacesWeights(other, this->relay.loop.Now());
    };
    this->history.may_return =
        end == AttemptEnd::kWithdrawn || std::ranges::any_of(this->tries, is_back_soon);
  }

  void Execute(NextStep step) {
    switch (step) {
      case NextStep::kRetry:
        if (this->CrashesUpstreams()) return this->RefuseCrashing();
        this->Submit();
        return;
      case NextStep::kAnswerNotRun:
        this->AnswerLocally(503, "upstreams refused", this->RetryAfter());
        return;
      case NextStep::kAnswerUnknown:
        this->AnswerLocally(502, "no whole answer", {});
        return;
      case NextStep::kForwardError:
        this->Complete();
        return;
      case NextStep::kAbort:
        this->Finish("broken-off", 0);
        this->exchange->Abort();
        return;
    }
  }

  Duration RetryAfter() {
    return this->relay.dispatcher.RetryAfter(this->pool, this->deadline, this->relay.loop.Now());
  }

  // The upstream's answer is complete.
  void Complete() {
    const auto keep = this->shared_from_this();
    if (this->attempt != 0) {
      this->relay.ReportEnd(this->attempt, AttemptResult::kServed);
      this->attempt = 0;
    }
    this->relay.answer_times.Add(this->route.name, this->relay.loop.Now() - this->sent_at);
    this->ReportServed();
    if (!this->exchange->HasBegun() && !this->first_part) this->RecordFirstPart();
    this->Finish(this->answer_status >= kMinServerErrorStatus ? "server-error" : "served",
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

  void ReportServed() {
    const bool has_suspects = this->relay.crashes.HasSuspects();
    if (!has_suspects && this->suspect.parts.empty()) return;
    this->relay.crashes.OnServed(has_suspects ? this->Suspect() : this->suspect);
  }

  void AnswerLocally(int status, std::string_view reason, std::optional<Duration> retry_after) {
    const auto keep = this->shared_from_this();
    this->Finish(reason, status);
    this->relay.AnswerLocally(*this->exchange, status, this->metadata.attempt_id, reason,
                              retry_after);
  }

  // The caller's deadline or the route's timeout has passed.
  void OnTimeout() {
    if (this->finished) return;
    const auto keep = this->shared_from_this();
    this->timer = 0;
    const Instant now = this->relay.loop.Now();
    // The route's timeout does not end a stream that has begun; the caller's deadline does.
    const bool goes_on = this->call != nullptr || this->silent_attempt;
    if (this->history.delivered && goes_on && now < this->deadline) {
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
      this->AnswerLocally(504, "out of time", {});
    } else {
      this->AnswerLocally(503, "out of time", this->RetryAfter());
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

  // ---- logs and metrics ----

  // An answer that begins on outdated weights shows that its attempt should have been withdrawn.
  void NoteWeights(std::uint64_t version) {
    const Instant now = this->relay.loop.Now();
    const auto overdue = this->relay.dispatcher.Overdue(this->pool, version, now);
    if (!overdue) return;
    this->relay.overdue.Add();
    Log(LogLevel::kWarn, "answer_overdue",
        {{"request", this->metadata.attempt_id},
         {"upstream", this->target.upstream},
         {"listed", this->relay.dispatcher.IsTargetListed(this->attempt)},
         {"weights", version},
         {"weights_as_sent", this->target.weights_version},
         {"wanted", overdue->wanted},
         {"late_ms", ToMillis(overdue->late)},
         {"sent_ms_ago", ToMillis(now - this->sent_at)},
         {"attempts", this->attempts}});
  }

  void LogAttempt(AttemptEnd end, bool granted) {
    Log(LogLevel::kInfo, "attempt_failed",
        {{"request", this->metadata.attempt_id},
         {"upstream", this->target.upstream},
         {"end", AttemptEndName(end)},
         {"status", this->answer_status},
         {"sent_ms_ago", ToMillis(this->relay.loop.Now() - this->sent_at)},
         {"attempts", this->attempts},
         {"repeat_granted", granted},
         {"may_return", this->history.may_return},
         {"delivered", this->history.delivered}});
  }

  // What a request that the stop ends was waiting for.
  void LogStopEnd() const {
    const Instant now = this->relay.loop.Now();
    const bool sent = this->call != nullptr;
    Log(LogLevel::kWarn, "stop_ends_request",
        {{"request", this->metadata.attempt_id},
         {"upstream", this->target.upstream},
         {"waits_for", sent ? "answer" : (this->attempt != 0 ? "upstream" : "retry")},
         {"sent_ms_ago", sent ? ToMillis(now - this->sent_at) : -1},
         {"upstream_silent_ms", sent ? ToMillis(now - this->last_bytes_at) : -1},
         {"delivered", this->history.delivered},
         {"unsent_bytes", this->exchange->UnsentBytes()},
         {"attempts", this->attempts},
         {"time_left_ms", ToMillis(this->deadline - now)}});
  }

  void Finish(std::string_view outcome, int status);
  // Whether the caller may send the request once more.
  bool MayReturn(std::string_view outcome, Instant now) const;
  void LogEnd(std::string_view outcome, int status, Instant now) const;

  Relay::Impl& relay;
  SharedExchange exchange;
  CallerMetadata metadata;
  SharedRouting rules;  // owns `route`
  const RouteRule& route;
  std::string account;
  int priority;
  HomeRegions homes;
  Instant arrived;
  Instant deadline = {};  // the caller's
  Instant timeout = {};   // the earlier of `deadline` and the route's timeout
  std::string pool = {};
  RequestHistory history = {};
  bool is_caller_retry = false;
  bool finished = false;

  // The attempt in progress.
  AttemptNumber attempt = 0;  // 0: none
  SendTo target = {};
  Instant sent_at = {};
  Instant last_bytes_at = {};  // of the upstream's answer; at first `sent_at`
  std::unique_ptr<HttpCall> call = {};
  std::optional<SilentAttempt> silent_attempt = {};
  SilentCallHandler silent_handler{*this};
  EventSplitter splitter = {};
  bool first_event_seen = false;
  std::optional<Instant> first_event_at = {};  // other than comments
  bool streams_soundly = false;                // for kSoundStreamTime

  // The answer.
  int answer_status = 0;
  bool answer_not_run = false;
  bool answer_misdirected = false;
  bool answer_streams = false;
  bool ends_with_connection = false;  // it has neither a length nor chunks
  bool answer_unusable = false;
  std::vector<HttpField> answer_fields = {};  // of the attempt that is passed on
  std::string answer_body = {};
  std::size_t counted_bytes = 0;                 // of `answer_body`, in the relay's total
  std::size_t ignored_bytes = 0;                 // of an answer of which nothing is passed on
  std::optional<std::uint64_t> last_event = {};  // last event sent, or named by the caller
  std::optional<Duration> first_part = {};

  CrashSuspect suspect = {};  // the fingerprint is computed when it is needed
  std::vector<std::string> avoided = {};
  std::vector<std::string> tried_addresses = {};
  std::vector<EngineTry> tries = {};  // the last one at each upstream
  int attempts = 0;
  std::optional<Instant> unsent_grant = {};  // when the budget granted a retry that is not sent yet
  std::optional<AttemptEnd> last_end = {};
  std::optional<RefuseRequest> refusal = {};
  EventLoop::TimerId timer = 0;
  // Fires when the upstream has been silent for too long.
  std::optional<RestartableTimer> silence = {};

  friend struct Relay::Impl;
};

void SilentCallHandler::OnAnswerBody(std::string_view bytes) { this->request.OnSilentBody(bytes); }
void SilentCallHandler::OnAnswerDone() { this->request.OnSilentDone(); }
void SilentCallHandler::OnCallFailed(CallFailure failure) { this->request.OnSilentFailed(failure); }

void RelayedRequest::Finish(std::string_view outcome, int status) {
  if (std::exchange(this->finished, true)) return;
  this->LeaveSilent(outcome, AttemptResult::kCancelled);
  this->GiveBackGrant(this->relay.loop.Now());
  this->relay.buffered_bytes -= std::exchange(this->counted_bytes, 0);
  const Instant now = this->relay.loop.Now();
  if (this->timer != 0) this->relay.loop.Cancel(this->timer);
  if (this->silence) this->silence->Clear();
  const std::string labels = "account=\"" + LabelValue(this->account) + "\",class=\"" +
                             LabelValue(this->route.name) + "\"";
  this->relay.metrics
      .CounterFor("savory_requests_total", labels + ",outcome=\"" + std::string(outcome) + "\"")
      .Add();
  if (this->first_part) {
    this->relay.metrics.HistogramFor("savory_first_part_seconds", labels)
        .Observe(ToSeconds(*this->first_part));
  }
  if (this->MayReturn(outcome, now)) {
    this->relay.returns.OnUnserved(this->route.name, this->route.timeout, now);
  }
  this->LogEnd(outcome, status, now);
  if (this->relay.on_end) this->relay.on_end(outcome == "served");
  // Must be the last statement: the map may hold the last reference to this object.
  this->relay.requests.erase(this);
}

bool RelayedRequest::MayReturn(std::string_view outcome, Instant now) const {
  const bool caller_ended_it = outcome == "caller-gone" || outcome == "caller-too-slow";
  // A return that ends unserved allows for no other one: a first request that was taken for a
  // return would make others look like returns, too.
  return outcome != "served" && !caller_ended_it && !this->is_caller_retry && now < this->deadline;
}

void RelayedRequest::LogEnd(std::string_view outcome, int status, Instant now) const {
  // For a refused request, the values of the best upstream considered; otherwise of the one chosen.
  const RefuseRequest* refusal = this->refusal ? &*this->refusal : nullptr;
  const std::initializer_list<LogField> fields = {
      {"request", this->metadata.attempt_id},
      {"route", this->route.name},
      {"account", this->account},
      {"pool", this->pool},
      {"rules", this->rules->Version()},
      {"prompt_tokens", this->metadata.prompt_tokens},
      {"answer_tokens", this->metadata.answer_tokens},
      {"outcome", outcome},
      {"status", status},
      {"attempts", this->attempts},
      {"upstream", refusal ? refusal->best : this->target.upstream},
      {"homes", this->homes.Text()},
      {"usable", refusal ? static_cast<std::int64_t>(refusal->usable) : -1},
      {"share", refusal ? static_cast<std::int64_t>(refusal->share) : -1},
      {"confirmed", refusal ? static_cast<std::int64_t>(refusal->confirmed) : -1},
      {"own", refusal ? static_cast<std::int64_t>(refusal->own) : -1},
      {"limited", refusal != nullptr && refusal->limited},
      {"borrowable", refusal ? static_cast<std::int64_t>(refusal->borrowable) : -1},
      {"weights", this->target.weights_version},
      {"load", refusal ? refusal->load : this->target.load},
      {"load_age_ms", ToMillis(refusal ? refusal->report_age : this->target.report_age)},
      {"predicted_ms", ToMillis(refusal ? refusal->predicted : this->target.predicted)},
      {"first_ms", this->first_part ? ToMillis(*this->first_part) : -1},
      {"total_ms", ToMillis(now - this->arrived)},
      {"time_left_ms", this->metadata.time_left ? ToMillis(*this->metadata.time_left) : -1},
      {"returned", this->is_caller_retry},
      {"last_end", this->last_end ? AttemptEndName(*this->last_end) : "none"},
      {"stopping_ms",
       this->relay.stopping_since ? ToMillis(now - *this->relay.stopping_since) : -1}};
  // Under load, successful requests are sampled; all others are logged, and all during a stop.
  if (outcome == "served" && !this->relay.stopping_since) return LogSampled("request_done", fields);
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

void Relay::Impl::WithdrawOutdated() {
  const std::vector<OutdatedAttempt> outdated = this->dispatcher.OutdatedAttempts(this->loop.Now());
  if (outdated.empty()) return;
  std::map<AttemptNumber, std::shared_ptr<RelayedRequest>> by_attempt;
  for (const auto& [key, request] : this->requests) by_attempt.emplace(request->attempt, request);
  for (const OutdatedAttempt& found : outdated) {
    const auto request = by_attempt.find(found.attempt);
    if (request != by_attempt.end()) request->second->WithdrawOutdated(found);
  }
}

void Relay::Impl::RefuseCrashing() {
  const auto affected = this->requests;
  for (const auto& [key, request] : affected) request->RefuseIfCrashing();
}

void Relay::Impl::EndAll() {
  const auto ending = this->requests;
  for (const auto& [key, request] : ending) request->EndNow();
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

void Relay::Impl::TakeNotices(const SendTo& sent, std::string_view request,
                              const UpstreamAnswer& answer, int status) {
  // An unknown upstream answered at the address of the intended one.
  if (answer.misdirected) return;
  const Instant now = this->loop.Now();
  const UpstreamStart start{.id = sent.upstream, .started_unix_ms = sent.started_unix_ms};
  const auto count = [this](const std::string& notice) {
    this->metrics.CounterFor("savory_upstream_notices_total", "notice=\"" + notice + "\"").Add();
  };
  if (answer.cold_for) {
    this->dispatcher.SetCold(sent.upstream, *answer.cold_for, now);
  }
  if (answer.leaving && this->dispatcher.AddLeaving(start, now)) {
    count("leaving");
    Log(LogLevel::kInfo, "upstream_leaving",
        {{"upstream", sent.upstream}, {"request", request}, {"status", status}});
  }
  if (answer.no_requests_for && this->dispatcher.AddWait(start, *answer.no_requests_for, now)) {
    count("wait");
    Log(LogLevel::kInfo, "upstream_waits",
        {{"upstream", sent.upstream},
         {"request", request},
         {"for_ms", ToMillis(*answer.no_requests_for)}});
  }
}

void Relay::Impl::CountLeft(LeavingReason reason) {
  if (reason == LeavingReason::kStays) return;
  this->metrics
      .CounterFor("savory_attempts_left_data_centre_total",
                  "reason=\"" + std::string(LeavingReasonName(reason)) + "\"")
      .Add();
}

bool Relay::Impl::IsCallerRetry(const RouteRule& route, std::optional<Duration> time_left) const {
  return time_left &&
         this->returns.LooksLikeReturn(route.name, route.timeout, *time_left, this->loop.Now());
}

std::optional<Duration> Relay::Impl::LongestAnswer(std::string_view route) const {
  std::optional<Duration> longest = this->answer_times.Longest(route);
  if (!longest) return longest;
  for (const auto& [key, request] : this->requests) {
    if (request->route.name == route) longest = std::max(*longest, request->AttemptAge());
  }
  return longest;
}

void Relay::Impl::AnswerLocally(HttpExchange& exchange, int status, std::string_view attempt_id,
                                std::string_view reason, std::optional<Duration> retry_after) {
  std::vector<HttpField> fields = this->codec.EncodeLocalAnswer(attempt_id, retry_after);
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
  CallerMetadata metadata = self.codec.DecodeRequest(head);
  const auto refuse = [&](int status, std::string_view reason,
                          std::optional<Duration> retry_after) {
    self.metrics
        .CounterFor("savory_requests_rejected_total", "status=\"" + std::to_string(status) + "\"")
        .Add();
    Log(LogLevel::kInfo, "request_rejected",
        {{"request", metadata.attempt_id},
         {"status", status},
         {"reason", reason},
         {"host", FieldValue(head.fields, "Host")},
         {"target", head.target},
         {"rules", self.rules ? self.rules->Version() : 0}});
    if (self.on_end && status >= kMinServerErrorStatus) self.on_end(false);
    self.AnswerLocally(*exchange, status, metadata.attempt_id, reason, retry_after);
  };
  // As RefusesByHead().
  if (self.stopping) return refuse(503, "stopping", Duration(0));
  if (!self.rules) return refuse(503, "no rules known", self.options.unconfigured_retry_after);
  const RouteRule* route = self.rules->FindRoute(FieldValue(head.fields, "Host"), head.target);
  if (route == nullptr) return refuse(404, "no route", {});
  const AccountRule* account = self.rules->FindAccount(metadata.api_key);
  if (account == nullptr && self.rules->NeedsApiKey(*route)) {
    return refuse(401, "unknown API key", {});
  }
  const auto request = std::make_shared<RelayedRequest>(self, exchange, std::move(metadata),
                                                        self.rules, *route, account);
  self.requests.emplace(request.get(), request);
  request->Start();
}

bool Relay::RefusesByHead(const HttpHead& head) const {
  const Impl& self = *this->impl;
  if (self.stopping || !self.rules) return true;
  const RouteRule* route = self.rules->FindRoute(FieldValue(head.fields, "Host"), head.target);
  if (route == nullptr) return true;
  return self.rules->NeedsApiKey(*route) &&
         self.rules->FindAccount(self.codec.DecodeRequest(head).api_key) == nullptr;
}

std::vector<std::string> Relay::SetRules(SharedRouting rules) {
  this->impl->rules = rules;
  this->impl->returns.KeepRoutes(rules->Rules().routes);
  return this->impl->dispatcher.SetRules(std::move(rules));
}

RequestExplanation Relay::Explain(const RequestQuestion& question) const {
  const Impl& self = *this->impl;
  return ExplainRequest(
      question,
      {.rules = self.rules.get(),
       .dispatcher = self.dispatcher,
       .stopping = self.stopping,
       .stop_end = self.stop_end,
       .unconfigured_retry_after = self.options.unconfigured_retry_after,
       .is_caller_retry =
           [&self](const RouteRule& route, std::optional<Duration> time_left) {
             return self.IsCallerRetry(route, time_left);
           },
       .usual_answer = [&self](std::string_view route) { return self.LongestAnswer(route); }},
      self.loop.Now());
}

Dispatcher& Relay::RequestDispatcher() { return this->impl->dispatcher; }
PoolRetryBudget& Relay::Budget() { return this->impl->budget; }
CrashGuard& Relay::Crashes() { return this->impl->crashes; }
void Relay::OnRequestEnd(EndListener listener) { this->impl->on_end = std::move(listener); }
void Relay::BeginStop(Instant end) {
  this->impl->stop_end = end;
  this->impl->stopping_since = this->impl->loop.Now();
}
void Relay::StopAccepting() { this->impl->stopping = true; }
void Relay::EndAll() { this->impl->EndAll(); }
std::size_t Relay::InProgress() const { return this->impl->requests.size(); }
void Relay::WithdrawOutdated() { this->impl->WithdrawOutdated(); }

}  // namespace savory
