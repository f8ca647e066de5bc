#include "soak/soak_layout.h"

namespace savory {
namespace {

constexpr int kPeerPort = 17700;
constexpr int kMetricsPort = 17701;
constexpr std::uint32_t kSlotsForLongAnswers = 12;

Duration LongTimeout(RequestKind kind) {
  return std::chrono::milliseconds(kind == RequestKind::kStream ? 6000 : 4000);
}

std::string DataCentres() {
  return "data_centres:\n"
         "  - {name: dc-1, region: north}\n"
         "  - {name: dc-2, region: south}\n";
}

std::string RegionOf(const std::string& data_centre) {
  return data_centre == "dc-1" ? "north" : "south";
}

// Streams count up to their first event.
Duration LongTarget(RequestKind kind) {
  return std::chrono::milliseconds(kind == RequestKind::kStream ? 1000 : 3000);
}

}  // namespace

std::string SoakLayout::Address(int group, std::size_t host, int port) const {
  return "127." + std::to_string(this->block) + "." + std::to_string(group) + "." +
         std::to_string(host) + ":" + std::to_string(port);
}

std::string SoakLayout::PoolOf(std::size_t upstream) const {
  if (this->IsEngine(upstream)) return "chat";
  return upstream % 2 == 0 ? "alpha" : "beta";
}

std::string SoakLayout::EntrySettings(std::size_t index) const {
  const std::string data_centre = this->DataCentreOf(index);
  std::string seeds;
  for (std::size_t i = 0; i < this->entries; ++i) {
    seeds += (i == 0 ? "" : ", ") + this->PeerAddress(i);
  }
  return "vm: " + this->EntryVm(index) + "\nregion: " + RegionOf(data_centre) +
         "\ndata_centre: " + data_centre + "\n" + DataCentres() +
         "listen:\n  callers: " + this->CallerAddress(index) +
         "\n  ready: " + this->ProbeAddress(index) + "\n  peer: " + this->PeerAddress(index) +
         "\n  peer_port: " + std::to_string(kPeerPort) +
         "\n  metrics: " + this->MetricsAddress(index) +
         "\nstore: " + this->StoreProxyAddress(index) + "\nseeds: [" + seeds + "]\n";
}

std::string SoakLayout::AgentSettings(std::size_t index) const {
  const std::string data_centre = this->DataCentreOf(index);
  return "vm: " + this->AgentVm(index) + "\nregion: " + RegionOf(data_centre) +
         "\ndata_centre: " + data_centre + "\n" + DataCentres() +
         "listen:\n  peer: " + this->Address(2, index + 1, kPeerPort) +
         "\n  peer_port: " + std::to_string(kPeerPort) +
         "\n  metrics: " + this->Address(2, index + 1, kMetricsPort) +
         "\nengine: " + this->PublicAddress(index) + "\nlink_mbps: 50\n";
}

RoutingRules SoakLayout::Rules(std::uint64_t version, const std::string& moved_route_pool) const {
  using std::chrono::milliseconds;
  RoutingRules rules{.version = version};
  const auto add = [&rules, slow = this->long_answers](std::string name, RequestKind kind,
                                                       const std::string& pool, bool resumable,
                                                       Duration timeout = milliseconds(1500)) {
    rules.routes.push_back({.name = name,
                            .host = "soak.example",
                            .path_prefix = "/" + name + "/",
                            .kind = kind,
                            .pools = {{.pool = pool}},
                            .timeout = slow ? LongTimeout(kind) : timeout,
                            .target_latency = slow ? LongTarget(kind) : milliseconds(400),
                            .max_pause = milliseconds(300),
                            .max_attempts = 2,
                            .priority = 3,
                            .resumable = resumable});
  };
  add("chat", RequestKind::kStream, "chat", true);
  // Long enough to begin at a slow upstream.
  add("feed", RequestKind::kStream, "chat", this->all_streams_resumable, milliseconds(4000));
  add("book", RequestKind::kNonIdempotent, "alpha", false);
  add("read", RequestKind::kIdempotent, "beta", false);
  add("moved", RequestKind::kIdempotent, moved_route_pool, false);
  rules.pools = {{.name = "chat",
                  .engine = EngineRates{.slots = this->long_answers ? kSlotsForLongAnswers : 8},
                  .models = {"m"}},
                 {.name = "alpha"},
                 {.name = "beta"}};
  rules.accounts = {{.name = "shop", .api_keys = {"key-shop"}},
                    {.name = "depot", .api_keys = {"key-depot"}}};
  rules.origin = WeightsOrigin{.address = this->OriginAddress(), .data_centre = "dc-1"};
  return rules;
}

}  // namespace savory
