#include "distribution/load_order.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Digest kOld = Sha256("old");
const Digest kNew = Sha256("new");
const Digest kNewer = Sha256("newer");

// Leases of the key-value service with fencing numbers.
struct FakeLeases {
  std::map<std::string, std::pair<std::string, Instant>> held = {};  // lease -> holder, expiry
  std::uint64_t fence = 0;

  std::optional<std::uint64_t> Acquire(const std::string& name, const std::string& holder,
                                       Instant now) {
    const auto found = this->held.find(name);
    const bool taken =
        found != this->held.end() && found->second.first != holder && now < found->second.second;
    if (taken) return std::nullopt;
    this->held[name] = {holder, now + seconds(10)};
    return ++this->fence;
  }
};

struct FakeEngine {
  bool checks_fence = true;
  std::uint64_t highest_fence = 0;
  Digest loaded = kOld;
  std::set<Digest> loading = {};
  bool mixed = false;  // two loads ran at the same time

  LoadAnswer Receive(const OrderLoad& order, Instant at) {
    if (this->checks_fence && order.fence < this->highest_fence) return LoadAnswer::kStaleFence;
    this->highest_fence = std::max(this->highest_fence, order.fence);
    if (at >= order.not_after) return LoadAnswer::kAccepted;  // accepted, but never started
    this->loading.insert(order.manifest);
    this->mixed = this->mixed || this->loading.size() > 1;
    this->loaded = {};
    return LoadAnswer::kAccepted;
  }
  void Finish() {
    this->loaded = *this->loading.begin();
    this->loading.clear();
  }
  EngineReported Report(Instant asked) const {
    return {.asked = asked,
            .incarnation = 1,
            .loaded = this->loaded,
            .loading = this->loading.empty() ? Digest{} : *this->loading.begin()};
  }
};

class LoadOrderTest : public testing::Test {
 protected:
  void Give(const LoadEvent& event) { this->Keep(this->order->Handle(this->now, event)); }

  void Keep(std::vector<LoadAction> actions) {
    for (LoadAction& action : actions) this->actions.push_back(std::move(action));
  }

  // Removes and returns the first action of type T.
  template <typename T>
  std::optional<T> Take() {
    for (auto action = this->actions.begin(); action != this->actions.end(); ++action) {
      if (const T* typed = std::get_if<T>(&*action)) {
        const T taken = *typed;
        this->actions.erase(action);
        return taken;
      }
    }
    return std::nullopt;
  }

  void Restart() {
    this->order = std::make_unique<LoadOrder>(LoadOrderOptions{.vm = "vm-a"}, this->random);
  }

  void Wait(Duration time) { this->now += time; }

  void Report() { this->Give(this->engine.Report(this->now)); }

  void WantAndHold(const Digest& manifest) {
    this->Give(OrderWanted{.pool = "chat", .manifest = manifest, .max_loading = 1});
    this->Give(WeightsWhole{.manifest = manifest});
    this->Report();
  }

  // Acquires the lease as requested and returns its fencing number.
  std::uint64_t Grant() {
    const auto acquire = this->Take<AcquireSlot>();
    EXPECT_TRUE(acquire);
    const auto fence = this->leases.Acquire(acquire->lease, "vm-a.1", this->now);
    EXPECT_TRUE(fence);
    this->Give(LeaseGranted{.call = acquire->call, .fence = *fence});
    return *fence;
  }

  OrderLoad OrderUnderLease(const Digest& manifest) {
    this->WantAndHold(manifest);
    this->Grant();
    this->Give(OrderTick{.idle = true});
    const auto load = this->Take<OrderLoad>();
    EXPECT_TRUE(load);
    return *load;
  }

  Random random{1};
  Instant now = Instant(std::chrono::hours(1));
  std::unique_ptr<LoadOrder> order =
      std::make_unique<LoadOrder>(LoadOrderOptions{.vm = "vm-a"}, this->random);
  FakeLeases leases;
  FakeEngine engine;
  std::vector<LoadAction> actions;
};

// Guards against loading without a lease, and against a lease that is kept after the load.
TEST_F(LoadOrderTest, OrdersUnderALeaseAndReleasesItAfterTheLoad) {
  const OrderLoad load = this->OrderUnderLease(kNew);
  EXPECT_EQ(load.manifest, kNew);
  EXPECT_EQ(load.fence, 1u);
  this->Give(LoadAnswered{.answer = this->engine.Receive(load, this->now)});
  this->Report();
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  EXPECT_TRUE(this->order->BlocksServing());
  this->engine.Finish();
  this->Wait(milliseconds(100));
  this->Report();
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->order->BlocksServing());
  this->Wait(seconds(60));
  this->Give(OrderTick{});
  EXPECT_TRUE(this->actions.empty());  // no call of the service in steady state
}

// Guards against an order while requests run at the engine.
TEST_F(LoadOrderTest, WaitsUntilNoRequestRuns) {
  this->WantAndHold(kNew);
  this->Grant();
  this->Give(OrderTick{.idle = false});
  EXPECT_TRUE(this->order->BlocksServing());
  EXPECT_FALSE(this->Take<OrderLoad>());
  this->Give(OrderTick{.idle = true});
  EXPECT_TRUE(this->Take<OrderLoad>());
}

// Guards against an order after an idle check that was made while the gate still let requests in.
TEST_F(LoadOrderTest, AnIdleCheckBeforeTheLeaseDoesNotCount) {
  this->WantAndHold(kNew);
  this->Give(OrderTick{.idle = true});
  this->Grant();
  EXPECT_FALSE(this->Take<OrderLoad>());
  EXPECT_TRUE(this->order->BlocksServing());
  this->Give(OrderTick{.idle = true});
  EXPECT_TRUE(this->Take<OrderLoad>());
}

// Guards against an engine that died keeping a slot from the other agents for ever.
TEST_F(LoadOrderTest, ASlotIsGivenUpForAnEngineThatDied) {
  const OrderLoad load = this->OrderUnderLease(kNew);
  this->Give(LoadAnswered{.answer = this->engine.Receive(load, this->now)});
  this->Give(EngineSilent{});
  EXPECT_TRUE(this->order->BlocksServing());
  this->Wait(seconds(10));
  this->Give(EngineSilent{});
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->order->BlocksServing());
}

// Guards against an engine that hangs while it loads keeping a slot for ever, and against it being
// sent requests.
TEST_F(LoadOrderTest, ASlotIsGivenUpForAnEngineThatHangs) {
  const OrderLoad load = this->OrderUnderLease(kNew);
  this->Give(LoadAnswered{.answer = this->engine.Receive(load, this->now)});
  for (int i = 0; i < 29 * 60; i += 3) {
    this->Wait(seconds(3));
    this->Report();
    if (const auto renewal = this->Take<RenewSlot>()) {
      this->Give(LeaseRenewed{.call = renewal->call});
    }
  }
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  for (int i = 0; i < 60; i += 3) {
    this->Wait(seconds(3));
    this->Report();
    if (const auto renewal = this->Take<RenewSlot>()) {
      this->Give(LeaseRenewed{.call = renewal->call});
    }
  }
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_TRUE(this->order->BlocksServing());
}

// Guards against an order by a process that was paused while it held the lease.
TEST_F(LoadOrderTest, APausedHolderDoesNotOrder) {
  this->WantAndHold(kNew);
  this->Grant();
  this->Give(OrderTick{.idle = false});
  this->Wait(seconds(30));  // paused; another holder may have the lease now
  this->Give(OrderTick{.idle = true});
  EXPECT_FALSE(this->Take<OrderLoad>());
  EXPECT_FALSE(this->order->BlocksServing());
}

// Guards against using a lease whose call took longer than the lease: it counts from before the
// call, not from its reply.
TEST_F(LoadOrderTest, ALeaseGrantedTooLateIsNotUsed) {
  this->WantAndHold(kNew);
  const auto acquire = this->Take<AcquireSlot>();
  this->Wait(milliseconds(9'500));
  this->Give(LeaseGranted{.call = acquire->call, .fence = 7});
  this->Give(OrderTick{.idle = true});
  EXPECT_FALSE(this->Take<OrderLoad>());
  EXPECT_TRUE(this->Take<ReleaseSlot>());
}

// Guards against an old order that reaches the engine after a newer one. An engine that checks
// fencing numbers refuses it; for one that ignores them, the order's deadline lies inside the
// lease, so it is not started.
TEST_F(LoadOrderTest, AnOrderDelayedPastItsLeaseLoadsNothing) {
  for (const bool checks_fence : {true, false}) {
    this->engine = FakeEngine{.checks_fence = checks_fence};
    this->leases = {};
    this->Restart();
    const Instant asked = this->now;
    const OrderLoad delayed = this->OrderUnderLease(kNew);
    EXPECT_LT(delayed.not_after, asked + seconds(10));
    EXPECT_LE(this->now + delayed.deadline, delayed.not_after);
    this->Wait(seconds(11));
    const auto fence = this->leases.Acquire("load/chat/0", "vm-a.2", this->now);
    ASSERT_TRUE(fence);
    const OrderLoad newer{.manifest = kNewer,
                          .fence = *fence,
                          .deadline = seconds(9),
                          .not_after = this->now + seconds(9)};
    EXPECT_EQ(this->engine.Receive(newer, this->now), LoadAnswer::kAccepted);
    const LoadAnswer answer = this->engine.Receive(delayed, this->now);
    EXPECT_EQ(answer, checks_fence ? LoadAnswer::kStaleFence : LoadAnswer::kAccepted);
    EXPECT_FALSE(this->engine.mixed);
    this->engine.Finish();
    EXPECT_EQ(this->engine.loaded, kNewer);
    // The paused agent reads back what the engine holds and orders again under a new lease.
    this->Give(LoadAnswered{.answer = answer});
    this->Report();
    this->Wait(seconds(1));
    this->Report();
    EXPECT_TRUE(this->Take<AcquireSlot>());
    EXPECT_FALSE(this->Take<OrderLoad>());
  }
}

// Guards against an order without a known fencing number, and against being stuck: the lease was
// granted but the reply was lost.
TEST_F(LoadOrderTest, ALostReplyOfTheLeaseCallIsRepeated) {
  this->WantAndHold(kNew);
  const auto first = this->Take<AcquireSlot>();
  ASSERT_TRUE(this->leases.Acquire(first->lease, "vm-a.1", this->now));  // the reply is lost
  this->Give(LeaseNotGranted{.call = first->call});
  this->Give(OrderTick{.idle = true});
  EXPECT_FALSE(this->Take<OrderLoad>());
  this->Wait(seconds(1));
  this->Give(OrderTick{.idle = true});
  EXPECT_EQ(this->Grant(), 2u);
  this->Give(OrderTick{.idle = true});
  EXPECT_EQ(this->Take<OrderLoad>()->fence, 2u);
}

// Guards against a call whose answer never comes holding up the load for ever.
TEST_F(LoadOrderTest, ALeaseCallWithoutAnswerIsGivenUp) {
  this->WantAndHold(kNew);
  ASSERT_TRUE(this->Take<AcquireSlot>());
  this->Wait(seconds(10));
  this->Give(OrderTick{});
  this->Wait(seconds(1));
  this->Give(OrderTick{});
  EXPECT_TRUE(this->Take<AcquireSlot>());
}

// Guards against two loads at the same time when two versions are ordered one after another.
TEST_F(LoadOrderTest, ASecondVersionWaitsForTheFirstLoad) {
  this->engine.checks_fence = false;
  const OrderLoad load = this->OrderUnderLease(kNew);
  this->Give(LoadAnswered{.answer = this->engine.Receive(load, this->now)});
  this->WantAndHold(kNewer);
  this->Wait(seconds(1));
  this->Report();
  EXPECT_FALSE(this->Take<AcquireSlot>());
  EXPECT_FALSE(this->Take<OrderLoad>());
  this->engine.Finish();
  this->Report();
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  this->Grant();
  this->Give(OrderTick{.idle = true});
  EXPECT_EQ(this->Take<OrderLoad>()->manifest, kNewer);
  EXPECT_FALSE(this->engine.mixed);
}

// Guards against a load that outlasts the lease losing its slot, and against a lost one being used.
TEST_F(LoadOrderTest, RenewsTheLeaseWhileTheEngineLoads) {
  const OrderLoad load = this->OrderUnderLease(kNew);
  this->Give(LoadAnswered{.answer = this->engine.Receive(load, this->now)});
  this->Wait(seconds(3));
  this->Give(OrderTick{});
  const auto renewal = this->Take<RenewSlot>();
  ASSERT_TRUE(renewal);
  EXPECT_EQ(renewal->fence, load.fence);
  this->Give(RenewalFailed{.call = renewal->call});
  this->Wait(seconds(1));
  this->Give(OrderTick{});
  EXPECT_TRUE(this->Take<RenewSlot>());
  this->Wait(seconds(30));
  this->Give(OrderTick{});
  EXPECT_FALSE(this->Take<RenewSlot>());
  EXPECT_FALSE(this->Take<OrderLoad>());
  this->engine.Finish();
  this->Report();
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->order->BlocksServing());
}

// Guards against an order for weights that are not whole, or while the engine does not answer.
TEST_F(LoadOrderTest, NeedsWholeWeightsAndAnEngineThatAnswers) {
  this->Give(OrderWanted{.pool = "chat", .manifest = kNew, .max_loading = 1});
  this->Report();
  this->Give(OrderTick{});
  EXPECT_TRUE(this->actions.empty());
  this->Give(WeightsWhole{.manifest = kNew});
  EXPECT_TRUE(this->Take<AcquireSlot>());
  this->Restart();
  this->WantAndHold(kOld);  // loaded already
  this->Give(EngineSilent{});
  this->WantAndHold(kOld);
  EXPECT_TRUE(this->actions.empty());
}

// Guards against a restarted engine being taken for loaded.
TEST_F(LoadOrderTest, ARestartedEngineIsOrderedAgain) {
  this->engine.loaded = kNew;
  this->WantAndHold(kNew);
  EXPECT_FALSE(this->Take<AcquireSlot>());
  this->engine.loaded = {};
  this->Report();
  EXPECT_TRUE(this->Take<AcquireSlot>());
}

}  // namespace
}  // namespace savory
