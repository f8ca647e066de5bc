// What upstreams said of themselves in answers, in virtual time.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "relay/dispatcher.h"

namespace savory {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Upstreams "a", "b", ... of one pool, seen by one entry.
struct Bench {
  Random random{20261205};
  Instant now = Instant(std::chrono::hours(1));
  AttemptNumber next_attempt = 1;
  Dispatcher dispatcher{{.data_centre = "dc", .entry = "entry-0"}, random};

  static Upstream Listed(const std::string& id, std::int64_t started = 1,
                         const std::string& address = "") {
    return {.id = id,
            .pool = "ledger",
            .address = address.empty() ? id + ":80" : address,
            .data_centre = "dc",
            .slots = 1000,
            .started_unix_ms = started};
  }

  DispatchRequest Request() {
    return {.attempt = this->next_attempt++,
            .pool = "ledger",
            .arrived = this->now,
            .target = milliseconds(400),
            .deadline = this->now + seconds(6),
            .may_probe = true};
  }

  DispatchVerdict Submit(DispatchRequest request) {
    return this->dispatcher.Submit(std::move(request), this->now);
  }

  // Returns the id of the upstream that a request is sent to, "wait" or "refuse".
  std::string Send(bool rerun = false) {
    DispatchRequest request = this->Request();
    request.rerun = rerun;
    const DispatchVerdict verdict = this->Submit(std::move(request));
    if (const auto* sent = std::get_if<SendTo>(&verdict.decision)) return sent->upstream;
    return std::holds_alternative<KeepWaiting>(verdict.decision) ? "wait" : "refuse";
  }

  std::set<std::string> SendMany(bool rerun = false) {
    std::set<std::string> results;
    for (int i = 0; i < 100; ++i) results.insert(this->Send(rerun));
    return results;
  }
};

using Results = std::set<std::string>;

class DispatcherNoticesTest : public ::testing::Test, protected Bench {
 protected:
  DispatcherNoticesTest() {
    this->dispatcher.SetUpstream(Listed("a"));
    this->dispatcher.SetUpstream(Listed("b"));
  }
};

// Guards against requests and reruns to an upstream that said that it is leaving, while its record
// still says that it is ready, is read again, or is removed and comes back.
TEST_F(DispatcherNoticesTest, LeavingUpstreamGetsNoRequests) {
  EXPECT_TRUE(this->dispatcher.AddLeaving({.id = "a", .started_unix_ms = 1}, this->now));
  EXPECT_FALSE(this->dispatcher.AddLeaving({.id = "a", .started_unix_ms = 1}, this->now));
  EXPECT_EQ(this->SendMany(), Results{"b"});
  EXPECT_EQ(this->SendMany(true), Results{"b"});
  this->dispatcher.RemoveUpstream("a");
  this->now += seconds(60);
  this->dispatcher.SetUpstream(Listed("a"));
  EXPECT_EQ(this->SendMany(), Results{"b"});
  this->dispatcher.SetUpstream(Listed("a", 0));
  EXPECT_EQ(this->SendMany(), Results{"b"});
  this->dispatcher.RemoveUpstream("b");
  EXPECT_EQ(this->SendMany(true), Results{"wait"});
}

// Guards against an upstream that stays excluded for what an earlier start of it said, or another
// upstream at its address.
TEST_F(DispatcherNoticesTest, LaterStartIsNotLeaving) {
  this->dispatcher.RemoveUpstream("b");
  this->dispatcher.AddLeaving({.id = "a", .started_unix_ms = 1}, this->now);
  this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, seconds(60), this->now);
  this->dispatcher.SetUpstream(Listed("c", 1, "a:80"));
  EXPECT_EQ(this->SendMany(), Results{"c"});
  this->dispatcher.RemoveUpstream("c");
  this->dispatcher.SetUpstream(Listed("a", 2));
  EXPECT_EQ(this->SendMany(), Results{"a"});
  // A late answer of the earlier start.
  this->dispatcher.AddWait({.id = "a", .started_unix_ms = 2}, seconds(1), this->now);
  EXPECT_FALSE(this->dispatcher.AddLeaving({.id = "a", .started_unix_ms = 1}, this->now));
  this->now += seconds(2);
  EXPECT_EQ(this->SendMany(), Results{"a"});
}

// Guards against requests to an upstream before the end of the time that it asked for, also when
// answers that arrive later ask for less, and against an upstream that stays out longer.
TEST_F(DispatcherNoticesTest, WaitingUpstreamGetsNoRequests) {
  EXPECT_TRUE(this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, seconds(2), this->now));
  this->now += milliseconds(10);
  EXPECT_FALSE(this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, seconds(1), this->now));
  this->now += milliseconds(1989);
  EXPECT_EQ(this->SendMany(), Results{"b"});
  EXPECT_EQ(this->SendMany(true), Results{"b"});
  this->now += milliseconds(1);
  EXPECT_TRUE(this->SendMany().contains("a"));
}

// The entry is suspended: guards against an upstream that stays out after its time.
TEST_F(DispatcherNoticesTest, WaitEndsWhileTheEntryIsSuspended) {
  this->dispatcher.RemoveUpstream("b");
  this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, seconds(2), this->now);
  EXPECT_EQ(this->Send(), "refuse");
  this->now += std::chrono::hours(2);
  EXPECT_EQ(this->Send(), "a");
}

// Guards against holding requests although no upstream accepts them in time, and against callers
// that are told to return before the first one does, or all at the same time.
TEST_F(DispatcherNoticesTest, RequestsAreRefusedAtOnceWhenAllUpstreamsWait) {
  this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, milliseconds(1500), this->now);
  this->dispatcher.AddWait({.id = "b", .started_unix_ms = 1}, seconds(30), this->now);
  std::set<std::int64_t> times;
  for (int i = 0; i < 100; ++i) {
    const DispatchVerdict verdict = this->Submit(this->Request());
    const auto* refusal = std::get_if<RefuseRequest>(&verdict.decision);
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->kind, ErrorKind::kOverloaded);
    // Callers return within a third of their six seconds.
    EXPECT_GE(refusal->retry_after, milliseconds(1500));
    EXPECT_LE(refusal->retry_after, seconds(2));
    times.insert(ToMillis(refusal->retry_after));
  }
  EXPECT_GE(times.size(), 50u);
  DispatchRequest patient = this->Request();
  patient.caller_deadline = this->now + seconds(60);
  const DispatchVerdict verdict = this->Submit(std::move(patient));
  EXPECT_LE(std::get<RefuseRequest>(verdict.decision).retry_after, milliseconds(2700));
}

// Guards against refusing requests, or holding them longer than needed, when an upstream accepts
// them again within the time that they may wait anyway.
TEST_F(DispatcherNoticesTest, RequestsAreHeldForAShortWait) {
  this->dispatcher.RemoveUpstream("b");
  this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, milliseconds(30), this->now);
  EXPECT_EQ(this->Send(), "wait");
  this->now += milliseconds(30);
  const auto verdicts = this->dispatcher.Poll(this->now);
  ASSERT_EQ(verdicts.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<SendTo>(verdicts.front().decision));
}

// Requests wait for a full upstream when it asks for a wait.
TEST_F(DispatcherNoticesTest, WaitingRequestsAreRefusedWhenAWaitBegins) {
  this->dispatcher.AddLeaving({.id = "b", .started_unix_ms = 1}, this->now);
  this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, milliseconds(20), this->now);
  EXPECT_EQ(this->Send(), "wait");
  this->dispatcher.AddWait({.id = "a", .started_unix_ms = 1}, seconds(5), this->now);
  const auto verdicts = this->dispatcher.Poll(this->now);
  ASSERT_EQ(verdicts.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<RefuseRequest>(verdicts.front().decision));
}

// Guards against waiting requests that take a slot which becomes free at an upstream that has said
// in the meantime that it is leaving.
TEST_F(DispatcherNoticesTest, WaitingRequestsAreNotSentToALeavingUpstream) {
  std::map<std::string, AttemptNumber> running;
  for (const char* id : {"a", "b"}) {
    Upstream small = Listed(id);
    small.slots = 1;
    this->dispatcher.SetUpstream(small);
  }
  std::string sent_to = this->Send();
  while (sent_to != "wait") {
    running[sent_to] = this->next_attempt - 1;
    sent_to = this->Send();
  }
  ASSERT_EQ(running.size(), 2u);
  this->dispatcher.AddLeaving({.id = "a", .started_unix_ms = 1}, this->now);
  this->dispatcher.OnEnded(running["a"], AttemptResult::kServed, this->now);
  EXPECT_TRUE(this->dispatcher.Poll(this->now).empty());
  this->dispatcher.OnEnded(running["b"], AttemptResult::kServed, this->now);
  const auto verdicts = this->dispatcher.Poll(this->now);
  ASSERT_EQ(verdicts.size(), 1u);
  EXPECT_EQ(std::get<SendTo>(verdicts.front().decision).upstream, "b");
}

// ---- random schedules ----

struct Said {
  bool leaving = false;
  Instant wait_end = {};
};

// Guards against crashes that count for no request as the later start is listed first, and against
// taking the end of an upstream that left for a crash.
TEST_F(DispatcherNoticesTest, LaterStartTellsThatAStayingUpstreamEnded) {
  const auto was_replaced = [this](std::string_view id, std::int64_t started) {
    return this->dispatcher.WasReplaced({.id = id, .started_unix_ms = started}, this->now);
  };
  this->dispatcher.SetUpstream(Listed("a", 2));
  EXPECT_TRUE(was_replaced("a", 1));
  EXPECT_FALSE(was_replaced("a", 2));

  // Another id at the address.
  this->dispatcher.NoteLaterStart("b", 2);
  this->dispatcher.RemoveUpstream("b");
  EXPECT_TRUE(was_replaced("b", 1));

  Upstream leaving = Listed("a", 2);
  leaving.draining = true;
  this->dispatcher.SetUpstream(leaving);
  this->dispatcher.SetUpstream(Listed("a", 3));
  EXPECT_FALSE(was_replaced("a", 2));

  this->dispatcher.AddLeaving({.id = "a", .started_unix_ms = 3}, this->now);
  this->dispatcher.SetUpstream(Listed("a", 4));
  EXPECT_FALSE(was_replaced("a", 3));

  // Its record was removed before, or says nothing of its start.
  this->dispatcher.RemoveUpstream("a");
  this->dispatcher.SetUpstream(Listed("a", 5));
  EXPECT_FALSE(was_replaced("a", 4));
  this->dispatcher.SetUpstream(Listed("c", 0));
  this->dispatcher.SetUpstream(Listed("c", 1));
  EXPECT_FALSE(was_replaced("c", 0));
}

// Real upstreams, what their starts said, and the records that the entry reads, which may be older.
class World : private Bench {
 public:
  World() {
    for (const char* id : {"a", "b", "c"}) this->Restart(id);
  }

  void Step(std::uint32_t number) {
    const std::uint32_t argument = number / 16;
    const std::string id(1, static_cast<char>('a' + argument % 3));
    switch (number % 16) {
      case 0:
        return this->Restart(id);
      case 1:  // an older reading of the store
        return this->Read(id, std::max<std::int64_t>(1, this->living[id] - 1));
      case 2:
        return this->Read(id, this->living[id]);
      case 3:
        this->listed.erase(id);
        return this->dispatcher.RemoveUpstream(id);
      case 4:  // the entry is suspended
        this->now += milliseconds(argument % 20'000);
        return;
      case 5:
      case 6:
      case 7:
        return this->AnswerOne(argument);
      default:
        this->now += milliseconds(argument % 40);
        return this->SendOne(argument);
    }
  }

  // The upstreams that the dispatcher uses are those whose newest notice does not forbid it.
  void Check() const {
    const auto expected = std::count_if(
        this->listed.begin(), this->listed.end(),
        [this](const auto& row) { return !this->IsForbidden(row.first, row.second); });
    RC_ASSERT(this->dispatcher.Usable("ledger", this->now) == static_cast<std::size_t>(expected));
  }

 private:
  struct InFlight {
    AttemptNumber attempt = 0;
    std::string id;
    std::int64_t started = 0;
  };

  // All upstreams use the same address in turn.
  void Read(const std::string& id, std::int64_t started) {
    this->dispatcher.SetUpstream(Listed(id, started, "shared:80"));
    this->listed[id] = started;
  }

  void Restart(const std::string& id) {
    ++this->living[id];
    this->Read(id, this->living[id]);
  }

  bool IsForbidden(const std::string& id, std::int64_t started) const {
    const auto notice = this->said.find(id);
    if (notice == this->said.end() || started > notice->second.rbegin()->first) return false;
    const Said& newest = notice->second.rbegin()->second;
    return newest.leaving || this->now < newest.wait_end;
  }

  void SendOne(std::uint32_t argument) {
    DispatchRequest request = this->Request();
    request.rerun = argument % 2 == 1;
    request.target = {};
    const DispatchVerdict verdict = this->Submit(std::move(request));
    const auto* sent = std::get_if<SendTo>(&verdict.decision);
    if (sent == nullptr) return this->dispatcher.Withdraw(verdict.attempt);
    // The two rules: the request reaches the living start.
    RC_ASSERT(!this->IsForbidden(sent->upstream, this->living[sent->upstream]));
    this->in_flight.push_back(
        {.attempt = verdict.attempt, .id = sent->upstream, .started = sent->started_unix_ms});
  }

  // The answer may be a late one of a start that has ended.
  void AnswerOne(std::uint32_t argument) {
    if (this->in_flight.empty()) return;
    const auto chosen =
        this->in_flight.begin() + static_cast<std::ptrdiff_t>(argument % this->in_flight.size());
    const UpstreamStart start{.id = chosen->id, .started_unix_ms = chosen->started};
    Said& notice = this->said[chosen->id][chosen->started];
    if (argument % 5 == 0) {
      notice.leaving = true;
      this->dispatcher.AddLeaving(start, this->now);
    } else {
      const Duration wait = milliseconds(argument % 3000 + 1);
      notice.wait_end = std::max(notice.wait_end, this->now + wait);
      this->dispatcher.AddWait(start, wait, this->now);
    }
    this->dispatcher.OnEnded(chosen->attempt, AttemptResult::kRefused, this->now);
    this->in_flight.erase(chosen);
  }

  std::map<std::string, std::int64_t> living = {};  // id -> start
  std::map<std::string, std::int64_t> listed = {};  // id -> start in the record that was read last
  std::map<std::string, std::map<std::int64_t, Said>> said = {};  // id -> start -> notices
  std::vector<InFlight> in_flight = {};
};

// Guards against a request that reaches a start which said that it is leaving or within a wait that
// it asked for, and against upstreams that are excluded without need.
RC_GTEST_PROP(DispatcherNoticesRandomTest, RequestsRespectWhatUpstreamsSaid, ()) {
  // Together with the number of runs in CMakeLists.txt: ten thousand schedules.
  constexpr int schedules = 50;
  for (int i = 0; i < schedules; ++i) {
    World world;
    for (const std::uint32_t step : *rc::gen::container<std::vector<std::uint32_t>>(
             rc::gen::inRange<std::uint32_t>(0, 1u << 20))) {
      world.Step(step);
      world.Check();
    }
  }
}

}  // namespace
}  // namespace savory
