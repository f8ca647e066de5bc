#include "fleet/entry_links.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "base/metrics.h"
#include "fleet/agent_list.h"
#include "fleet/demand_codec.h"
#include "fleet/version_messages.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

// What is due for longer than this shows that the process or its machine stood still.
constexpr Duration kStandStill = std::chrono::milliseconds(500);
// What arrived meanwhile is read within this time.
constexpr Duration kReadFirst = std::chrono::milliseconds(20);

}  // namespace

struct EntryLinks::Impl : GuardedCallbacks<EntryLinks::Impl> {
  struct Agent {
    std::string engine;        // IP:PORT of the agent's engine
    std::string pool = {};     // of the engine
    std::uint64_t digest = 0;  // of the agent list that the agent last reported
    // When this entry's list last changed or was last sent to the agent, whichever is later.
    Instant outdated_since = {};
    // Version with which the engine accepted requests, in the last status; 0: it did not.
    std::uint64_t vouched_weights = 0;
  };

  EventLoop& loop;
  PeerTransport& transport;
  EntryLinksOptions options;
  Counter& reports;
  Counter& statuses;
  EntryPresence presence;
  std::vector<AgentAddress> agents = {};
  std::uint64_t agents_digest = 0;
  std::map<std::string, Agent> agent_states = {};  // keyed by peer address
  std::optional<WeightsOrigin> origin = {};
  std::map<std::string, RolloutTarget> targets = {};  // by pool
  EntryDemand demand = {};
  bool hello_scheduled = false;
  bool left = false;
  std::vector<std::string> last_contacts = {};  // agents, after this entry has left
  EventLoop::TimerId timer = 0;
  Instant timer_due = {};
  Instant read_until = {};  // after a stand-still
  ReportListener on_report = {};
  AvailabilityListener on_availability = {};
  EntriesListener on_entries_change = {};
  WantedSinceListener on_wanted_since = {};
  FoundVersionListener on_found_version = {};
  DemandListener on_demand = {};
  CrashesDigestSource crashes_digest = {};
  CrashesDigestListener on_crashes_digest = {};

  Impl(EventLoop& loop, PeerTransport& transport, Metrics& metrics, EntryLinksOptions given)
      : loop(loop),
        transport(transport),
        options(std::move(given)),
        reports(metrics.CounterFor("savory_engine_reports_total")),
        statuses(metrics.CounterFor("savory_entry_statuses_total")),
        presence(this->options.presence) {}

  // ---- presence ----

  // Performs what is due and sets the timer for what is due next.
  void Advance() {
    if (this->left || this->MustReadFirst()) return;
    this->Execute(this->presence.Advance(this->loop.Now()));
    const Instant due = std::max(this->presence.NextDue(), this->loop.Now());
    if (this->timer == 0 || this->timer_due > due) this->SetTimer(due);
  }

  void SetTimer(Instant due) {
    if (this->timer != 0) this->loop.Cancel(this->timer);
    this->timer_due = due;
    this->timer = this->loop.After(due - this->loop.Now(), this->Guarded([this] {
      this->timer = 0;
      this->Advance();
    }));
  }

  // After a stand-still, what others said meanwhile counts before their silence, and the last word
  // of each before its earlier ones.
  bool MustReadFirst() {
    const Instant now = this->loop.Now();
    const bool was_waiting = this->timer_due == this->read_until;
    if (!was_waiting && now - this->timer_due > kStandStill) {
      this->read_until = now + kReadFirst;
      this->SetTimer(this->read_until);
    }
    return now < this->read_until;
  }

  void Execute(std::span<const PresenceAction> actions) {
    for (const PresenceAction& action : actions) {
      std::visit([this](const auto& item) { this->Execute(item); }, action);
    }
  }

  void Execute(const GreetAgent& action) {
    wire::EntryHello hello = this->MakeHello(action.agent);
    hello.set_follows_load(action.follows_load);
    this->Send(action.agent, std::move(hello));
  }

  void Execute(const LeaveAgent& action) {
    wire::EntryHello hello;
    hello.set_leaves(true);
    this->Send(action.agent, std::move(hello));
  }

  void Execute(const SendEntryStatus& action) {
    wire::Envelope message;
    wire::EntryStatus& status = *message.mutable_entry_status();
    status.set_data_centre(this->demand.data_centre);
    status.set_requests_per_second(this->demand.requests_per_second);
    WritePools(this->demand.pools, status);
    status.set_period_ms(static_cast<std::uint32_t>(ToMillis(action.status.period)));
    status.set_leaving(action.status.leaving);
    if (this->crashes_digest) status.set_crashes_digest(this->crashes_digest());
    status.set_reply_wanted(action.status.reply_wanted);
    status.set_entries_known(static_cast<std::uint32_t>(action.status.entries_known));
    for (const std::string& entry : action.status.entries) {
      if (const auto ip = Ipv4Of(entry)) status.add_entry_ips(*ip);
    }
    for (const EngineAvailability& engine : action.status.engines) {
      const std::optional<std::uint32_t> ip = Ipv4Of(engine.address);
      if (!ip) continue;
      wire::EngineAvailability& row = *status.add_engines();
      row.set_ip(*ip);
      row.set_unreachable(!engine.reachable);
      row.set_refusing(!engine.accepting);
      row.set_weights_version(engine.weights_version);
    }
    this->transport.Send(action.entry, Lane::kControl, std::move(message));
  }

  void Execute(const LiveEntriesChanged& change) {
    Log(LogLevel::kInfo, "entries_changed",
        {{"change", change.joined ? "joined" : "gone"},
         {"entry", change.entry},
         {"others", this->presence.LiveEntries().size()}});
    if (this->on_entries_change) this->on_entries_change(this->presence.LiveEntriesAndSeeds());
  }

  // ---- to agents ----

  RolloutTarget TargetOf(const std::string& peer) const {
    const auto agent = this->agent_states.find(peer);
    if (agent == this->agent_states.end()) return {};
    const auto target = this->targets.find(agent->second.pool);
    return target == this->targets.end() ? RolloutTarget() : target->second;
  }

  wire::EntryHello MakeHello(const std::string& peer) const {
    const RolloutTarget target = this->TargetOf(peer);
    wire::EntryHello hello;
    hello.set_region(this->options.region);
    if (this->origin) {
      hello.set_origin(this->origin->address);
      hello.set_origin_region(this->RegionOf(this->origin->data_centre));
      hello.set_origin_bytes_per_second(this->origin->bytes_per_second);
    }
    hello.set_model(target.model);
    hello.set_weights_version(target.version);
    hello.set_newest_wanted(target.newest_wanted);
    if (target.wanted_since) {
      hello.set_wanted_since_known(true);
      hello.set_wanted_for_ms(AgeInMillis(*target.wanted_since, this->loop.Now()));
    }
    AppendEarlierVersions(target.history, target.version, this->loop.Now(),
                          *hello.mutable_earlier());
    hello.set_engines_lacking(target.engines_without_weights);
    hello.set_requests_resume(target.requests_resumable);
    hello.set_agents_digest(this->agents_digest);
    const auto agent = this->agent_states.find(peer);
    if (agent != this->agent_states.end()) {
      hello.set_vouched_weights(agent->second.vouched_weights);
    }
    return hello;
  }

  void Send(const std::string& agent, wire::EntryHello hello) {
    wire::Envelope message;
    *message.mutable_entry_hello() = std::move(hello);
    this->transport.Send(agent, Lane::kControl, std::move(message));
  }

  void SendHelloToAll() {
    if (!this->left) this->Execute(this->presence.GreetAll());
  }

  void ScheduleHello() {
    if (std::exchange(this->hello_scheduled, true)) return;
    this->loop.After(this->options.change_batch_delay, this->Guarded([this] {
      this->hello_scheduled = false;
      this->SendHelloToAll();
    }));
  }

  std::string RegionOf(const std::string& data_centre) const {
    const auto region = this->options.regions.find(data_centre);
    return region == this->options.regions.end() ? data_centre : region->second;
  }

  void SetAgents(const std::vector<Upstream>& engines) {
    std::map<std::string, Agent> next;
    std::map<std::string, std::string> engine_by_agent;
    std::vector<AgentAddress> list;
    for (const Upstream& engine : engines) {
      const std::string peer = WithPort(engine.address, this->options.peer_port);
      const auto known = this->agent_states.find(peer);
      Agent agent = known == this->agent_states.end() ? Agent() : known->second;
      agent.engine = engine.address;
      agent.pool = engine.pool;
      if (!next.emplace(peer, agent).second) continue;
      engine_by_agent.emplace(peer, engine.address);
      list.push_back({.peer = peer, .region = this->RegionOf(engine.data_centre)});
    }
    this->agent_states = std::move(next);
    const std::uint64_t digest = DigestOf(list);
    if (digest == this->agents_digest) return;
    this->agents = std::move(list);
    this->agents_digest = digest;
    const Instant now = this->loop.Now();
    for (auto& [peer, state] : this->agent_states) state.outdated_since = now;
    this->presence.SetAgents(engine_by_agent);
    this->Advance();
    this->ScheduleHello();
  }

  // Only one entry sends the list to an agent: long lists to many agents would saturate the links
  // between regions if every entry sent them.
  void SendListIfOutdated(const std::string& peer, Agent& agent) {
    if (agent.digest == this->agents_digest) return;
    const Instant now = this->loop.Now();
    const bool overdue = now - agent.outdated_since > this->options.list_takeover_delay;
    if (!overdue && !this->presence.IsFirstResponsible(peer)) return;
    agent.outdated_since = now;
    wire::EntryHello hello = this->MakeHello(peer);
    hello.set_follows_load(this->presence.FollowsLoad(peer));
    AppendAgents(this->agents, hello);
    this->Send(peer, std::move(hello));
  }

  // Takes leave of the other entries. The requests in progress still need to know which engines
  // serve.
  void Leave() {
    if (std::exchange(this->left, true)) return;
    for (const PresenceAction& action : this->presence.Leave(this->loop.Now())) {
      if (const auto* agent = std::get_if<LeaveAgent>(&action)) {
        this->last_contacts.push_back(agent->agent);
      } else {
        std::visit([this](const auto& item) { this->Execute(item); }, action);
      }
    }
    this->AddOtherAgents();
    this->KeepInTouch();
  }

  // What the other entries passed on of further engines comes no more. In a large fleet there are
  // enough engines without them.
  void AddOtherAgents() {
    const std::set<std::string> known(this->last_contacts.begin(), this->last_contacts.end());
    for (const auto& [peer, agent] : this->agent_states) {
      if (this->last_contacts.size() >= this->options.presence.initial_contacts) return;
      if (!known.contains(peer)) this->last_contacts.push_back(peer);
    }
  }

  // Asks the agents for statuses without their load.
  void KeepInTouch() {
    for (const std::string& agent : this->last_contacts) this->Execute(GreetAgent{.agent = agent});
    this->loop.After(this->options.presence.hello_period,
                     this->Guarded([this] { this->KeepInTouch(); }));
  }

  // ---- from agents ----

  void NotifyWantedSince(const std::string& agent, const wire::EngineStatus& status) {
    const std::string model = this->TargetOf(agent).model;
    if (model.empty() || !this->on_wanted_since) return;
    const Instant now = this->loop.Now();
    for (const wire::EarlierVersion& row : status.earlier()) {
      this->on_wanted_since(model, TimeOf(row, now));
    }
    if (status.wanted_version() == 0) return;
    this->on_wanted_since(model,
                          {.version = status.wanted_version(),
                           .since = now - std::chrono::milliseconds(status.wanted_for_ms())});
  }

  void OnAgentStatus(const std::string& from, const wire::EngineStatus& status) {
    this->reports.Add();
    this->NotifyWantedSince(from, status);
    if (status.found_version() > 0 && this->on_found_version) {
      this->on_found_version(status.found_model(), status.found_version());
    }
    const auto found = this->agent_states.find(from);
    const std::string engine = found == this->agent_states.end() ? "" : found->second.engine;
    const std::vector<std::string> entries(status.entries().begin(), status.entries().end());
    const EngineAvailability availability{.address = engine,
                                          .reachable = !status.unreachable(),
                                          .accepting = !status.refusing(),
                                          .weights_version = status.weights_version()};
    this->presence.OnAgentStatus(from, availability, entries, this->loop.Now());
    this->Advance();
    if (found == this->agent_states.end()) return;
    found->second.digest = status.agents_digest();
    if (!status.unreachable()) {
      found->second.vouched_weights = status.refusing() ? 0 : status.weights_version();
    }
    if (!this->left) this->SendListIfOutdated(from, found->second);
    if (!this->on_report) return;
    this->on_report(EngineReport{
        .address = engine,
        .load = {.running = status.running(), .waiting = status.waiting(), .slots = status.slots()},
        .load_known = !status.load_unknown(),
        .reachable = availability.reachable,
        .accepting = availability.accepting,
        .weights_version = status.weights_version(),
        .pace = status.pace(),
        .kv_used = status.kv_used(),
        .followers = status.followers()});
  }

  // ---- from entries ----

  void OnEntryStatus(const std::string& from, const wire::EntryStatus& status) {
    if (this->left) return;
    this->statuses.Add();
    EntryStatusReport report{
        .period = std::clamp<Duration>(std::chrono::milliseconds(status.period_ms()),
                                       this->options.presence.status_period,
                                       this->options.presence.max_status_period),
        .entries_known = status.entries_known(),
        .leaving = status.leaving(),
        .reply_wanted = status.reply_wanted()};
    for (const std::uint32_t ip : status.entry_ips()) {
      report.entries.push_back(AddressOf(ip, this->options.peer_port));
    }
    this->Execute(this->presence.OnEntryStatus(from, report, this->loop.Now()));
    this->Advance();
    if (status.leaving()) return;
    if (this->on_crashes_digest) this->on_crashes_digest(from, status.crashes_digest());
    if (this->on_demand) {
      this->on_demand({.entry = from,
                       .data_centre = status.data_centre(),
                       .requests_per_second = status.requests_per_second(),
                       .pools = ReadPools(status)},
                      report.period);
    }
    if (!this->on_availability) return;
    for (const wire::EngineAvailability& row : status.engines()) {
      const std::string peer = AddressOf(row.ip(), this->options.peer_port);
      const auto agent = this->agent_states.find(peer);
      if (agent == this->agent_states.end()) continue;
      this->on_availability({.address = agent->second.engine,
                             .reachable = !row.unreachable(),
                             .accepting = !row.refusing(),
                             .weights_version = row.weights_version()});
    }
  }
};

EntryLinks::EntryLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics,
                       EntryLinksOptions options)
    : impl(std::make_shared<Impl>(loop, peers, metrics, std::move(options))) {}
EntryLinks::~EntryLinks() = default;

void EntryLinks::OnReport(ReportListener listener) { this->impl->on_report = std::move(listener); }
void EntryLinks::OnAvailability(AvailabilityListener listener) {
  this->impl->on_availability = std::move(listener);
}
void EntryLinks::OnEntriesChange(EntriesListener listener) {
  this->impl->on_entries_change = std::move(listener);
}
void EntryLinks::OnWantedSinceReport(WantedSinceListener listener) {
  this->impl->on_wanted_since = std::move(listener);
}
void EntryLinks::OnFoundVersion(FoundVersionListener listener) {
  this->impl->on_found_version = std::move(listener);
}
void EntryLinks::OnDemand(DemandListener listener) { this->impl->on_demand = std::move(listener); }
void EntryLinks::SetCrashesDigestSource(CrashesDigestSource source) {
  this->impl->crashes_digest = std::move(source);
}
void EntryLinks::OnCrashesDigest(CrashesDigestListener listener) {
  this->impl->on_crashes_digest = std::move(listener);
}

void EntryLinks::Start() {
  Impl& self = *this->impl;
  self.transport.Subscribe(wire::Envelope::kEngineStatus,
                           self.Guarded([&self](const wire::Envelope& message, auto) {
                             self.OnAgentStatus(message.from_peer(), message.engine_status());
                           }));
  self.transport.Subscribe(wire::Envelope::kEntryStatus,
                           self.Guarded([&self](const wire::Envelope& message, auto) {
                             self.OnEntryStatus(message.from_peer(), message.entry_status());
                           }));
  self.Advance();
}

void EntryLinks::Leave() { this->impl->Leave(); }

void EntryLinks::SetEngines(const std::vector<Upstream>& engines) {
  this->impl->SetAgents(engines);
}

void EntryLinks::SetFollowedEngines(std::span<const std::string> addresses) {
  this->impl->presence.SetFollowedEngines(addresses, this->impl->loop.Now());
  this->impl->Advance();
}

void EntryLinks::SetOrigin(const std::optional<WeightsOrigin>& origin) {
  const bool changed = origin.has_value() != this->impl->origin.has_value() ||
                       (origin && origin->address != this->impl->origin->address);
  this->impl->origin = origin;
  if (changed) this->impl->ScheduleHello();
}

void EntryLinks::SetTarget(const std::string& pool, const RolloutTarget& target) {
  const RolloutTarget before = std::exchange(this->impl->targets[pool], target);
  const bool corrected =
      target.wanted_since && before.wanted_since &&
      *before.wanted_since - *target.wanted_since >= this->impl->options.min_time_correction;
  if (target.version != before.version || target.model != before.model ||
      target.newest_wanted != before.newest_wanted) {
    this->impl->SendHelloToAll();
  } else if (target.engines_without_weights != before.engines_without_weights ||
             target.requests_resumable != before.requests_resumable || corrected) {
    this->impl->ScheduleHello();
  }
}

std::vector<std::string> EntryLinks::LiveEntries() const {
  return this->impl->presence.LiveEntries();
}

Duration EntryLinks::StatusPeriod() const { return this->impl->presence.StatusPeriod(); }

void EntryLinks::SetDemand(EntryDemand demand, bool changed) {
  Impl& self = *this->impl;
  self.demand = std::move(demand);
  if (!changed) return;
  self.presence.OnDemandChange(self.loop.Now());
  self.Advance();
}

}  // namespace savory
