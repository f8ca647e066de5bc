// Admission control for client accounts at one entry.
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
  // Requests of one class that may run at this entry until the first LimiterSlots of that class.
  std::uint32_t slots = 256;
  // Queued requests of one account and class.
  std::uint32_t max_queued = 64;
  // Queued requests of one class over all accounts. Bounds the memory of the queues.
  std::uint32_t max_queued_of_class = 1024;
  // The token bucket of a rate limit holds the tokens of this period, but at least one.
  Duration burst_period = std::chrono::seconds(1);
  // Initial estimate of the mean time that a request holds a slot.
  Duration initial_service_time = std::chrono::milliseconds(100);
};

// The account limits of one request class. Account "*" gives the default. A rate or concurrency of
// 0 means unlimited, a share of 0 means 1.
struct ClassLimits {
  std::string request_class;
  std::vector<wire::AccountLimit> limits;
};

// Collects the account limits of all routes by request class. If several routes of a class limit
// the same account, the first one applies.
std::vector<ClassLimits> LimitsByClass(const wire::Tables& tables);

// ---- events ----

// A request arrived. `id` must be unique among the requests that have not ended.
struct LimiterArrival {
  std::uint64_t id = 0;
  std::string account = {};
  std::string request_class = {};
  std::int32_t priority = 0;  // higher first, among the requests of the same account
  Instant deadline = {};
};
// The request ended or its caller disconnected, while it ran or was queued. Unknown ids are
// ignored.
struct LimiterRequestEnded {
  std::uint64_t id = 0;
};
// Replaces the limits of every class.
struct LimiterLimitsChanged {
  std::vector<ClassLimits> classes;
};
// The number of live entries, including this one. 0 is treated as 1.
struct LimiterEntryCount {
  std::uint32_t live = 1;
};
// The number of requests of a class that this entry may run at the same time, derived from the
// capacity of the upstreams.
struct LimiterSlots {
  std::string request_class;
  std::uint32_t slots = 0;
};
// Refuses queued requests whose deadline has passed and removes idle accounts. Should be sent
// every 50 to 100 ms.
struct LimiterTick {};

using LimiterEvent = std::variant<LimiterArrival, LimiterRequestEnded, LimiterLimitsChanged,
                                  LimiterEntryCount, LimiterSlots, LimiterTick>;

// ---- actions ----

// The request is admitted and holds a slot until LimiterRequestEnded.
struct LimiterAdmit {
  std::uint64_t id = 0;
};
// The request is refused and has ended; no LimiterRequestEnded is needed. Error kinds:
// kRateLimited, kConcurrencyLimited and kOverloaded, which carry `retry_after`, and
// kDeadlineUnmeetable.
struct LimiterRefuse {
  std::uint64_t id = 0;
  Error error;
};

using LimiterAction = std::variant<LimiterAdmit, LimiterRefuse>;

// Decides for each request whether it is admitted, queued or refused.
//
// Each account has three limits for each request class: a rate (token bucket), a concurrency
// (running and queued requests) and a share of the slots under overload. Rate and concurrency are
// divided by the number of live entries, but each entry always allows one request in flight and a
// burst of one request. While all slots of a class are taken, requests wait in bounded queues, one
// for each account. Free slots are assigned by deficit round robin over the accounts, weighted by
// their shares. Priorities order the requests of one account only, so an account cannot raise its
// share with them. If Handle() returns no action for a LimiterArrival, the request is queued and a
// later call returns its action.
class AccountLimiter {
 public:
  explicit AccountLimiter(AccountLimiterOptions options);
  ~AccountLimiter();

  std::vector<LimiterAction> Handle(const LimiterEvent& event, Instant now);

  // Queued requests of all classes.
  std::size_t Queued() const;
  // Requests of all classes that hold a slot.
  std::size_t Running() const;
  // Accounts that have state, counted once for each class.
  std::size_t Accounts() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
