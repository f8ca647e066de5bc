#include "distribution/chunk_spreader.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

#include "distribution/chunk_store.h"
#include "distribution/manifest.h"
#include "distribution/origin_read_order.h"
#include "distribution/spread_neighbour.h"
#include "distribution/token_bucket.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kNoChunk = UINT32_MAX;
// Burst size of the pacers, as time at the full rate; longer than the period of the tick.
constexpr double kBurstSeconds = 0.05;
// Time to wait for the chunk maps of neighbours before a chunk counts as held by none of them.
constexpr Duration kMapGrace = milliseconds(500);
// A chunk whose first-ranked agent left may be held by agents that are not neighbours. It usually
// reaches the neighbours within this time, which saves a second read of the origin.
constexpr Duration kRankGrace = seconds(1);
constexpr Duration kMapRetry = seconds(2);
constexpr Duration kMapRefresh = seconds(5);
constexpr Duration kScanInterval = milliseconds(20);
constexpr Duration kTakeoverScanInterval = milliseconds(100);
constexpr Duration kRemoteRetry = milliseconds(200);
// Consecutive failed requests to the origin's region after which the origin itself is read. The
// agents there may have nothing left to copy, or may be gone. With kRemoteRetry this takes about 2
// s.
constexpr int kMaxRemoteFailures = 10;
constexpr Duration kMaxAvoidance = seconds(30);
constexpr Duration kMismatchRetryDelay = milliseconds(500);
constexpr Duration kFirstOriginProbeInterval = seconds(2);
constexpr Duration kMaxOriginProbeInterval = seconds(60);
constexpr Duration kFirstBackoff = milliseconds(250);
// For pools that favour origin bytes. Below takeover_origin_bytes, so that the first-ranked agent
// retries first after an outage.
constexpr Duration kMaxBackoffOriginBytes = seconds(5);
// A hold is forwarded only when it extends the known one by at least this much, so that agents do
// not forward it to each other endlessly.
constexpr Duration kMinHoldExtension = milliseconds(250);
// Limit of the queued requests for chunks that this agent does not hold yet.
constexpr std::size_t kMaxAwaited = 256;
constexpr std::size_t kCandidatesPerLevel = 16;
constexpr std::size_t kRarityLevels = 22;  // number of holders among at most 20 neighbours
constexpr int kMismatchesBeforeStop = 2;
// The origin was away if no chunk appeared for this long; owners of chunks that fail alone do not
// keep the chunks of the others away.
constexpr Duration kOriginSilence = seconds(1);
constexpr int kProbesBeforeRetry = 5;

struct Pending {
  std::string peer;
  std::uint64_t request_id = 0;
  Instant sent = {};
  Instant deadline = {};
  bool remote = false;  // sent to an agent of another region
};

struct Upload {
  std::string to;
  Digest manifest;
  std::uint32_t chunk = 0;
  std::uint64_t request_id = 0;
};

}  // namespace

struct ChunkSpreader::Impl {
  SpreadOptions options;
  ChunkStore& store;
  Random& random;
  LinkPacer up;
  LinkPacer down;
  TokenBucket region_pacer;
  std::vector<SpreadAction> actions = {};
  std::vector<SpreadNeighbour> neighbours = {};
  std::deque<Upload> uploads = {};
  std::vector<Upload> awaited = {};  // requests for chunks that this agent is copying itself
  std::uint64_t next_request = 1;

  // The copy in progress.
  std::shared_ptr<const Manifest> manifest = {};
  bool favour_origin_bytes = false;
  bool complete = false;
  OriginRanks ranks = {};
  bool ranked = false;
  bool reads_all = false;  // baseline strategies: this agent reads every chunk from the origin
  std::vector<std::uint8_t> availability = {};  // number of neighbours that hold a chunk
  std::unordered_map<std::uint32_t, Pending> pending = {};
  std::size_t remote_pending = 0;
  std::set<std::uint32_t> origin_reads = {};
  std::set<std::uint32_t> takeover_reads = {};
  // Chunks of rank 0 to fetch, from the back: in random order, or ascending if HasReadOrder().
  std::deque<std::uint32_t> owned = {};
  // Chunks that got rank 0 when the members changed; added to `owned` at `inherited_ready`.
  std::deque<std::uint32_t> inherited = {};
  std::vector<bool> owns = {};  // by chunk: whether it has rank 0
  std::unordered_map<std::uint32_t, std::size_t> remote_attempts = {};
  int remote_failures = 0;                      // in a row
  std::vector<std::uint32_t> candidates = {};   // rarest last
  std::vector<std::uint32_t> unannounced = {};  // stored but not yet announced
  Instant started = {};
  OriginReadOrder read_order;
  Instant last_progress = {};
  Instant last_appeared = {};
  Instant next_scan = {};
  Instant next_takeover_scan = {};
  Instant inherited_ready = {};
  Instant remote_ready = {};
  Instant next_refresh = {};
  Duration round_trip = {};  // smoothed time from request to chunk
  LinkStateChanged link_status = {};

  // The origin.
  Instant hold_until = {};
  Instant origin_ready = {};
  int origin_failures = 0;
  int mismatches = 0;  // in a row
  bool stopped = false;
  bool probing = false;
  int probes = 0;
  Instant next_probe = {};
  Duration probe_interval = kFirstOriginProbeInterval;

  Impl(SpreadOptions given, ChunkStore& store, Random& random)
      : options(std::move(given)),
        store(store),
        random(random),
        up(PacerOptions()),
        down(PacerOptions()),
        region_pacer(this->options.inter_region_bytes_per_second,
                     this->options.inter_region_bytes_per_second * kBurstSeconds),
        read_order(this->options.origin_bytes_per_second) {}

  LinkPacerOptions PacerOptions() const {
    return LinkPacerOptions{.link_bytes_per_second = this->options.link_bytes_per_second,
                            .weights_share = this->options.weights_share,
                            .burst_bytes = this->options.link_bytes_per_second * kBurstSeconds};
  }

  // ---- lookups ----

  Duration Jittered(Duration base) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) *
                                               (0.5 + UniformUnit(this->random))));
  }

  SpreadNeighbour* FindNeighbour(const std::string& peer) {
    for (SpreadNeighbour& neighbour : this->neighbours) {
      if (neighbour.peer == peer) return &neighbour;
    }
    return nullptr;
  }

  bool IsCurrent(const Digest& id) const { return this->manifest && this->manifest->Id() == id; }

  bool IsCopying() const { return this->manifest != nullptr && !this->complete; }

  bool IsInOriginRegion() const { return this->options.region == this->options.origin_region; }

  // Neither held nor requested.
  bool IsMissing(const WeightsCopy& copy, std::uint32_t chunk) const {
    return !copy.Holds(chunk) && !this->pending.contains(chunk) &&
           !this->origin_reads.contains(chunk);
  }

  const WeightsCopy& Copy() const { return *this->store.Find(this->manifest->Id()); }

  double ChunkLength(std::uint32_t chunk) const { return this->manifest->RangeOf(chunk).length; }

  Duration TakeoverDelay() const {
    return this->favour_origin_bytes ? this->options.takeover_origin_bytes
                                     : this->options.takeover_time;
  }

  // ---- members and chunk maps ----

  void On(Instant now, const PoolMembersChanged& event) {
    std::vector<SpreadPeer> wanted;
    bool has_parent = true;
    if (this->options.strategy == SpreadStrategy::kSwarm) {
      wanted = RingNeighbours(event.members, this->options.vm, this->options.region);
    } else if (this->options.strategy == SpreadStrategy::kTree) {
      TreePosition place = TreeNeighbours(event.members, this->options.vm, this->options.region);
      has_parent = place.has_parent;
      wanted = std::move(place.neighbours);
    }
    this->reads_all = this->options.strategy == SpreadStrategy::kOriginOnly || !has_parent;
    this->ReplaceNeighbours(now, wanted);
    if (this->options.strategy == SpreadStrategy::kTree) this->RestrictToParent(has_parent);
    if (this->manifest) this->Rank(now, event.members);
  }

  void ReplaceNeighbours(Instant now, const std::vector<SpreadPeer>& wanted) {
    std::vector<SpreadNeighbour> kept;
    for (const SpreadPeer& peer : wanted) {
      const auto found =
          std::find_if(this->neighbours.begin(), this->neighbours.end(),
                       [&](const auto& old) { return old.vm == peer.vm && old.peer == peer.peer; });
      if (found != this->neighbours.end()) {
        kept.push_back(std::move(*found));
        found->peer.clear();
        continue;
      }
      kept.push_back(SpreadNeighbour{.vm = peer.vm, .peer = peer.peer});
      if (this->manifest) this->RequestMap(now, kept.back());
    }
    const std::vector<SpreadNeighbour> dropped = std::exchange(this->neighbours, std::move(kept));
    for (const SpreadNeighbour& old : dropped) {
      if (!old.peer.empty()) this->DropRequestsTo(old.peer);
    }
    this->CountAvailability();
  }

  void RestrictToParent(bool has_parent) {
    for (std::size_t i = 0; i < this->neighbours.size(); ++i) {
      this->neighbours[i].is_source = has_parent && i == 0;
    }
  }

  void DropRequestsTo(const std::string& peer) {
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
      const bool drop = !entry->second.remote && entry->second.peer == peer;
      if (drop) this->down.RefundWeights(this->ChunkLength(entry->first));
      entry = drop ? this->pending.erase(entry) : std::next(entry);
    }
    std::erase_if(this->uploads, [&](const Upload& upload) { return upload.to == peer; });
    std::erase_if(this->awaited, [&](const Upload& upload) { return upload.to == peer; });
  }

  void Rank(Instant now, const std::vector<SpreadPeer>& members) {
    this->ranks = OriginRanks(OriginRanksInput{.manifest = this->manifest->Id(),
                                               .chunk_count = this->manifest->ChunkCount(),
                                               .vm = this->options.vm,
                                               .region = this->options.region,
                                               .origin_region = this->options.origin_region,
                                               .members = members});
    this->inherited_ready = this->ranked ? now + kRankGrace : now;
    this->ListOwnedChunks(this->ranked);
    this->ranked = true;
    this->region_pacer.SetRate(now, this->RegionRate());
  }

  // This agent's part of the region's link is proportional to its part of the chunks, so that all
  // agents finish at the same time.
  double RegionRate() const {
    std::uint32_t own = 0;
    const std::uint32_t count = this->manifest->ChunkCount();
    for (std::uint32_t chunk = 0; chunk < count; ++chunk) own += this->RankOf(chunk) == 0 ? 1 : 0;
    const double equal = 1 / std::max<double>(1, static_cast<double>(this->ranks.RegionSize()));
    const double part = own == 0 ? equal : static_cast<double>(own) / count;
    return this->options.inter_region_bytes_per_second * part;
  }

  std::uint8_t RankOf(std::uint32_t chunk) const {
    if (this->options.strategy == SpreadStrategy::kSwarm) return this->ranks.RankOf(chunk);
    return this->reads_all ? 0 : OriginRanks::kUnranked;
  }

  // Lists the missing chunks of rank 0 in `owned`. With `again`, those that did not have rank 0
  // before go to `inherited`.
  void ListOwnedChunks(bool again) {
    const std::vector<bool> before = std::exchange(this->owns, {});
    this->owns.resize(this->manifest->ChunkCount(), false);
    this->owned.clear();
    this->inherited.clear();
    const WeightsCopy& copy = this->Copy();
    for (std::uint32_t chunk = 0; chunk < this->manifest->ChunkCount(); ++chunk) {
      if (this->RankOf(chunk) != 0) continue;
      this->owns[chunk] = true;
      if (copy.Holds(chunk)) continue;
      const bool was_owned = !again || (chunk < before.size() && before[chunk]);
      (was_owned ? this->owned : this->inherited).push_back(chunk);
    }
    if (this->HasReadOrder()) {
      std::sort(this->owned.rbegin(), this->owned.rend());  // taken from the end
      return;
    }
    std::shuffle(this->owned.begin(), this->owned.end(), this->random);
    std::shuffle(this->inherited.begin(), this->inherited.end(), this->random);
  }

  // Whether this agent reads its chunks from the origin in order.
  bool HasReadOrder() const { return this->read_order.KnowsRate() && this->IsInOriginRegion(); }

  // Earliest time to fetch a chunk for which this agent has rank 0.
  Instant EarliestFetch(std::uint32_t chunk) const {
    return this->HasReadOrder() ? this->read_order.EarliestRead(chunk) : this->started;
  }

  void OrderReads(Instant begin) {
    const WeightsCopy& copy = this->Copy();
    this->read_order.Start(
        begin, this->manifest->ChunkCount(), this->manifest->ChunkSize(),
        [&](std::uint32_t chunk) { return !copy.Holds(chunk) && this->availability[chunk] == 0; });
  }

  void CountAvailability() {
    if (!this->manifest) return;
    this->availability.assign(this->manifest->ChunkCount(), 0);
    for (const SpreadNeighbour& neighbour : this->neighbours) {
      if (!neighbour.map_known) continue;
      for (std::uint32_t i = 0; i < this->availability.size(); ++i) {
        this->availability[i] += neighbour.holds[i] ? 1 : 0;
      }
    }
    this->next_scan = {};
    this->candidates.clear();
  }

  void RequestMap(Instant now, SpreadNeighbour& neighbour) {
    neighbour.map_requested_at = now;
    this->actions.push_back(this->MakeMap(neighbour.peer, this->manifest->Id(), !this->complete));
  }

  void On(Instant now, const MapReceived& event) {
    if (event.reply_wanted && this->store.Find(event.manifest) != nullptr) {
      this->actions.push_back(this->MakeMap(event.from, event.manifest, false));
    }
    SpreadNeighbour* neighbour = this->FindNeighbour(event.from);
    if (neighbour == nullptr || !this->IsCurrent(event.manifest)) return;
    const std::uint32_t count = this->manifest->ChunkCount();
    if (event.bits.size() != (count + 7) / 8) return;
    neighbour->holds.resize(count, false);
    neighbour->map_known = true;
    for (std::uint32_t i = 0; i < count; ++i) {
      const bool bit = (static_cast<unsigned char>(event.bits[i / 8]) >> (i % 8) & 1u) != 0;
      if (bit) {
        this->AddHolder(now, *neighbour, i);
      } else {
        // A neighbour loses its chunks when it restarts.
        this->RemoveHolder(*neighbour, i);
      }
    }
  }

  void On(Instant now, const HaveReceived& event) {
    SpreadNeighbour* neighbour = this->FindNeighbour(event.from);
    if (neighbour == nullptr || !neighbour->map_known || !this->IsCurrent(event.manifest)) return;
    for (const std::uint32_t chunk : event.chunks) {
      if (chunk < neighbour->holds.size()) this->AddHolder(now, *neighbour, chunk);
    }
  }

  void AddHolder(Instant now, SpreadNeighbour& neighbour, std::uint32_t chunk) {
    if (neighbour.holds[chunk]) return;
    neighbour.holds[chunk] = true;
    ++neighbour.held;
    if (this->availability[chunk]++ == 0 && !this->Copy().Holds(chunk)) {
      this->OnChunkAppeared(now);
      this->last_progress = now;
    }
    this->next_scan = {};
  }

  void RemoveHolder(SpreadNeighbour& neighbour, std::uint32_t chunk) {
    if (!neighbour.map_known || !neighbour.holds[chunk]) return;
    neighbour.holds[chunk] = false;
    --neighbour.held;
    --this->availability[chunk];
  }

  // ---- the wanted version ----

  void On(Instant now, const CopyWanted& event) {
    this->Reset(now);
    this->manifest = event.manifest;
    this->favour_origin_bytes = event.favour_origin_bytes;
    this->availability.assign(this->manifest->ChunkCount(), 0);
    this->complete = this->Copy().IsComplete();
    this->started = now + event.origin_delay;
    this->last_appeared = this->started;
    // Read failures of an earlier version no longer apply: the manifest has come from the origin
    // since.
    this->origin_failures = 0;
    this->origin_ready = std::min(this->origin_ready, std::max(now, this->hold_until));
    this->OrderReads(this->started);
    this->last_progress = this->started;
    this->next_refresh = now + kMapRefresh;
    for (SpreadNeighbour& neighbour : this->neighbours) this->RequestMap(now, neighbour);
    if (this->complete) this->actions.push_back(CopyComplete{});
  }

  void On(Instant now, const CopyEnded&) { this->Reset(now); }

  void Reset(Instant) {
    for (const auto& [chunk, request] : this->pending) this->SendCancelOf(chunk, request);
    this->manifest.reset();
    this->awaited.clear();
    this->complete = false;
    this->ranked = false;
    this->ranks = {};
    this->availability.clear();
    this->pending.clear();
    this->remote_pending = 0;
    this->origin_reads.clear();
    this->takeover_reads.clear();
    this->owned.clear();
    this->inherited.clear();
    this->owns.clear();
    this->remote_attempts.clear();
    this->remote_failures = 0;
    this->candidates.clear();
    this->unannounced.clear();
    this->mismatches = 0;
    this->stopped = false;
    this->probing = false;
    this->probes = 0;
    this->probe_interval = kFirstOriginProbeInterval;
    for (SpreadNeighbour& neighbour : this->neighbours) {
      neighbour.map_known = false;
      neighbour.holds.clear();
      neighbour.held = 0;
      neighbour.in_flight = 0;
    }
  }

  void OnChunkStored(Instant now, std::uint32_t chunk, bool by_takeover) {
    if (this->availability[chunk] == 0) this->OnChunkAppeared(now);
    if (!by_takeover) this->last_progress = now;
    this->unannounced.push_back(chunk);
    this->ServeAwaited(chunk);
    if (!this->Copy().IsComplete()) return;
    this->complete = true;
    this->stopped = false;
    this->AnnounceNewChunks();
    this->actions.push_back(CopyComplete{});
  }

  // After an outage of the origin, all chunks would count as overdue, and several agents would read
  // each of them at once.
  void OnChunkAppeared(Instant now) {
    const Duration silence = now - std::exchange(this->last_appeared, std::max(now, this->started));
    if (!this->read_order.KnowsRate() || silence < kOriginSilence) return;
    this->origin_failures = 0;
    // The agents of the origin's region have chunks to copy again.
    this->remote_failures = 0;
    this->origin_ready = std::min(this->origin_ready, std::max(now, this->hold_until));
    this->OrderReads(now);
  }

  void AnnounceNewChunks() {
    if (this->IsNarrow()) this->unannounced.clear();
    if (this->unannounced.empty()) return;
    for (const SpreadNeighbour& neighbour : this->neighbours) {
      if (!neighbour.map_known) continue;
      SendHave have{.to = neighbour.peer, .manifest = this->manifest->Id(), .chunks = {}};
      for (const std::uint32_t chunk : this->unannounced) {
        if (!neighbour.holds[chunk]) have.chunks.push_back(chunk);
      }
      if (!have.chunks.empty()) this->actions.push_back(std::move(have));
    }
    this->unannounced.clear();
  }

  // ---- requests to peers ----

  void SendCancelOf(std::uint32_t chunk, const Pending& request) {
    this->actions.push_back(SendCancel{.to = request.peer,
                                       .manifest = this->manifest->Id(),
                                       .chunk = chunk,
                                       .request_id = request.request_id});
  }

  // Removes and returns the pending request for `chunk`, if there is one.
  std::optional<Pending> EndRequest(std::uint32_t chunk, bool refund) {
    const auto found = this->pending.find(chunk);
    if (found == this->pending.end()) return std::nullopt;
    const Pending request = std::move(found->second);
    this->pending.erase(found);
    if (request.remote) --this->remote_pending;
    SpreadNeighbour* neighbour = this->FindNeighbour(request.peer);
    if (!request.remote && neighbour != nullptr && neighbour->in_flight > 0) {
      --neighbour->in_flight;
    }
    if (refund) {
      this->down.RefundWeights(this->ChunkLength(chunk));
      if (request.remote) this->region_pacer.Refund(this->ChunkLength(chunk));
    }
    return request;
  }

  void On(Instant now, const ChunkArrived& event) {
    const std::uint32_t chunk = event.chunk.Index();
    const bool stored = this->store.Put(event.chunk);
    if (!this->IsCurrent(event.chunk.ManifestId())) return;
    const std::optional<Pending> request = this->EndRequest(chunk, false);
    if (request && request->peer != event.from) this->SendCancelOf(chunk, *request);
    if (request && request->peer == event.from) this->UpdateRoundTrip(now - request->sent);
    if (request && request->remote) this->remote_failures = 0;
    if (request && this->IsNarrow()) {
      this->actions.push_back(ChunkTransferTimed{.time = now - request->sent});
    }
    if (SpreadNeighbour* neighbour = this->FindNeighbour(event.from)) {
      neighbour->timeouts = 0;
      if (neighbour->map_known) this->AddHolder(now, *neighbour, chunk);
    }
    if (stored) this->OnChunkStored(now, chunk, false);
  }

  void UpdateRoundTrip(Duration sample) {
    this->round_trip = this->round_trip.count() == 0 ? sample : (this->round_trip * 7 + sample) / 8;
  }

  void On(Instant now, const ChunkCorrupt& event) {
    if (SpreadNeighbour* neighbour = this->FindNeighbour(event.from)) {
      neighbour->avoid_until = now + this->options.corrupt_avoidance;
    }
    if (!this->IsCurrent(event.manifest) || event.chunk >= this->manifest->ChunkCount()) return;
    const auto found = this->pending.find(event.chunk);
    if (found == this->pending.end() || found->second.peer != event.from) return;
    if (found->second.remote) ++this->remote_attempts[event.chunk];
    this->EndRequest(event.chunk, false);
  }

  void On(Instant now, const RefusalReceived& event) {
    if (!this->IsCurrent(event.manifest)) return;
    const auto found = this->pending.find(event.chunk);
    if (found == this->pending.end() || found->second.request_id != event.request_id) return;
    const std::optional<Pending> request = this->EndRequest(event.chunk, true);
    if (request->remote) {
      ++this->remote_attempts[event.chunk];
      ++this->remote_failures;
      this->remote_ready = now + this->Jittered(kRemoteRetry);
      this->owned.push_front(event.chunk);
      return;
    }
    SpreadNeighbour* neighbour = this->FindNeighbour(event.from);
    if (neighbour == nullptr) return;
    if (!event.busy) {
      this->RemoveHolder(*neighbour, event.chunk);
      return;
    }
    neighbour->busy_until = now + this->Jittered(this->BusyPause());
  }

  // Time in which a sender sends about half of its upload queue.
  Duration BusyPause() const {
    const double rate = this->options.link_bytes_per_second * this->options.weights_share;
    const double queue = static_cast<double>(this->options.max_uploads) / 2;
    return std::max<Duration>(milliseconds(5),
                              FromSeconds(queue * this->manifest->ChunkSize() / rate));
  }

  Instant RequestDeadline(Instant now, std::uint32_t chunk, bool remote) const {
    const double rate = this->options.link_bytes_per_second * this->options.weights_share;
    const double queue = static_cast<double>(this->options.max_uploads) + 2;
    const Duration sending = FromSeconds(queue * this->manifest->ChunkSize() / rate);
    if (!remote) {
      return now + std::max(this->options.request_deadline + sending, this->round_trip * 5);
    }
    // All remote requests share the region's link, and each is sent before the chunk is available.
    const std::size_t outstanding = std::min<std::size_t>(
        this->manifest->ChunkCount(), this->ranks.RegionSize() * this->options.max_remote_requests);
    const double shared = static_cast<double>(outstanding) * this->manifest->ChunkSize() /
                          this->options.inter_region_bytes_per_second;
    const Instant available_at =
        this->read_order.KnowsRate() ? std::max(now, this->ExpectedFromOrigin(chunk)) : now;
    const double crossing = this->read_order.KnowsRate() ? shared : 2 * shared;
    return available_at + this->options.remote_deadline + sending + FromSeconds(crossing);
  }

  void Request(Instant now, std::uint32_t chunk, const std::string& peer, bool remote) {
    const std::uint64_t id = this->next_request++;
    this->pending.emplace(chunk, Pending{.peer = peer,
                                         .request_id = id,
                                         .sent = now,
                                         .deadline = this->RequestDeadline(now, chunk, remote),
                                         .remote = remote});
    this->down.TakeWeights(now, this->ChunkLength(chunk));
    this->actions.push_back(SendRequest{
        .to = peer, .manifest = this->manifest->Id(), .chunk = chunk, .request_id = id});
  }

  void ExpireRequests(Instant now) {
    std::vector<std::uint32_t> expired;
    for (const auto& [chunk, request] : this->pending) {
      if (now >= request.deadline) expired.push_back(chunk);
    }
    std::sort(expired.begin(), expired.end());
    for (const std::uint32_t chunk : expired) {
      const std::optional<Pending> request = this->EndRequest(chunk, true);
      this->SendCancelOf(chunk, *request);
      if (request->remote) {
        ++this->remote_attempts[chunk];
        ++this->remote_failures;
        this->owned.push_front(chunk);
        continue;
      }
      this->AvoidUnresponsive(now, request->peer);
    }
  }

  void AvoidUnresponsive(Instant now, const std::string& peer) {
    SpreadNeighbour* neighbour = this->FindNeighbour(peer);
    if (neighbour == nullptr || now < neighbour->avoid_until) return;
    const int doublings = std::min(neighbour->timeouts++, 4);
    neighbour->avoid_until =
        now +
        this->Jittered(std::min(kMaxAvoidance, this->options.request_deadline * (1 << doublings)));
  }

  void PumpRequests(Instant now) {
    while (this->pending.size() - this->remote_pending <
               this->LinkLimit(this->options.max_requests) &&
           this->down.Ready(now)) {
      SpreadNeighbour* holder = nullptr;
      const std::uint32_t chunk = this->PickRarest(now, holder);
      if (chunk == kNoChunk) return;
      ++holder->in_flight;
      this->Request(now, chunk, holder->peer, false);
    }
  }

  // Returns the rarest missing chunk with a usable holder, or kNoChunk.
  std::uint32_t PickRarest(Instant now, SpreadNeighbour*& holder) {
    for (int round = 0; round < 2; ++round) {
      while (!this->candidates.empty()) {
        const std::uint32_t chunk = this->candidates.back();
        this->candidates.pop_back();
        if (!this->IsMissing(this->Copy(), chunk)) continue;
        holder = this->LeastLoadedHolder(now, chunk);
        if (holder != nullptr) return chunk;
      }
      if (now < this->next_scan) return kNoChunk;
      this->next_scan = now + kScanInterval;
      this->ScanCandidates();
    }
    return kNoChunk;
  }

  // Samples missing chunks of each rarity level, in random order within a level.
  void ScanCandidates() {
    std::array<std::vector<std::uint32_t>, kRarityLevels> levels;
    std::array<std::uint64_t, kRarityLevels> seen = {};
    const WeightsCopy& copy = this->Copy();
    for (std::uint32_t chunk = 0; chunk < this->availability.size(); ++chunk) {
      const std::size_t level = this->availability[chunk];
      if (level == 0 || !this->IsMissing(copy, chunk)) continue;
      ++seen[level];
      if (levels[level].size() < kCandidatesPerLevel) {
        levels[level].push_back(chunk);
        continue;
      }
      const std::uint64_t place = UniformBelow(this->random, seen[level]);
      if (place < kCandidatesPerLevel) levels[level][place] = chunk;
    }
    for (std::size_t level = kRarityLevels; level-- > 1;) {
      std::shuffle(levels[level].begin(), levels[level].end(), this->random);
      this->candidates.insert(this->candidates.end(), levels[level].begin(), levels[level].end());
    }
  }

  SpreadNeighbour* LeastLoadedHolder(Instant now, std::uint32_t chunk) {
    SpreadNeighbour* best = nullptr;
    std::uint64_t ties = 0;
    for (SpreadNeighbour& neighbour : this->neighbours) {
      if (!neighbour.IsUsable(now, this->options.max_peer_requests)) continue;
      if (!neighbour.Holds(chunk)) continue;
      if (best != nullptr && neighbour.in_flight > best->in_flight) continue;
      const bool better = best == nullptr || neighbour.in_flight < best->in_flight;
      ties = better ? 1 : ties + 1;
      if (better || UniformBelow(this->random, ties) == 0) best = &neighbour;
    }
    return best;
  }

  // ---- serving peers ----

  void On(Instant, const RequestReceived& event) {
    const WeightsCopy* copy = this->store.Find(event.manifest);
    const bool held = copy != nullptr && copy->Holds(event.chunk);
    const Upload upload{.to = event.from,
                        .manifest = event.manifest,
                        .chunk = event.chunk,
                        .request_id = event.request_id};
    if (this->IsNarrow()) return this->Refuse(upload, true);
    if (held && this->uploads.size() < this->LinkLimit(this->options.max_uploads)) {
      this->uploads.push_back(upload);
      return;
    }
    // Neighbours request announced chunks; agents of another region request chunks before they have
    // arrived here.
    if (!held && this->IsCopying() && this->IsCurrent(event.manifest) &&
        event.chunk < this->manifest->ChunkCount() && this->awaited.size() < kMaxAwaited) {
      this->awaited.push_back(upload);
      return;
    }
    this->Refuse(upload, held);
  }

  void On(Instant, const ChunkCancelReceived& event) {
    const auto cancelled = [&](const Upload& upload) {
      return upload.to == event.from && upload.request_id == event.request_id;
    };
    std::erase_if(this->uploads, cancelled);
    std::erase_if(this->awaited, cancelled);
  }

  // Requests that waited for `chunk` go first: they come from another region, all of whose agents
  // wait for these chunks.
  void ServeAwaited(std::uint32_t chunk) {
    const auto waits = [&](const Upload& upload) {
      return upload.chunk == chunk && this->IsCurrent(upload.manifest);
    };
    for (const Upload& upload : this->awaited) {
      if (waits(upload)) this->uploads.push_front(upload);
    }
    std::erase_if(this->awaited, waits);
  }

  void PumpUploads(Instant now) {
    while (!this->uploads.empty() && this->up.Ready(now)) {
      const Upload upload = std::move(this->uploads.front());
      this->uploads.pop_front();
      const WeightsCopy* copy = this->store.Find(upload.manifest);
      if (copy == nullptr || !copy->Holds(upload.chunk)) continue;
      this->up.TakeWeights(now, static_cast<double>(copy->chunks[upload.chunk]->size()));
      this->actions.push_back(SendChunk{.to = upload.to,
                                        .manifest = upload.manifest,
                                        .chunk = upload.chunk,
                                        .request_id = upload.request_id});
    }
  }

  // ---- the origin ----

  bool MayFetchIntoRegion(Instant now) const {
    if (!this->ranked || now < this->started) return false;
    if (now >= this->started + kMapGrace) return true;
    return std::all_of(this->neighbours.begin(), this->neighbours.end(), [](const auto& neighbour) {
      return neighbour.map_known || !neighbour.is_source;
    });
  }

  void PumpOrigin(Instant now) {
    if (this->stopped || !this->MayFetchIntoRegion(now)) return;
    if (this->IsInOriginRegion()) {
      this->PumpOriginReads(now);
    } else {
      this->PumpRemote(now);
    }
  }

  void PumpOriginReads(Instant now) {
    while (now >= this->origin_ready &&
           this->origin_reads.size() < this->options.max_origin_reads && this->down.Ready(now)) {
      bool takeover = false;
      const std::uint32_t chunk = this->NextRegionFetch(now, takeover);
      if (chunk == kNoChunk) return;
      this->origin_reads.insert(chunk);
      if (takeover) this->takeover_reads.insert(chunk);
      this->down.TakeWeights(now, this->ChunkLength(chunk));
      this->actions.push_back(ReadOrigin{.chunk = chunk});
    }
  }

  void PumpRemote(Instant now) {
    while (now >= this->remote_ready &&
           this->remote_pending < this->LinkLimit(this->options.max_remote_requests) &&
           this->region_pacer.Ready(now) && this->down.Ready(now)) {
      bool takeover = false;
      const std::uint32_t chunk = this->NextRegionFetch(now, takeover);
      if (chunk == kNoChunk) return;
      const auto sources = this->ranks.SourcesOf(chunk);
      if (sources.empty() || this->remote_failures >= kMaxRemoteFailures) {
        this->ReadOriginAcrossRegions(now, chunk, takeover);
        return;
      }
      // An agent that takes a chunk over asks another source than the agent of the previous rank.
      const std::size_t attempt = this->remote_attempts[chunk] + this->RankOf(chunk);
      ++this->remote_pending;
      this->region_pacer.Take(now, this->ChunkLength(chunk));
      this->Request(now, chunk, sources[attempt % sources.size()], true);
    }
  }

  void ReadOriginAcrossRegions(Instant now, std::uint32_t chunk, bool takeover) {
    if (now < this->origin_ready || this->origin_reads.size() >= this->options.max_origin_reads) {
      if (!takeover) this->owned.push_back(chunk);
      return;
    }
    this->origin_reads.insert(chunk);
    if (takeover) this->takeover_reads.insert(chunk);
    this->region_pacer.Take(now, this->ChunkLength(chunk));
    this->down.TakeWeights(now, this->ChunkLength(chunk));
    this->actions.push_back(ReadOrigin{.chunk = chunk});
  }

  // Returns a chunk that this agent fetches into its region, or kNoChunk. Sets `takeover` if the
  // chunk comes from NextTakeover() instead of `owned`.
  std::uint32_t NextRegionFetch(Instant now, bool& takeover) {
    if (now >= this->inherited_ready && !this->inherited.empty()) {
      this->owned.insert(this->owned.end(), this->inherited.begin(), this->inherited.end());
      this->inherited.clear();
    }
    while (!this->IsNarrow() && !this->owned.empty() &&
           now >= this->EarliestFetch(this->owned.back())) {
      const std::uint32_t chunk = this->owned.back();
      this->owned.pop_back();
      if (this->IsMissing(this->Copy(), chunk) && this->availability[chunk] == 0) return chunk;
    }
    takeover = true;
    return this->NextTakeover(now);
  }

  // Number of ranks that may take over a missing chunk because no chunk has appeared for a while.
  // Agents fetch their chunks one after another, so the time counts from the last one that
  // appeared.
  int RanksDueBySilence(Instant now) const {
    const Duration silence =
        now - std::max({this->last_progress, this->origin_ready, this->started});
    return static_cast<int>(std::max(Duration(0), silence) / this->TakeoverDelay());
  }

  // Number of ranks that may take over `chunk` because the origin should have sent it by now.
  // Unranked agents are excluded, since all of them would read; they take over only through
  // RanksDueBySilence().
  int RanksDueByOriginRate(Instant now, std::uint32_t chunk) const {
    if (!this->read_order.KnowsRate()) return 0;
    const Duration slack =
        this->IsInOriginRegion() ? this->options.overdue_slack : this->options.overdue_remote_slack;
    const Duration overdue = now - this->ExpectedFromOrigin(chunk) - slack;
    if (overdue < Duration(0)) return 0;
    return std::min<int>(OriginRanks::kRankCount - 1,
                         1 + static_cast<int>(overdue / this->options.overdue_step));
  }

  // Time by which the origin should have sent `chunk`.
  Instant ExpectedFromOrigin(std::uint32_t chunk) const {
    return std::max(this->read_order.ExpectedEnd(chunk), this->origin_ready);
  }

  // Returns a random chunk that the agents of the previous ranks should have fetched but no
  // reachable neighbour holds, or kNoChunk.
  std::uint32_t NextTakeover(Instant now) {
    const int ranks_due_by_silence = this->RanksDueBySilence(now);
    const bool may_be_due =
        ranks_due_by_silence > 0 || (!this->IsNarrow() && this->RanksDueByOriginRate(now, 0) > 0);
    if (!may_be_due || now < this->next_takeover_scan) return kNoChunk;
    this->next_takeover_scan = now + kTakeoverScanInterval;
    const WeightsCopy& copy = this->Copy();
    std::uint32_t picked = kNoChunk;
    std::uint64_t seen = 0;
    for (std::uint32_t chunk = 0; chunk < this->availability.size(); ++chunk) {
      const int ranks_due_by_rate = this->IsNarrow() ? 0 : this->RanksDueByOriginRate(now, chunk);
      const int ranks_due = std::max(ranks_due_by_silence, ranks_due_by_rate);
      if (this->RankOf(chunk) > ranks_due || !this->IsMissing(copy, chunk)) continue;
      if (this->HasReachableHolder(now, chunk)) continue;
      if (UniformBelow(this->random, ++seen) == 0) picked = chunk;
    }
    return picked;
  }

  bool HasReachableHolder(Instant now, std::uint32_t chunk) const {
    return std::any_of(
        this->neighbours.begin(), this->neighbours.end(), [&](const SpreadNeighbour& neighbour) {
          return neighbour.is_source && neighbour.Holds(chunk) && now >= neighbour.avoid_until;
        });
  }

  // Ends the origin read of `chunk`. Returns false if the read belongs to another copy.
  bool EndOriginRead(const Digest& id, std::uint32_t chunk) {
    return this->IsCurrent(id) && this->origin_reads.erase(chunk) > 0;
  }

  void On(Instant now, const OriginChunkRead& event) {
    const bool stored = this->store.Put(event.chunk);
    const std::uint32_t chunk = event.chunk.Index();
    if (!this->EndOriginRead(event.chunk.ManifestId(), chunk)) return;
    const bool by_takeover = this->takeover_reads.erase(chunk) > 0;
    // The origin is back after an outage, so the agents of its region have chunks to copy again.
    if (this->origin_failures > 0) this->remote_failures = 0;
    this->origin_failures = 0;
    this->mismatches = 0;
    if (stored) this->OnChunkStored(now, chunk, by_takeover);
  }

  void RetryOriginRead(std::uint32_t chunk) {
    this->takeover_reads.erase(chunk);
    if (this->RankOf(chunk) == 0) this->owned.push_back(chunk);
  }

  void On(Instant now, const OriginMismatch& event) {
    if (!this->EndOriginRead(event.manifest, event.chunk)) return;
    this->RetryOriginRead(event.chunk);
    this->origin_ready = std::max(this->origin_ready, now + kMismatchRetryDelay);
    if (++this->mismatches < kMismatchesBeforeStop || this->stopped) return;
    this->stopped = true;
    this->next_probe = now + this->Jittered(this->probe_interval);
    this->actions.push_back(CopyStopped{.chunk = event.chunk});
  }

  void On(Instant now, const OriginFailed& event) {
    if (!this->EndOriginRead(event.manifest, event.chunk)) return;
    this->RetryOriginRead(event.chunk);
    const Duration longest =
        this->favour_origin_bytes ? kMaxBackoffOriginBytes : this->options.max_backoff;
    const Duration backoff = kFirstBackoff * (1 << std::min(this->origin_failures++, 6));
    this->origin_ready =
        std::max(this->origin_ready, now + this->Jittered(std::min(longest, backoff)));
    this->OrderReads(this->origin_ready);
  }

  void On(Instant now, const OriginThrottled& event) {
    this->ApplyHold(now, event.retry_after);
    if (this->EndOriginRead(event.manifest, event.chunk)) this->RetryOriginRead(event.chunk);
  }

  void On(Instant now, const HoldReceived& event) { this->ApplyHold(now, event.hold); }

  void ApplyHold(Instant now, Duration hold) {
    const Instant until = now + hold;
    if (until < this->hold_until + kMinHoldExtension) return;
    this->hold_until = until;
    // Jitter, so that the agents do not all read at the end of the hold.
    const Duration spread = std::min<Duration>(seconds(1), hold / 4);
    this->origin_ready = std::max(
        this->origin_ready, until + FromSeconds(ToSeconds(spread) * UniformUnit(this->random)));
    for (const SpreadNeighbour& neighbour : this->neighbours) {
      this->actions.push_back(SendHold{.to = neighbour.peer, .hold = hold});
    }
  }

  void On(Instant now, const OriginProbed& event) {
    this->probing = false;
    if (!this->stopped) return;
    // Bytes that were damaged in transit look like a changed origin, so every kProbesBeforeRetry-th
    // probe retries the read even though the origin is unchanged.
    const bool retry = ++this->probes % kProbesBeforeRetry == 0;
    if (!event.changed && !retry) {
      this->probe_interval = std::min(kMaxOriginProbeInterval, this->probe_interval * 2);
      this->next_probe = now + this->Jittered(this->probe_interval);
      return;
    }
    this->stopped = false;
    this->mismatches = kMismatchesBeforeStop - 1;
    if (event.changed) this->probe_interval = kFirstOriginProbeInterval;
    this->actions.push_back(CopyResumed{});
  }

  void PumpOriginProbe(Instant now) {
    if (!this->stopped || this->probing || now < this->next_probe) return;
    this->probing = true;
    this->actions.push_back(ProbeOrigin{});
  }

  // ---- time ----

  void On(Instant now, const RequestBytesSeen& event) {
    this->up.TakeRequests(now, static_cast<double>(event.bytes));
    this->down.TakeRequests(now, static_cast<double>(event.bytes));
  }

  // When the link becomes narrow, neighbours get an empty map at once, so that the agents of the
  // next ranks read the chunks that were expected from this agent. They get the real map when the
  // link recovers.
  void On(Instant, const LinkStateChanged& event) {
    const bool was_narrow = this->IsNarrow();
    this->link_status = event;
    if (!this->manifest || was_narrow == this->IsNarrow()) return;
    for (const SpreadNeighbour& neighbour : this->neighbours) {
      this->actions.push_back(this->MakeMap(neighbour.peer, this->manifest->Id(), false));
    }
    if (was_narrow) return;
    for (const Upload& upload : this->awaited) this->Refuse(upload, true);
    this->awaited.clear();
  }

  bool IsNarrow() const { return this->link_status.state == LinkState::kNarrow; }

  // Number of concurrent transfers in each direction, given the state of the link.
  std::size_t LinkLimit(std::size_t usual) const {
    return this->link_status.state == LinkState::kFree ? usual : 1;
  }

  SendMap MakeMap(const std::string& peer, const Digest& id, bool reply_wanted) const {
    return {.to = peer, .manifest = id, .reply_wanted = reply_wanted, .empty = this->IsNarrow()};
  }

  void Refuse(const Upload& upload, bool busy) {
    this->actions.push_back(SendRefusal{.to = upload.to,
                                        .manifest = upload.manifest,
                                        .chunk = upload.chunk,
                                        .request_id = upload.request_id,
                                        .busy = busy});
  }

  void On(Instant now, const SpreadTick&) {
    if (!this->manifest) return;
    this->AnnounceNewChunks();
    if (this->complete) return;
    this->ExpireRequests(now);
    this->RequestMaps(now);
    this->PumpOriginProbe(now);
  }

  // Maps and announcements can be lost: missing maps are requested again, known maps are refreshed
  // one at a time.
  void RequestMaps(Instant now) {
    for (SpreadNeighbour& neighbour : this->neighbours) {
      if (!neighbour.map_known && now >= neighbour.map_requested_at + kMapRetry) {
        this->RequestMap(now, neighbour);
      }
    }
    if (now < this->next_refresh || this->neighbours.empty()) return;
    this->next_refresh = now + kMapRefresh;
    SpreadNeighbour& neighbour =
        this->neighbours[UniformBelow(this->random, this->neighbours.size())];
    if (neighbour.map_known && !neighbour.IsComplete()) this->RequestMap(now, neighbour);
  }

  void Pump(Instant now) {
    if (now < this->link_status.until) return;
    this->PumpUploads(now);
    if (!this->IsCopying()) return;
    this->PumpOrigin(now);
    this->PumpRequests(now);
  }
};

ChunkSpreader::ChunkSpreader(SpreadOptions options, ChunkStore& store, Random& random)
    : impl(std::make_unique<Impl>(std::move(options), store, random)) {}
ChunkSpreader::~ChunkSpreader() = default;

std::vector<SpreadAction> ChunkSpreader::Handle(Instant now, const SpreadEvent& event) {
  std::visit([&](const auto& item) { this->impl->On(now, item); }, event);
  this->impl->Pump(now);
  return std::exchange(this->impl->actions, {});
}

std::size_t ChunkSpreader::Reachable() const {
  if (!this->impl->manifest) return 0;
  const WeightsCopy& copy = this->impl->Copy();
  std::size_t count = 0;
  for (std::uint32_t chunk = 0; chunk < this->impl->availability.size(); ++chunk) {
    count += copy.Holds(chunk) || this->impl->availability[chunk] > 0 ? 1 : 0;
  }
  return count;
}

bool ChunkSpreader::IsActive() const {
  if (!this->impl->uploads.empty() || !this->impl->unannounced.empty()) return true;
  return this->impl->IsCopying();
}

}  // namespace savory
