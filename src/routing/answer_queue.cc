#include "routing/answer_queue.h"

#include <utility>

namespace savory {
namespace {

std::size_t SizeOf(const AnswerItem& item) {
  const auto* part = std::get_if<AnswerBytes>(&item);
  return part == nullptr ? 0 : part->bytes.size();
}

}  // namespace

bool AnswerQueue::Push(AnswerItem item) {
  {
    const std::scoped_lock lock(this->mutex);
    const std::size_t size = SizeOf(item);
    const bool full = this->bytes > 0 && this->bytes + size > kMaxBytes;
    if (full) return false;
    this->bytes += size;
    this->items.push_back(std::move(item));
  }
  this->item_added.notify_one();
  return true;
}

std::optional<AnswerItem> AnswerQueue::Pop(Duration timeout) {
  std::unique_lock lock(this->mutex);
  const bool ready =
      this->item_added.wait_for(lock, timeout, [this] { return !this->items.empty(); });
  if (!ready) return std::nullopt;
  AnswerItem item = std::move(this->items.front());
  this->items.pop_front();
  this->bytes -= SizeOf(item);
  return item;
}

}  // namespace savory
