// State machine without I/O for one edit of the tables in the key-value service.
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
  // Revision that the change is based on; 0 selects the current one at the first read.
  std::uint64_t base_revision = 0;
  // Revision whose content is restored; 0 means that `change` computes the content.
  std::uint64_t rollback_to = 0;
  // Computes the wanted routes and pools from those of the base revision.
  std::function<Result<wire::Tables>(const wire::Tables& base)> change = {};
  Duration give_up_after = std::chrono::seconds(10);
};

// Result of a successful edit.
struct EditOutcome {
  std::uint64_t revision = 0;  // that the edit created, or the current one if nothing changed
  bool changed = true;         // false if the tables already had the wanted content
  bool merged = false;         // other edits were accepted since the base revision
};

// Writes one change by compare-and-swap. Succeeds only if the write is known to have taken effect
// or nothing had to be written. After a lost reply it reads the tables again and looks for the edit
// id in `recent_edits`.
class TableEdit {
 public:
  // Events. Each one except Start is the result of the corresponding action.
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

  // Actions. Handle() returns exactly one for each event.
  struct ReadTables {};
  struct ReadHistory {
    std::uint64_t revision = 0;
  };
  // Creates the history record unless it exists.
  struct WriteHistory {
    std::uint64_t revision = 0;
    std::string bytes;
  };
  struct SwapTables {
    std::string bytes;
    std::uint64_t expected = 0;  // version of the key
  };
  struct Wait {
    Duration time = {};
  };
  // Errors: kEditConflict, kInvalidTable, kRowNotFound, kNotFound (revision), kMalformed,
  // kUnavailable (the edit was certainly not written), kWriteOutcomeUnknown.
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
