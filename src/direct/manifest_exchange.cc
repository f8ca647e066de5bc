#include "direct/manifest_exchange.h"

#include <algorithm>
#include <map>
#include <set>

#include "base/digest.h"
#include "base/log.h"
#include "distribution/engine_control.h"
#include "distribution/manifest.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "runtime/peer_transport.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

// Manifests kept for other agents. Only the last few versions are needed, since versions are
// announced one after another.
constexpr std::size_t kMaxManifests = 3;
constexpr std::size_t kMaxWaiters = 256;

}  // namespace

std::string WeightsNameOf(const std::string& model, std::uint64_t version) {
  return model + "@" + std::to_string(version);
}

struct ManifestExchange::Impl : GuardedCallbacks<ManifestExchange::Impl> {
  EventLoop& loop;
  PeerTransport& transport;
  WeightsSource& origin;
  ManifestExchangeOptions options;
  std::vector<AgentAddress> agents = {};
  std::map<std::string, std::shared_ptr<const Manifest>> known = {};  // by weights name
  std::map<std::string, std::set<std::string>> waiters = {};          // by weights name

  // State of the search in progress.
  std::string model = {};
  std::uint64_t version = 0;     // 0: the newest one
  std::string search_name = {};  // empty: none
  Instant next_fallback = {};
  Duration fallback_pause = {};
  std::size_t requests_sent = 0;
  bool reading_origin = false;
  Done done = {};

  Impl(EventLoop& loop, PeerTransport& transport, WeightsSource& origin,
       ManifestExchangeOptions given)
      : loop(loop), transport(transport), origin(origin), options(std::move(given)) {}

  void Begin(const std::string& wanted_model, std::uint64_t wanted_version, Done when_found) {
    this->model = wanted_model;
    this->version = wanted_version;
    this->search_name = WeightsNameOf(wanted_model, wanted_version);
    this->next_fallback = this->loop.Now() + this->options.origin_fallback_delay;
    this->fallback_pause = this->options.origin_retry_delay;
    this->reading_origin = false;
    this->done = std::move(when_found);
    const auto found = this->known.find(this->search_name);
    if (found != this->known.end()) {
      this->OnManifest(found->second);
    } else {
      this->Step();
    }
  }

  // Agents of this region that read from the origin, highest rendezvous score first.
  std::vector<std::string> Readers() const {
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const AgentAddress& agent : this->agents) {
      if (agent.region != this->options.region) continue;
      ranked.emplace_back(RendezvousScore(this->search_name, agent.peer), agent.peer);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    if (ranked.size() > this->options.readers) ranked.resize(this->options.readers);
    std::vector<std::string> readers;
    readers.reserve(ranked.size());
    for (auto& [score, peer] : ranked) readers.push_back(std::move(peer));
    return readers;
  }

  void Step() {
    if (this->search_name.empty()) return;
    const std::vector<std::string> readers = this->Readers();
    const bool is_reader = readers.empty() || std::find(readers.begin(), readers.end(),
                                                        this->options.peer) != readers.end();
    if (is_reader) {
      if (this->reading_origin) return this->ScheduleStep(this->options.request_period);
      return this->ReadOrigin(true);
    }
    if (this->loop.Now() > this->next_fallback) this->ReadOrigin(false);
    if (this->version > 0) this->Pull(readers[this->requests_sent++ % readers.size()]);
    this->ScheduleStep(this->options.request_period);
  }

  void Pull(const std::string& reader) {
    wire::Envelope message;
    message.mutable_manifest_pull()->set_weights_name(this->search_name);
    this->transport.Send(reader, Lane::kControl, std::move(message));
  }

  void ScheduleStep(Duration delay) {
    this->loop.After(delay, this->Guarded([this, expected = this->search_name] {
      if (expected == this->search_name) this->Step();
    }));
  }

  // Agents that are no readers ask these meanwhile, and the origin less and less often: when it
  // returns from an outage, its link would carry a list for each of them before any chunk.
  void PostponeFallback() {
    if (this->version > 0) {
      this->fallback_pause = std::min(this->fallback_pause * 2, this->options.max_fallback_pause);
    }
    const std::uint64_t score = RendezvousScore(this->search_name, this->options.peer);
    const double jitter = 0.5 + static_cast<double>(score % 1000) / 1000;
    this->next_fallback = this->loop.Now() + FromSeconds(ToSeconds(this->fallback_pause) * jitter);
  }

  // `then_step`: goes on with Step() if the read fails.
  void ReadOrigin(bool then_step) {
    if (std::exchange(this->reading_origin, true)) return;
    const auto on_list = [this, then_step,
                          expected = this->search_name](const Result<ChunkList>& list) {
      this->reading_origin = false;
      if (expected != this->search_name) return;
      if (list && (this->version > 0 || list.value().version > 0)) {
        this->OnChunkList(list.value());
        return;
      }
      Log(LogLevel::kWarn, "piece_list_failed",
          {{"weights", this->search_name},
           {"reason", list ? "the list names no version" : Describe(list.error())}});
      this->PostponeFallback();
      if (then_step) this->ScheduleStep(this->options.origin_retry_delay);
    };
    this->origin.ReadChunkList(this->model, this->version, this->Guarded(on_list));
  }

  void OnChunkList(const ChunkList& list) {
    if (this->version == 0) {
      this->version = list.version;
      this->search_name = WeightsNameOf(this->model, list.version);
    }
    this->OnManifest(std::make_shared<const Manifest>(
        Manifest::FromChunks(list.digests, list.chunk_bytes, this->search_name)));
  }

  void OnManifest(const std::shared_ptr<const Manifest>& manifest) {
    const std::string found = manifest->WeightsName();
    this->known[found] = manifest;
    while (this->known.size() > kMaxManifests) {
      // Names of one model sort by version as long as the versions have the same number of digits.
      auto oldest = this->known.begin();
      if (oldest->first == found) ++oldest;
      this->known.erase(oldest);
    }
    for (const std::string& peer : this->waiters[found]) this->Push(peer, *manifest);
    this->waiters.erase(found);
    if (found != this->search_name) return;
    this->search_name.clear();
    std::exchange(this->done, nullptr)(this->version, manifest);
  }

  void Push(const std::string& to, const Manifest& manifest) {
    wire::Envelope message;
    message.mutable_manifest_push()->set_manifest(std::string(manifest.Id().View()));
    message.mutable_manifest_push()->set_content(manifest.Content());
    this->transport.Send(to, Lane::kControl, std::move(message));
  }

  void OnPull(const std::string& from, const wire::ManifestPull& pull) {
    const auto found = this->known.find(pull.weights_name());
    if (found != this->known.end()) {
      this->Push(from, *found->second);
      return;
    }
    // This agent does not have the manifest yet, and may not know of the version yet. The manifest
    // is pushed to the waiting agents when it arrives.
    std::set<std::string>& peers = this->waiters[pull.weights_name()];
    if (peers.size() < kMaxWaiters) peers.insert(from);
    if (this->waiters.size() > kMaxManifests) this->waiters.erase(this->waiters.begin());
  }

  void OnPush(const wire::ManifestPush& push) {
    const auto parsed = Manifest::Parse(push.content(), DigestFromRaw(push.manifest()));
    if (!parsed || parsed.value().WeightsName() != this->search_name) return;
    this->OnManifest(std::make_shared<const Manifest>(parsed.value()));
  }
};

ManifestExchange::ManifestExchange(EventLoop& loop, PeerTransport& peers, WeightsSource& origin,
                                   ManifestExchangeOptions options)
    : impl(std::make_shared<Impl>(loop, peers, origin, std::move(options))) {}
ManifestExchange::~ManifestExchange() = default;

void ManifestExchange::Start() {
  Impl& self = *this->impl;
  self.transport.Subscribe(wire::Envelope::kManifestPull,
                           self.Guarded([&self](const wire::Envelope& message, auto) {
                             self.OnPull(message.from_peer(), message.manifest_pull());
                           }));
  self.transport.Subscribe(wire::Envelope::kManifestPush,
                           self.Guarded([&self](const wire::Envelope& message, auto) {
                             self.OnPush(message.manifest_push());
                           }));
}

void ManifestExchange::SetAgents(std::vector<AgentAddress> agents) {
  this->impl->agents = std::move(agents);
}

void ManifestExchange::Find(const std::string& model, std::uint64_t version, Done done) {
  this->impl->Begin(model, version, std::move(done));
}

void ManifestExchange::FindNewest(const std::string& model, Done done) {
  this->impl->Begin(model, 0, std::move(done));
}

}  // namespace savory
