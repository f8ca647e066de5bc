#include "runtime/input_budget.h"

#include <algorithm>

namespace savory {
namespace {

// Part of the machine's memory that callers' connections may hold. The rest is for the process
// itself, and for the copies of a request and its answer on the way to the upstream and back.
constexpr std::uint64_t kMemoryParts = 4;
// Descriptors for files, of few ones a part.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kFileParts = 4;
// A request may need a connection to its upstream as well.
constexpr std::size_t kDescriptorsPerCaller = 2;
// A string that grows holds up to twice its bytes.
constexpr std::uint64_t kGrowth = 2;

constexpr int kNever = -1;

int RankForBytes(HolderPhase phase) {
  switch (phase) {
    case HolderPhase::kClosing:
      return 0;
    case HolderPhase::kUnfinished:
      return 1;
    case HolderPhase::kPipelining:
      return 2;
    case HolderPhase::kUnread:
      return 3;
    case HolderPhase::kStalled:
      return 4;
    default:
      return kNever;
  }
}

int RankForConnections(HolderPhase phase) {
  switch (phase) {
    case HolderPhase::kClosing:
      return 0;
    case HolderPhase::kUnfinished:
      return 1;
    case HolderPhase::kFresh:
      return 2;
    case HolderPhase::kUnread:
      return 3;
    case HolderPhase::kIdle:
      return 4;
    case HolderPhase::kStalled:
      return 5;
    case HolderPhase::kLastAnswer:
      return 6;
    case HolderPhase::kPipelining:
      return 7;
    default:
      return kNever;
  }
}

}  // namespace

InputBudgetOptions BudgetOfMachine(std::uint64_t memory_bytes, std::size_t max_files,
                                   std::uint64_t request_bytes) {
  InputBudgetOptions budget;
  if (memory_bytes > 0) {
    budget.max_bytes = std::max(memory_bytes / kMemoryParts, kGrowth * request_bytes);
  }
  if (max_files > 0) {
    const std::size_t files = std::min(kFileDescriptors, max_files / kFileParts);
    budget.max_connections = std::max<std::size_t>(1, (max_files - files) / kDescriptorsPerCaller);
  }
  return budget;
}

InputBudget::InputBudget(InputBudgetOptions options) : options(options) {}

void InputBudget::SetOptions(InputBudgetOptions options) { this->options = options; }

void InputBudget::Set(Id id, const Holder& holder) {
  Holder& kept = this->holders[id];
  this->held_bytes += holder.bytes - kept.bytes;
  kept = holder;
}

void InputBudget::Remove(Id id) {
  const auto found = this->holders.find(id);
  if (found == this->holders.end()) return;
  this->held_bytes -= found->second.bytes;
  this->holders.erase(found);
}

std::uint64_t InputBudget::HeldBytes() const { return this->held_bytes; }
std::size_t InputBudget::Connections() const { return this->holders.size(); }

bool InputBudget::IsScarce() const {
  return this->options.max_bytes > 0 && this->held_bytes > this->options.max_bytes / 2;
}

bool InputBudget::IsOver() const {
  return this->options.max_bytes > 0 && this->held_bytes > this->options.max_bytes;
}

bool InputBudget::IsFull() const {
  return this->options.max_connections > 0 && this->holders.size() >= this->options.max_connections;
}

std::optional<InputBudget::Id> InputBudget::NextForBytes() const {
  if (!this->IsOver()) return std::nullopt;
  // One that holds less than its even share is not the cause.
  const std::uint64_t share = this->held_bytes / this->holders.size();
  const auto found = this->Least(RankForBytes, std::max<std::uint64_t>(1, share));
  return found ? found : this->Least(RankForBytes, 1);
}

std::optional<InputBudget::Id> InputBudget::NextForConnection() const {
  if (!this->IsFull()) return std::nullopt;
  return this->Least(RankForConnections, 0);
}

HolderPhase InputBudget::PhaseOf(Id id) const {
  const auto found = this->holders.find(id);
  return found == this->holders.end() ? HolderPhase::kFresh : found->second.phase;
}

std::optional<InputBudget::Id> InputBudget::Least(Rank rank, std::uint64_t min_bytes) const {
  const Holder* least = nullptr;
  std::optional<Id> id;
  for (const auto& [candidate, holder] : this->holders) {
    const int of_candidate = rank(holder.phase);
    if (of_candidate == kNever || holder.bytes < min_bytes) continue;
    const int of_least = least == nullptr ? 0 : rank(least->phase);
    if (least != nullptr &&
        (of_candidate > of_least || (of_candidate == of_least && holder.since >= least->since))) {
      continue;
    }
    least = &holder;
    id = candidate;
  }
  return id;
}

std::string_view HolderPhaseName(HolderPhase phase) {
  switch (phase) {
    case HolderPhase::kFresh:
      return "fresh";
    case HolderPhase::kIdle:
      return "idle";
    case HolderPhase::kUnfinished:
      return "unfinished";
    case HolderPhase::kAnswering:
      return "answering";
    case HolderPhase::kPipelining:
      return "pipelining";
    case HolderPhase::kLastAnswer:
      return "last-answer";
    case HolderPhase::kStalled:
      return "stalled";
    case HolderPhase::kUnread:
      return "unread";
    case HolderPhase::kClosing:
      return "closing";
  }
  return "unknown";
}

}  // namespace savory
