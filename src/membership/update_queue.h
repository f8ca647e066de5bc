// Queue of membership updates to piggyback on messages.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Names of the members whose latest updates are piggybacked on the next messages. Each is sent a
// limited number of times: urgent ones first, then those with the most transmissions left.
class UpdateQueue {
 public:
  // Queues the update about `vm` for `transmissions` messages, in place of an earlier one.
  void Push(std::string_view vm, std::size_t transmissions, bool urgent);
  void Remove(std::string_view vm);
  // Returns up to `count` names for one message and counts one transmission for each.
  std::vector<std::string> Take(std::size_t count);
  std::size_t Size() const;

 private:
  struct Item {
    std::size_t remaining = 0;
    bool urgent = false;
  };
  std::map<std::string, Item, std::less<>> items;
};

}  // namespace savory
