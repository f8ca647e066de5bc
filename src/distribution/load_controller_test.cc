#include "distribution/load_controller.h"

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

// In-memory leases with fencing numbers, as in the key-value service.
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

  LoadResponse ReceiveLoad(const StartLoad& request, Instant at) {
    if (this->checks_fence && request.fence < this->highest_fence) return LoadResponse::kStaleFence;
    this->highest_fence = std::max(this->highest_fence, request.fence);
    if (at >= request.not_after) {
      return LoadResponse::kAccepted;  // accepted, but not started after its deadline
    }
    this->loading.insert(request.manifest);
    this->mixed = this->mixed || this->loading.size() > 1;
    this->loaded = {};
    return LoadResponse::kAccepted;
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

class LoadControllerTest : public testing::Test {
 protected:
  void HandleEvent(const LoadEvent& event) {
    this->Append(this->controller->Handle(this->now, event));
  }

  void Append(std::vector<LoadAction> actions) {
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

  void RestartAgent() {
    this->controller =
        std::make_unique<LoadController>(LoadControllerOptions{.vm = "vm-a"}, this->random);
  }

  void Advance(Duration time) { this->now += time; }

  void Report() { this->HandleEvent(this->engine.Report(this->now)); }

  void SetCompleteTarget(const Digest& manifest) {
    this->HandleEvent(LoadTargetChanged{.pool = "chat", .manifest = manifest, .max_loading = 1});
    this->HandleEvent(WeightsComplete{.manifest = manifest});
    this->Report();
  }

  // Grants the requested lease and returns its fencing number.
  std::uint64_t Grant() {
    const auto acquire = this->Take<AcquireSlot>();
    EXPECT_TRUE(acquire);
    const auto fence = this->leases.Acquire(acquire->lease, "vm-a.1", this->now);
    EXPECT_TRUE(fence);
    this->HandleEvent(LeaseGranted{.call = acquire->call, .fence = *fence});
    return *fence;
  }

  StartLoad RequestUnderLease(const Digest& manifest) {
    this->SetCompleteTarget(manifest);
    this->Grant();
    this->HandleEvent(LoadTick{.idle = true});
    const auto load = this->Take<StartLoad>();
    EXPECT_TRUE(load);
    return *load;
  }

  Random random{1};
  Instant now = Instant(std::chrono::hours(1));
  std::unique_ptr<LoadController> controller =
      std::make_unique<LoadController>(LoadControllerOptions{.vm = "vm-a"}, this->random);
  FakeLeases leases;
  FakeEngine engine;
  std::vector<LoadAction> actions;
};

// Guards against loading without a lease, and against keeping the lease after the load.
TEST_F(LoadControllerTest, LoadsUnderALeaseAndReleasesItAfterwards) {
  const StartLoad load = this->RequestUnderLease(kNew);
  EXPECT_EQ(load.manifest, kNew);
  EXPECT_EQ(load.fence, 1u);
  this->HandleEvent(LoadResponseReceived{.answer = this->engine.ReceiveLoad(load, this->now)});
  this->Report();
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  EXPECT_TRUE(this->controller->BlocksServing());
  this->engine.Finish();
  this->Advance(milliseconds(100));
  this->Report();
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->controller->BlocksServing());
  this->Advance(seconds(60));
  this->HandleEvent(LoadTick{});
  EXPECT_TRUE(this->actions.empty());  // no calls of the lease service in steady state
}

// Guards against requesting a load while requests run at the engine.
TEST_F(LoadControllerTest, WaitsUntilNoRequestRuns) {
  this->SetCompleteTarget(kNew);
  this->Grant();
  this->HandleEvent(LoadTick{.idle = false});
  EXPECT_TRUE(this->controller->BlocksServing());
  EXPECT_FALSE(this->Take<StartLoad>());
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_TRUE(this->Take<StartLoad>());
}

// Guards against relying on an idle check that was made while the gate still admitted requests.
TEST_F(LoadControllerTest, IdleCheckBeforeTheLeaseIsIgnored) {
  this->SetCompleteTarget(kNew);
  this->HandleEvent(LoadTick{.idle = true});
  this->Grant();
  EXPECT_FALSE(this->Take<StartLoad>());
  EXPECT_TRUE(this->controller->BlocksServing());
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_TRUE(this->Take<StartLoad>());
}

// Guards against an engine that died blocking a slot for other agents forever.
TEST_F(LoadControllerTest, ReleasesTheSlotOfAnUnreachableEngine) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->HandleEvent(LoadResponseReceived{.answer = this->engine.ReceiveLoad(load, this->now)});
  this->HandleEvent(EngineUnreachable{});
  EXPECT_TRUE(this->controller->BlocksServing());
  this->Advance(seconds(10));
  this->HandleEvent(EngineUnreachable{});
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against an engine that hangs while loading blocking a slot forever, and against sending
// requests to it.
TEST_F(LoadControllerTest, ReleasesTheSlotOfAHangingLoad) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->HandleEvent(LoadResponseReceived{.answer = this->engine.ReceiveLoad(load, this->now)});
  for (int i = 0; i < 29 * 60; i += 3) {
    this->Advance(seconds(3));
    this->Report();
    if (const auto renewal = this->Take<RenewSlot>()) {
      this->HandleEvent(LeaseRenewed{.call = renewal->call});
    }
  }
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  for (int i = 0; i < 60; i += 3) {
    this->Advance(seconds(3));
    this->Report();
    if (const auto renewal = this->Take<RenewSlot>()) {
      this->HandleEvent(LeaseRenewed{.call = renewal->call});
    }
  }
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_TRUE(this->controller->BlocksServing());
}

// Guards against a load request by a process that was paused until its lease had expired.
TEST_F(LoadControllerTest, PausedHolderDoesNotRequestALoad) {
  this->SetCompleteTarget(kNew);
  this->Grant();
  this->HandleEvent(LoadTick{.idle = false});
  this->Advance(seconds(30));  // paused; another holder may have the lease now
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_FALSE(this->Take<StartLoad>());
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against using a lease whose call took almost as long as the lease: the lease is measured
// from before the call, not from its reply.
TEST_F(LoadControllerTest, LeaseGrantedTooLateIsNotUsed) {
  this->SetCompleteTarget(kNew);
  const auto acquire = this->Take<AcquireSlot>();
  this->Advance(milliseconds(9'500));
  this->HandleEvent(LeaseGranted{.call = acquire->call, .fence = 7});
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_FALSE(this->Take<StartLoad>());
  EXPECT_TRUE(this->Take<ReleaseSlot>());
}

// Guards against an old load request that reaches the engine after a newer one. An engine that
// checks fencing numbers refuses it. An engine that ignores them does not start it, because the
// deadline of the request lies within the lease.
TEST_F(LoadControllerTest, RequestDelayedPastItsLeaseDoesNotLoad) {
  for (const bool checks_fence : {true, false}) {
    this->engine = FakeEngine{.checks_fence = checks_fence};
    this->leases = {};
    this->RestartAgent();
    const Instant asked = this->now;
    const StartLoad delayed = this->RequestUnderLease(kNew);
    EXPECT_LT(delayed.not_after, asked + seconds(10));
    EXPECT_LE(this->now + delayed.deadline, delayed.not_after);
    this->Advance(seconds(11));
    const auto fence = this->leases.Acquire("load/chat/0", "vm-a.2", this->now);
    ASSERT_TRUE(fence);
    const StartLoad newer{.manifest = kNewer,
                          .fence = *fence,
                          .deadline = seconds(9),
                          .not_after = this->now + seconds(9)};
    EXPECT_EQ(this->engine.ReceiveLoad(newer, this->now), LoadResponse::kAccepted);
    const LoadResponse answer = this->engine.ReceiveLoad(delayed, this->now);
    EXPECT_EQ(answer, checks_fence ? LoadResponse::kStaleFence : LoadResponse::kAccepted);
    EXPECT_FALSE(this->engine.mixed);
    this->engine.Finish();
    EXPECT_EQ(this->engine.loaded, kNewer);
    // The agent whose request was delayed reads the engine's state and acquires a new lease before
    // it sends another request.
    this->HandleEvent(LoadResponseReceived{.answer = answer});
    this->Report();
    this->Advance(seconds(1));
    this->Report();
    EXPECT_TRUE(this->Take<AcquireSlot>());
    EXPECT_FALSE(this->Take<StartLoad>());
  }
}

// A lease is granted, but the reply is lost. Guards against a load request without a known fencing
// number, and against waiting forever.
TEST_F(LoadControllerTest, RetriesALeaseCallWhoseReplyWasLost) {
  this->SetCompleteTarget(kNew);
  const auto first = this->Take<AcquireSlot>();
  ASSERT_TRUE(this->leases.Acquire(first->lease, "vm-a.1", this->now));  // the reply is lost
  this->HandleEvent(LeaseNotGranted{.call = first->call});
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_FALSE(this->Take<StartLoad>());
  this->Advance(seconds(1));
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_EQ(this->Grant(), 2u);
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_EQ(this->Take<StartLoad>()->fence, 2u);
}

// Guards against a lease call without a reply blocking the load forever.
TEST_F(LoadControllerTest, LeaseCallWithoutReplyTimesOut) {
  this->SetCompleteTarget(kNew);
  ASSERT_TRUE(this->Take<AcquireSlot>());
  this->Advance(seconds(10));
  this->HandleEvent(LoadTick{});
  this->Advance(seconds(1));
  this->HandleEvent(LoadTick{});
  EXPECT_TRUE(this->Take<AcquireSlot>());
}

// Guards against two loads at the same time when two versions are pinned one after the other.
TEST_F(LoadControllerTest, SecondVersionWaitsForTheFirstLoad) {
  this->engine.checks_fence = false;
  const StartLoad load = this->RequestUnderLease(kNew);
  this->HandleEvent(LoadResponseReceived{.answer = this->engine.ReceiveLoad(load, this->now)});
  this->SetCompleteTarget(kNewer);
  this->Advance(seconds(1));
  this->Report();
  EXPECT_FALSE(this->Take<AcquireSlot>());
  EXPECT_FALSE(this->Take<StartLoad>());
  this->engine.Finish();
  this->Report();
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  this->Grant();
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_EQ(this->Take<StartLoad>()->manifest, kNewer);
  EXPECT_FALSE(this->engine.mixed);
}

// Guards against losing the slot during a load that takes longer than the lease, and against using
// an expired lease.
TEST_F(LoadControllerTest, RenewsTheLeaseWhileTheEngineLoads) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->HandleEvent(LoadResponseReceived{.answer = this->engine.ReceiveLoad(load, this->now)});
  this->Advance(seconds(3));
  this->HandleEvent(LoadTick{});
  const auto renewal = this->Take<RenewSlot>();
  ASSERT_TRUE(renewal);
  EXPECT_EQ(renewal->fence, load.fence);
  this->HandleEvent(RenewalFailed{.call = renewal->call});
  this->Advance(seconds(1));
  this->HandleEvent(LoadTick{});
  EXPECT_TRUE(this->Take<RenewSlot>());
  this->Advance(seconds(30));
  this->HandleEvent(LoadTick{});
  EXPECT_FALSE(this->Take<RenewSlot>());
  EXPECT_FALSE(this->Take<StartLoad>());
  this->engine.Finish();
  this->Report();
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against a load request that was decided on an old state: to an engine that stopped
// answering while its requests ended, or that has these weights by now.
TEST_F(LoadControllerTest, RequestIsDecidedOnTheStateAfterDraining) {
  this->SetCompleteTarget(kNew);
  this->Grant();
  this->HandleEvent(LoadTick{.idle = false});
  this->HandleEvent(EngineUnreachable{});
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_FALSE(this->Take<StartLoad>());
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  this->Report();
  this->Grant();
  this->engine.loaded = kNew;
  this->Report();
  this->HandleEvent(LoadTick{.idle = true});
  EXPECT_FALSE(this->Take<StartLoad>());
  EXPECT_FALSE(this->controller->BlocksServing());
}

// ---- load requests without a reply ----

// Guards against an engine that gets new requests, or loses its slot to another one, while it may
// still begin a load whose request was given up: a state without the load does not show that the
// engine has read the request.
TEST_F(LoadControllerTest, UnansweredRequestKeepsTheGateClosedAndTheSlot) {
  this->RequestUnderLease(kNew);
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  this->Advance(milliseconds(100));
  this->Report();  // the request waits in the engine's socket
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  EXPECT_TRUE(this->controller->BlocksServing());
}

// Guards against an engine that stays out of service until the deadline of an unanswered request,
// although a repetition of the request shows at once what becomes of it.
TEST_F(LoadControllerTest, UnansweredRequestIsRepeatedUnderTheSameLease) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  this->Advance(seconds(1));
  this->Report();
  const auto repeated = this->Take<StartLoad>();
  ASSERT_TRUE(repeated);
  EXPECT_EQ(repeated->manifest, kNew);
  EXPECT_EQ(repeated->fence, load.fence);
  EXPECT_LE(this->now + repeated->deadline, repeated->not_after);
  this->HandleEvent(LoadResponseReceived{.answer = this->engine.ReceiveLoad(*repeated, this->now)});
  EXPECT_TRUE(this->controller->BlocksServing());
  this->engine.Finish();
  this->Advance(milliseconds(100));
  this->Report();
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against overlooking that a request without a reply was carried out.
TEST_F(LoadControllerTest, UnansweredRequestIsSettledByTheLoad) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  this->engine.ReceiveLoad(load, this->now);
  this->Report();
  EXPECT_FALSE(this->Take<StartLoad>());
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  EXPECT_TRUE(this->controller->BlocksServing());
  this->engine.Finish();
  this->Advance(milliseconds(100));
  this->Report();
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against an engine that stays out of service, and a slot that stays taken, forever, because
// no load request is ever answered.
TEST_F(LoadControllerTest, UnansweredRequestEndsOnceItCanNoLongerTakeEffect) {
  const Instant first = this->now;
  const StartLoad load = this->RequestUnderLease(kNew);
  Instant last_sent = first;
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  while (this->controller->BlocksServing() && this->now < first + seconds(60)) {
    this->Advance(milliseconds(100));
    this->Report();
    if (const auto renewal = this->Take<RenewSlot>()) {
      this->HandleEvent(LeaseRenewed{.call = renewal->call});
    }
    if (this->Take<StartLoad>()) {
      last_sent = this->now;
      this->Advance(seconds(3));
      this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
    }
  }
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->controller->BlocksServing());
  EXPECT_GT(this->now, last_sent + load.deadline);
  EXPECT_LT(this->now, first + seconds(30));
}

// Guards against a deadline that is counted from the sending of the request: an engine that hung
// reads the request when it wakes, and counts from then.
TEST_F(LoadControllerTest, DeadlineOfAnUnansweredRequestCountsFromTheEnginesReturn) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->HandleEvent(LoadTargetChanged{.pool = "chat", .manifest = kNewer, .max_loading = 1});
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  for (int i = 0; i < 20; ++i) {
    this->Advance(seconds(1));
    this->HandleEvent(EngineUnreachable{});
  }
  const Instant returned = this->now;
  this->Report();
  EXPECT_TRUE(this->controller->BlocksServing());
  while (this->now < returned + load.deadline) {
    this->Advance(milliseconds(500));
    this->Report();
    EXPECT_TRUE(this->controller->BlocksServing());
  }
  for (int i = 0; i < 6; ++i) {
    this->Advance(milliseconds(500));
    this->Report();
  }
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against counting time in which the engine was suspended: a gap without a report may be
// one, and the clock of the engine may not have run.
TEST_F(LoadControllerTest, GapBetweenReportsDoesNotCountTowardsTheDeadline) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->HandleEvent(LoadTargetChanged{.pool = "chat", .manifest = kNewer, .max_loading = 1});
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  this->Report();
  this->Advance(load.deadline + seconds(10));
  this->Report();
  EXPECT_TRUE(this->controller->BlocksServing());
}

// Guards against a slot that an engine which hangs before it answers the request takes forever, and
// against requests to that engine when it wakes and reads the load request.
TEST_F(LoadControllerTest, HangingEngineReleasesTheSlotAndStaysClosed) {
  const StartLoad load = this->RequestUnderLease(kNew);
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  for (int i = 0; i <= 10; ++i) {
    this->HandleEvent(EngineUnreachable{});
    if (const auto renewal = this->Take<RenewSlot>()) {
      this->HandleEvent(LeaseRenewed{.call = renewal->call});
    }
    this->Advance(seconds(1));
  }
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  this->Report();
  EXPECT_TRUE(this->controller->BlocksServing());
  this->engine.ReceiveLoad(load, load.not_after - seconds(1));
  this->Advance(milliseconds(100));
  this->Report();
  this->engine.Finish();
  this->Advance(milliseconds(100));
  this->Report();
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against an engine that stays out of service although the process that had the unanswered
// request is gone.
TEST_F(LoadControllerTest, RestartedEngineHasNoUnansweredRequest) {
  this->RequestUnderLease(kNew);
  this->HandleEvent(LoadTargetChanged{.pool = "chat", .manifest = kNewer, .max_loading = 1});
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  this->Advance(milliseconds(100));
  this->Report();
  EXPECT_TRUE(this->controller->BlocksServing());
  this->Advance(milliseconds(100));
  EngineReported restarted = this->engine.Report(this->now);
  restarted.incarnation = 2;
  this->HandleEvent(restarted);
  EXPECT_TRUE(this->Take<ReleaseSlot>());
  EXPECT_FALSE(this->controller->BlocksServing());
}

// Guards against taking an engine for another process because it restarted between the last report
// before the request and the request itself.
TEST_F(LoadControllerTest, RestartBeforeTheRequestDoesNotSettleIt) {
  this->RequestUnderLease(kNew);
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  EngineReported restarted = this->engine.Report(this->now);
  restarted.incarnation = 2;
  this->HandleEvent(restarted);
  EXPECT_TRUE(this->controller->BlocksServing());
}

// Guards against a request for other weights while an unanswered one may still be carried out: an
// engine that ignores fencing numbers would load both at the same time.
TEST_F(LoadControllerTest, OtherWeightsWaitForTheUnansweredRequest) {
  this->engine.checks_fence = false;
  this->RequestUnderLease(kNew);
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  this->SetCompleteTarget(kNewer);
  for (int i = 0; i <= 12; ++i) {
    this->Advance(seconds(1));
    this->HandleEvent(EngineUnreachable{});
  }
  this->Report();
  EXPECT_FALSE(this->Take<AcquireSlot>());
  EXPECT_FALSE(this->Take<StartLoad>());
}

// Guards against a refusal of a repetition that is taken for the loss of the first request: without
// a connection nothing is known of it.
TEST_F(LoadControllerTest, RepetitionThatIsNotSentSettlesNothing) {
  this->RequestUnderLease(kNew);
  this->Advance(seconds(3));
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kUnknown});
  this->Advance(seconds(1));
  this->Report();
  ASSERT_TRUE(this->Take<StartLoad>());
  this->HandleEvent(LoadResponseReceived{.answer = LoadResponse::kNotSent});
  this->Report();
  EXPECT_FALSE(this->Take<ReleaseSlot>());
  EXPECT_TRUE(this->controller->BlocksServing());
}

// Guards against a load request for incomplete weights, or while the engine is unreachable.
TEST_F(LoadControllerTest, RequiresCompleteWeightsAndAReachableEngine) {
  this->HandleEvent(LoadTargetChanged{.pool = "chat", .manifest = kNew, .max_loading = 1});
  this->Report();
  this->HandleEvent(LoadTick{});
  EXPECT_TRUE(this->actions.empty());
  this->HandleEvent(WeightsComplete{.manifest = kNew});
  EXPECT_TRUE(this->Take<AcquireSlot>());
  this->RestartAgent();
  this->SetCompleteTarget(kOld);  // loaded already
  this->HandleEvent(EngineUnreachable{});
  this->SetCompleteTarget(kOld);
  EXPECT_TRUE(this->actions.empty());
}

// Guards against treating a restarted engine as loaded.
TEST_F(LoadControllerTest, RestartedEngineIsLoadedAgain) {
  this->engine.loaded = kNew;
  this->SetCompleteTarget(kNew);
  EXPECT_FALSE(this->Take<AcquireSlot>());
  this->engine.loaded = {};
  this->Report();
  EXPECT_TRUE(this->Take<AcquireSlot>());
}

}  // namespace
}  // namespace savory
