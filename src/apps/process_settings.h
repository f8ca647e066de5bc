// Settings that are common to entries and agents.
#pragma once

#include <string>

#include "base/log.h"
#include "base/settings.h"
#include "membership/membership_driver.h"
#include "runtime/node.h"

namespace savory {

struct ProcessSettings {
  NodeIdentity identity;
  std::string peer_bind;        // IP:PORT to bind; empty: identity.peer
  std::string operator_listen;  // IP:PORT of /metrics, /healthz, /readyz and /status
  std::string kv;               // IP:PORT of the key-value service
  Duration kv_timeout;          // for one call
  MembershipDriverOptions membership;
  LogOptions log;
  int workers;  // threads for blocking calls
};

// Reads the common keys. Errors are collected in `reader`.
ProcessSettings ReadProcessSettings(SettingsReader& reader, bool agent);

}  // namespace savory
