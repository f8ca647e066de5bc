// State of the key-value service stand-in, without I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"

namespace savory::standins {

// A value and its version; the versions of a key only increase.
struct StoredValue {
  std::string bytes;
  std::uint64_t version = 0;
};

// Result of a compare-and-swap; `version` is the one after the call.
struct SwapResult {
  bool written = false;
  std::uint64_t version = 0;
};

// Values with compare-and-swap, and leases with fencing numbers. Not thread-safe.
class KvStore {
 public:
  // The service rejects larger values.
  static constexpr std::size_t kMaxValueBytes = 1'000'000;

  // nullptr when the key is absent.
  const StoredValue* Find(const std::string& key) const;
  std::uint64_t VersionOf(const std::string& key) const;

  // Writes only if the current version is `expected` (0: absent).
  SwapResult CompareAndSwap(const std::string& key, std::string bytes, std::uint64_t expected);

  // Returns the fencing number, which is higher than every earlier one of any lease; nullopt while
  // another holder has the lease. When the current holder acquires again, it gets a new number and
  // its old number becomes invalid.
  std::optional<std::uint64_t> Acquire(const std::string& name, const std::string& holder,
                                       Duration ttl, Instant now);
  // False when the lease has expired or belongs to another holder or number.
  bool Renew(const std::string& name, const std::string& holder, std::uint64_t fence, Duration ttl,
             Instant now);
  bool Release(const std::string& name, const std::string& holder, std::uint64_t fence,
               Instant now);

  // Number of leases held at `now`.
  std::size_t HeldLeases(Instant now) const;

 private:
  struct Lease {
    std::string holder;
    std::uint64_t fence = 0;
    Instant expires = {};
  };

  Lease* FindHeldLease(const std::string& name, const std::string& holder, std::uint64_t fence,
                       Instant now);

  std::map<std::string, StoredValue> values;
  std::map<std::string, Lease> leases;
  std::uint64_t last_fence = 0;
};

}  // namespace savory::standins
