// One edit of the tables in the key-value service, as a class without I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/random.h"
#include "base/time.h"
#include "runtime/kv_connection.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct TableEditOptions {
  std::string edit_id;  // unique for each edit
  std::string author;
  std::uint64_t now_unix_ms = 0;
  // Revision that the change was made from; 0: the one that is read first.
  std::uint64_t base_revision = 0;
  // Revision whose content is written again; 0: `change` makes the content.
  std::uint64_t rollback_to = 0;
  // Makes the wanted routes and pools from those of the base revision.
  std::function<Result<wire::Tables>(const wire::Tables& base)> change = {};
  Duration give_up_after = std::chrono::seconds(10);
};

// How an edit ended when it took effect.
struct EditOutcome {
  std::uint64_t revision = 0;  // in which the edit is, or the current one
  bool changed = true;         // false: the tables were as wanted already
  bool merged = false;         // another operator's rows were merged
};

// Writes one change by compare-and-swap. An edit ends as accepted only when the write is known to
// have taken effect; a lost reply is settled by looking for the edit id in `recent_edits`.
class TableEdit {
 public:
  // Events; each answers the action of the same name.
  struct Start {};
  struct TablesRead {
    Result<std::optional<KvValue>> answer;
  };
  struct HistoryRead {
    Result<std::optional<KvValue>> answer;
  };
  struct HistoryWritten {
    Result<KvSwap> answer;
  };
  struct TablesSwapped {
    Result<KvSwap> answer;
  };
  struct Waited {};
  using Event = std::variant<Start, TablesRead, HistoryRead, HistoryWritten, TablesSwapped, Waited>;

  // Actions; exactly one follows each event.
  struct ReadTables {};
  struct ReadHistory {
    std::uint64_t revision = 0;
  };
  // Creates the record unless it exists.
  struct WriteHistory {
    std::uint64_t revision = 0;
    std::string bytes;
  };
  struct SwapTables {
    std::string bytes;
    std::uint64_t expected = 0;  // version
  };
  struct Wait {
    Duration time = {};
  };
  // Errors: kEditConflict, kInvalidTable, kRowNotFound, kNotFound (revision), kMalformed,
  // kUnavailable (certainly not written), kWriteOutcomeUnknown.
  struct Finish {
    Result<EditOutcome> outcome;
  };
  using Action = std::variant<ReadTables, ReadHistory, WriteHistory, SwapTables, Wait, Finish>;

  // `random` must outlive this object.
  TableEdit(TableEditOptions options, Random& random);
  ~TableEdit();

  Action Handle(const Event& event, Instant now);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
