#include "direct/crash_archive.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "base/log.h"
#include "crashes/crash_causes.h"
#include "crashes/crash_notice.h"
#include "records/record_store.h"
#include "runtime/event_loop.h"
#include "runtime/guarded.h"
#include "wire/savoryrouter.pb.h"

namespace savory {
namespace {

constexpr char kPrefix[] = "savoryrouter/crashes/";

std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

struct Written {
  std::string value;
  Instant ends = {};         // the refusal
  std::uint64_t number = 0;  // of the write; one that follows takes its place
  bool idle = false;         // no write is under way
  std::uint64_t era = 0;     // of the store that acknowledged it; 0 also if none did
};

}  // namespace

struct CrashArchive::Impl : GuardedCallbacks<CrashArchive::Impl> {
  EventLoop& loop;
  RecordStore& store;
  CrashArchiveOptions options;
  Listener listener = {};
  Duration retry_delay = {};
  std::map<std::string, Written> kept = {};  // by key
  std::uint64_t writes = 0;
  std::uint64_t era = 0;  // the newest that was named

  Impl(EventLoop& loop, RecordStore& store, CrashArchiveOptions options)
      : loop(loop), store(store), options(options), retry_delay(options.min_retry_delay) {}

  Duration NextDelay(Duration delay) const {
    return std::min(this->options.max_retry_delay, 2 * delay);
  }

  void List() {
    this->store.List(kPrefix, this->Guarded([this](const Result<RecordUpdate>& update) {
      if (!update) {
        this->loop.After(this->retry_delay, this->Guarded([this] { this->List(); }));
        this->retry_delay = this->NextDelay(this->retry_delay);
        return;
      }
      for (const Record& record : update.value().records) this->Decode(record);
      Log(LogLevel::kInfo, "crashes_loaded", {{"requests", update.value().records.size()}});
    }));
  }

  void Decode(const Record& record) {
    wire::CrashedRequest request;
    if (record.removed || !request.ParseFromString(record.value)) return;
    // Clocks of two machines differ, and may step.
    const auto since_written =
        std::chrono::milliseconds(std::max<std::int64_t>(0, UnixMs() - request.written_unix_ms()));
    for (const wire::CrashNotice& notice : request.crashes()) {
      CrashRecord crash = DecodeCrashNotice(notice);
      crash.age += since_written;
      this->listener(crash);
    }
  }

  void Keep(const std::string& key, std::string value) {
    const Instant ends = this->loop.Now() + this->options.lifetime;
    this->kept[key] = {.value = std::move(value), .ends = ends, .number = ++this->writes};
    std::erase_if(this->kept,
                  [now = this->loop.Now()](const auto& entry) { return entry.second.ends <= now; });
    if (this->kept.size() <= this->options.max_kept) return;
    this->kept.erase(std::ranges::min_element(
        this->kept, {}, [](const auto& entry) { return entry.second.number; }));
  }

  // Writes what is kept for `key` unless another write has taken the place of this one.
  void Write(const std::string& key, std::uint64_t number, int attempt, Duration delay) {
    const auto found = this->kept.find(key);
    if (found == this->kept.end() || found->second.number != number) return;
    const Duration lifetime = found->second.ends - this->loop.Now();
    if (lifetime < this->options.min_lifetime) return;
    this->store.Put(
        key, found->second.value, lifetime,
        this->Guarded([this, key, number, attempt, delay](const Result<std::uint64_t>& written) {
          if (written) return this->OnWritten(key, number, written.value());
          Log(LogLevel::kWarn, "crash_not_saved",
              {{"attempt", attempt}, {"reason", Describe(written.error())}});
          if (attempt >= this->options.max_writes) return this->OnGivenUp(key, number);
          this->loop.After(delay, this->Guarded([this, key, number, attempt, delay] {
            this->Write(key, number, attempt + 1, this->NextDelay(delay));
          }));
        }));
  }

  void OnWritten(const std::string& key, std::uint64_t number, std::uint64_t era) {
    const auto found = this->kept.find(key);
    if (found == this->kept.end() || found->second.number != number) return;
    found->second.idle = true;
    found->second.era = era;
    // The answer came after the news that the store has come back without the record.
    if (era < this->era) this->WriteAgain(key, found->second);
  }

  void OnGivenUp(const std::string& key, std::uint64_t number) {
    const auto found = this->kept.find(key);
    if (found != this->kept.end() && found->second.number == number) found->second.idle = true;
  }

  void WriteAgain(const std::string& key, Written& written) {
    written.idle = false;
    written.number = ++this->writes;
    Log(LogLevel::kInfo, "crash_saved_again", {{"key", key}, {"era", this->era}});
    this->Write(key, written.number, 1, this->options.min_retry_delay);
  }

  void OnEra(std::uint64_t era) {
    if (era <= this->era) return;
    this->era = era;
    // A write that is under way is tried again anyway unless it succeeds.
    for (auto& [key, written] : this->kept) {
      if (written.idle && written.era < era) this->WriteAgain(key, written);
    }
  }
};

CrashArchive::CrashArchive(EventLoop& loop, RecordStore& store, CrashArchiveOptions options)
    : impl(std::make_shared<Impl>(loop, store, options)) {}
CrashArchive::~CrashArchive() = default;

void CrashArchive::Load(Listener listener) {
  this->impl->listener = std::move(listener);
  this->impl->List();
}

void CrashArchive::Save(const CrashCause& cause, std::span<const CrashRecord> records) {
  if (records.empty()) return;
  wire::CrashedRequest request;
  request.set_written_unix_ms(UnixMs());
  for (const CrashRecord& record : records) EncodeCrashNotice(record, *request.add_crashes());
  const std::string key = kPrefix + cause.all_of.front().Hex();
  this->impl->Keep(key, request.SerializeAsString());
  this->impl->Write(key, this->impl->writes, 1, this->impl->options.min_retry_delay);
}

void CrashArchive::OnEra(std::uint64_t era) { this->impl->OnEra(era); }

}  // namespace savory
