// Golden test of the complete path: an operator's edit, its propagation to an entry and an agent,
// the copy of the weights, the load order, and a caller's request with its answer. All cores are
// the real ones; the key-value service, the origin and the engine are simulated.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <sstream>

#include "base/golden_test_util.h"
#include "distribution/chunk_spreader.h"
#include "distribution/chunk_store.h"
#include "distribution/load_controller.h"
#include "distribution/manifest.h"
#include "gate/upstream_gate.h"
#include "routing/request_flow.h"
#include "savoryrouter.h"
#include "tables/table_edit.h"
#include "tables/table_replica.h"

namespace savory {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kWeights = "weights of recell-1";
constexpr std::uint32_t kChunkBytes = 8;
constexpr std::uint64_t kAgentIncarnation = 77;
constexpr char kAgentPeer[] = "10.0.0.1:7000";
constexpr char kEntryPeer[] = "10.0.0.9:7000";

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

Member MakeMember(const std::string& vm, const std::string& peer, MemberRole role) {
  return Member{.vm = vm,
                .peer = peer,
                .region = "ernakulam",
                .data_centre = "ernakulam-1",
                .role = role,
                .service = role == MemberRole::kAgent ? "recellmind" : "",
                .incarnation = kAgentIncarnation};
}

class WholeSession {
 public:
  WholeSession()
      : manifest(std::make_shared<const Manifest>(
            Manifest::Build(AsBytes(kWeights), kChunkBytes, "recell-1"))),
        spreader({.vm = "agent-1", .region = "ernakulam", .origin_region = "ernakulam"},
                 this->store, this->random),
        load_controller({.vm = "agent-1"}, this->random),
        gate({.incarnation = kAgentIncarnation}),
        flow({.vm = "entry-1", .incarnation = 5, .balancer = {.vm = "entry-1"}}, this->random) {}

  // The operator adds a pool and a route.
  void RunEdit() {
    TableEdit edit({.edit_id = "edit-1",
                    .author = "asha",
                    .now_unix_ms = 1'000,
                    .change = [this](const wire::Tables&) { return this->WantedTables(); }},
                   this->random);
    TableEdit::Event event = TableEdit::Start{};
    while (this->accepted_revision == 0) {
      const TableEdit::Action action = edit.Handle(event, this->now);
      event = std::visit([this](const auto& typed) { return this->AnswerEdit(typed); }, action);
    }
  }

  // The entry reads the tables from the key-value service. The agent cannot reach the service and
  // pulls them from the entry, because a ping has announced the entry's higher revision.
  void SpreadTables() {
    this->HandleTableEvent("entry", this->entry_tables, TableReplica::Start{});
    this->HandleTableEvent("agent", this->agent_tables, TableReplica::Start{});
    TableReplica::KvTables value{.version = this->kv_version};
    ASSERT_TRUE(value.tables.ParseFromString(this->kv["tables"]));
    this->HandleTableEvent("entry", this->entry_tables,
                           TableReplica::ReadAnswered{std::optional(value)});
    this->HandleTableEvent("agent", this->agent_tables,
                           TableReplica::ReadAnswered{Error{.kind = ErrorKind::kUnavailable}});
    this->HandleTableEvent("agent", this->agent_tables,
                           TableReplica::PeerHasHigherRevision{.peer = kEntryPeer});
    this->HandleTableEvent("entry", this->entry_tables,
                           TableReplica::PullArrived{.peer = kAgentPeer});
    this->HandleTableEvent("agent", this->agent_tables,
                           TableReplica::PushArrived{this->entry_tables.Current()});
  }

  void CopyWeights() {
    const Digest pinned = DigestFromRaw(this->agent_tables.Current().pools(0).manifest());
    ASSERT_EQ(pinned, this->manifest->Id());
    this->HandleLoadEvent("pool row", LoadTargetChanged{.pool = "recellmind", .manifest = pinned});
    this->store.SetWanted(this->manifest);
    this->HandleSpreadEvent("copy wanted", CopyWanted{.manifest = this->manifest});
    this->HandleSpreadEvent("members", PoolMembersChanged{{{"agent-1", kAgentPeer, "ernakulam"}}});
    while (!this->origin_reads.empty()) {
      const std::uint32_t chunk = this->origin_reads.front();
      this->origin_reads.erase(this->origin_reads.begin());
      this->now += milliseconds(5);
      this->HandleSpreadEvent("origin sends chunk " + std::to_string(chunk),
                              OriginChunkRead{this->ReadChunk(chunk)});
    }
  }

  void LoadEngine() {
    this->HandleLoadEvent("engine has nothing", EngineReported{this->now, 1});
    this->HandleLoadEvent("lease granted", LeaseGranted{.call = this->lease_call, .fence = 41});
    this->HandleLoadEvent("engine is idle", LoadTick{.idle = true});
    this->HandleLoadEvent("engine accepts", LoadResponseReceived{LoadResponse::kAccepted});
    this->now += milliseconds(200);
    this->HandleLoadEvent("engine loads", EngineReported{this->now, 1, {}, this->manifest->Id()});
    this->now += milliseconds(200);
    this->HandleLoadEvent("engine serves", EngineReported{this->now, 1, this->manifest->Id()});
    this->HandleGateEvent("engine serves",
                          ReadinessSet{.serving = this->manifest->Id(), .ready = true});
  }

  void PrepareEntry() {
    this->HandleRequestEvent(
        "members", MembersChanged{{MakeMember("agent-1", kAgentPeer, MemberRole::kAgent),
                                   MakeMember("entry-1", kEntryPeer, MemberRole::kEntry)}});
    this->HandleRequestEvent("tables", TablesChanged{this->entry_tables.Current()});
    this->HandleRequestEvent("load report",
                             ReportArrived{{.vm = "agent-1",
                                            .incarnation = kAgentIncarnation,
                                            .capacity = 64,
                                            .ready = this->gate.IsReady(),
                                            .loaded_manifest = this->gate.Serving()}});
  }

  void SendRequest() {
    this->HandleRequestEvent("caller asks", RequestArrived{.id = 1,
                                                           .account = "shop-7",
                                                           .method = "POST",
                                                           .path = "/recell/chat",
                                                           .fingerprint = Sha256("ask")});
    ASSERT_TRUE(this->started);
    this->HandleGateEvent("start arrives", StartReceived{.id = this->started->attempt,
                                                         .reply_to = kEntryPeer,
                                                         .agent_incarnation = kAgentIncarnation,
                                                         .manifest = this->started->agent.manifest,
                                                         .time_left = this->started->time_left,
                                                         .idempotent = true});
    this->now += milliseconds(20);
    const AttemptKey id = this->started->attempt;
    this->HandleGateEvent("engine answers",
                          HeadReceived{.id = id, .weights = this->manifest->Id()});
    this->HandleGateEvent("engine sends a part", BodyReceived{.id = id, .bytes = 6});
    this->HandleGateEvent("engine ends", CallEnded{.id = id, .result = CallResult::kComplete});
  }

  std::string Text() const { return this->text.str(); }

 private:
  Result<wire::Tables> WantedTables() const {
    wire::Tables tables;
    wire::Pool* pool = tables.add_pools();
    pool->set_name("recellmind");
    pool->set_service("recellmind");
    pool->set_model("recell");
    pool->set_version("1");
    pool->set_manifest(std::string(this->manifest->Id().View()));
    pool->set_max_loading(1);
    wire::Route* route = tables.add_routes();
    route->set_name("chat");
    route->set_path_prefix("/recell/");
    route->set_pool("recellmind");
    route->set_request_class("interactive");
    route->set_idempotent(true);
    route->set_deadline_ms(5000);
    return tables;
  }

  void LogEvent(const std::string& what) {
    this->text << ToMillis(this->now - this->begin) << " ms: " << what << '\n';
  }
  void LogAction(const std::string& what) { this->text << "    -> " << what << '\n'; }

  // ---- edit; the simulated key-value service has one version counter for all keys ----

  TableEdit::Event AnswerEdit(const TableEdit::ReadTables&) {
    this->LogEvent("edit reads the tables");
    return TableEdit::TablesRead{this->ReadKey("tables")};
  }
  TableEdit::Event AnswerEdit(const TableEdit::ReadHistory& action) {
    this->LogEvent("edit reads history " + std::to_string(action.revision));
    return TableEdit::HistoryRead{
        this->ReadKey("tables-history/" + std::to_string(action.revision))};
  }
  TableEdit::Event AnswerEdit(const TableEdit::WriteHistory& action) {
    this->LogEvent("edit writes history " + std::to_string(action.revision));
    this->kv["tables-history/" + std::to_string(action.revision)] = action.bytes;
    return TableEdit::HistoryWritten{KvSwap{.written = true, .version = 1}};
  }
  TableEdit::Event AnswerEdit(const TableEdit::SwapTables& action) {
    this->LogEvent("edit swaps the tables, expects version " + std::to_string(action.expected));
    this->kv["tables"] = action.bytes;
    return TableEdit::TablesSwapped{KvSwap{.written = true, .version = ++this->kv_version}};
  }
  TableEdit::Event AnswerEdit(const TableEdit::Wait& action) {
    this->now += action.time;
    return TableEdit::Waited{};
  }
  TableEdit::Event AnswerEdit(const TableEdit::Finish& action) {
    this->accepted_revision = action.outcome ? action.outcome.value().revision : 0;
    EXPECT_TRUE(action.outcome) << Describe(action.outcome.error());
    this->LogEvent("edit accepted as revision " + std::to_string(this->accepted_revision));
    return TableEdit::Waited{};
  }
  Result<std::optional<KvValue>> ReadKey(const std::string& key) {
    const auto found = this->kv.find(key);
    if (found == this->kv.end()) return std::optional<KvValue>();
    return std::optional(KvValue{.bytes = found->second, .version = this->kv_version});
  }

  // ---- pass one event to one core, log its actions and carry them out ----

  void HandleTableEvent(const std::string& who, TableReplica& replica,
                        const TableReplica::Event& event) {
    this->LogEvent(who + " replica, event " + std::to_string(event.index()));
    for (const TableReplica::Action& action : replica.Handle(event, this->now)) {
      std::visit(
          Overloaded{
              [&](const TableReplica::ReadService&) { this->LogAction("read the service"); },
              [&](const TableReplica::WatchService&) { this->LogAction("watch the service"); },
              [&](const TableReplica::SendOffer& offer) {
                this->LogAction("offer to " + offer.peer);
              },
              [&](const TableReplica::SendPull& pull) {
                this->LogAction("pull from " + pull.peer);
              },
              [&](const TableReplica::SendPush& push) { this->LogAction("push to " + push.peer); },
              [&](const TableReplica::Applied&) {
                this->LogAction("revision " + std::to_string(replica.Current().revision()) +
                                " in force");
              }},
          action);
    }
  }

  void HandleSpreadEvent(const std::string& what, const SpreadEvent& event) {
    this->LogEvent("agent copies: " + what);
    for (const SpreadAction& action : this->spreader.Handle(this->now, event)) {
      if (const auto* read = std::get_if<ReadOrigin>(&action)) {
        this->origin_reads.push_back(read->chunk);
        this->LogAction("read chunk " + std::to_string(read->chunk) + " at the origin");
      } else if (std::holds_alternative<CopyComplete>(action)) {
        this->LogAction("copy complete");
        this->HandleLoadEvent("weights are whole", WeightsComplete{this->manifest->Id()});
      } else {
        this->LogAction("spread action " + std::to_string(action.index()));
      }
    }
  }

  void HandleLoadEvent(const std::string& what, const LoadEvent& event) {
    this->LogEvent("agent orders: " + what);
    for (const LoadAction& action : this->load_controller.Handle(this->now, event)) {
      std::visit(
          Overloaded{[&](const AcquireSlot& slot) {
                       this->lease_call = slot.call;
                       this->LogAction("acquire " + slot.lease);
                     },
                     [&](const RenewSlot& slot) { this->LogAction("renew " + slot.lease); },
                     [&](const ReleaseSlot& slot) { this->LogAction("release " + slot.lease); },
                     [&](const StartLoad& load) {
                       EXPECT_EQ(load.manifest, this->manifest->Id());
                       this->LogAction("load order, fence " + std::to_string(load.fence));
                     }},
          action);
    }
  }

  void HandleGateEvent(const std::string& what, const GateEvent& event) {
    this->LogEvent("gate: " + what);
    for (const GateAction& action : this->gate.Handle(event, this->now)) {
      if (std::holds_alternative<CallUpstream>(action)) {
        this->LogAction("call the engine");
      } else if (const auto* part = std::get_if<SendPart>(&action)) {
        this->LogAction("send part " + std::to_string(part->number));
        this->HandleRequestEvent(
            "part arrives",
            PartArrived{.attempt = part->id, .number = part->number, .status = 200});
      } else if (const auto* end = std::get_if<SendEnd>(&action)) {
        this->LogAction("send end: " + wire::AttemptOutcome_Name(end->outcome));
        this->HandleRequestEvent(
            "end arrives",
            EndArrived{.attempt = end->id, .outcome = end->outcome, .parts = end->parts});
      } else {
        this->LogAction("gate action " + std::to_string(action.index()));
      }
    }
  }

  void HandleRequestEvent(const std::string& what, const RequestEvent& event) {
    this->LogEvent("entry: " + what);
    for (const RequestAction& action : this->flow.Handle(event, this->now)) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        this->started = *start;
        this->LogAction("start attempt " + start->attempt.Text() + " at " + start->agent.vm);
      } else if (const auto* part = std::get_if<DeliverPart>(&action)) {
        this->LogAction("deliver part " + std::to_string(part->number));
      } else if (std::holds_alternative<CompleteAnswer>(action)) {
        this->LogAction("answer complete");
      } else if (const auto* measure = std::get_if<MeasureRequest>(&action)) {
        this->LogAction("measured " + measure->account + " " + measure->request_class + ": " +
                        std::to_string(measure->attempts) + " attempt, " +
                        std::to_string(ToMillis(measure->total)) + " ms");
      } else {
        this->LogAction("request action " + std::to_string(action.index()));
      }
    }
  }

  VerifiedChunk ReadChunk(std::uint32_t chunk) const {
    const ChunkRange range = this->manifest->RangeOf(chunk);
    const auto bytes = AsBytes(kWeights.substr(range.offset, range.length));
    return *VerifiedChunk::Verify(
        *this->manifest, chunk,
        std::make_shared<const std::vector<std::byte>>(bytes.begin(), bytes.end()));
  }

  Random random{3};
  const Instant begin = Instant(std::chrono::hours(1));
  Instant now = this->begin;
  std::ostringstream text;
  std::map<std::string, std::string> kv;
  std::uint64_t kv_version = 0;
  std::uint64_t accepted_revision = 0;
  std::shared_ptr<const Manifest> manifest;
  TableReplica entry_tables{"entry-1", {}, this->random};
  TableReplica agent_tables{"agent-1", {}, this->random};
  ChunkStore store{0};
  ChunkSpreader spreader;
  LoadController load_controller;
  std::uint64_t lease_call = 0;
  std::vector<std::uint32_t> origin_reads;
  UpstreamGate gate;
  RequestFlow flow;
  std::optional<StartAttempt> started;
};

// Guards against modules that pass their own tests but do not work together, and against unnoticed
// changes of the behaviour of the complete path: any change shows in the golden file.
TEST(WholeSession, EditSpreadLoadRequestAnswer) {
  WholeSession session;
  session.RunEdit();
  session.SpreadTables();
  session.CopyWeights();
  session.LoadEngine();
  session.PrepareEntry();
  session.SendRequest();
  ExpectGoldenText("whole_session", session.Text());
}

}  // namespace
}  // namespace savory
