#include "direct/crash_archive.h"

#include <algorithm>
#include <chrono>
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

}  // namespace

struct CrashArchive::Impl : GuardedCallbacks<CrashArchive::Impl> {
  EventLoop& loop;
  RecordStore& store;
  CrashArchiveOptions options;
  Listener listener = {};
  Duration retry_delay = {};

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

  void Write(const std::string& key, const std::string& value, int attempt, Duration delay) {
    this->store.Put(key, value, this->options.lifetime,
                    this->Guarded([this, key, value, attempt, delay](const Result<void>& written) {
                      if (written) return;
                      Log(LogLevel::kWarn, "crash_not_saved",
                          {{"attempt", attempt}, {"reason", Describe(written.error())}});
                      if (attempt >= this->options.max_writes) return;
                      this->loop.After(delay, this->Guarded([this, key, value, attempt, delay] {
                        this->Write(key, value, attempt + 1, this->NextDelay(delay));
                      }));
                    }));
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
  this->impl->Write(kPrefix + cause.all_of.front().Hex(), request.SerializeAsString(), 1,
                    this->impl->options.min_retry_delay);
}

}  // namespace savory
