#include "soak/soak_run.h"

#include <algorithm>
#include <map>

#include "apps/process_group.h"
#include "runtime/event_loop.h"
#include "soak/soak_callers.h"
#include "soak/soak_processes.h"
#include "soak/soak_upstreams.h"

namespace savory {
namespace {

using platform::EngineFault;
using platform::StoreCondition;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Until the entries are ready and the engines have their first weights.
constexpr Duration kStartTime = seconds(10);
constexpr Duration kStartPoll = milliseconds(50);
// After the last fault has ended, until everything must work again: the platform's contact time,
// and the time for new weights.
constexpr Duration kRecoveryTime = seconds(9);
// Requests of this time decide whether everything works again.
constexpr Duration kJudgedTime = seconds(3);
constexpr double kServedAtEnd = 0.95;
constexpr Duration kSlowStore = milliseconds(400);
constexpr double kBurstFactor = 4;
constexpr Duration kUpstreamAway = milliseconds(1500);

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : options(options),
        layout{.block = options.block},
        upstreams(this->loop, this->checker, this->layout),
        processes(this->loop, this->group, this->layout, options.bin_directory),
        callers(this->loop, this->checker, this->layout, options.seed) {}

  Result<SoakResult> Run() {
    this->result.plan = MakeFaultPlan(this->options.seed, this->options.length);
    BOOST_OUTCOME_TRY(this->upstreams.Start());
    this->processes.OnStart([this](const std::string& vm) {
      this->checker.EntryStarted(vm);
      this->checker.Disturb(vm, this->loop.Now(), {});
    });
    this->processes.OnUnexpectedEnd([this](const std::string& vm, int status) {
      this->checker.Report("own-end", vm + " ended with status " + std::to_string(status));
    });
    BOOST_OUTCOME_TRY(this->processes.StartAll());
    this->callers.Start(this->options.requests_per_second);
    this->start_limit = this->loop.Now() + kStartTime;
    this->AwaitStart();
    this->loop.Run();
    this->Finish();
    return this->result;
  }

 private:
  void AwaitStart() {
    const bool started = this->callers.Ready() == this->layout.entries &&
                         this->upstreams.UpToDate() == this->layout.engines;
    if (!started && this->loop.Now() < this->start_limit) {
      this->loop.After(kStartPoll, [this] { this->AwaitStart(); });
      return;
    }
    if (!started) this->checker.Report("start", "not everything was ready in time");
    Duration end = this->options.length;
    for (const Fault& fault : this->result.plan) {
      this->loop.After(fault.at, [this, fault] { this->Inject(fault); });
      end = std::max(end, fault.at + fault.lasts);
    }
    this->loop.After(end + kRecoveryTime, [this] { this->judged_from = this->loop.Now(); });
    this->loop.After(end + kRecoveryTime + kJudgedTime, [this] { this->AwaitAnswers(); });
  }

  void AwaitAnswers() {
    this->callers.Stop();
    if (this->callers.InProgress() == 0) return this->loop.Stop();
    this->loop.After(kStartPoll, [this] { this->AwaitAnswers(); });
  }

  void Finish() {
    const auto [served, all] = this->checker.ServedSince(this->judged_from);
    this->result.served_at_end =
        all == 0 ? 0 : static_cast<double>(served) / static_cast<double>(all);
    if (this->result.served_at_end < kServedAtEnd) {
      this->checker.Report("recovery", std::to_string(served) + " of " + std::to_string(all) +
                                           " requests were served after the last fault");
    }
    if (this->upstreams.UpToDate() < this->layout.engines) {
      this->checker.Report("recovery", std::to_string(this->upstreams.UpToDate()) +
                                           " engines hold the newest weights");
    }
    for (const std::string& vm : this->processes.StopAll()) {
      this->checker.Report("planned-stop", vm + " did not end with status 0");
    }
    this->result.violations = this->checker.Violations();
    this->result.counts = this->checker.Counts();
    if (this->options.keep_logs || !this->result.violations.empty()) {
      this->group.KeepDirectory();
      this->result.logs = this->group.Directory();
    }
  }

  // ---- faults ----

  void DisturbAll(Duration lasts) {
    for (std::size_t i = 0; i < this->layout.entries; ++i) {
      this->checker.Disturb(this->layout.EntryVm(i), this->loop.Now(), lasts);
    }
  }

  void HarmStore(StoreCondition condition, Duration lasts) {
    this->checker.Disturb("store", this->loop.Now(), lasts);
    this->upstreams.SetStoreCondition(condition);
    this->Until(lasts, "store",
                [this] { this->upstreams.SetStoreCondition(StoreCondition::kHealthy); });
  }

  void HarmUpstream(std::size_t upstream, EngineFault fault, Duration lasts) {
    const std::string id = this->upstreams.UpstreamId(upstream);
    this->checker.Disturb(id, this->loop.Now(), lasts);
    this->upstreams.SetFault(upstream, fault);
    this->Until(lasts, "fault " + std::to_string(upstream),
                [this, upstream] { this->upstreams.SetFault(upstream, EngineFault::kNone); });
  }

  void HarmLink(std::size_t upstream, LinkCondition condition, Duration lasts) {
    this->checker.Disturb(this->upstreams.UpstreamId(upstream), this->loop.Now(), lasts);
    FaultProxy& link = this->upstreams.Link(upstream);
    link.SetCondition(condition);
    this->Until(lasts, "link " + std::to_string(upstream),
                [&link] { link.SetCondition(LinkCondition::kSound); });
  }

  // Runs `end` after `lasts`, unless a later fault of the same part has begun meanwhile.
  void Until(Duration lasts, const std::string& part, std::function<void()> end) {
    const int number = ++this->faults_of[part];
    this->loop.After(lasts, [this, part, number, end = std::move(end)] {
      if (this->faults_of[part] == number) end();
    });
  }

  void Inject(const Fault& fault) {
    const Instant now = this->loop.Now();
    const std::size_t entry = fault.target % this->layout.entries;
    const std::string entry_vm = this->layout.EntryVm(entry);
    const std::string agent_vm = this->layout.AgentVm(fault.target % this->layout.engines);
    const std::size_t upstream = fault.target % this->layout.Upstreams();
    const std::size_t engine = fault.target % this->layout.engines;
    switch (fault.kind) {
      case FaultKind::kStoreRefusing:
        return this->HarmStore(StoreCondition::kRefusing, fault.lasts);
      case FaultKind::kStoreSilent:
        return this->HarmStore(StoreCondition::kSilent, fault.lasts);
      case FaultKind::kStoreResetting:
        return this->HarmStore(StoreCondition::kResetting, fault.lasts);
      case FaultKind::kStoreLosesAnswers:
        return this->HarmStore(StoreCondition::kDropsAnswers, fault.lasts);
      case FaultKind::kStoreSlow:
        this->checker.Disturb("store", now, fault.lasts);
        this->upstreams.Store().SetAnswerDelay(kSlowStore);
        return this->Until(fault.lasts, "store-delay", [this] {
          this->upstreams.Store().SetAnswerDelay(platform::StoreStandinOptions().answer_delay);
        });
      case FaultKind::kHistoryForgotten:
        return this->upstreams.Store().ForgetHistory();
      case FaultKind::kEntryCutFromStore: {
        this->checker.Disturb(entry_vm, now, fault.lasts);
        FaultProxy& link = this->upstreams.StoreLink(entry);
        link.SetCondition(LinkCondition::kSilent);
        return this->Until(fault.lasts, "store-link " + entry_vm,
                           [&link] { link.SetCondition(LinkCondition::kSound); });
      }
      case FaultKind::kEntryStopped:
        this->checker.EntryStops(entry_vm, now);
        return this->processes.Stop(entry_vm);
      case FaultKind::kEntryKilled:
        this->checker.Disturb(entry_vm, now, fault.lasts);
        return this->processes.Kill(entry_vm);
      case FaultKind::kEntryPaused:
        this->checker.Disturb(entry_vm, now, fault.lasts);
        return this->processes.Pause(entry_vm, fault.lasts);
      case FaultKind::kAgentKilled:
        return this->processes.Kill(agent_vm);
      case FaultKind::kAgentPaused:
        return this->processes.Pause(agent_vm, fault.lasts);
      case FaultKind::kUpstreamCrashed:
        this->checker.Disturb(this->upstreams.UpstreamId(upstream), now, fault.lasts);
        return this->upstreams.Crash(upstream, kUpstreamAway);
      case FaultKind::kUpstreamErrors:
        return this->HarmUpstream(upstream, EngineFault::kErrors, fault.lasts);
      case FaultKind::kUpstreamLosesAnswers:
        return this->HarmUpstream(upstream, EngineFault::kDropsAnswers, fault.lasts);
      case FaultKind::kUpstreamBreaksOff:
        return this->HarmUpstream(upstream, EngineFault::kTruncatesAnswers, fault.lasts);
      case FaultKind::kUpstreamSilent:
        return this->HarmUpstream(upstream, EngineFault::kSilent, fault.lasts);
      case FaultKind::kUpstreamDrained:
        return this->upstreams.Drain(upstream);
      case FaultKind::kStagedPieceSpoilt:
        return this->upstreams.SpoilPiece(engine, fault.target);
      case FaultKind::kLinkDelayed:
        return this->HarmLink(upstream, LinkCondition::kDelayed, fault.lasts);
      case FaultKind::kLinkReset:
        this->checker.Disturb(this->upstreams.UpstreamId(upstream), now, {});
        return this->upstreams.Link(upstream).ResetAll();
      case FaultKind::kLinkSilent:
        return this->HarmLink(upstream, LinkCondition::kSilent, fault.lasts);
      case FaultKind::kLinkOneWay:
        return this->HarmLink(upstream, LinkCondition::kOneWay, fault.lasts);
      case FaultKind::kRouteMoved:
        return this->upstreams.MoveRoute();
      case FaultKind::kWeightsNamed:
        return this->upstreams.NameWeights();
      case FaultKind::kBurst:
        this->callers.SetRate(this->options.requests_per_second * kBurstFactor);
        return this->Until(fault.lasts, "rate",
                           [this] { this->callers.SetRate(this->options.requests_per_second); });
      case FaultKind::kAllKilled:
        this->DisturbAll(fault.lasts);
        return this->processes.KillAll();
    }
  }

  SoakOptions options;
  SoakLayout layout;
  ProcessGroup group;
  EventLoop loop;
  Checker checker{{}};
  SoakUpstreams upstreams;
  SoakProcesses processes;
  SoakCallers callers;
  SoakResult result = {};
  std::map<std::string, int> faults_of = {};
  Instant start_limit = {};
  Instant judged_from = {};
};

}  // namespace

Result<SoakResult> RunSoak(const SoakOptions& options) { return SoakRun(options).Run(); }

}  // namespace savory
