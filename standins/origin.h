// The origin stand-in: rate, counters and faults of transfers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace savory::standins {

class OriginFile;
class StandinServer;

struct OriginOptions {
  std::string dir = ".";    // with weights/NAME and manifests/DIGEST
  double rate = 0;          // bytes per second of all transfers together; 0: no limit
  int max_connections = 0;  // transfers at the same time; 0: no limit
  int retry_after_s = 1;    // Retry-After of an answer 429
};

// Faults injected into one transfer.
struct TransferFault {
  bool corrupt = false;
  bool stall = false;
};

// Part of a file, in bytes.
struct ByteRange {
  std::uint64_t offset = 0;
  std::uint64_t length = 0;
};

// Sends bytes to the caller; returns false when the caller has disconnected.
using ByteSink = std::function<bool(std::string_view block)>;

// Thread-safe.
class Origin {
 public:
  explicit Origin(OriginOptions options);
  ~Origin();

  void Mount(StandinServer& server);

  // Writes a range of `file` at the origin's rate and counts the bytes that `write` accepted.
  // Returns false when the transfer was aborted.
  bool SendRange(const OriginFile& file, TransferFault fault, ByteRange range,
                 const ByteSink& write);

  // bytes_sent (of weights), requests, active, refused, manifest_bytes, manifest_requests.
  nlohmann::json Stats() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory::standins
