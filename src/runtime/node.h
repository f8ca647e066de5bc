// Objects that the modules of one process share.
#pragma once

#include <cstdint>
#include <string>

#include "base/random.h"

namespace savory {

class EventLoop;
class KvClient;
class Metrics;
class PeerTransport;
class Workers;

// Identity of this process, from its settings.
struct NodeIdentity {
  std::string vm;
  std::string peer;  // IP:PORT of the peer socket
  std::string region;
  std::string data_centre;
  std::string service = {};       // agents: the service of the local upstream
  bool agent = false;             // false: entry
  std::uint64_t incarnation = 0;  // increases with each start of this VM's process
};

// References to the runtime of the process; drivers keep a reference to the Node.
struct Node {
  NodeIdentity identity;
  EventLoop& loop;
  PeerTransport& peers;
  Workers& workers;
  KvClient& kv;
  Metrics& metrics;
  Random& random;
};

}  // namespace savory
