#include "fleet/agent_links.h"

#include <algorithm>
#include <map>

#include "base/log.h"
#include "base/metrics.h"
#include "fleet/version_messages.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

// A report is due after this fraction of its period, so that calls at the same period, which come
// slightly early or late, do not miss every other one.
constexpr double kDueFraction = 0.8;

}  // namespace

struct AgentLinks::Impl : GuardedCallbacks<AgentLinks::Impl> {
  struct Entry {
    bool same_region = false;  // in the same region as this agent
    bool follows_load = false;
    Instant last_hello = {};
    Instant last_report = {};
    Instant entries_sent_at = {};
    std::uint32_t reported_load = 0;
  };

  EventLoop& loop;
  PeerTransport& transport;
  AgentLinksOptions options;
  Counter& hellos;
  std::map<std::string, Entry> entries = {};  // keyed by peer address
  Instant entries_changed = {};
  FleetView view = {};
  std::uint64_t agents_digest = 0;
  EngineReport report = {};
  bool has_report = false;
  std::string found_model = {};
  std::uint64_t found_version = 0;  // 0: none
  std::function<void(const FleetView& view)> on_view_change = {};

  Impl(EventLoop& loop, PeerTransport& transport, Metrics& metrics, AgentLinksOptions given)
      : loop(loop),
        transport(transport),
        options(std::move(given)),
        hellos(metrics.CounterFor("savory_entry_hellos_total")) {}

  // ---- from entries ----

  void OnHello(const std::string& from, const wire::EntryHello& hello) {
    this->hellos.Add();
    const Instant now = this->loop.Now();
    if (hello.leaves()) return this->RemoveEntry(from, now);
    const bool is_new = !this->entries.contains(from);
    Entry& entry = this->entries[from];
    const bool needs_load = hello.follows_load() && !entry.follows_load;
    entry.last_hello = now;
    entry.same_region = hello.region() == this->options.region;
    entry.follows_load = hello.follows_load();
    if (is_new) {
      this->entries_changed = now;
      Log(LogLevel::kInfo, "entry_joined", {{"entry", from}, {"entries", this->entries.size()}});
    }
    if (this->UpdateView(hello, now) && this->on_view_change) this->on_view_change(this->view);
    if ((is_new || needs_load) && this->has_report) this->SendReport(from, entry);
  }

  void RemoveEntry(const std::string& peer, Instant now) {
    if (this->entries.erase(peer) == 0) return;
    this->entries_changed = now;
    Log(LogLevel::kInfo, "entry_gone", {{"entry", peer}, {"reason", "left"}});
  }

  // Returns whether the view changed.
  bool UpdateView(const wire::EntryHello& hello, Instant now) {
    bool changed = false;
    if (hello.agents_size() > 0 && hello.agents_digest() != this->agents_digest) {
      this->agents_digest = hello.agents_digest();
      this->view.agents = AgentsOf(hello, this->options.agent_port);
      changed = true;
    }
    if (!hello.origin().empty() && (hello.origin() != this->view.origin ||
                                    hello.origin_region() != this->view.origin_region)) {
      this->view.origin = hello.origin();
      this->view.origin_region = hello.origin_region();
      this->view.origin_bytes_per_second = hello.origin_bytes_per_second();
      changed = true;
    }
    if (hello.engines_lacking() != this->view.engines_without_weights) {
      this->view.engines_without_weights = hello.engines_lacking();
      changed = true;
    }
    if (hello.requests_resume() != this->view.requests_resumable) {
      this->view.requests_resumable = hello.requests_resume();
      changed = true;
    }
    if (hello.vouched_weights() > this->view.vouched_weights) {
      this->view.vouched_weights = hello.vouched_weights();
      changed = true;
    }
    if (this->UpdateNewestWanted(hello)) changed = true;
    return this->UpdateWantedVersion(hello, now) || changed;
  }

  bool UpdateNewestWanted(const wire::EntryHello& hello) {
    const bool unknown = this->view.weights_version == 0 && hello.weights_version() == 0;
    const bool wanted = unknown && (hello.newest_wanted() || this->view.newest_wanted);
    if (wanted == this->view.newest_wanted) return false;
    this->view.newest_wanted = wanted;
    if (wanted) this->view.model = hello.model();
    return true;
  }

  bool UpdateWantedVersion(const wire::EntryHello& hello, Instant now) {
    bool changed = AddEarlierVersions(hello.earlier(), now, this->view.history);
    VersionTime named{.version = hello.weights_version()};
    if (hello.wanted_since_known()) {
      named.since = now - std::chrono::milliseconds(hello.wanted_for_ms());
    }
    changed = this->view.history.Add(named) || changed;
    this->view.history.Forget(now - this->options.history_time);
    if (named.version > this->view.weights_version) {
      this->view.model = hello.model();
      this->view.weights_version = named.version;
      changed = true;
    }
    this->view.wanted_since = this->view.history.Since(this->view.weights_version);
    return changed;
  }

  // ---- to entries ----

  std::uint32_t Load() const { return this->report.load.running + this->report.load.waiting; }

  void SendReport(const std::string& peer, Entry& entry) {
    const Instant now = this->loop.Now();
    wire::Envelope message;
    wire::EngineStatus& status = *message.mutable_engine_status();
    status.set_running(this->report.load.running);
    status.set_waiting(this->report.load.waiting);
    status.set_slots(this->report.load.slots);
    status.set_load_unknown(!this->report.load_known);
    status.set_unreachable(!this->report.reachable);
    status.set_refusing(!this->report.accepting);
    status.set_weights_version(this->report.weights_version);
    status.set_pace(static_cast<float>(this->report.pace));
    status.set_kv_used(this->report.kv_used);
    status.set_agents_digest(this->agents_digest);
    status.set_followers(static_cast<std::uint32_t>(this->Followers()));
    if (this->found_version > 0 && this->view.weights_version == 0) {
      status.set_found_model(this->found_model);
      status.set_found_version(this->found_version);
    }
    if (this->view.wanted_since) {
      status.set_wanted_version(this->view.weights_version);
      status.set_wanted_for_ms(AgeInMillis(*this->view.wanted_since, now));
    }
    // An entry that started after a version was followed by others finds only the newest one in the
    // store.
    AppendEarlierVersions(this->view.history.All(), this->view.weights_version, now,
                          *status.mutable_earlier());
    if (entry.entries_sent_at < this->entries_changed ||
        now - entry.entries_sent_at > this->options.entries_period) {
      for (const auto& [other, state] : this->entries) status.add_entries(other);
      entry.entries_sent_at = now;
    }
    entry.last_report = now;
    entry.reported_load = this->Load();
    this->transport.Send(peer, Lane::kControl, std::move(message));
  }

  std::size_t Followers() const {
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& row) { return row.second.follows_load; }));
  }

  bool IsDue(const Entry& entry, double stretch, Instant now) const {
    const Duration waited = now - entry.last_report;
    if (waited >= this->options.unchanged_period) return true;
    if (!entry.follows_load || entry.reported_load == this->Load()) return false;
    const Duration period =
        entry.same_region ? this->options.same_region_period : this->options.other_region_period;
    return ToSeconds(waited) >= ToSeconds(period) * stretch * kDueFraction;
  }

  void SendDueReports() {
    const Instant now = this->loop.Now();
    const Instant oldest_hello = now - this->options.entry_lifetime;
    const auto removed = std::erase_if(this->entries, [oldest_hello](const auto& row) {
      if (row.second.last_hello >= oldest_hello) return false;
      Log(LogLevel::kInfo, "entry_gone", {{"entry", row.first}, {"reason", "silent"}});
      return true;
    });
    if (removed > 0) this->entries_changed = now;
    const double stretch =
        std::max(1.0, static_cast<double>(this->Followers()) /
                          static_cast<double>(this->options.followers_per_period));
    for (auto& [peer, entry] : this->entries) {
      if (this->IsDue(entry, stretch, now)) this->SendReport(peer, entry);
    }
  }
};

AgentLinks::AgentLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics,
                       AgentLinksOptions options)
    : impl(std::make_shared<Impl>(loop, peers, metrics, std::move(options))) {}
AgentLinks::~AgentLinks() = default;

void AgentLinks::OnViewChange(std::function<void(const FleetView& view)> listener) {
  this->impl->on_view_change = std::move(listener);
}

void AgentLinks::Start() {
  Impl& self = *this->impl;
  self.transport.Subscribe(wire::Envelope::kEntryHello,
                           self.Guarded([&self](const wire::Envelope& message, auto) {
                             self.OnHello(message.from_peer(), message.entry_hello());
                           }));
}

void AgentLinks::Report(const EngineReport& report, bool urgent) {
  this->impl->report = report;
  this->impl->has_report = true;
  if (!urgent) return this->impl->SendDueReports();
  for (auto& [peer, entry] : this->impl->entries) this->impl->SendReport(peer, entry);
}

void AgentLinks::SetFoundVersion(const std::string& model, std::uint64_t version) {
  this->impl->found_model = model;
  this->impl->found_version = version;
}

std::size_t AgentLinks::Followers() const { return this->impl->Followers(); }

}  // namespace savory
