#include "soak/soak_upstreams.h"

#include <algorithm>
#include <utility>

#include "platform/testing/record_writer.h"
#include "runtime/event_loop.h"

namespace savory {
namespace {

using platform::EngineStandin;
using platform::StoreCondition;
using std::chrono::milliseconds;

constexpr char kModel[] = "m";
constexpr std::uint32_t kPlainSlots = 6;
constexpr std::uint32_t kEngineSlots = 8;
constexpr std::uint32_t kPlainSlotsForLongAnswers = 24;
constexpr std::uint32_t kEngineSlotsForLongAnswers = 12;
// Time after a crash until the upstream's record disappears from the store.
constexpr Duration kRegistrationTtl = milliseconds(1200);
// Time after an upstream has woken until its record is back.
constexpr Duration kListedAgainDelay = milliseconds(200);
// A leaving upstream accepts requests at least a little longer than CheckerOptions::drain_time,
// then exits when it is idle.
constexpr Duration kDrainTime = milliseconds(2300);
// Delay until another upstream takes over the address.
constexpr Duration kAddressReuseDelay = milliseconds(2000);
// Downtime of an upstream that a request has ended.
constexpr Duration kCrashDowntime = milliseconds(1000);
constexpr Duration kPollPeriod = milliseconds(50);
constexpr std::uint32_t kCorruptEvery = 5;  // chunks that turn bad together
constexpr Duration kMinAgentCall = milliseconds(20);

}  // namespace

SoakUpstreams::SoakUpstreams(EventLoop& loop, Checker& checker, const SoakLayout& layout)
    : loop(loop),
      checker(checker),
      layout(layout),
      store(loop, {.address = layout.StoreAddress()}),
      origin(loop, {.address = layout.OriginAddress(),
                    .chunks = layout.chunks,
                    .chunk_bytes = layout.chunk_bytes,
                    .corrupt_every = 13,
                    .truncate_every = 17}) {}
SoakUpstreams::~SoakUpstreams() = default;

Result<void> SoakUpstreams::Start() {
  BOOST_OUTCOME_TRY(this->store.Listen());
  BOOST_OUTCOME_TRY(this->origin.Listen());
  for (std::size_t i = 0; i < this->layout.entries; ++i) {
    this->store_links.push_back(std::make_unique<FaultProxy>(
        this->loop, this->layout.StoreProxyAddress(i), this->layout.StoreAddress()));
    BOOST_OUTCOME_TRY(this->store_links.back()->Listen());
  }
  this->upstreams.resize(this->layout.UpstreamCount());
  for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
    this->upstreams[i].link = std::make_unique<FaultProxy>(
        this->loop, this->layout.PublicAddress(i), this->layout.BackendAddress(i));
    BOOST_OUTCOME_TRY(this->upstreams[i].link->Listen());
    this->StartUpstream(i);
  }
  this->checker.OnRouteChanged("moved", this->config_version, this->moved_route_pool,
                               this->loop.Now());
  this->store.Put(platform::ConfigKey(), platform::EncodeConfig(this->layout.Rules(
                                             this->config_version, this->moved_route_pool)));
  this->checker.OnWeightsPublished(this->weights_version, this->loop.Now());
  if (this->layout.weights_announced) {
    this->store.Put(platform::WeightsKey(kModel),
                    platform::EncodeWeightsWanted(kModel, this->weights_version));
  }
  this->loop.Every(kPollPeriod, [this] { this->UpdateRecords(); });
  return success();
}

void SoakUpstreams::SetStoreCondition(StoreCondition condition) {
  this->store_available = condition == StoreCondition::kHealthy;
  this->store.SetCondition(condition);
}

void SoakUpstreams::SilenceConnections() {
  for (const auto& link : this->store_links) link->SilenceOpen();
  for (const ManagedUpstream& managed : this->upstreams) managed.link->SilenceOpen();
}

std::string SoakUpstreams::UpstreamId(std::size_t upstream) const {
  return this->upstreams[upstream].record.id;
}

void SoakUpstreams::WriteWhenAvailable(const std::string& key, const std::string& value) {
  if (!this->store_available) {
    this->loop.After(kPollPeriod, [this, key, value] { this->WriteWhenAvailable(key, value); });
    return;
  }
  if (value.empty()) {
    this->store.Remove(key);
  } else {
    this->store.Put(key, value);
  }
}

std::uint32_t SoakUpstreams::SlotsOf(bool engine) const {
  if (!this->layout.long_answers) return engine ? kEngineSlots : kPlainSlots;
  return engine ? kEngineSlotsForLongAnswers : kPlainSlotsForLongAnswers;
}

std::uint64_t SoakUpstreams::VersionOf(std::uint32_t chunk, std::string_view bytes) const {
  const Digest digest = Sha256(bytes);
  std::uint64_t version = this->weights_version;
  while (version > 0 && this->origin.ChunkDigest(version, chunk) != digest) --version;
  return version;
}

void SoakUpstreams::StartUpstream(std::size_t index) {
  ManagedUpstream& managed = this->upstreams[index];
  const bool engine = this->layout.IsEngine(index);
  ++managed.starts;
  managed.leaving = false;
  managed.listed = true;
  managed.still_until = {};
  managed.link->Release();
  const std::string id_before = managed.record.id;
  managed.record = {.id = "u" + std::to_string(index) + "-" + std::to_string(managed.starts),
                    .pool = this->layout.PoolOf(index),
                    .address = this->layout.PublicAddress(index),
                    .data_centre = this->layout.DataCentreOf(index),
                    .slots = this->SlotsOf(engine),
                    .started_unix_ms = ToMillis(this->loop.Now().time_since_epoch()),
                    .is_engine = engine};
  this->checker.OnStagedChunksKept(id_before, managed.record.id);
  managed.standin = std::make_unique<EngineStandin>(
      this->loop, *this,
      platform::EngineStandinOptions{
          .upstream = managed.record,
          .listen = this->layout.BackendAddress(index),
          .origin = &this->origin,
          .events = this->layout.StreamEvents(),
          .carries_out_left_calls = this->layout.engines_carry_out_left_calls});
  managed.accepted_version = 0;
  managed.standin->Staged() = std::move(managed.staged);
  managed.staged.clear();
  const auto listening = managed.standin->Listen();
  if (!listening) this->checker.AddViolation("soak", managed.record.id + " cannot listen");
  this->WriteWhenAvailable(platform::UpstreamKey(managed.record.id),
                           platform::EncodeUpstream(managed.record));
}

void SoakUpstreams::DestroyUpstream(std::size_t index) {
  ManagedUpstream& managed = this->upstreams[index];
  if (!managed.standin) return;
  managed.staged = std::move(managed.standin->Staged());
  managed.standin.reset();
}

void SoakUpstreams::Crash(std::size_t upstream, Duration downtime) {
  ManagedUpstream& managed = this->upstreams[upstream];
  if (!managed.standin || managed.leaving) return;
  this->DestroyUpstream(upstream);
  this->loop.After(kRegistrationTtl, [this, key = platform::UpstreamKey(managed.record.id)] {
    this->WriteWhenAvailable(key, "");
  });
  this->loop.After(downtime, [this, upstream] { this->StartUpstream(upstream); });
}

void SoakUpstreams::LosePower(Duration downtime) {
  for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
    this->Crash(i, downtime);
    if (this->upstreams[i].standin) continue;
    this->upstreams[i].staged.clear();
    this->upstreams[i].staged_versions.clear();
    this->checker.OnStagedChunksLost(this->upstreams[i].record.id);
  }
}

void SoakUpstreams::WriteOddRecord(std::uint64_t number) {
  using std::string_literals::operator""s;
  const std::string values[] = {
      "{\"service\":\"chat\",\"address\":\"127.0.0.9\\u0000\\u0000:80\",\"state\":\"ready\",\"models\":[]}"s,
      "{\"service\":\"chat\",\"address\":\"127.0.0.9:99999\",\"state\":\"ready\",\"models\":[]}"s,
      "{\"service\":\"al\\r\\npha\",\"address\":\"127.0.0.9:80\",\"state\":\"ready\"}"s,
      "{\"service\":[\"alpha\"],\"address\":7,\"state\":\"asleep\",\"slots\":1e300}"s,
      "\0\xff no JSON {"s,
      std::string(200'000, '[')};
  const std::string key = platform::UpstreamKey("odd-" + std::to_string(number % 7));
  this->WriteWhenAvailable(key, values[number % std::size(values)]);
}

void SoakUpstreams::Drain(std::size_t upstream, Duration extra) {
  ManagedUpstream& managed = this->upstreams[upstream];
  if (!managed.standin || managed.leaving || !managed.listed || !this->store_available) return;
  managed.record.draining = true;
  this->store.Put(platform::UpstreamKey(managed.record.id),
                  platform::EncodeUpstream(managed.record));
  this->ServeOn(upstream, extra);
}

void SoakUpstreams::Leave(std::size_t upstream, Duration extra) {
  ManagedUpstream& managed = this->upstreams[upstream];
  if (!managed.standin || managed.leaving || !managed.listed || !this->store_available) return;
  this->store.Remove(platform::UpstreamKey(managed.record.id));
  this->ServeOn(upstream, extra);
}

void SoakUpstreams::ServeOn(std::size_t index, Duration extra) {
  ManagedUpstream& managed = this->upstreams[index];
  managed.leaving = true;
  managed.standin->AnnounceLeaving();
  this->checker.OnUpstreamLeaving(managed.record.id, this->loop.Now());
  this->loop.After(kDrainTime + extra, [this, index] {
    this->upstreams[index].standin->RejectNewRequests();
    this->ExitWhenIdle(index);
  });
}

void SoakUpstreams::ExitWhenIdle(std::size_t index) {
  ManagedUpstream& managed = this->upstreams[index];
  if (managed.standin->RunningRequests() > 0) {
    this->loop.After(kPollPeriod, [this, index] { this->ExitWhenIdle(index); });
    return;
  }
  this->DestroyUpstream(index);
  if (managed.record.draining) {
    this->WriteWhenAvailable(platform::UpstreamKey(managed.record.id), "");
  }
  this->loop.After(kAddressReuseDelay, [this, index] { this->StartUpstream(index); });
}

void SoakUpstreams::SetFault(std::size_t upstream, platform::EngineFault fault) {
  if (this->upstreams[upstream].standin) this->upstreams[upstream].standin->SetFault(fault);
}

void SoakUpstreams::SetStartDelay(std::size_t upstream, Duration delay) {
  if (this->upstreams[upstream].standin) this->upstreams[upstream].standin->SetStartDelay(delay);
}

void SoakUpstreams::AskToWait(std::size_t upstream, Duration duration) {
  if (this->upstreams[upstream].standin) this->upstreams[upstream].standin->RejectFor(duration);
}

void SoakUpstreams::SetPace(std::size_t upstream, double factor) {
  if (this->upstreams[upstream].standin) this->upstreams[upstream].standin->SetPace(factor);
}

void SoakUpstreams::FallSilent(std::size_t upstream, Duration duration, bool reports_too) {
  if (!this->upstreams[upstream].standin) return;
  this->upstreams[upstream].standin->FallSilent(duration, reports_too);
}

void SoakUpstreams::StandStill(std::size_t upstream, Duration duration) {
  ManagedUpstream& managed = this->upstreams[upstream];
  if (!managed.standin) return;
  const Instant now = this->loop.Now();
  if (now >= managed.still_until) managed.silent_since = now;
  managed.still_until = std::max(managed.still_until, now + duration);
  managed.standin->StandStill(duration);
  managed.link->Hold();
  this->loop.After(duration, [this, &managed] {
    if (this->loop.Now() >= managed.still_until) managed.link->Release();
  });
}

void SoakUpstreams::BreakOff(std::size_t upstream) {
  if (this->upstreams[upstream].standin) this->upstreams[upstream].standin->BreakOff();
}

void SoakUpstreams::CorruptStagedChunk(std::size_t upstream, std::uint64_t seed) {
  ManagedUpstream& managed = this->upstreams[upstream];
  if (!managed.standin || managed.standin->Staged().empty()) return;
  auto chunk = managed.standin->Staged().begin();
  std::advance(chunk, static_cast<std::ptrdiff_t>(seed % managed.standin->Staged().size()));
  this->CorruptChunk(managed, chunk->first, chunk->second);
}

void SoakUpstreams::CorruptChunk(const ManagedUpstream& managed, std::uint32_t chunk,
                                 std::string& bytes) {
  ++bytes[bytes.size() / 3];  // not undone by the next corruption
  this->checker.OnStagedChunkCorrupted(managed.record.id, chunk, this->loop.Now());
}

void SoakUpstreams::CorruptStagedChunks(std::size_t engine, std::uint64_t seed) {
  const ManagedUpstream& managed = this->upstreams[engine];
  if (!managed.standin) return;
  for (auto& [chunk, bytes] : managed.standin->Staged()) {
    if (chunk % kCorruptEvery == seed % kCorruptEvery) this->CorruptChunk(managed, chunk, bytes);
  }
}

void SoakUpstreams::SlowAgentCalls(std::size_t engine, Duration longest, bool all_alike) {
  if (!this->upstreams[engine].standin) return;
  this->upstreams[engine].standin->SetAgentCallPacer([this, longest, all_alike](const auto&) {
    const double variable = ToSeconds(longest - kMinAgentCall) * UniformUnit(this->random);
    const Duration total = all_alike ? longest : kMinAgentCall + FromSeconds(variable);
    const Duration until_done = FromSeconds(ToSeconds(total) * UniformUnit(this->random));
    return platform::AgentCallPace{.until_done = until_done, .until_answered = total - until_done};
  });
}

void SoakUpstreams::EndSlowAgentCalls(std::size_t engine) {
  if (this->upstreams[engine].standin) this->upstreams[engine].standin->SetAgentCallPacer({});
}

void SoakUpstreams::AtNextLoadRequest(std::size_t engine, Duration time,
                                      std::function<void()> action) {
  this->upstreams[engine].at_load_request = std::move(action);
  this->upstreams[engine].at_load_request_until = this->loop.Now() + time;
}

bool SoakUpstreams::HasStagedNewest(std::size_t engine) const {
  const auto& versions = this->upstreams[engine].staged_versions;
  return versions.size() == this->origin.ChunkCount() &&
         std::ranges::all_of(
             versions, [this](const auto& row) { return row.second == this->weights_version; });
}

std::uint64_t SoakUpstreams::LastAcceptedVersion(std::size_t engine) const {
  return this->upstreams[engine].accepted_version;
}

SoakUpstreams::ManagedUpstream* SoakUpstreams::Find(std::string_view id) {
  const auto found = std::ranges::find_if(
      this->upstreams, [id](const ManagedUpstream& other) { return other.record.id == id; });
  return found == this->upstreams.end() ? nullptr : &*found;
}

void SoakUpstreams::SwitchRoutePool() {
  if (!this->store_available) return;  // operators cannot write either
  this->config_version += 3;
  this->moved_route_pool = this->moved_route_pool == "alpha" ? "beta" : "alpha";
  this->checker.OnRouteChanged("moved", this->config_version, this->moved_route_pool,
                               this->loop.Now());
  this->store.Put(platform::ConfigKey(), platform::EncodeConfig(this->layout.Rules(
                                             this->config_version, this->moved_route_pool)));
}

void SoakUpstreams::PublishWeights(Duration origin_delay) {
  if (!this->store_available) return;
  const std::uint64_t version = ++this->weights_version;
  if (origin_delay == Duration(0)) {
    this->origin.SetNewestVersion(version);
  } else {
    this->loop.After(origin_delay, [this, version] {
      if (version == this->weights_version) this->origin.SetNewestVersion(version);
    });
  }
  this->checker.OnWeightsPublished(this->weights_version, this->loop.Now());
  this->store.Put(platform::WeightsKey(kModel),
                  platform::EncodeWeightsWanted(kModel, this->weights_version));
}

void SoakUpstreams::UpdateRecords() {
  for (ManagedUpstream& managed : this->upstreams) {
    if (!managed.standin || !managed.record.is_engine || !this->store_available) continue;
    if (managed.leaving && !managed.record.draining) continue;  // has no record any more
    const Instant now = this->loop.Now();
    if (managed.listed && now < managed.still_until &&
        now >= managed.silent_since + kRegistrationTtl) {
      managed.listed = false;
      this->store.Remove(platform::UpstreamKey(managed.record.id));
    }
    const bool returns = !managed.listed && now >= managed.still_until + kListedAgainDelay;
    if (!managed.listed && !returns) continue;
    managed.listed = true;
    if (!returns && managed.standin->WeightsVersion() == managed.record.weights_version) continue;
    managed.record.weights_version = managed.standin->WeightsVersion();
    this->store.Put(platform::UpstreamKey(managed.record.id),
                    platform::EncodeUpstream(managed.record));
  }
}

std::size_t SoakUpstreams::UpToDateEngines() const {
  std::size_t count = 0;
  for (const ManagedUpstream& managed : this->upstreams) {
    if (managed.record.is_engine && managed.standin &&
        managed.standin->WeightsVersion() == this->weights_version) {
      ++count;
    }
  }
  return count;
}

void SoakUpstreams::OnArrived(const platform::ArrivedRequest& request) {
  this->checker.OnArrived(request, this->loop.Now());
}
void SoakUpstreams::OnRun(const platform::ArrivedRequest& request) {
  this->checker.OnRun(request, this->loop.Now());
  if (!EndsUpstreams(request.body, request.prompt)) return;
  // Until its callers have noticed the end.
  this->checker.MarkDisturbed(request.upstream, this->loop.Now(), kCrashDowntime);
  this->loop.After(Duration(0), [this, id = request.upstream] {
    for (std::size_t i = 0; i < this->upstreams.size(); ++i) {
      if (this->upstreams[i].record.id == id) this->Crash(i, kCrashDowntime);
    }
  });
}
void SoakUpstreams::OnRunEnded(std::string_view attempt_id) {
  this->checker.OnRunEnded(attempt_id, this->loop.Now());
}
void SoakUpstreams::OnBrokeOff(std::string_view attempt_id) {
  this->checker.OnBrokeOff(attempt_id);
}
void SoakUpstreams::OnInterrupted(std::string_view attempt_id) {
  this->checker.OnInterrupted(attempt_id);
}
void SoakUpstreams::OnNotice(const platform::ArrivedRequest& request,
                             const platform::UpstreamNotice& notice) {
  this->checker.OnNotice(request, notice, this->loop.Now());
}
void SoakUpstreams::OnChunkStaged(std::string_view upstream, std::uint32_t chunk,
                                  std::string_view bytes) {
  const std::uint64_t version = this->VersionOf(chunk, bytes);
  if (ManagedUpstream* managed = this->Find(upstream)) managed->staged_versions[chunk] = version;
  this->checker.OnChunkStaged(upstream, chunk, version);
}
void SoakUpstreams::OnLoadRequested(std::string_view upstream) {
  ManagedUpstream* managed = this->Find(upstream);
  if (managed == nullptr) return;
  const auto action = std::exchange(managed->at_load_request, nullptr);
  if (action && this->loop.Now() < managed->at_load_request_until) action();
}
void SoakUpstreams::OnLoad(std::string_view upstream, std::uint64_t version, bool complete) {
  if (ManagedUpstream* managed = this->Find(upstream)) managed->accepted_version = version;
  this->checker.OnLoad(upstream, version, this->origin.ChunkCount(), complete, this->loop.Now());
}

}  // namespace savory
