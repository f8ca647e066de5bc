#include "records/record_mirror.h"

#include <algorithm>
#include <set>

namespace savory {

std::vector<Record> RecordMirror::Apply(const RecordUpdate& update) {
  std::vector<Record> changed;
  std::set<std::string_view> named;
  for (const Record& record : update.records) {
    named.insert(record.key);
    if (this->ApplyOne(record)) changed.push_back(record);
  }
  if (update.whole) {
    std::vector<Record> missing;
    for (const auto& [key, record] : this->records) {
      if (record.removed || named.contains(key) || record.revision > update.as_of) continue;
      missing.push_back({.key = key, .revision = update.as_of, .removed = true});
    }
    for (const Record& record : missing) {
      this->ApplyOne(record);
      changed.push_back(record);
    }
    this->forgotten = std::max(this->forgotten, update.as_of);
  }
  if (update.whole || update.after <= this->as_of) {
    this->as_of = std::max(this->as_of, update.as_of);
  }
  this->ForgetRemovals();
  return changed;
}

bool RecordMirror::ApplyOne(const Record& record) {
  const auto [place, is_new] = this->records.try_emplace(record.key, record);
  if (!is_new) {
    const bool newer =
        record.revision > place->second.revision ||
        (record.revision == place->second.revision && record.removed && !place->second.removed);
    if (!newer) return false;
  }
  const bool was_live = !is_new && !place->second.removed;
  if (!is_new) place->second = record;
  this->live += (record.removed ? 0 : 1);
  this->live -= (was_live ? 1 : 0);
  if (record.removed) this->removals.emplace(record.revision, record.key);
  // The removal of a record that was never known here changes nothing.
  return was_live || !record.removed;
}

void RecordMirror::ForgetRemovals() {
  while (this->removals.size() > kMaxRemovals) {
    const auto oldest = this->removals.begin();
    const auto record = this->records.find(oldest->second);
    if (record != this->records.end() && record->second.removed &&
        record->second.revision == oldest->first) {
      this->records.erase(record);
    }
    this->forgotten = std::max(this->forgotten, oldest->first);
    this->removals.erase(oldest);
  }
}

RecordUpdate RecordMirror::Since(std::uint64_t after) const {
  RecordUpdate update{.after = after, .as_of = this->as_of, .whole = after < this->forgotten};
  for (const auto& [key, record] : this->records) {
    if (update.whole ? !record.removed : record.revision > after) update.records.push_back(record);
  }
  return update;
}

}  // namespace savory
