#include "loadmodel/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <unordered_map>

#include "base/random.h"
#include "loadmodel/engine_model.h"
#include "relay/entry_demand_tracker.h"
#include "relay/routing_index.h"

namespace savory {
namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(10);
constexpr Duration kWorthSpan = std::chrono::seconds(2);
// Engines that were refused by a full queue are not asked again for the same request.
constexpr std::size_t kMaxSends = 4;
constexpr double kReturnedPart = 0.82;
constexpr const char* kPool = "engines";
// Worth of a request of mean size that does not grow with its size.
constexpr double kFixedWorth = 0.3;
constexpr double kLargestWorth = 4;
constexpr double kAnswerTokenWeight = 10;

double LogNormal(Random& random, double mean, double spread) {
  // The spread is the standard deviation of the logarithm.
  return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(random);
}

struct Caller {
  std::size_t class_index = 0;
  std::uint32_t region = 0;
  Instant first_sent = {};
  std::uint32_t prompt_tokens = 0;
  std::uint32_t events = 1;
  double worth = 0;  // in time
  bool came_back = false;
};

struct Attempt {
  std::uint64_t caller = 0;
  std::uint32_t entry = 0;
  std::size_t engine = 0;
  std::vector<std::string> avoided = {};
  Instant arrived = {};
  Instant sent_at = {};
  Duration predicted = {};
  Instant last_event = {};
  bool paused = false;  // longer than the class allows
  bool begun = false;
  bool begun_late = false;
};

class FleetModel {
 public:
  explicit FleetModel(const FleetModelOptions& options) : options(options), random(options.seed) {
    for (const RequestClass& row : options.classes) {
      this->outcome.classes.push_back({.name = row.name});
    }
    const auto spans = static_cast<std::size_t>(options.length / kWorthSpan) + 1;
    this->owed.assign(spans, 0);
    this->earned.assign(spans, 0);
    this->AddFleet();
    this->Schedule();
  }

  FleetOutcome Run() {
    const Instant end = this->start + this->options.length;
    while (!this->events.empty() && this->now < end + std::chrono::seconds(8)) {
      auto event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->Summarize();
    return std::move(this->outcome);
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };
  struct Entry {
    std::uint32_t region = 0;
    std::string id = {};
    EntryDemandTracker demands;
    std::unique_ptr<Random> random = {};
    std::unique_ptr<Dispatcher> dispatcher = {};
    bool poll_due = false;
    double share = 1;  // of the callers of its region
  };
  struct Told {
    Instant at = {};
    UpstreamLoad load = {};
    bool accepting = true;
    std::uint64_t weights = 0;
  };
  struct Engine {
    std::uint32_t region = 0;
    std::string id;
    std::string address;
    EngineModel model;
    bool accepting = true;
    std::uint64_t weights = 1;
    UpstreamLoad sampled = {};
    std::vector<Told> told = {};  // by entry
    std::uint64_t pass = 0;       // number of the pass whose end is scheduled
  };

  void At(Instant at, std::function<void()> run) {
    this->events.push({std::max(at, this->now), this->next_order++, std::move(run)});
  }
  void After(Duration wait, std::function<void()> run) {
    this->At(this->now + wait, std::move(run));
  }
  bool Running() const { return this->now < this->start + this->options.length; }

  // ---- fleet ----

  void AddFleet() {
    RoutingRules rules{.version = 1};
    rules.pools.push_back({.name = kPool, .engine = this->options.rates, .models = {"m"}});
    const auto index = std::make_shared<const RoutingIndex>(std::move(rules));
    for (std::uint32_t r = 0; r < this->options.regions.size(); ++r) {
      const RegionModel& region = this->options.regions[r];
      for (std::uint32_t i = 0; i < region.entries; ++i) {
        DispatcherOptions own = this->options.dispatcher;
        own.data_centre = std::to_string(r);
        own.entry = "entry-" + std::to_string(this->entries.size());
        Entry entry{
            .region = r,
            .id = own.entry,
            .demands = EntryDemandTracker({.entry = own.entry, .data_centre = own.data_centre}),
            .random = std::make_unique<Random>(this->random())};
        entry.dispatcher = std::make_unique<Dispatcher>(own, *entry.random);
        entry.dispatcher->SetRules(index);
        // A balancer that hashes few callers spreads them unevenly.
        entry.share = 0.7 + 0.6 * UniformUnit(this->random);
        this->entries.push_back(std::move(entry));
      }
    }
    std::vector<std::string> ids;
    for (const Entry& entry : this->entries) ids.push_back(entry.id);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->entries[i].demands.SetLiveEntries(ids);
      this->entries[i].dispatcher->SetEntries(this->entries[i].demands.ActiveDemands(this->now));
      this->After(FromSeconds(UniformUnit(this->random)), [this, i] { this->TellDemand(i); });
    }
    Duration join = this->options.join_at;
    for (std::uint32_t r = 0; r < this->options.regions.size(); ++r) {
      for (std::uint32_t i = 0; i < this->options.regions[r].engines; ++i) this->AddEngine(r);
    }
    for (std::uint32_t r = 0; r < this->options.regions.size(); ++r) {
      for (std::uint32_t i = 0; i < this->options.regions[r].joining; ++i) {
        this->At(this->start + join, [this, r] { this->AddEngine(r); });
        join += this->options.join_every;
      }
    }
  }

  void TellDemand(std::size_t number) {
    Entry& entry = this->entries[number];
    const double rate = entry.demands.UpdateOwnRate(entry.dispatcher->EngineRequests(), this->now);
    const EntryDemand told{.entry = entry.id,
                           .data_centre = std::to_string(entry.region),
                           .requests_per_second = rate};
    this->After(this->options.far_delay, [this, told] {
      for (Entry& other : this->entries) other.demands.OnDemandReport(told, this->now);
    });
    entry.dispatcher->SetEntries(entry.demands.ActiveDemands(this->now));
    if (!this->Running()) return;
    this->After(EntryDemandTrackerOptions().report_period,
                [this, number] { this->TellDemand(number); });
  }

  void AddEngine(std::uint32_t region) {
    const std::size_t number = this->engines.size();
    auto engine = std::make_unique<Engine>(Engine{
        .region = region,
        .id = "engine-" + std::to_string(number),
        .address =
            "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":80",
        .model = EngineModel(this->options.rates, this->options.queue_limit)});
    engine->told.resize(this->entries.size());
    const Upstream listed{.id = engine->id,
                          .pool = kPool,
                          .address = engine->address,
                          .data_centre = std::to_string(region),
                          .slots = this->options.rates.slots,
                          .weights_version = 1,
                          .is_engine = true};
    for (Entry& entry : this->entries) entry.dispatcher->SetUpstream(listed);
    this->engine_at[engine->id] = number;
    this->engines.push_back(std::move(engine));
    const double phase = UniformUnit(this->random);
    this->After(FromSeconds(ToSeconds(this->options.poll_period) * phase),
                [this, number] { this->PollEngine(number); });
  }

  // ---- agents ----

  void PollEngine(std::size_t number) {
    Engine& engine = *this->engines[number];
    engine.sampled = engine.model.Load();
    this->Report(number, false);
    if (this->now < this->start + this->options.length + std::chrono::seconds(6)) {
      this->After(this->options.poll_period, [this, number] { this->PollEngine(number); });
    }
  }

  void Report(std::size_t number, bool urgent) {
    Engine& engine = *this->engines[number];
    if (engine.model.IsAway()) return;
    const std::uint32_t total = engine.sampled.running + engine.sampled.waiting;
    for (std::size_t e = 0; e < this->entries.size(); ++e) {
      Told& told = engine.told[e];
      const bool near = this->entries[e].region == engine.region;
      const Duration waited = this->now - told.at;
      const Duration period = near ? this->options.near_period : this->options.far_period;
      const bool changed = told.load.running + told.load.waiting != total;
      const bool due = waited >= this->options.unchanged_period || (changed && waited >= period);
      if (!due && !urgent) continue;
      told = {.at = this->now,
              .load = engine.sampled,
              .accepting = engine.accepting,
              .weights = engine.weights};
      const EngineReport report{.address = engine.address,
                                .load = engine.sampled,
                                .accepting = engine.accepting,
                                .weights_version = engine.weights,
                                .pace = engine.model.Pace()};
      this->After(near ? this->options.near_delay : this->options.far_delay, [this, e, report] {
        this->entries[e].dispatcher->AddReport(report, this->now);
        this->PollEntry(e);
      });
    }
  }

  // ---- callers ----

  void Schedule() {
    for (std::uint32_t r = 0; r < this->options.regions.size(); ++r) this->NextCaller(r);
    for (const EngineLoss& loss : this->options.losses) {
      this->At(this->start + loss.at, [this, loss] { this->Lose(loss); });
    }
    for (std::size_t i = 0; i < this->options.rollouts.size(); ++i) {
      this->At(this->start + this->options.rollouts[i].at, [this, i] { this->Rollout(i); });
    }
  }

  double Factor() const {
    double factor = 1;
    for (const LoadStep& step : this->options.steps) {
      if (this->now >= this->start + step.at) factor = step.factor;
    }
    return factor;
  }

  void NextCaller(std::uint32_t region) {
    const double rate = this->options.regions[region].requests_per_second * this->Factor();
    const double wait = std::exponential_distribution<double>(rate)(this->random);
    this->After(FromSeconds(wait), [this, region] {
      if (!this->Running()) return;
      this->AddCaller(region);
      this->NextCaller(region);
    });
  }

  void AddCaller(std::uint32_t region) {
    double total = 0;
    for (const RequestClass& row : this->options.classes) total += row.share;
    double place = UniformUnit(this->random) * total;
    std::size_t index = 0;
    while (index + 1 < this->options.classes.size() &&
           place >= this->options.classes[index].share) {
      place -= this->options.classes[index++].share;
    }
    const RequestClass& kind = this->options.classes[index];
    Caller caller{.class_index = index, .region = region, .first_sent = this->now};
    const double prompt = std::clamp(LogNormal(this->random, kind.prompt_mean, kind.prompt_spread),
                                     40.0, kind.prompt_max);
    const double events = std::clamp(LogNormal(this->random, kind.events_mean, kind.events_spread),
                                     1.0, kind.events_max);
    caller.prompt_tokens = static_cast<std::uint32_t>(prompt);
    caller.events = static_cast<std::uint32_t>(std::lround(events));
    const double per_event = this->options.rates.steps_per_event * kAnswerTokenWeight;
    const double size =
        (prompt + events * per_event) / (kind.prompt_mean + kind.events_mean * per_event);
    caller.worth = kind.worth * std::min(kLargestWorth, kFixedWorth + (1 - kFixedWorth) * size);
    ClassOutcome& row = this->outcome.classes[index];
    ++row.requests;
    row.owed += caller.worth;
    this->owed[this->SpanOf(caller)] += caller.worth;
    const std::uint64_t id = this->next_caller++;
    this->callers.emplace(id, caller);
    this->Send(id);
  }

  std::size_t SpanOf(const Caller& caller) const {
    return static_cast<std::size_t>((caller.first_sent - this->start) / kWorthSpan);
  }

  std::uint32_t PickEntry(std::uint32_t region) {
    double total = 0;
    for (const Entry& entry : this->entries) total += entry.region == region ? entry.share : 0;
    double place = UniformUnit(this->random) * total;
    std::uint32_t last = 0;
    for (std::uint32_t e = 0; e < this->entries.size(); ++e) {
      if (this->entries[e].region != region) continue;
      last = e;
      place -= this->entries[e].share;
      if (place < 0) break;
    }
    return last;
  }

  void Send(std::uint64_t caller) {
    const AttemptNumber number = this->next_attempt++;
    this->attempts[number] = {.caller = caller,
                              .entry = this->PickEntry(this->callers.at(caller).region),
                              .arrived = this->now};
    this->Submit(number);
  }

  void Submit(AttemptNumber number) {
    const Attempt& attempt = this->attempts.at(number);
    const Caller& caller = this->callers.at(attempt.caller);
    const RequestClass& kind = this->options.classes[caller.class_index];
    const Instant deadline = caller.first_sent + kind.time_left;
    DispatchRequest request{.attempt = number,
                            .pool = kPool,
                            .arrived = attempt.arrived,
                            .target = kind.target,
                            .deadline = deadline,
                            .priority = 1,
                            .prompt_tokens = caller.prompt_tokens,
                            .max_pause = kind.max_pause,
                            .is_caller_retry = ToSeconds(deadline - this->now) <
                                               kReturnedPart * ToSeconds(kind.time_left),
                            .may_probe = true,
                            .avoided = attempt.avoided};
    const auto verdict =
        this->entries[attempt.entry].dispatcher->Submit(std::move(request), this->now);
    this->OnVerdict(verdict);
  }

  void PollEntry(std::size_t entry) {
    for (const DispatchVerdict& verdict : this->entries[entry].dispatcher->Poll(this->now)) {
      this->OnVerdict(verdict);
    }
  }

  void SchedulePoll(std::uint32_t entry) {
    if (std::exchange(this->entries[entry].poll_due, true)) return;
    this->After(kPollPeriod, [this, entry] {
      this->entries[entry].poll_due = false;
      this->PollEntry(entry);
      if (this->entries[entry].dispatcher->Waiting() > 0) this->SchedulePoll(entry);
    });
  }

  void OnVerdict(const DispatchVerdict& verdict) {
    const AttemptNumber number = verdict.attempt;
    Attempt& attempt = this->attempts.at(number);
    if (const auto* sent = std::get_if<SendTo>(&verdict.decision)) {
      attempt.engine = this->engine_at.at(sent->upstream);
      attempt.avoided.push_back(sent->upstream);
      attempt.predicted = sent->predicted;
      attempt.sent_at = this->now;
      ++this->outcome.sent;
      this->After(this->DelayOf(attempt), [this, number, engine = attempt.engine] {
        this->ArriveAtEngine(number, engine);
      });
    } else if (const auto* refusal = std::get_if<RefuseRequest>(&verdict.decision)) {
      this->Refuse(number, refusal->retry_after);
    } else {
      this->SchedulePoll(attempt.entry);
    }
  }

  void Refuse(AttemptNumber number, Duration retry_after) {
    const std::uint64_t id = this->attempts.at(number).caller;
    this->attempts.erase(number);
    Caller& caller = this->callers.at(id);
    if (std::exchange(caller.came_back, true)) {
      ++this->outcome.classes[caller.class_index].refused;
      this->callers.erase(id);
      return;
    }
    this->After(retry_after, [this, id] { this->Send(id); });
  }

  Duration DelayOf(const Attempt& attempt) const {
    const bool near = this->entries[attempt.entry].region == this->engines[attempt.engine]->region;
    return near ? this->options.near_delay : this->options.far_delay;
  }

  // ---- engines ----

  // An attempt that its entry gave up when the engine was lost is another engine's by then, or
  // over.
  bool IsAt(AttemptNumber number, std::size_t engine) const {
    const auto found = this->attempts.find(number);
    return found != this->attempts.end() && found->second.engine == engine;
  }

  void ArriveAtEngine(AttemptNumber number, std::size_t engine) {
    if (!this->IsAt(number, engine)) return;
    const Attempt& attempt = this->attempts.at(number);
    const Caller& caller = this->callers.at(attempt.caller);
    EngineModel& model = this->engines[attempt.engine]->model;
    const bool taken = model.Arrive(
        {.id = number, .prompt_tokens = caller.prompt_tokens, .events = caller.events}, this->now);
    if (taken) {
      this->SchedulePass(attempt.engine);
      return;
    }
    ++this->outcome.turned_away;
    this->After(this->DelayOf(attempt), [this, number, engine] {
      if (!this->IsAt(number, engine)) return;
      Attempt& back = this->attempts.at(number);
      this->entries[back.entry].dispatcher->OnEnded(number, AttemptResult::kRefused, this->now);
      if (back.avoided.size() >= kMaxSends) return this->Refuse(number, std::chrono::seconds(1));
      this->Submit(number);
    });
  }

  void SchedulePass(std::size_t number) {
    Engine& engine = *this->engines[number];
    if (!engine.model.PassEnd()) return;
    const std::uint64_t pass = ++engine.pass;
    this->At(*engine.model.PassEnd(), [this, number, pass] {
      if (this->engines[number]->pass == pass) this->EndPass(number);
    });
  }

  void EndPass(std::size_t number) {
    Engine& engine = *this->engines[number];
    if (!engine.model.PassEnd()) return;
    this->busy_sum += engine.model.Load().running;
    for (const JobProgress& progress : engine.model.EndPass()) {
      const AttemptNumber attempt = progress.id;
      if (!this->IsAt(attempt, number)) continue;
      this->After(this->DelayOf(this->attempts.at(attempt)), [this, attempt, number, progress] {
        if (this->IsAt(attempt, number)) this->OnProgress(attempt, progress);
      });
    }
    this->SchedulePass(number);
  }

  void OnProgress(AttemptNumber number, const JobProgress& progress) {
    Attempt& attempt = this->attempts.at(number);
    Dispatcher& dispatcher = *this->entries[attempt.entry].dispatcher;
    const Caller& caller = this->callers.at(attempt.caller);
    const RequestClass& kind = this->options.classes[caller.class_index];
    if (progress.first) {
      dispatcher.OnFirstEvent(number);
      attempt.begun_late = this->now - caller.first_sent > kind.target;
      const Duration error = this->now - attempt.sent_at - attempt.predicted;
      this->errors.push_back(ToSeconds(error) * 1000);
    } else if (this->now - attempt.last_event > kind.max_pause) {
      attempt.paused = true;
    }
    attempt.last_event = this->now;
    if (!progress.done) return;
    dispatcher.OnEnded(number, AttemptResult::kServed, this->now);
    this->Finish(attempt, caller);
    const auto entry = attempt.entry;
    this->callers.erase(attempt.caller);
    this->attempts.erase(number);
    if (dispatcher.Waiting() > 0) this->PollEntry(entry);
  }

  void Finish(const Attempt& attempt, const Caller& caller) {
    ClassOutcome& row = this->outcome.classes[caller.class_index];
    const RequestClass& kind = this->options.classes[caller.class_index];
    const bool late = attempt.begun_late || attempt.paused;
    ++(late ? row.late : row.in_time);
    if (attempt.paused && !attempt.begun_late) ++this->outcome.late_pause;
    const double worth = late ? caller.worth * kind.late_worth / kind.worth : caller.worth;
    row.earned += worth;
    this->earned[this->SpanOf(caller)] += worth;
  }

  // ---- faults and rollouts ----

  void Lose(const EngineLoss& loss) {
    for (std::size_t number = 0; number < this->engines.size(); ++number) {
      if (UniformUnit(this->random) >= loss.share) continue;
      Engine& engine = *this->engines[number];
      engine.model.SetAway(true);
      std::vector<AttemptNumber> broken;
      for (const auto& [id, attempt] : this->attempts) {
        if (attempt.engine == number && !attempt.avoided.empty() &&
            attempt.avoided.back() == engine.id) {
          broken.push_back(id);
        }
      }
      for (const AttemptNumber id : broken) this->Break(id);
      this->After(loss.length, [this, number] {
        this->engines[number]->model.SetAway(false);
        this->Report(number, true);
      });
    }
  }

  void Break(AttemptNumber number) {
    Attempt& attempt = this->attempts.at(number);
    this->entries[attempt.entry].dispatcher->OnEnded(number, AttemptResult::kErrored, this->now);
    this->Submit(number);
  }

  void Rollout(std::size_t index) {
    const RolloutModel& rollout = this->options.rollouts[index];
    std::vector<std::size_t> order(this->engines.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), this->random);
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
      const double part = static_cast<double>(rank) / static_cast<double>(order.size());
      this->After(FromSeconds(ToSeconds(rollout.window) * part),
                  [this, number = order[rank], index] { this->BeginLoad(number, index); });
    }
  }

  void BeginLoad(std::size_t number, std::size_t index) {
    Engine& engine = *this->engines[number];
    engine.accepting = false;
    this->Report(number, true);
    this->AwaitEmpty(number, index);
  }

  void AwaitEmpty(std::size_t number, std::size_t index) {
    Engine& engine = *this->engines[number];
    const UpstreamLoad load = engine.model.Load();
    if (load.waiting == 0) engine.model.BeginLoad();
    if (!engine.model.IsEmptyForLoad()) {
      this->After(kPollPeriod, [this, number, index] { this->AwaitEmpty(number, index); });
      return;
    }
    this->After(this->options.rollouts[index].load_time, [this, number] {
      Engine& loaded = *this->engines[number];
      loaded.model.EndLoad(this->now);
      this->SchedulePass(number);
      loaded.accepting = true;
      ++loaded.weights;
      loaded.sampled = loaded.model.Load();
      this->Report(number, true);
    });
  }

  void Summarize() {
    std::sort(this->errors.begin(), this->errors.end());
    const auto quantile = [this](double part) {
      if (this->errors.empty()) return 0.0;
      return this
          ->errors[static_cast<std::size_t>(part * static_cast<double>(this->errors.size() - 1))];
    };
    this->outcome.error_median_ms = quantile(0.5);
    this->outcome.error_p90_ms = quantile(0.9);
    for (std::size_t i = 0; i < this->owed.size(); ++i) {
      if (this->owed[i] <= 0) continue;
      const double part = this->earned[i] / this->owed[i];
      this->outcome.two_seconds.push_back(part);
      this->outcome.worst_two_seconds = std::min(this->outcome.worst_two_seconds, part);
    }
  }

  const FleetModelOptions& options;
  Random random;
  const Instant start = Instant(std::chrono::hours(1));
  Instant now = start;
  std::priority_queue<Event> events = {};
  std::uint64_t next_order = 0;
  std::vector<Entry> entries = {};
  std::vector<std::unique_ptr<Engine>> engines = {};
  std::map<std::string, std::size_t> engine_at = {};
  std::unordered_map<std::uint64_t, Caller> callers = {};
  std::uint64_t next_caller = 1;
  std::unordered_map<AttemptNumber, Attempt> attempts = {};
  AttemptNumber next_attempt = 1;
  std::vector<double> errors = {};
  std::vector<double> owed = {};
  std::vector<double> earned = {};
  double busy_sum = 0;
  FleetOutcome outcome = {};
};

}  // namespace

double FleetOutcome::Worth() const {
  double owed = 0;
  double earned = 0;
  for (const ClassOutcome& row : this->classes) {
    owed += row.owed;
    earned += row.earned;
  }
  return owed > 0 ? earned / owed : 1;
}

FleetOutcome RunFleetModel(const FleetModelOptions& options) { return FleetModel(options).Run(); }

}  // namespace savory
