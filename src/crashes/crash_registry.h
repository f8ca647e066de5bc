// Detects requests that crash the upstreams that run them.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"
#include "crashes/crash_record.h"

namespace savory {

struct CrashRegistryOptions {
  // Distinct crashes after which a request is refused, if no other request explains one of them as
  // well.
  std::uint32_t crash_threshold = 2;
  std::uint32_t certain_threshold = 3;  // distinct crashes after which it is refused anyway
  Duration refusal_duration = std::chrono::minutes(10);  // from the last recorded crash
  std::uint32_t fan_out = 4;   // random entries that a new record is sent to
  std::uint32_t max_hops = 6;  // maximum forwards of a record along one path
  // With at most this many other entries, the one that detects a crash sends the record to all of
  // them, and they do not forward it. Not in use if entries do not compare their digests, which
  // makes up for lost messages.
  std::size_t max_direct_peers = 64;
  std::size_t max_fingerprints = 10'000;  // the first to expire is dropped
  std::uint32_t max_records = 8;          // crashes recorded for each fingerprint
  // Address of this entry among its peers. Without it, entries do not compare their digests.
  std::string self = {};
  std::size_t resync_peers = 4;  // entries that send a peer what it lacks
  std::size_t max_resync_records = 1024;
};

// ---- events ----

// A record arrived from an agent, from another entry or from the store, or a crash was detected
// here.
struct CrashRecordReceived {
  CrashRecord record;
};
// A request was answered completely by an upstream.
struct RequestServed {
  Digest fingerprint = {};
};
// The addresses of the other entries that are alive.
struct CrashPeersChanged {
  std::vector<std::string> peers;
};
// Another entry reports its CrashRegistry::SharedDigest().
struct CrashDigestReceived {
  std::string peer;
  std::uint64_t digest = 0;
};
// Removes expired records, as every event does. Should be sent at least every second.
struct CrashTick {};

using CrashEvent = std::variant<CrashRecordReceived, RequestServed, CrashPeersChanged,
                                CrashDigestReceived, CrashTick>;

// ---- actions ----

// Sends `record` to `peer` as a CrashNotice.
struct CrashForward {
  std::string peer;
  CrashRecord record;
};

using CrashAction = std::variant<CrashForward>;

// Records the fingerprints of requests that were running when upstreams ended. All requests that
// ran at that moment are suspects of the crash. A request is refused for ten minutes after two
// distinct crashes, unless another suspect of one of them has as many crashes; then after three.
// One that is answered completely is no suspect of earlier crashes. Each record that is new to this
// registry is sent to all other entries, or in a large fleet forwarded to random ones, so that it
// spreads to all of them; entries that missed some, as they were restarted, paused or cut off, get
// them from a few others when their digests differ.
class CrashRegistry {
 public:
  // `random` must outlive this object.
  CrashRegistry(CrashRegistryOptions options, Random& random);
  CrashRegistry(const CrashRegistry&) = delete;
  CrashRegistry& operator=(const CrashRegistry&) = delete;

  std::vector<CrashAction> Handle(const CrashEvent& event, Instant now);

  // Whether requests with `fingerprint` must be refused with kRequestCrashesUpstream.
  bool IsRefused(const Digest& fingerprint, Instant now) const;
  // When the refusal ends; `now` if the request is not refused.
  Instant RefusalEnd(const Digest& fingerprint, Instant now) const;
  // Number of distinct crashes of which the request is a suspect.
  std::size_t CrashesOf(const Digest& fingerprint, Instant now) const;
  // The crashes of `fingerprint`, as they would be forwarded.
  std::vector<CrashRecord> RecordsOf(const Digest& fingerprint, Instant now) const;

  // Digest of all fingerprints with so many crashes that they may be refused; 0 if there are none.
  std::uint64_t SharedDigest(Instant now) const;
  // The number of fingerprints with at least one record.
  std::size_t Fingerprints() const;

 private:
  struct Crash {
    std::string upstream;
    std::uint64_t incarnation = 0;
    Instant at = {};
  };
  struct CrashHistory {
    Digest fingerprint;
    std::vector<Crash> crashes = {};
    Instant served_at = {};  // last complete answer; epoch: none
    Instant expires = {};
  };
  using CrashHistories = std::list<CrashHistory>;
  using UpstreamIncarnation = std::pair<std::string, std::uint64_t>;

  std::vector<CrashAction> AddCrash(const CrashRecord& record, Instant now);
  std::vector<CrashAction> AddServed(const CrashRecord& record, Instant now);
  std::vector<CrashAction> Resync(const CrashDigestReceived& received, Instant now);
  // Whether another suspect of one of the crashes has as many crashes.
  bool HasOtherSuspect(const CrashHistory& history, Instant now) const;
  const CrashHistory* Find(const Digest& fingerprint, Instant now) const;
  CrashHistory& HistoryFor(const Digest& fingerprint);
  void Drop(CrashHistories::iterator history);
  void ForgetSuspect(const Crash& crash, const Digest& fingerprint);
  std::vector<CrashAction> Forward(CrashRecord record);
  // Whether this entry is one of those that send `peer` what it lacks.
  bool IsResponsibleFor(const std::string& peer) const;
  std::vector<CrashRecord> RecordsOf(const CrashHistory& history, Instant now) const;
  void Expire(Instant now);

  CrashRegistryOptions options;
  Random& random;
  std::vector<std::string> peers;
  CrashHistories histories;  // in the order of their last records
  std::unordered_map<Digest, CrashHistories::iterator> by_fingerprint;
  std::map<UpstreamIncarnation, std::vector<Digest>> suspects;  // fingerprints by crash
  // Digests of peers that differed from this entry's when they last reported them.
  std::map<std::string, std::uint64_t> differing;
};

}  // namespace savory
