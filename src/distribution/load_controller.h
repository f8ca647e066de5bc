// Orders one engine to load weights, under a lease on one of the pool's slots.
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

// The pool row; a zero manifest ends the orders.
struct LoadTargetChanged {
  std::string pool;
  Digest manifest;
  std::uint32_t max_loading = 1;
};
// All chunks of `manifest` are in memory.
struct WeightsComplete {
  Digest manifest;
};
// Answer to GET /v1/state; `asked` is the time before the call.
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
// The slot is taken, or the service is unavailable, or its reply was lost.
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
// The service is unavailable or its reply was lost; the lease counts from the last renewal.
struct RenewalFailed {
  std::uint64_t call = 0;
};
enum class LoadResponse {
  kAccepted,
  kStaleFence,
  kNotSent,  // the lease had run out, or no connection could be made
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
// POST /v1/load; must not be sent at or after `not_after`. `deadline` is the time left for the
// engine to begin the load.
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
  // Part of the lease at its end that is not used, for clocks that run at different speeds and for
  // the way of an order to the engine.
  Duration lease_margin = std::chrono::seconds(1);
  Duration first_retry = std::chrono::milliseconds(250);
  Duration max_retry = std::chrono::seconds(5);
  // A load that lasts longer gives its slot to other agents; the engine is watched on.
  Duration max_load_time = std::chrono::minutes(30);
};

// At most one order at a time: a further version waits until the engine has finished the last one.
// The lease is measured by the local monotonic clock from before the call that acquired or renewed
// it, and checked before every step, so a process that was paused does not act on a lost lease.
class LoadController {
 public:
  enum class Step { kWaiting, kAcquiring, kDraining, kRequesting, kLoading };

  // `random` must outlive the object.
  LoadController(LoadControllerOptions options, Random& random);

  std::vector<LoadAction> Handle(Instant now, const LoadEvent& event);

  Step CurrentStep() const { return this->step; }
  // The engine must receive no new request.
  bool BlocksServing() const {
    return this->step == Step::kDraining || this->step == Step::kRequesting ||
           this->step == Step::kLoading;
  }

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
  void FinishLoad(Instant now);
  // Ends the order; `failed` delays the next one.
  void EndLoad(Instant now, bool failed);
  void ReleaseLease();
  void ScheduleRetry(Instant now);
  std::string SlotName() const;

  LoadControllerOptions options;
  Random& random;
  std::vector<LoadAction> actions = {};
  LoadTargetChanged wanted = {};
  Digest complete = {};
  std::optional<EngineReported> engine = {};
  std::optional<Instant> unreachable_since = {};  // the engine has not answered since then
  Step step = Step::kWaiting;
  std::optional<Lease> lease = {};
  LeaseCall call = {};
  std::uint64_t next_call = 1;
  Digest requested = {};
  Instant response_received = {};
  Instant retry_at = {};
  Duration retry_delay = {};
  bool idle = false;
};

}  // namespace savory
