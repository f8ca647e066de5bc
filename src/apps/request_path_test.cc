// Property tests of one entry core and two gate cores, connected by a simulated network that loses,
// delays, reorders and duplicates messages.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "gate/upstream_gate.h"
#include "routing/request_flow.h"

namespace savory {
namespace {

constexpr Duration kTimeStep = std::chrono::milliseconds(40);
constexpr int kPartsPerAnswer = 3;

// One random step: selects what happens, and to which of the possible targets.
using Step = std::pair<std::uint8_t, std::uint8_t>;

struct GateMessage {
  std::size_t gate;
  GateEvent event;
};
using EntryMessage = RequestEvent;
using Message = std::variant<GateMessage, EntryMessage>;

// The answer to one caller's request, as the caller sees it.
struct CallerResult {
  std::vector<std::pair<AttemptKey, std::uint32_t>> parts = {};
  bool complete = false;
  bool aborted = false;
  std::optional<ErrorKind> error = {};
  int end_count = 0;
};

struct Call {
  AttemptKey id;
  std::uint32_t produced = 0;  // number of parts, including the head
  std::uint32_t first_part = 0;
};

// The gate core of an agent and the calls at its upstream.
struct Agent {
  std::string name;
  std::uint64_t incarnation = 1;
  std::optional<UpstreamGate> gate = {};
  std::vector<Call> calls = {};
  bool upstream_up = true;
  std::uint64_t upstream_incarnation = 1;
  bool probe_wanted = false;
};

class RequestPathSimulation {
 public:
  explicit RequestPathSimulation(bool engine) : engine(engine) {
    wire::Tables tables;
    wire::Pool& pool = *tables.add_pools();
    pool.set_name("p");
    pool.set_service("s");
    if (engine) pool.set_model("m");
    for (const bool idempotent : {true, false}) {
      wire::Route& route = *tables.add_routes();
      route.set_path_prefix(idempotent ? "/read" : "/book");
      route.set_pool("p");
      route.set_idempotent(idempotent);
    }
    this->HandleAtEntry(TablesChanged{.tables = tables});
    std::vector<Member> members;
    for (const char* name : {"a", "b"}) {
      members.push_back(
          Member{.vm = name, .peer = name, .region = "r", .data_centre = "d", .service = "s"});
      Agent& agent = this->agents.emplace_back(Agent{.name = name});
      this->RestartAgent(agent);
    }
    this->HandleAtEntry(MembersChanged{.members = members});
    this->ReportLoad();
  }

  void ApplyStep(const Step& step) {
    Agent& agent = this->agents[step.second % this->agents.size()];
    switch (step.first % 16) {
      case 0:
      case 1:
        return this->SendRequest(step.second);
      case 2:
        return this->DropMessage(step.second);
      case 3:
        return this->DuplicateStart(step.second);
      case 4:
      case 5:
      case 6:
      case 7:
        return this->DeliverMessage(step.second);
      case 8:
        return this->AdvanceTime(step.second);
      case 9:
      case 10:
      case 11:
        return this->ProducePart(agent, step.second);
      case 12:
        return this->BreakCall(agent, step.second);
      case 13:
        return this->AnswerProbe(agent);
      case 14:
        if (step.second % 8 == 0) return this->RestartAgent(agent);
        if (step.second % 8 == 1) return this->CrashUpstream(agent);
        if (step.second % 8 == 2) return this->HandleAtGate(agent, DrainRequested{});
        return this->ReportLoad();
      default:
        agent.upstream_up = true;
        if (step.second % 4 == 0) this->DisconnectCaller(step.second);
        return this->ReportLoad();
    }
  }

  // Delivers all messages and advances time until every request has ended.
  void RunUntilIdle() {
    for (int round = 0; round < 3000 && this->flow.InProgress() > 0; ++round) {
      while (!this->network.empty()) this->DeliverMessage(0);
      for (Agent& agent : this->agents) {
        agent.upstream_up = true;
        this->AnswerProbe(agent);
        this->ProducePart(agent, 0);
      }
      this->ReportLoad();
      this->AdvanceTime(0);
    }
    while (!this->network.empty()) this->DeliverMessage(0);
  }

  void CheckInvariants() const {
    RC_ASSERT(this->flow.InProgress() == 0);
    for (const auto& [id, result] : this->results) {
      const int runs = this->runs.contains(id) ? this->runs.at(id) : 0;
      if (this->non_idempotent.contains(id)) RC_ASSERT(runs <= 1);
      if (this->disconnected.contains(id)) continue;
      RC_ASSERT(result.end_count == 1);
      if (result.error.has_value()) {
        RC_ASSERT(result.parts.empty());
        const RunOutcome outcome = AnswerFor(*result.error).outcome;
        const bool known_not_run = outcome != RunOutcome::kOutcomeUnknown;
        if (known_not_run) RC_ASSERT(runs == 0);
      }
      this->CheckParts(result);
    }
  }

 private:
  void CheckParts(const CallerResult& result) const {
    for (std::size_t i = 0; i < result.parts.size(); ++i) {
      RC_ASSERT(result.parts[i].second == i);
      if (!this->engine) RC_ASSERT(result.parts[i].first == result.parts[0].first);
    }
    if (result.complete) RC_ASSERT(result.parts.size() == kPartsPerAnswer);
  }

  void SendRequest(std::uint8_t choice) {
    const RequestId id = this->next_request++;
    const bool idempotent = choice % 2 == 0;
    if (!idempotent) this->non_idempotent.insert(id);
    this->results[id];
    this->HandleAtEntry(RequestArrived{.id = id,
                                       .account = "acct",
                                       .method = "POST",
                                       .path = idempotent ? "/read" : "/book",
                                       .deadline = std::chrono::milliseconds(500 + 100 * choice),
                                       .fingerprint = Sha256(std::to_string(id))});
  }

  void DisconnectCaller(std::uint8_t choice) {
    if (this->results.empty()) return;
    const RequestId id = 1 + choice % this->results.size();
    if (this->results.at(id).end_count > 0) return;
    this->disconnected.insert(id);
    this->HandleAtEntry(CallerDisconnected{.id = id});
  }

  void DropMessage(std::uint8_t choice) {
    if (this->network.empty()) return;
    this->network.erase(this->network.begin() +
                        static_cast<std::ptrdiff_t>(choice % this->network.size()));
  }

  void DuplicateStart(std::uint8_t choice) {
    std::vector<Message> starts;
    for (const Message& message : this->network) {
      const auto* gate_message = std::get_if<GateMessage>(&message);
      if (gate_message == nullptr) continue;
      if (std::holds_alternative<StartReceived>(gate_message->event)) starts.push_back(message);
    }
    if (!starts.empty()) this->network.push_back(starts[choice % starts.size()]);
  }

  void DeliverMessage(std::uint8_t choice) {
    if (this->network.empty()) return;
    const auto position =
        this->network.begin() + static_cast<std::ptrdiff_t>(choice % this->network.size());
    const Message message = std::move(*position);
    this->network.erase(position);
    if (const auto* gate_message = std::get_if<GateMessage>(&message)) {
      this->HandleAtGate(this->agents[gate_message->gate], gate_message->event);
    } else {
      this->HandleAtEntry(std::get<EntryMessage>(message));
    }
  }

  void AdvanceTime(std::uint8_t choice) {
    this->now += kTimeStep * (1 + choice % 16);
    this->HandleAtEntry(FlowTick{});
    for (Agent& agent : this->agents) this->HandleAtGate(agent, GateTick{});
  }

  void ReportLoad() {
    for (const Agent& agent : this->agents) {
      this->HandleAtEntry(ReportArrived{.report = {.vm = agent.name,
                                                   .incarnation = agent.incarnation,
                                                   .capacity = 2,
                                                   .ready = agent.gate->IsReady(),
                                                   .leaving = agent.gate->IsLeaving()}});
    }
  }

  // Lets the upstream produce the next part of one call, or its end.
  void ProducePart(Agent& agent, std::uint8_t choice) {
    if (agent.calls.empty() || !agent.upstream_up) return;
    const std::size_t index = choice % agent.calls.size();
    Call& call = agent.calls[index];
    const AttemptKey id = call.id;
    if (call.produced == 0) {
      call.produced = std::max(1u, call.first_part);
      return this->HandleAtGate(agent, HeadReceived{.id = id});
    }
    if (call.produced < kPartsPerAnswer) {
      ++call.produced;
      return this->HandleAtGate(agent, BodyReceived{.id = id, .bytes = 10});
    }
    agent.calls.erase(agent.calls.begin() + static_cast<std::ptrdiff_t>(index));
    this->HandleAtGate(agent, CallEnded{.id = id, .result = CallResult::kComplete});
  }

  void BreakCall(Agent& agent, std::uint8_t choice) {
    if (agent.calls.empty()) return;
    const std::size_t index = choice % agent.calls.size();
    const AttemptKey id = agent.calls[index].id;
    agent.calls.erase(agent.calls.begin() + static_cast<std::ptrdiff_t>(index));
    this->HandleAtGate(agent, CallEnded{.id = id, .result = CallResult::kBroken});
  }

  void CrashUpstream(Agent& agent) {
    agent.upstream_up = false;
    ++agent.upstream_incarnation;
    while (!agent.calls.empty()) this->BreakCall(agent, 0);
  }

  void AnswerProbe(Agent& agent) {
    if (!agent.probe_wanted) return;
    agent.probe_wanted = false;
    this->HandleAtGate(
        agent, UpstreamProbed{.reachable = agent.upstream_up,
                              .incarnation = this->engine ? agent.upstream_incarnation : 0});
  }

  // Restarts the agent's process, which loses its state.
  void RestartAgent(Agent& agent) {
    ++agent.incarnation;
    agent.calls.clear();
    agent.probe_wanted = false;
    agent.gate.emplace(UpstreamGateOptions{.incarnation = agent.incarnation,
                                           .engine = this->engine,
                                           .max_running = 2,
                                           .max_queued = 2});
    this->HandleAtGate(agent, ReadinessSet{.ready = true});
  }

  void HandleAtGate(Agent& agent, const GateEvent& event) {
    const std::vector<GateAction> actions = agent.gate->Handle(event, this->now);
    for (const GateAction& action : actions) this->ApplyGateAction(agent, action);
  }

  void ApplyGateAction(Agent& agent, const GateAction& action) {
    if (const auto* call = std::get_if<CallUpstream>(&action)) return this->StartCall(agent, *call);
    if (const auto* cancel = std::get_if<CancelCall>(&action)) return this->Cancel(agent, *cancel);
    if (std::holds_alternative<ProbeUpstream>(action)) agent.probe_wanted = true;
    if (const auto* part = std::get_if<SendPart>(&action)) {
      this->network.emplace_back(
          EntryMessage(PartArrived{.attempt = part->id, .number = part->number, .status = 200}));
    }
    if (const auto* end = std::get_if<SendEnd>(&action)) {
      this->network.emplace_back(
          EntryMessage(EndArrived{.attempt = end->id,
                                  .outcome = end->outcome,
                                  .parts = end->parts,
                                  .reason = std::string(AnswerFor(end->reason).name)}));
    }
    if (const auto* status = std::get_if<SendStatus>(&action)) {
      this->network.emplace_back(EntryMessage(StatusArrived{.attempt = status->id,
                                                            .knowledge = status->knowledge,
                                                            .outcome = status->outcome,
                                                            .parts = status->parts}));
    }
  }

  void StartCall(Agent& agent, const CallUpstream& call) {
    if (!agent.upstream_up) {
      this->HandleAtGate(agent, CallEnded{.id = call.id, .result = CallResult::kNotSent});
      return;
    }
    ++this->runs[this->request_of.at(call.id)];
    agent.calls.push_back(Call{.id = call.id, .first_part = call.resume_from});
  }

  void Cancel(Agent& agent, const CancelCall& cancel) {
    const auto erased =
        std::erase_if(agent.calls, [&](const Call& call) { return call.id == cancel.id; });
    if (erased > 0) {
      this->HandleAtGate(agent, CallEnded{.id = cancel.id, .result = CallResult::kCancelled});
    }
  }

  void HandleAtEntry(const RequestEvent& event) {
    const std::vector<RequestAction> actions = this->flow.Handle(event, this->now);
    for (const RequestAction& action : actions) this->ApplyEntryAction(event, action);
  }

  void ApplyEntryAction(const RequestEvent& event, const RequestAction& action) {
    if (const auto* start = std::get_if<StartAttempt>(&action)) return this->SendStart(*start);
    if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
      this->network.emplace_back(
          GateMessage{.gate = GateIndex(cancel->peer),
                      .event = CancelReceived{.id = cancel->attempt,
                                              .agent_incarnation = cancel->agent_incarnation}});
    }
    if (const auto* query = std::get_if<QueryAttempt>(&action)) {
      this->network.emplace_back(
          GateMessage{.gate = GateIndex(query->peer),
                      .event = QueryReceived{.id = query->attempt,
                                             .agent_incarnation = query->agent_incarnation,
                                             .next_part = query->next_part}});
    }
    if (const auto* part = std::get_if<DeliverPart>(&action)) {
      const auto& arrived = std::get<PartArrived>(event);
      this->results.at(part->request).parts.emplace_back(arrived.attempt, arrived.number);
    }
    if (const auto* done = std::get_if<CompleteAnswer>(&action)) {
      this->results.at(done->request).complete = true;
      ++this->results.at(done->request).end_count;
    }
    if (const auto* aborted = std::get_if<AbortAnswer>(&action)) {
      this->results.at(aborted->request).aborted = true;
      ++this->results.at(aborted->request).end_count;
    }
    if (const auto* error = std::get_if<AnswerWithError>(&action)) {
      this->results.at(error->request).error = error->error.kind;
      ++this->results.at(error->request).end_count;
    }
  }

  void SendStart(const StartAttempt& start) {
    this->request_of[start.attempt] = start.request;
    this->network.emplace_back(
        GateMessage{.gate = GateIndex(start.agent.peer),
                    .event = StartReceived{.id = start.attempt,
                                           .agent_incarnation = start.agent.incarnation,
                                           .time_left = start.time_left,
                                           .idempotent = start.idempotent,
                                           .fingerprint = start.fingerprint,
                                           .resume_from = start.resume_from}});
  }

  static std::size_t GateIndex(const std::string& peer) { return peer == "a" ? 0 : 1; }

  bool engine;
  Instant now = Instant{} + std::chrono::seconds(1);
  Random random{11};
  RequestFlow flow{{.vm = "e", .incarnation = 1, .balancer = {.vm = "e"}}, random};
  std::vector<Agent> agents;
  std::vector<Message> network;
  std::map<RequestId, CallerResult> results;
  std::map<RequestId, int> runs;
  std::map<AttemptKey, RequestId> request_of;
  std::set<RequestId> non_idempotent;
  std::set<RequestId> disconnected;
  RequestId next_request = 1;
};

void RunSteps(bool engine) {
  const auto steps = *rc::gen::resize(
      400, rc::gen::container<std::vector<Step>>(rc::gen::pair(
               rc::gen::arbitrary<std::uint8_t>(), rc::gen::arbitrary<std::uint8_t>())));
  RequestPathSimulation simulation(engine);
  for (const Step& step : steps) simulation.ApplyStep(step);
  simulation.RunUntilIdle();
  simulation.CheckInvariants();
}

// Guards, at plain services, against a non-idempotent request that runs twice, a request that is
// reported as not run although it ran, and an answer that is incomplete but not aborted.
RC_GTEST_PROP(RequestPathProperty, PlainService, ()) { RunSteps(false); }

// Checks the same at engines, whose streams may be resumed on another upstream.
RC_GTEST_PROP(RequestPathProperty, Engine, ()) { RunSteps(true); }

}  // namespace
}  // namespace savory
