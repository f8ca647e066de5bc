// Entry process that reaches upstreams directly: wires its components together.
#pragma once

#include <memory>

#include "direct/entry_settings.h"

namespace savory {

class EventLoop;
class Metrics;
class RecordCodec;
class RecordStore;
class RelayCodec;

// Codecs and services of the platform.
struct DirectEntryAdapter {
  const RelayCodec& requests;
  const RecordCodec& records;
  RecordStore& store;
  // Path of the load balancer's readiness check, served at the ready address.
  std::string ready_path;
};

class DirectEntry {
 public:
  // The references must outlive the entry.
  DirectEntry(EventLoop& loop, Metrics& metrics, DirectEntrySettings settings,
              DirectEntryAdapter adapter);
  ~DirectEntry();

  // Serves until SIGTERM and the drain that follows; returns the exit status.
  int Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
