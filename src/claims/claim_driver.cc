#include "claims/claim_driver.h"

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "claims/claim_batcher.h"
#include "runtime/event_loop.h"
#include "runtime/kv_client.h"
#include "runtime/peer_transport.h"

namespace savory {
namespace {

using Done = std::function<void(Result<ClaimAnswer>)>;

Duration Millis(std::int64_t millis) { return std::chrono::milliseconds(millis); }

std::uint64_t UnixSeconds() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(since).count());
}

std::string ShardKey(std::uint32_t shard) { return "claims/" + std::to_string(shard); }

// The random part keeps the prefix unique if a restarted process reuses an incarnation.
std::string NoncePrefix(Node& node) {
  const std::string seed = node.identity.vm + '/' + std::to_string(node.identity.incarnation) +
                           '/' + std::to_string(node.random());
  return std::string(Sha256(seed).View().substr(0, ClaimShard::kNonceBytes / 2));
}

ClaimBatcherOptions BatcherOptions(Node& node, const ClaimDriverOptions& options) {
  return ClaimBatcherOptions{
      .shards = options.shards,
      .batch_delay = options.batch_delay,
      .outcome_delay = options.outcome_delay,
      .limits = {.retention = options.retention,
                 .max_recorded_answer_bytes = options.max_recorded_answer_bytes,
                 .max_value_bytes = options.max_value_bytes,
                 .max_value_bytes_with_answers = options.max_value_bytes_with_answers},
      .nonce_prefix = NoncePrefix(node)};
}

ClaimRouterOptions RouterOptions(Node& node, const ClaimDriverOptions& options) {
  return ClaimRouterOptions{.vm = node.identity.vm,
                            .shards = options.shards,
                            .forward_timeout = options.forward_timeout,
                            .nonce_prefix = NoncePrefix(node)};
}

ClaimWriteDone WriteEvent(std::uint32_t shard, const Result<KvSwap>& swap) {
  ClaimWriteDone event{.shard = shard, .result = ClaimWriteResult::kOutcomeUnknown};
  if (swap) {
    event.result = swap.value().written ? ClaimWriteResult::kWritten : ClaimWriteResult::kConflict;
    event.version = swap.value().version;
  } else if (swap.error().kind == ErrorKind::kUnavailable) {
    event.result = ClaimWriteResult::kUnavailable;
  }
  return event;
}

std::string_view ResultLabel(ClaimWriteResult result) {
  switch (result) {
    case ClaimWriteResult::kWritten:
      return R"(result="written")";
    case ClaimWriteResult::kConflict:
      return R"(result="conflict")";
    case ClaimWriteResult::kUnavailable:
      return R"(result="unavailable")";
    case ClaimWriteResult::kOutcomeUnknown:
      return R"(result="unknown")";
  }
  return "";
}

std::string ResultLabel(const Result<ClaimAnswer>& answer) {
  if (!answer) {
    return "result=\"" + std::string(AnswerFor(answer.error().kind).name) + "\"";
  }
  return std::holds_alternative<ClaimGranted>(answer.value()) ? R"(result="granted")"
                                                              : R"(result="found")";
}

}  // namespace

ClaimDriverOptions ReadClaimOptions(SettingsReader reader) {
  const ClaimDriverOptions defaults;
  const auto millis = [&](std::string_view key, Range range, Duration fallback) {
    return Millis(reader.Integer(key, range, ToMillis(fallback)));
  };
  const auto count = [&](std::string_view key, Range range, std::uint32_t fallback) {
    return static_cast<std::uint32_t>(reader.Integer(key, range, fallback));
  };
  ClaimDriverOptions options;
  options.shards = count("shards", {.low = 1, .high = 65536}, defaults.shards);
  options.batch_delay = millis("batch_delay_ms", {.low = 0, .high = 1000}, defaults.batch_delay);
  options.outcome_delay =
      millis("outcome_delay_ms", {.low = 0, .high = 60'000}, defaults.outcome_delay);
  options.confirm_deadline =
      millis("confirm_deadline_ms", {.low = 10, .high = 60'000}, defaults.confirm_deadline);
  options.forward_timeout =
      millis("forward_timeout_ms", {.low = 10, .high = 60'000}, defaults.forward_timeout);
  options.retention = std::chrono::hours(
      reader.Integer("retention_hours", {.low = 1, .high = 168},
                     std::chrono::duration_cast<std::chrono::hours>(defaults.retention).count()));
  options.max_recorded_answer_bytes = count("max_recorded_answer_bytes", {.low = 0, .high = 32768},
                                            defaults.max_recorded_answer_bytes);
  options.max_value_bytes =
      count("max_value_bytes", {.low = 10'000, .high = 1'000'000}, defaults.max_value_bytes);
  options.max_value_bytes_with_answers =
      count("max_value_bytes_with_answers", {.low = 0, .high = 1'000'000},
            defaults.max_value_bytes_with_answers);
  return options;
}

struct ClaimDriver::Impl {
  Node& node;
  ClaimDriverOptions options;
  ClaimBatcher batcher;
  ClaimRouter router;
  std::unordered_map<std::uint64_t, Done> callbacks = {};
  std::uint64_t last_request_id = 0;
  EventLoop::TimerId timer = 0;
  bool timer_set = false;
  bool in_outage = false;
  // Expires with this object, so that callbacks of later replies do nothing.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  // For ticks and the results of calls to the key-value service.
  void HandleBatcherEvent(const ClaimEvent& event) {
    this->RunBatcher(event);
    this->UpdateMetrics();
    this->SetTimer();
  }

  // For requests of this process and messages of other entries.
  void HandleRouterEvent(const ClaimRouterEvent& event) {
    this->RunRouter(event);
    this->UpdateMetrics();
    this->SetTimer();
  }

  void RunBatcher(const ClaimEvent& event) {
    for (ClaimAction& action : this->batcher.Handle(event, this->node.loop.Now(), UnixSeconds())) {
      std::visit([this](auto& typed) { this->Perform(typed); }, action);
    }
  }

  void RunRouter(const ClaimRouterEvent& event) {
    for (ClaimRouterAction& action : this->router.Handle(event, this->node.loop.Now())) {
      std::visit([this](auto& typed) { this->Perform(typed); }, action);
    }
  }

  void Subscribe() {
    this->node.peers.Subscribe(
        wire::Envelope::kClaimForward, [this](const wire::Envelope& message, auto) {
          this->HandleRouterEvent(
              ForwardArrived{.peer = message.from_peer(), .forward = message.claim_forward()});
        });
    this->node.peers.Subscribe(
        wire::Envelope::kClaimForwardAnswer, [this](const wire::Envelope& message, auto) {
          this->HandleRouterEvent(ForwardAnswered{.answer = message.claim_forward_answer()});
        });
  }

  void Perform(SubmitToBatcher& action) { this->RunBatcher(action.event); }
  void Perform(ClaimReply& action) { this->RunRouter(BatcherReplied{.reply = std::move(action)}); }

  void Perform(SendForward& action) {
    wire::Envelope message;
    *message.mutable_claim_forward() = std::move(action.forward);
    this->node.peers.Send(action.peer, Lane::kControl, std::move(message));
    this->node.metrics.CounterFor("savory_claim_forwards_total").Add();
  }

  void Perform(SendForwardAnswer& action) {
    wire::Envelope message;
    *message.mutable_claim_forward_answer() = std::move(action.answer);
    this->node.peers.Send(action.peer, Lane::kControl, std::move(message));
  }

  void Perform(ClaimRead& action) {
    this->node.kv.Read(ShardKey(action.shard),
                       this->WhileAlive<Result<std::optional<KvValue>>>(
                           [this, shard = action.shard](Result<std::optional<KvValue>> value) {
                             this->ReadEnded(shard, std::move(value));
                           }));
  }

  void Perform(ClaimWrite& action) {
    this->node.kv.CompareAndSwap(
        ShardKey(action.shard), std::move(action.bytes), action.expected,
        this->WhileAlive<Result<KvSwap>>([this, shard = action.shard](Result<KvSwap> swap) {
          const ClaimWriteDone event = WriteEvent(shard, swap);
          this->node.metrics.CounterFor("savory_claim_writes_total", ResultLabel(event.result))
              .Add();
          this->HandleBatcherEvent(event);
        }));
  }

  void Perform(AnswerLocalRequest& action) {
    this->node.metrics.CounterFor("savory_claims_total", ResultLabel(action.answer)).Add();
    const auto found = this->callbacks.find(action.id);
    if (found == this->callbacks.end()) return;
    const Done done = std::move(found->second);
    this->callbacks.erase(found);
    done(std::move(action.answer));
  }

  void ReadEnded(std::uint32_t shard, Result<std::optional<KvValue>> value) {
    if (!value) {
      this->HandleBatcherEvent(ClaimReadFailed{.shard = shard});
      return;
    }
    KvValue read = std::move(value.value()).value_or(KvValue{});
    this->HandleBatcherEvent(
        ClaimReadDone{.shard = shard, .bytes = std::move(read.bytes), .version = read.version});
  }

  template <typename T>
  std::function<void(T)> WhileAlive(std::function<void(T)> then) {
    return [alive = std::weak_ptr<bool>(this->alive), then = std::move(then)](T value) {
      if (!alive.expired()) then(std::move(value));
    };
  }

  void Submit(wire::Claim claim, std::string replaces, Done done) {
    const std::uint64_t id = ++this->last_request_id;
    this->callbacks.emplace(id, std::move(done));
    this->HandleRouterEvent(LocalClaimRequest{
        ClaimRequest{.id = id,
                     .claim = std::move(claim),
                     .replaces = std::move(replaces),
                     .deadline = this->node.loop.Now() + this->options.confirm_deadline}});
  }

  void SetTimer() {
    if (this->timer_set) this->node.loop.Cancel(this->timer);
    const Instant next = std::min(this->batcher.NextTick(), this->router.NextTick());
    this->timer_set = next != Instant::max();
    if (!this->timer_set) return;
    const Duration delay = std::max(next - this->node.loop.Now(), Duration(0));
    this->timer = this->node.loop.After(delay, [this] {
      this->timer_set = false;
      this->RunRouter(ClaimRouterTick{});
      this->HandleBatcherEvent(ClaimTick{});
    });
  }

  void UpdateMetrics() {
    this->node.metrics.GaugeFor("savory_claims_unwritten")
        .Set(static_cast<double>(this->batcher.Unwritten()));
    this->node.metrics.GaugeFor("savory_claims_dropped")
        .Set(static_cast<double>(this->batcher.Dropped()));
    this->node.metrics.GaugeFor("savory_claim_shards_damaged")
        .Set(static_cast<double>(this->batcher.DamagedShards()));
    if (this->batcher.InOutage() == this->in_outage) return;
    this->in_outage = this->batcher.InOutage();
    Log(LogLevel::kWarn, "claims", {{"service_available", !this->in_outage}});
  }
};

ClaimDriver::ClaimDriver(Node& node, ClaimDriverOptions options)
    : impl(std::make_unique<Impl>(
          Impl{.node = node,
               .options = options,
               .batcher = ClaimBatcher(BatcherOptions(node, options), node.random),
               .router = ClaimRouter(RouterOptions(node, options))})) {
  this->impl->Subscribe();
}

void ClaimDriver::SetEntries(std::vector<EntryAddress> entries) {
  this->impl->HandleRouterEvent(EntriesChanged{.entries = std::move(entries)});
}

ClaimDriver::~ClaimDriver() {
  if (this->impl->timer_set) this->impl->node.loop.Cancel(this->impl->timer);
}

Digest ClaimDriver::KeyOf(std::string_view account, std::string_view idempotency_key) {
  // The length prefix gives ("a", "bc") and ("ab", "c") different keys.
  std::string text = std::to_string(account.size()) + ':';
  text.append(account).append(idempotency_key);
  return Sha256(text);
}

void ClaimDriver::Claim(wire::Claim claim, std::function<void(Result<ClaimAnswer>)> done) {
  this->impl->Submit(std::move(claim), "", std::move(done));
}

void ClaimDriver::Replace(wire::Claim claim, const wire::Claim& found,
                          std::function<void(Result<ClaimAnswer>)> done) {
  this->impl->Submit(std::move(claim), found.nonce(), std::move(done));
}

void ClaimDriver::Finish(const Digest& key, const std::string& nonce, RecordedAnswer answer) {
  this->impl->HandleRouterEvent(
      LocalClaimFinish{{.key = key, .nonce = nonce, .answer = std::move(answer)}});
}

void ClaimDriver::Release(const Digest& key, const std::string& nonce) {
  this->impl->HandleRouterEvent(LocalClaimRelease{{.key = key, .nonce = nonce}});
}

}  // namespace savory
