// Processes in one program that mirror the records of a fake store, connected over loopback.
#include "records/record_sync.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "base/metrics.h"
#include "records/record_store.h"
#include "records/watcher_selection.h"
#include "runtime/event_loop.h"
#include "runtime/peer_transport.h"
#include "runtime/silent_relay.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kPrefix[] = "op/";
// A change that the operators make is in force everywhere within this time.
constexpr Duration kInForceWithin = seconds(3);

// The drain time of upstreams, in which a removal must be in force.
constexpr Duration kAfterSilence = seconds(2);

class FakeStore {
 public:
  explicit FakeStore(EventLoop& loop) : loop(loop) {}

  void Write(const std::string& value) {
    this->update.as_of += 1;
    this->update.records = {{.key = "op/config", .value = value, .revision = this->update.as_of}};
  }
  // The store answers calls of these processes with an error.
  void Refuse(std::set<std::string> processes) { this->refused = std::move(processes); }

  // The next call of each of these processes gets no answer and times out.
  void DropNextCall(std::set<std::string> processes) { this->dropped = std::move(processes); }

  void Read(const std::string& process, std::uint64_t after, Instant until,
            RecordStore::Callback done) {
    if (this->dropped.erase(process) > 0) {
      this->loop.After(milliseconds(2500), [done = std::move(done)] {
        done(Error{.kind = ErrorKind::kTimeout, .detail = "no answer in time"});
      });
      return;
    }
    if (this->refused.contains(process)) {
      return done(Error{.kind = ErrorKind::kUnavailable, .detail = "refused"});
    }
    if (this->update.as_of > after || this->loop.Now() >= until) {
      RecordUpdate answer = this->update;
      answer.full = after == 0;
      answer.after = after;
      if (this->update.as_of <= after) answer.records.clear();
      return done(std::move(answer));
    }
    this->loop.After(milliseconds(5), [this, process, after, until, done = std::move(done)] {
      this->Read(process, after, until, done);
    });
  }

  EventLoop& loop;

 private:
  RecordUpdate update = {.as_of = 1};
  std::set<std::string> refused = {};
  std::set<std::string> dropped = {};
};

class Process : public RecordStore {
 public:
  // Peers reach the process at `address`; it binds `bind` if that is not empty.
  Process(EventLoop& loop, FakeStore& store, Random& random, std::string address, std::string bind)
      : address(std::move(address)),
        store(store),
        transport(loop, metrics,
                  {.listen = this->address, .bind = std::move(bind), .vm = this->address}),
        sync(loop, this->transport, *this, this->metrics, random,
             {.prefix = kPrefix, .peer = this->address}) {
    this->sync.OnChange([this](std::span<const Record> changed) {
      for (const Record& record : changed) this->value = record.value;
    });
  }

  void List(const std::string&, Callback done) override {
    this->store.Read(this->address, 0, this->store.loop.Now(), std::move(done));
  }
  void Watch(const std::string&, std::uint64_t after, Duration wait, Callback done) override {
    this->store.Read(this->address, after, this->store.loop.Now() + wait, std::move(done));
  }

  void Put(const std::string&, const std::string&, Duration,
           std::function<void(Result<std::uint64_t>)>) override {
    ADD_FAILURE() << "mirrors do not write";
  }

  std::string address;
  std::string value = {};
  FakeStore& store;
  Metrics metrics = {};
  PeerTransport transport;
  RecordSync sync;
};

class RecordSyncTest : public ::testing::Test {
 protected:
  // With `through_relays`, the connections between the processes can fall silent.
  explicit RecordSyncTest(bool through_relays = false) {
    std::vector<std::string> addresses(10);
    int port = 26960;
    for (std::string& address : addresses) address = "127.0.0.1:" + std::to_string(port++);
    int bound_port = 27060;
    for (const std::string& address : addresses) {
      std::string bind;
      if (through_relays) {
        bind = "127.0.0.1:" + std::to_string(bound_port++);
        const int relay_port = std::stoi(address.substr(address.find(':') + 1));
        this->relays.push_back(std::make_unique<SilentRelay>(relay_port, bind));
      }
      this->processes.push_back(
          std::make_unique<Process>(this->loop, this->store, this->random, address, bind));
      std::vector<std::string> others = addresses;
      std::erase(others, address);
      this->processes.back()->sync.SetPeers(others);
      WatcherSelection selection({.prefix = kPrefix, .peer = address});
      selection.SetPeers(others);
      if (selection.IsSelected()) this->watchers.insert(address);
    }
    this->store.Write("first");
    for (const auto& process : this->processes) process->sync.Start();
  }

  // Runs until all processes have `value`; returns the time that this took.
  Duration RunUntilAllHave(const std::string& value) {
    const Instant begin = this->loop.Now();
    const auto check = [&] {
      const bool all = std::all_of(this->processes.begin(), this->processes.end(),
                                   [&](const auto& process) { return process->value == value; });
      if (all) this->loop.Stop();
    };
    const std::shared_ptr<bool> running = std::make_shared<bool>(true);
    std::function<void()> repeat = [&, running] {
      if (!*running) return;
      check();
      this->loop.After(milliseconds(10), repeat);
    };
    repeat();
    const auto limit = this->loop.After(seconds(10), [this] { this->loop.Stop(); });
    this->loop.Run();
    this->loop.Cancel(limit);
    *running = false;
    return this->loop.Now() - begin;
  }

  std::set<std::string> All() const {
    std::set<std::string> all;
    for (const auto& process : this->processes) all.insert(process->address);
    return all;
  }

  std::uint64_t Probes() {
    std::uint64_t probes = 0;
    for (const auto& process : this->processes) {
      probes +=
          process->metrics
              .CounterFor("savory_store_probes_total", std::string("prefix=\"") + kPrefix + "\"")
              .Value();
    }
    return probes;
  }

  void RunFor(Duration length) {
    this->loop.After(length, [this] { this->loop.Stop(); });
    this->loop.Run();
  }

  std::vector<std::unique_ptr<SilentRelay>> relays = {};
  EventLoop loop;
  Random random{1};
  FakeStore store{loop};
  std::vector<std::unique_ptr<Process>> processes = {};
  std::set<std::string> watchers = {};
};

// The store refuses all processes that watch it and some others, and keys are withdrawn at the same
// time. Guards against processes that learn of a change only seconds after others have read it: on
// cobayo-unido-grown a withdrawn key was in use for 3.3 s.
TEST_F(RecordSyncTest, ChangeReachesRefusedProcessesInTime) {
  this->RunUntilAllHave("first");
  this->RunFor(milliseconds(1200));
  std::set<std::string> refused = this->watchers;
  for (std::size_t i = 0; refused.size() < 6; ++i) refused.insert(this->processes[i]->address);
  this->store.Refuse(refused);
  this->RunFor(milliseconds(100));
  this->store.Write("second");
  const Duration needed = this->RunUntilAllHave("second");
  std::printf("in force after %.2f s\n", ToSeconds(needed));
  EXPECT_LE(needed, kInForceWithin);
}

class SilentConnectionsTest : public RecordSyncTest {
 protected:
  SilentConnectionsTest() : RecordSyncTest(true) {}
};

// Most connections between the processes fall silent for good, the store and new connections work.
// Guards against a process that leaves the store to watchers whose changes do not reach it: on
// kcw-recell an entry sent requests to an upstream 2,275 ms after it had left.
TEST_F(SilentConnectionsTest, ChangesReachAllProcessesInTime) {
  this->RunUntilAllHave("first");
  this->RunFor(milliseconds(1200));
  for (int round = 0; round < 3; ++round) {
    for (const auto& relay : this->relays) relay->Silence(0.7, static_cast<std::uint64_t>(round));
    this->RunFor(milliseconds(4500));
    const std::string value = "after silence " + std::to_string(round);
    this->store.Write(value);
    const Duration needed = this->RunUntilAllHave(value);
    std::printf("in force after %.2f s\n", ToSeconds(needed));
    EXPECT_LE(needed, kAfterSilence);
  }
}

// The connection of one watcher is reset several times while the others read on. Guards against
// processes that take this for an outage of the store and use removed upstreams for 2.2 s more: on
// alhadid-seals a request reached an upstream 2,133 ms after it had left.
TEST_F(RecordSyncTest, LostConnectionsOfOneProcessAreNoOutage) {
  this->RunUntilAllHave("first");
  for (int i = 0; i < 3; ++i) {
    this->store.Refuse({*this->watchers.begin()});
    this->RunFor(milliseconds(300));
    this->store.Refuse({});
    this->RunFor(milliseconds(700));
  }
  for (const auto& process : this->processes) EXPECT_EQ(process->sync.OutageEnd(), Instant());
}

// One process is refused for longer than an outage must last. Guards against the same when the
// refusal is long.
TEST_F(RecordSyncTest, RefusalOfOneProcessIsNoOutage) {
  this->RunUntilAllHave("first");
  this->store.Refuse({*this->watchers.begin()});
  this->RunFor(milliseconds(3500));
  this->store.Refuse({});
  this->RunFor(milliseconds(1700));
  for (const auto& process : this->processes) EXPECT_EQ(process->sync.OutageEnd(), Instant());
}

// All connections to the store go silent at once while the store answers new ones. Guards against
// an outage that is judged from the one call that each process loses.
TEST_F(RecordSyncTest, SilentConnectionsAreNoOutage) {
  this->RunUntilAllHave("first");
  this->store.DropNextCall(this->All());
  this->RunFor(milliseconds(4500));
  for (const auto& process : this->processes) EXPECT_EQ(process->sync.OutageEnd(), Instant());
}

// The processes that watch the store on behalf of all are lost, and an upstream's record is removed
// at the same time. Guards against the others taking that for an outage of the store, which defers
// removals, and against reading the removal too late: on kcw-recell requests reached an upstream
// 2.2 s after its removal.
TEST_F(RecordSyncTest, LostWatchersAreNoOutage) {
  this->RunUntilAllHave("first");
  // Long enough that no process counts its own first call as recent.
  this->RunFor(milliseconds(4000));
  std::erase_if(this->processes,
                [this](const auto& process) { return this->watchers.contains(process->address); });
  this->store.Write("second");
  const Duration needed = this->RunUntilAllHave("second");
  std::printf("in force after %.2f s\n", ToSeconds(needed));
  EXPECT_LE(needed, kAfterSilence - milliseconds(500));
  for (int i = 0; i < 30; ++i) {
    this->RunFor(milliseconds(100));
    for (const auto& process : this->processes) {
      EXPECT_EQ(process->sync.OutageEnd(), Instant()) << process->address;
    }
  }
}

// Guards against processes that ask the store for themselves while the watchers do their duty.
TEST_F(RecordSyncTest, ProcessesRarelyAskBesideTheWatchers) {
  this->RunUntilAllHave("first");
  this->RunFor(milliseconds(2500));
  const std::uint64_t before = this->Probes();
  this->RunFor(seconds(10));
  EXPECT_LE(this->Probes() - before, this->processes.size());
}

// The watchers are lost while the store is away. Guards against the opposite: removals of records
// that expired in an outage would take effect at once.
TEST_F(RecordSyncTest, OutageIsSeenWithoutTheWatchers) {
  this->RunUntilAllHave("first");
  this->RunFor(milliseconds(1200));
  std::erase_if(this->processes,
                [this](const auto& process) { return this->watchers.contains(process->address); });
  this->store.Refuse(this->All());
  this->RunFor(milliseconds(3000));
  const Instant back = this->loop.Now();
  this->store.Refuse({});
  this->store.Write("second");
  this->RunUntilAllHave("second");
  for (const auto& process : this->processes) {
    EXPECT_GE(process->sync.OutageEnd(), back);
  }
}

// Guards against processes, above all those that do not watch, that miss an outage of the store:
// all upstreams whose records expired in it would be removed at once.
TEST_F(RecordSyncTest, AllProcessesLearnOfAnOutage) {
  this->RunUntilAllHave("first");
  this->store.Refuse(this->All());
  this->RunFor(milliseconds(2000));
  const Instant back = this->loop.Now();
  this->store.Refuse({});
  this->RunFor(milliseconds(1700));
  for (const auto& process : this->processes) {
    EXPECT_GE(process->sync.OutageEnd(), back);
    EXPECT_LE(process->sync.OutageEnd(), back + milliseconds(1300));
  }
}

}  // namespace
}  // namespace savory
