// TCP proxy on loopback that delays, discards or resets the traffic of its connections.
#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"

namespace savory {

class EventLoop;

enum class LinkCondition {
  kHealthy,
  kDelayed,  // bytes are delayed
  kSilent,   // bytes are discarded in both directions; connections stay open
  kOneWay,   // bytes towards the client are discarded
};

class FaultProxy {
 public:
  // Forwards connections from `listen` to `target`; both are IP:PORT.
  FaultProxy(EventLoop& loop, std::string listen, std::string target);
  ~FaultProxy();

  Result<void> Listen();
  // Applies to all connections. Those that have discarded bytes continue to do so under any later
  // condition, since the lost bytes would leave a gap.
  void SetCondition(LinkCondition condition);
  // What clients send, and their orderly closes, is kept until Release(), as a stopped target's
  // sockets keep it. A reset takes it away.
  void Hold();
  void Release();
  void ResetAll();
  // The open connections discard all bytes from now on; new ones are healthy.
  void SilenceOpen();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
