// Runtime environment of one daemon: event loop, shared services, operator port and shutdown.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "apps/process_settings.h"
#include "runtime/node.h"

namespace savory {

class HttpServer;
class MembershipDriver;
class TableDriver;

// Owns the event loop and the other objects that the drivers share.
class ProcessHost {
 public:
  explicit ProcessHost(const ProcessSettings& settings);
  ~ProcessHost();

  Node& SharedNode();
  // HTTP server of the operator port. Handlers must be added before Run().
  HttpServer& OperatorServer();

  // Runs `callback` on the event loop's thread and returns its result, or an empty string when the
  // loop has not run it within one second. For handlers of the operator port.
  std::string RunOnLoop(std::function<std::string()> callback);

  // Sets the function that decides the answer of /readyz. It runs on the event loop's thread.
  void SetReadyCheck(std::function<bool()> ready);
  // Sets the function that runs once after SIGTERM or SIGINT. It must call `done` when nothing is
  // in progress any more.
  void OnStop(std::function<void(std::function<void()> done)> drain);

  // Connects membership and table distribution: members become the peers of the tables, a peer with
  // a higher revision triggers a pull, and the members are told the revision of this process.
  void Connect(MembershipDriver& members, TableDriver& tables);

  // Serves until a stop signal has arrived and the drain is complete, then exits the process with
  // status 0.
  [[noreturn]] void Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace savory
