// Reads weights and manifests from the origin.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "distribution/manifest.h"
#include "distribution/verified_chunk.h"

namespace savory {

class Workers;

// Result of reading one chunk. Exactly one of `chunk` and `error` is set.
struct OriginRead {
  std::optional<VerifiedChunk> chunk = {};
  // kDigestMismatch: the origin holds other bytes. kRateLimitedByStore: `retry_after` is set. Any
  // other: the origin is unavailable or does not hold the weights.
  std::optional<Error> error = {};
  std::uint64_t bytes = 0;  // received, also by failed reads
  std::string etag = {};    // identifies the content that was read
};

// Calls run on worker threads. All methods must be called on the event loop's thread, where `done`
// runs as well.
class OriginClient {
 public:
  // `address` is IP:PORT.
  OriginClient(Workers& workers, std::string address);
  ~OriginClient();

  void ReadChunk(std::shared_ptr<const Manifest> manifest, std::uint32_t chunk,
                 std::function<void(OriginRead)> done);

  // Errors: kDigestMismatch, kMalformed, kNotFound, kUnavailable, kTimeout.
  void ReadManifest(const Digest& digest, std::function<void(Result<Manifest>)> done);

  // The ETag of the weights `name`. Reads one byte.
  void ReadETag(const std::string& name, std::function<void(Result<std::string>)> done);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
