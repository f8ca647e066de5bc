#include "fleet/agent_links.h"

#include <algorithm>
#include <map>

#include "base/log.h"
#include "base/metrics.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct AgentLinks::Impl : std::enable_shared_from_this<AgentLinks::Impl> {
  EventLoop& loop;
  PeerTransport& transport;
  AgentLinksOptions options;
  Counter& hellos;
  std::map<std::string, Instant> entries = {};  // peer -> last hello
  FleetView view = {};
  std::uint64_t agents_digest = 0;
  EngineReport report = {};
  bool has_report = false;
  std::function<void(const FleetView& view)> on_view = {};

  Impl(EventLoop& loop, PeerTransport& transport, Metrics& metrics, AgentLinksOptions options)
      : loop(loop),
        transport(transport),
        options(options),
        hellos(metrics.CounterFor("savory_entry_hellos_total")) {}

  void OnHello(const std::string& from, const wire::EntryHello& hello) {
    this->hellos.Add();
    const Instant now = this->loop.Now();
    const bool is_new = !this->entries.contains(from);
    this->entries[from] = now;
    if (is_new) {
      Log(LogLevel::kInfo, "entry_joined", {{"entry", from}, {"entries", this->entries.size()}});
    }
    if (this->Learn(hello, now) && this->on_view) this->on_view(this->view);
    if (is_new && this->has_report) this->SendTo(from);
  }

  // Returns whether the view changed.
  bool Learn(const wire::EntryHello& hello, Instant now) {
    bool changed = false;
    if (hello.agents_size() > 0 && hello.agents_digest() != this->agents_digest) {
      this->agents_digest = hello.agents_digest();
      this->view.agents.clear();
      for (const wire::AgentPlace& agent : hello.agents()) {
        this->view.agents.push_back({.peer = agent.peer(), .region = agent.region()});
      }
      changed = true;
    }
    if (!hello.origin().empty() && (hello.origin() != this->view.origin ||
                                    hello.origin_region() != this->view.origin_region)) {
      this->view.origin = hello.origin();
      this->view.origin_region = hello.origin_region();
      this->view.origin_bytes_per_second = hello.origin_bytes_per_second();
      changed = true;
    }
    if (hello.engines_lacking() != this->view.engines_lacking) {
      this->view.engines_lacking = hello.engines_lacking();
      changed = true;
    }
    const Instant since = now - std::chrono::milliseconds(hello.wanted_for_ms());
    if (hello.weights_version() > this->view.weights_version) {
      this->view.model = hello.model();
      this->view.weights_version = hello.weights_version();
      this->view.wanted_since = since;
      changed = true;
    } else if (hello.weights_version() == this->view.weights_version &&
               since < this->view.wanted_since) {
      this->view.wanted_since = since;
    }
    return changed;
  }

  void SendTo(const std::string& entry) {
    wire::Envelope message;
    wire::EngineStatus& status = *message.mutable_engine_status();
    status.set_address(this->report.address);
    status.set_running(this->report.load.running);
    status.set_waiting(this->report.load.waiting);
    status.set_slots(this->report.load.slots);
    status.set_reachable(this->report.reachable);
    status.set_accepting(this->report.accepting);
    status.set_weights_version(this->report.weights_version);
    status.set_pace(this->report.pace);
    status.set_kv_used(this->report.kv_used);
    for (const auto& [peer, heard] : this->entries) status.add_entries(peer);
    status.set_agents_digest(this->agents_digest);
    this->transport.Send(entry, Lane::kControl, std::move(message));
  }

  void SendAll() {
    const Instant limit = this->loop.Now() - this->options.entry_lifetime;
    std::erase_if(this->entries, [limit](const auto& row) {
      if (row.second >= limit) return false;
      Log(LogLevel::kInfo, "entry_gone", {{"entry", row.first}});
      return true;
    });
    for (const auto& [entry, heard] : this->entries) this->SendTo(entry);
  }

  void SendLater() {
    this->loop.After(this->options.report_period, [weak = this->weak_from_this()] {
      const auto self = weak.lock();
      if (!self) return;
      if (self->has_report) self->SendAll();
      self->SendLater();
    });
  }
};

AgentLinks::AgentLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics,
                       AgentLinksOptions options)
    : impl(std::make_shared<Impl>(loop, peers, metrics, options)) {}
AgentLinks::~AgentLinks() = default;

void AgentLinks::OnView(std::function<void(const FleetView& view)> listener) {
  this->impl->on_view = std::move(listener);
}

void AgentLinks::Start() {
  this->impl->transport.Subscribe(
      wire::Envelope::kEntryHello,
      [weak = std::weak_ptr(this->impl)](const wire::Envelope& message, auto) {
        if (const auto self = weak.lock()) {
          self->OnHello(message.from_peer(), message.entry_hello());
        }
      });
  this->impl->SendLater();
}

void AgentLinks::Report(const EngineReport& report, bool urgent) {
  this->impl->report = report;
  this->impl->has_report = true;
  if (urgent) this->impl->SendAll();
}

bool AgentLinks::HasEntries() const { return !this->impl->entries.empty(); }

}  // namespace savory
