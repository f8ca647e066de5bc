#include "fleet/entry_links.h"

#include <algorithm>

#include "base/digest.h"
#include "base/log.h"
#include "base/metrics.h"
#include "fleet/agent_list.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
struct EntryLinks::Impl : GuardedCallbacks<EntryLinks::Impl> {
  struct Agent {
    std::string engine;        // IP:PORT of the agent's engine
    std::uint64_t digest = 0;  // of the agent list that the agent last reported
    // When this entry's list last changed or was last sent to the agent, whichever is later.
    Instant outdated_since = {};
  };

  EventLoop& loop;
  PeerTransport& transport;
  EntryLinksOptions options;
  Counter& reports;
  std::vector<AgentAddress> agents = {};
  std::uint64_t agents_digest = 0;
  std::map<std::string, Agent> agent_states = {};  // keyed by peer address
  std::optional<WeightsOrigin> origin = {};
  RolloutTarget target = {};
  std::map<std::string, Instant> entries = {};  // other entries: peer address -> last reported
  bool hello_scheduled = false;
  ReportListener on_report = {};
  EntriesListener on_entries_change = {};
  WantedSinceListener on_wanted_since = {};
  DemandListener on_demand = {};

  Impl(EventLoop& loop, PeerTransport& transport, Metrics& metrics, EntryLinksOptions given)
      : loop(loop),
        transport(transport),
        options(std::move(given)),
        reports(metrics.CounterFor("savory_engine_reports_total")) {}

  // ---- to agents ----

  wire::EntryHello MakeHello() const {
    wire::EntryHello hello;
    hello.set_region(this->options.region);
    if (this->origin) {
      hello.set_origin(this->origin->address);
      hello.set_origin_region(this->RegionOf(this->origin->data_centre));
      hello.set_origin_bytes_per_second(this->origin->bytes_per_second);
    }
    hello.set_model(this->target.model);
    hello.set_weights_version(this->target.version);
    if (this->target.wanted_since) {
      hello.set_wanted_since_known(true);
      hello.set_wanted_for_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
          ToMillis(this->loop.Now() - *this->target.wanted_since), 0, UINT32_MAX)));
    }
    hello.set_engines_lacking(this->target.engines_without_weights);
    hello.set_requests_resume(this->target.requests_resumable);
    hello.set_agents_digest(this->agents_digest);
    return hello;
  }

  void Send(const std::string& agent, wire::EntryHello hello) {
    wire::Envelope message;
    *message.mutable_entry_hello() = std::move(hello);
    this->transport.Send(agent, Lane::kControl, std::move(message));
  }

  void SendHelloToAll() {
    const wire::EntryHello hello = this->MakeHello();
    for (const auto& [peer, state] : this->agent_states) this->Send(peer, hello);
  }

  void ScheduleHello() {
    if (std::exchange(this->hello_scheduled, true)) return;
    this->loop.After(this->options.change_batch_delay, this->Guarded([this] {
      this->hello_scheduled = false;
      this->SendHelloToAll();
    }));
  }

  void SchedulePeriodicHello() {
    this->loop.After(this->options.hello_period, this->Guarded([this] {
      this->ExpireEntries();
      this->SendHelloToAll();
      this->SchedulePeriodicHello();
    }));
  }

  std::string RegionOf(const std::string& data_centre) const {
    const auto region = this->options.regions.find(data_centre);
    return region == this->options.regions.end() ? data_centre : region->second;
  }

  void SetAgents(const std::vector<Upstream>& engines) {
    std::map<std::string, Agent> next;
    std::vector<AgentAddress> list;
    for (const Upstream& engine : engines) {
      const std::string peer = WithPort(engine.address, this->options.agent_port);
      const auto known = this->agent_states.find(peer);
      Agent agent = known == this->agent_states.end() ? Agent() : known->second;
      agent.engine = engine.address;
      if (!next.emplace(peer, agent).second) continue;
      list.push_back({.peer = peer, .region = this->RegionOf(engine.data_centre)});
    }
    this->agent_states = std::move(next);
    const std::uint64_t digest = DigestOf(list);
    if (digest == this->agents_digest) return;
    this->agents = std::move(list);
    this->agents_digest = digest;
    const Instant now = this->loop.Now();
    for (auto& [peer, state] : this->agent_states) state.outdated_since = now;
    this->ScheduleHello();
  }

  // Whether this entry sends the list to `agent`: among the live entries, the one with the highest
  // rendezvous score does.
  bool IsResponsibleFor(const std::string& agent) const {
    const std::uint64_t own = RendezvousScore(agent, this->options.peer);
    return std::none_of(this->entries.begin(), this->entries.end(), [&](const auto& entry) {
      return RendezvousScore(agent, entry.first) > own;
    });
  }

  // Only one entry sends the list to an agent: long lists to many agents would saturate the links
  // between regions if every entry sent them.
  void SendListIfOutdated(const std::string& peer, Agent& agent) {
    if (agent.digest == this->agents_digest) return;
    const Instant now = this->loop.Now();
    const bool overdue = now - agent.outdated_since > this->options.list_takeover_delay;
    if (!overdue && !this->IsResponsibleFor(peer)) return;
    agent.outdated_since = now;
    wire::EntryHello hello = this->MakeHello();
    AppendAgents(this->agents, hello);
    this->Send(peer, std::move(hello));
  }

  // ---- from agents ----

  void NotifyWantedSince(std::uint64_t version, std::uint32_t for_ms) {
    if (version == 0 || !this->on_wanted_since) return;
    this->on_wanted_since(version, this->loop.Now() - std::chrono::milliseconds(for_ms));
  }

  void OnStatus(const std::string& from, const wire::EngineStatus& status) {
    this->reports.Add();
    for (const std::string& entry : status.entries()) this->MarkEntryLive(entry);
    this->NotifyWantedSince(status.wanted_version(), status.wanted_for_ms());
    this->NotifyWantedSince(status.earlier_version(), status.earlier_for_ms());
    const auto found = this->agent_states.find(from);
    if (found == this->agent_states.end()) return;
    found->second.digest = status.agents_digest();
    this->SendListIfOutdated(from, found->second);
    if (!this->on_report) return;
    this->on_report(EngineReport{
        .address = found->second.engine,
        .load = {.running = status.running(), .waiting = status.waiting(), .slots = status.slots()},
        .reachable = !status.unreachable(),
        .accepting = !status.refusing(),
        .weights_version = status.weights_version(),
        .pace = status.pace(),
        .kv_used = status.kv_used()});
  }

  void MarkEntryLive(const std::string& entry) {
    if (entry == this->options.peer) return;
    const bool is_new = !this->entries.contains(entry);
    this->entries[entry] = this->loop.Now();
    if (is_new) this->NotifyEntriesChange("joined", entry);
  }

  void ExpireEntries() {
    const Instant oldest_report = this->loop.Now() - this->options.entry_lifetime;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
      if (entry->second >= oldest_report) {
        ++entry;
        continue;
      }
      const std::string gone = entry->first;
      entry = this->entries.erase(entry);
      this->NotifyEntriesChange("gone", gone);
    }
  }

  void NotifyEntriesChange(std::string_view change, const std::string& entry) {
    Log(LogLevel::kInfo, "entries_changed",
        {{"change", change}, {"entry", entry}, {"others", this->entries.size()}});
    if (this->on_entries_change) this->on_entries_change(this->OtherEntries());
  }

  // Peer addresses of the other live entries and of the seeds, which may be entries.
  std::vector<std::string> OtherEntries() const {
    std::vector<std::string> peers;
    for (const auto& [peer, last_heard] : this->entries) peers.push_back(peer);
    for (const std::string& seed : this->options.seeds) {
      if (seed != this->options.peer && !this->entries.contains(seed)) peers.push_back(seed);
    }
    return peers;
  }
};

EntryLinks::EntryLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics,
                       EntryLinksOptions options)
    : impl(std::make_shared<Impl>(loop, peers, metrics, std::move(options))) {}
EntryLinks::~EntryLinks() = default;

void EntryLinks::OnReport(ReportListener listener) { this->impl->on_report = std::move(listener); }
void EntryLinks::OnEntriesChange(EntriesListener listener) {
  this->impl->on_entries_change = std::move(listener);
}
void EntryLinks::OnWantedSinceReport(WantedSinceListener listener) {
  this->impl->on_wanted_since = std::move(listener);
}
void EntryLinks::OnDemand(DemandListener listener) { this->impl->on_demand = std::move(listener); }

void EntryLinks::Start() {
  Impl& self = *this->impl;
  self.transport.Subscribe(wire::Envelope::kEngineStatus,
                           self.Guarded([&self](const wire::Envelope& message, auto) {
                             self.OnStatus(message.from_peer(), message.engine_status());
                           }));
  self.transport.Subscribe(wire::Envelope::kEntryDemand,
                           self.Guarded([&self](const wire::Envelope& message, auto) {
                             if (!self.on_demand) return;
                             const wire::EntryDemand& demand = message.entry_demand();
                             self.on_demand({.entry = message.from_peer(),
                                             .data_centre = demand.data_centre(),
                                             .requests_per_second = demand.requests_per_second()});
                           }));
  self.SchedulePeriodicHello();
}

void EntryLinks::SetEngines(const std::vector<Upstream>& engines) {
  this->impl->SetAgents(engines);
}

void EntryLinks::SetOrigin(const std::optional<WeightsOrigin>& origin) {
  const bool changed = origin.has_value() != this->impl->origin.has_value() ||
                       (origin && origin->address != this->impl->origin->address);
  this->impl->origin = origin;
  if (changed) this->impl->ScheduleHello();
}

void EntryLinks::SetTarget(const RolloutTarget& target) {
  const RolloutTarget before = std::exchange(this->impl->target, target);
  if (target.version != before.version || target.model != before.model) {
    this->impl->SendHelloToAll();
  } else if (target.engines_without_weights != before.engines_without_weights ||
             target.requests_resumable != before.requests_resumable) {
    this->impl->ScheduleHello();
  }
}

std::vector<std::string> EntryLinks::LiveEntries() const {
  std::vector<std::string> live;
  for (const auto& [peer, last_heard] : this->impl->entries) live.push_back(peer);
  return live;
}

void EntryLinks::SendDemand(const std::string& data_centre, double requests_per_second) {
  wire::Envelope message;
  message.mutable_entry_demand()->set_data_centre(data_centre);
  message.mutable_entry_demand()->set_requests_per_second(requests_per_second);
  for (const std::string& peer : this->impl->OtherEntries()) {
    this->impl->transport.Send(peer, Lane::kControl, message);
  }
}

}  // namespace savory
