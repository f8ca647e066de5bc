// Copy of the platform's records below one prefix.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace savory {

// One record as it was written, or the fact that it was removed.
struct Record {
  std::string key;
  std::string value = {};
  std::uint64_t revision = 0;  // of the store, at this change
  bool removed = false;
};

// What a mirror hands to one that is behind.
struct RecordUpdate {
  std::vector<Record> records = {};
  std::uint64_t after = 0;  // holds every change after this revision
  std::uint64_t as_of = 0;  // and up to this one
  bool full = false;        // records that are not named do not exist
};

// Applies changes in any order and any number of times: of two changes of one key the one with the
// higher revision holds, so a mirror never goes back.
class RecordMirror {
 public:
  // Returns the records that changed here. An update that begins after AsOf() leaves a gap: its
  // records are taken, but AsOf() stays.
  std::vector<Record> Apply(const RecordUpdate& update);

  // The changes after revision `after`; everything when the removals of that time are forgotten.
  RecordUpdate ChangesAfter(std::uint64_t after) const;

  // Complete up to this revision; 0: nothing was read yet.
  std::uint64_t AsOf() const { return this->as_of; }
  std::size_t Size() const { return this->live; }

 private:
  // Removals that are remembered. The oldest are forgotten first.
  static constexpr std::size_t kMaxTombstones = 4096;

  bool ApplyOne(const Record& record);
  void EvictTombstones();

  std::map<std::string, Record, std::less<>> records = {};
  std::map<std::uint64_t, std::string> tombstones = {};  // revision -> key
  std::uint64_t as_of = 0;
  std::uint64_t evicted_revision = 0;  // removals up to this revision are not known
  std::size_t live = 0;
};

}  // namespace savory
