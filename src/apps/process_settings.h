// Settings that entries and agents have in common.
#pragma once

#include <string>

#include "base/log.h"
#include "base/settings.h"
#include "membership/membership_driver.h"
#include "runtime/node.h"

namespace savory {

struct ProcessSettings {
  NodeIdentity identity;
  std::string peer_bind;        // IP:PORT bound in place of identity.peer; empty: the same
  std::string operator_listen;  // IP:PORT of /metrics, /healthz, /readyz and /status
  std::string kv;               // IP:PORT of the key-value service
  Duration kv_timeout;          // for one call
  MembershipDriverOptions membership;
  LogOptions log;
  int workers;  // calls that may block at the same time
};

// Reads the common keys; errors stay in `reader`.
ProcessSettings ReadProcessSettings(SettingsReader& reader, bool agent);

}  // namespace savory
