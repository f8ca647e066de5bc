// An entry that reaches upstreams directly: composition of its parts.
#pragma once

#include <memory>

#include "direct/entry_settings.h"

namespace savory {

class EventLoop;
class Metrics;
class RecordCodec;
class RecordStore;
class RelayCodec;

// What an adapter to a platform provides.
struct DirectEntryAdapter {
  const RelayCodec& requests;
  const RecordCodec& records;
  RecordStore& store;
  // Path that the load balancer asks at the ready address.
  std::string ready_path;
};

class DirectEntry {
 public:
  // The references must outlive the entry.
  DirectEntry(EventLoop& loop, Metrics& metrics, DirectEntrySettings settings,
              DirectEntryAdapter adapter);
  ~DirectEntry();

  // Listens and serves until SIGTERM; returns the exit status.
  int Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
