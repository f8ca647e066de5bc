#include "records/record_sync.h"

#include <algorithm>
#include <optional>

#include "base/log.h"
#include "base/metrics.h"
#include "records/era_hold.h"
#include "records/outage_detector.h"
#include "records/record_store.h"
#include "records/watcher_selection.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

// Limits of one message to a peer. A longer update is split into several messages.
constexpr std::size_t kMaxRecordsPerMessage = 500;
constexpr std::size_t kMaxBytesPerMessage = std::size_t{512} * 1024;
// Longer updates in several messages are dropped. All records of the largest fleet are shorter.
constexpr std::size_t kMaxUpdateBytes = std::size_t{32} * 1024 * 1024;
constexpr Duration kProbeWait = std::chrono::milliseconds(1);
// A change that is pushed within this time of the store's last answer came with that answer.
constexpr Duration kJustAnswered = std::chrono::milliseconds(100);
// A watch whose connection went silent is given up and made again within this time.
constexpr Duration kLongestLostCall = std::chrono::milliseconds(3000);

// From so many peers a process asks for what it lacks of an era that was lost, for each new one.
constexpr int kMaxHeldPulls = 3;

// What a peer says of the store's answers to it.
struct PeerAnswers {
  std::uint32_t answering_for_ms = 0;  // 0: it does not know
  std::uint32_t contact_ms = 0;        // since the last one
  std::uint32_t unanswered_ms = 0;     // asked in vain before the first one
};

std::size_t BytesOf(const RecordUpdate& update) {
  std::size_t bytes = 0;
  for (const Record& record : update.records) bytes += record.key.size() + record.value.size();
  return bytes;
}

}  // namespace

struct RecordSync::Impl : GuardedCallbacks<RecordSync::Impl> {
  EventLoop& loop;
  PeerTransport& transport;
  RecordStore& store;
  Random& random;
  RecordSyncOptions options;
  Counter& store_calls;
  Counter& store_errors;
  Counter& store_probes;
  Counter& peer_pulls;
  Gauge& era_gauge;
  Gauge& kept_gauge;
  WatcherSelection selection;
  RecordMirror mirror = {};
  EraHold hold;
  Listener listener = {};
  EraListener era_listener = {};
  std::uint64_t heard_era = 0;  // the newest that the store or a peer named
  int held_pulls = 0;           // since that era was heard of or begun
  std::vector<std::string> peers = {};
  bool listed = false;  // List() succeeded; Watch() continues from the mirror's revision
  bool watching = true;
  bool reachable = false;
  int failures = 0;                          // calls that failed since the last answer
  std::optional<Instant> last_contact = {};  // last successful answer of the store
  Instant watchers_heard = {};               // last offer of a process that the store answered
  Instant probed = {};
  // Since when this process has asked the store without an answer; nullopt while it does not ask.
  std::optional<Instant> asked_since = {};
  OutageDetector outages = OutageDetector();
  Duration retry_delay = {};
  std::optional<Instant> behind_since = {};
  bool behind_check_scheduled = false;
  Instant own_watch_until = {};
  Instant next_pull = {};
  bool pull_scheduled = false;
  // Records of an update whose last message has not arrived yet.
  RecordUpdate partial_update = {};
  std::size_t partial_bytes = 0;

  Impl(EventLoop& loop, PeerTransport& transport, RecordStore& store, Metrics& metrics,
       Random& random, RecordSyncOptions given)
      : loop(loop),
        transport(transport),
        store(store),
        random(random),
        options(std::move(given)),
        store_calls(metrics.CounterFor("savory_store_calls_total", this->Label())),
        store_errors(metrics.CounterFor("savory_store_errors_total", this->Label())),
        store_probes(metrics.CounterFor("savory_store_probes_total", this->Label())),
        peer_pulls(metrics.CounterFor("savory_record_pulls_total", this->Label())),
        era_gauge(metrics.GaugeFor("savory_store_era", this->Label())),
        kept_gauge(metrics.GaugeFor("savory_records_kept", this->Label())),
        selection({.prefix = this->options.prefix, .peer = this->options.peer}),
        hold(this->mirror, this->options.era_hold_time, this->options.is_newer) {}

  std::string Label() const { return "prefix=\"" + this->options.prefix + "\""; }

  // Returns whether any record changed.
  bool ApplyAnswer(RecordUpdate update) {
    const std::uint64_t era = update.era;
    const std::uint64_t before = this->mirror.Position().era;
    if (era < before) {
      Log(LogLevel::kInfo, "store_answer_outdated",
          {{"prefix", this->options.prefix}, {"era", era}, {"current_era", before}});
      return false;
    }
    this->HearEra(era, "store");
    const bool changed = this->Report(this->hold.ApplyAnswer(std::move(update), this->loop.Now()));
    if (this->mirror.Position().era > before) this->OnEraBegun();
    return changed;
  }

  bool Report(const std::vector<Record>& changed, std::string_view source = "store") {
    if (changed.empty()) return false;
    Log(LogLevel::kInfo, "records_changed",
        {{"prefix", this->options.prefix},
         {"source", source},
         {"changed", changed.size()},
         {"as_of", this->mirror.AsOf()}});
    if (this->listener) this->listener(changed);
    return true;
  }

  // ---- eras of the store ----

  void HearEra(std::uint64_t era, std::string_view source) {
    if (era <= this->heard_era) return;
    Log(LogLevel::kWarn, "store_era",
        {{"prefix", this->options.prefix},
         {"era", era},
         {"before", this->heard_era},
         {"source", source}});
    this->heard_era = era;
    this->held_pulls = 0;
    this->era_gauge.Set(static_cast<double>(era));
    if (this->era_listener) this->era_listener(era);
  }

  void OnEraBegun() {
    this->held_pulls = 0;
    this->kept_gauge.Set(static_cast<double>(this->hold.Kept()));
    Log(LogLevel::kWarn, "store_copy_listed",
        {{"prefix", this->options.prefix},
         {"era", this->mirror.Position().era},
         {"as_of", this->mirror.AsOf()},
         {"as_of_before", this->hold.Before().revision},
         {"kept", this->hold.Kept()}});
    this->Offer();
    this->loop.After(this->options.era_hold_time, this->Guarded([this] { this->Settle(); }));
  }

  void Settle() {
    if (!this->hold.IsActive()) return;
    const std::vector<Record> changed = this->hold.Settle(this->loop.Now());
    if (this->hold.IsActive()) return;  // a newer era has begun meanwhile
    this->kept_gauge.Set(0);
    Log(LogLevel::kInfo, "store_copy_settled",
        {{"prefix", this->options.prefix},
         {"era", this->mirror.Position().era},
         {"changed", changed.size()}});
    this->Report(changed);
  }

  // Whether the store must be asked for all records.
  bool MustList() const { return !this->listed || this->heard_era > this->mirror.Position().era; }

  // What peers know of an era that was lost may be newer than what this process knows.
  void PullHeld(const std::string& peer) {
    if (this->held_pulls >= kMaxHeldPulls) return;
    ++this->held_pulls;
    this->Pull(peer, this->hold.IsActive() ? this->hold.Before() : this->mirror.Position());
  }

  // ---- the store ----

  void Read() {
    // The first read always goes to the store.
    const Instant now = this->loop.Now();
    const bool should_watch =
        this->MustList() || now < this->own_watch_until || this->selection.ShouldWatch(now);
    if (should_watch != this->watching) {
      this->watching = should_watch;
      Log(LogLevel::kInfo, should_watch ? "store_watched" : "store_left_to_watchers",
          {{"prefix", this->options.prefix},
           {"as_of", this->mirror.AsOf()},
           {"chosen", this->selection.IsSelected()}});
      // Updates from peers may have been incomplete, so the store counts as unreachable, and the
      // watch stays short, until it has answered.
      this->reachable = this->reachable && !should_watch;
      if (!should_watch) this->asked_since.reset();
    }
    if (!should_watch && !this->ShouldProbe(now)) {
      this->loop.After(this->options.watcher_check_period, this->Guarded([this] { this->Read(); }));
      return;
    }
    if (!this->asked_since) this->asked_since = now;
    if (!should_watch) return this->Probe();
    this->store_calls.Add();
    auto done = this->Guarded([this](Result<RecordUpdate> update) { this->OnRead(update); });
    if (!this->MustList()) {
      // After an error the first watch is short. A long one would return only with the next change,
      // so the store's recovery would be noticed late and changes missed during the outage would
      // count as made after it.
      const Duration wait = this->reachable ? this->options.watch_wait : kProbeWait;
      this->store.Watch(this->options.prefix, this->mirror.AsOf(), wait, std::move(done));
    } else {
      this->store.List(this->options.prefix, std::move(done));
    }
  }

  bool ShouldProbe(Instant now) const {
    return now - std::max(this->watchers_heard, this->probed) > this->options.probe_after;
  }

  void Probe() {
    this->store_calls.Add();
    this->store_probes.Add();
    this->probed = this->loop.Now();
    Log(LogLevel::kInfo, "store_probed",
        {{"prefix", this->options.prefix},
         {"watchers_silent_for_ms", ToMillis(this->probed - this->watchers_heard)}});
    this->store.Watch(
        this->options.prefix, this->mirror.AsOf(), kProbeWait,
        this->Guarded([this](Result<RecordUpdate> update) { this->OnProbe(update); }));
  }

  void OnProbe(Result<RecordUpdate>& update) {
    if (update) {
      const Instant now = this->loop.Now();
      this->AddAnswers({.since = now, .last = now, .asked_since = *this->asked_since}, "store");
      this->asked_since.reset();
      if (this->ApplyAnswer(std::move(update.value()))) this->Offer();
    } else {
      this->store_errors.Add();
      this->OnAskedInVain();
    }
    this->loop.After(this->options.watcher_check_period, this->Guarded([this] { this->Read(); }));
  }

  // The store did not answer those who asked before, either, as far as this process can tell.
  void OnAskedInVain() {
    this->asked_since = Instant();
    this->outages.OnFailure(this->loop.Now());
  }

  void OnRead(Result<RecordUpdate>& update) {
    if (!update) {
      this->OnError(update.error());
      return;
    }
    const Instant now = this->loop.Now();
    const bool asked_for_list = update.value().full;
    // One lost call says nothing of the store: the next one was answered at once.
    const bool one_lost =
        this->last_contact && this->failures <= 1 && this->ContactAge() < kLongestLostCall;
    const Instant since = one_lost ? *this->last_contact : now;
    this->SetReachable(true, "");
    this->last_contact = now;
    const Instant asked = std::min(since, this->asked_since.value_or(since));
    this->AddAnswers({.since = since, .last = now, .asked_since = asked}, "store");
    this->asked_since = now;  // the next call follows at once
    this->retry_delay = this->options.min_retry_delay;
    this->listed = this->listed || update.value().full;
    const RecordPosition before = this->mirror.Position();
    const bool changed = this->ApplyAnswer(std::move(update.value()));
    if (changed && before.era == this->mirror.Position().era) this->Announce(before);
    // A listing of an era before the one that was heard of came late.
    const bool listed_in_vain = asked_for_list && this->MustList();
    this->ScheduleRead(listed_in_vain ? this->options.max_retry_delay : this->options.watch_pause);
  }

  // Watchers push changes. Substitutes, of which there may be many, only offer them.
  void Announce(RecordPosition before) {
    if (this->selection.IsSelected()) return this->PushAll(before);
    this->Offer();
  }

  void OnError(const Error& error) {
    // The store no longer has the history after the mirror's revision, so everything is listed
    // again.
    if (error.kind == ErrorKind::kNotFound) {
      Log(LogLevel::kInfo, "store_history_gone",
          {{"prefix", this->options.prefix}, {"as_of", this->mirror.AsOf()}});
      this->listed = false;
      this->ScheduleRead(Duration(0));
      return;
    }
    this->store_errors.Add();
    this->SetReachable(false, Describe(error));
    this->OnAskedInVain();
    this->ScheduleRead(this->retry_delay);
    this->retry_delay = std::min(this->options.max_retry_delay, this->retry_delay * 2);
  }

  void ScheduleRead(Duration delay) {
    const auto jittered = FromSeconds(ToSeconds(delay) * (0.75 + 0.5 * UniformUnit(this->random)));
    this->loop.After(jittered, this->Guarded([this] { this->Read(); }));
  }

  void SetReachable(bool now_reachable, const std::string& reason) {
    if (now_reachable && std::exchange(this->failures, 0) > 0) {
      Log(LogLevel::kInfo, "store_reachable",
          {{"prefix", this->options.prefix},
           {"as_of", this->mirror.AsOf()},
           {"no_answer_for_ms", this->last_contact ? ToMillis(this->ContactAge()) : -1}});
    }
    if (!now_reachable && this->failures++ == 0) {
      Log(LogLevel::kWarn, "store_lost",
          {{"prefix", this->options.prefix}, {"as_of", this->mirror.AsOf()}, {"reason", reason}});
    }
    this->reachable = now_reachable;
  }

  // `source`: who got the answers, the store's own or the address of a peer.
  void AddAnswers(AnswerSpan answers, std::string_view source) {
    const Instant before = this->outages.OutageEnd();
    this->outages.AddAnswers(answers);
    const Instant end = this->outages.OutageEnd();
    if (end == before) return;
    if (end == Instant()) {
      Log(LogLevel::kInfo, "store_outage_withdrawn",
          {{"prefix", this->options.prefix}, {"answered", source}});
      return;
    }
    if (end < before) return;  // the same outage, whose end a peer saw earlier
    Log(LogLevel::kWarn, "store_outage",
        {{"prefix", this->options.prefix},
         {"answered", source},
         {"length_ms", ToMillis(this->outages.OutageLength())},
         {"ended_ms_ago", ToMillis(this->loop.Now() - end)}});
  }

  Duration ContactAge() const { return this->loop.Now() - *this->last_contact; }
  // Whether the store answers this process, as far as it knows.
  bool HasContact() const { return this->watching && this->reachable && this->last_contact; }

  // For how long a process asked in vain before that.
  std::uint32_t UnansweredMs() const {
    if (!this->HasContact()) return 0;
    const AnswerSpan answers = *this->outages.Answers();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ToMillis(answers.since - answers.asked_since), 0, UINT32_MAX));
  }

  // For how long the store has answered without an outage; 0 if this process does not know.
  std::uint32_t AnsweringForMs() const {
    if (!this->HasContact()) return 0;
    const Duration length = this->loop.Now() - this->outages.Answers()->since;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ToMillis(length), 1, UINT32_MAX));
  }

  void AddPeerAnswers(const std::string& peer, const PeerAnswers& told) {
    if (told.answering_for_ms == 0) return;
    const Instant now = this->loop.Now();
    const Instant last = now - std::chrono::milliseconds(told.contact_ms);
    const Instant since = std::min(last, now - std::chrono::milliseconds(told.answering_for_ms));
    const Instant asked_since = since - std::chrono::milliseconds(told.unanswered_ms);
    this->AddAnswers({.since = since, .last = last, .asked_since = asked_since}, peer);
  }

  // ---- peers ----

  void Offer() {
    if (this->peers.empty()) return;
    std::uint32_t contact_ms = UINT32_MAX;
    if (this->HasContact()) contact_ms = static_cast<std::uint32_t>(ToMillis(this->ContactAge()));
    const bool to_all = this->watching;
    const std::size_t first = UniformBelow(this->random, this->peers.size());
    for (std::size_t i = 0; i < (to_all ? this->peers.size() : 1); ++i) {
      wire::Envelope message;
      wire::RecordsOffer& offer = *message.mutable_records_offer();
      offer.set_prefix(this->options.prefix);
      offer.set_as_of(this->mirror.AsOf());
      offer.set_contact_ms(contact_ms);
      offer.set_reachable_for_ms(this->AnsweringForMs());
      offer.set_unanswered_ms(this->UnansweredMs());
      offer.set_era(this->mirror.Position().era);
      offer.set_unsettled(this->hold.IsUnsettled());
      this->transport.Send(this->peers[(first + i) % this->peers.size()], Lane::kControl,
                           std::move(message));
    }
  }

  void OnOffer(const std::string& from, const wire::RecordsOffer& offer) {
    if (offer.prefix() != this->options.prefix) return;
    this->selection.OnPeerContact(from, std::chrono::milliseconds(offer.contact_ms()),
                                  this->loop.Now());
    this->AddPeerAnswers(from, {.answering_for_ms = offer.reachable_for_ms(),
                                .contact_ms = offer.contact_ms(),
                                .unanswered_ms = offer.unanswered_ms()});
    if (offer.reachable_for_ms() > 0) this->watchers_heard = this->loop.Now();
    const RecordPosition as_of = this->mirror.Position();
    const RecordPosition offered{.era = offer.era(), .revision = offer.as_of()};
    this->HearEra(offered.era, from);
    if (offer.unsettled() && offered.era >= as_of.era) {
      if (offered.era > as_of.era || this->hold.IsActive()) this->PullHeld(from);
      if (offered.era > as_of.era) return;  // the store is listed, or a settled peer offers later
    }
    if (offered < as_of) {
      // A peer that has read nothing yet gets everything without having to ask.
      if (offered == RecordPosition()) this->Push(from, {});
      return;
    }
    if (offered == as_of) {
      this->behind_since.reset();
      return;
    }
    const Instant now = this->loop.Now();
    if (!this->behind_since) this->behind_since = now;
    this->ScheduleBehindCheck(offered);
    const bool in_grace =
        as_of != RecordPosition() && now - *this->behind_since < this->options.behind_grace;
    if (now < this->next_pull) return;
    if (in_grace) return this->PullLater(from, offered);
    this->PullNow(from);
  }

  // Pulls at the end of the grace unless the change has arrived by then. The next offer may come
  // much later, as processes that do not watch offer to one peer at a time.
  void PullLater(const std::string& peer, RecordPosition wanted) {
    if (std::exchange(this->pull_scheduled, true)) return;
    this->loop.After(this->options.behind_grace, this->Guarded([this, peer, wanted] {
      this->pull_scheduled = false;
      if (this->mirror.Position() < wanted) this->PullNow(peer);
    }));
  }

  void ScheduleBehindCheck(RecordPosition wanted) {
    if (this->watching || std::exchange(this->behind_check_scheduled, true)) return;
    this->loop.After(this->options.max_behind, this->Guarded([this, wanted] {
      this->behind_check_scheduled = false;
      if (this->mirror.Position() >= wanted) return;
      Log(LogLevel::kInfo, "peers_not_heard",
          {{"prefix", this->options.prefix},
           {"as_of", this->mirror.AsOf()},
           {"wanted", wanted.revision}});
      this->own_watch_until = this->loop.Now() + this->options.own_watch_time;
    }));
  }

  void PullNow(const std::string& peer) {
    this->next_pull = this->loop.Now() + this->options.behind_grace;
    this->Pull(peer, this->mirror.Position());
  }

  void Pull(const std::string& peer, RecordPosition after) {
    this->peer_pulls.Add();
    wire::Envelope message;
    message.mutable_records_pull()->set_prefix(this->options.prefix);
    message.mutable_records_pull()->set_after(after.revision);
    message.mutable_records_pull()->set_after_era(after.era);
    this->transport.Send(peer, Lane::kControl, std::move(message));
  }

  // A change may be large, and all entries get it over the links that requests use too. A process
  // that gets no push, as its watcher has failed, learns of the change from an offer.
  void PushAll(RecordPosition after) {
    const Instant now = this->loop.Now();
    for (const std::string& peer : this->peers) {
      if (this->selection.ForwardsTo(peer, now)) this->Push(peer, after);
    }
  }

  void Push(const std::string& to, RecordPosition after) {
    if (this->mirror.Position() == RecordPosition()) return;
    const RecordUpdate update = this->hold.ChangesAfter(after);
    const bool just_answered = this->HasContact() && this->ContactAge() < kJustAnswered;
    const bool is_long = BytesOf(update) > this->options.max_control_bytes;
    const Lane lane = is_long ? Lane::kBulk : Lane::kControl;
    std::size_t next = 0;
    do {
      wire::Envelope message;
      wire::RecordsPush& push = *message.mutable_records_push();
      push.set_prefix(this->options.prefix);
      push.set_first(next == 0);
      for (std::size_t bytes = 0; next < update.records.size() && bytes < kMaxBytesPerMessage &&
                                  push.records_size() < static_cast<int>(kMaxRecordsPerMessage);
           ++next) {
        const Record& record = update.records[next];
        wire::RecordRow& row = *push.add_records();
        row.set_key(record.key);
        row.set_value(record.value);
        row.set_revision(record.revision);
        row.set_removed(record.removed);
        row.set_era(record.era);
        bytes += record.key.size() + record.value.size();
      }
      push.set_last(next == update.records.size());
      push.set_as_of(update.as_of);
      push.set_whole(update.full);
      push.set_after(update.after);
      push.set_era(update.era);
      push.set_after_era(update.after_era);
      push.set_unsettled(update.unsettled);
      push.set_reachable_for_ms(just_answered ? this->AnsweringForMs() : 0);
      push.set_unanswered_ms(just_answered ? this->UnansweredMs() : 0);
      this->transport.Send(to, lane, std::move(message));
    } while (next < update.records.size());
  }

  void OnPush(const std::string& from, const wire::RecordsPush& push) {
    if (push.prefix() != this->options.prefix) return;
    if (push.first()) {
      this->partial_update = {};
      this->partial_bytes = 0;
    }
    this->partial_bytes += push.ByteSizeLong();
    if (this->partial_bytes > kMaxUpdateBytes) {
      Log(LogLevel::kWarn, "update_too_long",
          {{"prefix", this->options.prefix}, {"peer", from}, {"bytes", this->partial_bytes}});
      this->partial_update = {};
      return;
    }
    for (const wire::RecordRow& row : push.records()) {
      this->partial_update.records.push_back({.key = row.key(),
                                              .value = row.value(),
                                              .revision = row.revision(),
                                              .removed = row.removed(),
                                              .era = row.era()});
    }
    if (!push.last()) return;
    RecordUpdate update = std::exchange(this->partial_update, {});
    update.as_of = push.as_of();
    update.full = push.whole();
    update.after = push.after();
    update.era = push.era();
    update.after_era = push.after_era();
    update.unsettled = push.unsettled();
    this->AddPeerAnswers(
        from, {.answering_for_ms = push.reachable_for_ms(), .unanswered_ms = push.unanswered_ms()});
    this->HearEra(update.era, from);
    // Two processes that hold back their listings may know different changes of the lost era.
    const bool held = update.unsettled && this->hold.IsActive();
    if (update.AsOf() <= this->mirror.Position() && !held) return;
    const bool era_must_be_listed = update.unsettled && update.era > this->mirror.Position().era;
    if (!era_must_be_listed) this->behind_since.reset();
    this->Report(this->hold.ApplyPeerUpdate(update), "peer");
    if (!this->hold.IsActive()) this->kept_gauge.Set(0);
    if (update.AsOf() <= this->mirror.Position() || era_must_be_listed) return;
    if (update.unsettled) {
      // The peer began the era later and cannot tell what changed before.
      this->own_watch_until = this->loop.Now() + this->options.own_watch_time;
      return;
    }
    // The mirror is still behind, so an earlier push was lost.
    this->Pull(from, this->mirror.Position());
  }

  void Subscribe() {
    this->transport.Subscribe(wire::Envelope::kRecordsOffer,
                              this->Guarded([this](const auto& message, auto) {
                                this->OnOffer(message.from_peer(), message.records_offer());
                              }));
    this->transport.Subscribe(
        wire::Envelope::kRecordsPull, this->Guarded([this](const auto& message, auto) {
          if (message.records_pull().prefix() != this->options.prefix) return;
          const wire::RecordsPull& pull = message.records_pull();
          this->Push(message.from_peer(), {.era = pull.after_era(), .revision = pull.after()});
        }));
    this->transport.Subscribe(wire::Envelope::kRecordsPush,
                              this->Guarded([this](const auto& message, auto) {
                                this->OnPush(message.from_peer(), message.records_push());
                              }));
  }

  void ScheduleOffer() {
    this->loop.After(this->options.offer_period, this->Guarded([this] {
      this->Offer();
      this->ScheduleOffer();
    }));
  }
};

RecordSync::RecordSync(EventLoop& loop, PeerTransport& peers, RecordStore& store, Metrics& metrics,
                       Random& random, RecordSyncOptions options)
    : impl(std::make_shared<Impl>(loop, peers, store, metrics, random, std::move(options))) {}
RecordSync::~RecordSync() = default;

void RecordSync::OnChange(Listener listener) { this->impl->listener = std::move(listener); }

void RecordSync::OnEra(EraListener listener) { this->impl->era_listener = std::move(listener); }

void RecordSync::Start() {
  Impl& self = *this->impl;
  self.retry_delay = self.options.min_retry_delay;
  self.Subscribe();
  self.Read();
  self.Offer();
  self.ScheduleOffer();
}

void RecordSync::SetPeers(std::vector<std::string> peers) {
  this->impl->selection.SetPeers(peers);
  this->impl->peers = std::move(peers);
}

Instant RecordSync::OutageEnd() const { return this->impl->outages.OutageEnd(); }

}  // namespace savory
