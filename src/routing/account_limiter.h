// Limits of client accounts at one entry.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

struct AccountLimiterOptions {
  // Requests of one class in progress at this entry until LimiterSlots says otherwise.
  std::uint32_t slots = 256;
  // Requests of one account and class that wait for a slot.
  std::uint32_t max_queued = 64;
  // Requests of one class that wait, over all accounts. Bounds the memory.
  std::uint32_t max_queued_of_class = 1024;
  // Burst of a rate limit: this time's worth of tokens, at least one.
  Duration burst = std::chrono::seconds(1);
  // Time that a request holds a slot, assumed until one has been measured.
  Duration initial_service_time = std::chrono::milliseconds(100);
};

// The rows of one request class. The row of account "*" is the default; rate and concurrency 0
// mean "no limit", share 0 means 1.
struct ClassLimits {
  std::string request_class;
  std::vector<wire::AccountLimit> limits;
};

// The limits of every class in `tables`; when routes of one class name an account twice, the first
// row counts.
std::vector<ClassLimits> LimitsByClass(const wire::Tables& tables);

// ---- events ----

// A request arrived. `id` is chosen by the caller and is unique among requests that have not ended.
struct LimiterArrival {
  std::uint64_t id = 0;
  std::string account = {};
  std::string request_class = {};
  std::int32_t priority = 0;  // higher is served first among the requests of the same account
  Instant deadline = {};
};
// The request ended, or its caller left; also valid while it waits. Unknown ids are ignored.
struct LimiterRequestEnded {
  std::uint64_t id = 0;
};
// Replaces the limits of every class.
struct LimiterLimitsChanged {
  std::vector<ClassLimits> classes;
};
// Number of live entries, this one included; 0 counts as 1.
struct LimiterEntryCount {
  std::uint32_t live = 1;
};
// Requests of the class that this entry may have in progress, from the load of the upstreams.
struct LimiterSlots {
  std::string request_class;
  std::uint32_t slots = 0;
};
// Refuses waiting requests whose deadline passed and forgets idle accounts. Send it every 50 to
// 100 ms.
struct LimiterTick {};

using LimiterEvent = std::variant<LimiterArrival, LimiterRequestEnded, LimiterLimitsChanged,
                                  LimiterEntryCount, LimiterSlots, LimiterTick>;

// ---- actions ----

// The request may proceed and holds a slot until LimiterRequestEnded.
struct LimiterAdmit {
  std::uint64_t id = 0;
};
// The request was refused and has ended; no LimiterRequestEnded is needed. Kinds: kRateLimited,
// kConcurrencyLimited and kOverloaded with `retry_after`, kDeadlineUnmeetable.
struct LimiterRefuse {
  std::uint64_t id = 0;
  Error error;
};

using LimiterAction = std::variant<LimiterAdmit, LimiterRefuse>;

// Decides for each request of an account whether it proceeds, waits or is refused.
//
// For each account and class: rate (token bucket), concurrency (running and waiting requests) and
// share under overload. Limits are divided by the number of live entries, with at least one request
// in flight and a burst of one request. While all slots of a class are taken, requests wait in
// bounded queues, one for each account, and deficit round robin over the accounts (weight = share)
// hands out free slots. Priority orders the requests of one account and takes nothing from another
// account. A LimiterArrival that gets neither action waits; its action comes from a later call.
class AccountLimiter {
 public:
  explicit AccountLimiter(AccountLimiterOptions options);
  ~AccountLimiter();

  std::vector<LimiterAction> Handle(const LimiterEvent& event, Instant now);

  // Requests that wait, over all classes.
  std::size_t Queued() const;
  // Requests that hold a slot, over all classes.
  std::size_t Running() const;
  // Accounts with state, over all classes.
  std::size_t Accounts() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
