// Refuses requests that end the upstreams that run them.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"
#include "crashes/crash_registry.h"
#include "crashes/upstream_end_detector.h"

namespace savory {

class EventLoop;
class Metrics;

struct CrashGuardOptions {
  CrashRegistryOptions registry = {};
  UpstreamEndDetectorOptions detector = {};
  Duration probe_timeout = std::chrono::milliseconds(400);
  // Time between the loss of a connection and the probe. A process that ends closes its connections
  // and its listening socket in any order.
  Duration probe_delay = std::chrono::milliseconds(20);
  Duration report_delay = std::chrono::milliseconds(10);  // from a record to the log and the store
  std::size_t max_part_ids = 1024;                        // remembered for logs and operators
};

// Detects the ends of upstreams from the connections of this entry, and exchanges what it knows
// with the other entries. All calls on the loop's thread.
class CrashGuard {
 public:
  // Sends a record to another entry.
  using ForwardListener = std::function<void(const CrashForward& forward)>;
  // Called with what must outlive all entries: a new refusal and its evidence, or one that an
  // operator lifted and what clears it. Only one of the entries that know of it is called, as a
  // rule.
  using SaveListener =
      std::function<void(const CrashCause& cause, std::span<const CrashRecord> records)>;
  using ChangeListener = std::function<void()>;

  // The references must outlive the object.
  CrashGuard(EventLoop& loop, Metrics& metrics, Random& random, CrashGuardOptions options);
  ~CrashGuard();

  void OnForward(ForwardListener listener);
  void OnSave(SaveListener listener);
  // Called soon after further requests are refused.
  void OnRefusal(ChangeListener listener);

  // ---- from this entry's requests ----

  // A request arrived whose prompt has these parts, which others may share.
  void OnArrived(std::span<const Digest> parts);
  // The connection that the request was sent on ended before its answer was complete. `request_id`
  // and `part_ids` are for the log. `was_replaced`: a later start has taken the place of `process`.
  void OnConnectionLost(const UpstreamProcess& process, const CrashSuspect& request,
                        std::string_view request_id, std::span<const std::string> part_ids,
                        bool was_replaced);
  void OnAnswered(std::string_view upstream, std::int64_t started_unix_ms);
  // The upstream answered the request completely, or has streamed its answer for a while. The
  // fingerprint may be left out if HasSuspects() is false.
  void OnServed(const CrashSuspect& request);
  void OnUpstreamListed(const UpstreamProcess& process);

  // Whether any request may be refused or is a suspect. If not, the calls below need not be made,
  // which saves the fingerprint.
  bool HasSuspects() const;
  bool IsRefused(const CrashSuspect& request) const;
  // The refusal of the request; nullopt if it is not refused.
  std::optional<CrashRefusal> RefusalOf(const CrashSuspect& request) const;
  // Whether the request, or a part of its prompt, ran at an upstream that ended without a known
  // cause.
  bool IsSuspect(const CrashSuspect& request) const;
  // Those of its digests that ran at two of them.
  std::vector<Digest> StrongSuspicions(const CrashSuspect& request) const;

  // ---- operators ----

  // See RenderRefusals() in crashes/refusal_report.h.
  std::string RenderRefusals() const;
  // Ids of the cause's parts, as far as this entry has seen them; otherwise empty.
  std::string PartIds(const CrashCause& cause) const;
  // Accepts these requests again, at all entries. Returns false if no refusal has that name.
  bool Lift(std::string_view cause_name);

  // ---- from other entries and the store ----

  void AddRecord(const CrashRecord& record);
  void SetPeers(std::vector<std::string> peers);
  void OnPeerDigest(const std::string& peer, std::uint64_t digest);
  // See CrashRegistry::SharedDigest().
  std::uint64_t SharedDigest() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
