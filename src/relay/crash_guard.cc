#include "relay/crash_guard.h"

#include <list>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/tcp_connection.h"

namespace savory {
namespace {

constexpr Duration kExpiryPeriod = std::chrono::seconds(1);
// Digits of a fingerprint in logs.
constexpr std::size_t kLoggedDigits = 16;

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
  RefusalListener on_refusal = {};
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
      const bool was_refused = this->registry.IsRefused(suspect.fingerprint, this->loop.Now());
      this->Handle(CrashRecordReceived{.record = suspect});
      if (!was_refused) this->ReportIfRefused(suspect.fingerprint);
    }
  }

  void ReportIfRefused(const Digest& request) {
    const Instant now = this->loop.Now();
    if (!this->registry.IsRefused(request, now)) return;
    const std::vector<CrashRecord> records = this->registry.RecordsOf(request, now);
    Log(LogLevel::kWarn, "request_refused_from_now",
        {{"fingerprint", request.Hex().substr(0, kLoggedDigits)},
         {"crashes", records.size()},
         {"for_ms", ToMillis(this->registry.RefusalEnd(request, now) - now)}});
    if (this->on_refusal) this->on_refusal(records);
  }

  void Handle(const CrashEvent& event) {
    for (const CrashAction& action : this->registry.Handle(event, this->loop.Now())) {
      if (this->on_forward) this->on_forward(std::get<CrashForward>(action));
    }
  }

  void ScheduleExpiry() {
    this->loop.After(kExpiryPeriod, this->Guarded([this] {
      this->detector.Expire(this->loop.Now());
      this->Handle(CrashTick{});
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
void CrashGuard::OnRefusal(RefusalListener listener) {
  this->impl->on_refusal = std::move(listener);
}

void CrashGuard::OnConnectionLost(const UpstreamProcess& process, const Digest& request,
                                  std::string_view request_id) {
  Impl& self = *this->impl;
  Log(LogLevel::kInfo, "request_suspected",
      {{"request", request_id},
       {"fingerprint", request.Hex().substr(0, kLoggedDigits)},
       {"upstream", process.id}});
  self.Execute(self.detector.OnConnectionLost(process, request, self.loop.Now()));
}

void CrashGuard::OnAnswered(std::string_view upstream, std::int64_t started_unix_ms) {
  if (this->impl->detector.HasSuspicion()) {
    this->impl->detector.OnAnswered(upstream, started_unix_ms);
  }
}

void CrashGuard::OnServed(const Digest& request) {
  this->impl->Handle(RequestServed{.fingerprint = request});
}

void CrashGuard::OnUpstreamListed(const UpstreamProcess& process) {
  Impl& self = *this->impl;
  if (self.detector.HasSuspicion()) self.Execute(self.detector.OnListed(process, self.loop.Now()));
}

bool CrashGuard::HasSuspects() const { return this->impl->registry.Fingerprints() > 0; }

bool CrashGuard::IsRefused(const Digest& request) const {
  return this->impl->registry.IsRefused(request, this->impl->loop.Now());
}

bool CrashGuard::IsSuspect(const Digest& request) const {
  return this->impl->registry.CrashesOf(request, this->impl->loop.Now()) > 0;
}

bool CrashGuard::IsStrongSuspect(const Digest& request) const {
  return this->impl->registry.CrashesOf(request, this->impl->loop.Now()) >=
         this->impl->options.registry.crash_threshold;
}

Duration CrashGuard::RefusedFor(const Digest& request) const {
  const Instant now = this->impl->loop.Now();
  return this->impl->registry.RefusalEnd(request, now) - now;
}

void CrashGuard::AddRecord(const CrashRecord& record) {
  this->impl->Handle(CrashRecordReceived{.record = record});
}

void CrashGuard::SetPeers(std::vector<std::string> peers) {
  this->impl->Handle(CrashPeersChanged{.peers = std::move(peers)});
}

void CrashGuard::OnPeerDigest(const std::string& peer, std::uint64_t digest) {
  this->impl->Handle(CrashDigestReceived{.peer = peer, .digest = digest});
}

std::uint64_t CrashGuard::SharedDigest() const {
  return this->impl->registry.SharedDigest(this->impl->loop.Now());
}

}  // namespace savory
