#include "records/record_mirror.h"

#include <algorithm>
#include <set>

namespace savory {

std::vector<Record> RecordMirror::Apply(const RecordUpdate& update) {
  std::vector<Record> changed;
  std::set<std::string_view> listed;
  for (const Record& record : update.records) {
    listed.insert(record.key);
    if (this->ApplyOne(record)) changed.push_back(record);
  }
  if (update.full) {
    std::vector<Record> missing;
    for (const auto& [key, record] : this->records) {
      if (record.removed || listed.contains(key) || record.revision > update.as_of) continue;
      missing.push_back({.key = key, .revision = update.as_of, .removed = true});
    }
    for (const Record& record : missing) {
      this->ApplyOne(record);
      changed.push_back(record);
    }
    this->evicted_revision = std::max(this->evicted_revision, update.as_of);
  }
  if (update.full || update.after <= this->as_of) {
    this->as_of = std::max(this->as_of, update.as_of);
  }
  this->EvictTombstones();
  return changed;
}

bool RecordMirror::ApplyOne(const Record& record) {
  const auto [position, is_new] = this->records.try_emplace(record.key, record);
  if (!is_new) {
    const bool newer = record.revision > position->second.revision ||
                       (record.revision == position->second.revision && record.removed &&
                        !position->second.removed);
    if (!newer) return false;
  }
  const bool was_live = !is_new && !position->second.removed;
  if (!is_new) position->second = record;
  this->live += (record.removed ? 0 : 1);
  this->live -= (was_live ? 1 : 0);
  if (record.removed) this->tombstones.emplace(record.revision, record.key);
  // Removing a record that this mirror did not hold changes nothing.
  return was_live || !record.removed;
}

void RecordMirror::EvictTombstones() {
  while (this->tombstones.size() > kMaxTombstones) {
    const auto oldest = this->tombstones.begin();
    const auto record = this->records.find(oldest->second);
    if (record != this->records.end() && record->second.removed &&
        record->second.revision == oldest->first) {
      this->records.erase(record);
    }
    this->evicted_revision = std::max(this->evicted_revision, oldest->first);
    this->tombstones.erase(oldest);
  }
}

RecordUpdate RecordMirror::ChangesAfter(std::uint64_t after) const {
  RecordUpdate update{.after = after, .as_of = this->as_of, .full = after < this->evicted_revision};
  for (const auto& [key, record] : this->records) {
    if (update.full ? !record.removed : record.revision > after) update.records.push_back(record);
  }
  return update;
}

}  // namespace savory
