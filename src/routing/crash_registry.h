// Requests that crash the upstreams that run them.
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
  std::uint32_t crash_threshold = 2;                     // distinct ones, then it is refused
  Duration refusal_duration = std::chrono::minutes(10);  // after the latest distinct crash
  std::uint32_t fan_out = 4;                             // members a new record is forwarded to
  std::uint32_t max_hops = 6;                            // of a record between members
  std::size_t max_fingerprints = 10'000;                 // the oldest is forgotten first
  std::uint32_t max_records = 8;                         // kept of one fingerprint
};

// One crash: `upstream_incarnation` of the upstream on `vm` ended while a request with
// `fingerprint` ran.
struct CrashRecord {
  Digest fingerprint = {};
  std::string vm = {};
  std::uint64_t upstream_incarnation = 0;
  std::uint32_t hops = 0;  // forwards so far; 0 from the agent that saw the crash

  auto operator<=>(const CrashRecord&) const = default;
};

// ---- events ----

// A record arrived from an agent or from a member.
struct CrashRecordReceived {
  CrashRecord record;
};
// Peer addresses of the live members that take records, without this process.
struct CrashPeersChanged {
  std::vector<std::string> peers;
};
// Forgets what has expired. Send it every second.
struct CrashTick {};

using CrashEvent = std::variant<CrashRecordReceived, CrashPeersChanged, CrashTick>;

// ---- actions ----

// Send `record` to `peer` as a CrashNotice.
struct CrashForward {
  std::string peer;
  CrashRecord record;
};

using CrashAction = std::variant<CrashForward>;

// Knows the fingerprints of requests that crashed upstreams. A fingerprint with two distinct
// crashes is refused for ten minutes; requests with other fingerprints are unaffected, also those
// of the same account. A record that is new here is forwarded to random members.
class CrashRegistry {
 public:
  // `random` must outlive this object.
  CrashRegistry(CrashRegistryOptions options, Random& random);

  std::vector<CrashAction> Handle(const CrashEvent& event, Instant now);

  // True while requests with `fingerprint` are to be refused (kRequestCrashesUpstream).
  bool IsRefused(const Digest& fingerprint, Instant now) const;

  // Fingerprints with at least one record.
  std::size_t Fingerprints() const;

 private:
  struct Entry {
    Digest fingerprint;
    std::vector<CrashRecord> records;
    Instant expires;
  };
  using Entries = std::list<Entry>;

  std::vector<CrashAction> Add(const CrashRecord& record, Instant now);
  Entry& EntryFor(const Digest& fingerprint, Instant now);
  std::vector<CrashAction> Forward(CrashRecord record);
  void Expire(Instant now);

  CrashRegistryOptions options;
  Random& random;
  std::vector<std::string> peers;
  Entries entries;  // earliest expiry first
  std::unordered_map<Digest, Entries::iterator> by_fingerprint;
};

}  // namespace savory
