// What a process tells operators about itself.
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

// JSON of GET /status.
std::string RenderStatus(const NodeIdentity& identity, const MembershipDriver& members,
                         const ProcessStatus& status);

// Page of GET / on the entry's operator port: every member with what it serves.
std::string RenderFleetPage(const MembershipDriver& members);

}  // namespace savory
