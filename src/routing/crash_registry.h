// Detects requests that crash the upstreams that run them.
#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"

namespace savory {

struct CrashRegistryOptions {
  std::uint32_t crash_threshold = 2;  // distinct crashes after which a request is refused
  Duration refusal_duration = std::chrono::minutes(10);  // from the last recorded crash
  std::uint32_t fan_out = 4;              // random entries that a new record is sent to
  std::uint32_t max_hops = 6;             // maximum forwards of a record along one path
  std::size_t max_fingerprints = 10'000;  // the first to expire is dropped
  std::uint32_t max_records = 8;          // crashes recorded for each fingerprint
};

// A crash of the upstream on `vm`, in its incarnation `upstream_incarnation`, while a request with
// `fingerprint` was running.
struct CrashRecord {
  Digest fingerprint = {};
  std::string vm = {};
  std::uint64_t upstream_incarnation = 0;
  std::uint32_t hops = 0;  // times forwarded; 0 from the agent that detected the crash

  auto operator<=>(const CrashRecord&) const = default;
};

// ---- events ----

// A record arrived from an agent or from another entry.
struct CrashRecordReceived {
  CrashRecord record;
};
// The addresses of the other entries that are alive.
struct CrashPeersChanged {
  std::vector<std::string> peers;
};
// Removes expired records, as every event does. Should be sent at least every second.
struct CrashTick {};

using CrashEvent = std::variant<CrashRecordReceived, CrashPeersChanged, CrashTick>;

// ---- actions ----

// Sends `record` to `peer` as a CrashNotice.
struct CrashForward {
  std::string peer;
  CrashRecord record;
};

using CrashAction = std::variant<CrashForward>;

// Records the fingerprints of requests that crashed upstreams. Requests with a fingerprint that
// caused two distinct crashes are refused for ten minutes. Other requests, also of the same
// account, are unaffected. Each record that is new to this registry is forwarded to random entries,
// so that it spreads to all of them.
class CrashRegistry {
 public:
  // `random` must outlive this object.
  CrashRegistry(CrashRegistryOptions options, Random& random);

  std::vector<CrashAction> Handle(const CrashEvent& event, Instant now);

  // Whether requests with `fingerprint` must be refused with kRequestCrashesUpstream.
  bool IsRefused(const Digest& fingerprint, Instant now) const;

  // The number of fingerprints with at least one record.
  std::size_t Fingerprints() const;

 private:
  struct CrashHistory {
    Digest fingerprint;
    std::vector<CrashRecord> records;
    Instant expires;
  };
  using CrashHistories = std::list<CrashHistory>;

  std::vector<CrashAction> Add(const CrashRecord& record, Instant now);
  CrashHistory& HistoryFor(const Digest& fingerprint, Instant now);
  std::vector<CrashAction> Forward(CrashRecord record);
  void Expire(Instant now);

  CrashRegistryOptions options;
  Random& random;
  std::vector<std::string> peers;
  CrashHistories histories;  // earliest expiry first
  std::unordered_map<Digest, CrashHistories::iterator> by_fingerprint;
};

}  // namespace savory
