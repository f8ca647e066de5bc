#include "membership/update_queue.h"

#include <algorithm>
#include <tuple>

namespace savory {

void UpdateQueue::Push(std::string_view vm, std::size_t transmissions, bool urgent) {
  this->items.insert_or_assign(std::string(vm), Item{.remaining = transmissions, .urgent = urgent});
}

void UpdateQueue::Remove(std::string_view vm) {
  const auto found = this->items.find(vm);
  if (found != this->items.end()) this->items.erase(found);
}

std::vector<std::string> UpdateQueue::Take(std::size_t count) {
  using Row = decltype(this->items)::iterator;
  std::vector<Row> rows;
  rows.reserve(this->items.size());
  for (auto row = this->items.begin(); row != this->items.end(); ++row) rows.push_back(row);
  const auto before = [](Row left, Row right) {
    return std::tie(right->second.urgent, right->second.remaining, left->first) <
           std::tie(left->second.urgent, left->second.remaining, right->first);
  };
  const std::size_t taken = std::min(count, rows.size());
  std::partial_sort(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(taken), rows.end(),
                    before);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < taken; ++i) {
    names.push_back(rows[i]->first);
    --rows[i]->second.remaining;
    if (rows[i]->second.remaining == 0) this->items.erase(rows[i]);
  }
  return names;
}

std::size_t UpdateQueue::Size() const { return this->items.size(); }

}  // namespace savory
