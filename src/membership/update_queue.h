// Updates about members that still have to be passed on.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Names of members whose latest update is piggybacked on the next messages. Each is sent a limited
// number of times; urgent ones first, then those sent least often.
class UpdateQueue {
 public:
  // Queues the update about `vm` for `times` messages; replaces an earlier one.
  void Push(std::string_view vm, std::size_t transmissions, bool urgent);
  void Remove(std::string_view vm);
  // Takes up to `count` names for one message.
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
