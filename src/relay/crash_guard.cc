#include "relay/crash_guard.h"

#include <list>
#include <map>
#include <unordered_map>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "crashes/prompt_parts.h"
#include "crashes/refusal_report.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/tcp_connection.h"

namespace savory {
namespace {

constexpr Duration kExpiryPeriod = std::chrono::seconds(1);
// Digits of a fingerprint in logs.
constexpr std::size_t kLoggedDigits = 16;
// Sources of what the registry learns, as logged.
constexpr std::string_view kDetectedHere = "this entry";
constexpr std::string_view kFromEntry = "another entry";
constexpr std::string_view kFromStore = "store";
constexpr std::string_view kAnswer = "answer";
constexpr std::string_view kOperator = "operator";
constexpr std::string_view kTime = "time";

std::string_view ProbeResultName(ProbeResult result) {
  switch (result) {
    case ProbeResult::kRefused:
      return "refused";
    case ProbeResult::kAccepted:
      return "accepted";
    case ProbeResult::kUndecided:
      return "undecided";
  }
  return "unknown";
}

// Connects once and sends nothing.
class ConnectionProbe : public TcpHandler {
 public:
  ConnectionProbe(EventLoop& loop, const std::string& address, Duration timeout,
                  std::function<void(ProbeResult)> done)
      : done(std::move(done)), tcp(loop, address, *this, {.connect_timeout = timeout}) {}

  void OnConnected() override { this->End(ProbeResult::kAccepted); }
  void OnBytes(std::span<const std::byte>) override {}
  void OnEnd(TcpEnd end) override {
    this->End(end == TcpEnd::kRefused ? ProbeResult::kRefused : ProbeResult::kUndecided);
  }

 private:
  void End(ProbeResult result) {
    if (const auto call = std::exchange(this->done, nullptr)) call(result);
  }

  std::function<void(ProbeResult)> done;
  TcpConnection tcp;
};

}  // namespace

struct CrashGuard::Impl : GuardedCallbacks<CrashGuard::Impl> {
  EventLoop& loop;
  Metrics& metrics;
  CrashGuardOptions options;
  CrashRegistry registry;
  UpstreamEndDetector detector;
  ForwardListener on_forward = {};
  SaveListener on_save = {};
  ChangeListener on_refusal = {};
  std::map<std::vector<Digest>, CrashRefusal> reported = {};  // refusals as last logged
  bool report_scheduled = false;
  std::string_view report_source = {};
  std::unordered_map<Digest, std::string> part_ids = {};
  std::list<std::unique_ptr<ConnectionProbe>> probes = {};

  Impl(EventLoop& loop, Metrics& metrics, Random& random, CrashGuardOptions given)
      : loop(loop),
        metrics(metrics),
        options(std::move(given)),
        registry(this->options.registry, random),
        detector(this->options.detector) {}

  void Execute(std::span<const UpstreamEndAction> actions) {
    for (const UpstreamEndAction& action : actions) {
      std::visit([this](const auto& item) { this->Execute(item); }, action);
    }
  }

  void Execute(const ProbeUpstreamProcess& action) {
    this->loop.After(this->options.probe_delay,
                     this->Guarded([this, process = action.process] { this->Probe(process); }));
  }

  void Probe(const UpstreamProcess& process) {
    const auto probe = this->probes.insert(this->probes.end(), nullptr);
    *probe = std::make_unique<ConnectionProbe>(
        this->loop, process.address, this->options.probe_timeout,
        this->Guarded([this, probe, process](ProbeResult result) {
          this->OnProbed(process, result);
          // Destroyed later: this code runs inside a callback of the connection.
          this->loop.After(Duration(0),
                           this->Guarded([this, probe] { this->probes.erase(probe); }));
        }));
  }

  void OnProbed(const UpstreamProcess& process, ProbeResult result) {
    Log(LogLevel::kInfo, "upstream_probed",
        {{"upstream", process.id},
         {"address", process.address},
         {"result", ProbeResultName(result)}});
    this->Execute(this->detector.OnProbed(process, result, this->loop.Now()));
  }

  void Execute(const UpstreamEnded& ended) {
    Log(LogLevel::kWarn, "upstream_ended",
        {{"upstream", ended.process.id},
         {"evidence", ended.evidence},
         {"suspects", ended.suspects.size()}});
    this->metrics.CounterFor("savory_upstream_ends_total").Add();
    for (const CrashRecord& suspect : ended.suspects) {
      this->Handle(CrashRecordReceived{.record = suspect}, kDetectedHere);
    }
  }

  // `source`: who reported the event.
  void Handle(const CrashEvent& event, std::string_view source) {
    const std::uint64_t updates = this->registry.CauseUpdates();
    for (const CrashAction& action : this->registry.Handle(event, this->loop.Now())) {
      if (this->on_forward) this->on_forward(std::get<CrashForward>(action));
    }
    const bool may_differ = updates != this->registry.CauseUpdates() || source == kTime;
    if (may_differ) this->ScheduleReport(source);
  }

  // The records of one end arrive one after another; those of its first requests alone would seem
  // to prove other causes than all of them.
  void ScheduleReport(std::string_view source) {
    if (source == kDetectedHere || source == kOperator) this->report_source = source;
    if (std::exchange(this->report_scheduled, true)) return;
    if (source != kDetectedHere) this->report_source = source;
    this->loop.After(this->options.report_delay, this->Guarded([this] {
      this->report_scheduled = false;
      this->ReportChanges(this->report_source);
    }));
  }

  void ReportChanges(std::string_view source) {
    std::map<std::vector<Digest>, CrashRefusal> current;
    for (CrashRefusal& refusal : this->registry.Refusals(this->loop.Now())) {
      current.emplace(refusal.cause.all_of, std::move(refusal));
    }
    const auto before = std::exchange(this->reported, std::move(current));
    bool is_new = false;
    for (const auto& [digests, refusal] : this->reported) {
      if (before.contains(digests)) continue;
      is_new = true;
      this->ReportRefusal(refusal, source);
    }
    for (const auto& [digests, refusal] : before) {
      if (this->reported.contains(digests)) continue;
      Log(LogLevel::kInfo, "request_accepted_again",
          {{"cause", CauseName(refusal.cause)}, {"source", source}});
    }
    if (is_new && this->on_refusal) this->on_refusal();
  }

  void ReportRefusal(const CrashRefusal& refusal, std::string_view source) {
    const CrashCause& cause = refusal.cause;
    const Instant now = this->loop.Now();
    const std::vector<CrashRecord> evidence = this->registry.Evidence(cause, now);
    std::string upstreams;
    for (const CrashRecord& record : evidence) {
      upstreams += (upstreams.empty() ? "" : ",") + record.upstream;
    }
    Log(LogLevel::kWarn, "request_refused_from_now",
        {{"cause", CauseName(cause)},
         {"parts", this->PartIds(cause)},
         {"crashes", cause.crashes.size()},
         {"upstreams", upstreams},
         {"source", source},
         {"for_ms", ToMillis(refusal.end - now)}});
    this->metrics.CounterFor("savory_crash_refusals_total").Add();
    const bool detected_here = source == kDetectedHere;
    const bool from_store = source == kFromStore;
    if (from_store || !(detected_here || this->registry.RanksFirst(cause))) return;
    if (this->on_save) this->on_save(cause, evidence);
  }

  std::string PartIds(const CrashCause& cause) const {
    std::string ids;
    for (const Digest& digest : cause.all_of) {
      const auto known = this->part_ids.find(digest);
      if (known != this->part_ids.end()) ids += (ids.empty() ? "" : ",") + known->second;
    }
    return ids;
  }

  void RememberPartIds(std::span<const std::string> ids) {
    for (const std::string& id : ids) {
      if (this->part_ids.size() >= this->options.max_part_ids) this->part_ids.clear();
      this->part_ids.emplace(PromptPartDigest(id), id);
    }
  }

  void ScheduleExpiry() {
    this->loop.After(kExpiryPeriod, this->Guarded([this] {
      this->detector.Expire(this->loop.Now());
      this->Handle(CrashTick{}, kTime);
      this->ScheduleExpiry();
    }));
  }
};

CrashGuard::CrashGuard(EventLoop& loop, Metrics& metrics, Random& random, CrashGuardOptions options)
    : impl(std::make_shared<Impl>(loop, metrics, random, std::move(options))) {
  this->impl->ScheduleExpiry();
}
CrashGuard::~CrashGuard() = default;

void CrashGuard::OnForward(ForwardListener listener) {
  this->impl->on_forward = std::move(listener);
}
void CrashGuard::OnSave(SaveListener listener) { this->impl->on_save = std::move(listener); }
void CrashGuard::OnRefusal(ChangeListener listener) {
  this->impl->on_refusal = std::move(listener);
}

void CrashGuard::OnArrived(std::span<const Digest> parts) {
  this->impl->registry.CountRequest(parts);
}

void CrashGuard::OnConnectionLost(const UpstreamProcess& process, const CrashSuspect& request,
                                  std::string_view request_id,
                                  std::span<const std::string> part_ids, bool was_replaced) {
  Impl& self = *this->impl;
  Log(LogLevel::kInfo, "request_suspected",
      {{"request", request_id},
       {"fingerprint", request.fingerprint.Hex().substr(0, kLoggedDigits)},
       {"parts", request.parts.size()},
       {"upstream", process.id}});
  self.RememberPartIds(part_ids);
  const Instant now = self.loop.Now();
  self.Execute(was_replaced ? self.detector.OnLostAfterEnd(process, request, now)
                            : self.detector.OnConnectionLost(process, request, now));
}

void CrashGuard::OnAnswered(std::string_view upstream, std::int64_t started_unix_ms) {
  if (this->impl->detector.HasSuspicion()) {
    this->impl->detector.OnAnswered(upstream, started_unix_ms);
  }
}

void CrashGuard::OnServed(const CrashSuspect& request) {
  this->impl->Handle(RequestServed{.fingerprint = request.fingerprint, .parts = request.parts},
                     kAnswer);
}

void CrashGuard::OnUpstreamListed(const UpstreamProcess& process) {
  Impl& self = *this->impl;
  if (self.detector.HasSuspicion()) self.Execute(self.detector.OnListed(process, self.loop.Now()));
}

bool CrashGuard::HasSuspects() const { return this->impl->registry.Fingerprints() > 0; }

bool CrashGuard::IsRefused(const CrashSuspect& request) const {
  return this->impl->registry.IsRefused(request, this->impl->loop.Now());
}

std::optional<CrashRefusal> CrashGuard::RefusalOf(const CrashSuspect& request) const {
  return this->impl->registry.RefusalOf(request, this->impl->loop.Now());
}

bool CrashGuard::IsSuspect(const CrashSuspect& request) const {
  return this->impl->registry.IsSuspect(request, this->impl->loop.Now());
}

std::vector<Digest> CrashGuard::StrongSuspicions(const CrashSuspect& request) const {
  return this->impl->registry.StrongSuspicions(request);
}

std::string CrashGuard::RenderRefusals() const {
  const Impl& self = *this->impl;
  return savory::RenderRefusals(
      self.registry, [&self](const CrashCause& cause) { return self.PartIds(cause); },
      self.loop.Now());
}

std::string CrashGuard::PartIds(const CrashCause& cause) const {
  return this->impl->PartIds(cause);
}

bool CrashGuard::Lift(std::string_view cause_name) {
  Impl& self = *this->impl;
  const auto refusal = FindRefusal(self.registry, cause_name, self.loop.Now());
  if (!refusal) return false;
  self.Handle(RefusalLifted{.all_of = refusal->cause.all_of}, kOperator);
  std::vector<CrashRecord> cleared;
  for (const Digest& digest : refusal->cause.all_of) {
    cleared.push_back({.fingerprint = digest, .served = true});
  }
  if (self.on_save) self.on_save(refusal->cause, cleared);
  return true;
}

void CrashGuard::AddRecord(const CrashRecord& record) {
  const bool from_store = record.hops == 0;
  this->impl->Handle(CrashRecordReceived{.record = record}, from_store ? kFromStore : kFromEntry);
}

void CrashGuard::SetPeers(std::vector<std::string> peers) {
  this->impl->Handle(CrashPeersChanged{.peers = std::move(peers)}, kFromEntry);
}

void CrashGuard::OnPeerDigest(const std::string& peer, std::uint64_t digest) {
  this->impl->Handle(CrashDigestReceived{.peer = peer, .digest = digest}, kFromEntry);
}

std::uint64_t CrashGuard::SharedDigest() const {
  return this->impl->registry.SharedDigest(this->impl->loop.Now());
}

}  // namespace savory
