#include "routing/account_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>
#include <queue>
#include <set>

#include "base/random.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(std::chrono::hours(1));

wire::AccountLimit Limit(const std::string& account, double rate, std::uint32_t concurrency,
                         double share) {
  wire::AccountLimit limit;
  limit.set_account(account);
  limit.set_rate_per_second(rate);
  limit.set_concurrency(concurrency);
  limit.set_share(share);
  return limit;
}

LimiterLimitsChanged LimitsChanged(std::vector<wire::AccountLimit> limits) {
  return LimiterLimitsChanged{.classes = {{.request_class = "chat", .limits = std::move(limits)}}};
}

LimiterArrival Arrive(std::uint64_t id, const std::string& account, Instant deadline,
                      std::int32_t priority = 0) {
  return LimiterArrival{.id = id,
                        .account = account,
                        .request_class = "chat",
                        .priority = priority,
                        .deadline = deadline};
}

// Expects one refusal and returns its error kind.
ErrorKind RefusalKind(const std::vector<LimiterAction>& actions) {
  EXPECT_EQ(actions.size(), 1U);
  const auto* refuse = actions.empty() ? nullptr : std::get_if<LimiterRefuse>(&actions.front());
  EXPECT_NE(refuse, nullptr);
  return refuse == nullptr ? ErrorKind::kCancelled : refuse->error.kind;
}

bool IsAdmitted(const std::vector<LimiterAction>& actions) {
  return actions.size() == 1 && std::holds_alternative<LimiterAdmit>(actions.front());
}

// Simulates a limiter in virtual time. Each account sends requests with Poisson arrivals.
class LoadSimulation {
 public:
  LoadSimulation(std::uint32_t slots, Duration service_time) : service_time(service_time) {
    this->limiter.Handle(LimiterSlots{.request_class = "chat", .slots = slots}, this->now);
  }

  void AddAccount(const std::string& name, double rate) {
    this->arrivals.push({.at = this->now, .account = name, .rate = rate});
  }

  void Run(Duration length) {
    const Instant end = this->now + length;
    while (this->now < end) this->Next();
  }

  AccountLimiter limiter = AccountLimiter(AccountLimiterOptions{});
  Instant now = kStart;
  std::map<std::string, std::uint64_t> admitted;
  std::map<std::string, std::uint64_t> refused;

 private:
  struct Arrival {
    Instant at;
    std::string account;
    double rate;
    bool operator<(const Arrival& other) const { return this->at > other.at; }
  };
  struct Departure {
    Instant at;
    std::uint64_t id;
    bool operator<(const Departure& other) const { return this->at > other.at; }
  };

  void Next() {
    if (!this->departures.empty() && this->departures.top().at <= this->arrivals.top().at) {
      const Departure departure = this->departures.top();
      this->departures.pop();
      this->now = departure.at;
      this->Apply(this->limiter.Handle(LimiterRequestEnded{.id = departure.id}, this->now));
      return;
    }
    Arrival arrival = this->arrivals.top();
    this->arrivals.pop();
    this->now = arrival.at;
    const std::uint64_t id = ++this->last_id;
    this->accounts[id] = arrival.account;
    this->Apply(
        this->limiter.Handle(Arrive(id, arrival.account, this->now + seconds(2)), this->now));
    arrival.at += FromSeconds(-std::log(1 - UniformUnit(this->random)) / arrival.rate);
    this->arrivals.push(arrival);
  }

  void Apply(const std::vector<LimiterAction>& actions) {
    for (const LimiterAction& action : actions) {
      if (const auto* admit = std::get_if<LimiterAdmit>(&action)) {
        ++this->admitted[this->accounts.at(admit->id)];
        this->departures.push({.at = this->now + this->service_time, .id = admit->id});
      } else {
        ++this->refused[this->accounts.at(std::get<LimiterRefuse>(action).id)];
      }
    }
  }

  Duration service_time;
  Random random = Random(5);
  std::priority_queue<Arrival> arrivals;
  std::priority_queue<Departure> departures;
  std::map<std::uint64_t, std::string> accounts;
  std::uint64_t last_id = 0;
};

// Guards against a large account that takes the share of a small one. 10 slots with a service time
// of 100 ms serve 100 requests/s, so the fair share of each account is 50 requests/s.
TEST(AccountLimiterTest, SmallAccountGetsItsFairShareUnderLoad) {
  LoadSimulation simulation(10, milliseconds(100));
  simulation.limiter.Handle(LimitsChanged({Limit("*", 0, 0, 1)}), simulation.now);
  simulation.AddAccount("small", 50);
  simulation.AddAccount("large", 500);
  simulation.Run(seconds(100));
  EXPECT_GE(static_cast<double>(simulation.admitted["small"]), 0.9 * 50 * 100);
  EXPECT_GE(static_cast<double>(simulation.admitted["small"] + simulation.admitted["large"]),
            0.98 * 10000);
  RecordProperty("small", static_cast<int>(simulation.admitted["small"]));
}

// Guards against shares that are ignored. Both accounts overload the slots, with shares of 3 to 1.
TEST(AccountLimiterTest, SharesAreUsedAsWeights) {
  LoadSimulation simulation(10, milliseconds(100));
  simulation.limiter.Handle(LimitsChanged({Limit("a", 0, 0, 3), Limit("b", 0, 0, 1)}),
                            simulation.now);
  simulation.AddAccount("a", 300);
  simulation.AddAccount("b", 300);
  simulation.Run(seconds(100));
  const auto a = static_cast<double>(simulation.admitted["a"]);
  const auto b = static_cast<double>(simulation.admitted["b"]);
  EXPECT_NEAR(a / b, 3, 0.1);
}

// Guards against admitting more than the rate limit over all entries, and against refusing requests
// below it.
TEST(AccountLimiterTest, RateIsDividedByTheEntries) {
  LoadSimulation simulation(100, milliseconds(10));
  simulation.limiter.Handle(LimitsChanged({Limit("*", 100, 0, 1)}), simulation.now);
  simulation.limiter.Handle(LimiterEntryCount{.live = 4}, simulation.now);
  simulation.AddAccount("large", 250);
  simulation.AddAccount("small", 5);
  simulation.Run(seconds(100));
  // 25 requests/s for 100 s and a burst of 25 requests.
  EXPECT_NEAR(static_cast<double>(simulation.admitted["large"]), 2525, 5);
  EXPECT_EQ(simulation.refused["small"], 0U);
}

// Guards against a fleet whose entries refuse every request of an account, because its limit
// divided by the number of entries is below one.
TEST(AccountLimiterTest, AtLeastOneRequestIsAllowed) {
  AccountLimiter limiter{AccountLimiterOptions{}};
  limiter.Handle(LimitsChanged({Limit("*", 2, 2, 1)}), kStart);
  limiter.Handle(LimiterEntryCount{.live = 320}, kStart);
  const Instant deadline = kStart + seconds(400);
  EXPECT_TRUE(IsAdmitted(limiter.Handle(Arrive(1, "a", deadline), kStart)));
  EXPECT_EQ(RefusalKind(limiter.Handle(Arrive(2, "a", deadline), kStart)),
            ErrorKind::kConcurrencyLimited);
  limiter.Handle(LimiterRequestEnded{.id = 1}, kStart);
  const auto actions = limiter.Handle(Arrive(3, "a", deadline), kStart);
  ASSERT_EQ(RefusalKind(actions), ErrorKind::kRateLimited);
  EXPECT_EQ(std::get<LimiterRefuse>(actions.front()).error.retry_after, seconds(160));
  EXPECT_TRUE(IsAdmitted(limiter.Handle(Arrive(4, "a", deadline), kStart + seconds(160))));
}

// Guards against queueing requests that cannot end before their deadline, and against an unbounded
// queue.
TEST(AccountLimiterTest, RefusesUnmeetableDeadlinesAndFullQueues) {
  AccountLimiter limiter{AccountLimiterOptions{.slots = 1, .max_queued = 3}};
  const Instant late_deadline = kStart + seconds(10);
  EXPECT_TRUE(IsAdmitted(limiter.Handle(Arrive(1, "a", late_deadline), kStart)));
  EXPECT_TRUE(limiter.Handle(Arrive(2, "a", late_deadline), kStart).empty());
  // One request runs and one is queued. The expected service time is 100 ms.
  EXPECT_EQ(RefusalKind(limiter.Handle(Arrive(3, "a", kStart + milliseconds(250)), kStart)),
            ErrorKind::kDeadlineUnmeetable);
  EXPECT_TRUE(limiter.Handle(Arrive(4, "a", kStart + milliseconds(300)), kStart).empty());
  EXPECT_TRUE(limiter.Handle(Arrive(5, "a", late_deadline), kStart).empty());
  const auto actions = limiter.Handle(Arrive(6, "a", late_deadline), kStart);
  ASSERT_EQ(RefusalKind(actions), ErrorKind::kOverloaded);
  EXPECT_EQ(std::get<LimiterRefuse>(actions.front()).error.retry_after, milliseconds(300));
  // The queue of another account is not full.
  EXPECT_TRUE(limiter.Handle(Arrive(7, "b", late_deadline), kStart).empty());
  // A request whose deadline passes in the queue is refused by the tick.
  EXPECT_EQ(RefusalKind(limiter.Handle(LimiterTick{}, kStart + milliseconds(301))),
            ErrorKind::kDeadlineUnmeetable);
  EXPECT_EQ(limiter.Queued(), 3U);
}

// Guards against ignoring the priorities of an account's queued requests.
TEST(AccountLimiterTest, HigherPriorityOfAnAccountIsServedFirst) {
  AccountLimiter limiter{AccountLimiterOptions{.slots = 1}};
  const Instant late_deadline = kStart + seconds(10);
  limiter.Handle(Arrive(1, "a", late_deadline), kStart);
  limiter.Handle(Arrive(2, "a", late_deadline, 0), kStart);
  limiter.Handle(Arrive(3, "a", late_deadline, 5), kStart);
  limiter.Handle(Arrive(4, "a", late_deadline, 5), kStart);
  for (const std::uint64_t expected : {3, 4, 2}) {
    static std::uint64_t running = 1;
    const auto actions = limiter.Handle(LimiterRequestEnded{.id = running}, kStart);
    ASSERT_TRUE(IsAdmitted(actions));
    EXPECT_EQ(std::get<LimiterAdmit>(actions.front()).id, expected);
    running = expected;
  }
}

// Guards against leaked slots or queue places, requests that are answered twice, and account state
// that is never removed.
RC_GTEST_PROP(AccountLimiterTest, EveryRequestIsAnsweredOnceWithoutLeaks, ()) {
  AccountLimiter limiter{AccountLimiterOptions{.slots = 3, .max_queued = 4}};
  limiter.Handle(LimitsChanged({Limit("*", 0, 0, 1), Limit("a", 50, 6, 0.1), Limit("b", 0, 3, 9)}),
                 kStart);
  Instant now = kStart;
  std::set<std::uint64_t> open;
  std::set<std::uint64_t> running;
  std::uint64_t last_id = 0;
  const auto apply = [&](const std::vector<LimiterAction>& actions) {
    for (const LimiterAction& action : actions) {
      if (const auto* admit = std::get_if<LimiterAdmit>(&action)) {
        RC_ASSERT(open.contains(admit->id) && running.insert(admit->id).second);
      } else {
        const std::uint64_t id = std::get<LimiterRefuse>(action).id;
        RC_ASSERT(open.erase(id) == 1U && !running.contains(id));
      }
    }
    RC_ASSERT(running.size() == limiter.Running() && running.size() <= 3U);
    RC_ASSERT(open.size() == limiter.Running() + limiter.Queued());
    // Work-conserving: no request is queued while a slot is free.
    RC_ASSERT(limiter.Queued() == 0U || running.size() == 3U);
  };
  const auto end = [&](std::uint64_t id) {
    open.erase(id);
    running.erase(id);
    apply(limiter.Handle(LimiterRequestEnded{.id = id}, now));
  };
  for (const std::uint8_t step :
       *rc::gen::resize(300, rc::gen::arbitrary<std::vector<std::uint8_t>>())) {
    now += milliseconds(step % 7);
    if (step % 3 == 0 && !open.empty()) {
      end(*std::next(open.begin(), step % static_cast<int>(open.size())));
    } else if (step % 17 == 0) {
      apply(limiter.Handle(LimiterTick{}, now));
    } else {
      open.insert(++last_id);
      const std::string account(1, static_cast<char>('a' + step % 4));
      apply(limiter.Handle(Arrive(last_id, account, now + milliseconds(step * 8), step % 2), now));
    }
  }
  while (!open.empty()) end(*open.begin());
  limiter.Handle(LimiterTick{}, now + seconds(10));
  RC_ASSERT(limiter.Accounts() == 0U);
}

}  // namespace
}  // namespace savory
