// Makes one engine load weights, under a lease on one of the pool's load slots.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "base/time.h"

namespace savory {

// ---- events ----

// The pool row changed; with a zero manifest no load is requested.
struct LoadTargetChanged {
  std::string pool;
  Digest manifest;
  std::uint32_t max_loading = 1;
};
// All chunks of `manifest` are in memory.
struct WeightsComplete {
  Digest manifest;
};
// Response to GET /v1/state; `asked` is the time before the call.
struct EngineReported {
  Instant asked;
  std::uint64_t incarnation = 0;
  Digest loaded = {};   // zero: none
  Digest loading = {};  // zero: none
};
struct EngineUnreachable {};
struct LeaseGranted {
  std::uint64_t call = 0;
  std::uint64_t fence = 0;
};
// The slot is taken, the lease service is unavailable, or its reply was lost.
struct LeaseNotGranted {
  std::uint64_t call = 0;
  bool held_by_other = false;
};
struct LeaseRenewed {
  std::uint64_t call = 0;
};
struct LeaseLost {
  std::uint64_t call = 0;
};
// The lease service is unavailable or its reply was lost; the lease is valid from the last renewal.
struct RenewalFailed {
  std::uint64_t call = 0;
};
enum class LoadResponse {
  kAccepted,
  kStaleFence,
  kRefused,  // for another reason, such as a malformed request
  kNotSent,  // the lease had expired, or no connection could be made
  kUnknown,  // the reply was lost; the engine may have accepted
};
struct LoadResponseReceived {
  LoadResponse answer;
};
// `idle`: no request runs at the engine.
struct LoadTick {
  bool idle = true;
};

using LoadEvent = std::variant<LoadTargetChanged, WeightsComplete, EngineReported,
                               EngineUnreachable, LeaseGranted, LeaseNotGranted, LeaseRenewed,
                               LeaseLost, RenewalFailed, LoadResponseReceived, LoadTick>;

// ---- actions ----

struct AcquireSlot {
  std::uint64_t call = 0;
  std::string lease;
};
struct RenewSlot {
  std::uint64_t call = 0;
  std::string lease;
  std::uint64_t fence = 0;
};
struct ReleaseSlot {
  std::string lease;
  std::uint64_t fence = 0;
};
// POST /v1/load; must not be sent at or after `not_after`, nor begin then. `deadline` is the time
// left until then, for engines that know no other limit.
struct StartLoad {
  Digest manifest;
  std::uint64_t fence = 0;
  Duration deadline;
  Instant not_after;
};

using LoadAction = std::variant<AcquireSlot, RenewSlot, ReleaseSlot, StartLoad>;

struct LoadControllerOptions {
  std::string vm;
  Duration lease_ttl = std::chrono::seconds(10);
  Duration renew_every = std::chrono::seconds(3);
  // Last part of the lease, which is not used: allows for clocks that run at different speeds and
  // for the transfer of a request to the engine.
  Duration lease_margin = std::chrono::seconds(1);
  Duration first_retry = std::chrono::milliseconds(250);
  Duration max_retry = std::chrono::seconds(5);
  // The slot of a load that takes longer is released for other agents; the engine is still polled.
  Duration max_load_time = std::chrono::minutes(30);
  // After a longer gap between two reports the engine may have been suspended in between.
  Duration max_report_gap = std::chrono::seconds(3);
};

// Requests at most one load at a time: the next version waits until the engine has finished the
// previous load. A request without a reply may still be carried out: until it is settled, the
// engine gets no new requests and the request is repeated under the same lease. The lease is
// measured with the local monotonic clock from before the call that acquired or renewed it, and
// checked before every step, so that a process that was paused does not act on an expired lease.
class LoadController {
 public:
  enum class Step { kWaiting, kAcquiring, kDraining, kRequesting, kLoading };

  // `random` must outlive the object.
  LoadController(LoadControllerOptions options, Random& random);

  std::vector<LoadAction> Handle(Instant now, const LoadEvent& event);

  Step CurrentStep() const { return this->step; }
  // Whether the engine must not receive new requests.
  bool BlocksServing() const {
    return this->step == Step::kDraining || this->step == Step::kRequesting ||
           this->step == Step::kLoading || this->unanswered.has_value();
  }
  // Whether a load request without a reply may still be carried out.
  bool HasUnansweredRequest() const { return this->unanswered.has_value(); }

 private:
  struct Lease {
    std::string name;
    std::uint64_t fence = 0;
    Instant usable_until = {};
    Instant next_renewal = {};
  };
  struct LeaseCall {
    std::uint64_t id = 0;  // 0: none in progress
    Instant started = {};
    std::string lease = {};
  };

  // A load request without a reply, with its repetitions. The engine counts the deadline from when
  // it reads the request, which a hung engine does late. Therefore it counts here from when the
  // engine has answered another call after the last repetition was given up.
  struct UnansweredRequest {
    Digest manifest = {};
    std::uint64_t fence = 0;    // of the last repetition
    Duration deadline = {};     // the longest one sent
    Instant repeat_until = {};  // no repetition at or after it
    Instant next_repetition = {};
    std::uint64_t incarnation = 0;  // in the first report after the last repetition; 0: none yet
    std::optional<Instant> alive_since = {};  // no longer gap between reports since then
    Instant last_report = {};
  };
  enum class Settlement { kOpen, kCarriedOut, kGone };

  void On(Instant now, const LoadTargetChanged& event);
  void On(Instant now, const WeightsComplete& event);
  void On(Instant now, const EngineReported& event);
  void On(Instant now, const EngineUnreachable& event);
  void On(Instant now, const LeaseGranted& event);
  void On(Instant now, const LeaseNotGranted& event);
  void On(Instant now, const LeaseRenewed& event);
  void On(Instant now, const LeaseLost& event);
  void On(Instant now, const RenewalFailed& event);
  void On(Instant now, const LoadResponseReceived& event);
  void On(Instant now, const LoadTick& event);

  void Advance(Instant now);
  bool NeedsLoad() const;
  void Acquire(Instant now);
  void Renew(Instant now);
  void SendLoad(Instant now);
  void RepeatLoad(Instant now);
  void KeepUnanswered(Instant now, bool sent);
  // What `engine` shows of the unanswered request.
  Settlement ObserveUnanswered(Instant now);
  void SettleUnanswered(Instant now);
  void FinishLoad(Instant now);
  // Ends the load; `failed` delays the next one.
  void EndLoad(Instant now, bool failed);
  void ReleaseLease();
  void ScheduleRetry(Instant now);
  std::string SlotName() const;

  LoadControllerOptions options;
  Random& random;
  std::vector<LoadAction> actions = {};
  LoadTargetChanged wanted = {};
  Digest complete_manifest = {};
  std::optional<EngineReported> engine = {};
  std::optional<Instant> unreachable_since = {};
  Step step = Step::kWaiting;
  std::optional<Lease> lease = {};
  LeaseCall call = {};
  std::uint64_t next_call = 1;
  StartLoad requested = {};
  std::optional<UnansweredRequest> unanswered = {};
  Instant response_received = {};
  Instant retry_at = {};
  Duration retry_delay = {};
  bool idle = false;
};

}  // namespace savory
