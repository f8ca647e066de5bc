#include "tables/table_edit_runner.h"

#include <chrono>
#include <random>
#include <thread>

#include "base/digest.h"
#include "tables/table_keys.h"

namespace savory {
namespace {

// Performs one action and returns the resulting event.
class ActionRunner {
 public:
  explicit ActionRunner(KvConnection& kv) : kv(kv) {}

  TableEdit::Event operator()(const TableEdit::ReadTables&) const {
    return TableEdit::TablesRead{.answer = this->kv.Read(kTablesKey)};
  }
  TableEdit::Event operator()(const TableEdit::ReadHistory& read) const {
    return TableEdit::HistoryRead{.answer = this->kv.Read(TablesHistoryKey(read.revision))};
  }
  TableEdit::Event operator()(const TableEdit::WriteHistory& write) const {
    return TableEdit::HistoryWritten{
        .answer = this->kv.CompareAndSwap(TablesHistoryKey(write.revision), write.bytes, 0)};
  }
  TableEdit::Event operator()(const TableEdit::SwapTables& swap) const {
    return TableEdit::TablesSwapped{
        .answer = this->kv.CompareAndSwap(kTablesKey, swap.bytes, swap.expected)};
  }
  TableEdit::Event operator()(const TableEdit::Wait& wait) const {
    std::this_thread::sleep_for(wait.time);
    return TableEdit::Waited{};
  }
  // Not called: RunTableEdit() ends at this action.
  TableEdit::Event operator()(const TableEdit::Finish&) const { return TableEdit::Waited{}; }

 private:
  KvConnection& kv;
};

Result<wire::Tables> DecodeTables(const KvValue& value) {
  wire::Tables tables;
  if (tables.ParseFromString(value.bytes)) return tables;
  return Error{.kind = ErrorKind::kMalformed, .detail = "the value is not a valid Tables message"};
}

}  // namespace

Result<EditOutcome> RunTableEdit(KvConnection& kv, TableEditOptions options) {
  Random random{std::random_device{}()};
  options.now_unix_ms =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
  TableEdit edit(std::move(options), random);
  const ActionRunner runner(kv);
  TableEdit::Action action = edit.Handle(TableEdit::Start{}, MonotonicClock::now());
  while (!std::holds_alternative<TableEdit::Finish>(action)) {
    const TableEdit::Event event = std::visit(runner, action);
    action = edit.Handle(event, MonotonicClock::now());
  }
  return std::get<TableEdit::Finish>(action).outcome;
}

std::string MakeEditId() {
  std::random_device device;
  std::string seed;
  for (int i = 0; i < 4; ++i) seed += std::to_string(device()) + "/";
  return Sha256(seed).Hex().substr(0, 24);
}

Result<wire::Tables> ReadCurrentTables(KvConnection& kv) {
  BOOST_OUTCOME_TRY(value, kv.Read(kTablesKey));
  if (!value) return wire::Tables();
  return DecodeTables(*value);
}

Result<wire::Tables> ReadTablesRevision(KvConnection& kv, std::uint64_t revision) {
  BOOST_OUTCOME_TRY(current, ReadCurrentTables(kv));
  if (current.revision() == revision) return current;
  BOOST_OUTCOME_TRY(value, kv.Read(TablesHistoryKey(revision)));
  if (value) return DecodeTables(*value);
  return Error{.kind = ErrorKind::kNotFound,
               .detail = "revision " + std::to_string(revision) + " is not in the history"};
}

}  // namespace savory
