#include "relay/event_splitter.h"

#include <algorithm>

#include "runtime/http_head.h"

namespace savory {
namespace {

// Parses the lines of the complete event `text`.
StreamEvent ParseEvent(std::string_view text) {
  StreamEvent event{.text = text, .only_comments = true};
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.remove_suffix(1);
    if (!line.empty() && !line.starts_with(':')) event.only_comments = false;
    if (!line.starts_with("id:")) continue;
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    event.id = ParseDecimal(line);
  }
  return event;
}

// Returns the position after the empty line that ends the first event at or after `from`, or npos.
std::size_t FindEventEnd(std::string_view buffer, std::size_t from) {
  for (std::size_t line = buffer.find('\n', from); line != std::string_view::npos;
       line = buffer.find('\n', line + 1)) {
    std::size_t next = line + 1;
    if (next < buffer.size() && buffer[next] == '\r') ++next;
    if (next < buffer.size() && buffer[next] == '\n') return next + 1;
  }
  return std::string_view::npos;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view bytes) {
  this->buffer.erase(0, this->consumed);
  this->scanned -= std::min(this->scanned, this->consumed);
  this->consumed = 0;
  this->buffer += bytes;
  std::vector<StreamEvent> events;
  const std::string_view all = this->buffer;
  for (std::size_t end = FindEventEnd(all, this->scanned); end != std::string_view::npos;
       end = FindEventEnd(all, end)) {
    const std::string_view text = all.substr(this->consumed, end - this->consumed);
    events.push_back(ParseEvent(text));
    this->consumed = end;
  }
  // The end of an event is up to three bytes long, which may arrive one at a time.
  this->scanned = std::max(this->consumed, all.size() - std::min<std::size_t>(all.size(), 3));
  if (all.size() - this->consumed > kMaxEventBytes) {
    events.push_back({.text = all.substr(this->consumed)});
    this->consumed = all.size();
    this->scanned = this->consumed;
  }
  return events;
}

}  // namespace savory
