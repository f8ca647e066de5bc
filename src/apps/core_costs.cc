#include "apps/core_costs.h"

#include <malloc.h>
#include <time.h>

#include <memory>
#include <string>

#include "distribution/chunk_spreader.h"
#include "distribution/chunk_store.h"
#include "distribution/manifest.h"
#include "distribution/origin_ranks.h"
#include "gate/upstream_gate.h"
#include "membership/member_update.h"
#include "membership/membership.h"
#include "routing/request_flow.h"

namespace savory {
namespace {

using nlohmann::ordered_json;

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr int kMembershipSeconds = 300;
constexpr int kRequests = 20'000;
constexpr int kPartsPerRequest = 20;
constexpr std::uint32_t kChunkBytes = 16;  // small: only the state per chunk is measured
constexpr int kNeighbours = 20;

// Bytes allocated from the heap.
std::size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

Member MakeMember(int number, MemberRole role) {
  return Member{.vm = "engine-region-01-1-" + std::to_string(number),
                .peer = "10.0." + std::to_string(number / 250) + "." +
                        std::to_string(number % 250 + 1) + ":7100",
                .region = "region-01",
                .data_centre = "region-01-1",
                .role = role,
                .service = role == MemberRole::kAgent ? "chat-model" : "",
                .incarnation = 1'700'000'000'000'000,
                .ready = true};
}

// Fills the member list by one ping from each other member, which carries that member's update.
void AddMembers(Membership& membership, int members, Instant now) {
  for (int i = 1; i < members; ++i) {
    Membership::MessageArrived event;
    const Member peer = MakeMember(i, MemberRole::kAgent);
    event.message.set_from_vm(peer.vm);
    event.message.set_from_peer(peer.peer);
    event.message.set_from_incarnation(peer.incarnation);
    *event.message.mutable_ping()->add_updates() = ToUpdate(peer);
    membership.Handle(event, now);
  }
}

// Acknowledges every ping, so that no member becomes suspected. Returns the bytes sent and
// received.
std::size_t AnswerPings(Membership& membership, const std::vector<Membership::Action>& actions,
                        Instant now) {
  std::size_t bytes = 0;
  for (const Membership::Action& action : actions) {
    const auto* send = std::get_if<Membership::SendMessage>(&action);
    if (send == nullptr) continue;
    bytes += send->message.ByteSizeLong();
    if (!send->message.has_ping()) continue;
    Membership::MessageArrived ack;
    ack.message.set_from_peer(send->peer);
    ack.message.mutable_ping_ack()->set_sequence(send->message.ping().sequence());
    const std::size_t ack_bytes = send->message.ByteSizeLong();
    bytes += ack_bytes;  // an acknowledgement is about as long as the ping
    membership.Handle(ack, now);
  }
  return bytes;
}

ordered_json MeasureMembership(int members) {
  Random random(1);
  const std::size_t heap_before = HeapBytes();
  Membership membership(MakeMember(0, MemberRole::kEntry), {}, random);
  Instant now = Instant(std::chrono::hours(1));
  membership.Handle(Membership::Start{}, now);
  AddMembers(membership, members, now);
  const std::size_t heap = HeapBytes() - heap_before;
  std::size_t bytes = 0;
  const double before = ProcessCpuSeconds();
  for (int tick = 0; tick < kMembershipSeconds * 10; ++tick) {
    now += kTick;
    bytes += AnswerPings(membership, membership.Handle(Membership::Tick{}, now), now);
  }
  return {{"members", members},
          {"live_at_end", membership.Members().size()},
          {"heap_bytes_per_member", heap / static_cast<std::size_t>(members)},
          {"cpu_us_per_second", (ProcessCpuSeconds() - before) * 1e6 / kMembershipSeconds},
          {"message_bytes_per_second", bytes / kMembershipSeconds}};
}

wire::Tables MakeTablesWithOneRoute() {
  wire::Tables tables;
  tables.set_revision(1);
  wire::Pool* pool = tables.add_pools();
  pool->set_name("chat-model");
  pool->set_service("chat-model");
  wire::Route* route = tables.add_routes();
  route->set_name("chat");
  route->set_path_prefix("/");
  route->set_pool("chat-model");
  route->set_request_class("interactive");
  route->set_idempotent(true);
  route->set_deadline_ms(60'000);
  return tables;
}

std::unique_ptr<RequestFlow> MakeFlow(Random& random, Instant now, int agents) {
  RequestFlowOptions options{.vm = "entry-1", .incarnation = 5, .balancer = {.vm = "entry-1"}};
  options.balancer.entries_per_agent = 1'000;
  auto flow = std::make_unique<RequestFlow>(options, random);
  std::vector<Member> members;
  members.reserve(static_cast<std::size_t>(agents));
  for (int i = 0; i < agents; ++i) members.push_back(MakeMember(i, MemberRole::kAgent));
  flow->Handle(TablesChanged{MakeTablesWithOneRoute()}, now);
  flow->Handle(MembersChanged{members}, now);
  for (const Member& member : members) {
    flow->Handle(
        ReportArrived{
            {.vm = member.vm, .incarnation = member.incarnation, .capacity = 64, .ready = true}},
        now);
  }
  return flow;
}

// Passes one request and the parts of its answer through the entry's core. Returns false when no
// attempt was started.
bool RunRequest(RequestFlow& flow, RequestId id, Instant now) {
  const auto actions = flow.Handle(RequestArrived{.id = id,
                                                  .account = "shop-" + std::to_string(id % 10),
                                                  .method = "POST",
                                                  .path = "/chat"},
                                   now);
  for (const RequestAction& action : actions) {
    const auto* start = std::get_if<StartAttempt>(&action);
    if (start == nullptr) continue;
    for (std::uint32_t part = 0; part < kPartsPerRequest; ++part) {
      flow.Handle(PartArrived{.attempt = start->attempt, .number = part, .status = 200}, now);
    }
    flow.Handle(EndArrived{.attempt = start->attempt, .parts = kPartsPerRequest}, now);
    return true;
  }
  return false;
}

ordered_json MeasureEntry(int agents) {
  Random random(2);
  const Instant now = Instant(std::chrono::hours(1));
  const auto flow = MakeFlow(random, now, agents);
  int started = 0;
  const double before = ProcessCpuSeconds();
  for (int i = 1; i <= kRequests; ++i) started += RunRequest(*flow, i, now) ? 1 : 0;
  return {{"agents", agents},
          {"requests", kRequests},
          {"started", started},
          {"parts_per_request", kPartsPerRequest},
          {"cpu_us_per_request", (ProcessCpuSeconds() - before) * 1e6 / kRequests}};
}

ordered_json MeasureGate() {
  const Instant now = Instant(std::chrono::hours(1));
  UpstreamGate gate({.incarnation = 7, .engine = false});
  gate.Handle(ReadinessSet{.ready = true}, now);
  const std::size_t heap_before = HeapBytes();
  const double before = ProcessCpuSeconds();
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    const AttemptKey id{.entry_vm = "entry-1", .entry_incarnation = 5, .sequence = i};
    gate.Handle(StartReceived{.id = id,
                              .reply_to = "10.0.0.9:7000",
                              .agent_incarnation = 7,
                              .time_left = std::chrono::seconds(60),
                              .idempotent = true},
                now);
    gate.Handle(HeadReceived{.id = id}, now);
    for (int part = 1; part < kPartsPerRequest; ++part) {
      gate.Handle(BodyReceived{.id = id, .bytes = 60}, now);
    }
    gate.Handle(CallEnded{.id = id}, now);
  }
  return {{"attempts", kRequests},
          {"cpu_us_per_attempt", (ProcessCpuSeconds() - before) * 1e6 / kRequests},
          {"heap_bytes_per_remembered_attempt", (HeapBytes() - heap_before) / kRequests}};
}

std::vector<SpreadPeer> MakePeers(int members) {
  std::vector<SpreadPeer> peers;
  for (int i = 0; i < members; ++i) {
    const Member member = MakeMember(i, MemberRole::kAgent);
    peers.push_back({.vm = member.vm, .peer = member.peer, .region = member.region});
  }
  return peers;
}

// Measures the state of a weights copy: the manifest and the chunk maps of all neighbours.
ordered_json MeasureCopy(std::uint32_t chunks, int members) {
  Random random(3);
  const std::vector<std::byte> weights(std::size_t{chunks} * kChunkBytes);
  const auto manifest =
      std::make_shared<const Manifest>(Manifest::Build(weights, kChunkBytes, "writer"));
  const std::vector<SpreadPeer> peers = MakePeers(members);
  const std::size_t heap_before = HeapBytes();
  ChunkStore store(0);
  ChunkSpreader spreader(
      {.vm = peers.front().vm, .region = "region-01", .origin_region = "region-01"}, store, random);
  const Instant now = Instant(std::chrono::hours(1));
  store.SetWanted(manifest);
  const double before = ProcessCpuSeconds();
  spreader.Handle(now, PoolMembersChanged{peers});
  const double members_cpu = ProcessCpuSeconds() - before;
  spreader.Handle(now, CopyWanted{.manifest = manifest});
  const std::string bits((chunks + 7) / 8, '\0');
  for (const SpreadPeer& peer : peers) {
    spreader.Handle(now, MapReceived{peer.peer, manifest->Id(), bits});
  }
  const std::size_t heap = HeapBytes() - heap_before;
  const double tick_before = ProcessCpuSeconds();
  for (int i = 0; i < 100; ++i) spreader.Handle(now + i * kTick, SpreadTick{});
  return {{"chunks", chunks},
          {"members", members},
          {"heap_bytes_per_chunk", heap / chunks},
          {"cpu_ms_members_changed", members_cpu * 1e3},
          {"cpu_us_per_tick", (ProcessCpuSeconds() - tick_before) * 1e6 / 100}};
}

ordered_json MeasureRanks(int members) {
  const std::vector<SpreadPeer> peers = MakePeers(members);
  const double before = ProcessCpuSeconds();
  const OriginRanks ranks({.manifest = Sha256("weights"),
                           .chunk_count = 4096,
                           .vm = peers.front().vm,
                           .region = "region-01",
                           .origin_region = "region-01",
                           .members = peers});
  return {{"members", members}, {"cpu_ms", (ProcessCpuSeconds() - before) * 1e3}};
}

}  // namespace

double ProcessCpuSeconds() {
  timespec spent = {};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

ordered_json MeasureCoreCosts() {
  ordered_json result;
  for (const int members : {20, 100, 400, 1010}) {
    result["membership"].push_back(MeasureMembership(members));
  }
  for (const int agents : {3, 20, 60}) result["entry"].push_back(MeasureEntry(agents));
  result["gate"] = MeasureGate();
  for (const std::uint32_t chunks : {1'000U, 10'000U, 100'000U}) {
    result["copy"].push_back(MeasureCopy(chunks, kNeighbours));
  }
  result["copy"].push_back(MeasureCopy(10'000, 690));
  for (const int members : {32, 138, 690}) result["ranks"].push_back(MeasureRanks(members));
  return result;
}

}  // namespace savory
