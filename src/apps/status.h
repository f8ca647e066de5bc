// Renders the status of a process for operators.
#pragma once

#include <string>

#include "distribution/distribution_driver.h"
#include "membership/membership_driver.h"
#include "runtime/node.h"

namespace savory {

struct ProcessStatus {
  std::uint64_t tables_revision = 0;
  bool ready = false;
  bool leaving = false;
  RolloutStatus rollout = {};  // agents only
};

// Returns the JSON answer of GET /status.
std::string RenderStatus(const NodeIdentity& identity, const MembershipDriver& members,
                         const ProcessStatus& status);

// Returns the HTML page of GET / on the entry's operator port: all members with the manifest that
// each of them serves.
std::string RenderFleetPage(const MembershipDriver& members);

}  // namespace savory
