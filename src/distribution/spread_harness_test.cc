#include "distribution/spread_harness.h"

#include <algorithm>

namespace savory {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(5);
constexpr Duration kStall = std::chrono::seconds(3);
constexpr Duration kOriginReplyTime = std::chrono::milliseconds(2);

SharedChunk BytesOf(const std::vector<std::byte>& weights, ChunkRange range) {
  const auto begin = weights.begin() + static_cast<std::ptrdiff_t>(range.offset);
  return std::make_shared<const std::vector<std::byte>>(begin, begin + range.length);
}

SharedChunk Flipped(const SharedChunk& bytes) {
  auto copy = *bytes;
  copy[copy.size() / 2] ^= std::byte{1};
  return std::make_shared<const std::vector<std::byte>>(std::move(copy));
}

}  // namespace

SpreadHarness::SpreadHarness(const HarnessOptions& options)
    : options(options), random(options.seed) {
  this->weights.resize((options.chunks - 1) * options.chunk_size + options.last_chunk);
  for (std::byte& byte : this->weights) byte = static_cast<std::byte>(this->random() & 0xff);
  this->manifest =
      std::make_shared<const Manifest>(Manifest::Build(this->weights, options.chunk_size, "model"));
  this->agents.resize(options.agents);
  for (std::size_t i = 0; i < options.agents; ++i) this->CreateAgent(i);
}

void SpreadHarness::CreateAgent(std::size_t agent) {
  Agent& created = this->agents[agent];
  created.spreader.reset();
  created.store = std::make_unique<ChunkStore>(0);
  SpreadOptions spread = this->options.spread;
  spread.vm = this->NameOf(agent);
  spread.region = this->RegionOf(agent);
  spread.origin_region = "a";
  spread.strategy = this->options.strategy;
  spread.link_bytes_per_second = this->options.link;
  spread.weights_share = this->options.weights_share;
  spread.inter_region_bytes_per_second = this->options.inter_region;
  created.spreader = std::make_unique<ChunkSpreader>(spread, *created.store, this->random);
  created.alive = true;
  ++created.epoch;
  this->At(this->now, [this, agent, epoch = created.epoch] { this->TickAgent(agent, epoch); });
}

void SpreadHarness::At(Instant due, std::function<void()> run) {
  this->tasks.push(Task{.due = due, .order = this->next_order++, .run = std::move(run)});
}

void SpreadHarness::StartAll() {
  std::set<std::size_t> all;
  for (std::size_t i = 0; i < this->agents.size(); ++i) all.insert(i);
  for (std::size_t i = 0; i < this->agents.size(); ++i) {
    this->StartAgent(i);
    this->SetMembers(i, all);
  }
}

void SpreadHarness::StartAgent(std::size_t agent) {
  this->agents[agent].store->SetWanted(this->manifest);
  this->HandleEvent(agent, CopyWanted{.manifest = this->manifest,
                                      .favour_origin_bytes = this->options.favour_origin_bytes});
}

void SpreadHarness::SetMembers(std::size_t agent, const std::set<std::size_t>& members) {
  PoolMembersChanged event;
  for (const std::size_t i : members) {
    event.members.push_back(
        {.vm = this->NameOf(i), .peer = this->NameOf(i), .region = this->RegionOf(i)});
  }
  this->HandleEvent(agent, event);
}

void SpreadHarness::Restart(std::size_t agent) { this->CreateAgent(agent); }

void SpreadHarness::TickAgent(std::size_t agent, int epoch) {
  if (!this->agents[agent].alive || this->agents[agent].epoch != epoch) return;
  if (this->options.probe_links) this->ProbeLink(agent);
  this->HandleEvent(agent, SpreadTick{});
  this->At(this->now + kTickPeriod, [this, agent, epoch] { this->TickAgent(agent, epoch); });
}

Duration SpreadHarness::QueueOf(std::size_t agent) const {
  const Agent& own = this->agents[agent];
  return std::max(Duration(0), own.sent_until - this->now) +
         std::max(Duration(0), own.received_until - this->now);
}

void SpreadHarness::ProbeLink(std::size_t agent) {
  CongestionDetector& congestion = this->agents[agent].congestion;
  congestion.Advance(this->now);
  if (congestion.ProbeIsDue(this->now)) {
    const std::size_t peer = UniformBelow(this->random, this->agents.size());
    const Duration delay = this->QueueOf(agent) + this->QueueOf(peer) + 2 * this->options.latency;
    this->At(this->now + delay, [this, agent, number = congestion.StartProbe(this->now)] {
      this->agents[agent].congestion.OnProbeReply(number, this->now);
    });
  }
  const LinkStateChanged next{.until = congestion.PausedUntil(),
                              .state = congestion.State(this->now)};
  LinkStateChanged& last_status = this->agents[agent].link_status;
  if (next.state == last_status.state && next.until <= last_status.until) return;
  if (next.state == LinkState::kNarrow && last_status.state != next.state) {
    ++this->agents[agent].times_narrow;
  }
  last_status = next;
  this->HandleEvent(agent, next);
}

void SpreadHarness::HandleEvent(std::size_t agent, const SpreadEvent& event) {
  if (!this->agents[agent].alive) return;
  for (const SpreadAction& action : this->agents[agent].spreader->Handle(this->now, event)) {
    std::visit([&](const auto& item) { this->Do(agent, item); }, action);
  }
}

void SpreadHarness::Deliver(std::size_t from, const std::string& to, SpreadEvent event) {
  const std::size_t target = this->IndexOf(to);
  if (this->agents[from].silent || this->agents[target].silent) return;
  const auto* chunk = std::get_if<ChunkArrived>(&event);
  const double bytes = chunk == nullptr ? 0 : static_cast<double>(chunk->chunk.Bytes()->size());
  const auto deliver = [this, target, epoch = this->agents[target].epoch,
                        event = std::move(event)] {
    if (this->agents[target].epoch == epoch) this->HandleEvent(target, event);
  };
  if (chunk == nullptr) ++this->control_messages;
  const bool has_links = this->options.real_link > 0 || this->options.slow_every > 0;
  if (chunk == nullptr || !has_links) {
    return this->At(this->now + this->options.latency, deliver);
  }
  this->Transfer(from, target, bytes,
                 [this, deliver] { this->At(this->now + this->options.latency, deliver); });
}

Instant SpreadHarness::PassLink(std::size_t agent, Instant& busy_until, double bytes) {
  const double rate = this->IsSlow(agent) ? this->options.slow_link : this->options.real_link;
  if (rate <= 0) return this->now;
  this->queue_sum += std::max(0.0, ToSeconds(busy_until - this->now));
  busy_until = std::max(busy_until, this->now) + FromSeconds(bytes / rate);
  return busy_until;
}

void SpreadHarness::Transfer(std::optional<std::size_t> from, std::size_t to, double bytes,
                             std::function<void()> arrived) {
  ++this->transfers;
  const Instant sent =
      from ? this->PassLink(*from, this->agents[*from].sent_until, bytes) : this->now;
  this->At(sent, [this, to, bytes, arrived = std::move(arrived)] {
    this->At(this->PassLink(to, this->agents[to].received_until, bytes), arrived);
  });
}

bool SpreadHarness::FastComplete(double part) const {
  std::size_t fast = 0;
  std::size_t complete = 0;
  for (std::size_t i = 0; i < this->agents.size(); ++i) {
    if (this->IsSlow(i)) continue;
    ++fast;
    complete += this->IsComplete(i) ? 1 : 0;
  }
  return static_cast<double>(complete) >= part * static_cast<double>(fast);
}

void SpreadHarness::Run(Duration max_time, const std::function<bool()>& done) {
  const Instant end = this->now + max_time;
  while (!this->tasks.empty() && this->tasks.top().due <= end && !done()) {
    const Task task = this->tasks.top();
    this->tasks.pop();
    this->now = std::max(this->now, task.due);
    task.run();
  }
  if (!done()) this->now = end;
}

bool SpreadHarness::RunUntilComplete(Duration max_time) {
  this->Run(max_time, [this] { return this->AllComplete(); });
  return this->AllComplete();
}

bool SpreadHarness::IsComplete(std::size_t agent) const {
  const WeightsCopy* copy = this->agents[agent].store->Find(this->manifest->Id());
  return copy != nullptr && copy->IsComplete();
}

bool SpreadHarness::AllComplete() const {
  for (std::size_t i = 0; i < this->agents.size(); ++i) {
    if (this->agents[i].alive && !this->agents[i].silent && !this->IsComplete(i)) return false;
  }
  return true;
}

std::size_t SpreadHarness::Holders(std::uint32_t chunk) const {
  std::size_t count = 0;
  for (const Agent& agent : this->agents) {
    const WeightsCopy* copy = agent.store->Find(this->manifest->Id());
    if (agent.alive && copy != nullptr && copy->Holds(chunk)) ++count;
  }
  return count;
}

double SpreadHarness::OriginCopies() const {
  return this->origin_bytes / static_cast<double>(this->weights.size());
}

double SpreadHarness::CrossedCopies() const {
  return this->crossed_bytes / static_cast<double>(this->weights.size());
}

double SpreadHarness::BoundSeconds() const {
  const auto size = static_cast<double>(this->weights.size());
  const auto count = static_cast<double>(this->agents.size());
  return std::max({size / this->options.origin_rate, size / this->options.link,
                   count * size / (this->options.origin_rate + count * this->options.link)});
}

void SpreadHarness::Do(std::size_t agent, const SendMap& action) {
  const WeightsCopy* copy = this->agents[agent].store->Find(action.manifest);
  if (copy == nullptr) return;
  this->Deliver(agent, action.to,
                MapReceived{.from = this->NameOf(agent),
                            .manifest = action.manifest,
                            .bits = action.empty ? std::string(ChunkBits(*copy).size(), '\0')
                                                 : ChunkBits(*copy),
                            .reply_wanted = action.reply_wanted});
}

void SpreadHarness::Do(std::size_t agent, const SendHave& action) {
  this->Deliver(
      agent, action.to,
      HaveReceived{
          .from = this->NameOf(agent), .manifest = action.manifest, .chunks = action.chunks});
}

void SpreadHarness::Do(std::size_t agent, const SendRequest& action) {
  this->Deliver(agent, action.to,
                RequestReceived{.from = this->NameOf(agent),
                                .manifest = action.manifest,
                                .chunk = action.chunk,
                                .request_id = action.request_id});
}

void SpreadHarness::Do(std::size_t agent, const SendCancel& action) {
  this->Deliver(agent, action.to,
                ChunkCancelReceived{.from = this->NameOf(agent), .request_id = action.request_id});
}

void SpreadHarness::Do(std::size_t agent, const SendChunk& action) {
  const SharedChunk& held = this->agents[agent].store->Find(action.manifest)->chunks[action.chunk];
  if (this->RegionOf(agent) != this->RegionOf(this->IndexOf(action.to))) {
    this->crossed_bytes += static_cast<double>(held->size());
  }
  const SharedChunk sent = this->agents[agent].corrupts ? Flipped(held) : held;
  auto chunk = VerifiedChunk::Verify(*this->manifest, action.chunk, sent);
  if (chunk) {
    this->Deliver(agent, action.to,
                  ChunkArrived{.from = this->NameOf(agent), .chunk = std::move(*chunk)});
    return;
  }
  ++this->agents[this->IndexOf(action.to)].corrupt_received;
  this->Deliver(
      agent, action.to,
      ChunkCorrupt{
          .from = this->NameOf(agent), .manifest = action.manifest, .chunk = action.chunk});
}

void SpreadHarness::Do(std::size_t agent, const SendRefusal& action) {
  this->Deliver(agent, action.to,
                RefusalReceived{.from = this->NameOf(agent),
                                .manifest = action.manifest,
                                .chunk = action.chunk,
                                .request_id = action.request_id,
                                .busy = action.busy});
}

void SpreadHarness::Do(std::size_t agent, const SendHold& action) {
  this->Deliver(agent, action.to, HoldReceived{.hold = action.hold});
}

SpreadEvent SpreadHarness::OriginAnswer(std::size_t agent, std::uint32_t chunk) {
  const Digest& id = this->manifest->Id();
  if (this->throttle_next > Duration::zero()) {
    return OriginThrottled{.manifest = id,
                           .chunk = chunk,
                           .retry_after = std::exchange(this->throttle_next, Duration::zero())};
  }
  if (this->origin_down || this->agents[agent].origin_stalls) {
    return OriginFailed{.manifest = id, .chunk = chunk};
  }
  const ChunkRange range = this->manifest->RangeOf(chunk);
  this->origin_bytes += range.length;
  if (this->origin_changed) return OriginMismatch{.manifest = id, .chunk = chunk};
  const SharedChunk bytes = BytesOf(this->weights, range);
  return OriginChunkRead{.chunk = *VerifiedChunk::Verify(*this->manifest, chunk, bytes)};
}

void SpreadHarness::Do(std::size_t agent, const ReadOrigin& action) {
  ++this->agents[agent].origin_reads;
  const bool fails = this->origin_down || this->throttle_next > Duration::zero();
  Instant due = this->now + kOriginReplyTime;
  if (this->options.origin_shares && !fails && !this->agents[agent].origin_stalls) {
    this->AdvanceOrigin();
    this->origin_reads.push_back(
        {.agent = agent,
         .epoch = this->agents[agent].epoch,
         .chunk = action.chunk,
         .bytes_left = static_cast<double>(this->manifest->RangeOf(action.chunk).length)});
    return this->AdvanceOrigin();
  }
  if (this->agents[agent].origin_stalls) {
    due = this->now + kStall;
  } else if (!fails) {
    const double seconds = this->manifest->RangeOf(action.chunk).length / this->options.origin_rate;
    this->origin_free = std::max(this->origin_free, this->now) + FromSeconds(seconds);
    due = this->origin_free;
    if (this->IsSlow(agent)) {
      Instant& until = this->agents[agent].received_until;
      const double bytes = this->manifest->RangeOf(action.chunk).length;
      due = until = std::max(until, due) + FromSeconds(bytes / this->options.slow_link);
    }
  }
  this->At(due, [this, agent, epoch = this->agents[agent].epoch, chunk = action.chunk] {
    if (this->agents[agent].epoch == epoch) {
      this->HandleEvent(agent, this->OriginAnswer(agent, chunk));
    }
  });
}

void SpreadHarness::AdvanceOrigin() {
  const auto count = static_cast<double>(this->origin_reads.size());
  const Duration passed = this->now - std::exchange(this->origin_advanced, this->now);
  std::vector<OriginRead> done;
  double least = 0;
  for (OriginRead& read : this->origin_reads) {
    read.bytes_left -= ToSeconds(passed) * this->options.origin_rate / count;
    if (read.bytes_left < 1) done.push_back(read);
  }
  std::erase_if(this->origin_reads, [](const OriginRead& read) { return read.bytes_left < 1; });
  for (const OriginRead& read : this->origin_reads) {
    least = least == 0 ? read.bytes_left : std::min(least, read.bytes_left);
  }
  if (!this->origin_reads.empty()) {
    const double left = static_cast<double>(this->origin_reads.size());
    this->At(this->now + FromSeconds(least * left / this->options.origin_rate) + Duration(1),
             [this, change = ++this->origin_schedule] {
               if (change == this->origin_schedule) this->AdvanceOrigin();
             });
  }
  for (const OriginRead& read : done) {
    if (this->agents[read.agent].epoch != read.epoch) continue;
    this->Transfer({}, read.agent, this->options.chunk_size, [this, read] {
      if (this->agents[read.agent].epoch != read.epoch) return;
      this->HandleEvent(read.agent, this->OriginAnswer(read.agent, read.chunk));
    });
  }
}

void SpreadHarness::Do(std::size_t agent, const ProbeOrigin&) {
  this->At(this->now + kOriginReplyTime, [this, agent] {
    const bool changed = this->probes_see_changes && !this->origin_changed;
    this->HandleEvent(agent, OriginProbed{.changed = changed});
  });
}

}  // namespace savory
