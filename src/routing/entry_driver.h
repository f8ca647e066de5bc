// Serves callers over HTTP and forwards their requests to agents.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/settings.h"
#include "runtime/node.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

class ClaimDriver;
class MembershipDriver;

struct EntryDriverOptions {
  std::string http;                                        // IP:PORT that callers connect to
  int max_requests = 1200;                                 // in progress; more are refused
  Duration silence_timeout = std::chrono::seconds(2);      // after which an attempt is queried
  Duration retry_backoff = std::chrono::milliseconds(20);  // first delay; doubled for each retry
  double retry_budget = 0.1;                               // retries per request
  std::uint32_t entries_per_agent = 10;                    // see BalancerOptions
  std::uint32_t min_agents_per_pool = 3;                   // see BalancerOptions
};

// Reads the section `requests`, which does not contain `http`. Errors are recorded in `reader`.
EntryDriverOptions ReadEntryOptions(SettingsReader reader);

// Not thread-safe: to be called on the event loop's thread only.
class EntryDriver {
 public:
  EntryDriver(Node& node, MembershipDriver& members, ClaimDriver& claims,
              EntryDriverOptions options);
  ~EntryDriver();

  void Start();
  void ApplyTables(const wire::Tables& tables);

  // See RenderRefusals() in crashes/refusal_report.h. Ids of parts are not known here.
  std::string RenderRefusals() const;
  // Accepts the requests of a refusal again, at all entries. Returns false if no refusal's cause
  // has that name.
  bool LiftRefusal(std::string_view cause_name);

  // Refuses new requests as "not run". Calls `done` after the requests in progress have ended and
  // the HTTP server has stopped.
  void Drain(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
