#include "soak/soak_upstreams.h"

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
// An upstream's entry disappears this long after its last sign of life.
constexpr Duration kEntryLifetime = milliseconds(1200);
// A leaving upstream takes requests for this long and a little more, then ends when it is idle.
constexpr Duration kDrainTime = milliseconds(2300);
// Before another upstream gets the address.
constexpr Duration kAddressPause = milliseconds(2000);
constexpr Duration kPoll = milliseconds(50);

}  // namespace

SoakUpstreams::SoakUpstreams(EventLoop& loop, Checker& checker, const SoakLayout& layout)
    : loop(loop),
      checker(checker),
      layout(layout),
      store(loop, {.address = layout.StoreAddress()}),
      origin(loop, {.address = layout.OriginAddress(), .corrupt_every = 13, .cut_every = 17}) {}
SoakUpstreams::~SoakUpstreams() = default;

Result<void> SoakUpstreams::Start() {
  BOOST_OUTCOME_TRY(this->store.Listen());
  BOOST_OUTCOME_TRY(this->origin.Listen());
  for (std::size_t i = 0; i < this->layout.entries; ++i) {
    this->store_links.push_back(std::make_unique<FaultProxy>(this->loop, this->layout.StoreProxy(i),
                                                             this->layout.StoreAddress()));
    BOOST_OUTCOME_TRY(this->store_links.back()->Listen());
  }
  this->slots.resize(this->layout.Upstreams());
  for (std::size_t i = 0; i < this->slots.size(); ++i) {
    this->slots[i].link =
        std::make_unique<FaultProxy>(this->loop, this->layout.Public(i), this->layout.Behind(i));
    BOOST_OUTCOME_TRY(this->slots[i].link->Listen());
    this->StartUpstream(i);
  }
  this->checker.RouteMoved("moved", this->config_version, this->moved_to, this->loop.Now());
  this->store.Put(platform::ConfigKey(),
                  platform::EncodeConfig(this->layout.Rules(this->config_version, this->moved_to)));
  this->checker.WeightsNamed(this->weights, this->loop.Now());
  this->store.Put(platform::WeightsKey(kModel),
                  platform::EncodeWeightsWanted(kModel, this->weights));
  this->loop.Every(kPoll, [this] { this->TellWeights(); });
  return success();
}

void SoakUpstreams::SetStoreCondition(StoreCondition condition) {
  this->store_sound = condition == StoreCondition::kHealthy;
  this->store.SetCondition(condition);
}

std::string SoakUpstreams::UpstreamId(std::size_t upstream) const {
  return this->slots[upstream].described.id;
}

void SoakUpstreams::Write(const std::string& key, const std::string& value) {
  if (!this->store_sound) {
    this->loop.After(kPoll, [this, key, value] { this->Write(key, value); });
    return;
  }
  if (value.empty()) {
    this->store.Remove(key);
  } else {
    this->store.Put(key, value);
  }
}

void SoakUpstreams::StartUpstream(std::size_t index) {
  Slot& slot = this->slots[index];
  const bool engine = this->layout.IsEngine(index);
  ++slot.starts;
  slot.leaving = false;
  slot.described = {.id = "u" + std::to_string(index) + "-" + std::to_string(slot.starts),
                    .pool = this->layout.PoolOf(index),
                    .address = this->layout.Public(index),
                    .data_centre = this->layout.DataCentreOf(index),
                    .slots = engine ? kEngineSlots : kPlainSlots,
                    .started_unix_ms = ToMillis(this->loop.Now().time_since_epoch()),
                    .is_engine = engine};
  slot.standin = std::make_unique<EngineStandin>(
      this->loop, *this,
      platform::EngineStandinOptions{.upstream = slot.described,
                                     .listen = this->layout.Behind(index),
                                     .origin = &this->origin});
  slot.standin->Staged() = std::move(slot.staged);
  slot.staged.clear();
  const auto listening = slot.standin->Listen();
  if (!listening) this->checker.Report("soak", slot.described.id + " cannot listen");
  this->Write(platform::UpstreamKey(slot.described.id), platform::EncodeUpstream(slot.described));
}

void SoakUpstreams::EndUpstream(std::size_t index) {
  Slot& slot = this->slots[index];
  if (!slot.standin) return;
  slot.staged = std::move(slot.standin->Staged());
  slot.standin.reset();
}

void SoakUpstreams::Crash(std::size_t upstream, Duration away) {
  Slot& slot = this->slots[upstream];
  if (!slot.standin || slot.leaving) return;
  this->EndUpstream(upstream);
  this->loop.After(kEntryLifetime, [this, key = platform::UpstreamKey(slot.described.id)] {
    this->Write(key, "");
  });
  this->loop.After(away, [this, upstream] { this->StartUpstream(upstream); });
}

void SoakUpstreams::Drain(std::size_t upstream) {
  Slot& slot = this->slots[upstream];
  if (!slot.standin || slot.leaving || !this->store_sound) return;
  slot.leaving = true;
  slot.described.draining = true;
  this->store.Put(platform::UpstreamKey(slot.described.id),
                  platform::EncodeUpstream(slot.described));
  this->checker.Drained(slot.described.id, this->loop.Now());
  this->loop.After(kDrainTime, [this, upstream] {
    this->slots[upstream].standin->RejectNewRequests();
    this->ExitWhenIdle(upstream);
  });
}

void SoakUpstreams::ExitWhenIdle(std::size_t index) {
  Slot& slot = this->slots[index];
  if (slot.standin->RunningRequests() > 0) {
    this->loop.After(kPoll, [this, index] { this->ExitWhenIdle(index); });
    return;
  }
  this->EndUpstream(index);
  this->Write(platform::UpstreamKey(slot.described.id), "");
  this->loop.After(kAddressPause, [this, index] { this->StartUpstream(index); });
}

void SoakUpstreams::SetFault(std::size_t upstream, platform::EngineFault fault) {
  if (this->slots[upstream].standin) this->slots[upstream].standin->SetFault(fault);
}

void SoakUpstreams::SpoilPiece(std::size_t upstream, std::uint64_t seed) {
  Slot& slot = this->slots[upstream];
  if (!slot.standin || slot.standin->Staged().empty()) return;
  auto piece = slot.standin->Staged().begin();
  std::advance(piece, static_cast<std::ptrdiff_t>(seed % slot.standin->Staged().size()));
  piece->second[piece->second.size() / 3] ^= 1;
  this->checker.PieceSpoilt(slot.described.id, this->loop.Now());
}

void SoakUpstreams::MoveRoute() {
  if (!this->store_sound) return;  // operators get no answer either
  this->config_version += 3;
  this->moved_to = this->moved_to == "alpha" ? "beta" : "alpha";
  this->checker.RouteMoved("moved", this->config_version, this->moved_to, this->loop.Now());
  this->store.Put(platform::ConfigKey(),
                  platform::EncodeConfig(this->layout.Rules(this->config_version, this->moved_to)));
}

void SoakUpstreams::NameWeights() {
  if (!this->store_sound) return;
  this->origin.SetNewestVersion(++this->weights);
  this->checker.WeightsNamed(this->weights, this->loop.Now());
  this->store.Put(platform::WeightsKey(kModel),
                  platform::EncodeWeightsWanted(kModel, this->weights));
}

void SoakUpstreams::TellWeights() {
  for (Slot& slot : this->slots) {
    if (!slot.standin || !slot.described.is_engine || !this->store_sound) continue;
    if (slot.standin->WeightsVersion() == slot.described.weights_version) continue;
    slot.described.weights_version = slot.standin->WeightsVersion();
    this->store.Put(platform::UpstreamKey(slot.described.id),
                    platform::EncodeUpstream(slot.described));
  }
}

std::size_t SoakUpstreams::UpToDate() const {
  std::size_t count = 0;
  for (const Slot& slot : this->slots) {
    if (slot.described.is_engine && slot.standin &&
        slot.standin->WeightsVersion() == this->weights) {
      ++count;
    }
  }
  return count;
}

void SoakUpstreams::OnArrived(const platform::ArrivedRequest& request) {
  this->checker.Arrived(request, this->loop.Now());
}
void SoakUpstreams::OnRun(const platform::ArrivedRequest& request) {
  this->checker.Ran(request, this->loop.Now());
}
void SoakUpstreams::OnRunEnded(std::string_view attempt_id) {
  this->checker.RunEnded(attempt_id, this->loop.Now());
}
void SoakUpstreams::OnLoad(std::string_view upstream, std::uint64_t version, bool whole) {
  this->checker.Loaded(upstream, version, whole, this->loop.Now());
}

}  // namespace savory
