// Local replica of the store's records whose keys begin with one prefix.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savory {

// The last write of a key, or a tombstone if the key was removed.
struct Record {
  std::string key;
  std::string value = {};
  std::uint64_t revision = 0;  // store revision of this change
  bool removed = false;
};

// A set of changes: read from the store, or sent by a peer whose mirror is ahead.
struct RecordUpdate {
  std::vector<Record> records = {};
  std::uint64_t after = 0;  // every change after this revision is included
  std::uint64_t as_of = 0;  // up to and including this one
  bool full = false;        // lists every live record: a record that is not listed was removed
};

// Changes may be applied in any order and more than once. For each key the change with the highest
// revision wins, so a record never reverts to an older state.
class RecordMirror {
 public:
  // Returns the records that changed in this mirror. An update whose `after` is above AsOf() leaves
  // a gap: its records are applied, but AsOf() does not advance.
  std::vector<Record> Apply(const RecordUpdate& update);

  // Returns the changes after revision `after`, or a full update if this mirror may lack tombstones
  // newer than `after`.
  RecordUpdate ChangesAfter(std::uint64_t after) const;

  // The mirror holds every change up to this revision; 0: nothing has been read yet.
  std::uint64_t AsOf() const { return this->as_of; }
  std::size_t Size() const { return this->live; }

 private:
  // Above this count the oldest tombstones are evicted.
  static constexpr std::size_t kMaxTombstones = 4096;

  bool ApplyOne(const Record& record);
  void EvictTombstones();

  std::map<std::string, Record, std::less<>> records = {};
  std::map<std::uint64_t, std::string> tombstones = {};  // revision -> key
  std::uint64_t as_of = 0;
  std::uint64_t evicted_revision = 0;  // tombstones up to this revision may be missing
  std::size_t live = 0;
};

}  // namespace savory
