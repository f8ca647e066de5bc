// Routing of requests while a pool changes to another version of its weights.
#include <gtest/gtest.h>

#include "routing/request_flow.h"

namespace savory {
namespace {

const Digest kOld = Sha256("old weights");
const Digest kNew = Sha256("new weights");

class RolloutRoutingTest : public ::testing::Test {
 protected:
  RolloutRoutingTest() : flow({.vm = "entry", .balancer = {.vm = "entry"}}, this->random) {
    std::vector<Member> members;
    for (const std::string vm : {"a", "b", "c"}) {
      members.push_back({.vm = vm,
                         .peer = vm,
                         .region = "r",
                         .data_centre = "r-1",
                         .service = "chat",
                         .incarnation = 1});
    }
    this->flow.Handle(MembersChanged{members}, this->now);
    this->Pin(kNew);
  }

  void Pin(const Digest& manifest) {
    wire::Tables tables;
    wire::Pool& pool = *tables.add_pools();
    pool.set_name("chat");
    pool.set_service("chat");
    pool.set_model("recell");
    pool.set_manifest(std::string(manifest.View()));
    wire::Route& route = *tables.add_routes();
    route.set_path_prefix("/");
    route.set_pool("chat");
    route.set_idempotent(true);
    route.set_deadline_ms(10'000);
    this->flow.Handle(TablesChanged{tables}, this->now);
  }

  void Report(const std::string& vm, const Digest& serving, bool ready = true) {
    this->flow.Handle(ReportArrived{{.vm = vm,
                                     .incarnation = 1,
                                     .capacity = 8,
                                     .ready = ready,
                                     .loaded_manifest = serving}},
                      this->now);
  }

  std::optional<StartAttempt> Handle(const RequestEvent& event) {
    for (const RequestAction& action : this->flow.Handle(event, this->now)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) return *start;
    }
    return std::nullopt;
  }

  std::optional<StartAttempt> SendRequest(RequestId id) {
    return this->Handle(
        RequestArrived{.id = id, .account = "shop", .method = "POST", .path = "/chat"});
  }

  Random random{5};
  Instant now = Instant(std::chrono::hours(1));
  RequestFlow flow;
};

// Guards against a pool that answers no requests from the edit of its row until the first engine
// has loaded the new version.
TEST_F(RolloutRoutingTest, PreviousVersionServesDuringRollout) {
  this->Report("a", kOld);
  const auto start = this->SendRequest(1);
  ASSERT_TRUE(start);
  EXPECT_EQ(start->agent.manifest, kOld);
}

// Guards against requests to an engine that has not loaded weights.
TEST_F(RolloutRoutingTest, EngineWithoutWeightsGetsNoRequest) {
  this->Report("a", Digest{});
  EXPECT_FALSE(this->SendRequest(1));
}

// Guards against an answer whose parts come from two versions.
TEST_F(RolloutRoutingTest, AnswerResumesOnlyOnTheSameVersion) {
  this->Report("a", kOld);
  const auto start = this->SendRequest(1);
  ASSERT_TRUE(start);
  this->Handle(PartArrived{.attempt = start->attempt, .number = 0, .status = 200});
  this->Report("b", kNew);
  this->Report("c", kOld);
  std::optional<StartAttempt> resumed = this->Handle(
      EndArrived{.attempt = start->attempt, .outcome = wire::ATTEMPT_BROKEN, .parts = 1});
  for (int i = 0; i < 20 && !resumed; ++i) {
    this->now += std::chrono::milliseconds(20);
    resumed = this->Handle(FlowTick{});
  }
  ASSERT_TRUE(resumed);
  EXPECT_EQ(resumed->agent.vm, "c");
  EXPECT_EQ(resumed->resume_from, 1U);
}

// Guards against an answer whose parts come from two versions. If no other engine serves the
// version that an interrupted answer began with, the answer is aborted.
TEST_F(RolloutRoutingTest, AnswerDoesNotResumeOnAnotherVersion) {
  this->Report("a", kOld);
  const auto start = this->SendRequest(1);
  ASSERT_TRUE(start);
  this->Handle(PartArrived{.attempt = start->attempt, .number = 0, .status = 200});
  this->Report("b", kNew);
  const auto actions = this->flow.Handle(
      EndArrived{.attempt = start->attempt, .outcome = wire::ATTEMPT_BROKEN, .parts = 1},
      this->now);
  EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [](const RequestAction& action) {
    return std::holds_alternative<AbortAnswer>(action);
  }));
}

}  // namespace
}  // namespace savory
