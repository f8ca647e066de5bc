#include "tables/table_edit.h"

#include <algorithm>

#include "tables/table_check.h"
#include "tables/table_merge.h"

namespace savory {
namespace {

// The key-value service accepts values up to 1 MB.
constexpr std::size_t kMaxValueBytes = 900'000;
constexpr int kRecentEdits = 64;
constexpr Duration kBackoffFirst = std::chrono::milliseconds(50);
constexpr Duration kBackoffMax = std::chrono::seconds(1);

Result<wire::Tables> Decode(const std::string& bytes, const std::string& what) {
  wire::Tables tables;
  if (tables.ParseFromString(bytes)) return tables;
  return Error{.kind = ErrorKind::kMalformed, .detail = what + " is not a valid Tables message"};
}

// Returns the revision that the edit `edit_id` wrote, or nullopt.
std::optional<std::uint64_t> FindEdit(const wire::Tables& tables, const std::string& edit_id) {
  for (const wire::RecentEdit& edit : tables.recent_edits()) {
    if (edit.edit_id() == edit_id) return edit.revision();
  }
  return std::nullopt;
}

void SetContent(wire::Tables& tables, const wire::Tables& content) {
  *tables.mutable_routes() = content.routes();
  *tables.mutable_pools() = content.pools();
}

}  // namespace

struct TableEdit::Impl {
  TableEditOptions options;
  Random& random;

  Instant started_at = {};
  int failures = 0;
  wire::Tables current = {};
  std::uint64_t version = 0;
  std::optional<wire::Tables> base = std::nullopt;
  std::optional<wire::Tables> wanted = std::nullopt;
  wire::Tables next = {};
  // Key version and revision that a write with a lost reply expected. The write may have taken
  // effect, or may still do so while the key has this version.
  std::optional<std::uint64_t> unconfirmed_version = std::nullopt;
  std::uint64_t unconfirmed_revision = 0;

  Action Fail(ErrorKind kind, std::string detail) const {
    return Finish{.outcome = Error{.kind = kind, .detail = std::move(detail)}};
  }

  Action FailWith(const Error& error) const { return Finish{.outcome = error}; }

  Action GiveUp(const Error& last) const {
    if (this->unconfirmed_version) {
      return this->Fail(ErrorKind::kWriteOutcomeUnknown,
                        "the write may have taken effect; look for edit " + this->options.edit_id +
                            " (" + last.detail + ")");
    }
    return this->Fail(ErrorKind::kUnavailable, "not written: " + last.detail);
  }

  // Waits before the next read, or gives up once `give_up_after` has passed.
  Action Retry(const Error& error, Instant now) {
    if (now - this->started_at >= this->options.give_up_after) return this->GiveUp(error);
    const int doublings = std::min(this->failures++, 16);
    const Duration step = std::min(kBackoffMax, kBackoffFirst * (1 << doublings));
    const double factor = 0.5 + UniformUnit(this->random);
    return Wait{
        .time = Duration(static_cast<Duration::rep>(static_cast<double>(step.count()) * factor))};
  }

  Action On(const Start&, Instant now) {
    this->started_at = now;
    if (!IsUtf8(this->options.author)) {
      return this->Fail(ErrorKind::kInvalidTable, "the author's name is not UTF-8");
    }
    return ReadTables{};
  }

  Action On(const Waited&, Instant) { return ReadTables{}; }

  Action On(const TablesRead& event, Instant now) {
    if (!event.answer) return this->Retry(event.answer.error(), now);
    const std::optional<KvValue>& value = event.answer.value();
    this->version = value ? value->version : 0;
    auto decoded = Decode(value ? value->bytes : "", "the value of the key tables");
    if (!decoded) return this->FailWith(decoded.error());
    this->current = std::move(decoded.value());
    if (const auto revision = FindEdit(this->current, this->options.edit_id)) {
      return Finish{.outcome = EditOutcome{.revision = *revision,
                                           .merged = *revision > this->BaseRevision() + 1}};
    }
    if (this->unconfirmed_version && *this->unconfirmed_version != this->version) {
      // The key has another version, so the write can no longer take effect. The recent edits show
      // whether it did, unless so many edits followed that its entry would have been dropped.
      const std::uint64_t later = this->current.revision() - this->unconfirmed_revision;
      if (later >= static_cast<std::uint64_t>(kRecentEdits)) {
        return this->Fail(ErrorKind::kWriteOutcomeUnknown,
                          "the 64 recent edits may no longer include this one; look for edit " +
                              this->options.edit_id + " in the history");
      }
      this->unconfirmed_version.reset();
    }
    return this->Prepare();
  }

  std::uint64_t BaseRevision() const { return this->base ? this->base->revision() : 0; }

  // Obtains the base and the wanted content, from the history where needed, then writes.
  Action Prepare() {
    if (!this->base) {
      const std::uint64_t revision = this->options.base_revision;
      if (revision != 0 && revision != this->current.revision()) {
        return ReadHistory{.revision = revision};
      }
      this->base = this->current;
    }
    if (!this->wanted) {
      const std::uint64_t revision = this->options.rollback_to;
      if (revision != 0 && revision != this->base->revision()) {
        return ReadHistory{.revision = revision};
      }
      auto made =
          revision != 0 ? Result<wire::Tables>(*this->base) : this->options.change(*this->base);
      if (!made) return this->FailWith(made.error());
      this->wanted = std::move(made.value());
    }
    return this->Write();
  }

  Action On(const HistoryRead& event, Instant now) {
    if (!event.answer) return this->Retry(event.answer.error(), now);
    const bool for_base = !this->base;
    const std::uint64_t revision =
        for_base ? this->options.base_revision : this->options.rollback_to;
    if (!event.answer.value()) {
      return this->Fail(ErrorKind::kNotFound,
                        "revision " + std::to_string(revision) + " is not in the history");
    }
    auto decoded = Decode(event.answer.value()->bytes, "the history record");
    if (!decoded) return this->FailWith(decoded.error());
    (for_base ? this->base : this->wanted) = std::move(decoded.value());
    return this->Prepare();
  }

  Action Write() {
    auto merged = MergeTables(*this->base, *this->wanted, this->current);
    if (!merged) return this->FailWith(merged.error());
    if (DiffTables(this->current, merged.value()).empty()) {
      return Finish{.outcome = EditOutcome{.revision = this->current.revision(), .changed = false}};
    }
    if (const auto fault = FindTableFault(merged.value())) {
      return this->Fail(ErrorKind::kInvalidTable, DescribeFault(*fault));
    }
    this->next = this->current;
    SetContent(this->next, merged.value());
    this->SetEditMetadata();
    if (this->next.ByteSizeLong() > kMaxValueBytes) {
      return this->Fail(ErrorKind::kInvalidTable, "the tables would exceed 900,000 bytes");
    }
    if (this->current.revision() == 0) return this->Swap();
    return WriteHistory{.revision = this->current.revision(),
                        .bytes = this->current.SerializeAsString()};
  }

  void SetEditMetadata() {
    this->next.set_revision(this->current.revision() + 1);
    this->next.set_edit_id(this->options.edit_id);
    this->next.set_author(this->options.author);
    this->next.set_accepted_unix_ms(this->options.now_unix_ms);
    wire::RecentEdit& edit = *this->next.add_recent_edits();
    edit.set_edit_id(this->options.edit_id);
    edit.set_revision(this->next.revision());
    const int surplus = this->next.recent_edits_size() - kRecentEdits;
    if (surplus > 0) this->next.mutable_recent_edits()->DeleteSubrange(0, surplus);
  }

  Action Swap() const {
    return SwapTables{.bytes = this->next.SerializeAsString(), .expected = this->version};
  }

  // A history record is immutable, so it does not matter whether this write created it.
  Action On(const HistoryWritten& event, Instant now) {
    if (!event.answer) return this->Retry(event.answer.error(), now);
    return this->Swap();
  }

  Action On(const TablesSwapped& event, Instant now) {
    if (!event.answer) {
      if (event.answer.error().kind == ErrorKind::kWriteOutcomeUnknown) {
        this->unconfirmed_version = this->version;
        this->unconfirmed_revision = this->current.revision();
      }
      return this->Retry(event.answer.error(), now);
    }
    if (event.answer.value().written) {
      return Finish{.outcome =
                        EditOutcome{.revision = this->next.revision(),
                                    .merged = this->next.revision() > this->BaseRevision() + 1}};
    }
    return this->Retry(
        Error{.kind = ErrorKind::kEditConflict, .detail = "other edits were written first"}, now);
  }
};

TableEdit::TableEdit(TableEditOptions options, Random& random)
    : impl(new Impl{.options = std::move(options), .random = random}) {}
TableEdit::~TableEdit() = default;

TableEdit::Action TableEdit::Handle(const Event& event, Instant now) {
  return std::visit([this, now](const auto& typed) { return this->impl->On(typed, now); }, event);
}

}  // namespace savory
