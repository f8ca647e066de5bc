// Runs random interleavings of several entries with faults and checks that each request runs at
// most once and that each claim is answered.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>

#include "claims/claim_router.h"
#include "claims/claim_test_util.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kKeys = 3;
constexpr std::uint32_t kShards = 2;
constexpr Duration kDeadline = std::chrono::seconds(2);

// What the agent's gate knows of an attempt. The attempt has the id of its request.
enum class GateRecord { kNeverArrived, kRan, kBarred };

enum class RequestState { kWaiting, kGranted, kSent, kNotRun, kRefused, kFound };

struct Request {
  std::size_t entry = 0;
  std::uint32_t incarnation = 0;  // of the entry process
  std::uint32_t key = 0;
  RequestState state = RequestState::kWaiting;
  std::string nonce = {};
  wire::Claim found = {};
};

// A message between entries.
struct Message {
  std::size_t to = 0;
  ClaimRouterEvent event;
};

// A call in flight to the key-value service, or its reply in flight.
struct NetworkCall {
  ClaimAction call;
  std::optional<ClaimEvent> reply = {};  // set once the call was executed
};

class Simulation {
 public:
  // With `forwarding`, each shard's claims go to one entry.
  Simulation(std::size_t entries, bool forwarding) : forwarding(forwarding), entries(entries) {
    for (Entry& entry : this->entries) this->Start(entry);
  }

  // Runs one step. `op` selects its kind; `arg` selects the entry and what the step acts on.
  void Step(std::uint32_t op, std::uint32_t arg) {
    const std::size_t index = arg % this->entries.size();
    const std::uint32_t choice = arg / 8;
    switch (op % 20) {
      case 0:
      case 1:
        return this->Claim(index, choice % kKeys, "");
      case 2:
      case 3:
      case 4:
        return this->ExecuteCall(this->entries[index], choice);
      case 5:
      case 6:
      case 7:
        return this->Deliver(index, choice, /*lost=*/false);
      case 8:
        return this->Deliver(index, choice, /*lost=*/true);
      case 9:
        return this->RefuseCall(index, choice);
      case 10:
        return this->ExecuteAbandonedCall(choice);
      case 11:
        return this->Advance(milliseconds(1 + choice % 700));
      case 12:
      case 13:
        return this->AdvanceRequest(choice);
      case 14:
        return this->RetryUnfinished(index, choice);
      case 15:
        return this->CrashOrPause(index, choice);
      case 16:
      case 17:
      case 18:
        return this->DeliverMessage(choice);
      case 19:
        return this->DropMessage(choice);
      default:
        return;
    }
  }

  // Ends all faults and runs 10 s of virtual time, in which all messages and calls are delivered.
  void EndFaultsAndDrain() {
    this->abandoned_calls.clear();
    for (std::size_t index = 0; index < this->entries.size(); ++index) this->Resume(index);
    for (int round = 0; round < 200; ++round) {
      while (!this->messages.empty()) this->DeliverMessage(0);
      for (std::size_t index = 0; index < this->entries.size(); ++index) {
        while (!this->entries[index].calls.empty()) {
          this->ExecuteCall(this->entries[index], 0);
          this->Deliver(index, 0, /*lost=*/false);
        }
      }
      this->Advance(milliseconds(50));
    }
  }

  void CheckFinalState() {
    for (const auto& [id, request] : this->requests) {
      const bool alive = this->entries[request.entry].incarnation == request.incarnation;
      RC_ASSERT(!alive || request.state != RequestState::kWaiting);
    }
    for (Entry& entry : this->entries) RC_ASSERT(entry.batcher->Unwritten() == 0U);
    // With forwarding, another entry may write the nonce after the requester has read the value
    // without it, and its answer may be lost. Such a claim stays until a retry replaces it.
    if (this->forwarding && this->faulty) return;
    for (std::uint32_t shard = 0; shard < kShards; ++shard) this->CheckNoOrphanedNonce(shard);
  }

 private:
  struct Entry {
    std::uint32_t incarnation = 0;
    bool paused = false;
    std::unique_ptr<ClaimBatcher> batcher = {};
    std::optional<ClaimRouter> router = {};
    std::vector<NetworkCall> calls = {};
    std::deque<std::variant<ClaimEvent, ClaimRouterEvent>> deferred =
        {};  // events received while paused
  };

  void Start(Entry& entry) {
    ++entry.incarnation;
    entry.paused = false;
    entry.deferred.clear();
    std::string prefix(8, 'a');
    prefix[0] = static_cast<char>('a' + (&entry - this->entries.data()));
    prefix[1] = static_cast<char>(entry.incarnation & 0xff);
    prefix[2] = static_cast<char>(entry.incarnation >> 8);
    entry.batcher = std::make_unique<ClaimBatcher>(
        ClaimBatcherOptions{.shards = kShards, .failures_until_outage = 3, .nonce_prefix = prefix},
        this->random);
    prefix[7] = 'r';
    entry.router.emplace(ClaimRouterOptions{
        .vm = std::string(1, prefix[0]), .shards = kShards, .nonce_prefix = prefix});
    if (!this->forwarding) return;
    std::vector<EntryAddress> peers;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      peers.push_back(
          {.vm = std::string(1, static_cast<char>('a' + i)), .peer = std::to_string(i)});
    }
    entry.router->Handle(EntriesChanged{.entries = std::move(peers)}, this->now);
  }

  void HandleRouterEvent(std::size_t index, const ClaimRouterEvent& event) {
    Entry& entry = this->entries[index];
    if (entry.paused) {
      entry.deferred.emplace_back(event);
      return;
    }
    for (ClaimRouterAction& action : entry.router->Handle(event, this->now)) {
      std::visit([&](auto& typed) { this->Perform(index, typed); }, action);
    }
  }

  void Perform(std::size_t index, SubmitToBatcher& action) {
    this->HandleBatcherEvent(index, action.event);
  }
  void Perform(std::size_t index, SendForward& action) {
    this->messages.push_back(
        {.to = std::stoul(action.peer),
         .event = ForwardArrived{.peer = std::to_string(index), .forward = action.forward}});
  }
  void Perform(std::size_t, SendForwardAnswer& action) {
    this->messages.push_back(
        {.to = std::stoul(action.peer), .event = ForwardAnswered{.answer = action.answer}});
  }
  void Perform(std::size_t, AnswerLocalRequest& action) {
    this->OnReply(ClaimReply{.id = action.id, .answer = action.answer});
  }

  void DeliverMessage(std::uint32_t choice) {
    if (this->messages.empty()) return;
    const auto position = this->messages.begin() + Position(choice, this->messages.size());
    const Message message = std::move(*position);
    this->messages.erase(position);
    this->HandleRouterEvent(message.to, message.event);
  }

  void DropMessage(std::uint32_t choice) {
    if (this->messages.empty()) return;
    this->faulty = true;
    this->messages.erase(this->messages.begin() + Position(choice, this->messages.size()));
  }

  void HandleBatcherEvent(std::size_t index, const ClaimEvent& event) {
    Entry& entry = this->entries[index];
    if (entry.paused) {
      entry.deferred.emplace_back(event);
      return;
    }
    for (ClaimAction& action : entry.batcher->Handle(event, this->now, kTestUnixS)) {
      if (const auto* reply = std::get_if<ClaimReply>(&action)) {
        this->HandleRouterEvent(index, BatcherReplied{.reply = *reply});
      } else {
        entry.calls.push_back(NetworkCall{.call = std::move(action)});
      }
    }
    this->CheckOneCallPerShard(entry);
  }

  void Claim(std::size_t index, std::uint32_t key, const std::string& replaces) {
    const std::uint64_t id = ++this->last_id;
    this->requests[id] =
        Request{.entry = index, .incarnation = this->entries[index].incarnation, .key = key};
    this->HandleRouterEvent(
        index, LocalClaimRequest{ClaimRequest{.id = id,
                                              .claim = TestClaim(Name(key), "request", "entry", id),
                                              .replaces = replaces,
                                              .deadline = this->now + kDeadline}});
  }

  void OnReply(const ClaimReply& reply) {
    Request& request = this->requests.at(reply.id);
    RC_ASSERT(request.state == RequestState::kWaiting);  // answered exactly once
    if (!reply.answer) {
      RC_ASSERT(reply.answer.error().kind == ErrorKind::kClaimUnavailable);
      request.state = RequestState::kRefused;
    } else if (const auto* grant = std::get_if<ClaimGranted>(&reply.answer.value())) {
      request.state = RequestState::kGranted;
      request.nonce = grant->nonce;
      this->CheckGrant(request);
    } else {
      request.state = RequestState::kFound;
      request.found = std::get<ClaimFound>(reply.answer.value()).claim;
    }
  }

  // A granted nonce must have been written, and must be granted to one request only.
  void CheckGrant(const Request& request) {
    RC_ASSERT(this->written_nonces.contains(request.nonce));
    RC_ASSERT(this->granted_nonces.insert(request.nonce).second);
  }

  void ExecuteCall(Entry& entry, std::uint32_t choice) {
    if (entry.calls.empty()) return;
    NetworkCall& call = entry.calls[choice % entry.calls.size()];
    if (!call.reply) call.reply = this->Execute(call.call);
  }

  ClaimEvent Execute(const ClaimAction& call) {
    if (const auto* read = std::get_if<ClaimRead>(&call)) return this->kv.Read(read->shard);
    const auto& write = std::get<ClaimWrite>(call);
    const ClaimWriteDone done = this->kv.Write(write);
    if (done.result == ClaimWriteResult::kWritten) this->RecordNonces(write);
    return done;
  }

  void RecordNonces(const ClaimWrite& write) {
    const ClaimShard shard = this->kv.Shard(write.shard);
    for (std::uint32_t key = 0; key < kKeys; ++key) {
      const wire::Claim* claim = shard.Find(TestKey(Name(key)));
      if (claim != nullptr) this->written_nonces.insert(claim->nonce());
    }
  }

  void Deliver(std::size_t index, std::uint32_t choice, bool lost) {
    Entry& entry = this->entries[index];
    if (entry.calls.empty()) return;
    const auto position = entry.calls.begin() + Position(choice, entry.calls.size());
    if (!lost && !position->reply) return;
    const NetworkCall call = *position;
    entry.calls.erase(position);
    if (!lost) return this->HandleBatcherEvent(index, *call.reply);
    if (!call.reply) this->abandoned_calls.push_back(call.call);
    this->HandleBatcherEvent(index, FailureOf(call.call, ClaimWriteResult::kOutcomeUnknown));
  }

  void RefuseCall(std::size_t index, std::uint32_t choice) {
    Entry& entry = this->entries[index];
    if (entry.calls.empty()) return;
    const auto position = entry.calls.begin() + Position(choice, entry.calls.size());
    if (position->reply) return;
    const ClaimAction call = position->call;
    entry.calls.erase(position);
    this->HandleBatcherEvent(index, FailureOf(call, ClaimWriteResult::kUnavailable));
  }

  static ClaimEvent FailureOf(const ClaimAction& call, ClaimWriteResult result) {
    if (const auto* read = std::get_if<ClaimRead>(&call)) {
      return ClaimReadFailed{.shard = read->shard};
    }
    return ClaimWriteDone{.shard = std::get<ClaimWrite>(call).shard, .result = result};
  }

  // Executes a call whose entry has crashed or no longer waits for it.
  void ExecuteAbandonedCall(std::uint32_t choice) {
    if (this->abandoned_calls.empty()) return;
    const auto position =
        this->abandoned_calls.begin() + Position(choice, this->abandoned_calls.size());
    const ClaimAction call = *position;
    this->abandoned_calls.erase(position);
    this->faulty = true;
    this->Execute(call);
  }

  void Advance(Duration length) {
    const Instant end = this->now + length;
    while (this->now < end) {
      Instant next = end;
      for (const Entry& entry : this->entries) {
        if (entry.paused) continue;
        next = std::min({next, entry.batcher->NextTick(), entry.router->NextTick()});
      }
      this->now = std::max(this->now + Duration(1), next);
      for (std::size_t index = 0; index < this->entries.size(); ++index) {
        if (this->entries[index].paused) continue;
        this->HandleRouterEvent(index, ClaimRouterTick{});
        this->HandleBatcherEvent(index, ClaimTick{});
      }
    }
  }

  // Sends the attempt of a granted request, finishes the claim of a sent one, or releases
  // the claim of one whose attempt the gate refused.
  void AdvanceRequest(std::uint32_t choice) {
    std::vector<std::uint64_t> eligible;
    for (const auto& [id, request] : this->requests) {
      const Entry& entry = this->entries[request.entry];
      const bool can_act = entry.incarnation == request.incarnation && !entry.paused;
      const bool open = request.state == RequestState::kGranted ||
                        request.state == RequestState::kSent ||
                        request.state == RequestState::kNotRun;
      if (can_act && open) eligible.push_back(id);
    }
    if (eligible.empty()) return;
    const std::uint64_t id = eligible[choice % eligible.size()];
    Request& request = this->requests.at(id);
    if (request.state == RequestState::kGranted) return this->Send(id, request);
    const Digest key = TestKey(Name(request.key));
    if (request.state == RequestState::kSent) {
      this->HandleRouterEvent(
          request.entry,
          LocalClaimFinish{{.key = key, .nonce = request.nonce, .answer = {.status = 200}}});
    } else {
      this->HandleRouterEvent(request.entry,
                              LocalClaimRelease{{.key = key, .nonce = request.nonce}});
    }
    request.state = RequestState::kFound;  // no further step acts on the request
  }

  void Send(std::uint64_t id, Request& request) {
    if (this->gates[id] == GateRecord::kBarred) {
      request.state = RequestState::kNotRun;
      return;
    }
    this->gates[id] = GateRecord::kRan;
    request.state = RequestState::kSent;
    RC_ASSERT(++this->runs[request.key] <= 1U);  // at most once
  }

  // Retries a request that found an unfinished claim: asks the gate whether that claim's attempt
  // ran. If not, bars the attempt and replaces the claim.
  void RetryUnfinished(std::size_t index, std::uint32_t choice) {
    std::vector<std::uint64_t> eligible;
    for (const auto& [id, request] : this->requests) {
      if (request.found.state() == wire::CLAIM_PENDING && !request.found.nonce().empty()) {
        eligible.push_back(id);
      }
    }
    if (eligible.empty()) return;
    const Request& request = this->requests.at(eligible[choice % eligible.size()]);
    GateRecord& gate = this->gates[request.found.attempt().sequence()];
    if (gate == GateRecord::kRan) return;
    gate = GateRecord::kBarred;
    this->Claim(index, request.key, request.found.nonce());
  }

  // Crashes the entry, or starts or ends a pause of it.
  void CrashOrPause(std::size_t index, std::uint32_t choice) {
    Entry& entry = this->entries[index];
    if (choice % 4 == 0) {
      for (NetworkCall& call : entry.calls) {
        if (!call.reply) this->abandoned_calls.push_back(std::move(call.call));
      }
      entry.calls.clear();
      this->faulty = true;
      this->Start(entry);
      return;
    }
    if (entry.paused) return this->Resume(index);
    entry.paused = true;
  }

  void Resume(std::size_t index) {
    Entry& entry = this->entries[index];
    entry.paused = false;
    while (!entry.deferred.empty()) {
      const auto event = std::move(entry.deferred.front());
      entry.deferred.pop_front();
      if (const auto* call = std::get_if<ClaimEvent>(&event)) {
        this->HandleBatcherEvent(index, *call);
      } else {
        this->HandleRouterEvent(index, std::get<ClaimRouterEvent>(event));
      }
    }
  }

  void CheckOneCallPerShard(const Entry& entry) {
    std::set<std::uint32_t> shards;
    for (const NetworkCall& call : entry.calls) {
      const auto* read = std::get_if<ClaimRead>(&call.call);
      const std::uint32_t shard =
          read != nullptr ? read->shard : std::get<ClaimWrite>(call.call).shard;
      RC_ASSERT(shards.insert(shard).second);
    }
  }

  // Every unfinished claim must belong to a request that was granted it or whose entry process has
  // ended.
  void CheckNoOrphanedNonce(std::uint32_t number) {
    const ClaimShard shard = this->kv.Shard(number);
    for (std::uint32_t key = 0; key < kKeys; ++key) {
      const wire::Claim* claim = shard.Find(TestKey(Name(key)));
      if (claim == nullptr || claim->state() != wire::CLAIM_PENDING) continue;
      const Request& request = this->requests.at(claim->attempt().sequence());
      const bool ended = this->entries[request.entry].incarnation != request.incarnation;
      RC_ASSERT(ended || request.nonce == claim->nonce());
    }
  }

  static std::ptrdiff_t Position(std::uint32_t choice, std::size_t size) {
    return static_cast<std::ptrdiff_t>(choice % size);
  }

  static std::string Name(std::uint32_t key) { return "key-" + std::to_string(key); }

  bool forwarding;
  // An entry crashed, a message was lost, or an abandoned call was executed.
  bool faulty = false;
  Random random = Random(11);
  Instant now = Instant(std::chrono::hours(1));
  std::vector<Entry> entries;
  FakeKv kv;
  std::uint64_t last_id = 0;
  std::map<std::uint64_t, Request> requests;
  std::map<std::uint64_t, GateRecord> gates;  // by attempt
  std::map<std::uint32_t, unsigned> runs;     // by key
  std::vector<ClaimAction> abandoned_calls;
  std::vector<Message> messages;
  std::set<std::string> written_nonces;
  std::set<std::string> granted_nonces;
};

// Guards against a request that runs twice, a request that runs although its caller was told that
// it did not, a claim without an answer, and a key that stays blocked by a nonce that was not
// granted. Faults: crashes, pauses, lost and late calls, conflicts, outages and retries.
RC_GTEST_PROP(ClaimWorldTest, EachKeyRunsAtMostOnce, ()) {
  Simulation simulation(*rc::gen::inRange<std::size_t>(2, 4), /*forwarding=*/false);
  const auto steps = *rc::gen::resize(
      600, rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, std::uint16_t>>>());
  for (const auto& [op, arg] : steps) simulation.Step(op, arg);
  simulation.EndFaultsAndDrain();
  simulation.CheckFinalState();
}

// Guards against the same failures when claims are forwarded. Faults in addition: lost and late
// messages between entries.
RC_GTEST_PROP(ClaimWorldTest, EachKeyRunsAtMostOnceWithForwarding, ()) {
  Simulation simulation(*rc::gen::inRange<std::size_t>(2, 4), /*forwarding=*/true);
  const auto steps = *rc::gen::resize(
      600, rc::gen::arbitrary<std::vector<std::pair<std::uint8_t, std::uint16_t>>>());
  for (const auto& [op, arg] : steps) simulation.Step(op, arg);
  simulation.EndFaultsAndDrain();
  simulation.CheckFinalState();
}

}  // namespace
}  // namespace savory
