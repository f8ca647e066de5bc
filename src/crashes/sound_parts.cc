#include "crashes/sound_parts.h"

#include <iterator>

namespace savory {

bool SoundParts::Add(const Digest& part, Instant at) {
  const auto found = this->by_part.find(part);
  if (found != this->by_part.end()) {
    if (at <= found->second->answered_at) return false;
    found->second->answered_at = at;
    this->rows.splice(this->rows.end(), this->rows, found->second);
    return true;
  }
  if (this->rows.size() >= this->options.max_parts) {
    this->by_part.erase(this->rows.front().part);
    this->rows.pop_front();
  }
  this->rows.push_back({.part = part, .answered_at = at});
  this->by_part.emplace(part, std::prev(this->rows.end()));
  return true;
}

Instant SoundParts::AnsweredAt(const Digest& part) const {
  const auto found = this->by_part.find(part);
  return found == this->by_part.end() ? Instant() : found->second->answered_at;
}

bool SoundParts::TakeAnnouncement(const Digest& part, Instant now) {
  const auto found = this->by_part.find(part);
  if (found == this->by_part.end()) return false;
  Row& row = *found->second;
  if (row.announced_at != Instant() && now - row.announced_at < this->options.announce_period) {
    return false;
  }
  row.announced_at = now;
  return true;
}

}  // namespace savory
