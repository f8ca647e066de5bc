// Refuses requests that end the upstreams that run them.
#pragma once

#include <functional>
#include <memory>
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
};

// Detects the ends of upstreams from the connections of this entry, and exchanges what it knows
// with the other entries. All calls on the loop's thread.
class CrashGuard {
 public:
  // Sends a record to another entry.
  using ForwardListener = std::function<void(const CrashForward& forward)>;
  // Called when crashes seen by this entry made it refuse a request, with all that it knows of it.
  using RefusalListener = std::function<void(std::span<const CrashRecord> records)>;

  // The references must outlive the object.
  CrashGuard(EventLoop& loop, Metrics& metrics, Random& random, CrashGuardOptions options);
  ~CrashGuard();

  void OnForward(ForwardListener listener);
  void OnRefusal(RefusalListener listener);

  // ---- from this entry's requests ----

  // The connection that the request was sent on ended before its answer was complete. `request_id`
  // is for the log.
  void OnConnectionLost(const UpstreamProcess& process, const Digest& request,
                        std::string_view request_id);
  void OnAnswered(std::string_view upstream, std::int64_t started_unix_ms);
  // The upstream answered the request completely.
  void OnServed(const Digest& request);
  void OnUpstreamListed(const UpstreamProcess& process);

  // Whether any request may be refused or is a suspect. If not, IsRefused() and OnServed() need not
  // be called, which saves the fingerprint.
  bool HasSuspects() const;
  bool IsRefused(const Digest& request) const;
  // Whether the request ran at an upstream that ended, and at two of them.
  bool IsSuspect(const Digest& request) const;
  bool IsStrongSuspect(const Digest& request) const;
  // Time until the request is accepted again.
  Duration RefusedFor(const Digest& request) const;

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
