// Cuts an event stream (text/event-stream) into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

struct StreamEvent {
  std::string_view text;                 // with the empty line that ends it
  std::optional<std::uint64_t> id = {};  // its "id" line, when it is a decimal number
};

// Upstreams can stop in the middle of an event: only whole events are passed on, so that another
// upstream can go on after the last one.
class EventSplitter {
 public:
  // An event that grows beyond this is passed on in pieces.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  // Adds bytes and returns the events that are whole now, valid until the next call.
  std::vector<StreamEvent> Feed(std::string_view bytes);
  // Bytes of an event that is not whole.
  std::string_view Remainder() const {
    return std::string_view(this->buffer).substr(this->consumed);
  }

 private:
  std::string buffer = {};
  std::size_t consumed = 0;  // bytes of the buffer that were returned
  std::size_t scanned = 0;   // no event ends before this
};

}  // namespace savory
