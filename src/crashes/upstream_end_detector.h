// Tells the end of an upstream's process from the loss of a connection to it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "crashes/crash_record.h"
#include "crashes/crash_suspect.h"

namespace savory {

struct UpstreamEndDetectorOptions {
  // How long a later start of the upstream may confirm that it ended. The platform lists a
  // restarted upstream within a few seconds.
  Duration confirmation_time = std::chrono::seconds(8);
  std::size_t max_upstreams = 256;  // suspected at a time; further ones are ignored
  std::size_t max_requests = 64;    // remembered for each of them
};

// One start of an upstream, as requests were sent to it.
struct UpstreamProcess {
  std::string id;
  std::string address;               // IP:PORT
  std::int64_t started_unix_ms = 0;  // 0: unknown
};

// Result of a connection attempt to the upstream's address.
enum class ProbeResult {
  kRefused,    // nothing listens there: the process has ended
  kAccepted,   // it lives, or was restarted already
  kUndecided,  // no answer: its machine may be cut off
};

// ---- actions ----

// Try to connect to the upstream and pass on the result with OnProbed().
struct ProbeUpstreamProcess {
  UpstreamProcess process;
};
// The process ended while the requests ran.
struct UpstreamEnded {
  UpstreamProcess process;
  std::string_view evidence;  // for the log
  std::vector<CrashRecord> suspects = {};
};

using UpstreamEndAction = std::variant<ProbeUpstreamProcess, UpstreamEnded>;

// A connection also ends by a reset, by a cut, or by an upstream that closes it. So the requests
// whose connections ended become suspects only if the upstream refuses new connections, or a later
// start of it appears. An answer of the same process clears them. Performs no I/O.
class UpstreamEndDetector {
 public:
  explicit UpstreamEndDetector(UpstreamEndDetectorOptions options = {}) : options(options) {}

  // The connection that `request` was sent on ended before its answer was complete.
  std::vector<UpstreamEndAction> OnConnectionLost(const UpstreamProcess& process,
                                                  const CrashSuspect& request, Instant now);
  // The same, but a later start is listed already: the process has ended.
  std::vector<UpstreamEndAction> OnLostAfterEnd(const UpstreamProcess& process,
                                                const CrashSuspect& request, Instant now);
  std::vector<UpstreamEndAction> OnProbed(const UpstreamProcess& process, ProbeResult result,
                                          Instant now);
  // The upstream is listed. Confirms the end of earlier starts with its id or address.
  std::vector<UpstreamEndAction> OnListed(const UpstreamProcess& process, Instant now);
  // The process answered a request. That counts once it has been probed: answers that it sent
  // before it ended may be read after the loss of another connection.
  void OnAnswered(std::string_view id, std::int64_t started_unix_ms);
  // Forgets what can no longer be confirmed. Call at least every second.
  void Expire(Instant now);

  // Whether any process is suspected; without one, the calls above but the first do nothing.
  bool HasSuspicion() const { return !this->suspicions.empty(); }

 private:
  struct Suspicion {
    UpstreamProcess process;
    Instant lost_at = {};  // the first lost connection
    bool probed = false;
    bool ended = false;
    std::vector<CrashSuspect> requests = {};
  };

  UpstreamEndAction Confirm(Suspicion& suspicion, std::string_view evidence, Instant now);

  UpstreamEndDetectorOptions options;
  std::map<std::string, Suspicion, std::less<>> suspicions = {};  // by id
};

}  // namespace savory
