// The answer of one request on its way from the event loop to the caller's thread.
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
// An answer that does not come from the upstream.
struct LocalAnswer {
  int status = 0;
  std::string content_type = "application/json";
  std::string outcome;  // value of X-Savoryrouter-Outcome
  std::string body = {};
  std::optional<Duration> retry_after = {};
};
using AnswerItem = std::variant<AnswerHead, AnswerBytes, AnswerDone, AnswerAborted, LocalAnswer>;

// Thread-safe; one producer and one consumer.
class AnswerQueue {
 public:
  // Returns false when more than `kMaxBytes` wait for a caller that reads too slowly. Items without
  // bytes are always taken.
  bool Push(AnswerItem item);
  // Waits up to `timeout`; nullopt when nothing came.
  std::optional<AnswerItem> Pop(Duration timeout);

 private:
  static constexpr std::size_t kMaxBytes = 16u << 20;

  std::mutex mutex;
  std::condition_variable item_added;
  std::deque<AnswerItem> items;
  std::size_t bytes = 0;
};

}  // namespace savory
