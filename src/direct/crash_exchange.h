// Exchanges what entries know of requests that end upstreams: with each other and with the store.
#pragma once

#include "direct/crash_archive.h"

namespace savory {

class CrashGuard;
class EntryLinks;
class EventLoop;
class PeerTransport;
class RecordStore;

class CrashExchange {
 public:
  // The references must outlive the object.
  CrashExchange(EventLoop& loop, PeerTransport& peers, EntryLinks& links, RecordStore& store,
                CrashGuard& crashes);

  // Call once, before the links start.
  void Start();
  // See CrashArchive::OnEra().
  void OnStoreEra(std::uint64_t era) { this->archive.OnEra(era); }

 private:
  PeerTransport& peers;
  EntryLinks& links;
  CrashGuard& crashes;
  CrashArchive archive;
};

}  // namespace savory
