// Decides which connections of callers are given up when they hold too much together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "base/time.h"

namespace savory {

// What a connection holds its memory and its descriptor for.
enum class HolderPhase {
  kFresh,       // no byte of a request has arrived yet
  kIdle,        // between two requests
  kUnfinished,  // a request has arrived in part
  kAnswering,   // a whole request is at the handler
  kPipelining,  // as kAnswering, and more input has arrived behind it
  kLastAnswer,  // as kAnswering, and input behind the request was given up
  kStalled,     // as kAnswering, and the caller does not read the answer that has begun
  kUnread,      // the caller has not read an answer that is complete
  kClosing,     // refused or answered; only the peer's close is missing
};

struct InputBudgetOptions {
  std::uint64_t max_bytes = 0;      // of all connections together; 0: no bound
  std::size_t max_connections = 0;  // 0: no bound
};

// Budget of `memory_bytes` and `max_files` of a machine, of which each may be 0 (not known). One
// request of `request_bytes` always fits.
InputBudgetOptions BudgetOfMachine(std::uint64_t memory_bytes, std::size_t max_files,
                                   std::uint64_t request_bytes);

// Keeps what each connection holds. Requests that are with the handler are not given up unless
// their caller stops reading, or sends on without waiting for the answer: room is made by those
// that have not arrived yet, longest in that state first, since a caller that sends its request in
// one go is done long before.
class InputBudget {
 public:
  // Identifies a connection.
  using Id = const void*;

  struct Holder {
    HolderPhase phase = HolderPhase::kFresh;
    std::size_t bytes = 0;
    Instant since = {};  // of the phase
  };

  explicit InputBudget(InputBudgetOptions options);

  void SetOptions(InputBudgetOptions options);
  void Set(Id id, const Holder& holder);
  void Remove(Id id);

  std::uint64_t HeldBytes() const;
  std::size_t Connections() const;
  // Input that can wait in the peer should: half of the bytes are used.
  bool IsScarce() const;
  bool IsOver() const;

  // The connection to give up so that the bytes stay within the budget; nullopt if they do, or if
  // all of them are with the handler. Of `kPipelining`, only the input behind the request.
  std::optional<Id> NextForBytes() const;
  // The connection to give up so that there is room for one more; nullopt if there is room, or if
  // all of them are with the handler.
  std::optional<Id> NextForConnection() const;
  bool IsFull() const;
  HolderPhase PhaseOf(Id id) const;

 private:
  using Rank = int (*)(HolderPhase phase);
  std::optional<Id> Least(Rank rank, std::uint64_t min_bytes) const;

  InputBudgetOptions options;
  std::unordered_map<Id, Holder> holders = {};
  std::uint64_t held_bytes = 0;
};

std::string_view HolderPhaseName(HolderPhase phase);

}  // namespace savory
