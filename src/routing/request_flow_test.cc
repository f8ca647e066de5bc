#include "routing/request_flow.h"

#include <gtest/gtest.h>

#include <sstream>

#include "base/golden_test_util.h"
#include "crashes/prompt_parts.h"

namespace savory {
namespace {

constexpr std::uint64_t kAgentIncarnation = 70;

std::string Text(const AttemptKey& key) { return "attempt " + std::to_string(key.sequence); }

std::string Text(const RequestAction& action) {
  std::ostringstream out;
  const auto kind = [](const std::optional<ErrorKind>& error) {
    return error.has_value() ? std::string(AnswerFor(*error).name) : std::string("answered");
  };
  struct Printer {
    std::ostream& out;
    std::function<std::string(const std::optional<ErrorKind>&)> kind;
    void operator()(const StartAttempt& a) const {
      this->out << "start " << Text(a.attempt) << " of request " << a.request << " at "
                << a.agent.vm << " left " << ToMillis(a.time_left) << " ms resume from "
                << a.resume_from;
    }
    void operator()(const CancelAttempt& a) const {
      this->out << "cancel " << Text(a.attempt) << " at " << a.peer;
    }
    void operator()(const QueryAttempt& a) const {
      this->out << "query " << Text(a.attempt) << " at " << a.peer << " next part " << a.next_part
                << (a.bulk_lane ? " over the other connection" : "");
    }
    void operator()(const DeliverPart& a) const {
      this->out << "deliver part " << a.number << " to request " << a.request;
    }
    void operator()(const CompleteAnswer& a) const {
      this->out << "complete request " << a.request;
    }
    void operator()(const AbortAnswer& a) const { this->out << "break request " << a.request; }
    void operator()(const AnswerWithError& a) const {
      this->out << "answer request " << a.request << " with " << AnswerFor(a.error.kind).name
                << ": " << a.error.detail;
    }
    void operator()(const AnswerFromClaim& a) const {
      this->out << "answer request " << a.request << " as recorded: " << a.status << " " << a.body;
    }
    void operator()(const WriteClaim& a) const {
      this->out << "claim for request " << a.request << " attempt " << a.claim.attempt().sequence()
                << " at " << a.claim.agent_vm();
      if (a.replaced.has_value()) {
        this->out << " in place of attempt " << a.replaced->attempt().sequence();
      }
    }
    void operator()(const FinishClaim& a) const { this->out << "finish claim " << a.nonce; }
    void operator()(const ReleaseClaim& a) const { this->out << "release claim " << a.nonce; }
    void operator()(const MeasureRequest& a) const {
      this->out << "measure request " << a.request << " attempts " << a.attempts << " "
                << this->kind(a.error);
    }
    void operator()(const CrashForward& a) const { this->out << "forward crash to " << a.peer; }
    void operator()(const FlowDrained&) const { this->out << "drained"; }
  };
  std::visit(Printer{.out = out, .kind = kind}, action);
  return out.str();
}

// Runs a RequestFlow on scripted events in virtual time and records a transcript.
class Session {
 public:
  explicit Session(bool engine = false) {
    wire::Tables tables;
    wire::Pool& pool = *tables.add_pools();
    pool.set_name("p");
    pool.set_service("s");
    if (engine) pool.set_model("m");
    this->AddRoute(tables, "/read", true);
    this->AddRoute(tables, "/book", false);
    this->flow.Handle(TablesChanged{.tables = tables}, this->now);
    this->flow.Handle(MembersChanged{.members = {this->Agent("a"), this->Agent("b")}}, this->now);
  }

  void At(std::int64_t millis) { this->now = Instant{} + std::chrono::milliseconds(1000 + millis); }
  void Report(const std::string& vm, bool leaving = false, std::uint64_t incarnation = 0) {
    const AgentReport report = {.vm = vm,
                                .incarnation = incarnation == 0 ? kAgentIncarnation : incarnation,
                                .capacity = 8,
                                .ready = true,
                                .leaving = leaving};
    this->Feed("report of " + vm + (leaving ? ", leaving" : ""), ReportArrived{.report = report});
  }
  void Arrive(RequestId id, const std::string& path, const std::string& key = "") {
    this->Feed("request " + std::to_string(id) + " " + path + (key.empty() ? "" : " key " + key),
               RequestArrived{.id = id,
                              .account = "acct",
                              .method = "POST",
                              .path = path,
                              .idempotency_key = key,
                              .deadline = std::chrono::seconds(20),
                              .fingerprint = Sha256(path)});
  }
  void Part(std::uint64_t attempt, std::uint32_t number, std::uint32_t status = 200) {
    this->Feed("part " + std::to_string(number) + " of attempt " + std::to_string(attempt),
               PartArrived{.attempt = this->Key(attempt), .number = number, .status = status});
  }
  void End(std::uint64_t attempt, wire::AttemptOutcome outcome, std::uint32_t parts,
           const std::string& reason = "") {
    this->Feed(
        "end of attempt " + std::to_string(attempt) + " " + wire::AttemptOutcome_Name(outcome) +
            " " + reason,
        EndArrived{
            .attempt = this->Key(attempt), .outcome = outcome, .parts = parts, .reason = reason});
  }
  void Status(std::uint64_t attempt, wire::AttemptKnowledge knowledge, std::uint32_t parts = 0) {
    this->Feed(
        "status of attempt " + std::to_string(attempt) + " " +
            wire::AttemptKnowledge_Name(knowledge),
        StatusArrived{.attempt = this->Key(attempt), .knowledge = knowledge, .parts = parts});
  }
  void Tick() { this->Feed("tick", FlowTick{}); }
  // Sends a tick every 10 ms up to `until`, and a load report of each agent in `reporting` every
  // 500 ms.
  void TickUntil(std::int64_t until, const std::vector<std::string>& reporting) {
    for (std::int64_t at = ToMillis(this->now - Instant{}) - 1000; at <= until; at += 10) {
      this->At(at);
      for (const std::string& vm : reporting) {
        const AgentReport report = {
            .vm = vm, .incarnation = kAgentIncarnation, .capacity = 8, .ready = true};
        if (at % 500 == 0) this->Feed("", ReportArrived{.report = report});
      }
      this->Feed("", FlowTick{});
    }
  }
  void Feed(const std::string& text, const RequestEvent& event) {
    const std::vector<RequestAction> actions = this->flow.Handle(event, this->now);
    const auto millis = ToMillis(this->now - Instant{}) - 1000;
    if (!text.empty()) this->transcript << "[" << millis << " ms] " << text << "\n";
    for (const RequestAction& action : actions) {
      if (text.empty()) this->transcript << "[" << millis << " ms] timer\n";
      this->transcript << "    " << Text(action) << "\n";
    }
  }
  AttemptKey Key(std::uint64_t sequence) const {
    return {.entry_vm = "e", .entry_incarnation = 1, .sequence = sequence};
  }

  // Compares the transcript with golden/NAME.txt.
  void ExpectGolden(const std::string& name) const {
    ExpectGoldenText(name, this->transcript.str());
  }
  std::string Transcript() const { return this->transcript.str(); }

 private:
  static void AddRoute(wire::Tables& tables, const std::string& prefix, bool idempotent) {
    wire::Route& route = *tables.add_routes();
    route.set_name(prefix);
    route.set_path_prefix(prefix);
    route.set_pool("p");
    route.set_request_class("c");
    route.set_idempotent(idempotent);
  }
  static Member Agent(const std::string& vm) {
    return Member{.vm = vm, .peer = vm, .region = "r", .data_centre = "d", .service = "s"};
  }

  Instant now = Instant{} + std::chrono::milliseconds(1000);
  Random random{7};
  RequestFlow flow{{.vm = "e", .incarnation = 1, .balancer = {.vm = "e"}}, random};
  std::ostringstream transcript;
};

// Guards against parts that are delivered twice, out of order, or after a missing part.
TEST(RequestFlowGolden, AnsweredStream) {
  Session session;
  session.Report("a");
  session.Arrive(1, "/read");
  session.At(5);
  session.Part(1, 0);
  session.Part(1, 1);
  session.Part(1, 1);
  session.Part(1, 3);
  session.Part(1, 2);
  session.Part(1, 3);
  session.At(30);
  session.End(1, wire::ATTEMPT_COMPLETE, 4);
  session.Part(1, 3);
  session.ExpectGolden("answered_stream");
}

// Guards against a retry at the same upstream, and against delivering late parts of the first
// attempt together with those of the second.
TEST(RequestFlowGolden, RetryAndLatePartOfOldAttempt) {
  Session session;
  session.Report("a");
  session.Report("b");
  session.Arrive(1, "/read");
  session.At(8);
  session.End(1, wire::ATTEMPT_BROKEN, 0, "answer-broken");
  session.TickUntil(60, {});
  session.Part(1, 0);
  session.Part(2, 0);
  session.Part(1, 1);
  session.Part(2, 1);
  session.End(1, wire::ATTEMPT_COMPLETE, 2);
  session.End(2, wire::ATTEMPT_COMPLETE, 2);
  session.ExpectGolden("retry_late_part");
}

// Guards against a second run of a request that may have run, and against answering
// "outcome-unknown" for a request whose agent has barred the attempt.
TEST(RequestFlowGolden, SilenceBarred) {
  Session session;
  session.Report("a");
  session.Report("b");
  session.Arrive(1, "/book");
  session.TickUntil(2000, {"a", "b"});
  session.Status(1, wire::KNOWLEDGE_BARRED);
  session.TickUntil(2100, {"a", "b"});
  session.Part(2, 0);
  session.End(2, wire::ATTEMPT_COMPLETE, 1);
  session.ExpectGolden("silence_barred");
}

// Guards against retrying or failing a request that is still running at a silent agent.
TEST(RequestFlowGolden, SilenceRunning) {
  Session session;
  session.Report("a");
  session.Arrive(1, "/book");
  session.TickUntil(2000, {"a"});
  session.Status(1, wire::KNOWLEDGE_RUNNING);
  session.TickUntil(4500, {"a"});
  session.Part(1, 0);
  session.End(1, wire::ATTEMPT_COMPLETE, 1);
  session.ExpectGolden("silence_running");
}

// Guards against losing the answer of a completed attempt whose parts or end message were lost.
TEST(RequestFlowGolden, SilenceRan) {
  Session session;
  session.Report("a");
  session.Arrive(1, "/book");
  session.TickUntil(2000, {"a"});
  session.Part(1, 0);
  session.Part(1, 1);
  session.Status(1, wire::KNOWLEDGE_RAN, 2);
  session.Arrive(2, "/book");
  session.TickUntil(4100, {"a"});
  session.Status(2, wire::KNOWLEDGE_RAN, 2);
  session.TickUntil(4700, {"a"});
  session.Status(2, wire::KNOWLEDGE_RAN, 2);
  session.ExpectGolden("silence_ran");
}

// Guards against answering "not run" if the agent does not know the outcome or does not answer.
TEST(RequestFlowGolden, SilenceUnknown) {
  Session session;
  session.Report("a");
  session.Report("b");
  session.Arrive(1, "/book");
  session.Arrive(2, "/book");
  session.Arrive(3, "/read");
  session.TickUntil(2000, {"a", "b"});
  session.Status(1, wire::KNOWLEDGE_UNKNOWN);
  session.TickUntil(12'100, {"a", "b"});
  session.ExpectGolden("silence_unknown");
}

// Guards against a retry of a claimed attempt without a new claim, and against a repeated request
// that runs at the same time as the first.
TEST(RequestFlowGolden, Claims) {
  Session session;
  session.Report("a");
  session.Report("b");
  session.Arrive(1, "/book", "k");
  session.Feed("claim granted", ClaimSettled{.id = 1, .nonce = "n1"});
  session.End(1, wire::ATTEMPT_NOT_RUN, 0, "draining");
  session.TickUntil(100, {});
  session.Feed("claim granted", ClaimSettled{.id = 1, .nonce = "n2"});
  wire::Claim pending;
  pending.set_nonce("other");
  pending.set_agent_vm("b");
  pending.set_agent_peer("b");
  pending.mutable_attempt()->set_entry_vm("e");
  pending.mutable_attempt()->set_entry_incarnation(1);
  pending.mutable_attempt()->set_sequence(77);
  session.Arrive(2, "/book", "k2");
  session.Feed("claim found", ClaimSettled{.id = 2, .found = pending});
  session.Status(77, wire::KNOWLEDGE_BARRED);
  session.Feed("claim unavailable",
               ClaimSettled{.id = 2, .error = Error{.kind = ErrorKind::kClaimUnavailable}});
  session.Part(2, 0);
  session.End(2, wire::ATTEMPT_COMPLETE, 1);
  session.ExpectGolden("claims");
}

// Guards against sending attempts to a leaving agent, and against a stop of the entry that
// interrupts requests in progress.
TEST(RequestFlowGolden, Drain) {
  Session session;
  session.Report("a");
  session.Arrive(1, "/read");
  session.Report("b");
  session.Report("a", true);
  session.Arrive(2, "/read");
  // Several requests, because a random choice could avoid the leaving agent once.
  for (RequestId id = 4; id <= 7; ++id) session.Arrive(id, "/read");
  for (std::uint64_t attempt = 3; attempt <= 6; ++attempt) {
    session.End(attempt, wire::ATTEMPT_COMPLETE, 0);
  }
  session.Feed("stop", StopAccepting{});
  session.Arrive(3, "/read");
  session.Part(1, 0);
  session.End(1, wire::ATTEMPT_COMPLETE, 1);
  session.Part(2, 0);
  session.End(2, wire::ATTEMPT_COMPLETE, 1);
  session.ExpectGolden("drain");
}

// Guards against a stream that ends as complete although its upstream failed, and against a resumed
// stream that repeats or skips parts.
TEST(RequestFlowGolden, BrokenAndResumedStream) {
  Session plain;
  plain.Report("a");
  plain.Report("b");
  plain.Arrive(1, "/read");
  plain.Part(1, 0);
  plain.Part(1, 1);
  plain.End(1, wire::ATTEMPT_UPSTREAM_CRASHED, 2);
  plain.ExpectGolden("broken_stream");
  Session engine(true);
  engine.Report("a");
  engine.Report("b");
  engine.Arrive(1, "/read");
  engine.Part(1, 0);
  engine.Part(1, 1);
  engine.End(1, wire::ATTEMPT_UPSTREAM_CRASHED, 2);
  engine.TickUntil(60, {});
  engine.Part(2, 2);
  engine.Part(2, 0);
  engine.Part(2, 1);
  engine.Part(2, 2);
  engine.End(2, wire::ATTEMPT_COMPLETE, 3);
  engine.ExpectGolden("resumed_stream");
}

// Guards against sending a request that has crashed two upstreams to a third.
TEST(RequestFlowTest, RefusesAfterTwoCrashes) {
  Session session;
  session.Report("a");
  session.Report("b");
  session.Arrive(1, "/read");
  for (const char* vm : {"a", "b"}) {
    session.Feed("crash", CrashNoticed{.record = {.fingerprint = Sha256("/read"), .upstream = vm}});
  }
  session.End(1, wire::ATTEMPT_UPSTREAM_CRASHED, 0);
  session.Arrive(2, "/read");
  const std::string transcript = session.Transcript();
  EXPECT_NE(transcript.find("answer request 1 with outcome-unknown"), std::string::npos);
  EXPECT_NE(transcript.find("answer request 2 with request-crashes-upstream"), std::string::npos);
}

// Guards against requests that share a part of their prompt, which crashes upstreams, and nothing
// else, and against refusing those that share the other parts.
TEST(RequestFlowTest, RefusesRequestsWithAPartThatCrashesUpstreams) {
  Session session;
  session.Report("a");
  session.Report("b");
  const Digest common = PromptPartDigest("common");
  const Digest bad = PromptPartDigest("bad");
  const auto arrive = [&](RequestId id, const std::string& name, std::vector<Digest> parts) {
    session.Feed("request " + name, RequestArrived{.id = id,
                                                   .account = "acct",
                                                   .method = "POST",
                                                   .path = "/read",
                                                   .deadline = std::chrono::seconds(20),
                                                   .fingerprint = Sha256(name),
                                                   .prompt_parts = std::move(parts)});
  };
  arrive(1, "sound", {common});
  session.Part(1, 0);
  session.End(1, wire::ATTEMPT_COMPLETE, 1);
  for (const char* vm : {"a", "b"}) {
    session.Feed("crash", CrashNoticed{.record = {.fingerprint = Sha256(std::string("of ") + vm),
                                                  .parts = {common, bad},
                                                  .upstream = vm,
                                                  .hops = 1}});
  }
  arrive(2, "guilty", {common, bad});
  arrive(3, "also sound", {common});
  const std::string transcript = session.Transcript();
  EXPECT_NE(transcript.find("answer request 2 with request-crashes-upstream"), std::string::npos);
  EXPECT_EQ(transcript.find("answer request 3"), std::string::npos);
}

// Guards against retries that multiply the load on the remaining upstreams.
TEST(RetryBudgetTest, BoundsRetriesOfEntryAndAccount) {
  RetryBudget budget({.ratio = 0.1, .entry_initial_tokens = 2, .account_initial_tokens = 1});
  EXPECT_TRUE(budget.TakeRetry("a"));
  EXPECT_FALSE(budget.TakeRetry("a"));
  EXPECT_TRUE(budget.TakeRetry("b"));
  EXPECT_FALSE(budget.TakeRetry("c"));
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("a");
    if (budget.TakeRetry("a")) ++retries;
  }
  EXPECT_LE(retries, 100);
  EXPECT_GE(retries, 98);
}

}  // namespace
}  // namespace savory
