// Simulates claims in virtual time against a key-value service with limited rates and measures
// the number of calls, the latency and the stored size. SAVORY_CLAIM_TABLE=1 prints the table of
// docs/decisions/claims.md.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>

#include "claims/claim_router.h"
#include "claims/claim_test_util.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

// Rates of the platform's key-value service, as stated on the design page.
constexpr double kWritesPerSecond = 300;
constexpr double kReadsPerSecond = 2000;
constexpr Duration kCallLatency = milliseconds(2);
constexpr Duration kMaxServiceQueue = std::chrono::seconds(1);  // beyond it, writes are refused
constexpr Duration kForwardLatency = milliseconds(2);           // one way, between two entries

struct Setup {
  std::uint32_t entries = 1;
  std::uint32_t shards = 64;
  double claims_per_second = 10;
  Duration batch_delay = milliseconds(5);
  bool forwarded = false;   // each shard's claims go to one entry
  double message_loss = 0;  // fraction of messages between entries
  Duration length = std::chrono::seconds(20);
};

struct Measurement {
  std::uint64_t granted = 0;
  std::uint64_t refused = 0;
  double writes_per_second = 0;
  double reads_per_second = 0;
  double conflicts_per_second = 0;
  double mean_ms = 0;
  double p95_ms = 0;
};

class Simulation {
 public:
  explicit Simulation(Setup setup) : setup(setup) {
    std::vector<EntryAddress> peers;
    for (std::uint32_t i = 0; i < setup.entries; ++i) {
      std::string prefix = std::to_string(i);
      prefix.resize(ClaimShard::kNonceBytes / 2, '-');
      const ClaimBatcherOptions options{
          .shards = setup.shards, .batch_delay = setup.batch_delay, .nonce_prefix = prefix};
      this->batchers.push_back(std::make_unique<ClaimBatcher>(options, this->random));
      this->routers.emplace_back(ClaimRouterOptions{
          .vm = std::to_string(i), .shards = setup.shards, .nonce_prefix = prefix});
      peers.push_back({.vm = std::to_string(i), .peer = std::to_string(i)});
    }
    if (!setup.forwarded) return;
    for (ClaimRouter& router : this->routers) {
      router.Handle(EntriesChanged{.entries = peers}, this->now);
    }
  }

  Measurement Run() {
    this->Schedule(this->now, [this] { this->AddRequest(); });
    const Instant end = this->now + this->setup.length;
    while (this->now < end) this->RunNextEvent();
    return this->Summarize();
  }

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };
  struct OpenRequest {
    Instant arrived;
    Digest key;
    std::size_t entry;
  };

  void Schedule(Instant at, std::function<void()> run) {
    this->events.push({.at = at, .order = ++this->scheduled, .run = std::move(run)});
  }

  void RunNextEvent() {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.run();
  }

  void AddRequest() {
    const double gap = -std::log(1 - UniformUnit(this->random)) / this->setup.claims_per_second;
    this->Schedule(this->now + FromSeconds(gap), [this] { this->AddRequest(); });
    const std::uint64_t id = ++this->last_id;
    const wire::Claim claim = TestClaim(std::to_string(id), "request", "entry", id);
    const Digest key = DigestFromRaw(claim.key());
    const std::size_t entry = UniformBelow(this->random, this->setup.entries);
    this->open_requests.emplace(id, OpenRequest{.arrived = this->now, .key = key, .entry = entry});
    this->HandleRouterEvent(
        entry, LocalClaimRequest{
                   {.id = id, .claim = claim, .deadline = this->now + std::chrono::seconds(2)}});
  }

  void HandleRouterEvent(std::size_t entry, const ClaimRouterEvent& event) {
    ClaimRouter& router = this->routers[entry];
    for (ClaimRouterAction& action : router.Handle(event, this->now)) {
      std::visit([&](auto& typed) { this->Perform(entry, typed); }, action);
    }
    const Instant tick = router.NextTick();
    if (tick == Instant::max()) return;
    this->Schedule(std::max(tick, this->now), [this, entry, tick] {
      if (this->routers[entry].NextTick() == tick) {
        this->HandleRouterEvent(entry, ClaimRouterTick{});
      }
    });
  }

  void Send(const std::string& peer, ClaimRouterEvent event) {
    if (UniformUnit(this->random) < this->setup.message_loss) return;
    this->Schedule(this->now + kForwardLatency,
                   [this, to = std::stoul(peer), event] { this->HandleRouterEvent(to, event); });
  }

  void Perform(std::size_t entry, SubmitToBatcher& action) {
    this->HandleBatcherEvent(entry, action.event);
  }
  void Perform(std::size_t entry, SendForward& action) {
    this->Send(action.peer,
               ForwardArrived{.peer = std::to_string(entry), .forward = std::move(action.forward)});
  }
  void Perform(std::size_t, SendForwardAnswer& action) {
    this->Send(action.peer, ForwardAnswered{.answer = std::move(action.answer)});
  }

  void HandleBatcherEvent(std::size_t entry, const ClaimEvent& event) {
    ClaimBatcher& batcher = *this->batchers[entry];
    for (ClaimAction& action : batcher.Handle(event, this->now, kTestUnixS)) {
      std::visit([&](auto& typed) { this->Perform(entry, typed); }, action);
    }
    const Instant tick = batcher.NextTick();
    if (tick == Instant::max()) return;
    this->Schedule(std::max(tick, this->now), [this, entry, tick] {
      if (this->batchers[entry]->NextTick() == tick) this->HandleBatcherEvent(entry, ClaimTick{});
    });
  }

  void Perform(std::size_t entry, ClaimRead& read) {
    const Instant done = this->Serve(this->reads_free_at, kReadsPerSecond);
    this->Schedule(
        done, [this, entry, read] { this->HandleBatcherEvent(entry, this->kv.Read(read.shard)); });
  }

  void Perform(std::size_t entry, ClaimWrite& write) {
    if (this->writes_free_at > this->now + kMaxServiceQueue) {
      const ClaimWriteDone refused{.shard = write.shard, .result = ClaimWriteResult::kUnavailable};
      this->Schedule(this->now + kCallLatency,
                     [this, entry, refused] { this->HandleBatcherEvent(entry, refused); });
      return;
    }
    const Instant done = this->Serve(this->writes_free_at, kWritesPerSecond);
    this->Schedule(
        done, [this, entry, write] { this->HandleBatcherEvent(entry, this->kv.Write(write)); });
  }

  Instant Serve(Instant& free_at, double per_second) const {
    free_at = std::max(free_at, this->now) + FromSeconds(1 / per_second);
    return free_at + kCallLatency;
  }

  void Perform(std::size_t entry, ClaimReply& reply) {
    this->HandleRouterEvent(entry, BatcherReplied{.reply = std::move(reply)});
  }

  void Perform(std::size_t entry, AnswerLocalRequest& reply) {
    const OpenRequest request = this->open_requests.at(reply.id);
    this->open_requests.erase(reply.id);
    if (!reply.answer) {
      ++this->refused;
      return;
    }
    this->latencies.push_back(ToSeconds(this->now - request.arrived) * 1e3);
    const LocalClaimFinish finish{{.key = request.key,
                                   .nonce = std::get<ClaimGranted>(reply.answer.value()).nonce,
                                   .answer = {.status = 200, .record = false}}};
    this->Schedule(this->now + milliseconds(20),
                   [this, entry, finish] { this->HandleRouterEvent(entry, finish); });
  }

  Measurement Summarize() {
    const double seconds = ToSeconds(this->setup.length);
    Measurement measured{.granted = this->latencies.size(),
                         .refused = this->refused,
                         .writes_per_second = static_cast<double>(this->kv.writes) / seconds,
                         .reads_per_second = static_cast<double>(this->kv.reads) / seconds,
                         .conflicts_per_second = static_cast<double>(this->kv.conflicts) / seconds};
    if (this->latencies.empty()) return measured;
    std::sort(this->latencies.begin(), this->latencies.end());
    for (const double latency : this->latencies) measured.mean_ms += latency;
    measured.mean_ms /= static_cast<double>(this->latencies.size());
    measured.p95_ms = this->latencies[this->latencies.size() * 95 / 100];
    return measured;
  }

  Setup setup;
  Random random = Random(3);
  FakeKv kv;
  Instant now = Instant(std::chrono::hours(1));
  Instant reads_free_at = {};
  Instant writes_free_at = {};
  std::vector<std::unique_ptr<ClaimBatcher>> batchers;
  std::vector<ClaimRouter> routers;
  std::priority_queue<Event> events;
  std::uint64_t scheduled = 0;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, OpenRequest> open_requests;
  std::vector<double> latencies;
  std::uint64_t refused = 0;
};

Measurement Measure(const Setup& setup) {
  const Measurement measured = Simulation(setup).Run();
  std::printf(
      "%s E=%u S=%u R=%.0f/s delay=%lldms loss=%.2f granted=%llu refused=%llu writes=%.0f/s "
      "reads=%.0f/s conflicts=%.1f/s mean=%.1fms p95=%.1fms\n",
      setup.forwarded ? "forwarded" : "direct", setup.entries, setup.shards,
      setup.claims_per_second, static_cast<long long>(ToMillis(setup.batch_delay)),
      setup.message_loss, static_cast<unsigned long long>(measured.granted),
      static_cast<unsigned long long>(measured.refused), measured.writes_per_second,
      measured.reads_per_second, measured.conflicts_per_second, measured.mean_ms, measured.p95_ms);
  return measured;
}

// Guards against one write per claim: 200 claims/s in one shard of one entry with a batch delay of
// 50 ms must need at most one write per batch delay, 20 writes/s. Outcomes share these writes.
TEST(ClaimCapacityTest, ClaimsOfAShardShareWrites) {
  const Measurement measured =
      Measure({.shards = 1, .claims_per_second = 200, .batch_delay = milliseconds(50)});
  EXPECT_EQ(measured.refused, 0U);
  EXPECT_LE(measured.writes_per_second, 20);
}

// Guards against starvation when 8 entries write the same shard: no claim may be refused.
TEST(ClaimCapacityTest, CompetingEntriesAllGetTheirClaims) {
  const Measurement measured = Measure({.entries = 8, .shards = 1, .claims_per_second = 20});
  EXPECT_EQ(measured.refused, 0U);
}

// Guards against growth of the stored form: the size of a claim limits how many a value can hold.
TEST(ClaimCapacityTest, StoredBytesPerClaim) {
  ClaimShard shard(ClaimShardLimits{});
  std::size_t count = 0;
  std::size_t unfinished = 0;
  while (true) {
    wire::Claim claim = TestClaim(std::to_string(count), "request", "entry-vm-17", count);
    claim.set_nonce(std::string(ClaimShard::kNonceBytes, 'n'));
    claim.set_claimed_unix_s(kTestUnixS);
    const std::size_t before = shard.Bytes();
    if (!shard.Add(claim)) break;
    unfinished = shard.Bytes() - before;
    shard.Finish(DigestFromRaw(claim.key()), claim.nonce(), {.status = 200, .record = false});
    ++count;
  }
  const std::string bytes = shard.Encode();
  const auto started = std::chrono::steady_clock::now();
  const auto decoded = ClaimShard::Decode(bytes, ClaimShardLimits{});
  const auto between = std::chrono::steady_clock::now();
  EXPECT_EQ(decoded.value().Encode(), bytes);
  const auto ended = std::chrono::steady_clock::now();
  std::printf("unfinished=%zuB finished=%.1fB claims=%zu value=%zuB decode=%.2fms encode=%.2fms\n",
              unfinished, static_cast<double>(bytes.size()) / static_cast<double>(count), count,
              bytes.size(), std::chrono::duration<double, std::milli>(between - started).count(),
              std::chrono::duration<double, std::milli>(ended - between).count());
  EXPECT_LE(bytes.size() / count, 45U);
}

// Prints the table of docs/decisions/claims.md if SAVORY_CLAIM_TABLE is set; otherwise runs one
// short simulation.
TEST(ClaimCapacityTest, Table) {
  if (std::getenv("SAVORY_CLAIM_TABLE") == nullptr) {
    Measure({.entries = 2, .claims_per_second = 20, .length = std::chrono::seconds(2)});
    return;
  }
  for (const int delay : {1, 5, 20, 50, 100, 200}) {
    Measure({.shards = 1, .claims_per_second = 200, .batch_delay = milliseconds(delay)});
  }
  for (const std::uint32_t entries : {1, 2, 4, 8, 16, 32}) {
    Measure({.entries = entries, .shards = 1, .claims_per_second = 40});
  }
  for (const std::uint32_t entries : {10, 20, 40, 80, 160, 320}) {
    Measure({.entries = entries, .claims_per_second = entries * 270.0 / 320});
  }
  for (const bool forwarded : {false, true}) {
    for (const int delay : {5, 50, 100, 200}) {
      Measure({.entries = 320,
               .claims_per_second = 270,
               .batch_delay = milliseconds(delay),
               .forwarded = forwarded});
    }
  }
  for (const double loss : {0.01, 0.1}) {
    Measure({.entries = 320,
             .claims_per_second = 270,
             .batch_delay = milliseconds(100),
             .forwarded = true,
             .message_loss = loss});
  }
  for (const std::uint32_t entries : {10, 40, 80, 160}) {
    Measure({.entries = entries, .claims_per_second = entries * 270.0 / 320, .forwarded = true});
  }
  for (const std::uint32_t shards : {16, 1536}) {
    Measure({.entries = 320,
             .shards = shards,
             .claims_per_second = 270,
             .batch_delay = milliseconds(100),
             .forwarded = true});
  }
}

}  // namespace
}  // namespace savory
