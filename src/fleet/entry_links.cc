#include "fleet/entry_links.h"

#include <algorithm>
#include <set>

#include "base/digest.h"
#include "base/log.h"
#include "base/metrics.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

// Identifies a list of agents.
std::uint64_t DigestOf(const std::vector<wire::AgentPlace>& agents) {
  std::string text;
  for (const wire::AgentPlace& agent : agents) text += agent.peer() + "," + agent.region() + ";";
  return RendezvousScore("agents", text);
}

}  // namespace

struct EntryLinks::Impl : std::enable_shared_from_this<EntryLinks::Impl> {
  EventLoop& loop;
  PeerTransport& transport;
  EntryLinksOptions options;
  Counter& reports;
  std::vector<wire::AgentPlace> agents = {};
  std::uint64_t agents_digest = 0;
  std::map<std::string, std::uint64_t> digest_at = {};  // agent peer -> list that it has
  std::optional<WeightsOrigin> origin = {};
  WeightsOrder weights = {};
  std::map<std::string, Instant> entries = {};  // other entries' peers -> last heard of
  ReportListener on_report = {};
  EntriesListener on_entries = {};

  Impl(EventLoop& loop, PeerTransport& transport, Metrics& metrics, EntryLinksOptions given)
      : loop(loop),
        transport(transport),
        options(std::move(given)),
        reports(metrics.CounterFor("savory_engine_reports_total")) {}

  void Hello(const wire::AgentPlace& agent) {
    wire::Envelope message;
    wire::EntryHello& hello = *message.mutable_entry_hello();
    hello.add_entries(this->options.peer);
    for (const auto& [entry, heard] : this->entries) hello.add_entries(entry);
    if (this->origin) {
      hello.set_origin(this->origin->address);
      hello.set_origin_region(this->RegionOf(this->origin->data_centre));
      hello.set_origin_bytes_per_second(this->origin->bytes_per_second);
    }
    hello.set_model(this->weights.model);
    hello.set_weights_version(this->weights.version);
    hello.set_wanted_for_ms(static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, ToMillis(this->loop.Now() - this->weights.known_since))));
    hello.set_engines_lacking(this->weights.engines_lacking);
    hello.set_agents_digest(this->agents_digest);
    const auto known = this->digest_at.find(agent.peer());
    if (known == this->digest_at.end() || known->second != this->agents_digest) {
      hello.mutable_agents()->Add(this->agents.begin(), this->agents.end());
    }
    this->transport.Send(agent.peer(), Lane::kControl, std::move(message));
  }

  std::string RegionOf(const std::string& data_centre) const {
    const auto region = this->options.regions.find(data_centre);
    return region == this->options.regions.end() ? data_centre : region->second;
  }

  void HelloAll() {
    for (const wire::AgentPlace& agent : this->agents) this->Hello(agent);
  }

  void HelloLater() {
    this->loop.After(this->options.hello_period, [weak = this->weak_from_this()] {
      const auto self = weak.lock();
      if (!self) return;
      self->ForgetEntries();
      self->HelloAll();
      self->HelloLater();
    });
  }

  void SetAgents(const std::vector<Upstream>& engines) {
    std::map<std::string, wire::AgentPlace> places;
    for (const Upstream& engine : engines) {
      wire::AgentPlace place;
      place.set_peer(HostOf(engine.address) + ":" + std::to_string(this->options.agent_port));
      place.set_region(this->RegionOf(engine.data_centre));
      places.emplace(place.peer(), std::move(place));
    }
    std::vector<wire::AgentPlace> sorted;
    for (auto& [peer, place] : places) sorted.push_back(std::move(place));
    const std::uint64_t digest = DigestOf(sorted);
    if (digest == this->agents_digest) return;
    this->agents = std::move(sorted);
    this->agents_digest = digest;
    this->HelloAll();
  }

  void OnStatus(const std::string& from, const wire::EngineStatus& status) {
    this->reports.Add();
    this->digest_at[from] = status.agents_digest();
    for (const std::string& entry : status.entries()) this->HeardOf(entry);
    if (!this->on_report) return;
    this->on_report(EngineReport{.address = status.address(),
                                 .load = {.running = status.running(),
                                          .waiting = status.waiting(),
                                          .slots = status.slots()},
                                 .reachable = status.reachable(),
                                 .accepting = status.accepting(),
                                 .weights_version = status.weights_version(),
                                 .pace = status.pace(),
                                 .kv_used = status.kv_used()});
  }

  void HeardOf(const std::string& entry) {
    if (entry == this->options.peer) return;
    const bool is_new = !this->entries.contains(entry);
    this->entries[entry] = this->loop.Now();
    if (is_new) this->TellEntries("joined", entry);
  }

  void ForgetEntries() {
    const Instant limit = this->loop.Now() - this->options.entry_lifetime;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
      if (entry->second >= limit) {
        ++entry;
        continue;
      }
      const std::string gone = entry->first;
      entry = this->entries.erase(entry);
      this->TellEntries("gone", gone);
    }
  }

  void TellEntries(std::string_view change, const std::string& entry) {
    Log(LogLevel::kInfo, "entries_changed",
        {{"change", change}, {"entry", entry}, {"others", this->entries.size()}});
    if (!this->on_entries) return;
    std::vector<std::string> peers;
    for (const auto& [peer, heard] : this->entries) peers.push_back(peer);
    for (const std::string& seed : this->options.seeds) {
      if (seed != this->options.peer && !this->entries.contains(seed)) peers.push_back(seed);
    }
    this->on_entries(peers);
  }
};

EntryLinks::EntryLinks(EventLoop& loop, PeerTransport& peers, Metrics& metrics,
                       EntryLinksOptions options)
    : impl(std::make_shared<Impl>(loop, peers, metrics, std::move(options))) {}
EntryLinks::~EntryLinks() = default;

void EntryLinks::OnReport(ReportListener listener) { this->impl->on_report = std::move(listener); }
void EntryLinks::OnEntries(EntriesListener listener) {
  this->impl->on_entries = std::move(listener);
}

void EntryLinks::Start() {
  const std::weak_ptr<Impl> weak = this->impl;
  this->impl->transport.Subscribe(
      wire::Envelope::kEngineStatus, [weak](const wire::Envelope& message, auto) {
        if (const auto self = weak.lock()) {
          self->OnStatus(message.from_peer(), message.engine_status());
        }
      });
  this->impl->HelloLater();
}

void EntryLinks::SetEngines(std::vector<Upstream> engines) { this->impl->SetAgents(engines); }

void EntryLinks::SetOrigin(const std::optional<WeightsOrigin>& origin) {
  this->impl->origin = origin;
}

void EntryLinks::SetWeights(const WeightsOrder& order) {
  const WeightsOrder& before = this->impl->weights;
  const bool changed = order.model != before.model || order.version != before.version ||
                       order.engines_lacking != before.engines_lacking;
  this->impl->weights = order;
  if (changed) this->impl->HelloAll();
}

}  // namespace savory
