#include "loadmodel/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <unordered_map>

#include "base/random.h"
#include "loadmodel/engine_model.h"
#include "relay/entry_demand_tracker.h"
#include "relay/routing_index.h"

namespace savory {
namespace {

// Of entries with waiting requests, and of engines that wait to load.
constexpr Duration kPollPeriod = std::chrono::milliseconds(10);
// Entries report their request rate to each other at this period, and when it changes.
constexpr Duration kDemandPeriod = std::chrono::seconds(1);
constexpr Duration kValueWindow = std::chrono::seconds(2);
// An attempt that meets full queues is sent to at most this many engines, to each only once.
constexpr std::size_t kMaxEngines = 4;
// A request that has less than this fraction of its class's `time_left` left counts as a caller's
// retry.
constexpr double kCallerRetryTimeFraction = 0.82;
// Repeats of a caller that does not wait as told.
constexpr int kRepeatsAtOnce = 2;
constexpr const char* kPool = "engines";
// Part of a request's value that does not depend on its size.
constexpr double kFixedValueFraction = 0.3;
constexpr double kMaxValueFactor = 4;
// In the size of a request, an answer token counts as this many prompt tokens.
constexpr double kAnswerTokenWeight = 10;

double LogNormal(Random& random, double mean, double sigma) {
  return std::lognormal_distribution<double>(std::log(mean) - sigma * sigma / 2, sigma)(random);
}

struct Caller {
  std::size_t class_index = 0;
  std::uint32_t region = 0;
  Instant first_sent = {};
  std::uint32_t prompt_tokens = 0;
  std::uint32_t events = 1;
  double value = 0;  // of an answer in time
  bool retried = false;
  int repeats = 0;  // that it sends at once after a refusal
};

constexpr std::size_t kNoEngine = SIZE_MAX;

struct Attempt {
  std::uint64_t caller = 0;
  std::uint32_t entry = 0;
  std::size_t engine = kNoEngine;  // that it was sent to; none while it waits
  std::vector<std::string> avoided = {};
  Instant arrived = {};
  Instant sent_at = {};
  Duration predicted = {};
  Instant last_event = {};
  bool has_long_pause = false;  // a pause exceeded the class's `max_pause`
  bool begun = false;
  bool first_event_late = false;
};

class FleetModel {
 public:
  explicit FleetModel(const FleetModelOptions& options) : options(options), random(options.seed) {
    for (const RequestClass& row : options.classes) {
      this->outcome.classes.push_back({.name = row.name});
    }
    const auto windows = static_cast<std::size_t>(options.length / kValueWindow) + 1;
    this->offered_value.assign(windows, 0);
    this->earned_value.assign(windows, 0);
    this->AddFleet();
    this->ScheduleLoad();
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
    double share = 1;  // of its region's callers, relative to the other entries
    std::map<std::string, Instant> follows = {};  // address of an engine -> last chosen at
  };
  struct SentReport {
    Instant at = {};
    UpstreamLoad load = {};
    bool accepting = true;
    std::uint64_t weights_version = 0;
  };
  struct Engine {
    std::uint32_t region = 0;
    std::string id;
    std::string address;
    EngineModel model;
    bool accepting = true;
    std::uint64_t weights_version = 1;
    Instant refuses_until = {};
    bool announces_refusals = false;
    UpstreamLoad sampled = {};
    std::vector<SentReport> last_reports = {};  // by entry
    std::vector<bool> follows = {};             // by entry: it gets reports
    std::uint64_t pass = 0;                     // number of the pass whose end is scheduled
  };

  void At(Instant at, std::function<void()> run) {
    this->events.push({std::max(at, this->now), this->next_order++, std::move(run)});
  }
  void After(Duration wait, std::function<void()> run) {
    this->At(this->now + wait, std::move(run));
  }
  bool IsLoadActive() const { return this->now < this->start + this->options.length; }

  // ---- fleet ----

  void AddFleet() {
    RoutingRules rules{.version = 1};
    rules.pools.push_back({.name = kPool, .engine = this->options.rates, .models = {"m"}});
    if (this->options.ways_known) rules.ways = this->Ways();
    const auto index = std::make_shared<const RoutingIndex>(std::move(rules));
    for (std::uint32_t r = 0; r < this->options.regions.size(); ++r) {
      const RegionModel& region = this->options.regions[r];
      for (std::uint32_t i = 0; i < region.entries; ++i) {
        DispatcherOptions own = this->options.dispatcher;
        own.data_centre = std::to_string(r);
        own.entry = "entry-" + std::to_string(this->entries.size());
        own.leaving.data_centre = own.data_centre;
        own.leaving.entry = own.entry;
        own.placement.regions[own.data_centre] = own.data_centre;
        Entry entry{
            .region = r,
            .id = own.entry,
            .demands = EntryDemandTracker({.entry = own.entry, .data_centre = own.data_centre}),
            .random = std::make_unique<Random>(this->random())};
        entry.dispatcher = std::make_unique<Dispatcher>(own, *entry.random);
        entry.dispatcher->SetRules(index);
        // A load balancer that hashes callers spreads a small number of them unevenly.
        entry.share = 0.7 + 0.6 * UniformUnit(this->random);
        this->entries.push_back(std::move(entry));
      }
    }
    std::vector<std::string> ids;
    for (const Entry& entry : this->entries) ids.push_back(entry.id);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->entries[i].demands.SetLiveEntries(ids);
      this->entries[i].dispatcher->SetEntries(this->entries[i].demands.ActiveDemands(this->now));
      this->After(FromSeconds(UniformUnit(this->random) *
                              ToSeconds(EntryDemandTrackerOptions().update_period)),
                  [this, i] { this->PublishDemand(i); });
      this->After(Duration(0), [this, i] { this->ChooseEngines(i); });
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

  std::vector<DataCentreWay> Ways() const {
    std::vector<DataCentreWay> ways;
    for (std::size_t from = 0; from < this->options.regions.size(); ++from) {
      for (std::size_t to = from + 1; to < this->options.regions.size(); ++to) {
        ways.push_back({.from = std::to_string(from),
                        .to = std::to_string(to),
                        .delay = this->options.remote_delay});
      }
    }
    return ways;
  }

  void PublishDemand(std::size_t number) {
    Entry& entry = this->entries[number];
    entry.demands.UpdateOwnRate(entry.dispatcher->EngineRequests(), this->now);
    const Admission& room = entry.dispatcher->Room();
    entry.demands.SetOwnPools(room.Own(), room.AdmittedFraction());
    const EntryDemand demand = entry.demands.Own();
    if (entry.demands.TakeReportDue(kDemandPeriod, this->now)) {
      ++this->outcome.demand_reports;
      this->After(this->options.remote_delay, [this, demand] {
        for (Entry& other : this->entries) {
          other.demands.OnDemandReport(demand, kDemandPeriod, this->now);
        }
      });
    }
    entry.dispatcher->SetEntries(entry.demands.ActiveDemands(this->now));
    if (!this->IsLoadActive()) return;
    this->After(EntryDemandTrackerOptions().update_period,
                [this, number] { this->PublishDemand(number); });
  }

  void AddEngine(std::uint32_t region) {
    const std::size_t number = this->engines.size();
    auto engine = std::make_unique<Engine>(Engine{
        .region = region,
        .id = "engine-" + std::to_string(number),
        .address =
            "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":80",
        .model = EngineModel(this->options.rates, this->options.queue_limit)});
    engine->last_reports.resize(this->entries.size());
    engine->follows.resize(this->entries.size());
    const Upstream listed{.id = engine->id,
                          .pool = kPool,
                          .address = engine->address,
                          .data_centre = std::to_string(region),
                          .slots = this->options.rates.slots,
                          .weights_version = 1,
                          .is_engine = true};
    for (Entry& entry : this->entries) entry.dispatcher->SetUpstream(listed);
    this->engine_index[engine->id] = number;
    this->engine_at[engine->address] = number;
    this->engines.push_back(std::move(engine));
    const double phase = UniformUnit(this->random);
    this->After(FromSeconds(ToSeconds(this->options.poll_period) * phase),
                [this, number] { this->PollEngine(number); });
  }

  // ---- agents ----

  void PollEngine(std::size_t number) {
    Engine& engine = *this->engines[number];
    engine.sampled = engine.model.Load();
    this->SendReports(number, false);
    if (this->now < this->start + this->options.length + std::chrono::seconds(6)) {
      this->After(this->options.poll_period, [this, number] { this->PollEngine(number); });
    }
  }

  // The entry chooses the engines that report to it.
  void ChooseEngines(std::size_t number) {
    Entry& entry = this->entries[number];
    for (const std::string& address : entry.dispatcher->EnginesToFollow(this->now)) {
      const bool is_new = entry.follows.insert_or_assign(address, this->now).second;
      if (!is_new) continue;
      const std::size_t engine = this->engine_at.at(address);
      this->After(this->DelayBetween(number, engine), [this, number, engine] {
        this->engines[engine]->follows[number] = true;
        this->SendReport(engine, number);
      });
    }
    for (auto row = entry.follows.begin(); row != entry.follows.end();) {
      const bool ended = this->now - row->second > this->options.follow_linger;
      if (ended) this->engines[this->engine_at.at(row->first)]->follows[number] = false;
      row = ended ? entry.follows.erase(row) : std::next(row);
    }
    if (this->now > this->start + this->options.length + std::chrono::seconds(6)) return;
    this->After(this->options.follow_period, [this, number] { this->ChooseEngines(number); });
  }

  void SendReports(std::size_t number, bool urgent) {
    Engine& engine = *this->engines[number];
    if (engine.model.IsOffline()) return;
    const std::uint32_t total = engine.sampled.running + engine.sampled.waiting;
    for (std::size_t e = 0; e < this->entries.size(); ++e) {
      if (!engine.follows[e]) continue;
      const SentReport& last = engine.last_reports[e];
      const bool same_region = this->entries[e].region == engine.region;
      const Duration waited = this->now - last.at;
      const Duration period =
          same_region ? this->options.local_period : this->options.remote_period;
      const bool changed = last.load.running + last.load.waiting != total;
      const bool due = waited >= this->options.unchanged_period || (changed && waited >= period);
      if (due || urgent) this->SendReport(number, e);
    }
    if (urgent) this->PassAvailabilityOn(number);
  }

  void SendReport(std::size_t number, std::size_t entry) {
    Engine& engine = *this->engines[number];
    if (engine.model.IsOffline()) return;
    engine.last_reports[entry] = {.at = this->now,
                                  .load = engine.sampled,
                                  .accepting = engine.accepting,
                                  .weights_version = engine.weights_version};
    const auto followers = std::count(engine.follows.begin(), engine.follows.end(), true);
    const EngineReport report{.address = engine.address,
                              .load = engine.sampled,
                              .accepting = engine.accepting,
                              .weights_version = engine.weights_version,
                              .pace = engine.model.Pace(),
                              .followers = static_cast<std::uint32_t>(followers)};
    this->After(this->DelayBetween(entry, number), [this, entry, report] {
      this->entries[entry].dispatcher->AddReport(report, this->now);
      this->PollEntry(entry);
    });
  }

  void PassAvailabilityOn(std::size_t number) {
    const Engine& engine = *this->engines[number];
    const EngineAvailability passed_on{.address = engine.address,
                                       .accepting = engine.accepting,
                                       .weights_version = engine.weights_version};
    this->After(this->options.pass_on_delay + 2 * this->options.remote_delay, [this, passed_on] {
      for (Entry& entry : this->entries) entry.dispatcher->AddAvailability(passed_on, this->now);
    });
  }

  // ---- callers ----

  void ScheduleLoad() {
    for (std::uint32_t r = 0; r < this->options.regions.size(); ++r) this->ScheduleNextCaller(r);
    for (const EngineOutage& outage : this->options.outages) {
      this->At(this->start + outage.at, [this, outage] { this->StartOutage(outage); });
    }
    for (const EngineWait& wait : this->options.waits) {
      this->At(this->start + wait.at, [this, wait] { this->StartWait(wait); });
    }
    for (const EngineSlowdown& slowdown : this->options.slowdowns) {
      this->At(this->start + slowdown.at, [this, slowdown] { this->StartSlowdown(slowdown); });
    }
    for (std::size_t i = 0; i < this->options.rollouts.size(); ++i) {
      this->At(this->start + this->options.rollouts[i].at, [this, i] { this->StartRollout(i); });
    }
  }

  double LoadFactor(std::uint32_t region, const RequestClass& request_class) const {
    double factor = 1;
    for (const LoadStep& step : this->options.steps) {
      if (!step.of_class.empty() && step.of_class != request_class.name) continue;
      if (step.region >= 0 && static_cast<std::uint32_t>(step.region) != region) continue;
      if (this->now >= this->start + step.at) factor = step.factor;
    }
    return factor;
  }

  // Shares of the classes in the requests of `region`, and their sum relative to that without
  // steps.
  std::pair<std::vector<double>, double> ClassShares(std::uint32_t region) const {
    std::vector<double> shares;
    double all = 0;
    double stepped = 0;
    for (const RequestClass& row : this->options.classes) {
      shares.push_back(row.share * this->LoadFactor(region, row));
      all += row.share;
      stepped += shares.back();
    }
    return {std::move(shares), stepped / all};
  }

  // Requests per second that the callers of `region` send there.
  double RateOf(std::uint32_t region) const {
    double shifted = 0;
    for (const CallerShift& shift : this->options.shifts) {
      if (this->now >= this->start + shift.at) shifted = shift.share;
    }
    const std::vector<RegionModel>& regions = this->options.regions;
    const double moved = shifted * regions.front().requests_per_second;
    double rate = regions[region].requests_per_second;
    if (region == 0) rate -= moved;
    if (region + 1 == regions.size()) rate += moved;
    return rate * this->ClassShares(region).second;
  }

  void ScheduleNextCaller(std::uint32_t region) {
    const double rate = this->RateOf(region);
    const double wait = std::exponential_distribution<double>(rate)(this->random);
    this->After(FromSeconds(wait), [this, region] {
      if (!this->IsLoadActive()) return;
      this->AddCaller(region);
      this->ScheduleNextCaller(region);
    });
  }

  void AddCaller(std::uint32_t region) {
    const std::vector<double> shares = this->ClassShares(region).first;
    double draw = UniformUnit(this->random) * std::accumulate(shares.begin(), shares.end(), 0.0);
    std::size_t index = 0;
    while (index + 1 < shares.size() && draw >= shares[index]) draw -= shares[index++];
    const RequestClass& request_class = this->options.classes[index];
    Caller caller{.class_index = index, .region = region, .first_sent = this->now};
    const double prompt =
        std::clamp(LogNormal(this->random, request_class.prompt_mean, request_class.prompt_sigma),
                   40.0, request_class.prompt_max);
    const double events =
        std::clamp(LogNormal(this->random, request_class.events_mean, request_class.events_sigma),
                   1.0, request_class.events_max);
    caller.prompt_tokens = static_cast<std::uint32_t>(prompt);
    caller.events = static_cast<std::uint32_t>(std::lround(events));
    const double tokens_per_event = this->options.rates.steps_per_event * kAnswerTokenWeight;
    const double size = (prompt + events * tokens_per_event) /
                        (request_class.prompt_mean + request_class.events_mean * tokens_per_event);
    caller.value =
        request_class.value *
        std::min(kMaxValueFactor, kFixedValueFraction + (1 - kFixedValueFraction) * size);
    ClassOutcome& row = this->outcome.classes[index];
    ++row.requests;
    row.offered_value += caller.value;
    this->offered_value[this->WindowOf(caller)] += caller.value;
    if (this->options.repeating > 0 && UniformUnit(this->random) < this->options.repeating) {
      caller.repeats = kRepeatsAtOnce;
    }
    const std::uint64_t id = this->next_caller++;
    this->callers.emplace(id, caller);
    this->Send(id);
  }

  std::size_t WindowOf(const Caller& caller) const {
    return static_cast<std::size_t>((caller.first_sent - this->start) / kValueWindow);
  }

  std::uint32_t SelectEntry(std::uint32_t region) {
    double total = 0;
    for (const Entry& entry : this->entries) total += entry.region == region ? entry.share : 0;
    double draw = UniformUnit(this->random) * total;
    std::uint32_t last = 0;
    for (std::uint32_t e = 0; e < this->entries.size(); ++e) {
      if (this->entries[e].region != region) continue;
      last = e;
      draw -= this->entries[e].share;
      if (draw < 0) break;
    }
    return last;
  }

  void Send(std::uint64_t caller) {
    const AttemptNumber number = this->next_attempt++;
    this->attempts[number] = {.caller = caller,
                              .entry = this->SelectEntry(this->callers.at(caller).region),
                              .arrived = this->now};
    this->Submit(number);
  }

  void Submit(AttemptNumber number) {
    Attempt& attempt = this->attempts.at(number);
    attempt.engine = kNoEngine;
    const Caller& caller = this->callers.at(attempt.caller);
    const RequestClass& request_class = this->options.classes[caller.class_index];
    const Instant deadline = caller.first_sent + request_class.time_left;
    DispatchRequest request{
        .attempt = number,
        .pool = kPool,
        .arrived = attempt.arrived,
        .target = request_class.target,
        .deadline = deadline,
        .priority = request_class.priority,
        .prompt_tokens = caller.prompt_tokens,
        .max_pause = request_class.max_pause,
        .is_caller_retry = ToSeconds(deadline - this->now) <
                           kCallerRetryTimeFraction * ToSeconds(request_class.time_left),
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
      attempt.engine = this->engine_index.at(sent->upstream);
      attempt.avoided.push_back(sent->upstream);
      attempt.predicted = sent->predicted;
      attempt.sent_at = this->now;
      ++this->outcome.sent;
      const bool is_far =
          this->entries[attempt.entry].region != this->engines[attempt.engine]->region;
      if (is_far) ++this->outcome.sent_far;
      this->After(this->DelayOf(attempt), [this, number, engine = attempt.engine] {
        this->DeliverToEngine(number, engine);
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
    if (!caller.retried) ++this->outcome.classes[caller.class_index].refused_first;
    if (caller.repeats > 0) {
      --caller.repeats;
      caller.retried = true;
      this->After(std::chrono::milliseconds(1), [this, id] { this->Send(id); });
      return;
    }
    if (std::exchange(caller.retried, true)) {
      ++this->outcome.classes[caller.class_index].refused;
      this->callers.erase(id);
      return;
    }
    this->After(retry_after, [this, id] { this->Send(id); });
  }

  Duration DelayOf(const Attempt& attempt) const {
    return this->DelayBetween(attempt.entry, attempt.engine);
  }

  Duration DelayBetween(std::size_t entry, std::size_t engine) const {
    const bool same_region = this->entries[entry].region == this->engines[engine]->region;
    return same_region ? this->options.local_delay : this->options.remote_delay;
  }

  // ---- engines ----

  // Returns false if the engine went offline in the meantime: the entry then sent the attempt to
  // another engine or ended it.
  bool IsAtEngine(AttemptNumber number, std::size_t engine) const {
    const auto found = this->attempts.find(number);
    return found != this->attempts.end() && found->second.engine == engine;
  }

  void DeliverToEngine(AttemptNumber number, std::size_t engine) {
    if (!this->IsAtEngine(number, engine)) return;
    const Attempt& attempt = this->attempts.at(number);
    const Caller& caller = this->callers.at(attempt.caller);
    EngineModel& model = this->engines[attempt.engine]->model;
    const bool accepted =
        this->now >= this->engines[attempt.engine]->refuses_until &&
        model.Enqueue(
            {.id = number, .prompt_tokens = caller.prompt_tokens, .events = caller.events},
            this->now);
    if (accepted) {
      this->SchedulePass(attempt.engine);
      return;
    }
    ++this->outcome.rejected_by_engines;
    this->ReturnWait(attempt.entry, engine);
    this->After(this->DelayOf(attempt), [this, number, engine] {
      if (!this->IsAtEngine(number, engine)) return;
      Attempt& item = this->attempts.at(number);
      this->entries[item.entry].dispatcher->OnEnded(number, AttemptResult::kRefused, this->now);
      if (item.avoided.size() >= kMaxEngines) return this->Refuse(number, std::chrono::seconds(1));
      this->Submit(number);
    });
  }

  // A refusal says for how long the engine wants no requests.
  void ReturnWait(std::uint32_t entry, std::size_t number) {
    const Engine& engine = *this->engines[number];
    const Duration wait = engine.refuses_until - this->now;
    if (wait <= Duration(0) || !engine.announces_refusals) return;
    this->After(this->DelayBetween(entry, number), [this, entry, number, wait] {
      this->entries[entry].dispatcher->AddWait({.id = this->engines[number]->id}, wait, this->now);
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
    this->running_sum += engine.model.Load().running;
    for (const JobProgress& progress : engine.model.EndPass()) {
      const AttemptNumber attempt = progress.id;
      if (!this->IsAtEngine(attempt, number)) continue;
      this->After(this->DelayOf(this->attempts.at(attempt)), [this, attempt, number, progress] {
        if (this->IsAtEngine(attempt, number)) this->OnProgress(attempt, progress);
      });
      if (progress.is_first_event) this->ReturnLoad(attempt, number, progress.is_done);
    }
    this->SchedulePass(number);
  }

  // The head of an answer carries the engine's load.
  void ReturnLoad(AttemptNumber number, std::size_t engine, bool is_done) {
    const Attempt& attempt = this->attempts.at(number);
    UpstreamLoad load = this->engines[engine]->model.Load();
    if (is_done) ++load.running;  // the request of this answer
    if (this->options.answers_tell_pace) load.pace = this->engines[engine]->model.Pace();
    this->After(this->DelayOf(attempt), [this, entry = attempt.entry, engine, load] {
      this->entries[entry].dispatcher->AddLoad(this->engines[engine]->id, load, this->now);
    });
  }

  void OnProgress(AttemptNumber number, const JobProgress& progress) {
    Attempt& attempt = this->attempts.at(number);
    Dispatcher& dispatcher = *this->entries[attempt.entry].dispatcher;
    const Caller& caller = this->callers.at(attempt.caller);
    const RequestClass& request_class = this->options.classes[caller.class_index];
    if (progress.is_first_event) {
      dispatcher.OnFirstEvent(number, this->now);
      attempt.first_event_late = this->now - caller.first_sent > request_class.target;
      const Duration error = this->now - attempt.sent_at - attempt.predicted;
      this->prediction_errors_ms.push_back(ToSeconds(error) * 1000);
    } else if (this->now - attempt.last_event > request_class.max_pause) {
      attempt.has_long_pause = true;
    }
    attempt.last_event = this->now;
    if (!progress.is_done) return;
    dispatcher.OnEnded(number, AttemptResult::kServed, this->now);
    this->RecordCompletion(attempt, caller);
    const auto entry = attempt.entry;
    this->callers.erase(attempt.caller);
    this->attempts.erase(number);
    if (dispatcher.Waiting() > 0) this->PollEntry(entry);
  }

  void RecordCompletion(const Attempt& attempt, const Caller& caller) {
    ClassOutcome& row = this->outcome.classes[caller.class_index];
    const RequestClass& request_class = this->options.classes[caller.class_index];
    const bool late = attempt.first_event_late || attempt.has_long_pause;
    ++(late ? row.late : row.in_time);
    if (attempt.has_long_pause && !attempt.first_event_late) ++this->outcome.late_by_pause_only;
    const double value =
        late ? caller.value * request_class.late_value / request_class.value : caller.value;
    row.earned_value += value;
    this->earned_value[this->WindowOf(caller)] += value;
  }

  // ---- outages and rollouts ----

  void StartOutage(const EngineOutage& outage) {
    for (std::size_t number = 0; number < this->engines.size(); ++number) {
      if (UniformUnit(this->random) >= outage.share) continue;
      Engine& engine = *this->engines[number];
      engine.model.SetOffline(true);
      std::vector<AttemptNumber> failed;
      for (const auto& [id, attempt] : this->attempts) {
        if (attempt.engine == number) failed.push_back(id);
      }
      for (const AttemptNumber id : failed) this->FailAttempt(id);
      this->After(outage.length, [this, number] {
        this->engines[number]->model.SetOffline(false);
        this->SendReports(number, true);
      });
    }
  }

  void StartWait(const EngineWait& wait) {
    for (const auto& engine : this->engines) {
      if (UniformUnit(this->random) >= wait.share) continue;
      engine->refuses_until = this->now + wait.length;
      engine->announces_refusals = wait.announced;
    }
  }

  void StartSlowdown(const EngineSlowdown& slowdown) {
    const Instant end = this->now + slowdown.length;
    for (std::size_t number = 0; number < this->engines.size(); ++number) {
      if (this->engines[number]->region != slowdown.region) continue;
      if (UniformUnit(this->random) < slowdown.share) this->SlowDown(number, slowdown, end);
    }
  }

  void SlowDown(std::size_t number, const EngineSlowdown& slowdown, Instant end) {
    EngineModel& model = this->engines[number]->model;
    if (this->now >= end) return model.SetPace(1);
    if (slowdown.flip_period == Duration(0)) {
      model.SetPace(slowdown.pace);
      return this->At(end, [this, number] { this->engines[number]->model.SetPace(1); });
    }
    model.SetPace(model.Pace() > 1 ? 1 : slowdown.pace);
    this->After(slowdown.flip_period,
                [this, number, slowdown, end] { this->SlowDown(number, slowdown, end); });
  }

  void FailAttempt(AttemptNumber number) {
    Attempt& attempt = this->attempts.at(number);
    this->entries[attempt.entry].dispatcher->OnEnded(number, AttemptResult::kErrored, this->now);
    this->Submit(number);
  }

  void StartRollout(std::size_t index) {
    const RolloutModel& rollout = this->options.rollouts[index];
    std::vector<std::size_t> order(this->engines.size());
    for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
    std::shuffle(order.begin(), order.end(), this->random);
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
      const double fraction = static_cast<double>(rank) / static_cast<double>(order.size());
      this->After(FromSeconds(ToSeconds(rollout.window) * fraction),
                  [this, number = order[rank], index] { this->BeginLoad(number, index); });
    }
  }

  void BeginLoad(std::size_t number, std::size_t index) {
    Engine& engine = *this->engines[number];
    engine.accepting = false;
    this->SendReports(number, true);
    this->LoadWhenIdle(number, index);
  }

  void LoadWhenIdle(std::size_t number, std::size_t index) {
    Engine& engine = *this->engines[number];
    const UpstreamLoad load = engine.model.Load();
    if (load.waiting == 0) engine.model.BeginLoad();
    if (!engine.model.IsReadyToLoad()) {
      this->After(kPollPeriod, [this, number, index] { this->LoadWhenIdle(number, index); });
      return;
    }
    this->After(this->options.rollouts[index].load_time, [this, number] {
      Engine& loaded = *this->engines[number];
      loaded.model.EndLoad(this->now);
      this->SchedulePass(number);
      loaded.accepting = true;
      ++loaded.weights_version;
      loaded.sampled = loaded.model.Load();
      this->SendReports(number, true);
    });
  }

  void Summarize() {
    std::sort(this->prediction_errors_ms.begin(), this->prediction_errors_ms.end());
    const auto quantile = [this](double fraction) {
      if (this->prediction_errors_ms.empty()) return 0.0;
      return this->prediction_errors_ms[static_cast<std::size_t>(
          fraction * static_cast<double>(this->prediction_errors_ms.size() - 1))];
    };
    this->outcome.prediction_error_median_ms = quantile(0.5);
    this->outcome.prediction_error_p90_ms = quantile(0.9);
    for (std::size_t i = 0; i < this->offered_value.size(); ++i) {
      if (this->offered_value[i] <= 0) continue;
      const double ratio = this->earned_value[i] / this->offered_value[i];
      this->outcome.window_value_ratios.push_back(ratio);
      this->outcome.min_window_value_ratio = std::min(this->outcome.min_window_value_ratio, ratio);
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
  std::map<std::string, std::size_t> engine_index = {};  // by id
  std::map<std::string, std::size_t> engine_at = {};     // by address
  std::unordered_map<std::uint64_t, Caller> callers = {};
  std::uint64_t next_caller = 1;
  std::unordered_map<AttemptNumber, Attempt> attempts = {};
  AttemptNumber next_attempt = 1;
  std::vector<double> prediction_errors_ms = {};
  std::vector<double> offered_value = {};
  std::vector<double> earned_value = {};
  double running_sum = 0;
  FleetOutcome outcome = {};
};

}  // namespace

double FleetOutcome::ValueRatio() const {
  double offered_value = 0;
  double earned_value = 0;
  for (const ClassOutcome& row : this->classes) {
    offered_value += row.offered_value;
    earned_value += row.earned_value;
  }
  return offered_value > 0 ? earned_value / offered_value : 1;
}

FleetOutcome RunFleetModel(const FleetModelOptions& options) { return FleetModel(options).Run(); }

}  // namespace savory
