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
  const bool removes = update.full && !update.unsettled;
  if (removes) {
    std::vector<Record> missing;
    for (const auto& [key, record] : this->records) {
      if (record.removed || listed.contains(key) || record.Position() > update.AsOf()) continue;
      missing.push_back({.key = key, .revision = update.as_of, .removed = true, .era = update.era});
    }
    for (const Record& record : missing) {
      this->ApplyOne(record);
      changed.push_back(record);
    }
  }
  RecordPosition reached = update.AsOf();
  bool no_gap = removes || update.After() <= this->as_of;
  if (update.unsettled && update.era > this->as_of.era) {
    no_gap = this->as_of == RecordPosition();
    reached.era = update.era - 1;
  }
  if (removes) this->evicted = std::max(this->evicted, reached);
  if (no_gap) this->as_of = std::max(this->as_of, reached);
  this->EvictTombstones();
  return changed;
}

bool RecordMirror::ApplyOne(const Record& record) {
  const auto [position, is_new] = this->records.try_emplace(record.key, record);
  if (!is_new) {
    const RecordPosition known = position->second.Position();
    const bool newer = record.Position() > known ||
                       (record.Position() == known && record.removed && !position->second.removed);
    if (!newer) return false;
  }
  const bool was_live = !is_new && !position->second.removed;
  const bool written_again = was_live && !record.removed && record.era > position->second.era &&
                             record.value == position->second.value;
  if (!is_new) position->second = record;
  this->live += (record.removed ? 0 : 1);
  this->live -= (was_live ? 1 : 0);
  if (record.removed) this->tombstones.emplace(record.Position(), record.key);
  // Removing a record that this mirror did not hold changes nothing.
  return (was_live || !record.removed) && !written_again;
}

void RecordMirror::EvictTombstones() {
  while (this->tombstones.size() > kMaxTombstones) {
    const auto oldest = this->tombstones.begin();
    const auto record = this->records.find(oldest->second);
    if (record != this->records.end() && record->second.removed &&
        record->second.Position() == oldest->first) {
      this->records.erase(record);
    }
    this->evicted = std::max(this->evicted, oldest->first);
    this->tombstones.erase(oldest);
  }
}

RecordUpdate RecordMirror::ChangesAfter(RecordPosition after) const {
  if (after >= this->evicted) return this->KnownChangesAfter(after);
  RecordUpdate update = this->KnownChangesAfter({});
  update.after = after.revision;
  update.after_era = after.era;
  update.full = true;
  std::erase_if(update.records, [](const Record& record) { return record.removed; });
  return update;
}

RecordUpdate RecordMirror::KnownChangesAfter(RecordPosition after) const {
  RecordUpdate update{.after = after.revision,
                      .as_of = this->as_of.revision,
                      .era = this->as_of.era,
                      .after_era = after.era};
  for (const auto& [key, record] : this->records) {
    if (record.Position() > after || after == RecordPosition()) update.records.push_back(record);
  }
  return update;
}

void RecordMirror::BeginEra(RecordPosition as_of) { this->as_of = std::max(this->as_of, as_of); }

}  // namespace savory
