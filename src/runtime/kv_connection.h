// Blocking client of the platform's key-value service.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace savory {

// A value and its version; the versions of a key only increase.
struct KvValue {
  std::string bytes;
  std::uint64_t version = 0;
};

// Result of a compare-and-swap whose reply was received.
struct KvSwap {
  bool written = false;
  std::uint64_t version = 0;  // of the key after the call, whether or not this call wrote it
};

// Blocks: call it from Workers or from a command-line tool. One object for each
// thread.
class KvConnection {
 public:
  KvConnection(std::string address, Duration timeout);
  ~KvConnection();

  // The value of `key`, or nullopt when it is absent. Errors: kUnavailable,
  // kTimeout.
  Result<std::optional<KvValue>> Read(std::string_view key);

  // Waits up to `wait` for a version above `after`; nullopt when there was none
  // in time. Errors: kUnavailable, kTimeout.
  Result<std::optional<KvValue>> Watch(std::string_view key, std::uint64_t after, Duration wait);

  // Writes `bytes` when the version is `expected` (0: the key is absent).
  // Errors: kUnavailable (certainly not written), kWriteOutcomeUnknown.
  Result<KvSwap> CompareAndSwap(std::string_view key, std::string_view bytes,
                                std::uint64_t expected);

  // Acquires the lease `name`; returns its fencing token.
  // Errors: kLeaseHeld, kUnavailable, kWriteOutcomeUnknown.
  Result<std::uint64_t> AcquireLease(std::string_view name, std::string_view holder, Duration ttl);
  // Errors: kLeaseLost, kUnavailable, kWriteOutcomeUnknown.
  Result<void> RenewLease(std::string_view name, std::string_view holder, std::uint64_t fence,
                          Duration ttl);
  // Errors: kLeaseLost, kUnavailable, kWriteOutcomeUnknown.
  Result<void> ReleaseLease(std::string_view name, std::string_view holder, std::uint64_t fence);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
