#include "tables/table_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

#include "base/golden_test_util.h"

namespace savory {
namespace {

wire::Tables TablesOf(std::uint64_t revision) {
  wire::Tables tables;
  tables.set_revision(revision);
  tables.set_edit_id("edit-" + std::to_string(revision));
  return tables;
}

TableReplica::KvTables KvOf(std::uint64_t revision) {
  return {.tables = TablesOf(revision), .version = revision};
}

std::vector<TablePeer> PeersOf(std::initializer_list<std::string> names) {
  std::vector<TablePeer> peers;
  for (const std::string& name : names) peers.push_back({name, name + ":1", "dc1"});
  return peers;
}

const Error kOutage = {.kind = ErrorKind::kUnavailable, .detail = "503"};

std::string Text(const TableReplica::Action& action) {
  struct Printer {
    std::string operator()(const TableReplica::ReadService&) const { return "read service"; }
    std::string operator()(const TableReplica::WatchService& watch) const {
      return "watch service after version " + std::to_string(watch.after);
    }
    std::string operator()(const TableReplica::SendOffer& offer) const {
      return "offer " + std::to_string(offer.revision) + " to " + offer.peer;
    }
    std::string operator()(const TableReplica::SendPull& pull) const {
      return "pull above " + std::to_string(pull.above_revision) + " from " + pull.peer;
    }
    std::string operator()(const TableReplica::SendPush& push) const {
      return "push to " + push.peer;
    }
    std::string operator()(const TableReplica::Applied&) const { return "applied"; }
  };
  return std::visit(Printer(), action);
}

// Feeds events to a replica in virtual time and logs them with the resulting actions.
class Script {
 public:
  explicit Script(const std::string& vm) : replica(vm, TableReplicaOptions{}, random) {}

  void Do(const std::string& name, const TableReplica::Event& event) {
    const auto actions = this->replica.Handle(event, this->now);
    if (name.empty() && actions.empty()) return;
    this->log << ToMillis(this->now.time_since_epoch()) << " ms " << (name.empty() ? "tick" : name)
              << '\n';
    for (const auto& action : actions) this->log << "    " << Text(action) << '\n';
  }

  // Ticks every 50 ms; ticks without actions are not printed.
  void Run(Duration time) {
    for (const Instant end = this->now + time; this->now < end;) {
      this->now += std::chrono::milliseconds(50);
      this->Do("", TableReplica::Tick{});
    }
  }

  Random random{7};
  Instant now = {};
  TableReplica replica;
  std::ostringstream log;
};

// A new VM starts during an outage of the key-value service. Guards against a VM that does not
// pull the tables from its peers, applies a lower revision after a higher one, or keeps calling the
// service.
TEST(TableReplicaGolden, NewVmDuringOutage) {
  Script script("new");
  script.Do("start", TableReplica::Start{});
  script.Do("peers", TableReplica::PeersChanged{PeersOf({"a", "b", "c", "d", "new"})});
  script.Do("read failed", TableReplica::ReadAnswered{kOutage});
  script.Run(std::chrono::milliseconds(700));
  script.Do("push 4", TableReplica::PushArrived{TablesOf(4)});
  script.Do("push 6", TableReplica::PushArrived{TablesOf(6)});
  script.Do("push 5", TableReplica::PushArrived{TablesOf(5)});
  script.Run(std::chrono::seconds(5));
  script.Do("offer 7 from a", TableReplica::OfferArrived{"a:1", 7});
  script.Do("offer 7 from b", TableReplica::OfferArrived{"b:1", 7});
  script.Run(std::chrono::seconds(1));
  script.Do("push 7", TableReplica::PushArrived{TablesOf(7)});
  script.Do("pull above 6 from c", TableReplica::PullArrived{"c:1", 6});
  script.Do("pull above 7 from c", TableReplica::PullArrived{"c:1", 7});
  ExpectGoldenText("replica_outage_new_vm", script.log.str());
}

// Guards against a watcher that starts a long poll before a read has shown that an outage is over,
// that calls without backoff during the outage, or that continues to watch after other members
// outrank it.
TEST(TableReplicaGolden, WatcherDuringOutage) {
  Script script("a");
  script.Do("start", TableReplica::Start{});
  script.Do("read 3", TableReplica::ReadAnswered{std::optional(KvOf(3))});
  script.Run(std::chrono::seconds(3));
  script.Do("watch: outage", TableReplica::WatchAnswered{kOutage});
  for (int i = 0; i < 5; ++i) {
    script.Run(std::chrono::seconds(3));
    script.Do("read: outage", TableReplica::ReadAnswered{kOutage});
  }
  script.Run(std::chrono::seconds(3));
  script.Do("read 4", TableReplica::ReadAnswered{std::optional(KvOf(4))});
  script.Do("peers", TableReplica::PeersChanged{PeersOf({"a", "b", "c", "d", "e", "f", "g"})});
  script.Do("watch: nothing new",
            TableReplica::WatchAnswered{std::optional<TableReplica::KvTables>()});
  script.Run(std::chrono::seconds(3));
  ExpectGoldenText("replica_watcher_outage", script.log.str());
}

// Guards against a revision that decreases or changes its content, whatever the source and order of
// the messages.
RC_GTEST_PROP(TableReplicaProperty, RevisionsNeverDecrease, ()) {
  Random random(*rc::gen::inRange(0, 1 << 20));
  TableReplica replica("a", TableReplicaOptions{}, random);
  replica.Handle(TableReplica::Start{}, Instant());
  std::uint64_t last = 0;
  Instant now = {};
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 12)));
  for (const auto& [kind, number] : steps) {
    const auto revision = static_cast<std::uint64_t>(number);
    now += std::chrono::milliseconds(100);
    std::vector<TableReplica::Action> actions;
    if (kind == 0) actions = replica.Handle(TableReplica::PushArrived{TablesOf(revision)}, now);
    if (kind == 1) {
      actions = replica.Handle(TableReplica::ReadAnswered{std::optional(KvOf(revision))}, now);
    }
    if (kind == 2) {
      actions = replica.Handle(TableReplica::WatchAnswered{std::optional(KvOf(revision))}, now);
    }
    if (kind == 3) actions = replica.Handle(TableReplica::ReadAnswered{kOutage}, now);
    if (kind == 4) actions = replica.Handle(TableReplica::OfferArrived{"b:1", revision}, now);
    if (kind == 5) actions = replica.Handle(TableReplica::Tick{}, now);
    bool applied = false;
    for (const auto& action : actions) {
      applied = applied || std::holds_alternative<TableReplica::Applied>(action);
    }
    const std::uint64_t current = replica.Current().revision();
    RC_ASSERT(current >= last);
    RC_ASSERT(applied == (current > last));
    if (current > 0) RC_ASSERT(replica.Current().edit_id() == "edit-" + std::to_string(current));
    if (kind < 3) RC_ASSERT(current >= revision);
    last = current;
  }
}

// Guards against a number of watchers, and thus of calls to the service, that grows with the fleet:
// there are two in each of the five data centres.
TEST(TableReplicaTest, TwoWatchersInEachDataCentre) {
  for (const int fleet : {10, 100, 1010}) {
    std::vector<TablePeer> peers;
    for (int i = 0; i < fleet; ++i) {
      const std::string vm = "vm" + std::to_string(i);
      peers.push_back({vm, vm + ":1", "dc" + std::to_string(i % 5)});
    }
    Random random(1);
    int watchers = 0;
    for (const TablePeer& peer : peers) {
      TableReplica replica(peer.vm, TableReplicaOptions{}, random);
      replica.Handle(TableReplica::PeersChanged{peers}, Instant());
      watchers += replica.IsWatcher() ? 1 : 0;
    }
    EXPECT_EQ(watchers, 10);
  }
}

}  // namespace
}  // namespace savory
