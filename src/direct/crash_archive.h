// Keeps the refusals of requests in the platform's store, in case all entries lose their memory at
// once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "base/time.h"
#include "crashes/crash_record.h"

namespace savory {

class EventLoop;
class RecordStore;
struct CrashCause;

struct CrashArchiveOptions {
  Duration lifetime = std::chrono::minutes(10);     // of a refusal; also the store's longest lease
  Duration min_lifetime = std::chrono::seconds(5);  // a refusal that ends sooner isn't written
  Duration min_retry_delay = std::chrono::milliseconds(500);
  Duration max_retry_delay = std::chrono::seconds(5);
  int max_writes = 8;  // attempts for one request; the store may be away for longer
  // The last refusals that this process wrote are written again when the store lost them.
  std::size_t max_kept = 256;
};

// All calls on the loop's thread.
class CrashArchive {
 public:
  using Listener = std::function<void(const CrashRecord& record)>;

  // The references must outlive the object.
  CrashArchive(EventLoop& loop, RecordStore& store, CrashArchiveOptions options);
  ~CrashArchive();

  // Reads what the store has, until it has answered once, and passes each record to `listener`.
  void Load(Listener listener);
  // Writes what is known of one cause, in place of what was written of it before. The store forgets
  // it after `lifetime`.
  void Save(const CrashCause& cause, std::span<const CrashRecord> records);
  // The store has come back from an older copy, in this era. Writes again, once, what this process
  // wrote in earlier ones: it may be gone, and its lifetime may have ended.
  void OnEra(std::uint64_t era);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
