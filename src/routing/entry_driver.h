// Serves callers over HTTP and routes their requests to agents.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/settings.h"
#include "runtime/node.h"
#include "wire/savoryrouter.pb.h"

namespace savory {

class ClaimDriver;
class MembershipDriver;

struct EntryDriverOptions {
  std::string http;                                        // IP:PORT towards callers
  int max_requests = 1200;                                 // requests in progress; more are refused
  Duration silence_timeout = std::chrono::seconds(2);      // then an attempt is queried
  Duration retry_backoff = std::chrono::milliseconds(20);  // first delay; doubled for each retry
  double retry_budget = 0.1;                               // retries for each request
  std::uint32_t entries_per_agent = 10;                    // entries that each agent is covered by
  std::uint32_t min_agents_per_pool = 3;                   // agents each entry adds of each pool
};

// Reads the section `requests`, which does not name `http`; errors stay in `reader`.
EntryDriverOptions ReadEntryOptions(SettingsReader reader);

// All calls on the loop's thread.
class EntryDriver {
 public:
  EntryDriver(Node& node, MembershipDriver& members, ClaimDriver& claims,
              EntryDriverOptions options);
  ~EntryDriver();

  void Start();
  void ApplyTables(const wire::Tables& tables);

  // Answers new requests "not run" and calls `done` when none is in progress.
  void Drain(std::function<void()> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
