#include "soak/soak_run.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

#include "apps/process_group.h"
#include "platform/record_decoder.h"
#include "records/watcher_selection.h"
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

// Time limit until the entry VMs are ready and the engines have loaded their first weights.
constexpr Duration kStartTimeout = seconds(10);
constexpr Duration kPollPeriod = milliseconds(50);
// Time from the end of the last fault until everything must work again. It covers the platform's
// contact time and the rollout of new weights.
constexpr Duration kRecoveryTime = seconds(9);
// Requests sent during this time after the recovery decide whether everything works again.
constexpr Duration kEvaluationWindow = seconds(3);
constexpr double kMinServedShare = 0.95;
constexpr Duration kSlowStoreDelay = milliseconds(400);
constexpr double kBurstFactor = 4;
constexpr Duration kUpstreamDowntime = milliseconds(1500);
constexpr Duration kStoreLinkResetPeriod = milliseconds(700);
// An upstream leaves this long after a reset, just after the entry VM has reconnected.
constexpr Duration kLeaveAfterReset = milliseconds(150);
// Wait of requests at a slow upstream, as a share of the fault's duration: at most 2.4 s.
constexpr double kStartDelayShare = 0.6;
// The origin lacks published weights for this long, so that engines keep the older ones beyond
// CheckerOptions::weights_rollout_limit.
constexpr Duration kOriginDelay = seconds(11);
// From the publication of weights that the origin lacks until an engine gets slow, and how long it
// is slow.
constexpr Duration kSlowAfterPublication = seconds(5);
constexpr Duration kSlowTime = seconds(5);

// Engines load weights that came late within this time.
constexpr Duration kTimeOfLateLoads = seconds(2);
// Time of standing still after the end of the rollout limit.
constexpr Duration kMinStillAfterEnd = milliseconds(100);
constexpr Duration kMaxStillAfterEnd = milliseconds(1500);

// A request that ends its upstreams is sent so often.
constexpr int kCrashingRepeats = 12;
constexpr Duration kCrashingPeriod = milliseconds(700);
// Requests with a part that ends upstreams, and the time between two of them.
constexpr int kCrashingParts = 36;
constexpr Duration kCrashingPartPeriod = milliseconds(400);

constexpr std::size_t kEntriesSincePlan6 = 5;
constexpr Duration kLeaveAfterKill = milliseconds(300);
constexpr std::size_t kEntriesSincePlan7 = 4;
constexpr std::size_t kEnginesSincePlan7 = 6;
// Entry VMs that are stopped in turn get SIGTERM so far apart, and by half of the fault's duration.
constexpr Duration kMinStopGap = milliseconds(1000);
constexpr double kSlowPace = 4;
// Added to the duration of silences and of little processor time.
constexpr Duration kMinSilence = milliseconds(1000);
constexpr Duration kMinSqueeze = milliseconds(2000);
constexpr int kVersionsInARow = 4;
constexpr Duration kVersionPeriod = milliseconds(700);

constexpr std::uint32_t kChunksSincePlan8 = 48;
constexpr std::uint32_t kChunkBytesSincePlan8 = 512;
// Engines load published weights within this time.
constexpr Duration kTimeOfLoads = seconds(8);
// Chunks turn bad again and again until this long after the engine has accepted the load.
constexpr Duration kCorruptAfterLoad = milliseconds(1000);
constexpr Duration kMinCorruptionPeriod = milliseconds(150);
constexpr double kCorruptionPeriodShare = 0.2;  // of the fault's duration: at most 0.8 s
// From the staging of all chunks until something happens beside the load.
constexpr Duration kMaxTimeBeforeLoad = milliseconds(2000);
constexpr Duration kRecentPublication = milliseconds(2500);
constexpr Duration kMinHang = milliseconds(500);
constexpr Duration kLongestAgentCall = milliseconds(500);
constexpr Duration kMinAgentCallsSlow = milliseconds(3000);
constexpr int kVersionsQuickly = 3;
constexpr double kQuickPeriodShare = 0.4;  // of the fault's duration: 0.1 to 1.6 s

// The store is away for so long, and what it lost is written again so long after its return.
constexpr Duration kAwayBeforeReturn = milliseconds(300);
constexpr double kWrittenAgainShare = 0.7;  // of the fault's duration: 0.2 to 2.8 s

// Memory of the smallest machines of the users' deployments.
constexpr std::uint64_t kMaxEntryBytes = 160'000'000;
constexpr std::uint64_t kMaxAgentBytes = 128'000'000;
constexpr Duration kMemoryCheckPeriod = milliseconds(250);
// The memory of sanitizers counts, too.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kIsInstrumented = true;
#else
constexpr bool kIsInstrumented = false;
#endif

Duration Share(Duration duration, double share) { return FromSeconds(share * ToSeconds(duration)); }

Duration HangOf(const Fault& fault) { return std::max(fault.duration, kMinHang); }

Duration StopGap(const Fault& fault) { return kMinStopGap + fault.duration / 2; }

Duration StartDelay(Duration fault_duration) { return Share(fault_duration, kStartDelayShare); }

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options)
      : options(options),
        layout{MakeLayout(options)},
        checker({.stream_events = this->layout.StreamEvents(),
                 .long_answers = this->layout.long_answers}),
        upstreams(this->loop, this->checker, this->layout),
        processes(this->loop, this->group, this->layout, options.bin_directory),
        callers(this->loop, this->checker, this->layout, options.seed) {}

  Result<SoakResult> Run() {
    this->result.plan = MakeFaultPlan(this->options.seed, this->options.length, this->options.plan);
    BOOST_OUTCOME_TRY(this->upstreams.Start());
    this->processes.OnStart([this](const std::string& vm) {
      this->checker.OnEntryStarted(vm);
      this->checker.MarkStarting(vm, this->loop.Now());
    });
    this->processes.OnUnexpectedExit([this](const std::string& vm, int status) {
      this->checker.AddViolation("own-end", vm + " exited with status " + std::to_string(status));
    });
    BOOST_OUTCOME_TRY(this->processes.StartAll());
    this->callers.Start(this->options.requests_per_second);
    this->loop.Every(kMemoryCheckPeriod, [this] { this->CheckMemory(); });
    this->start_deadline = this->loop.Now() + kStartTimeout;
    this->AwaitStart();
    this->loop.Run();
    this->Finish();
    return this->result;
  }

 private:
  static SoakLayout MakeLayout(const SoakOptions& options) {
    SoakLayout layout{.block = options.block};
    if (options.plan < PlanVersion::kSixth) return layout;
    const bool sixth = options.plan == PlanVersion::kSixth;
    layout.entries = sixth ? kEntriesSincePlan6 : kEntriesSincePlan7;
    if (!sixth) layout.engines = kEnginesSincePlan7;
    layout.long_answers = !sixth;
    layout.all_streams_resumable = !sixth && options.seed % 4 >= 2;
    layout.weights_announced = options.seed % 2 == 1;
    if (options.plan >= PlanVersion::kEighth) {
      layout.chunks = kChunksSincePlan8;
      layout.chunk_bytes = kChunkBytesSincePlan8;
      layout.engines_carry_out_left_calls = true;
    }
    return layout;
  }

  static bool ActsAtLoad(FaultKind kind) {
    return kind == FaultKind::kWeightsPublishedEngineHangs ||
           kind == FaultKind::kWeightsPublishedAgentPaused ||
           kind == FaultKind::kWeightsPublishedAgentKilled;
  }

  Duration LengthOf(const Fault& fault) const {
    if (fault.kind == FaultKind::kEntriesStoppedInTurn) {
      return static_cast<int>(this->layout.entries) * StopGap(fault);
    }
    if (fault.kind == FaultKind::kEntrySqueezed) return fault.duration + kMinSqueeze;
    if (fault.kind == FaultKind::kAgentCallsSlow) return fault.duration + kMinAgentCallsSlow;
    if (fault.kind == FaultKind::kEngineHangs) return HangOf(fault);
    if (fault.kind == FaultKind::kVersionsQuickly) {
      return kVersionsQuickly * Share(fault.duration, kQuickPeriodShare);
    }
    if (fault.kind == FaultKind::kWeightsPublishedChunkCorrupted) {
      return kTimeOfLoads + kCorruptAfterLoad;
    }
    if (ActsAtLoad(fault.kind)) return kTimeOfLoads + kMaxTimeBeforeLoad + HangOf(fault);
    const bool delays_origin = fault.kind == FaultKind::kWeightsPublishedEntryPaused ||
                               fault.kind == FaultKind::kWeightsPublishedEngineSlow ||
                               fault.kind == FaultKind::kWeightsPublishedMachinesStandStill ||
                               fault.kind == FaultKind::kWeightsPublishedAgentsStandStill;
    if (fault.kind == FaultKind::kStoreFromOlderCopy) {
      return fault.duration + kAwayBeforeReturn + Share(fault.duration, kWrittenAgainShare);
    }
    if (fault.kind == FaultKind::kVersionsInARow) return kVersionsInARow * kVersionPeriod;
    if (fault.kind == FaultKind::kCrashingRequest) return kCrashingRepeats * kCrashingPeriod;
    if (fault.kind == FaultKind::kCrashingPart) return kCrashingParts * kCrashingPartPeriod;
    return delays_origin ? kOriginDelay : fault.duration;
  }

  void AwaitStart() {
    const bool started = this->callers.ReadyEntries() == this->layout.entries &&
                         this->upstreams.UpToDateEngines() == this->layout.engines;
    if (!started && this->loop.Now() < this->start_deadline) {
      this->loop.After(kPollPeriod, [this] { this->AwaitStart(); });
      return;
    }
    if (!started) this->checker.AddViolation("start", "entry VMs or engines not ready in time");
    Duration end = this->options.length;
    for (const Fault& fault : this->result.plan) {
      this->loop.After(fault.at, [this, fault] { this->Inject(fault); });
      end = std::max(end, fault.at + LengthOf(fault));
    }
    this->loop.After(end + kRecoveryTime, [this] { this->evaluation_start = this->loop.Now(); });
    this->loop.After(end + kRecoveryTime + kEvaluationWindow, [this] { this->AwaitAnswers(); });
  }

  void AwaitAnswers() {
    this->callers.Stop();
    if (this->callers.InProgress() == 0) return this->loop.Stop();
    this->loop.After(kPollPeriod, [this] { this->AwaitAnswers(); });
  }

  void Finish() {
    this->checker.CheckWholeRun();
    const auto [served, all] = this->checker.ServedSince(this->evaluation_start);
    this->result.served_at_end =
        all == 0 ? 0 : static_cast<double>(served) / static_cast<double>(all);
    if (this->result.served_at_end < kMinServedShare) {
      this->checker.AddViolation("recovery", std::to_string(served) + " of " + std::to_string(all) +
                                                 " requests were served after the recovery time");
    }
    if (this->upstreams.UpToDateEngines() < this->layout.engines) {
      this->checker.AddViolation("recovery", std::to_string(this->upstreams.UpToDateEngines()) +
                                                 " engines hold the newest weights");
    }
    for (const std::string& vm : this->processes.StopAll()) {
      this->checker.AddViolation("planned-stop", vm + " did not exit with status 0 in time");
    }
    this->DescribeUnserved();
    this->result.violations = this->checker.Violations();
    this->result.notes = this->checker.Notes();
    this->result.counts = this->checker.Counts();
    if (this->options.keep_logs || !this->result.violations.empty()) {
      this->group.KeepDirectory();
      this->result.logs = this->group.Directory();
    }
  }

  // A run in CI leaves only what it prints.
  void DescribeUnserved() {
    for (const UnservedRequest& unserved : this->checker.UnservedSince(this->evaluation_start)) {
      this->result.unserved_at_end.push_back(unserved.description);
      if (this->result.served_at_end >= kMinServedShare) continue;
      std::ifstream log(this->group.Directory() + "/" + unserved.entry_vm + ".log");
      for (std::string line; std::getline(log, line);) {
        if (line.find("request=" + unserved.attempt_id) == std::string::npos) continue;
        this->result.unserved_at_end.push_back(line);
      }
    }
  }

  // ---- faults ----

  void MarkEntriesDisturbed(Duration duration) {
    for (std::size_t i = 0; i < this->layout.entries; ++i) {
      this->checker.MarkDisturbed(this->layout.EntryVm(i), this->loop.Now(), duration);
    }
  }

  void ImpairStore(StoreCondition condition, Duration duration) {
    this->checker.MarkDisturbed("store", this->loop.Now(), duration);
    this->upstreams.SetStoreCondition(condition);
    this->RevertAfter(duration, "store",
                      [this] { this->upstreams.SetStoreCondition(StoreCondition::kHealthy); });
  }

  // The copy is as old as the fault is long.
  void ReturnStoreFromCopy(const Fault& fault) {
    this->upstreams.Store().TakeCopy();
    this->loop.After(fault.duration, [this, fault] {
      this->checker.MarkDisturbed("store", this->loop.Now(), kAwayBeforeReturn);
      this->upstreams.SetStoreCondition(StoreCondition::kResetting);
      this->loop.After(kAwayBeforeReturn, [this] {
        this->upstreams.Store().ReturnFromCopy();
        this->upstreams.SetStoreCondition(StoreCondition::kHealthy);
      });
      this->loop.After(kAwayBeforeReturn + Share(fault.duration, kWrittenAgainShare),
                       [this] { this->upstreams.Store().WriteLostAgain(); });
    });
  }

  void ImpairUpstream(std::size_t upstream, EngineFault fault, Duration duration) {
    const std::string id = this->upstreams.UpstreamId(upstream);
    this->checker.MarkDisturbed(id, this->loop.Now(), duration);
    this->upstreams.SetFault(upstream, fault);
    this->RevertAfter(duration, "fault " + std::to_string(upstream),
                      [this, upstream] { this->upstreams.SetFault(upstream, EngineFault::kNone); });
  }

  // Requests go on at these engines meanwhile.
  void SendAgentsWithoutEnd(const Fault& fault) {
    for (const std::size_t engine : this->EnginesOf(fault, fault.target % 3 == 0)) {
      this->upstreams.SetFault(engine, EngineFault::kEndlessReports);
      this->RevertAfter(fault.duration, "fault " + std::to_string(engine),
                        [this, engine] { this->upstreams.SetFault(engine, EngineFault::kNone); });
    }
  }

  // As the platform, which ends a process that exceeds the memory of its machine.
  void CheckMemory() {
    if (kIsInstrumented) return;
    const auto check = [this](const std::string& vm, std::uint64_t limit) {
      const auto usage = this->group.Usage(vm);
      if (!usage || usage->peak_resident_bytes <= limit) return;
      if (!this->over_memory.insert(vm).second) return;
      this->checker.AddViolation(
          "memory", vm + " has used " + std::to_string(usage->peak_resident_bytes) + " bytes");
    };
    for (std::size_t i = 0; i < this->layout.entries; ++i) {
      check(this->layout.EntryVm(i), kMaxEntryBytes);
    }
    for (std::size_t i = 0; i < this->layout.engines; ++i) {
      check(this->layout.AgentVm(i), kMaxAgentBytes);
    }
  }

  void ImpairLink(std::size_t upstream, LinkCondition condition, Duration duration) {
    this->checker.MarkLinkDisturbed(this->upstreams.UpstreamId(upstream), this->loop.Now(),
                                    duration);
    FaultProxy& link = this->upstreams.Link(upstream);
    link.SetCondition(condition);
    this->RevertAfter(duration, "link " + std::to_string(upstream),
                      [&link] { link.SetCondition(LinkCondition::kHealthy); });
  }

  void ResetStoreLink(std::size_t entry, Duration duration) {
    this->upstreams.StoreLink(entry).ResetAll();
    if (duration <= kStoreLinkResetPeriod) return;
    this->loop.After(kStoreLinkResetPeriod, [this, entry, duration] {
      this->ResetStoreLink(entry, duration - kStoreLinkResetPeriod);
    });
  }

  void SlowUpstream(std::size_t upstream, Duration start_delay, Duration duration) {
    this->upstreams.SetStartDelay(upstream, start_delay);
    this->RevertAfter(duration, "start-delay " + std::to_string(upstream),
                      [this, upstream] { this->upstreams.SetStartDelay(upstream, {}); });
  }

  void StopEntry(const std::string& entry_vm) {
    if (this->layout.long_answers && this->checker.IsStopping(entry_vm)) return;
    this->checker.OnEntryStopping(entry_vm, this->loop.Now());
    this->processes.Stop(entry_vm);
  }

  void StopInTurn(const Fault& fault) {
    for (std::size_t i = 0; i < this->layout.entries; ++i) {
      const std::string vm = this->layout.EntryVm((fault.target + i) % this->layout.entries);
      this->loop.After(static_cast<int>(i) * StopGap(fault), [this, vm] { this->StopEntry(vm); });
    }
  }

  void SqueezeEntry(const std::string& entry_vm, Duration duration) {
    this->checker.OnEntrySqueezed(entry_vm, this->loop.Now(), duration);
    this->processes.Squeeze(entry_vm, duration);
  }

  // Every second engine, or all if `target` is even.
  void SilenceEngines(std::size_t target, Duration duration) {
    for (std::size_t i = 0; i < this->layout.engines; i += 1 + target % 2) {
      this->upstreams.FallSilent(i, duration, false);
    }
  }

  void PauseEntry(const std::string& entry_vm, Duration duration) {
    this->checker.MarkDisturbed(entry_vm, this->loop.Now(), duration);
    this->checker.OnEntryPaused(entry_vm);
    this->loop.After(duration, [this, entry_vm] { this->checker.OnEntryPaused(entry_vm); });
    this->processes.Pause(entry_vm, duration);
  }

  // Kills the entry VMs that watch the records of upstreams on behalf of all.
  void KillWatchers() {
    for (std::size_t i = 0; i < this->layout.entries; ++i) {
      WatcherSelection selection({.prefix = platform::RecordDecoder().UpstreamPrefix(),
                                  .peer = this->layout.PeerAddress(i)});
      std::vector<std::string> others;
      for (std::size_t other = 0; other < this->layout.entries; ++other) {
        if (other != i) others.push_back(this->layout.PeerAddress(other));
      }
      selection.SetPeers(others);
      if (!selection.IsSelected()) continue;
      this->checker.MarkDisturbed(this->layout.EntryVm(i), this->loop.Now(), {});
      this->processes.Kill(this->layout.EntryVm(i));
    }
  }

  void PublishInARow(int versions, const std::string& entry_vm) {
    this->upstreams.PublishWeights();
    if (versions > 1) {
      this->loop.After(kVersionPeriod,
                       [this, versions, entry_vm] { this->PublishInARow(versions - 1, entry_vm); });
      return;
    }
    this->checker.MarkDisturbed(entry_vm, this->loop.Now(), {});
    this->processes.Kill(entry_vm);
  }

  // The engines that a fault hits: one, or with some targets half of them or all.
  std::vector<std::size_t> EnginesOf(const Fault& fault, bool several) const {
    const std::size_t first = fault.target % this->layout.engines;
    if (!several) return {first};
    const std::size_t step = 1 + fault.target % 2;
    std::vector<std::size_t> engines;
    for (std::size_t i = first % step; i < this->layout.engines; i += step) engines.push_back(i);
    return engines;
  }

  void CorruptChunks(const Fault& fault, bool several) {
    for (const std::size_t engine : this->EnginesOf(fault, several)) {
      this->upstreams.CorruptStagedChunks(engine, fault.target);
    }
  }

  // Corrupts chunks from when all of `version` are staged until its load or `end`.
  void CorruptUntilLoad(std::size_t engine, std::uint64_t version, Duration period, Instant end) {
    const Instant now = this->loop.Now();
    if (now >= end || this->upstreams.NewestVersion() != version) return;
    const bool staged = this->upstreams.HasStagedNewest(engine);
    if (staged) this->upstreams.CorruptStagedChunks(engine, ++this->corruptions);
    if (staged && this->upstreams.LastAcceptedVersion(engine) == version) {
      end = std::min(end, now + kCorruptAfterLoad);
    }
    this->loop.After(staged ? period : kPollPeriod, [this, engine, version, period, end] {
      this->CorruptUntilLoad(engine, version, period, end);
    });
  }

  // Versions that follow each other too quickly replace each other before any engine loads them.
  void PublishUnlessRecent() {
    const Instant now = this->loop.Now();
    if (now < this->last_publication + kRecentPublication) return;
    this->last_publication = now;
    this->upstreams.PublishWeights();
  }

  void PublishAndCorrupt(const Fault& fault) {
    this->PublishUnlessRecent();
    for (std::size_t i = 0; i < this->layout.engines; ++i) {
      this->CorruptUntilLoad(i, this->upstreams.NewestVersion(),
                             kMinCorruptionPeriod + Share(fault.duration, kCorruptionPeriodShare),
                             this->loop.Now() + kTimeOfLoads);
    }
  }

  void HangEngine(std::size_t engine, Duration duration) {
    this->checker.MarkDisturbed(this->upstreams.UpstreamId(engine), this->loop.Now(), duration);
    this->upstreams.FallSilent(engine, duration, true);
  }

  // Runs `action` some time after all chunks of `version` are staged, if that is before `end`.
  void AfterStaging(std::size_t engine, std::uint64_t version, Duration delay, Instant end,
                    std::function<void()> action) {
    if (this->loop.Now() >= end || this->upstreams.NewestVersion() != version) return;
    if (this->upstreams.HasStagedNewest(engine)) {
      this->loop.After(delay, std::move(action));
      return;
    }
    this->loop.After(kPollPeriod, [this, engine, version, delay, end, action = std::move(action)] {
      this->AfterStaging(engine, version, delay, end, action);
    });
  }

  // Acts on one engine or its agent as the engine gets the load request for new weights or, with
  // odd targets, between their staging and that.
  void PublishAndActAtLoad(const Fault& fault) {
    this->PublishUnlessRecent();
    const std::size_t engine = fault.target % this->layout.engines;
    const auto action = [this, engine, fault] { this->ActAtLoad(engine, fault); };
    if (fault.target % 2 == 0) {
      return this->upstreams.AtNextLoadRequest(engine, kTimeOfLoads, action);
    }
    const Duration delay = Share(kMaxTimeBeforeLoad, static_cast<double>(fault.target % 100) / 100);
    this->AfterStaging(engine, this->upstreams.NewestVersion(), delay,
                       this->loop.Now() + kTimeOfLoads, action);
  }

  void ActAtLoad(std::size_t engine, const Fault& fault) {
    const std::string agent_vm = this->layout.AgentVm(engine);
    this->upstreams.CorruptStagedChunks(engine, fault.target);
    if (fault.kind == FaultKind::kWeightsPublishedAgentKilled) this->processes.Kill(agent_vm);
    if (fault.kind == FaultKind::kWeightsPublishedAgentPaused) {
      this->processes.Pause(agent_vm, fault.duration);
    }
    // Some agents restart while their engine still has their load request before it.
    const bool hangs =
        fault.kind == FaultKind::kWeightsPublishedEngineHangs ||
        (fault.kind == FaultKind::kWeightsPublishedAgentKilled && fault.target % 4 == 0);
    if (hangs) this->HangEngine(engine, HangOf(fault));
  }

  void PublishQuickly(int versions, Duration period) {
    this->upstreams.PublishWeights();
    if (versions == 1) return;
    this->loop.After(period,
                     [this, versions, period] { this->PublishQuickly(versions - 1, period); });
  }

  void SlowAgentCalls(const Fault& fault) {
    const Duration longest =
        Share(kLongestAgentCall, static_cast<double>(fault.target % 10 + 1) / 10);
    for (const std::size_t engine : this->EnginesOf(fault, fault.target % 3 == 0)) {
      this->upstreams.SlowAgentCalls(engine, longest, fault.target % 4 < 2);
      this->RevertAfter(LengthOf(fault), "agent-calls " + std::to_string(engine),
                        [this, engine] { this->upstreams.EndSlowAgentCalls(engine); });
    }
  }

  void PublishWeightsLate() {
    this->checker.MarkDisturbed("origin", this->loop.Now(), kOriginDelay);
    this->upstreams.PublishWeights(kOriginDelay);
  }

  // Agents, and with them their engines or not, stand still from the fault's duration before the
  // end of the rollout limit until after it. While the origin lacks a version, its limit counts:
  // past that, entries send nothing to engines without it, so that a later one would end unseen.
  void PublishAndStandStill(const Fault& fault) {
    const Instant now = this->loop.Now();
    if (now >= this->late_publication + kOriginDelay + kTimeOfLateLoads) {
      this->late_publication = now;
      this->PublishWeightsLate();
    }
    const Instant end = this->late_publication + CheckerOptions().weights_rollout_limit;
    const Duration wait = std::max(end - fault.duration - now, Duration(0));
    const Duration after_end =
        kMinStillAfterEnd +
        Share(kMaxStillAfterEnd - kMinStillAfterEnd, static_cast<double>(fault.target % 10) / 10);
    const bool with_engine = fault.kind == FaultKind::kWeightsPublishedMachinesStandStill;
    for (const std::size_t engine : this->EnginesOf(fault, fault.target % 4 != 3)) {
      this->loop.After(wait, [this, engine, with_engine, still = fault.duration + after_end] {
        this->processes.Pause(this->layout.AgentVm(engine), still);
        if (with_engine) this->upstreams.StandStill(engine, still);
      });
    }
  }

  // Runs `revert` after `duration`, unless a later fault of the same component started meanwhile.
  void RevertAfter(Duration duration, const std::string& component, std::function<void()> revert) {
    const int generation = ++this->fault_generations[component];
    this->loop.After(duration, [this, component, generation, revert = std::move(revert)] {
      if (this->fault_generations[component] == generation) revert();
    });
  }

  void Inject(const Fault& fault) {
    const Instant now = this->loop.Now();
    const std::size_t entry = fault.target % this->layout.entries;
    const std::string entry_vm = this->layout.EntryVm(entry);
    const std::string agent_vm = this->layout.AgentVm(fault.target % this->layout.engines);
    const std::size_t upstream = fault.target % this->layout.UpstreamCount();
    const std::size_t engine = fault.target % this->layout.engines;
    switch (fault.kind) {
      case FaultKind::kStoreRefusing:
        return this->ImpairStore(StoreCondition::kRefusing, fault.duration);
      case FaultKind::kStoreSilent:
        return this->ImpairStore(StoreCondition::kSilent, fault.duration);
      case FaultKind::kStoreResetting:
        return this->ImpairStore(StoreCondition::kResetting, fault.duration);
      case FaultKind::kStoreDropsAnswers:
        return this->ImpairStore(StoreCondition::kDropsAnswers, fault.duration);
      case FaultKind::kStoreSlow:
        this->checker.MarkDisturbed("store", now, fault.duration);
        this->upstreams.Store().SetAnswerDelay(kSlowStoreDelay);
        return this->RevertAfter(fault.duration, "store-delay", [this] {
          this->upstreams.Store().SetAnswerDelay(platform::StoreStandinOptions().answer_delay);
        });
      case FaultKind::kStoreFromOlderCopy:
        return this->ReturnStoreFromCopy(fault);
      case FaultKind::kHistoryCompacted:
        return this->upstreams.Store().CompactHistory();
      case FaultKind::kEntryCutFromStore: {
        this->checker.MarkDisturbed(entry_vm, now, fault.duration);
        this->checker.OnEntryCut(entry_vm);
        FaultProxy& link = this->upstreams.StoreLink(entry);
        link.SetCondition(LinkCondition::kSilent);
        return this->RevertAfter(fault.duration, "store-link " + entry_vm,
                                 [&link] { link.SetCondition(LinkCondition::kHealthy); });
      }
      case FaultKind::kEntryStopped:
        return this->StopEntry(entry_vm);
      case FaultKind::kEntryKilled:
        this->checker.MarkDisturbed(entry_vm, now, {});
        return this->processes.Kill(entry_vm);
      case FaultKind::kEntryPaused:
        return this->PauseEntry(entry_vm, fault.duration);
      case FaultKind::kAgentKilled:
        return this->processes.Kill(agent_vm);
      case FaultKind::kAgentPaused:
        return this->processes.Pause(agent_vm, fault.duration);
      case FaultKind::kUpstreamCrashed:
        this->checker.MarkDisturbed(this->upstreams.UpstreamId(upstream), now, fault.duration);
        return this->upstreams.Crash(upstream, kUpstreamDowntime);
      case FaultKind::kUpstreamErrors:
        return this->ImpairUpstream(upstream, EngineFault::kErrors, fault.duration);
      case FaultKind::kUpstreamDropsAnswers:
        return this->ImpairUpstream(upstream, EngineFault::kDropsAnswers, fault.duration);
      case FaultKind::kUpstreamTruncatesAnswers:
        return this->ImpairUpstream(upstream, EngineFault::kTruncatesAnswers, fault.duration);
      case FaultKind::kUpstreamSilent:
        return this->ImpairUpstream(upstream, EngineFault::kSilent, fault.duration);
      case FaultKind::kUpstreamStrayAnswers:
        return this->ImpairUpstream(upstream, EngineFault::kStrayAnswers, fault.duration);
      case FaultKind::kEndlessAgentAnswers:
        return this->SendAgentsWithoutEnd(fault);
      case FaultKind::kUpstreamDrained:
        return this->upstreams.Drain(upstream, fault.duration);
      case FaultKind::kStagedChunkCorrupted:
        return this->upstreams.CorruptStagedChunk(engine, fault.target);
      case FaultKind::kLinkDelayed:
        return this->ImpairLink(upstream, LinkCondition::kDelayed, fault.duration);
      case FaultKind::kLinkReset:
        this->checker.MarkLinkDisturbed(this->upstreams.UpstreamId(upstream), now, {});
        return this->upstreams.Link(upstream).ResetAll();
      case FaultKind::kLinkSilent:
        return this->ImpairLink(upstream, LinkCondition::kSilent, fault.duration);
      case FaultKind::kLinkOneWay:
        return this->ImpairLink(upstream, LinkCondition::kOneWay, fault.duration);
      case FaultKind::kRouteChanged:
        return this->upstreams.SwitchRoutePool();
      case FaultKind::kWeightsPublished:
        this->last_publication = now;
        return this->upstreams.PublishWeights();
      case FaultKind::kBurst:
        this->callers.SetRate(this->options.requests_per_second * kBurstFactor);
        return this->RevertAfter(fault.duration, "rate", [this] {
          this->callers.SetRate(this->options.requests_per_second);
        });
      case FaultKind::kAllKilled:
        this->MarkEntriesDisturbed({});
        return this->processes.KillAll();
      case FaultKind::kEntryStoreLinkReset:
        this->checker.MarkDisturbed(entry_vm, now, fault.duration);
        return this->ResetStoreLink(entry, fault.duration);
      case FaultKind::kUpstreamLeft:
        return this->upstreams.Leave(upstream, fault.duration);
      case FaultKind::kUpstreamLeftAtReset:
        this->checker.MarkDisturbed(entry_vm, now, fault.duration);
        this->ResetStoreLink(entry, fault.duration);
        // One upstream leaves at the first reset, the next one at the second.
        this->loop.After(kLeaveAfterReset, [this, upstream, duration = fault.duration] {
          this->upstreams.Leave(upstream, duration);
        });
        this->loop.After(kStoreLinkResetPeriod + kLeaveAfterReset,
                         [this, next = (upstream + 1) % this->layout.UpstreamCount(),
                          duration = fault.duration] { this->upstreams.Leave(next, duration); });
        return;
      case FaultKind::kUpstreamSlow:
        return this->SlowUpstream(upstream, StartDelay(fault.duration), fault.duration);
      case FaultKind::kUpstreamAsksToWait:
        return this->upstreams.AskToWait(upstream, fault.duration);
      case FaultKind::kCrashingRequest:
        return this->callers.RepeatCrashing(CrashingBody(++this->crashing_requests),
                                            kCrashingRepeats, kCrashingPeriod);
      case FaultKind::kCrashingPart:
        return this->callers.SendCrashingPart(CrashingPart(++this->crashing_requests),
                                              kCrashingParts, kCrashingPartPeriod);
      case FaultKind::kConnectionsSilent:
        this->MarkEntriesDisturbed({});
        this->checker.MarkDisturbed("store", now, {});
        for (std::size_t i = 0; i < this->layout.UpstreamCount(); ++i) {
          this->checker.MarkLinkDisturbed(this->upstreams.UpstreamId(i), now, {});
        }
        return this->upstreams.SilenceConnections();
      case FaultKind::kWatchersKilled:
        this->KillWatchers();
        this->loop.After(kLeaveAfterKill, [this, upstream, duration = fault.duration] {
          this->upstreams.Leave(upstream, duration);
        });
        return;
      case FaultKind::kVersionsInARow:
        return this->PublishInARow(kVersionsInARow, entry_vm);
      case FaultKind::kOddRecord:
        return this->upstreams.WriteOddRecord(fault.target);
      case FaultKind::kPowerLost:
        this->MarkEntriesDisturbed({});
        for (std::size_t i = 0; i < this->layout.UpstreamCount(); ++i) {
          this->checker.MarkDisturbed(this->upstreams.UpstreamId(i), now, kUpstreamDowntime);
        }
        this->upstreams.LosePower(kUpstreamDowntime);
        return this->processes.KillAll();
      case FaultKind::kEntriesStoppedInTurn:
        return this->StopInTurn(fault);
      case FaultKind::kEntryReloaded:
        this->checker.OnEntryReloading(entry_vm, now);
        return this->processes.Reload(entry_vm);
      case FaultKind::kEntrySqueezed:
        return this->SqueezeEntry(entry_vm, fault.duration + kMinSqueeze);
      case FaultKind::kUpstreamSlowsDown:
        this->upstreams.SetPace(engine, kSlowPace);
        return this->RevertAfter(fault.duration, "pace " + std::to_string(engine),
                                 [this, engine] { this->upstreams.SetPace(engine, 1); });
      case FaultKind::kUpstreamFallsSilent:
        return this->upstreams.FallSilent(upstream, fault.duration + kMinSilence, false);
      case FaultKind::kUpstreamHangs:
        return this->upstreams.FallSilent(upstream, fault.duration + kMinSilence, true);
      case FaultKind::kEnginesFallSilent:
        return this->SilenceEngines(fault.target, fault.duration + kMinSilence);
      case FaultKind::kUpstreamBreaksOff:
        return this->upstreams.BreakOff(upstream);
      case FaultKind::kChunksCorrupted:
        return this->CorruptChunks(fault, false);
      case FaultKind::kChunksCorruptedAtEngines:
        return this->CorruptChunks(fault, true);
      case FaultKind::kWeightsPublishedChunkCorrupted:
        return this->PublishAndCorrupt(fault);
      case FaultKind::kAgentCallsSlow:
        return this->SlowAgentCalls(fault);
      case FaultKind::kEngineHangs:
        return this->HangEngine(engine, HangOf(fault));
      case FaultKind::kWeightsPublishedEngineHangs:
      case FaultKind::kWeightsPublishedAgentPaused:
      case FaultKind::kWeightsPublishedAgentKilled:
        return this->PublishAndActAtLoad(fault);
      case FaultKind::kVersionsQuickly:
        return this->PublishQuickly(kVersionsQuickly, Share(fault.duration, kQuickPeriodShare));
      case FaultKind::kWeightsPublishedEntryPaused:
        this->PauseEntry(entry_vm, fault.duration);
        return this->PublishWeightsLate();
      case FaultKind::kWeightsPublishedEngineSlow:
        this->loop.After(kSlowAfterPublication, [this, engine, duration = fault.duration] {
          this->SlowUpstream(engine, StartDelay(duration), kSlowTime);
        });
        return this->PublishWeightsLate();
      case FaultKind::kWeightsPublishedMachinesStandStill:
      case FaultKind::kWeightsPublishedAgentsStandStill:
        return this->PublishAndStandStill(fault);
    }
  }

  SoakOptions options;
  SoakLayout layout;
  ProcessGroup group;
  EventLoop loop;
  Checker checker;
  SoakUpstreams upstreams;
  SoakProcesses processes;
  SoakCallers callers;
  SoakResult result = {};
  std::map<std::string, int> fault_generations = {};
  int crashing_requests = 0;
  std::uint64_t corruptions = 0;
  std::set<std::string> over_memory = {};  // VMs whose process has used too much
  Instant last_publication = {};
  Instant late_publication = {};  // of weights that the origin lacks, before machines stand still
  Instant start_deadline = {};
  Instant evaluation_start = {};
};

}  // namespace

Result<SoakResult> RunSoak(const SoakOptions& options) { return SoakRun(options).Run(); }

}  // namespace savory
