// Local replica of the store's records whose keys begin with one prefix.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savory {

// Orders changes. The store's era rises when the store comes back from an older copy; revisions go
// back then and are given out again.
struct RecordPosition {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const RecordPosition&) const = default;
};

// The last write of a key, or a tombstone if the key was removed.
struct Record {
  std::string key;
  std::string value = {};
  std::uint64_t revision = 0;  // store revision of this change
  bool removed = false;
  std::uint64_t era = 0;  // the change was made in this era or later

  RecordPosition Position() const { return {.era = this->era, .revision = this->revision}; }
};

// A set of changes: read from the store, or sent by a peer whose mirror is ahead.
struct RecordUpdate {
  std::vector<Record> records = {};
  std::uint64_t after = 0;      // every change after this revision is included
  std::uint64_t as_of = 0;      // up to and including this one
  bool full = false;            // lists every live record: a record that is not listed was removed
  std::uint64_t era = 0;        // of the store when `as_of` was current
  std::uint64_t after_era = 0;  // the era of `after`
  // The sender holds back the listing with which `era` began. The update removes nothing, and is
  // complete only for those who have such a listing as well.
  bool unsettled = false;

  RecordPosition AsOf() const { return {.era = this->era, .revision = this->as_of}; }
  RecordPosition After() const { return {.era = this->after_era, .revision = this->after}; }
};

// Changes may be applied in any order and more than once. For each key the change with the highest
// position wins, so a record never reverts to an older state.
class RecordMirror {
 public:
  // Returns the records that changed in this mirror; one that was written again in a later era with
  // the same value did not. An update whose `after` is above AsOf() leaves a gap: its records are
  // applied, but AsOf() does not advance.
  std::vector<Record> Apply(const RecordUpdate& update);

  // Returns the changes after `after`, or a full update if this mirror may lack tombstones newer
  // than that.
  RecordUpdate ChangesAfter(RecordPosition after) const;
  // As above, with all tombstones that this mirror has, and never full.
  RecordUpdate KnownChangesAfter(RecordPosition after) const;
  RecordUpdate ChangesAfter(std::uint64_t after) const {
    return this->ChangesAfter(RecordPosition{.revision = after});
  }
  // The user holds back the listing of a new era as of `as_of` and applies it later; from now on
  // the mirror gets the changes after it.
  void BeginEra(RecordPosition as_of);

  // The mirror holds every change up to this revision; 0: nothing has been read yet.
  std::uint64_t AsOf() const { return this->as_of.revision; }
  RecordPosition Position() const { return this->as_of; }
  // Tombstones up to here may be missing.
  RecordPosition Evicted() const { return this->evicted; }
  std::size_t Size() const { return this->live; }
  // With the tombstones that are kept, by key.
  const std::map<std::string, Record, std::less<>>& Records() const { return this->records; }

 private:
  // Above this count the oldest tombstones are evicted.
  static constexpr std::size_t kMaxTombstones = 4096;

  bool ApplyOne(const Record& record);
  void EvictTombstones();

  std::map<std::string, Record, std::less<>> records = {};
  std::map<RecordPosition, std::string> tombstones = {};  // position -> key
  RecordPosition as_of = {};
  RecordPosition evicted = {};  // tombstones up to this position may be missing
  std::size_t live = 0;
};

}  // namespace savory
