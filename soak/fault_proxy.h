// TCP proxy on loopback that harms the connections through it.
#pragma once

#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"

namespace savory {

class EventLoop;

enum class LinkCondition {
  kHealthy,
  kDelayed,  // bytes arrive late
  kSilent,   // bytes are swallowed both ways; connections stay open
  kOneWay,   // bytes towards the one that connected are swallowed
};

class FaultProxy {
 public:
  // Connections to `listen` go on to `target`; both are IP:PORT.
  FaultProxy(EventLoop& loop, std::string listen, std::string target);
  ~FaultProxy();

  Result<void> Listen();
  // Connections that were silent stay silent: what was swallowed is lost.
  void SetCondition(LinkCondition condition);
  void ResetAll();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace savory
