#include "records/era_hold.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace savory {
namespace {

// Revision of a record that was read from the store and may be older than what peers know.
constexpr std::uint64_t kUnproven = 0;

// Changes without a claim to be complete: the mirror's position stays.
RecordUpdate ChangesOnly(std::vector<Record> records) {
  return {.records = std::move(records), .after = UINT64_MAX, .after_era = UINT64_MAX};
}

const Record* Find(const RecordMirror& mirror, std::string_view key) {
  const auto found = mirror.Records().find(key);
  return found == mirror.Records().end() ? nullptr : &found->second;
}

bool IsLive(const Record* record) { return record != nullptr && !record->removed; }

}  // namespace

std::vector<Record> EraHold::ApplyAnswer(RecordUpdate update, Instant now) {
  const std::uint64_t era = this->mirror.Position().era;
  if (update.era < era) return {};
  for (Record& record : update.records) record.era = update.era;
  update.after_era = update.era;
  if (update.era > era) {
    return update.full ? this->Begin(std::move(update), now) : std::vector<Record>();
  }
  if (update.full && this->IsActive()) return this->ListAgain(std::move(update));
  this->complete = this->complete || update.full;
  return this->mirror.Apply(update);
}

std::vector<Record> EraHold::ApplyPeerUpdate(const RecordUpdate& update) {
  if (update.era < this->mirror.Position().era) return {};
  const bool vague = update.unsettled && this->complete;
  this->complete = this->complete || (update.full && !update.unsettled);
  std::vector<Record> changed =
      this->mirror.Apply(this->WithListing(vague ? this->WithoutForgotten(update) : update));
  // The peer has settled a later era for this mirror.
  if (this->IsActive() && this->mirror.Position().era > this->listing->era) this->listing.reset();
  return changed;
}

std::vector<Record> EraHold::Settle(Instant now) {
  if (!this->IsActive() || now < this->ends_at) return {};
  this->kept = 0;
  return this->mirror.Apply(*std::exchange(this->listing, std::nullopt));
}

RecordUpdate EraHold::ChangesAfter(RecordPosition after) const {
  if (!this->IsUnsettled()) return this->mirror.ChangesAfter(after);
  RecordUpdate update = this->mirror.KnownChangesAfter(after);
  const RecordPosition begun =
      this->IsActive() ? RecordPosition{.era = this->listing->era, .revision = this->first_as_of}
                       : this->mirror.Position();
  const RecordPosition complete_after = std::max({after, begun, this->mirror.Evicted()});
  update.after = complete_after.revision;
  update.after_era = complete_after.era;
  update.unsettled = true;
  return update;
}

std::vector<Record> EraHold::Begin(RecordUpdate update, Instant now) {
  const bool relies_on_copy =
      this->complete && !this->IsActive() && update.era == this->mirror.Position().era + 1;
  std::ranges::sort(update.records, {}, &Record::key);
  if (!this->IsActive()) this->before = this->mirror.Position();
  this->first_as_of = update.as_of;
  this->ends_at = now + this->grace;
  this->kept = 0;
  std::set<std::string_view> listed;
  std::vector<Record> certain;
  for (const Record& record : update.records) {
    listed.insert(record.key);
    const Record* known = Find(this->mirror, record.key);
    if (const auto position = this->CertainPosition(record, relies_on_copy)) {
      certain.push_back(record);
      certain.back().era = position->era;
      certain.back().revision = position->revision;
    } else if (!IsLive(known) || known->value != record.value) {
      ++this->kept;
    }
  }
  for (const auto& [key, record] : this->mirror.Records()) {
    if (!record.removed && !listed.contains(key)) ++this->kept;
  }
  this->complete = true;
  this->mirror.BeginEra(update.AsOf());
  this->listing = std::move(update);
  return this->mirror.Apply(ChangesOnly(std::move(certain)));
}

std::optional<RecordPosition> EraHold::CertainPosition(const Record& listed,
                                                       bool relies_on_copy) const {
  if (listed.revision > this->first_as_of) return listed.Position();
  // A process that knows nothing takes what there is, until it hears from a peer of a change that
  // the last era lost.
  if (!this->complete) return RecordPosition{.era = listed.era - 1, .revision = kUnproven};
  const Record* known = Find(this->mirror, listed.key);
  if (IsLive(known) && this->is_newer && this->is_newer(*known, listed)) {
    return RecordPosition{.era = known->era, .revision = known->revision + 1};
  }
  if (!relies_on_copy) return std::nullopt;
  const RecordPosition lowest{.era = this->before.era, .revision = listed.revision};
  // Tombstones of eras before the last say nothing of its revisions.
  if (known == nullptr || (known->removed && known->era < this->before.era)) {
    return lowest > this->before ? std::optional(lowest) : std::nullopt;
  }
  if (listed.revision > known->revision) return lowest;
  const bool given_out_again =
      listed.revision == known->revision && (known->removed || known->value != listed.value);
  if (!given_out_again) return std::nullopt;
  return RecordPosition{.era = this->before.era + 1, .revision = listed.revision};
}

// A process that knew nothing has no say in what is kept, and a record that this mirror would know
// was removed so long ago that its tombstone is gone.
RecordUpdate EraHold::WithoutForgotten(RecordUpdate update) const {
  const RecordPosition known = this->IsActive() ? this->before : this->mirror.Position();
  std::erase_if(update.records, [&](const Record& record) {
    const bool forgotten = record.Position() <= known && Find(this->mirror, record.key) == nullptr;
    return forgotten || record.revision == kUnproven;
  });
  return update;
}

// A change of the era that is older than the listing proves that what the listing says of its key
// is of the era, too.
RecordUpdate EraHold::WithListing(RecordUpdate update) const {
  if (!this->IsActive()) return update;
  for (Record& record : update.records) {
    if (record.era != this->listing->era || record.revision > this->listing->as_of ||
        record.revision == kUnproven) {
      continue;
    }
    const auto found =
        std::ranges::lower_bound(this->listing->records, record.key, {}, &Record::key);
    if (found != this->listing->records.end() && found->key == record.key) {
      record = *found;
    } else {
      record.value.clear();
      record.removed = true;
      record.revision = this->listing->as_of;
    }
  }
  return update;
}

std::vector<Record> EraHold::ListAgain(RecordUpdate update) {
  std::ranges::sort(update.records, {}, &Record::key);
  std::set<std::string_view> listed;
  std::vector<Record> certain;
  for (const Record& record : update.records) {
    listed.insert(record.key);
    if (record.revision > this->first_as_of) certain.push_back(record);
  }
  const auto add_if_removed = [&](const Record& record) {
    if (listed.contains(record.key) || record.removed) return;
    certain.push_back(
        {.key = record.key, .revision = update.as_of, .removed = true, .era = update.era});
  };
  for (const Record& record : this->listing->records) add_if_removed(record);
  for (const auto& [key, record] : this->mirror.Records()) {
    if (record.era == update.era && record.revision <= update.as_of) add_if_removed(record);
  }
  this->mirror.BeginEra(update.AsOf());
  this->listing = std::move(update);
  return this->mirror.Apply(ChangesOnly(std::move(certain)));
}

}  // namespace savory
