#include "gate/upstream_gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "base/golden_test_util.h"

namespace savory {
namespace {

constexpr std::uint64_t kIncarnation = 70;

struct Printer {
  std::ostream& out;

  static std::string Text(const AttemptKey& key) {
    return "attempt " + std::to_string(key.sequence);
  }
  void operator()(const CallUpstream& a) const {
    this->out << "call " << Text(a.id) << " priority " << a.priority << " resume from "
              << a.resume_from;
  }
  void operator()(const CancelCall& a) const { this->out << "cancel call of " << Text(a.id); }
  void operator()(const SendPart& a) const {
    this->out << "send part " << a.number << " of " << Text(a.id);
  }
  void operator()(const SendEnd& a) const {
    this->out << "send end of " << Text(a.id) << " " << wire::AttemptOutcome_Name(a.outcome) << " "
              << a.parts << " parts";
    if (a.outcome != wire::ATTEMPT_COMPLETE) this->out << " " << AnswerFor(a.reason).name;
  }
  void operator()(const SendStatus& a) const {
    this->out << "send status of " << Text(a.id) << " " << wire::AttemptKnowledge_Name(a.knowledge)
              << " " << a.parts << " parts";
  }
  void operator()(const DropRequest& a) const { this->out << "drop request of " << Text(a.id); }
  void operator()(const DropParts& a) const {
    this->out << "drop parts of " << Text(a.id) << " before " << a.before;
  }
  void operator()(const ProbeUpstream&) const { this->out << "probe upstream"; }
  void operator()(const NotifyCrash& a) const {
    this->out << "notify crash of upstream incarnation " << a.upstream_incarnation;
  }
  void operator()(const ReportLoad&) const { this->out << "report load"; }
  void operator()(const GateDrained&) const { this->out << "drained"; }
};

class Session {
 public:
  explicit Session(UpstreamGateOptions options) : gate(options) {}

  void At(std::int64_t millis) { this->now = Instant{} + std::chrono::milliseconds(millis); }
  void Start(std::uint64_t sequence, int priority = 0, std::int64_t left_ms = 10'000,
             const Digest& manifest = {}) {
    this->Feed("start " + std::to_string(sequence),
               StartReceived{.id = Key(sequence),
                             .agent_incarnation = kIncarnation,
                             .manifest = manifest,
                             .time_left = std::chrono::milliseconds(left_ms),
                             .priority = priority,
                             .idempotent = true});
  }
  void Cancel(std::uint64_t sequence, std::uint64_t incarnation = kIncarnation) {
    this->Feed("cancel " + std::to_string(sequence),
               CancelReceived{.id = Key(sequence), .agent_incarnation = incarnation});
  }
  void Query(std::uint64_t sequence, std::uint32_t next_part = 0,
             std::uint64_t incarnation = kIncarnation) {
    this->Feed("query " + std::to_string(sequence) + " next part " + std::to_string(next_part),
               QueryReceived{
                   .id = Key(sequence), .agent_incarnation = incarnation, .next_part = next_part});
  }
  void Head(std::uint64_t sequence, const Digest& weights = {}) {
    this->Feed("head " + std::to_string(sequence),
               HeadReceived{.id = Key(sequence), .weights = weights});
  }
  void Body(std::uint64_t sequence, std::size_t bytes = 100) {
    this->Feed("body " + std::to_string(sequence),
               BodyReceived{.id = Key(sequence), .bytes = bytes});
  }
  void End(std::uint64_t sequence, CallResult result) {
    static constexpr std::array kNames = {"complete", "not sent", "broken", "cancelled"};
    this->Feed("call of " + std::to_string(sequence) + " ended " +
                   kNames[static_cast<std::size_t>(result)],
               CallEnded{.id = Key(sequence), .result = result});
  }
  void Feed(const std::string& text, const GateEvent& event) {
    this->transcript << "[" << ToMillis(this->now - Instant{}) << " ms] " << text << "\n";
    for (const GateAction& action : this->gate.Handle(event, this->now)) {
      this->transcript << "    ";
      std::visit(Printer{.out = this->transcript}, action);
      this->transcript << "\n";
    }
  }
  static AttemptKey Key(std::uint64_t sequence) {
    return {.entry_vm = "e", .entry_incarnation = 1, .sequence = sequence};
  }

  void ExpectGolden(const std::string& name) const {
    ExpectGoldenText(name, this->transcript.str());
  }

 private:
  Instant now = {};
  UpstreamGate gate;
  std::ostringstream transcript;
};

UpstreamGateOptions PlainService() {
  return {.incarnation = kIncarnation, .engine = false, .max_running = 2, .max_queued = 2};
}

// Guards against a drain that interrupts attempts or accepts new ones.
TEST(UpstreamGateGolden, Drain) {
  Session session(PlainService());
  for (std::uint64_t i = 1; i <= 3; ++i) session.Start(i);
  session.Feed("drain", DrainRequested{});
  session.Start(4);
  session.Head(1);
  session.End(1, CallResult::kComplete);
  session.Head(2);
  session.End(2, CallResult::kComplete);
  session.Head(3);
  session.End(3, CallResult::kComplete);
  session.ExpectGolden("drain");
}

// Guards against running an attempt after a query or cancel was answered with "barred" or "not
// run", and against a definite answer about attempts of another incarnation or with an expired
// record.
TEST(UpstreamGateGolden, BarredAndUnknown) {
  Session session(PlainService());
  session.Query(1);
  session.Start(1);
  session.Cancel(2);
  session.Start(2);
  session.Query(3, 0, kIncarnation - 1);
  session.Cancel(6, kIncarnation - 1);
  session.Start(4);
  session.Start(4);
  session.Head(4);
  session.End(4, CallResult::kComplete);
  session.At(601'000);
  session.Feed("tick", GateTick{});
  session.Query(4);
  session.Start(4);
  session.Query(5);
  session.ExpectGolden("barred_and_unknown");
}

// Guards against losing a stored result because its messages were lost.
TEST(UpstreamGateGolden, ResultFetchedByQuery) {
  UpstreamGateOptions options = PlainService();
  options.max_result_bytes = 250;
  Session session(options);
  session.Start(1);
  session.Query(1);
  session.Head(1);
  session.Body(1);
  session.Query(1, 1);
  session.Body(1);
  session.End(1, CallResult::kComplete);
  session.Query(1, 1);
  session.Start(2);
  session.Head(2);
  for (int i = 0; i < 3; ++i) session.Body(2);
  session.End(2, CallResult::kComplete);
  session.Query(2, 0);
  session.At(61'000);
  session.Feed("tick", GateTick{});
  session.Query(1, 1);
  session.ExpectGolden("result_fetched");
}

// Guards against treating a broken connection as a crash, not reporting a crash, and calling an
// upstream that is unreachable.
TEST(UpstreamGateGolden, Crash) {
  Session session(PlainService());
  session.Start(1);
  session.End(1, CallResult::kBroken);
  session.Feed("upstream reachable", UpstreamProbed{.reachable = true});
  session.Start(2);
  session.Start(3);
  session.Start(4);
  session.End(2, CallResult::kBroken);
  session.Feed("upstream away", UpstreamProbed{.reachable = false});
  session.Start(5);
  session.End(3, CallResult::kBroken);
  session.Feed("upstream away", UpstreamProbed{.reachable = false});
  session.At(200);
  session.Feed("tick", GateTick{});
  session.Feed("upstream reachable", UpstreamProbed{.reachable = true});
  session.Start(6);
  session.End(6, CallResult::kNotSent);
  session.ExpectGolden("crash");
}

// Guards against an attempt that runs on other weights than it requires, and against an engine
// restart that is not detected.
TEST(UpstreamGateGolden, EngineVersion) {
  const Digest first = Sha256("first");
  const Digest second = Sha256("second");
  Session session({.incarnation = kIncarnation, .max_running = 1, .max_queued = 2});
  session.Start(1, 0, 10'000, first);
  session.Feed("ready with first", ReadinessSet{.serving = first, .ready = true});
  session.Feed("upstream incarnation 5", UpstreamProbed{.reachable = true, .incarnation = 5});
  session.Start(2, 0, 10'000, first);
  session.Start(3, 0, 10'000, first);
  session.Start(4, 0, 10'000, second);
  session.Feed("ready with second", ReadinessSet{.serving = second, .ready = true});
  session.Head(2, second);
  session.End(2, CallResult::kCancelled);
  session.Start(5, 0, 10'000, second);
  session.End(5, CallResult::kBroken);
  session.Feed("upstream incarnation 6", UpstreamProbed{.reachable = true, .incarnation = 6});
  session.ExpectGolden("engine_version");
}

// Guards against an unbounded queue, a queue that ignores priorities, and attempts that run past
// their deadline.
TEST(UpstreamGateGolden, Queue) {
  Session session(PlainService());
  session.Start(1);
  session.Start(2);
  session.Start(3, 1, 500);
  session.Start(4, 1);
  session.Start(5, 1);
  session.Start(6, 2);
  session.At(600);
  session.Feed("tick", GateTick{});
  session.End(1, CallResult::kComplete);
  session.End(2, CallResult::kComplete);
  session.At(11'000);
  session.Feed("tick", GateTick{});
  session.End(6, CallResult::kCancelled);
  session.ExpectGolden("queue");
}

constexpr Duration kPause = std::chrono::seconds(8);

std::vector<GateAction> StartAfterPause(Duration time_left, Duration after) {
  UpstreamGate gate({.incarnation = kIncarnation, .engine = false});
  Instant now = Instant(std::chrono::hours(1));
  gate.Handle(GateTick{}, now);
  now += kPause;
  gate.Handle(GatePaused{.length = kPause}, now);
  now += after;
  return gate.Handle(
      StartReceived{.id = {.entry_vm = "edge", .entry_incarnation = 1, .sequence = 1},
                    .agent_incarnation = kIncarnation,
                    .time_left = time_left},
      now);
}

bool Calls(const std::vector<GateAction>& actions) {
  return std::any_of(actions.begin(), actions.end(), [](const GateAction& action) {
    return std::holds_alternative<CallUpstream>(action);
  });
}

// Guards against a request that runs after its caller has left: a start that waited while the agent
// was paused has less time left than it says.
TEST(UpstreamGateTest, StartReadAfterAPauseMayBeAsOldAsThePause) {
  const std::vector<GateAction> actions = StartAfterPause(std::chrono::seconds(5), {});
  EXPECT_FALSE(Calls(actions));
  const auto end = std::find_if(actions.begin(), actions.end(), [](const GateAction& action) {
    return std::holds_alternative<SendEnd>(action);
  });
  ASSERT_NE(end, actions.end());
  EXPECT_EQ(std::get<SendEnd>(*end).outcome, wire::ATTEMPT_NOT_RUN);
  EXPECT_EQ(std::get<SendEnd>(*end).reason, ErrorKind::kDeadlineUnmeetable);
}

// Guards against refusing requests that have time left, or that came after the pause.
TEST(UpstreamGateTest, PauseShortensOnlyStartsThatMayHaveWaited) {
  EXPECT_TRUE(Calls(StartAfterPause(std::chrono::seconds(9), {})));
  EXPECT_TRUE(Calls(StartAfterPause(std::chrono::seconds(5), std::chrono::seconds(1))));
}

}  // namespace
}  // namespace savory
