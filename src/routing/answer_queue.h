// Passes the answer to one request from the event loop to the thread that serves the caller.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "runtime/http.h"

namespace savory {

struct AnswerHead {
  std::uint32_t status = 0;
  HttpHeaders headers = {};
};
struct AnswerBytes {
  std::vector<std::byte> bytes;
};
struct AnswerDone {};
struct AnswerAborted {};
// An answer that the entry generates itself or replays from a claim.
struct LocalAnswer {
  int status = 0;
  std::string content_type = "application/json";
  std::string outcome;  // value of the header X-Savoryrouter-Outcome
  std::string body = {};
  std::optional<Duration> retry_after = {};
};
using AnswerItem = std::variant<AnswerHead, AnswerBytes, AnswerDone, AnswerAborted, LocalAnswer>;

// Thread-safe; one producer and one consumer.
class AnswerQueue {
 public:
  // Returns false if the queue would exceed `kMaxBytes` because the caller reads too slowly. A
  // queue that holds no bytes accepts an item of any size. An item without bytes is refused only
  // if a single item larger than `kMaxBytes` is queued.
  bool Push(AnswerItem item);
  // Returns the next item, or nullopt if none arrived within `timeout`.
  std::optional<AnswerItem> Pop(Duration timeout);

 private:
  static constexpr std::size_t kMaxBytes = 16u << 20;

  std::mutex mutex;
  std::condition_variable item_added;
  std::deque<AnswerItem> items;
  std::size_t bytes = 0;
};

}  // namespace savory
