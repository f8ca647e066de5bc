// Detects requests that crash the upstreams that run them.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"
#include "crashes/crash_causes.h"
#include "crashes/crash_record.h"
#include "crashes/crash_suspect.h"
#include "crashes/part_shares.h"
#include "crashes/sound_parts.h"

namespace savory {

struct CrashRegistryOptions {
  CrashCauseOptions causes = {};
  Duration refusal_duration = std::chrono::minutes(10);  // from the last recorded crash
  // After a refusal for a part of a prompt, only one entry accepts requests with it for this time.
  // Otherwise each entry might end an upstream to learn that the part still does.
  Duration trial_duration = std::chrono::minutes(10);
  // A part that was answered so shortly before a crash did not cause it.
  Duration sound_before_crash = std::chrono::seconds(2);
  SoundPartsOptions sound_parts = {};
  PartSharesOptions part_shares = {};
  std::uint32_t fan_out = 4;   // random entries that a new record is sent to
  std::uint32_t max_hops = 6;  // maximum forwards of a record along one path
  // With at most this many other entries, the one that detects a crash sends the record to all of
  // them, and they do not forward it. Not in use if entries do not compare their digests, which
  // makes up for lost messages.
  std::size_t max_direct_peers = 64;
  // Fingerprints and parts. Those with one crash are dropped first, the oldest before the others.
  std::size_t max_fingerprints = 10'000;
  std::size_t max_records = 64;     // crashes recorded for each fingerprint
  std::size_t max_candidates = 64;  // compared as causes, those with the most crashes
  // With more fingerprints than this that have two crashes, the causes are looked for again only
  // after this period, so that many crashes at once do not delay requests.
  std::size_t max_immediate_candidates = 32;
  Duration update_period = std::chrono::milliseconds(100);
  // Address of this entry among its peers. Without it, entries do not compare their digests.
  std::string self = {};
  std::size_t resync_peers = 4;  // entries that send a peer what it lacks
  std::size_t max_resync_records = 1024;
  // Crashes of a refusal that Evidence() returns.
  std::size_t max_evidence = 8;
};

// Why requests are refused.
struct CrashRefusal {
  CrashCause cause = {};
  Instant end = {};
};

// ---- events ----

// A record arrived from an agent, from another entry or from the store, or a crash was detected
// here.
struct CrashRecordReceived {
  CrashRecord record;
};
// An upstream answered a request completely, or has streamed its answer for a while.
struct RequestServed {
  Digest fingerprint = {};
  std::vector<Digest> parts = {};
};
// An operator ends the refusal of requests that have `all_of`.
struct RefusalLifted {
  std::vector<Digest> all_of;
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
// Removes expired records. Should be sent at least every second.
struct CrashTick {};

using CrashEvent = std::variant<CrashRecordReceived, RequestServed, RefusalLifted,
                                CrashPeersChanged, CrashDigestReceived, CrashTick>;

// ---- actions ----

// Sends `record` to `peer` as a CrashNotice.
struct CrashForward {
  std::string peer;
  CrashRecord record;
};

using CrashAction = std::variant<CrashForward>;

// Records which requests, with which parts of their prompts, were running when upstreams ended. All
// of them are suspects of the crash; FindCrashCauses() tells which fingerprints and parts explain
// the crashes. Requests that have one are refused for ten minutes. An answer clears a request, and
// the parts of its prompt, of earlier crashes. Parts that this entry has seen answered shortly
// before a crash are no suspects of it; if another entry suspects one, it is told. Each record that
// is new to this registry is sent to all other entries, or in a large fleet forwarded to random
// ones, so that it spreads to all of them; entries that missed some, as they were restarted, paused
// or cut off, get them from a few others when their digests differ.
class CrashRegistry {
 public:
  // `random` must outlive this object.
  CrashRegistry(CrashRegistryOptions options, Random& random);
  CrashRegistry(const CrashRegistry&) = delete;
  CrashRegistry& operator=(const CrashRegistry&) = delete;

  std::vector<CrashAction> Handle(const CrashEvent& event, Instant now);
  // A request with these parts arrived at this entry, whether it is refused or not.
  void CountRequest(std::span<const Digest> parts) { this->part_shares.Add(parts); }

  // Whether the request must be refused with kRequestCrashesUpstream.
  bool IsRefused(const CrashSuspect& request, Instant now) const;
  bool IsRefused(const Digest& fingerprint, Instant now) const;
  // The refusal of the request that ends last; nullopt if it is not refused.
  std::optional<CrashRefusal> RefusalOf(const CrashSuspect& request, Instant now) const;
  // When the refusal ends; `now` if the request is not refused.
  Instant RefusalEnd(const Digest& fingerprint, Instant now) const;
  std::vector<CrashRefusal> Refusals(Instant now) const;
  // Grows each time the causes are looked for. Otherwise refusals change by time only.
  std::uint64_t CauseUpdates() const { return this->cause_updates; }
  // Whether this entry acts for all: it saves the refusal, and accepts requests again first.
  bool RanksFirst(const CrashCause& cause) const;
  // The last crashes that the cause of a refusal explains, one record for each, as they would be
  // forwarded.
  std::vector<CrashRecord> Evidence(const CrashCause& cause, Instant now) const;

  // Whether the request, or a part of its prompt, is a suspect of a crash without a known cause.
  bool IsSuspect(const CrashSuspect& request, Instant now) const;
  // Those of its digests that are suspects of two such crashes.
  std::vector<Digest> StrongSuspicions(const CrashSuspect& request) const;

  // Digest of all fingerprints and parts with so many crashes that they may be refused; 0 if there
  // are none.
  std::uint64_t SharedDigest(Instant now) const;
  // The number of fingerprints and parts with at least one record.
  std::size_t Fingerprints() const;

 private:
  struct Crash {
    UpstreamIncarnation process;
    Instant at = {};
  };
  // Of a fingerprint or a part.
  struct CrashHistory {
    Digest digest;
    bool is_part = false;
    bool is_strong = false;  // which list it is in
    std::vector<Crash> crashes = {};
    Instant served_at = {};  // last answer; epoch: none
    Instant refused_until = {};
    Instant expires = {};
  };
  using CrashHistories = std::list<CrashHistory>;

  // Older records are ignored.
  Duration MaxAge(const CrashRecord& record) const;
  std::vector<CrashAction> AddCrash(CrashRecord record, Instant now);
  // Records a crash of one fingerprint or part. Returns whether it is new.
  bool AddCrashOf(const Digest& digest, bool is_part, const UpstreamIncarnation& process,
                  Instant at);
  void AddSuspect(const CrashRecord& record);
  // Removes from the record the parts that were answered around the crash, and returns what the
  // others must know of them.
  std::vector<CrashAction> DropSoundParts(CrashRecord& record, Instant now);
  std::vector<CrashAction> AddServed(const CrashRecord& record, Instant now);
  std::vector<CrashAction> AddAnswer(const RequestServed& served, Instant now);
  std::vector<CrashAction> Lift(const RefusalLifted& lifted, Instant now);
  std::vector<CrashAction> Resync(const CrashDigestReceived& received, Instant now);
  // Removes the crashes that the answer disproves. Returns whether there are any.
  bool ClearCrashes(const Digest& digest, Instant answered);
  // What other entries need to refuse, and accept, the same requests.
  std::vector<CrashRecord> RecordsToShare(Instant now) const;
  static const Crash* FindCrash(const CrashHistory& history, const UpstreamIncarnation& process);
  const CrashHistory* Find(const Digest& digest, Instant now) const;
  CrashHistories::iterator HistoryFor(const Digest& digest, bool is_part);
  // Whether it has so many crashes that it may be refused.
  bool MayBeRefused(const CrashHistory& history) const;
  // Moves the history to the end of the list that it belongs to.
  void Relist(CrashHistories::iterator row);
  void Drop(CrashHistories::iterator row);
  void ForgetSuspect(const Crash& crash, const CrashHistory& history);
  std::vector<CrashAction> Forward(CrashRecord record);
  // Whether this entry is one of those that send `peer` what it lacks.
  bool IsResponsibleFor(const std::string& peer) const;
  bool Applies(const CrashRefusal& refusal, Instant now) const;
  Instant CrashedAt(const UpstreamIncarnation& process, const CrashCause& cause, Instant now) const;
  void UpdateCauses(Instant now);
  void Expire(Instant now);

  CrashRegistryOptions options;
  Random& random;
  std::vector<std::string> peers;
  // In the order of their last records: with one crash, and with more.
  CrashHistories weak;
  CrashHistories strong;
  std::unordered_map<Digest, CrashHistories::iterator> by_digest;
  CrashSuspects suspects;
  SoundParts sound_parts;
  PartShares part_shares;
  bool causes_outdated = false;
  Instant next_update = {};
  std::uint64_t cause_updates = 0;
  CrashCauses causes;
  std::vector<CrashRefusal> refusals;  // of `causes.proved`
  // Digests of peers that differed from this entry's when they last reported them.
  std::map<std::string, std::uint64_t> differing;
};

}  // namespace savory
