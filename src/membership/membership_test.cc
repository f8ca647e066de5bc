#include "membership/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <sstream>

#include "base/golden_test_util.h"
#include "membership/member_update.h"

namespace savory {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);

// `vm` is the region's letter and a number, such as "e2". The peer address equals the name.
Member MemberOf(const std::string& vm, std::uint64_t incarnation) {
  return Member{.vm = vm,
                .peer = vm,
                .region = vm.substr(0, 1),
                .data_centre = vm.substr(0, 1),
                .incarnation = incarnation};
}

std::string ViewText(const Membership& membership) {
  std::string text;
  for (const Member& member : membership.Members()) {
    text += " " + member.vm;
    if (member.incarnation > 1) text += "#" + std::to_string(member.incarnation);
    if (member.state != MemberState::kAlive) {
      text += "=" + std::string(MemberStateName(member.state));
    }
  }
  return text;
}

wire::Envelope PingWith(const std::vector<Member>& members) {
  wire::Envelope message;
  message.set_from_vm(members.front().vm);
  message.set_from_peer(members.front().peer);
  for (const Member& member : members) *message.mutable_ping()->add_updates() = ToUpdate(member);
  return message;
}

// Runs a few members in virtual time. A message arrives in the next step. It is lost if the link
// between the regions is cut, and waits while its receiver is paused.
class Fleet {
 public:
  void Add(const std::string& vm, std::uint64_t incarnation = 1) {
    auto& node = this->nodes[vm];
    node.random = std::make_unique<Random>(incarnation * 100 + this->nodes.size());
    node.core =
        std::make_unique<Membership>(MemberOf(vm, incarnation), MembershipOptions{}, *node.random);
    node.view.clear();
    this->HandleEvent(vm, Membership::Start{.seeds = {this->nodes.begin()->first}});
  }
  void Remove(const std::string& vm) { this->nodes.erase(vm); }

  void HandleEvent(const std::string& vm, const Membership::Event& event) {
    Node& node = this->nodes.at(vm);
    for (const auto& action : node.core->Handle(event, this->now)) {
      if (const auto* send = std::get_if<Membership::SendMessage>(&action)) this->Post(vm, *send);
    }
    const std::string view = ViewText(*node.core);
    if (view == node.view) return;
    node.view = view;
    this->Log(vm + " sees" + view);
  }

  void Log(const std::string& text) {
    this->log << ToMillis(this->now.time_since_epoch()) << " ms " << text << '\n';
  }

  void Run(Duration time) {
    for (const Instant end = this->now + time; this->now < end;) {
      this->now += kStep;
      const auto arrived = std::exchange(this->in_flight, {});
      for (const auto& [to, message] : arrived) {
        if (!this->nodes.contains(to)) continue;
        if (this->paused.contains(to)) {
          this->in_flight.emplace_back(to, message);
          continue;
        }
        this->HandleEvent(to, Membership::MessageArrived{message});
      }
      std::vector<std::string> names;
      for (const auto& [vm, node] : this->nodes) names.push_back(vm);
      for (const std::string& vm : names) {
        if (!this->paused.contains(vm)) this->HandleEvent(vm, Membership::Tick{});
      }
    }
  }

  const Membership& Core(const std::string& vm) { return *this->nodes.at(vm).core; }

  std::set<std::string> paused;
  bool regions_cut = false;
  Instant now = {};
  std::ostringstream log;
  std::uint64_t messages = 0;

 private:
  struct Node {
    std::unique_ptr<Random> random;
    std::unique_ptr<Membership> core;
    std::string view;
  };

  void Post(const std::string& from, const Membership::SendMessage& send) {
    ++this->messages;
    if (this->regions_cut && from[0] != send.peer[0]) return;
    wire::Envelope message = send.message;
    message.set_from_vm(from);
    message.set_from_peer(from);
    this->in_flight.emplace_back(send.peer, message);
  }

  std::map<std::string, Node> nodes;
  std::vector<std::pair<std::string, wire::Envelope>> in_flight;
};

// Guards against regions that still list each other's members as dead after a partition of one
// hour: all must agree within 10 s after the link is back.
TEST(MembershipGolden, PartitionThatHeals) {
  Fleet fleet;
  for (const std::string vm : {"e1", "e2", "e3", "t1", "t2", "t3"}) fleet.Add(vm);
  fleet.Run(std::chrono::seconds(10));
  fleet.Log("link between e and t is cut for one hour");
  fleet.regions_cut = true;
  fleet.Run(std::chrono::hours(1));
  fleet.Log("link is back");
  fleet.regions_cut = false;
  const Instant healed = fleet.now;
  const auto agree = [&fleet] {
    for (const std::string vm : {"e1", "e2", "e3", "t1", "t2", "t3"}) {
      if (ViewText(fleet.Core(vm)) != " e1 e2 e3 t1 t2 t3") return false;
    }
    return true;
  };
  while (!agree() && fleet.now - healed < std::chrono::seconds(60)) fleet.Run(kStep);
  EXPECT_LE(fleet.now - healed, std::chrono::seconds(10));
  ExpectGoldenText("partition_heals", fleet.log.str());
}

// Guards against slow spreading of "leaving", during which work is still sent to the member, and
// against treating a member that was restarted under the same name as still leaving.
TEST(MembershipGolden, LeavingAndReturning) {
  Fleet fleet;
  for (const std::string vm : {"e1", "e2", "e3", "e4", "e5", "e6", "e7"}) fleet.Add(vm);
  fleet.Run(std::chrono::seconds(10));
  fleet.Log("e2 is ordered to leave");
  fleet.HandleEvent("e2", Membership::LeaveOrdered{});
  fleet.Run(std::chrono::seconds(1));
  fleet.Log("e2 ends");
  fleet.Remove("e2");
  fleet.Run(std::chrono::seconds(3));
  fleet.Log("e2 starts again");
  fleet.Add("e2", 2);
  fleet.Run(std::chrono::seconds(10));
  fleet.Log("the VM list says that e2 and e3 are leaving");
  fleet.HandleEvent("e1", Membership::VmListArrived{{{"e2", "e2", false}, {"e3", "e3", false}}});
  fleet.HandleEvent("e1", Membership::VmListArrived{{{"e2", "e2", true}, {"e3", "e3", true}}});
  fleet.Log("e3 starts again; the list still says leaving");
  fleet.Remove("e3");
  fleet.Add("e3", 2);
  fleet.Run(std::chrono::seconds(3));
  ExpectGoldenText("leaving_and_returning", fleet.log.str());
}

// Guards against a process that declares others dead when it resumes after a pause, and against
// others that still list it as dead afterwards.
TEST(MembershipGolden, PausedProcessResumes) {
  Fleet fleet;
  for (const std::string vm : {"e1", "e2", "e3", "e4", "e5"}) fleet.Add(vm);
  fleet.Run(std::chrono::seconds(10));
  fleet.Log("e3 is paused for 2 s");
  fleet.paused.insert("e3");
  fleet.Run(std::chrono::seconds(2));
  fleet.paused.clear();
  fleet.Log("e3 wakes");
  fleet.Run(std::chrono::seconds(10));
  fleet.Log("e3 hears that e5 is suspected, and is paused for 60 s");
  Member suspect = *fleet.Core("e1").Find("e5");
  suspect.state = MemberState::kSuspect;
  fleet.HandleEvent("e3",
                    Membership::MessageArrived{PingWith({*fleet.Core("e1").Find("e1"), suspect})});
  fleet.paused.insert("e3");
  fleet.Run(std::chrono::seconds(60));
  fleet.paused.clear();
  fleet.Log("e3 wakes; its timers run before it reads any message");
  fleet.HandleEvent("e3", Membership::Tick{});
  EXPECT_EQ(fleet.Core("e3").DeadCount(), 0u);
  fleet.Run(std::chrono::seconds(10));
  EXPECT_EQ(ViewText(fleet.Core("e3")), " e1 e2 e3 e4 e5");
  ExpectGoldenText("paused_process", fleet.log.str());
}

// Guards against a member list that depends on the order of messages, and against an old
// incarnation that replaces a newer one.
RC_GTEST_PROP(MembershipProperty, UpdatesMergeInAnyOrder, ()) {
  const auto states = rc::gen::element(MemberState::kAlive, MemberState::kSuspect,
                                       MemberState::kLeaving, MemberState::kDead);
  std::vector<Member> updates;
  const int count = *rc::gen::inRange(1, 20);
  for (int i = 0; i < count; ++i) {
    Member member = MemberOf("e" + std::to_string(*rc::gen::inRange(1, 4)),
                             static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)));
    member.update = static_cast<std::uint64_t>(*rc::gen::inRange(0, 3));
    member.state = *states;
    updates.push_back(member);
  }
  // All members must be known first, because an update about an unknown dead member is ignored.
  const std::vector<Member> known = {MemberOf("e1", 0), MemberOf("e2", 0), MemberOf("e3", 0)};
  std::vector<std::string> views;
  for (int order = 0; order < 2; ++order) {
    Random random(1);
    Membership membership(MemberOf("e9", 1), MembershipOptions{}, random);
    membership.Handle(Membership::MessageArrived{PingWith(known)}, Instant());
    for (const Member& member : updates) {
      membership.Handle(Membership::MessageArrived{PingWith({member})}, Instant());
    }
    views.push_back(ViewText(membership));
    std::reverse(updates.begin(), updates.end());
  }
  RC_ASSERT(views[0] == views[1]);
  RC_ASSERT(views[0].ends_with(" e9"));
  for (const Member& member : updates) {
    if (member.incarnation < 3) continue;
    RC_ASSERT(views[0].find(member.vm + "#1") == std::string::npos);
    RC_ASSERT(views[0].find(member.vm + "#2") == std::string::npos);
  }
}

Member FleetMember(int number, std::uint64_t update) {
  Member member = MemberOf("entry-" + std::to_string(1000 + number), 1'764'800'000'000'000);
  member.peer = "10.20.30.40:" + std::to_string(17'000 + number);
  member.service = "recellmind";
  member.update = update;
  return member;
}

constexpr double kMaxControlBytesPerSecond =
    23'000;  // bytes/s of all control messages at 1,010 members
constexpr int kMeasuredSeconds = 120;
constexpr int kChangesPerSecond = 12;

// Bytes per second that one member sends while twelve others change each second. It is pinged once
// per second, the average in a fleet, and its own pings are answered.
double BytesPerSecond(int members) {
  Random random(1);
  Membership membership(FleetMember(0, 0), MembershipOptions{}, random);
  wire::Envelope list;
  for (int i = 1; i < members; ++i) {
    *list.mutable_members_push()->add_updates() = ToUpdate(FleetMember(i, 0));
  }
  Instant now = {};
  membership.Handle(Membership::MessageArrived{list}, now);
  std::size_t bytes = 0;
  const auto handle_event = [&](const Membership::Event& event) {
    std::vector<wire::Envelope> acks;
    for (const auto& action : membership.Handle(event, now)) {
      const auto* send = std::get_if<Membership::SendMessage>(&action);
      if (send == nullptr) continue;
      bytes += send->message.ByteSizeLong();
      if (!send->message.has_ping()) continue;
      acks.emplace_back().mutable_ping_ack()->set_sequence(send->message.ping().sequence());
    }
    return acks;
  };
  for (int second = 0; second < kMeasuredSeconds; ++second) {
    std::vector<Member> changed;
    changed.reserve(kChangesPerSecond);
    const auto update = static_cast<std::uint64_t>(second) + 1;
    for (int i = 0; i < kChangesPerSecond; ++i) {
      const int number = 1 + ((second * kChangesPerSecond + i) % (members - 1));
      changed.push_back(FleetMember(number, update));
    }
    wire::Envelope ping = PingWith(changed);
    ping.mutable_ping()->set_sequence(1);
    handle_event(Membership::MessageArrived{ping});
    for (const Instant end = now + std::chrono::seconds(1); now < end; now += kStep) {
      for (const auto& ack : handle_event(Membership::Tick{})) {
        handle_event(Membership::MessageArrived{ack});
      }
    }
  }
  return static_cast<double>(bytes) / kMeasuredSeconds;
}

// Guards against membership traffic that grows with the size of the fleet: 1,010 members may cost
// at most 10% more bytes than 100.
TEST(MembershipTest, BytesDoNotGrowWithTheFleet) {
  const double small = BytesPerSecond(100);
  const double planned = BytesPerSecond(1010);
  EXPECT_GT(small, 1000);
  EXPECT_LE(planned, 1.1 * small);
  EXPECT_LE(planned, kMaxControlBytesPerSecond);
}

}  // namespace
}  // namespace savory
