// Splits an event stream (text/event-stream) into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

struct StreamEvent {
  std::string_view text;                 // including the empty line that ends it
  std::optional<std::uint64_t> id = {};  // value of its last "id" line, if that is a decimal number
  bool only_comments = false;
};

// An upstream can fail in the middle of an event. Only complete events are forwarded, so that
// another upstream can resume after the last one.
class EventSplitter {
 public:
  // An event larger than this is forwarded in parts.
  static constexpr std::size_t kMaxEventBytes = 64 * 1024;

  // Appends bytes and returns the events that are now complete. The views are valid until the next
  // call.
  std::vector<StreamEvent> Feed(std::string_view bytes);
  // Bytes of the last, incomplete event.
  std::string_view Remainder() const {
    return std::string_view(this->buffer).substr(this->consumed);
  }

 private:
  std::string buffer = {};
  std::size_t consumed = 0;  // bytes of the buffer that Feed() returned
  std::size_t scanned = 0;   // no event ends between `consumed` and here
};

}  // namespace savory
