// Keeps what a mirror knows when the store comes back from an older copy.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "records/record_mirror.h"

namespace savory {

// The first listing of a new era shows records as they were when the copy was taken, or as they
// were written since the store came back: its revisions do not tell. So the mirror's state is held,
// and the listing counts only after `grace`, in which those who wrote the lost changes write them
// again. Changes that are newer for sure count at once:
// - those after the listing, and those in a later listing of the same era that the first one lacks
// - a record whose revision in the listing is above what the mirror knows of the era that ended, or
//   is the same with another value. This needs a copy of that very era, so it is not relied on if
//   the era was shorter than the grace or not seen.
// - a record whose value tells that it is newer than the known one
class EraHold {
 public:
  // Whether the listed record is newer than the known one of its key, as their values tell.
  using NewerRecord = std::function<bool(const Record& known, const Record& listed)>;

  // The reference must outlive the object.
  EraHold(RecordMirror& mirror, Duration grace, NewerRecord is_newer = {})
      : mirror(mirror), grace(grace), is_newer(std::move(is_newer)) {}

  // Applies an answer of the store, or ignores it: one of an older era, or changes of an era that
  // the mirror has not begun with a listing. Returns the records that changed.
  std::vector<Record> ApplyAnswer(RecordUpdate update, Instant now);
  // Applies what a peer knows, unless it is of an older era. Returns the records that changed.
  std::vector<Record> ApplyPeerUpdate(const RecordUpdate& update);
  // Takes the store's word if the grace is over. Returns the records that changed.
  std::vector<Record> Settle(Instant now);

  // What a peer lacks. While a listing is held back, it hides changes of the era up to it.
  RecordUpdate ChangesAfter(RecordPosition after) const;

  // The mirror holds back a listing.
  bool IsActive() const { return this->listing.has_value(); }
  // The mirror holds back a listing, or got all that it has from peers that do.
  bool IsUnsettled() const {
    return this->IsActive() || (!this->complete && this->mirror.Position() != RecordPosition());
  }
  // Where the mirror was before that listing, and before those that it held back then.
  RecordPosition Before() const { return this->before; }
  // Records that the listing contradicted and that were kept, when it was read.
  std::size_t Kept() const { return this->kept; }

 private:
  std::vector<Record> Begin(RecordUpdate update, Instant now);
  std::vector<Record> ListAgain(RecordUpdate update);
  RecordUpdate WithoutForgotten(RecordUpdate update) const;
  RecordUpdate WithListing(RecordUpdate update) const;
  // The position at which a record of the first listing counts at once; nullopt if it may be old.
  std::optional<RecordPosition> CertainPosition(const Record& listed, bool relies_on_copy) const;

  RecordMirror& mirror;
  Duration grace;
  NewerRecord is_newer;
  std::optional<RecordUpdate> listing = {};  // the last one of the era, by key
  std::uint64_t first_as_of = 0;             // of the first listing of the era
  Instant ends_at = {};
  RecordPosition before = {};
  std::size_t kept = 0;
  bool complete = false;  // the mirror held every change up to its position once
};

}  // namespace savory
