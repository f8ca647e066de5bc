// Golden tests: each runs a script of events in virtual time and compares the resulting actions of
// one agent with a file.
#include <gtest/gtest.h>

#include <sstream>

#include "base/golden_test_util.h"
#include "distribution/chunk_spreader.h"
#include "distribution/chunk_store.h"
#include "distribution/load_controller.h"
#include "distribution/manifest_fetch.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kFirst = "aaaabbbbccccdd";
constexpr std::string_view kSecond = "AAAAbbbbCCCCDD";
constexpr std::string_view kThird = "AAAAbbbbxxxxyy";

// The spreader, manifest fetch and load controller of one agent, connected as in the driver.
class Session {
 public:
  Session() {
    this->spreader = std::make_unique<ChunkSpreader>(Options(), this->store, this->random);
  }

  void Wait(Duration time) { this->now += time; }

  void Note(const std::string& text) {
    this->log << ToMillis(this->now - this->begin) << " ms: " << text << '\n';
  }

  std::shared_ptr<const Manifest> Describe(std::string_view weights) {
    auto manifest = std::make_shared<const Manifest>(Manifest::Build(AsBytes(weights), 4, "model"));
    this->names[manifest->Id()] = weights == kFirst    ? "first"
                                  : weights == kSecond ? "second"
                                                       : "third";
    return manifest;
  }

  void Members(std::vector<std::string> vms) {
    this->members.clear();
    for (const std::string& vm : vms) {
      this->members.push_back({.vm = vm, .peer = vm, .region = "south"});
    }
    this->HandleSpread("members", PoolMembersChanged{.members = this->members});
  }

  void Pin(const std::shared_ptr<const Manifest>& manifest) {
    this->Note("row pins " + this->names[manifest->Id()]);
    this->wanted = manifest;
    this->HandleLoad(
        "", LoadTargetChanged{.pool = "chat", .manifest = manifest->Id(), .max_loading = 2});
    this->HandleSpread("", CopyEnded{});
    if (this->store.Find(manifest->Id()) != nullptr) return this->StartCopy();
    this->fetch.Start(this->now, manifest->Id());
    this->fetch.SetMembers(this->members);
    for (const ManifestAction& action : this->fetch.Tick(this->now)) {
      const auto* pull = std::get_if<PullManifest>(&action);
      this->Line(pull != nullptr ? "pull manifest from " + pull->peer : "read manifest at origin");
    }
  }

  void ManifestArrives() {
    this->Note("manifest arrives");
    this->fetch.Stop();
    this->StartCopy();
  }

  void HandleSpread(const std::string& what, const SpreadEvent& event) {
    if (!what.empty()) this->Note(what);
    for (const SpreadAction& action : this->spreader->Handle(this->now, event)) {
      std::visit([this](const auto& item) { this->Show(item); }, action);
    }
  }

  void HandleLoad(const std::string& what, const LoadEvent& event) {
    if (!what.empty()) this->Note(what);
    for (const LoadAction& action : this->load_controller.Handle(this->now, event)) {
      std::visit([this](const auto& item) { this->Show(item); }, action);
    }
  }

  void Tick() { this->HandleSpread("tick", SpreadTick{}); }

  VerifiedChunk ChunkOf(std::string_view weights, std::uint32_t chunk) const {
    const ChunkRange range = this->wanted->RangeOf(chunk);
    const auto bytes = AsBytes(weights.substr(range.offset, range.length));
    return *VerifiedChunk::Verify(
        *this->wanted, chunk,
        std::make_shared<const std::vector<std::byte>>(bytes.begin(), bytes.end()));
  }

  // Answers all pending origin reads and peer requests with the correct bytes.
  void AnswerAll(std::string_view weights) {
    while (!this->reads.empty() || !this->requests.empty()) {
      if (!this->reads.empty()) {
        const std::uint32_t chunk = this->reads.back();
        this->reads.pop_back();
        this->HandleSpread("origin sends chunk " + std::to_string(chunk),
                           OriginChunkRead{.chunk = this->ChunkOf(weights, chunk)});
        continue;
      }
      const SendRequest request = this->requests.back();
      this->requests.pop_back();
      this->HandleSpread(
          request.to + " sends chunk " + std::to_string(request.chunk),
          ChunkArrived{.from = request.to, .chunk = this->ChunkOf(weights, request.chunk)});
    }
  }

  void Load(const Digest& before, const Digest& after) {
    this->HandleLoad("engine reports " + this->NameOf(before),
                     EngineReported{this->now, 1, before, {}});
    this->HandleLoad("lease granted",
                     LeaseGranted{.call = this->last_call, .fence = ++this->fence});
    this->HandleLoad("no request runs", LoadTick{.idle = true});
    this->HandleLoad("engine accepts", LoadResponseReceived{.answer = LoadResponse::kAccepted});
    this->Wait(milliseconds(200));
    this->HandleLoad("engine loads", EngineReported{this->now, 1, {}, after});
    this->Wait(milliseconds(200));
    this->HandleLoad("engine reports " + this->NameOf(after),
                     EngineReported{this->now, 1, after, {}});
  }

  std::string NameOf(const Digest& id) { return id.IsZero() ? "nothing" : this->names[id]; }

  // Compares the log with golden/NAME.txt.
  void Check(const std::string& name) { ExpectGoldenText(name, this->log.str()); }

  std::vector<std::uint32_t> reads = {};
  std::vector<SendRequest> requests = {};
  std::shared_ptr<const Manifest> wanted = {};

 private:
  static SpreadOptions Options() {
    return {.vm = "vm-a",
            .region = "south",
            .origin_region = "south",
            .link_bytes_per_second = 1000,
            .max_origin_reads = 1};
  }

  void StartCopy() {
    this->store.SetWanted(this->wanted);
    this->HandleSpread("", CopyWanted{.manifest = this->wanted});
    this->HandleSpread("", PoolMembersChanged{.members = this->members});
  }

  void Line(const std::string& text) { this->log << "    -> " << text << '\n'; }

  void Show(const ChunkTransferTimed&) {}
  void Show(const SendMap& action) {
    this->Line("map of " + this->NameOf(action.manifest) + " to " + action.to +
               (action.reply_wanted ? ", reply wanted" : ""));
  }
  void Show(const SendHave& action) {
    std::string chunks;
    for (const std::uint32_t chunk : action.chunks) chunks += " " + std::to_string(chunk);
    this->Line("have" + chunks + " to " + action.to);
  }
  void Show(const SendRequest& action) {
    this->requests.push_back(action);
    this->Line("request chunk " + std::to_string(action.chunk) + " from " + action.to);
  }
  void Show(const SendCancel& action) {
    std::erase_if(this->requests,
                  [&](const auto& request) { return request.request_id == action.request_id; });
    this->Line("cancel chunk " + std::to_string(action.chunk) + " at " + action.to);
  }
  void Show(const SendChunk& action) {
    this->Line("chunk " + std::to_string(action.chunk) + " of " + this->NameOf(action.manifest) +
               " to " + action.to);
  }
  void Show(const SendRefusal& action) {
    this->Line("refuse chunk " + std::to_string(action.chunk) + " to " + action.to +
               (action.busy ? ", busy" : ", not held"));
  }
  void Show(const SendHold& action) { this->Line("hold to " + action.to); }
  void Show(const ReadOrigin& action) {
    this->reads.push_back(action.chunk);
    this->Line("read chunk " + std::to_string(action.chunk) + " at origin");
  }
  void Show(const ProbeOrigin&) { this->Line("probe origin"); }
  void Show(const CopyStopped& action) {
    this->Line("copy stopped at chunk " + std::to_string(action.chunk));
  }
  void Show(const CopyResumed&) { this->Line("copy resumed"); }
  void Show(const CopyComplete&) {
    this->Line("copy complete");
    this->HandleLoad("", WeightsComplete{.manifest = this->wanted->Id()});
  }
  void Show(const AcquireSlot& action) {
    this->last_call = action.call;
    this->Line("acquire " + action.lease);
  }
  void Show(const RenewSlot& action) { this->Line("renew " + action.lease); }
  void Show(const ReleaseSlot& action) {
    this->Line("release " + action.lease + " fence " + std::to_string(action.fence));
  }
  void Show(const StartLoad& action) {
    this->Line("order " + this->NameOf(action.manifest) + " fence " + std::to_string(action.fence) +
               " deadline " + std::to_string(ToMillis(action.deadline)) + " ms");
  }

  Random random{7};
  const Instant begin = Instant(std::chrono::hours(1));
  Instant now = this->begin;
  std::ostringstream log;
  std::map<Digest, std::string> names;
  std::vector<SpreadPeer> members;
  ChunkStore store{0};
  std::unique_ptr<ChunkSpreader> spreader;
  ManifestFetch fetch{{.vm = "vm-a", .region = "south", .origin_region = "south"}, this->random};
  LoadController load_controller{LoadControllerOptions{.vm = "vm-a"}, this->random};
  std::uint64_t last_call = 0;
  std::uint64_t fence = 40;
};

// Brings a session to the state in which the engine serves the first version.
std::shared_ptr<const Manifest> RollOutFirst(Session& session) {
  session.Members({"vm-a", "vm-b", "vm-c"});
  auto first = session.Describe(kFirst);
  session.Pin(first);
  session.Wait(milliseconds(5));
  session.ManifestArrives();
  session.Wait(milliseconds(5));
  for (const std::string vm : {"vm-b", "vm-c"}) {
    session.HandleSpread(vm + " sends its map", MapReceived{.from = vm,
                                                            .manifest = first->Id(),
                                                            .bits = vm == "vm-b" ? "\x05" : "\x02",
                                                            .reply_wanted = true});
  }
  for (int i = 0; i < 4; ++i) {
    session.Wait(milliseconds(20));
    session.Tick();
    session.AnswerAll(kFirst);
    if (i == 1) session.HandleSpread("vm-b has chunk 3", HaveReceived{"vm-b", first->Id(), {3}});
  }
  session.Load({}, first->Id());
  return first;
}

// Guards against changes in the messages, loads and leases of a rollout.
TEST(Session, Rollout) {
  Session session;
  const auto first = RollOutFirst(session);
  session.HandleSpread("vm-b asks for chunk 3", RequestReceived{"vm-b", first->Id(), 3, 9});
  session.HandleSpread("vm-b asks for chunk 9", RequestReceived{"vm-b", first->Id(), 9, 10});
  session.Check("rollout");
}

// Guards against a rollback that copies chunks again although they are in memory.
TEST(Session, Rollback) {
  Session session;
  const auto first = RollOutFirst(session);
  const auto second = session.Describe(kSecond);
  session.Wait(milliseconds(1000));
  session.Pin(second);
  session.ManifestArrives();
  session.HandleSpread("vm-b sends its map", MapReceived{"vm-b", second->Id(), "\x0f", false});
  for (int i = 0; i < 4; ++i) {
    session.Wait(milliseconds(20));
    session.Tick();
    session.AnswerAll(kSecond);
  }
  session.Load(first->Id(), second->Id());
  session.Wait(milliseconds(1000));
  session.Pin(first);
  session.Load(second->Id(), first->Id());
  session.Check("rollback");
}

// Guards against mixing versions when the origin's content changes during the copy: the copy stops,
// the engine keeps serving the old version, and the copy continues when the row pins the new
// content.
TEST(Session, VersionChange) {
  Session session;
  const auto first = RollOutFirst(session);
  const auto second = session.Describe(kSecond);
  session.Wait(milliseconds(1000));
  session.Pin(second);
  session.ManifestArrives();
  session.Wait(milliseconds(600));
  session.Tick();
  for (int i = 0; i < 2; ++i) {
    ASSERT_FALSE(session.reads.empty());
    const std::uint32_t chunk = session.reads.back();
    session.reads.pop_back();
    session.HandleSpread("origin sends other bytes for chunk " + std::to_string(chunk),
                         OriginMismatch{second->Id(), chunk});
    session.Wait(milliseconds(1000));
    session.Tick();
  }
  session.Wait(milliseconds(4000));
  session.Tick();
  session.HandleSpread("origin is unchanged", OriginProbed{.changed = false});
  session.Wait(milliseconds(8000));
  const auto third = session.Describe(kThird);
  session.Pin(third);
  session.ManifestArrives();
  session.HandleSpread("vm-b sends its map", MapReceived{"vm-b", third->Id(), "\x0f", false});
  for (int i = 0; i < 4; ++i) {
    session.Wait(milliseconds(20));
    session.Tick();
    session.AnswerAll(kThird);
  }
  session.Load(first->Id(), third->Id());
  session.Check("version_change");
}

}  // namespace
}  // namespace savory
