// Fleets of entries and agents in virtual time, without a network.
#include "fleet/entry_presence.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <queue>

#include "base/random.h"
#include "relay/slot_shares.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAgentPeriod = seconds(1);  // of an agent's statuses
constexpr Duration kAgentMemory = seconds(7);  // an agent forgets entries that are silent
constexpr Duration kFollowPeriod = milliseconds(500);
constexpr std::size_t kFollowedEngines = 16;

struct FleetOptions {
  std::size_t entries = 4;
  std::size_t agents = 9;
  std::size_t seeds = 3;  // the first entries are everyone's seeds
  double loss = 0;        // of messages
  std::uint64_t seed = 1;
};

class Fleet {
 public:
  explicit Fleet(const FleetOptions& options) : options(options), random(options.seed) {
    for (std::size_t i = 0; i < options.agents; ++i) {
      this->agents[AgentName(i)] = {};
      this->engine_by_agent[AgentName(i)] = EngineName(i);
    }
    for (std::size_t i = 0; i < options.agents; ++i) this->Start(i);
    for (std::size_t i = 0; i < options.entries; ++i) {
      this->After(this->Delay(milliseconds(300)), [this, i] { this->StartEntry(i); });
    }
  }

  static std::string EntryName(std::size_t i) { return "entry-" + std::to_string(i); }
  static std::string AgentName(std::size_t i) { return "agent-" + std::to_string(i); }
  static std::string EngineName(std::size_t i) { return "engine-" + std::to_string(i); }

  void RunFor(Duration length) {
    const Instant end = this->now + length;
    while (!this->events.empty() && this->events.top().at <= end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    this->now = end;
  }

  void StartEntry(std::size_t i) {
    EntryPresenceOptions own{.self = EntryName(i)};
    for (std::size_t seed = 0; seed < this->options.seeds; ++seed) {
      own.seeds.push_back(EntryName(seed));
    }
    Entry& entry = this->entries[EntryName(i)];
    entry.presence = std::make_unique<EntryPresence>(own);
    entry.presence->SetAgents(this->engine_by_agent);
    ++entry.start;
    this->Advance(EntryName(i));
    this->Follow(EntryName(i), entry.start);
  }

  void KillEntry(std::size_t i) { this->entries[EntryName(i)].presence.reset(); }

  // The entry takes leave and ends.
  void StopEntry(std::size_t i) {
    Entry& entry = this->entries[EntryName(i)];
    this->Execute(EntryName(i), entry.presence->Leave(this->now));
    entry.presence.reset();
  }

  // The entry handles no message and no timer for this long.
  void PauseEntry(std::size_t i, Duration length) {
    this->entries[EntryName(i)].paused_until = this->now + length;
  }

  void SetWeights(std::size_t agent, std::uint64_t version) {
    this->agents[AgentName(agent)].weights_version = version;
    this->SendStatuses(AgentName(agent));
  }

  std::vector<std::string> Live() const {
    std::vector<std::string> live;
    for (const auto& [name, entry] : this->entries) {
      if (entry.presence) live.push_back(name);
    }
    return live;
  }

  const EntryPresence& Presence(const std::string& entry) const {
    return *this->entries.at(entry).presence;
  }

  // Entries that greeted the agent recently and live.
  std::size_t EntriesOf(std::size_t agent) const {
    std::size_t count = 0;
    for (const auto& [entry, greeted] : this->agents.at(AgentName(agent)).greeted) {
      if (this->entries.at(entry).presence && this->now - greeted <= kAgentMemory) ++count;
    }
    return count;
  }

  // What `entry` last learned from another entry about an engine.
  std::uint64_t WeightsKnownTo(const std::string& entry, std::size_t agent) const {
    const auto& known = this->entries.at(entry).passed_on;
    const auto found = known.find(EngineName(agent));
    return found == known.end() ? 0 : found->second.weights_version;
  }

  // Entries that know exactly the other live ones.
  std::size_t EntriesThatAgree() const {
    const std::vector<std::string> live = this->Live();
    return static_cast<std::size_t>(
        std::count_if(live.begin(), live.end(), [&](const std::string& entry) {
          std::vector<std::string> expected = live;
          std::erase(expected, entry);
          return this->Presence(entry).LiveEntries() == expected;
        }));
  }

  std::uint64_t messages = 0;
  std::uint64_t sent_to_dead = 0;
  Instant now = Instant(std::chrono::hours(1));

 private:
  struct Event {
    Instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(this->at, this->order);
    }
  };
  struct Entry {
    std::unique_ptr<EntryPresence> presence = {};
    std::uint64_t start = 0;
    Instant paused_until = {};
    std::map<std::string, EngineAvailability> passed_on = {};
  };
  struct Agent {
    std::map<std::string, Instant> greeted = {};  // by entry
    std::uint64_t weights_version = 1;
  };

  Duration Delay(Duration most) { return FromSeconds(ToSeconds(most) * UniformUnit(this->random)); }

  void After(Duration wait, std::function<void()> run) {
    this->events.push({this->now + wait, this->next_order++, std::move(run)});
  }

  // Delivers a message unless it is lost.
  void Deliver(std::function<void()> run) {
    ++this->messages;
    if (UniformUnit(this->random) < this->options.loss) return;
    this->After(this->Delay(milliseconds(8)), std::move(run));
  }

  // Runs `handle` with the entry's presence, after its pause.
  void AtEntry(const std::string& name, std::uint64_t start,
               std::function<void(Entry& entry)> handle) {
    Entry& entry = this->entries[name];
    if (!entry.presence || (start != 0 && entry.start != start)) return;
    if (this->now < entry.paused_until) {
      this->After(entry.paused_until - this->now,
                  [this, name, start, handle] { this->AtEntry(name, start, handle); });
      return;
    }
    handle(entry);
  }

  void Advance(const std::string& name) {
    Entry& entry = this->entries[name];
    this->Execute(name, entry.presence->Advance(this->now));
  }

  void Follow(const std::string& name, std::uint64_t start) {
    this->AtEntry(name, start, [this, name, start](Entry& entry) {
      std::vector<std::string> all = entry.presence->LiveEntries();
      all.push_back(name);
      std::sort(all.begin(), all.end());
      const auto own = std::find(all.begin(), all.end(), name) - all.begin();
      const std::vector<double> demands(all.size(), 10);
      const std::vector<std::uint32_t> slots(this->options.agents, 8);
      const IndexRange window =
          EngineWindow(slots, demands, static_cast<std::size_t>(own), kFollowedEngines);
      std::vector<std::string> engines;
      for (std::size_t i = window.first; i < window.last; ++i) engines.push_back(EngineName(i));
      if (all.size() > 1) entry.presence->SetFollowedEngines(engines, this->now);
      this->Advance(name);
      this->After(kFollowPeriod, [this, name, start] { this->Follow(name, start); });
    });
  }

  void Execute(const std::string& from, const std::vector<PresenceAction>& actions) {
    for (const PresenceAction& action : actions) {
      std::visit([&](const auto& item) { this->Perform(from, item); }, action);
    }
  }
  void Perform(const std::string& from, const GreetAgent& action) {
    this->Deliver([this, from, action] {
      Agent& agent = this->agents[action.agent];
      const bool is_new = !agent.greeted.contains(from);
      agent.greeted[from] = this->now;
      if (is_new) this->SendStatus(action.agent, from);
    });
  }
  void Perform(const std::string& from, const LeaveAgent& action) {
    this->Deliver([this, from, action] { this->agents[action.agent].greeted.erase(from); });
  }
  void Perform(const std::string& from, const SendEntryStatus& action) {
    if (!this->entries[action.entry].presence) ++this->sent_to_dead;
    const auto sent = std::make_shared<const SendEntryStatus>(action);
    this->Deliver([this, from, sent] {
      this->AtEntry(sent->entry, 0, [this, from, sent](Entry& entry) {
        this->Execute(sent->entry, entry.presence->OnEntryStatus(from, sent->status, this->now));
        for (const EngineAvailability& engine : sent->status.engines) {
          entry.passed_on[engine.address] = engine;
        }
        this->Advance(sent->entry);
      });
    });
  }
  void Perform(const std::string&, const LiveEntriesChanged&) {}

  void Start(std::size_t agent) {
    this->After(this->Delay(kAgentPeriod), [this, agent] { this->AgentTick(agent); });
  }

  void AgentTick(std::size_t agent) {
    std::erase_if(this->agents[AgentName(agent)].greeted,
                  [this](const auto& row) { return this->now - row.second > kAgentMemory; });
    this->SendStatuses(AgentName(agent));
    this->After(kAgentPeriod, [this, agent] { this->AgentTick(agent); });
  }

  void SendStatuses(const std::string& agent) {
    for (const auto& [entry, greeted] : this->agents[agent].greeted) {
      this->SendStatus(agent, entry);
    }
  }

  void SendStatus(const std::string& agent, const std::string& to) {
    std::vector<std::string> known;
    for (const auto& [entry, greeted] : this->agents[agent].greeted) known.push_back(entry);
    const EngineAvailability availability{.address = this->engine_by_agent[agent],
                                          .weights_version = this->agents[agent].weights_version};
    this->Deliver([this, agent, to, known, availability] {
      this->AtEntry(to, 0, [=, this](Entry& entry) {
        entry.presence->OnAgentStatus(agent, availability, known, this->now);
        this->Advance(to);
      });
    });
  }

  FleetOptions options;
  Random random;
  std::priority_queue<Event> events = {};
  std::uint64_t next_order = 0;
  std::map<std::string, Entry> entries = {};
  std::map<std::string, Agent> agents = {};
  std::map<std::string, std::string> engine_by_agent = {};
};

std::size_t FewestEntriesOfAnAgent(const Fleet& fleet, std::size_t agents) {
  std::size_t fewest = SIZE_MAX;
  for (std::size_t i = 0; i < agents; ++i) fewest = std::min(fewest, fleet.EntriesOf(i));
  return fewest;
}

struct FleetSize {
  std::size_t entries;
  std::size_t agents;
};

class EntryPresenceTest : public ::testing::TestWithParam<FleetSize> {};

// The whole fleet starts at once, and a part of the messages is lost. Guards against entries that
// do not find each other, and against agents that no entry tells what to load.
TEST_P(EntryPresenceTest, FleetThatStartsAtOnceAgreesWithinSeconds) {
  const auto [entries, agents] = GetParam();
  Fleet fleet({.entries = entries, .agents = agents, .loss = 0.02});
  fleet.RunFor(seconds(8));
  EXPECT_EQ(fleet.EntriesThatAgree(), entries);
  EXPECT_GE(FewestEntriesOfAnAgent(fleet, agents), std::min<std::size_t>(2, entries));
}

// Guards against messages of a node that grow with the fleet.
TEST_P(EntryPresenceTest, ContactsOfANodeAreBounded) {
  const auto [entries, agents] = GetParam();
  Fleet fleet({.entries = entries, .agents = agents});
  fleet.RunFor(seconds(20));
  const std::size_t own = std::max<std::size_t>(1, agents / entries);
  for (const std::string& entry : fleet.Live()) {
    EXPECT_LE(fleet.Presence(entry).Contacts(), 3 * (own + 2) + kFollowedEngines + 4 * own + 8);
  }
  std::size_t most = 0;
  for (std::size_t i = 0; i < agents; ++i) most = std::max(most, fleet.EntriesOf(i));
  EXPECT_LE(most, std::min<std::size_t>(entries, 2 + 2 * kFollowedEngines));
  const std::uint64_t before = fleet.messages;
  fleet.RunFor(seconds(4));
  const double per_node =
      static_cast<double>(fleet.messages - before) / 4 / static_cast<double>(entries + agents);
  // At most 64 + 16 statuses and some 40 hellos a second leave an entry, and 10 reports an agent.
  EXPECT_LE(per_node, 90);
}

// Many processes are killed at once. Guards against agents that lose all their entries.
TEST_P(EntryPresenceTest, SurvivorsTakeOverTheAgentsOfKilledEntries) {
  const auto [entries, agents] = GetParam();
  Fleet fleet({.entries = entries, .agents = agents});
  fleet.RunFor(seconds(8));
  const std::size_t killed = entries * 55 / 100;
  for (std::size_t i = 0; i < killed; ++i) {
    fleet.KillEntry(i * entries / killed);
  }
  const std::size_t left = fleet.Live().size();
  const Duration period = fleet.Presence(fleet.Live().front()).StatusPeriod();
  fleet.RunFor(3 * period);
  EXPECT_GE(FewestEntriesOfAnAgent(fleet, agents), std::min<std::size_t>(1, left));
  fleet.RunFor(seconds(16));
  EXPECT_EQ(fleet.EntriesThatAgree(), left);
  // Dead entries are contacted no more, except for the seeds.
  fleet.RunFor(seconds(20));
  const std::uint64_t before = fleet.sent_to_dead;
  fleet.RunFor(seconds(4));
  // Every entry tries the three seeds each second.
  EXPECT_LE(fleet.sent_to_dead - before, std::uint64_t{3} * 5 * left);
}

// Guards against entries that learn late whether an engine serves, because they are not in touch
// with its agent.
TEST_P(EntryPresenceTest, AvailabilityReachesEveryEntryWithinAQuarterOfASecond) {
  const auto [entries, agents] = GetParam();
  Fleet fleet({.entries = entries, .agents = agents});
  fleet.RunFor(seconds(10));
  const std::size_t agent = agents / 2;
  fleet.SetWeights(agent, 7);
  fleet.RunFor(milliseconds(250));
  std::size_t informed = 0;
  for (const std::string& entry : fleet.Live()) {
    if (fleet.WeightsKnownTo(entry, agent) == 7) ++informed;
  }
  EXPECT_GE(informed + 1, entries);  // the responsible entry has it from the agent
}

INSTANTIATE_TEST_SUITE_P(Sizes, EntryPresenceTest,
                         ::testing::Values(FleetSize{1, 4}, FleetSize{4, 9}, FleetSize{35, 156},
                                           FleetSize{35, 265}, FleetSize{320, 690}));

// Guards against a hand-over that waits until a stopped entry is presumed gone.
TEST(EntryPresenceHandOverTest, LeavingEntryIsReplacedAtOnce) {
  Fleet fleet({.entries = 5, .agents = 20});
  fleet.RunFor(seconds(8));
  fleet.StopEntry(1);
  fleet.RunFor(milliseconds(400));
  EXPECT_EQ(fleet.EntriesThatAgree(), 4u);
  EXPECT_GE(FewestEntriesOfAnAgent(fleet, 20), 2u);
  // Agents that still name it must not bring it back.
  fleet.RunFor(seconds(10));
  EXPECT_EQ(fleet.EntriesThatAgree(), 4u);
}

// An entry is paused for longer than it takes to be replaced, and goes on with its old view. Guards
// against a fleet that does not agree again.
TEST(EntryPresenceHandOverTest, PausedEntryIsBackInTouchAfterThePause) {
  Fleet fleet({.entries = 6, .agents = 30});
  fleet.RunFor(seconds(8));
  fleet.PauseEntry(2, seconds(15));
  fleet.RunFor(seconds(14));
  EXPECT_GE(FewestEntriesOfAnAgent(fleet, 30), 2u);
  fleet.RunFor(seconds(4));
  EXPECT_EQ(fleet.EntriesThatAgree(), 6u);
}

// All seeds are down, and a new entry joins. Guards against an entry that finds the others only
// through seeds.
TEST(EntryPresenceHandOverTest, NewEntryFindsTheOthersThroughAgents) {
  Fleet fleet({.entries = 12, .agents = 40});
  fleet.RunFor(seconds(8));
  for (std::size_t i = 0; i < 3; ++i) fleet.KillEntry(i);
  fleet.RunFor(seconds(14));
  fleet.StartEntry(12);
  fleet.RunFor(seconds(3));
  EXPECT_EQ(fleet.EntriesThatAgree(), 10u);
}

// Guards against an entry that greets every agent before it knows the others.
TEST(EntryPresenceHandOverTest, ContactsGrowStepByStepWhileNoOtherEntryIsKnown) {
  EntryPresence presence({.self = "entry"});
  std::map<std::string, std::string> agents;
  for (std::size_t i = 0; i < 690; ++i) agents[Fleet::AgentName(i)] = Fleet::EngineName(i);
  presence.SetAgents(agents);
  Instant now(std::chrono::hours(1));
  presence.Advance(now);
  EXPECT_EQ(presence.Contacts(), 24u);
  presence.Advance(now + milliseconds(499));
  EXPECT_EQ(presence.Contacts(), 24u);
  for (int i = 0; i < 30; ++i) presence.Advance(now += milliseconds(100));
  EXPECT_EQ(presence.Contacts(), 690u);
}

// Entries are replaced at new addresses for days. Guards against a list of addresses that grows
// with every one that ever was in use.
TEST(EntryPresenceHandOverTest, AddressesOfReplacedEntriesAreForgotten) {
  EntryPresence presence({.self = "entry", .seeds = {"seed"}});
  Instant now(std::chrono::hours(1));
  presence.SetAgents({{"agent", "engine"}});
  for (int i = 0; i < 200; ++i) {
    const std::string replaced = "entry-" + std::to_string(i);
    presence.OnAgentStatus("agent", {.address = "engine"}, std::vector{replaced}, now);
    presence.OnEntryStatus(replaced + "-that-left", {.leaving = true}, now);
    for (int tick = 0; tick < 10; ++tick) presence.Advance(now += seconds(1));
  }
  EXPECT_LE(presence.Candidates(), 16u);
}

// Guards against an address that answers nothing and is contacted forever.
TEST(EntryPresenceHandOverTest, UnansweredAddressIsLeftAlone) {
  EntryPresence presence({.self = "entry"});
  Instant now(std::chrono::hours(1));
  presence.SetAgents({{"agent", "engine"}});
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    presence.OnAgentStatus("agent", {.address = "engine"}, std::vector<std::string>{"ghost"}, now);
    for (const PresenceAction& action : presence.Advance(now += milliseconds(100))) {
      sent += std::holds_alternative<SendEntryStatus>(action) ? 1 : 0;
    }
  }
  EXPECT_EQ(sent, 5);
}

}  // namespace
}  // namespace savory
