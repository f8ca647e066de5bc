#include "tables/table_edit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <sstream>

#include "base/golden_test_util.h"
#include "tables/table_check.h"
#include "tables/table_keys.h"
#include "tables/table_merge.h"

namespace savory {
namespace {

// Outcome of one call to FakeKv.
enum class Fault {
  kNone,
  kRefused,    // an error before the call took effect
  kReplyLost,  // the call took effect, but its reply did not arrive
  kDelayed,    // the caller gets no reply; a write takes effect later
};

// In-memory key-value service with injected faults.
class FakeKv {
 public:
  using Read = Result<std::optional<KvValue>>;
  using Swap = Result<KvSwap>;

  Read ReadKey(const std::string& key, Fault fault) {
    if (fault != Fault::kNone) return Error{.kind = ErrorKind::kTimeout, .detail = "no answer"};
    const auto found = this->values.find(key);
    if (found == this->values.end()) return std::optional<KvValue>();
    return std::optional(found->second);
  }

  Swap Write(const std::string& key, const std::string& bytes, std::uint64_t expected,
             Fault fault) {
    if (fault == Fault::kRefused) return Error{.kind = ErrorKind::kUnavailable, .detail = "503"};
    if (fault == Fault::kDelayed) {
      this->delayed.push_back([this, key, bytes, expected] { this->Apply(key, bytes, expected); });
    }
    Swap swap = fault == Fault::kDelayed ? Swap(KvSwap{}) : this->Apply(key, bytes, expected);
    if (fault == Fault::kNone) return swap;
    return Error{.kind = ErrorKind::kWriteOutcomeUnknown, .detail = "no answer"};
  }

  KvSwap Apply(const std::string& key, const std::string& bytes, std::uint64_t expected) {
    const auto found = this->values.find(key);
    const std::uint64_t version = found == this->values.end() ? 0 : found->second.version;
    if (version != expected) return {.written = false, .version = version};
    this->values[key] = {.bytes = bytes, .version = version + 1};
    return {.written = true, .version = version + 1};
  }

  void ApplyDelayed() {
    if (this->delayed.empty()) return;
    this->delayed.front()();
    this->delayed.erase(this->delayed.begin());
  }

  wire::Tables Tables(const std::string& key) const {
    wire::Tables tables;
    const auto found = this->values.find(key);
    if (found != this->values.end()) tables.ParseFromString(found->second.bytes);
    return tables;
  }

 private:
  std::map<std::string, KvValue> values;
  std::vector<std::function<void()>> delayed;
};

// Runs one operator's edit step by step, each step under a chosen fault.
class Session {
 public:
  Session(FakeKv& kv, Random& random, TableEditOptions options, std::ostream* log = nullptr)
      : kv(kv), name(options.edit_id), log(log), edit(std::move(options), random) {
    this->HandleEvent(TableEdit::Start{});
  }

  bool IsDone() const { return std::holds_alternative<TableEdit::Finish>(this->action); }
  const Result<EditOutcome>& Outcome() const {
    return std::get<TableEdit::Finish>(this->action).outcome;
  }

  // Performs the pending action under `fault`.
  void Step(Fault fault = Fault::kNone) {
    if (this->IsDone()) return;
    const auto run = [this, fault](const auto& typed) { return this->Run(typed, fault); };
    this->HandleEvent(std::visit(run, this->action));
  }
  void Finish() {
    while (!this->IsDone()) this->Step();
  }
  // Revision that the operator's change is based on.
  std::uint64_t BaseRevision() const { return this->base.value_or(0); }

 private:
  TableEdit::Event Run(const TableEdit::ReadTables&, Fault fault) {
    const auto answer = this->kv.ReadKey(std::string(kTablesKey), fault);
    if (answer && !this->base) this->base = this->kv.Tables(std::string(kTablesKey)).revision();
    this->Print(answer ? "read revision " +
                             std::to_string(this->kv.Tables(std::string(kTablesKey)).revision())
                       : "read: no answer");
    return TableEdit::TablesRead{.answer = answer};
  }
  TableEdit::Event Run(const TableEdit::ReadHistory& read, Fault fault) {
    this->Print("read history " + std::to_string(read.revision));
    return TableEdit::HistoryRead{.answer =
                                      this->kv.ReadKey(TablesHistoryKey(read.revision), fault)};
  }
  TableEdit::Event Run(const TableEdit::WriteHistory& write, Fault fault) {
    this->Print("write history " + std::to_string(write.revision));
    return TableEdit::HistoryWritten{
        .answer = this->kv.Write(TablesHistoryKey(write.revision), write.bytes, 0, fault)};
  }
  TableEdit::Event Run(const TableEdit::SwapTables& swap, Fault fault) {
    const auto answer = this->kv.Write(std::string(kTablesKey), swap.bytes, swap.expected, fault);
    const std::string result = !answer                  ? "no answer"
                               : answer.value().written ? "written"
                                                        : "version has moved";
    this->Print("swap at version " + std::to_string(swap.expected) + ": " + result);
    return TableEdit::TablesSwapped{.answer = answer};
  }
  TableEdit::Event Run(const TableEdit::Wait& wait, Fault) {
    this->now += wait.time;
    this->Print("wait");
    return TableEdit::Waited{};
  }
  TableEdit::Event Run(const TableEdit::Finish&, Fault) { return TableEdit::Waited{}; }

  void HandleEvent(const TableEdit::Event& event) {
    this->action = this->edit.Handle(event, this->now);
    if (!this->IsDone()) return;
    const auto& outcome = this->Outcome();
    this->Print(outcome ? (outcome.value().changed ? "accepted " : "unchanged ") +
                              std::to_string(outcome.value().revision) +
                              (outcome.value().merged ? " merged" : "")
                        : Describe(outcome.error()));
  }

  void Print(const std::string& text) {
    if (this->log != nullptr) *this->log << this->name << ": " << text << '\n';
  }

  FakeKv& kv;
  std::string name;
  std::ostream* log;
  Instant now = {};
  std::optional<std::uint64_t> base;
  TableEdit edit;
  TableEdit::Action action;
};

// Edit that sets the version of `pool` and adds the pool if it is missing.
TableEditOptions SetVersion(const std::string& edit_id, const std::string& pool,
                            const std::string& version) {
  TableEditOptions options;
  options.edit_id = edit_id;
  options.author = edit_id.substr(0, edit_id.find('-'));
  options.change = [pool, version](const wire::Tables& base) -> Result<wire::Tables> {
    wire::Tables wanted = base;
    wire::Pool* row = nullptr;
    for (wire::Pool& known : *wanted.mutable_pools()) {
      if (known.name() == pool) row = &known;
    }
    if (row == nullptr) row = wanted.add_pools();
    row->set_name(pool);
    row->set_service(pool);
    row->set_version(version);
    return wanted;
  };
  return options;
}

// Guards against an edit that overwrites another operator's change of the same row, and against a
// conflict that does not name the row.
TEST(TableEditGolden, TwoOperators) {
  FakeKv kv;
  Random random(1);
  std::ostringstream log;
  Session(kv, random, SetVersion("first-1", "llm", "1"), &log).Finish();
  Session anu(kv, random, SetVersion("anu-1", "llm", "2"), &log);
  Session bilal(kv, random, SetVersion("bilal-1", "bookings", "1"), &log);
  Session chandra(kv, random, SetVersion("chandra-1", "llm", "3"), &log);
  for (Session* operator_session : {&anu, &bilal, &chandra}) operator_session->Step();  // reads
  anu.Finish();
  bilal.Finish();
  chandra.Finish();
  TableEditOptions rollback;
  rollback.edit_id = "dev-1";
  rollback.author = "dev";
  rollback.rollback_to = 1;
  Session(kv, random, rollback, &log).Finish();
  log << kv.Tables(std::string(kTablesKey)).ShortDebugString() << '\n';
  ExpectGoldenText("edit_two_operators", log.str());
}

// Guards against reporting an edit as failed when only the reply to its write was lost, and against
// writing such an edit twice.
TEST(TableEditGolden, LostReply) {
  FakeKv kv;
  Random random(1);
  std::ostringstream log;
  Session(kv, random, SetVersion("first-1", "llm", "1"), &log).Finish();
  Session anu(kv, random, SetVersion("anu-1", "llm", "2"), &log);
  anu.Step();                   // read
  anu.Step(Fault::kReplyLost);  // history
  anu.Finish();
  Session bilal(kv, random, SetVersion("bilal-1", "llm", "3"), &log);
  bilal.Step();
  bilal.Step();
  bilal.Step(Fault::kReplyLost);
  Session(kv, random, SetVersion("chandra-1", "bookings", "1"), &log).Finish();
  bilal.Finish();
  Session dev(kv, random, SetVersion("dev-1", "llm", "4"), &log);
  dev.Step();
  dev.Step();
  dev.Step(Fault::kDelayed);
  while (!dev.IsDone()) dev.Step(Fault::kRefused);
  kv.ApplyDelayed();
  log << "revision " << kv.Tables(std::string(kTablesKey)).revision() << '\n';
  ExpectGoldenText("edit_lost_reply", log.str());
}

// One edit in the property test below.
struct EditRun {
  std::string id;
  std::string pool;
  std::unique_ptr<Session> session;
};

// Returns all revisions from 1 to the current one.
std::vector<wire::Tables> Revisions(const FakeKv& kv) {
  const wire::Tables current = kv.Tables(std::string(kTablesKey));
  std::vector<wire::Tables> all;
  for (std::uint64_t i = 1; i < current.revision(); ++i) {
    all.push_back(kv.Tables(TablesHistoryKey(i)));
  }
  if (current.revision() > 0) all.push_back(current);
  return all;
}

void CheckOutcomeMatchesHistory(const EditRun& edit, const std::vector<wire::Tables>& revisions) {
  std::uint64_t found = 0;
  for (const wire::Tables& tables : revisions) {
    if (tables.edit_id() != edit.id) continue;
    RC_ASSERT(found == 0u);  // written once
    found = tables.revision();
  }
  const Result<EditOutcome>& outcome = edit.session->Outcome();
  if (outcome) {
    RC_ASSERT(outcome.value().revision == found);
  } else if (outcome.error().kind != ErrorKind::kWriteOutcomeUnknown) {
    RC_ASSERT(found == 0u);
  }
}

// Checks that no other edit changed the row between the revision that this edit is based on and the
// one it wrote.
void CheckNotOverwritten(const EditRun& edit, const std::vector<EditRun>& edits) {
  if (!edit.session->Outcome()) return;
  for (const EditRun& other : edits) {
    if (&other == &edit || other.pool != edit.pool || !other.session->Outcome()) continue;
    const std::uint64_t revision = other.session->Outcome().value().revision;
    RC_ASSERT(revision <= edit.session->BaseRevision() ||
              revision > edit.session->Outcome().value().revision);
  }
}

// Guards against accepted edits that are lost, written twice or undone by another edit. Calls fail,
// lose their replies and take effect late at random.
RC_GTEST_PROP(TableEditProperty, AcceptedEditsAreNeverLost, ()) {
  FakeKv kv;
  Random random(*rc::gen::inRange(0, 1 << 20));
  std::vector<EditRun> edits;
  const int rounds = *rc::gen::inRange(1, 8);
  for (int round = 0; round < rounds; ++round) {
    std::vector<std::size_t> running;
    for (const std::string author : {"anu", "bilal"}) {
      const std::string id = author + "-" + std::to_string(round);
      const std::string pool = "p" + std::to_string(*rc::gen::inRange(0, 3));
      running.push_back(edits.size());
      edits.push_back({id, pool, std::make_unique<Session>(kv, random, SetVersion(id, pool, id))});
    }
    while (!edits[running[0]].session->IsDone() || !edits[running[1]].session->IsDone()) {
      const std::size_t turn = running[UniformBelow(random, 2)];
      const std::uint64_t draw = UniformBelow(random, 10);
      edits[turn].session->Step(draw < 6 ? Fault::kNone : static_cast<Fault>(draw - 6));
      if (UniformBelow(random, 4) == 0) kv.ApplyDelayed();
    }
  }
  for (int i = 0; i < 100; ++i) kv.ApplyDelayed();
  const std::vector<wire::Tables> revisions = Revisions(kv);
  for (const EditRun& edit : edits) {
    CheckOutcomeMatchesHistory(edit, revisions);
    CheckNotOverwritten(edit, edits);
  }
  wire::Tables before;
  for (const wire::Tables& tables : revisions) {
    RC_ASSERT(tables.revision() == before.revision() + 1);
    const auto differences = DiffTables(before, tables);
    RC_ASSERT(differences.size() == 1u);
    for (const EditRun& edit : edits) {
      if (edit.id == tables.edit_id()) RC_ASSERT(differences[0].row == edit.pool);
    }
    before = tables;
  }
}

}  // namespace
}  // namespace savory
